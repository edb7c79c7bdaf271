package forward

import (
	"net/http"
	"time"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

// recordTurnedAway records that a server has refused a request and wants none from this
// entry for a time.
func (h *Handler) recordTurnedAway(service string, a *attempt) {
	if a.ex.Status != http.StatusServiceUnavailable {
		return
	}
	wait, ok := platform.ParseSeconds(a.ex.Header.Get(platform.HeaderRetryAfter))
	if !ok {
		return
	}
	h.metrics.turnedAway.Inc(1)
	left := h.scheduler.turnAway(service, a.lease, wait)
	h.log.Info("server turned a request away", "server", a.lease.Server.Incarnation(), "service", service, "retry_after", wait, "was_closed_for", left)
}

func (sc *scheduler) turnAway(service string, l *placement.Lease, wait time.Duration) (left time.Duration) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	return sc.service(service, now).pool.OnTurnedAway(now, l, wait)
}
