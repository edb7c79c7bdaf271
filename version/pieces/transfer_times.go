package pieces

import (
	"maps"
	"slices"
	"time"
)

const (
	// minSlowTime is the time from the first to the last byte of a piece below
	// which no agent counts as slow: on the platform's links, several concurrent
	// pieces take that long.
	minSlowTime = 200 * time.Millisecond
	// slowFactor is the multiple of the median time of all agents above which an
	// agent counts as slow.
	slowFactor = 3
)

// transferTimes holds how long the last piece took from, or to, each agent.
type transferTimes map[string]time.Duration

// slowAgents returns the agents that are much slower than the median. If all
// are slow, this agent's own link is the slow one and none is returned.
func (t transferTimes) slowAgents() map[string]bool {
	if len(t) == 0 {
		return nil
	}
	all := slices.Sorted(maps.Values(t))
	limit := max(minSlowTime, slowFactor*all[(len(all)-1)/2])
	var slow map[string]bool
	for name, took := range t {
		if took >= limit {
			if slow == nil {
				slow = map[string]bool{}
			}
			slow[name] = true
		}
	}
	return slow
}
