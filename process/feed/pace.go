package feed

import (
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/directory"
)

// applyPaces applies reports of the speed of engines to a table and returns those that
// changed it.
func applyPaces(table *directory.Table, paces []directory.EnginePace) []directory.EnginePace {
	var changed []directory.EnginePace
	for _, p := range paces {
		if table.SetPace(p) {
			changed = append(changed, p)
		}
	}
	return changed
}

// UpdatePace applies an agent's report of its engine's speed.
func (h *Hub) UpdatePace(p directory.EnginePace) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.SetPace(p) {
		h.log.Info("engine pace changed", "address", p.Address, "born", p.Born, "pace", p.Pace)
		h.broadcast(wire.Update{Paces: []directory.EnginePace{p}}, true)
	}
}

// applyPaces applies the paces of an update and reports whether they or something else
// changed. The caller holds mu.
func (f *Follower) applyPaces(paces []directory.EnginePace, changed bool) bool {
	return len(applyPaces(f.table, paces)) > 0 || changed
}
