package forward

import (
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

// superseded is an attempt whose stream was moved to another server because it was slow or silent.
// Its events may have been the last ones: then the other server has none to add, and the end of
// this response shows that the stream is complete. It goes on until the other server sends events.
type superseded struct {
	a *attempt
	// reason and outcome are those of the attempt if it is given up.
	reason  error
	outcome placement.Outcome
	// done is closed once the attempt has ended. The server had more events if further is set
	// then: they are left to the other server.
	done    chan struct{}
	further bool
	// finished is set once its slot was released.
	finished bool
}

// supersede receives the rest of an attempt.
func supersede(a *attempt, reason error, o placement.Outcome) *superseded {
	s := &superseded{a: a, reason: reason, outcome: o, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for p := range a.parts {
			if p.count > 0 {
				s.further = true
				a.cancel()
			}
		}
	}()
	return s
}

// is reports whether the attempt from which the stream was moved is a.
func (s *superseded) is(a *attempt) bool { return s != nil && s.a == a }

// ended returns a channel that is closed once the attempt has ended; nil if there is none.
func (s *superseded) ended() <-chan struct{} {
	if s == nil || s.finished {
		return nil
	}
	return s.done
}

// hasEnded reports whether the attempt has ended.
func (s *superseded) hasEnded() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// complete reports whether the response has ended as complete after the events that the caller has.
func (s *superseded) complete() bool {
	return s != nil && !s.finished && s.hasEnded() && !s.further && s.a.result == resultAnswered
}

// finishSuperseded gives up the attempt from which the stream was moved, unless it has ended, and
// releases its slot.
func (h *Handler) finishSuperseded(cr *callerRequest, s *superseded) {
	if s == nil || s.finished {
		return
	}
	s.finished = true
	givenUp := !s.hasEnded()
	s.a.cancel()
	<-s.done
	if givenUp || s.further {
		s.a.err, s.a.result, s.a.outcome = s.reason, resultUnknown, s.outcome
	}
	h.finishUnused(cr, s.a)
}

// leave moves the request to a slot on another server. It gives up the attempt, unless that has
// sent events of a stream; only one such attempt goes on.
func (w *watch) leave(l *placement.Lease, reason error, o placement.Outcome) {
	w.next = l
	if w.begun && w.cr.route.Kind == deployment.Stream && w.previous.ended() == nil {
		w.superseded = supersede(w.a, reason, o)
		w.h.recordRetry(w.cr, w.a.lease, resultUnknown, reason)
		return
	}
	w.a.giveUp(reason, o)
	w.h.recordRetry(w.cr, w.a.lease, w.a.result, w.a.err)
}

// completedByPrevious handles the end of the attempt from which the stream was moved. It gives up
// this attempt if that completes the stream.
func (w *watch) completedByPrevious() bool {
	if !w.previous.complete() {
		w.h.finishSuperseded(w.cr, w.previous)
		return false
	}
	w.a.giveUp(errSlower, placement.Canceled)
	return true
}

// awaitSuperseded waits until the request's deadline for the end of the attempt from which the
// stream was moved, and reports whether that completes the stream.
func (r *relay) awaitSuperseded() bool {
	ended := r.superseded.ended()
	if ended == nil {
		return false
	}
	timer := r.h.clock.NewTimer(r.h.clock.Until(r.cr.deadline) - responseMargin)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.Chan():
	case <-r.cr.request.Context().Done():
	}
	return r.superseded.complete()
}
