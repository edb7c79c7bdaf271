package directory

import (
	"testing"
	"time"
)

func report(id string, born int64, seq uint64, state State) Server {
	return Server{ID: id, Service: "s", Address: "10.0.0.1:1", State: state, Born: born, Seq: seq, Slots: 8}
}

func TestUpdateIgnoresOlderReports(t *testing.T) {
	for name, c := range map[string]struct {
		before, then Server
		want         Outcome
		state        State
	}{
		"repeated report":       {report("a", 1, 5, Ready), report("a", 1, 5, Ready), Renewed, Ready},
		"next":                  {report("a", 1, 5, Ready), report("a", 1, 6, Ready), Renewed, Ready},
		"drains":                {report("a", 1, 5, Ready), report("a", 1, 6, Draining), Changed, Draining},
		"delayed ready":         {report("a", 1, 6, Draining), report("a", 1, 5, Ready), Stale, Draining},
		"ready after draining":  {report("a", 1, 6, Draining), report("a", 1, 7, Ready), Renewed, Draining},
		"new incarnation":       {report("a", 1, 60, Draining), report("a", 2, 1, Ready), Changed, Ready},
		"old incarnation":       {report("a", 2, 1, Ready), report("a", 1, 60, Draining), Stale, Ready},
		"draining at equal seq": {report("a", 1, 5, Ready), report("a", 1, 5, Draining), Changed, Draining},
	} {
		table := NewTable()
		table.Update(c.before, 0)
		if got := table.Update(c.then, time.Second); got != c.want || table.Get("a").State != c.state {
			t.Errorf("%s: outcome %d, state %s", name, got, table.Get("a").State)
		}
	}
}

func TestGoneServerStaysGoneInItsIncarnation(t *testing.T) {
	table := NewTable()
	table.Update(report("a", 5, 1, Ready), 0)
	if !table.Deregister("a", 0, 0) || table.Deregister("a", 0, 0) {
		t.Error("only the first deregistration must change the table")
	}
	if table.Update(report("a", 5, 2, Ready), 0) != Stale || table.Get("a").State != Gone {
		t.Error("a delayed heartbeat revived a gone server")
	}
	if table.Update(report("a", 6, 1, Ready), 0) != Changed || table.Get("a").State != Ready {
		t.Error("a new incarnation under the same ID was not applied")
	}
	if table.Deregister("a", 5, 0) {
		t.Error("the deregistration of an older incarnation was applied")
	}
}

func TestDeregistrationOfUnknownServerIsKept(t *testing.T) {
	table := NewTable()
	if !table.Deregister("a", 5, 0) || table.Update(report("a", 5, 9, Ready), 0) != Stale {
		t.Error("a delayed heartbeat added a deregistered server")
	}
}

func TestAddressBelongsToLatestIncarnation(t *testing.T) {
	table := NewTable()
	table.Update(report("new", 9, 1, Ready), 0)
	table.Update(report("old", 3, 80, Ready), 0)
	if !table.Superseded(table.Get("old")) || table.Superseded(table.Get("new")) {
		t.Error("a delayed heartbeat of a replaced server reclaimed its address")
	}
}

func TestSweepRemovesSilentServers(t *testing.T) {
	table := NewTable()
	table.Update(report("a", 1, 1, Ready), 0)
	table.Sweep(recordTTL - time.Second)
	if table.Get("a") == nil {
		t.Error("server was removed before its TTL")
	}
	table.Sweep(recordTTL)
	if table.Get("a") != nil {
		t.Error("server was not removed after its TTL")
	}
}

func TestUpdateEngineAppliesBeforeNextHeartbeat(t *testing.T) {
	table := NewTable()
	s := report("a", 1, 1, Ready)
	s.Held = []ModelVersion{{Model: "m", Version: 1}}
	table.Update(s, 0)
	if !table.UpdateEngine(s.Address, 0, true, nil, time.Second) || table.Get("a").LoadingUntil <= time.Second {
		t.Error("the start of the load was not applied")
	}
	s.Seq = 2
	table.Update(s, 2*time.Second)
	if table.Get("a").LoadingUntil <= 2*time.Second {
		t.Error("a heartbeat cleared the loading state")
	}
	newer := []ModelVersion{{Model: "m", Version: 2}}
	if !table.UpdateEngine(s.Address, 0, false, newer, 3*time.Second) || table.Get("a").HeldVersion("m") != 2 || table.Get("a").LoadingUntil != 0 {
		t.Error("the end of the load was not applied")
	}
	if table.UpdateEngine(s.Address, 0, false, s.Held, 3*time.Second) || table.Get("a").HeldVersion("m") != 2 {
		t.Error("an older report replaced newer weights")
	}
	if table.UpdateEngine("10.9.9.9:1", 0, true, nil, 0) {
		t.Error("a report about an unknown server changed the table")
	}
}

func TestReportAboutAnEarlierEngineMakesItsSuccessorHoldNewerWeights(t *testing.T) {
	older, newer := []ModelVersion{{Model: "m", Version: 2}}, []ModelVersion{{Model: "m", Version: 3}}
	for name, successor := range map[string]Server{
		"same ID":            report("a", 2, 1, Ready),
		"address used again": report("b", 2, 1, Ready),
	} {
		table := NewTable()
		first := report("a", 1, 5, Ready)
		table.Update(first, 0)
		successor.Address, successor.Held = first.Address, older
		table.Update(successor, time.Second)
		if table.UpdateEngine(first.Address, 1, false, newer, 2*time.Second) || table.Get(successor.ID).HeldVersion("m") != 2 {
			t.Errorf("%s: a late report about the earlier engine was applied", name)
		}
		if !table.UpdateEngine(first.Address, 2, false, newer, 2*time.Second) || table.Get(successor.ID).HeldVersion("m") != 3 {
			t.Errorf("%s: the report about the engine was not applied", name)
		}
	}
}

func TestHeartbeatWithNewerWeightsEndsALoad(t *testing.T) {
	held := func(version int) []ModelVersion { return []ModelVersion{{Model: "m", Version: version}} }
	for name, c := range map[string]struct {
		held []ModelVersion
		want bool
	}{
		"still the old ones": {held(1), true},
		"none":               {nil, true},
		"the new ones":       {held(2), false},
	} {
		table := NewTable()
		s := Server{ID: "a", Service: "s", Address: "10.0.0.1:1", State: Ready, Born: 1, Seq: 1, Engine: true, Held: held(1)}
		table.Update(s, 0)
		table.UpdateEngine(s.Address, 1, true, nil, time.Second)
		s.Seq, s.Held = 2, c.held
		table.Update(s, 2*time.Second)
		if got := table.Get("a").LoadingUntil > 2*time.Second; got != c.want {
			t.Errorf("%s: loading %v, want %v", name, got, c.want)
		}
	}
}

// A server whose ID ends with a line end took the address of a sound one from it.
func TestServerWithAnIDThatCanNotBeWrittenDoesNotTakeAnAddress(t *testing.T) {
	table := NewTable()
	table.Update(report("a", 5, 1, Ready), 0)
	for _, id := range []string{"a\r\n", "a\n", "a\x00", "a ", "a\u00a0", "a/"} {
		if got := table.Update(report(id, 9, 8, Ready), 0); got != Invalid || table.Get(id) != nil {
			t.Errorf("the report of %q: outcome %d", id, got)
		}
		if table.Deregister(id, 9, 0) || table.Get(id) != nil {
			t.Errorf("the deregistration of %q was applied", id)
		}
	}
	if table.Superseded(table.Get("a")) {
		t.Error("the sound server has lost its address")
	}
}
