package pieces

import (
	"fmt"
	"testing"

	"github.com/waxwingpost/waxwingpost/version/planner"
)

func testNodes(perRegion map[string]int) []planner.Node {
	var nodes []planner.Node
	for region, n := range perRegion {
		for i := range n {
			nodes = append(nodes, planner.Node{Name: fmt.Sprint(region, i), Zone: region, Region: region})
		}
	}
	return nodes
}

const pieceCount = 64

// healthy is the state of peers without failures or known pieces.
var healthy = PeerState{
	Failed: func(string) bool { return false },
	Holds:  func(string, int) bool { return false },
}

func TestPieceLeavesOriginOnceAndEntersEachRegionOnce(t *testing.T) {
	nodes := testNodes(map[string]int{"a": 4, "b": 4, "c": 3})
	origin, intoRegion := 0, map[string]int{}
	for _, self := range nodes {
		plan := NewPlan(self, nodes, "a", Key{"m", 2}, nil, 0, pieceCount)
		for piece := range pieceCount {
			switch first := plan.Sources(piece, healthy)[0].From; {
			case first == Origin:
				origin++
			case first[:1] != self.Region:
				intoRegion[self.Region]++
			}
		}
	}
	if origin != pieceCount || intoRegion["a"] != 0 || intoRegion["b"] != pieceCount || intoRegion["c"] != pieceCount {
		t.Errorf("%d pieces leave the origin, %v enter other regions", origin, intoRegion)
	}
}

func TestUploadsAreSpreadEvenly(t *testing.T) {
	nodes := testNodes(map[string]int{"a": 13, "b": 8, "c": 7})
	asked := map[string]int{}
	for _, self := range nodes {
		plan := NewPlan(self, nodes, "a", Key{"m", 2}, nil, 0, pieceCount)
		for piece := range pieceCount {
			sources := plan.Sources(piece, healthy)
			asked[sources[0].From]++
		}
	}
	for _, n := range nodes {
		// Each agent sends about as many pieces as it receives; agents of the origin's
		// region also send to the other regions.
		if sent := asked[n.Name]; sent > pieceCount*13/10 {
			t.Errorf("%s sends %d pieces", n.Name, sent)
		}
	}
}

func TestAddedAgentFetchesFromHoldersFirst(t *testing.T) {
	nodes := testNodes(map[string]int{"a": 4, "b": 2})
	self := planner.Node{Name: "a9", Zone: "a", Region: "a"}
	plan := NewPlan(self, nodes, "a", Key{"m", 1}, map[string]bool{"a0": true, "a1": true, "b0": true}, 0, pieceCount)
	first := map[string]int{}
	for piece := range pieceCount {
		sources := plan.Sources(piece, healthy)
		first[sources[0].From]++
		if last := sources[len(sources)-1]; last.From != Origin || last.After == 0 {
			t.Fatalf("the origin is not the last source: %v", sources)
		}
	}
	if first["a0"] != pieceCount/2 || first["a1"] != pieceCount/2 {
		t.Errorf("pieces by first source: %v", first)
	}
}

func TestHomeRegionWithoutAgentsIsReplaced(t *testing.T) {
	nodes := testNodes(map[string]int{"b": 2, "c": 2})
	origin := 0
	for _, self := range nodes {
		plan := NewPlan(self, nodes, "a", Key{"m", 2}, nil, 0, pieceCount)
		for piece := range pieceCount {
			if plan.Sources(piece, healthy)[0].From == Origin {
				origin++
			}
		}
	}
	if origin != pieceCount {
		t.Errorf("%d pieces leave the origin", origin)
	}
}

func TestNextAgentReplacesFailedAgent(t *testing.T) {
	nodes := testNodes(map[string]int{"a": 4, "b": 2})
	failed := func(name string) bool { return name == "a1" }
	origin := map[string]int{}
	for _, self := range nodes {
		if failed(self.Name) {
			continue
		}
		plan := NewPlan(self, nodes, "a", Key{"m", 2}, nil, 0, pieceCount)
		for piece := range pieceCount {
			sources := plan.Sources(piece, PeerState{Failed: failed, Holds: healthy.Holds})
			if sources[0].From == Origin {
				origin[self.Name]++
			}
			if sources[0].From == "a1" {
				t.Errorf("%s asks the failed agent first", self.Name)
			}
		}
	}
	if sum := origin["a0"] + origin["a2"] + origin["a3"]; sum != pieceCount {
		t.Errorf("pieces from the origin by agent: %v", origin)
	}
}

func TestPiecesAreFetchedFromAnyHolder(t *testing.T) {
	nodes := testNodes(map[string]int{"a": 8})
	peers := PeerState{Failed: healthy.Failed, Holds: func(name string, _ int) bool { return name != "a0" }}
	first := map[string]int{}
	for _, self := range nodes {
		plan := NewPlan(self, nodes, "a", Key{"m", 2}, nil, 0, pieceCount)
		for piece := range pieceCount {
			sources := plan.Sources(piece, peers)
			first[sources[0].From]++
		}
	}
	if first["a0"] > 0 || first["a1"] < pieceCount/2 || first["a1"] > 2*pieceCount {
		t.Errorf("pieces by first source: %v", first)
	}
}

func TestOtherRegionsUseOriginWhenHomeRegionHasFailed(t *testing.T) {
	nodes := testNodes(map[string]int{"a": 3, "b": 3, "c": 2})
	peers := PeerState{Failed: func(name string) bool { return name[0] == 'a' }, Holds: healthy.Holds}
	origin := map[string]int{}
	for _, self := range nodes {
		if peers.Failed(self.Name) {
			continue
		}
		plan := NewPlan(self, nodes, "a", Key{"m", 2}, nil, 0, pieceCount)
		for piece := range pieceCount {
			if plan.Sources(piece, peers)[0].From == Origin {
				origin[self.Region]++
			}
		}
	}
	if origin["b"] != pieceCount || origin["c"] != pieceCount {
		t.Errorf("pieces with the origin as first source, by region: %v", origin)
	}
}
