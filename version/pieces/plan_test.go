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

// sound is a fleet in which no agent failed and nothing is known of pieces.
var sound = Known{
	Failed: func(string) bool { return false },
	Has:    func(string, int) bool { return false },
}

func TestPieceLeavesTheOriginOnceAndEntersEachRegionOnce(t *testing.T) {
	nodes := fleet(map[string]int{"a": 4, "b": 4, "c": 3})
	origin, far := 0, map[string]int{}
	for _, self := range nodes {
		plan := NewPlan(self, nodes, "a", Key{"m", 2}, nil, 0, pieceCount)
		for piece := range pieceCount {
			switch first := plan.Steps(piece, sound)[0].From; {
			case first == Origin:
				origin++
			case first[:1] != self.Region:
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
		plan := NewPlan(self, nodes, "a", Key{"m", 2}, nil, 0, pieceCount)
		for piece := range pieceCount {
			steps := plan.Steps(piece, sound)
			asked[steps[0].From]++
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
	plan := NewPlan(self, nodes, "a", Key{"m", 1}, map[string]bool{"a0": true, "a1": true, "b0": true}, 0, pieceCount)
	first := map[string]int{}
	for piece := range pieceCount {
		steps := plan.Steps(piece, sound)
		first[steps[0].From]++
		if last := steps[len(steps)-1]; last.From != Origin || last.After == 0 {
			t.Fatalf("the origin is not the last resort: %v", steps)
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
		plan := NewPlan(self, nodes, "a", Key{"m", 2}, nil, 0, pieceCount)
		for piece := range pieceCount {
			if plan.Steps(piece, sound)[0].From == Origin {
				origin++
			}
		}
	}
	if origin != pieceCount {
		t.Errorf("%d pieces leave the origin", origin)
	}
}

func TestNextAgentTakesTheTurnOfOneThatFailed(t *testing.T) {
	nodes := fleet(map[string]int{"a": 4, "b": 2})
	failed := func(name string) bool { return name == "a1" }
	origin := map[string]int{}
	for _, self := range nodes {
		if failed(self.Name) {
			continue
		}
		plan := NewPlan(self, nodes, "a", Key{"m", 2}, nil, 0, pieceCount)
		for piece := range pieceCount {
			steps := plan.Steps(piece, Known{Failed: failed, Has: sound.Has})
			if steps[0].From == Origin {
				origin[self.Name]++
			}
			if steps[0].From == "a1" {
				t.Errorf("%s asks the agent that failed first", self.Name)
			}
		}
	}
	if sum := origin["a0"] + origin["a2"] + origin["a3"]; sum != pieceCount {
		t.Errorf("%v leave the origin", origin)
	}
}

func TestPiecesAreTakenFromAnyAgentThatHasThem(t *testing.T) {
	nodes := fleet(map[string]int{"a": 8})
	known := Known{Failed: sound.Failed, Has: func(name string, _ int) bool { return name != "a0" }}
	first := map[string]int{}
	for _, self := range nodes {
		plan := NewPlan(self, nodes, "a", Key{"m", 2}, nil, 0, pieceCount)
		for piece := range pieceCount {
			steps := plan.Steps(piece, known)
			first[steps[0].From]++
		}
	}
	if first["a0"] > 0 || first["a1"] < pieceCount/2 || first["a1"] > 2*pieceCount {
		t.Errorf("asked first: %v", first)
	}
}

func TestAgentsOfOtherRegionsTurnToTheOriginWhereItsRegionHasFailed(t *testing.T) {
	nodes := fleet(map[string]int{"a": 3, "b": 3, "c": 2})
	gone := Known{Failed: func(name string) bool { return name[0] == 'a' }, Has: sound.Has}
	origin := map[string]int{}
	for _, self := range nodes {
		if gone.Failed(self.Name) {
			continue
		}
		plan := NewPlan(self, nodes, "a", Key{"m", 2}, nil, 0, pieceCount)
		for piece := range pieceCount {
			if plan.Steps(piece, gone)[0].From == Origin {
				origin[self.Region]++
			}
		}
	}
	if origin["b"] != pieceCount || origin["c"] != pieceCount {
		t.Errorf("pieces sought at the origin first, by region: %v", origin)
	}
}
