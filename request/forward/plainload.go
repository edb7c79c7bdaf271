package forward

import (
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

// recordLoad records the load that a server states with its response. A malformed one is ignored.
func (h *Handler) recordLoad(service string, a *attempt) {
	header := a.ex.Header.Get(platform.HeaderLoad)
	if header == "" {
		return
	}
	load, ok := platform.DecodeLoad(header)
	if !ok {
		h.metrics.loadsMalformed.Inc(1)
		return
	}
	sc := h.scheduler
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	sc.service(service, now).pool.OnLoad(now, a.lease, placement.LoadReport{
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, WorkPercent: load.WorkPercent,
	})
}
