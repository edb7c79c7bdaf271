package forward

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

// usableBuckets are the buckets of the time for which weights remain usable when the first event
// of a request comes; negative after their expiry.
var usableBuckets = tally.DurationBuckets{
	-2 * time.Second, -time.Second, -500 * time.Millisecond, -200 * time.Millisecond, 0,
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second, 8 * time.Second,
}

// weightsUse holds the times at which an attempt used weights that expire. The goroutine of the
// attempt sets first.
type weightsUse struct {
	expiry weightsExpiry
	// granted is when the slot was assigned, and times when the request was sent.
	granted boottime.Instant
	times   backend.SendTimes
	// withdrawn is when the request was withdrawn, first when the first event came, and ended when
	// the attempt had ended; zero if that has not happened.
	withdrawn, first, ended boottime.Instant
}

// weightsExpiry is what this entry knows of the expiry of a server's weights.
type weightsExpiry struct {
	// version is the version that expires first, 0 if none expires, and successor the newer one
	// whose publication limits its use.
	version   int
	successor feed.PublishedVersion
	// until is when the version expires, zero if the time of that publication is not known.
	until boottime.Instant
}

// usable returns for how long the version remains usable; 0 if that is not known.
func (e *weightsExpiry) usable(now boottime.Instant) time.Duration {
	if e.until.IsZero() {
		return 0
	}
	return e.until.Sub(now)
}

// receive records the first event.
func (u *weightsUse) receive(clock boottime.Clock) {
	if u.first.IsZero() {
		u.first = clock.Now()
	}
}

// appendAttrs appends the log attributes, if the weights expire.
func (u *weightsUse) appendAttrs(attrs []any) []any {
	if u == nil || u.expiry.version == 0 {
		return attrs
	}
	e := &u.expiry
	switch {
	case e.until.IsZero():
		return append(attrs, "weights", e.version, "age", "unknown")
	case e.successor.Bound:
		attrs = append(attrs, "weights", e.version, "newer", e.successor.Version, "age", "bound")
	default:
		attrs = append(attrs, "weights", e.version, "newer", e.successor.Version, "age", "exact")
	}
	sent, written := u.times.Get()
	for _, t := range []struct {
		name string
		at   boottime.Instant
	}{
		{"usable_granted_ms", u.granted},
		{"usable_sent_ms", sent},
		{"usable_written_ms", written},
		{"usable_withdrawn_ms", u.withdrawn},
		{"usable_first_ms", u.first},
		{"usable_ended_ms", u.ended},
	} {
		if !t.at.IsZero() {
			attrs = append(attrs, t.name, e.until.Sub(t.at).Milliseconds())
		}
	}
	return attrs
}

// recordWeightsUse records the use of weights that expire by an attempt that has ended: the
// expiry may have become known since the request was sent. It counts a first event that came
// after the expiry, also one that was not passed on, and logs an attempt without an answer that
// may have begun after it.
func (h *Handler) recordWeightsUse(cr *callerRequest, a *attempt) {
	u := &a.use
	u.expiry, _ = h.scheduler.leaseExpiry(cr.service, a.lease)
	if u.expiry.version == 0 {
		return
	}
	u.ended = h.ageClock.Now()
	beganInTime := false
	if !u.first.IsZero() && !u.expiry.until.IsZero() {
		usable := u.expiry.until.Sub(u.first)
		h.metrics.usableAtFirst.RecordDuration(usable)
		if beganInTime = usable >= 0; !beganInTime {
			h.metrics.firstEventLate.Inc(1)
		}
	}
	if a.result == resultUnknown && !beganInTime {
		h.log.Info("attempt on expiring weights not answered",
			u.appendAttrs([]any{"id", cr.id, "server", a.lease.Server.ID, "born", a.lease.Server.Born, "attempt_events", a.events, "error", a.err})...)
	}
}

// expiresSince reports whether the weights of a lease's server were found to expire too soon, or
// at an unknown time, since the lease was granted, so that the request must not be sent.
func (h *Handler) expiresSince(cr *callerRequest, l *placement.Lease) bool {
	e, _ := h.scheduler.leaseExpiry(cr.service, l)
	if e.version == 0 || !e.until.IsZero() && !h.ageClock.Now().After(placement.SendDeadline(e.until)) {
		return false
	}
	h.metrics.expiryWithheld.Inc(1)
	h.log.Info("request not sent on expiring weights", "id", cr.id, "server", l.Server.ID, "weights", e.version, "newer", e.successor.Version,
		"age_known", !e.until.IsZero(), "usable_ms", e.usable(h.ageClock.Now()).Milliseconds())
	return true
}

// leaseExpiry returns the expiry of the weights that the server of a lease held when the slot
// was assigned. changed is closed when that may be another one.
func (sc *scheduler) leaseExpiry(service string, l *placement.Lease) (first weightsExpiry, changed <-chan struct{}) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	config := sc.service(service, sc.clock.Now()).config
	if config == nil {
		return first, sc.weightsChanged
	}
	for _, model := range engineModels(config) {
		e := weightsExpiry{version: directory.VersionOf(l.Server.Held, model)}
		var newest bool
		e.successor, newest = sc.view.Weights[model].Successor(e.version)
		if e.version == 0 || newest {
			// A model that the server lacks was added to the service after that.
			continue
		}
		if e.successor.Version == 0 {
			return e, sc.weightsChanged
		}
		e.until = e.successor.Since.Add(sc.cfg.OldVersionGrace)
		if first.version == 0 || e.until.Before(first.until) {
			first = e
		}
	}
	return first, sc.weightsChanged
}
