package pieces

import (
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/version/planner"
)

const (
	// leadAgents is the number of agents of a region that become complete first: with one,
	// a fault of it would delay the first copy of the region; each further one delays the
	// first copy by the time to send it a piece.
	leadAgents = 2
	// minFollowers is the smallest number of other agents per lead agent.
	minFollowers = 2
	// secondWaveShare is the part of the other agents of a region, one in so many, that become
	// complete next. It is of use only if pieces leave the origin faster than the agents can
	// pass them on to all: in the simulation it made a third of 76 agents complete 0.6 s
	// earlier where a version leaves the origin in 2.1 s, and delayed the last of 184 agents
	// by 0.4 s where that takes 2.9 s. Five waves delayed the last copy by a quarter.
	secondWaveShare   = 3
	maxWaveOriginTime = 2500 * time.Millisecond
	// minWaveAgents is the smallest number of agents of a region with a second wave.
	minWaveAgents = 12
)

// wave returns the wave of this agent in its region. Agents that hold a piece send it to the
// earlier waves first, so that some agents become complete seconds before the others: engines
// can change version one after the other from then on.
func (p *Plan) wave() int {
	order := p.arr.Fetchers(p.self.Region)
	return waveOf(slices.Index(order, p.self.Name), len(order), p.pieceTime > 0 && p.originDeadline-originTimeMargin <= maxWaveOriginTime)
}

// waveOf returns the wave of the agent at an index of a region's order. fastOrigin is set if
// pieces leave the origin faster than the agents pass them on.
func waveOf(index, count int, fastOrigin bool) int {
	leads := max(1, min(leadAgents, count/(1+minFollowers)))
	switch {
	case index < leads:
		return 0
	case !fastOrigin || count < minWaveAgents || index < leads+(count-leads)/secondWaveShare:
		return 1
	default:
		return 2
	}
}

// LoadOrder returns the agents in the order in which they become complete: the first agents
// of all regions, then the second ones, and so on. It is the same at all agents with equal
// lists of nodes.
func LoadOrder(nodes []planner.Node, key Key) []string {
	arr := planner.Arrange(nodes, key.digest(), planner.Settings{Fetchers: len(nodes)})
	var regions [][]string
	seen := map[string]bool{}
	for _, n := range nodes {
		if !seen[n.Region] {
			seen[n.Region] = true
			regions = append(regions, arr.Fetchers(n.Region))
		}
	}
	slices.SortFunc(regions, slices.Compare)
	var order []string
	for i := range len(nodes) {
		for _, region := range regions {
			if i < len(region) {
				order = append(order, region[i])
			}
		}
	}
	return order
}
