package forward

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

// searchInterval is the time between two searches for a slot that found the queue too
// long or the retry budget spent.
const searchInterval = 200 * time.Millisecond

const (
	// suspensionInterval bounds the sleep until a withdrawal: timers stop while the VM
	// is suspended.
	suspensionInterval = 250 * time.Millisecond
	// unknownAgeDelay is how long a request waits for the time of publication of a newer
	// version before it is withdrawn.
	unknownAgeDelay = 300 * time.Millisecond
)

var (
	// errSilent is the error of an attempt that another server takes over.
	errSilent    = errors.New("the server was silent")
	errWithdrawn = errors.New("the request was withdrawn before its first event")
	// errNoEvent is the error of an attempt whose caller is about to leave.
	errNoEvent = errors.New("the server sent no event while the caller waits")
	errEnding  = errors.New("the process is about to exit")
	// errSuspected is the error of an attempt of a request that the quarantine has come to
	// refuse.
	errSuspected = errors.New("the request or a part of its prompt is suspected of crashing servers")
)

// watch follows one attempt. Once its server has been silent for patience, it looks
// for a slot on another server and gives up the attempt when it has one. Until then
// the attempt goes on.
type watch struct {
	h  *Handler
	cr *callerRequest
	a  *attempt
	// patience is how long the server may be silent before another one is searched
	// for.
	patience time.Duration
	// maySwitch reports whether another server may run the request.
	maySwitch func() bool
	timer     clockwork.Timer
	// silentSince is when the server sent something last.
	silentSince time.Time
	// begun is set by the first event, or by the header of a response that is not a
	// stream.
	begun bool
	// answerBy is when the attempt ends unless it has begun, so that the caller gets an
	// answer before it leaves; zero if it has received a part of the stream.
	answerBy time.Time
	// expiry is when the weights expire on which the request would begin; zero if they
	// don't. changed is closed when that may be another time.
	expiry  boottime.Instant
	changed <-chan struct{}
	// ageDue is when the weights count as expired if the time of publication of a newer
	// version remains unknown; zero if it was never unknown.
	ageDue boottime.Instant
	// suspected is closed when a request or a part of a prompt is suspected; nil once that
	// does not concern the request.
	suspected <-chan struct{}
	// overdue is set while the server has been silent for longer than patience.
	overdue bool
	// search waits for a slot on another server; nil if none is searched for.
	search *slotWait
	// next is the slot that the request moves to, nil unless the attempt was left for it.
	next *placement.Lease
	// superseded is the attempt that was left, if its response goes on, and previous one that
	// was left before.
	superseded, previous *superseded
	// second is the second copy of the request. runs counts the servers that may have run
	// the request, and position is that of its caller; both are set if a second copy may be
	// sent.
	second   secondCopy
	runs     *int
	position eventReader
}

// watch returns a watch of an attempt that has just started. The caller must call
// stop.
func (h *Handler) watch(cr *callerRequest, a *attempt, patience time.Duration, maySwitch func() bool) *watch {
	w := &watch{h: h, cr: cr, a: a, patience: patience, maySwitch: maySwitch, silentSince: h.clock.Now()}
	w.updateExpiry()
	if len(a.trials) == 0 {
		_, w.suspected = h.suspects.mustWithdraw(cr)
	}
	w.timer = h.clock.NewTimer(w.untilWake(w.silentSince))
	return w
}

// stop ends the watch of an attempt that has ended.
func (w *watch) stop() {
	w.timer.Stop()
	w.stopSearch()
	w.endSecond()
}

// part waits for the next part. It returns false once the attempt has ended: by
// itself, by moving to the slot next, or because it was withdrawn.
func (w *watch) part() (part, bool) {
	w.silentSince = w.h.clock.Now()
	for ended := false; !ended; {
		select {
		case p, ok := <-w.a.parts:
			if w.receiveFirst(p, ok) {
				return w.receive(p, ok)
			}
		case <-w.second.due():
			w.sendSecond()
		case p, ok := <-w.second.parts():
			if w.receiveSecond(p, ok) {
				return w.receive(p, ok)
			}
		case l := <-w.searchResult():
			if p, ok, done := w.onSlot(l); done {
				return p, ok
			}
		case <-w.previous.ended():
			ended = w.completedByPrevious()
		case <-w.ending():
			return w.end()
		case <-w.suspected:
			ended = w.withdrawSuspected()
		case <-w.changed:
			w.updateExpiry()
			w.withdrawSecond()
			w.timer.Reset(w.untilWake(w.h.clock.Now()))
		case <-w.timer.Chan():
			if p, ok, done := w.onTimer(); done {
				return p, ok
			}
		}
	}
	return part{}, false
}

