package agent

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingpost/waxwingpost/process/settings"
)

// homeTargets returns the count entries with the highest rendezvous weight for an
// agent, so that adding or removing an entry moves few agents. A count of 0 returns
// all entries.
func homeTargets(agent string, targets map[string]string, count int) map[string]string {
	if count == 0 {
		return targets
	}
	names := settings.Names(targets)
	slices.SortStableFunc(names, func(a, b string) int {
		wa, wb := rendezvousWeight(agent, a), rendezvousWeight(agent, b)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		default:
			return 0
		}
	})
	home := make(map[string]string, count)
	for _, name := range names[:min(count, len(names))] {
		home[name] = targets[name]
	}
	return home
}

func rendezvousWeight(agent, entry string) uint64 {
	return xxhash.Sum64String(agent + "\x00" + entry)
}
