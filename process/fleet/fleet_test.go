package fleet

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
)

func report(entry string, statuses ...wire.AgentStatus) wire.FleetReport {
	return wire.FleetReport{Entry: entry, Revision: 7, Agents: statuses}
}

func TestNewestStatusOfAnIncarnationIsKept(t *testing.T) {
	f := New(clockwork.NewFakeClock())
	f.Report(report("e1", wire.AgentStatus{Name: "a", Incarnation: "i", Seq: 5, Serving: "v2"}))
	f.Report(report("e2", wire.AgentStatus{Name: "a", Incarnation: "i", Seq: 4, Serving: "v1"}))
	if got := f.Statuses(); len(got) != 1 || got[0].Serving != "v2" {
		t.Errorf("got %+v", got)
	}
}

func TestSilentAgentsAreLeftOut(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := New(clock)
	f.Report(report("e1", wire.AgentStatus{Name: "a"}, wire.AgentStatus{Name: "b"}))
	clock.Advance(statusLifetime)
	f.Report(report("e1", wire.AgentStatus{Name: "b"}))
	clock.Advance(time.Millisecond)
	if got := f.Statuses(); len(got) != 1 || got[0].Name != "b" {
		t.Errorf("got %+v", got)
	}
	if r := f.Revisions(); r["e1"] != 7 {
		t.Errorf("revisions %v", r)
	}
}
