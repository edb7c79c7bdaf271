package pieces

import (
	"fmt"
	"testing"

	"github.com/waxwingpost/waxwingpost/version/planner"
)

func fleet(perRegion map[string]int) []planner.Node {
	var nodes []planner.Node
	for region, n := range perRegion {
		for i := range n {
			nodes = append(nodes, planner.Node{Name: fmt.Sprint(region, i), Zone: region, Region: region})
		}
	}
	return nodes
}

const pieceCount = 64

func TestPieceLeavesTheOriginOnceAndEntersEachRegionOnce(t *testing.T) {
	nodes := fleet(map[string]int{"a": 4, "b": 4, "c": 3})
	origin, far := 0, map[string]int{}
	for _, self := range nodes {
		plan := NewPlan(self, nodes, "a", Key{"m", 2}, nil)
		for piece := range pieceCount {
			switch _, lane := plan.Sources(piece); lane {
			case FromOrigin:
				origin++
			case FromFar:
				far[self.Region]++
			}
		}
	}
	if origin != pieceCount || far["a"] != 0 || far["b"] != pieceCount || far["c"] != pieceCount {
		t.Errorf("%d pieces leave the origin, %v enter regions", origin, far)
	}
}

func TestAgentsSendEqualParts(t *testing.T) {
	nodes := fleet(map[string]int{"a": 13, "b": 8, "c": 7})
	asked := map[string]int{}
	for _, self := range nodes {
		plan := NewPlan(self, nodes, "a", Key{"m", 2}, nil)
		for piece := range pieceCount {
			sources, _ := plan.Sources(piece)
			asked[sources[0]]++
		}
	}
	for _, n := range nodes {
		// Each sends about as many pieces as it takes; those of the origin's region
		// also send to the other regions.
		if sent := asked[n.Name]; sent > pieceCount*13/10 {
			t.Errorf("%s sends %d pieces", n.Name, sent)
		}
	}
}

func TestAddedAgentAsksThoseThatHoldTheVersion(t *testing.T) {
	nodes := fleet(map[string]int{"a": 4, "b": 2})
	self := planner.Node{Name: "a9", Zone: "a", Region: "a"}
	plan := NewPlan(self, nodes, "a", Key{"m", 1}, map[string]bool{"a0": true, "a1": true, "b0": true})
	first := map[string]int{}
	for piece := range pieceCount {
		sources, _ := plan.Sources(piece)
		first[sources[0]]++
		if sources[len(sources)-1] != Origin {
			t.Fatalf("the origin is not the last resort: %v", sources)
		}
	}
	if first["a0"] != pieceCount/2 || first["a1"] != pieceCount/2 {
		t.Errorf("asked first: %v", first)
	}
}

func TestRegionWithoutAgentsLeavesTheOriginToOthers(t *testing.T) {
	nodes := fleet(map[string]int{"b": 2, "c": 2})
	origin := 0
	for _, self := range nodes {
		plan := NewPlan(self, nodes, "a", Key{"m", 2}, nil)
		for piece := range pieceCount {
			if _, lane := plan.Sources(piece); lane == FromOrigin {
				origin++
			}
		}
	}
	if origin != pieceCount {
		t.Errorf("%d pieces leave the origin", origin)
	}
}
