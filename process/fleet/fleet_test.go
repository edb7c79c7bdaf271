package fleet

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
)

const seed = 20261203

func names(statuses []wire.AgentStatus) []string {
	var out []string
	for _, s := range statuses {
		out = append(out, s.Name+"="+s.Serving)
	}
	return out
}

func TestLeaderHasTheStatusesThatTheEntryReports(t *testing.T) {
	t.Logf("seed %d", seed)
	rnd := rand.New(rand.NewPCG(seed, 2))
	clock := clockwork.NewFakeClock()
	f, r := New(clock), NewReporter("e1", clock)
	for seq := uint64(1); seq <= 2000; seq++ {
		var agents []wire.AgentStatus
		for _, name := range []string{"a", "b", "c"} {
			if rnd.IntN(4) > 0 {
				agents = append(agents, wire.AgentStatus{Name: name, Seq: seq, Serving: []string{"v1", "v2"}[rnd.IntN(2)]})
			}
		}
		clock.Advance(time.Duration(rnd.IntN(int(keepaliveInterval))))
		report, due := r.Next("e1", seq, agents)
		if due && !f.ApplyReport(report) {
			t.Fatalf("report %d was rejected", seq)
		}
		if got, want := names(f.Statuses()), names(agents); !reflect.DeepEqual(got, want) {
			t.Fatalf("step %d: leader has %v, entry reported %v", seq, got, want)
		}
	}
}

func TestReportAfterLostReportIsRejectedUntilFullReport(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f, r := New(clock), NewReporter("e1", clock)
	first, _ := r.Next("e2", 1, []wire.AgentStatus{{Name: "a", Serving: "v1"}})
	f.ApplyReport(first)
	_, _ = r.Next("e2", 1, []wire.AgentStatus{{Name: "a", Serving: "v2"}}) // lost
	third, _ := r.Next("e2", 1, []wire.AgentStatus{{Name: "a", Serving: "v2"}, {Name: "b"}})
	if f.ApplyReport(third) {
		t.Error("a report after a lost one was accepted")
	}
	r.ResendAll()
	full, due := r.Next("e2", 1, []wire.AgentStatus{{Name: "a", Serving: "v2"}})
	if !due || !full.First || !f.ApplyReport(full) {
		t.Fatalf("not a full report: %+v", full)
	}
	if got := names(f.Statuses()); !reflect.DeepEqual(got, []string{"a=v2"}) {
		t.Errorf("got %v", got)
	}
}

func TestUnchangedFleetSendsOneKeepalivePerInterval(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := NewReporter("e1", clock)
	agents := []wire.AgentStatus{{Name: "a", Serving: "v1"}}
	r.Next("e2", 1, agents)
	due := 0
	for range 40 {
		clock.Advance(keepaliveInterval / 4)
		agents[0].Seq++
		agents[0].InFlight++
		agents[0].Engine.Running++
		report, ok := r.Next("e2", 1, agents)
		if ok {
			due++
		}
		if len(report.Agents) != 0 {
			t.Fatal("a change of load only was reported to the leader")
		}
	}
	if due != 10 {
		t.Errorf("%d reports in ten intervals", due)
	}
}

func TestSilentEntryExpiresWithItsAgents(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := New(clock)
	f.ApplyReport(wire.FleetReport{Entry: "e1", Seq: 1, First: true, Revision: 7, Agents: []wire.AgentStatus{{Name: "a"}}})
	f.ApplyReport(wire.FleetReport{Entry: "e2", Seq: 1, First: true, Revision: 7, Agents: []wire.AgentStatus{{Name: "b"}}})
	clock.Advance(entryLifetime)
	f.ApplyReport(wire.FleetReport{Entry: "e2", Seq: 2, Revision: 8})
	clock.Advance(time.Millisecond)
	if got := names(f.Statuses()); !reflect.DeepEqual(got, []string{"b="}) {
		t.Errorf("got %v", got)
	}
	if got := f.Revisions(); got["e2"] != 8 || len(got) != 2 {
		t.Errorf("revisions %v", got)
	}
}

func TestLatestStatusWinsAfterPrimaryEntryChange(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := New(clock)
	f.ApplyReport(wire.FleetReport{Entry: "e1", Seq: 1, First: true, Agents: []wire.AgentStatus{{Name: "a", Incarnation: "i", Seq: 5, Serving: "v1"}}})
	f.ApplyReport(wire.FleetReport{Entry: "e0", Seq: 1, First: true, Agents: []wire.AgentStatus{{Name: "a", Incarnation: "i", Seq: 9, Serving: "v2"}}})
	if got := names(f.Statuses()); !reflect.DeepEqual(got, []string{"a=v2"}) {
		t.Errorf("got %v", got)
	}
}