// searchResult returns the channel of the slot on another server; nil if none is searched for.
func (w *watch) searchResult() <-chan *placement.Lease {
	if w.search == nil {
		return nil
	}
	return w.search.granted
}

// end gives up the attempt because the process is about to exit, unless a part is ready.
func (w *watch) end() (part, bool) {
	if p, ok, ready := w.readyPart(); ready && w.receiveFirst(p, ok) {
		return w.receive(p, ok)
	}
	w.a.giveUp(errEnding, placement.Canceled)
	return part{}, false
}

// onSlot handles a slot on another server. done is set if there is a part or the attempt was left.
func (w *watch) onSlot(l *placement.Lease) (p part, ok, done bool) {
	if p, ok, ready := w.readyPart(); ready {
		w.h.releaseUnused(w.cr, l)
		p, ok = w.receive(p, ok)
		return p, ok, true
	}
	return part{}, false, w.moveTo(l)
}

// onTimer handles the timer. done is set if there is a part or the attempt has ended.
func (w *watch) onTimer() (p part, ok, done bool) {
	if p, ok, ready := w.readyPart(); ready {
		w.timer.Reset(w.untilWake(w.silentSince))
		if !w.receiveFirst(p, ok) {
			return part{}, false, false
		}
		p, ok = w.receive(p, ok)
		return p, ok, true
	}
	return part{}, false, w.wake()
}

// readyPart returns the next part without waiting for it. ready is false if there is none.
func (w *watch) readyPart() (p part, ok, ready bool) {
	select {
	case p, ok = <-w.a.parts:
		return p, ok, true
	default:
		return part{}, false, false
	}
}

// receive handles a part, or the end of the attempt if ok is false. A request whose
// first event comes after the expiry of its weights may have begun after it, and is
// withdrawn if another server may run it.
func (w *watch) receive(p part, ok bool) (part, bool) {
	if w.beginsTooLate(p, ok) {
		return part{}, !w.withdraw()
	}
	w.resume(p, ok)
	return p, ok
}

// beginsTooLate reports whether a part shows that the request may have begun after the expiry of
// its weights, while another server runs it or may run it.
func (w *watch) beginsTooLate(p part, ok bool) bool {
	return ok && !w.begun && w.begins(p) && !w.expiry.IsZero() && !w.h.ageClock.Now().Before(w.expiry) && (w.second.a != nil || w.maySwitch())
}

// begins reports whether a part shows that the request has begun.
func (w *watch) begins(p part) bool { return len(p.events) > 0 || w.cr.route.Kind != deployment.Stream }

// withdraw gives up the attempt because of the expiry of the server's weights. It returns false if
// the second copy has taken its place.
func (w *watch) withdraw() bool {
	w.a.use.withdrawn = w.h.ageClock.Now()
	w.a.giveUp(errWithdrawn, placement.Canceled)
	w.recordWithdrawal(w.a, w.expiry.Sub(w.h.ageClock.Now()))
	w.h.logSilence(w.cr, w.a.lease, w.silentSince, w.a.err)
	if w.second.a == nil {
		return true
	}
	w.replaceBySecond()
	return false
}

// recordWithdrawal counts and logs that an attempt was given up because of the expiry of its
// server's weights, which were usable for that long.
func (w *watch) recordWithdrawal(a *attempt, usable time.Duration) {
	w.h.metrics.withdrawn.Inc(1)
	w.h.log.Info("request withdrawn because its weights expire", "id", w.cr.id, "server", a.lease.Server.ID,
		"weights", a.lease.Server.WeightsVersion, "usable_ms", usable.Milliseconds())
}

// withdrawSuspected gives up the attempt if the request or a part of its prompt is suspected
// and it has not begun: it would end another server.
func (w *watch) withdrawSuspected() bool {
	var refused bool
	refused, w.suspected = w.h.suspects.mustWithdraw(w.cr)
	if !refused {
		return false
	}
	w.a.giveUp(errSuspected, placement.Canceled)
	w.h.log.Info("request withdrawn because it is suspected", "id", w.cr.id, "server", w.a.lease.Server.ID, "request", w.cr.digest(), "parts", w.cr.parts)
	return true
}

