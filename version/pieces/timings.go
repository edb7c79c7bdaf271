package pieces

import (
	"maps"
	"slices"
	"time"
)

const (
	// slowTransfer is the time from the first to the last byte of a piece below
	// which no agent is slow: some pieces at once take it on the platform's links.
	slowTransfer = 200 * time.Millisecond
	// slowFactor is how many times the median of all agents a slow one takes.
	slowFactor = 3
)

// timings holds how long the last piece took from, or to, each agent.
type timings map[string]time.Duration

// slow returns the agents that take much longer than most. Where all take long,
// the own link is the narrow one.
func (t timings) slow() map[string]bool {
	if len(t) == 0 {
		return nil
	}
	all := slices.Sorted(maps.Values(t))
	limit := max(slowTransfer, slowFactor*all[(len(all)-1)/2])
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
