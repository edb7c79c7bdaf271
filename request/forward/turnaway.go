package forward

import (
	"net/http"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

// recordTurnedAway records that a server has refused a request and wants none from this
// entry for a time.
func (h *Handler) recordTurnedAway(service string, a *attempt) {
	if a.ex.Status != http.StatusServiceUnavailable {
		return
	}
	wait, ok := platform.ParseRetryAfter(a.ex.Header.Values(platform.HeaderRetryAfter), h.clock.Now())
	if !ok {
		return
	}
	sc, id := h.scheduler, a.lease.Incarnation
	sc.mu.Lock()
	left := sc.turnedAway.Record(id, wait, sc.clock.Now())
	sc.mu.Unlock()
	h.metrics.turnedAway.Inc(1)
	h.log.Info("server turned a request away", "server", id, "service", service, "retry_after", wait, "was_closed_for", left)
}

// DumpTurnedAway returns the servers that turn requests away for the state dump.
func (h *Handler) DumpTurnedAway() any {
	sc := h.scheduler
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.turnedAway.Dump(sc.clock.Now())
}

// wantsRequest reports whether the server of a lease has not turned requests away since the
// lease was granted.
func (sc *scheduler) wantsRequest(l *placement.Lease) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.turnedAway.Left(l.Incarnation, sc.clock.Now()) == 0
}
