package forward

import (
	"time"

	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

// evacuatedRetryAfter is the retry delay sent to callers if all servers of the service are in
// evacuated zones. That lasts until an operator ends an evacuation, or servers start elsewhere.
const evacuatedRetryAfter = 2 * time.Second

// evacuationState states whether evacuations take all servers of a service.
// scheduler.mu guards it.
type evacuationState struct {
	// whole is set if no server is usable, but would be without evacuations.
	whole bool
	// began is closed when whole is set next; nil if nobody has asked for it.
	began chan struct{}
}

// set records whether evacuations take all servers.
func (e *evacuationState) set(whole bool) {
	if e.whole = whole; whole && e.began != nil {
		close(e.began)
		e.began = nil
	}
}

// begins returns a channel that is closed when evacuations take all servers.
func (e *evacuationState) begins() <-chan struct{} {
	if e.began == nil {
		e.began = make(chan struct{})
	}
	return e.began
}

// withholdEvacuated makes the servers in evacuated zones unusable and returns the number of
// those that were usable. The caller holds mu.
func (sc *scheduler) withholdEvacuated(servers []placement.Server) int {
	if len(sc.view.Evacuated) == 0 {
		return 0
	}
	n := 0
	for i := range servers {
		if s := &servers[i]; s.Usable && sc.view.Evacuated[s.Zone] {
			s.Usable = false
			n++
		}
	}
	return n
}

// evacuatedSince reports whether the zone of a lease's server has been evacuated since the
// lease was granted, so that the request must not be sent.
func (h *Handler) evacuatedSince(cr *callerRequest, l *placement.Lease) bool {
	sc := h.scheduler
	sc.mu.Lock()
	zone := l.CurrentServer().Zone
	evacuated := sc.view.Evacuated[zone]
	sc.mu.Unlock()
	if evacuated {
		h.metrics.evacuated.Inc(1)
		h.log.Info("request not sent to an evacuated zone", "id", cr.id, "server", l.Server.ID, "zone", zone)
	}
	return evacuated
}

// evacuatedError returns the error for a request to a service whose servers are all in
// evacuated zones.
func evacuatedError() error {
	return result.Refuse(result.ZoneEvacuated, evacuatedRetryAfter, "all usable backend servers are in evacuated zones")
}
