package forward

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/request/placement"
)

// searchInterval is the time between two searches for a slot that found the queue too
// long or the retry budget spent.
const searchInterval = 200 * time.Millisecond

var (
	// errSilent is the error of an attempt that another server takes over.
	errSilent    = errors.New("the server was silent")
	errWithdrawn = errors.New("the request was withdrawn before its first event")
)

// watch follows one attempt. Once its server has been silent for patience, it looks
// for a slot on another server and gives up the attempt when it has one. Until then
// the attempt goes on.
type watch struct {
	h  *Handler
	cr *callerRequest
	a  *attempt
	// patience is how long the server may be silent before another one is searched
	// for; zero means that it is never.
	patience time.Duration
	// maySwitch reports whether another server may run the request.
	maySwitch func() bool
	timer     clockwork.Timer
	// silentSince is when the server sent something last.
	silentSince time.Time
	// begun is set by the first event.
	begun bool
	// overdue is set while the server has been silent for longer than patience.
	overdue bool
	// search waits for a slot on another server; nil if none is searched for.
	search *slotWait
	// next is the slot that the request moves to, nil unless the attempt was given
	// up for it.
	next *placement.Lease
}

// watch returns a watch of an attempt that has just started. The caller must call
// stop.
func (h *Handler) watch(cr *callerRequest, a *attempt, patience time.Duration, maySwitch func() bool) *watch {
	w := &watch{h: h, cr: cr, a: a, patience: patience, maySwitch: maySwitch, silentSince: h.clock.Now()}
	w.timer = h.clock.NewTimer(w.untilWake(w.silentSince))
	return w
}

// stop ends the watch of an attempt that has ended.
func (w *watch) stop() {
	w.timer.Stop()
	w.stopSearch()
}

// part waits for the next part. It returns false once the attempt has ended: by
// itself, by moving to the slot next, or because it was withdrawn.
func (w *watch) part() (part, bool) {
	w.silentSince = w.h.clock.Now()
	for {
		var granted chan *placement.Lease
		if w.search != nil {
			granted = w.search.granted
		}
		select {
		case p, ok := <-w.a.parts:
			w.resume(p, ok)
			return p, ok
		case l := <-granted:
			select {
			case p, ok := <-w.a.parts:
				w.h.releaseUnused(w.cr, l)
				w.resume(p, ok)
				return p, ok
			default:
			}
			if w.moveTo(l) {
				return part{}, false
			}
		case <-w.timer.Chan():
			if w.wake() {
				return part{}, false
			}
		}
	}
}

// resume notes a part, or the end of the attempt if ok is false.
func (w *watch) resume(p part, ok bool) {
	w.begun = w.begun || p.count > 0
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

// moveTo gives up the attempt for a slot on another server. It returns false if the
// retry budget is spent.
func (w *watch) moveTo(l *placement.Lease) bool {
	w.search = nil
	if !w.h.scheduler.tryRetry(w.cr.service) {
		w.h.releaseUnused(w.cr, l)
		return false
	}
	w.a.giveUp(errSilent, placement.Stalled)
	w.h.logSilence(w.cr, w.a.lease, w.silentSince, w.a.err)
	w.h.recordRetry(w.cr, w.a)
	w.next = l
	return true
}

// wake handles the timer. It returns true if it has withdrawn the request.
func (w *watch) wake() bool {
	now := w.h.clock.Now()
	if !w.begun && !w.a.withdrawAt.IsZero() && !now.Before(w.a.withdrawAt) {
		w.a.giveUp(errWithdrawn, placement.Canceled)
		w.h.logSilence(w.cr, w.a.lease, w.silentSince, w.a.err)
		return true
	}
	if w.patience > 0 && now.Sub(w.silentSince) >= w.patience {
		if !w.overdue {
			w.overdue = true
			w.h.scheduler.recordSilent(w.cr.service, w.a.lease)
		}
		if w.search == nil && w.maySwitch() {
			// No error: it is searched for again at the next wake.
			w.search, _ = w.h.scheduler.requestSlot(w.cr, w.cr.deadline.Add(-2*responseMargin), true)
		}
	}
	w.timer.Reset(w.untilWake(now))
	return false
}

// untilWake returns the time until the next wake.
func (w *watch) untilWake(now time.Time) time.Duration {
	until := max(w.cr.deadline.Sub(now), searchInterval)
	switch {
	case w.patience <= 0:
	case w.overdue:
		until = min(until, searchInterval)
	default:
		until = min(until, w.silentSince.Add(w.patience).Sub(now))
	}
	if !w.begun && !w.a.withdrawAt.IsZero() {
		until = min(until, w.a.withdrawAt.Sub(now))
	}
	return max(until, time.Millisecond)
}

// stopSearch ends the search for another server.
func (w *watch) stopSearch() {
	if w.search == nil {
		return
	}
	w.h.releaseUnused(w.cr, w.search.stop())
	w.search = nil
}