// updateExpiry determines when the weights expire. The wait for an unknown time of publication
// does not start again when more versions are published.
func (w *watch) updateExpiry() {
	var e weightsExpiry
	e, w.changed = w.h.scheduler.leaseExpiry(w.cr.service, w.a.lease)
	if w.expiry = e.until; e.version == 0 || !e.until.IsZero() {
		return
	}
	if w.ageDue.IsZero() {
		// The time of publication follows at once unless no control process knows it.
		w.ageDue = w.h.ageClock.Now().Add(directory.WithdrawMargin + unknownAgeDelay)
	}
	w.expiry = w.ageDue
}

// untilWithdrawal returns the time until the request must be withdrawn. It returns
// false if there is no such time.
func (w *watch) untilWithdrawal() (time.Duration, bool) {
	if w.begun || w.expiry.IsZero() {
		return 0, false
	}
	return w.expiry.Add(-directory.WithdrawMargin).Sub(w.h.ageClock.Now()), true
}

// resume notes a part, or the end of the attempt if ok is false.
func (w *watch) resume(p part, ok bool) {
	if w.begun = w.begun || w.begins(p); w.begun {
		w.suspected = nil
		if w.second.a == nil {
			w.changed = nil
		}
	}
	if len(p.events) > 0 {
		w.endSecond()
	}
	var err error
	if !ok {
		err = w.a.err
	}
	w.h.logSilence(w.cr, w.a.lease, w.silentSince, err)
	if !w.overdue {
		return
	}
	w.stopSearch()
	if !ok {
		return
	}
	w.overdue = false
	w.h.scheduler.recordResumed(w.cr.service, w.a.lease)
	w.timer.Reset(w.untilWake(w.h.clock.Now()))
}

// moveTo leaves the attempt for a slot on another server. It returns false if that
// came too late or the retry budget is spent.
func (w *watch) moveTo(l *placement.Lease) bool {
	w.search = nil
	if !w.maySwitch() || !w.h.scheduler.tryRetry(w.cr.service) {
		w.h.releaseUnused(w.cr, l)
		return false
	}
	w.h.logSilence(w.cr, w.a.lease, w.silentSince, errSilent)
	w.leave(l, errSilent, placement.Stalled)
	return true
}

// wake handles the timer. It returns true if it has ended the attempt.
func (w *watch) wake() bool {
	now := w.h.clock.Now()
	if remaining, expires := w.untilWithdrawal(); expires && remaining <= 0 {
		return w.withdraw()
	}
	if w.mustAnswer() && !now.Before(w.answerBy) {
		w.a.giveUp(errNoEvent, placement.Stalled)
		w.h.logSilence(w.cr, w.a.lease, w.silentSince, w.a.err)
		return true
	}
	if now.Sub(w.silentSince) >= w.patience {
		if !w.overdue {
			w.overdue = true
			w.h.scheduler.recordSilent(w.cr.service, w.a.lease)
		}
		if w.search == nil && w.second.a == nil && w.maySwitch() {
			// No error: it is searched for again at the next wake.
			w.search, _ = w.h.scheduler.requestSlot(w.cr, w.cr.sendUntil(), true)
		}
	}
	w.timer.Reset(w.untilWake(now))
	return false
}

// untilWake returns the time until the next wake.
func (w *watch) untilWake(now time.Time) time.Duration {
	until := max(w.cr.deadline.Sub(now), searchInterval)
	if w.overdue {
		until = min(until, searchInterval)
	} else {
		until = min(until, w.silentSince.Add(w.patience).Sub(now))
	}
	if w.mustAnswer() {
		until = min(until, w.answerBy.Sub(now))
	}
	if remaining, expires := w.untilWithdrawal(); expires {
		until = min(until, remaining, suspensionInterval)
	}
	return max(until, time.Millisecond)
}

// ending returns the channel that is closed when the requests in progress must end. It is
// nil once the caller has a part of the stream, which only the end of the process cuts off.
func (w *watch) ending() <-chan struct{} {
	if w.cr.route.Kind == deployment.Stream && (w.begun || w.answerBy.IsZero()) {
		return nil
	}
	return w.h.scheduler.ending
}

// mustAnswer reports whether the attempt ends at answerBy.
func (w *watch) mustAnswer() bool { return !w.begun && !w.answerBy.IsZero() }

// stopSearch ends the search for another server.
func (w *watch) stopSearch() {
	if w.search == nil {
		return
	}
	w.h.releaseUnused(w.cr, w.search.stop())
	w.search = nil
}
