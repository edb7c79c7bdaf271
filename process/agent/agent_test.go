package agent

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control"
)

func entryTargets(count int) map[string]string {
	targets := make(map[string]string)
	for i := range count {
		targets[fmt.Sprintf("entry-%d", i)] = fmt.Sprintf("127.0.0.1:%d", 7000+i)
	}
	return targets
}

// Guards against reassigning agents whose home entries did not change.
func TestRemovedEntryMovesOnlyItsAgents(t *testing.T) {
	const agents, homes = 200, 3
	before, after := entryTargets(10), entryTargets(9) // entry-9 is removed
	for i := range agents {
		name := fmt.Sprintf("agent-%d", i)
		previous, current := homeTargets(name, before, homes), homeTargets(name, after, homes)
		if len(previous) != homes || len(current) != homes {
			t.Fatalf("%s has %d, then %d home entries", name, len(previous), len(current))
		}
		for entry := range previous {
			if _, ok := current[entry]; !ok && entry != "entry-9" {
				t.Errorf("%s moved off %s, which was not removed", name, entry)
			}
		}
	}
}

func TestZeroHomeEntriesMeansAll(t *testing.T) {
	if got := homeTargets("a", entryTargets(5), 0); len(got) != 5 {
		t.Errorf("%d home entries, want all 5", len(got))
	}
}

func view(revision, fence uint64) wire.AgentView {
	v := wire.AgentView{Revision: revision}
	if fence > 0 {
		v.Order = &control.Order{Fence: control.Fence{Index: fence}}
	}
	return v
}

func newTestViewMerger() (*viewMerger, *[]wire.AgentView) {
	var applied []wire.AgentView
	v := newViewMerger(slog.New(slog.DiscardHandler), func(string) bool { return true }, func(view wire.AgentView) {
		applied = append(applied, view)
	})
	return v, &applied
}

func TestNoViewIsAppliedBeforeQuorumReply(t *testing.T) {
	v, applied := newTestViewMerger()
	v.receive("stale", view(3, 7))
	if len(*applied) != 0 || v.revision() != 0 {
		t.Fatal("a view was applied before a quorum replied")
	}
	v.raiseFloor(wire.FenceReply{Revision: 5, Order: view(5, 9).Order})
	if len(*applied) != 0 {
		t.Fatal("a view below the quorum's revision was applied")
	}
	v.receive("current", view(5, 9))
	if v.revision() != 5 || len(*applied) != 1 {
		t.Fatalf("revision %d after %d views", v.revision(), len(*applied))
	}
	v.receive("stale", view(3, 7))
	if last := (*applied)[len(*applied)-1]; last.Revision != 5 || fenceIndex(last) != 9 {
		t.Errorf("reverted to revision %d fence %d", last.Revision, fenceIndex(last))
	}
}

func TestPeersAreUnionOverEntries(t *testing.T) {
	v, applied := newTestViewMerger()
	v.raiseFloor(wire.FenceReply{})
	one, two := view(1, 1), view(1, 1)
	one.Peers = []wire.Peer{{Name: "a"}, {Name: "b"}}
	two.Peers = []wire.Peer{{Name: "b"}, {Name: "c"}}
	v.receive("entry-1", one)
	v.receive("entry-2", two)
	if got := (*applied)[1].Peers; len(got) != 3 {
		t.Errorf("merged peers %v, want 3", got)
	}
}

func TestViewsNeverRevert(t *testing.T) {
	for _, c := range []struct {
		next, current wire.AgentView
		newer         bool
	}{
		{view(2, 5), view(1, 5), true},
		{view(1, 5), view(2, 5), false},
		{view(2, 4), view(2, 5), false},
		{view(2, 0), view(2, 5), false},
		{view(2, 6), view(2, 5), true},
		{view(2, 5), view(2, 5), true},
	} {
		if got := isNewer(c.next, c.current); got != c.newer {
			t.Errorf("revision %d fence %d after revision %d fence %d: newer=%v", c.next.Revision, fenceIndex(c.next), c.current.Revision, fenceIndex(c.current), got)
		}
	}
}
