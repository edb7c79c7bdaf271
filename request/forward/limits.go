package forward

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/observation"
	"github.com/waxwingpost/waxwingpost/request/serverlimit"
)

// recordLimit records what the response of an attempt says of the server's limit.
func (h *Handler) recordLimit(a *attempt) {
	s, ok := serverlimit.Parse(a.ex.Header.Get(platform.HeaderServerLimit))
	if !ok {
		return
	}
	id, now := a.lease.Incarnation, h.ageClock.Now()
	changed, tell := h.scheduler.recordLimit(id, s, now)
	if changed {
		h.logLimit(id, s, "response", 0)
	}
	if tell {
		h.cfg.Observe(observation.Limit, id, encode(s), now, serverlimit.TTL)
	}
}

// applyLimit applies the statement of a server that another entry has heard.
func (h *Handler) applyLimit(r observation.Record) error {
	var s serverlimit.Statement
	if err := cbor.Unmarshal(r.Body, &s); err != nil {
		return err
	}
	if h.scheduler.applyLimit(r.Key, s, r.At) {
		h.logLimit(r.Key, s, r.Origin, h.ageClock.Now().Sub(r.At))
	}
	return nil
}

// logLimit counts and logs a changed limit.
func (h *Handler) logLimit(id string, s serverlimit.Statement, source string, age time.Duration) {
	h.metrics.limitsChanged.Inc(1)
	h.log.Info("server limit changed", "server", id, "limited", s.Named, "per_second", s.Limit, "source", source, "age", age)
}

// DumpLimits returns the limits of servers for the state dump.
func (h *Handler) DumpLimits() any {
	sc := h.scheduler
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.limits.Dump(sc.ageClock.Now())
}

func (sc *scheduler) recordLimit(id string, s serverlimit.Statement, at boottime.Instant) (changed, tell bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.limits.Record(id, s, at)
}

func (sc *scheduler) applyLimit(id string, s serverlimit.Statement, at boottime.Instant) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.limits.Apply(id, s, at)
}
