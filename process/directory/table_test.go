package directory

import (
	"testing"
	"time"
)

func beat(id string, born int64, seq uint64, state State) Server {
	return Server{ID: id, Service: "s", Address: "10.0.0.1:1", State: state, Born: born, Seq: seq, Slots: 8}
}

func TestOlderMessagesChangeNothing(t *testing.T) {
	for name, c := range map[string]struct {
		before, then Server
		want         Outcome
		state        State
	}{
		"same again":            {beat("a", 1, 5, Ready), beat("a", 1, 5, Ready), Renewed, Ready},
		"next":                  {beat("a", 1, 5, Ready), beat("a", 1, 6, Ready), Renewed, Ready},
		"drains":                {beat("a", 1, 5, Ready), beat("a", 1, 6, Draining), Changed, Draining},
		"late ready":            {beat("a", 1, 6, Draining), beat("a", 1, 5, Ready), Stale, Draining},
		"ready after drain":     {beat("a", 1, 6, Draining), beat("a", 1, 7, Ready), Renewed, Draining},
		"new start":             {beat("a", 1, 60, Draining), beat("a", 2, 1, Ready), Changed, Ready},
		"beat of an old start":  {beat("a", 2, 1, Ready), beat("a", 1, 60, Draining), Stale, Ready},
		"equal seq, now drains": {beat("a", 1, 5, Ready), beat("a", 1, 5, Draining), Changed, Draining},
	} {
		table := NewTable()
		table.Hear(c.before, 0)
		if got := table.Hear(c.then, time.Second); got != c.want || table.Get("a").State != c.state {
			t.Errorf("%s: outcome %d, state %s", name, got, table.Get("a").State)
		}
	}
}

func TestServerThatLeftStaysGone(t *testing.T) {
	table := NewTable()
	table.Hear(beat("a", 5, 1, Ready), 0)
	if !table.Leave("a", 0, 0) || table.Leave("a", 0, 0) {
		t.Error("leaving is news once")
	}
	if table.Hear(beat("a", 5, 2, Ready), 0) != Stale || table.Get("a").State != Gone {
		t.Error("a late heartbeat brought the server back")
	}
	if table.Hear(beat("a", 6, 1, Ready), 0) != Changed || table.Get("a").State != Ready {
		t.Error("a new start under the same id is not seen")
	}
	if table.Leave("a", 5, 0) {
		t.Error("the leave of an older start was believed")
	}
}

func TestLeaveOfAnUnknownServerIsRemembered(t *testing.T) {
	table := NewTable()
	if !table.Leave("a", 5, 0) || table.Hear(beat("a", 5, 9, Ready), 0) != Stale {
		t.Error("a heartbeat overtook the leave")
	}
}

func TestAddressBelongsToTheLatestServer(t *testing.T) {
	table := NewTable()
	table.Hear(beat("new", 9, 1, Ready), 0)
	table.Hear(beat("old", 3, 80, Ready), 0)
	if !table.Superseded(table.Get("old")) || table.Superseded(table.Get("new")) {
		t.Error("a delayed heartbeat of a server that was replaced took its address back")
	}
}

func TestSilentServersAreForgottenAtLast(t *testing.T) {
	table := NewTable()
	table.Hear(beat("a", 1, 1, Ready), 0)
	table.Sweep(forgetGone - time.Second)
	if table.Get("a") == nil {
		t.Error("forgotten too early")
	}
	table.Sweep(forgetGone)
	if table.Get("a") != nil {
		t.Error("never forgotten")
	}
}

func TestAgentsNewsComesBeforeTheHeartbeat(t *testing.T) {
	table := NewTable()
	s := beat("a", 1, 1, Ready)
	s.Held = []Weights{{Model: "m", Version: 1}}
	table.Hear(s, 0)
	if !table.NoteLoad(s.Address, true, nil, time.Second) || table.Get("a").LoadingUntil <= time.Second {
		t.Error("the load is not known")
	}
	s.Seq = 2
	table.Hear(s, 2*time.Second)
	if table.Get("a").LoadingUntil <= 2*time.Second {
		t.Error("a heartbeat ended the load")
	}
	newer := []Weights{{Model: "m", Version: 2}}
	if !table.NoteLoad(s.Address, false, newer, 3*time.Second) || table.Get("a").Holds("m") != 2 || table.Get("a").LoadingUntil != 0 {
		t.Error("the end of the load is not known")
	}
	if table.NoteLoad(s.Address, false, s.Held, 3*time.Second) || table.Get("a").Holds("m") != 2 {
		t.Error("older news took the weights back")
	}
	if table.NoteLoad("10.9.9.9:1", true, nil, 0) {
		t.Error("news of an unknown server")
	}
}
