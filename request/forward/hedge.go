package forward

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/hedge"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

// errSlower is the error of the copy of a request that was answered later than the other one.
var errSlower = errors.New("the other copy of the request was answered first")

// secondCopy is the second copy of a request, which a watch sends to another server if the first
// one is slow. It is the zero value if none may be sent.
type secondCopy struct {
	// timer fires when the copy may be sent; nil if it may not, or was sent.
	timer clockwork.Timer
	// a is the attempt; nil while there is none.
	a *attempt
	// weights is the weightsUse of the first copy.
	weights *weightsUse
	// begun is set once a response that is not a stream has begun.
	begun bool
}

// due returns the channel that receives a value when the second copy may be sent.
func (s *secondCopy) due() <-chan time.Time {
	if s.timer == nil {
		return nil
	}
	return s.timer.Chan()
}

// parts returns the channel of the attempt, nil if there is none.
func (s *secondCopy) parts() chan part {
	if s.a == nil {
		return nil
	}
	return s.a.parts
}

// allowHedge lets the watch send a second copy of a request to which its server has not responded
// for longer than to most others. runs counts the servers that may have run the request, and
// position is that of the caller in the stream; nil if the response is not a stream.
func (w *watch) allowHedge(runs *int, position *eventReader) {
	if w.cr.late || w.cr.eventsSent > 0 || len(w.a.trials) > 0 {
		return
	}
	delay, ok := w.h.scheduler.hedgeDelay(w.cr)
	if !ok {
		return
	}
	w.runs = runs
	if position != nil {
		w.position = *position
	}
	w.second.timer = w.h.clock.NewTimer(delay)
}

// sendSecond sends the second copy if there is room for it.
func (w *watch) sendSecond() {
	w.second.timer = nil
	if w.begun || w.overdue || w.search != nil || !w.maySwitch() {
		return
	}
	l := w.h.scheduler.acquireSecond(w.cr)
	if l == nil {
		return
	}
	if w.h.suspects.refused(w.cr) != nil {
		w.h.releaseUnused(w.cr, l)
		return
	}
	w.second.weights = w.cr.weights
	var events *eventReader
	if w.cr.route.Kind == deployment.Stream {
		position := w.position
		events = &position
	}
	w.second.a = w.h.start(w.cr, l, events)
	w.h.metrics.hedged.Inc(1)
	w.h.log.Info("second copy of a slow request sent", "id", w.cr.id, "service", w.cr.service, "first", w.a.lease.Server.ID, "second", l.Server.ID,
		"after_ms", w.h.clock.Since(w.a.lease.Granted()).Milliseconds())
}

// receiveSecond handles a part of the second copy, or its end if ok is false. It reports whether
// the second copy has taken the place of the first one, so that the part is the caller's.
func (w *watch) receiveSecond(p part, ok bool) bool {
	a := w.second.a
	switch {
	case ok && len(p.events) == 0:
		w.second.begun = w.second.begun || w.begins(p)
		return false
	case ok, a.result == resultAnswered:
		first := w.a
		first.giveUp(errSlower, placement.Canceled)
		w.h.metrics.hedgesWon.Inc(1)
		w.h.scheduler.recordHedge(w.cr, first.lease, true)
		w.replaceBySecond()
		return true
	default:
		// The first copy goes on alone.
		w.finishCopy(a)
		w.cr.weights, w.second = w.second.weights, secondCopy{}
		return false
	}
}

// receiveFirst handles a part of the first copy while there is a second one. It returns false if
// the second copy has taken the place of the first one, which has failed.
func (w *watch) receiveFirst(p part, ok bool) bool {
	switch {
	case w.second.a == nil, ok && len(p.events) == 0, w.beginsTooLate(p, ok):
		return true
	case !ok && w.a.result != resultAnswered:
		w.replaceBySecond()
		return false
	default:
		w.endSecond()
		return true
	}
}

// replaceBySecond puts the second copy in the place of the first one, which has ended.
func (w *watch) replaceBySecond() {
	first := w.a
	w.a, w.begun, w.second = w.second.a, w.second.begun, secondCopy{}
	w.finishCopy(first)
	w.stopSearch()
	w.overdue = false
	if w.suspected == nil && !w.begun && len(w.a.trials) == 0 {
		// The response of the first copy had begun, so that suspicions did not matter.
		w.suspected = closed
	}
	w.silentSince = w.h.clock.Now()
	w.updateExpiry()
	w.timer.Reset(w.untilWake(w.silentSince))
}

// endSecond gives up the second copy, if there is one or may be one.
func (w *watch) endSecond() {
	if w.second.timer != nil {
		w.second.timer.Stop()
	}
	if a := w.second.a; a != nil {
		a.giveUp(errSlower, placement.Canceled)
		w.finishCopy(a)
		w.cr.weights = w.second.weights
		w.h.scheduler.recordHedge(w.cr, a.lease, false)
	}
	w.second = secondCopy{}
}

// withdrawSecond gives up the second copy if it has not begun and the weights of its server have
// come to expire: only the expiry of the first copy is followed until its end.
func (w *watch) withdrawSecond() {
	a := w.second.a
	if a == nil || w.second.begun {
		return
	}
	e, _ := w.h.scheduler.leaseExpiry(w.cr.service, a.lease)
	if e.version == 0 {
		return
	}
	a.use.withdrawn = w.h.ageClock.Now()
	a.giveUp(errWithdrawn, placement.Canceled)
	w.recordWithdrawal(a, e.usable(a.use.withdrawn))
	w.finishCopy(a)
	w.cr.weights, w.second = w.second.weights, secondCopy{}
}

// closed is a closed channel.
var closed = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// finishUnused finishes an attempt that is not the answer. A panic of its goroutine is only counted
// and logged: another attempt goes on, and its slot must be released as well.
func (h *Handler) finishUnused(cr *callerRequest, a *attempt) {
	if a.panicked != nil {
		h.metrics.panics.Inc(1)
		h.log.Error("copy of a request panicked", "id", cr.id, "code", int(result.Internal), "server", a.lease.Server.ID, "error", a.panicked)
		a.panicked = nil
	}
	h.finishAttempt(cr, a)
}

// finishCopy finishes a copy that is not the answer.
func (w *watch) finishCopy(a *attempt) {
	w.h.finishUnused(w.cr, a)
	if a.result != resultNotRun {
		*w.runs++
	}
}

// hedgeDelay returns the time after which a second copy of a request may be sent, or false if
// none may be.
func (sc *scheduler) hedgeDelay(cr *callerRequest) (time.Duration, bool) {
	if sc.hedges == nil {
		return 0, false
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	return sc.hedges.Delay(cr.service, cr.tokens.Prompt, cr.deadline.Sub(now), now)
}

// acquireSecond assigns a slot to the second copy of a request and takes a retry from the budget,
// or returns nil if there is no room. Servers whose weights expire are not used: the copy could
// begin after that.
func (sc *scheduler) acquireSecond(cr *callerRequest) *placement.Lease {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	st := sc.service(cr.service, now)
	inFlight, slots := st.pool.Use()
	load := hedge.Load{Waiting: st.pool.Waiting(), InFlight: inFlight, Slots: slots}
	if !sc.hedges.Allows(cr.service, load, now) {
		return nil
	}
	req := placement.Request{
		PromptTokens: cr.tokens.Prompt, LatencyTarget: cr.firstEventTarget(), Priority: cr.priority(), Exclude: cr.triedServers, Regions: sc.regionsNow(cr),
	}
	sc.setExpected(cr, &req)
	l := st.pool.TryAcquire(now, req)
	if l == nil {
		return nil
	}
	if !l.Server.WeightsUntil.IsZero() || !st.retryBudget.TryRetry(now) {
		st.pool.Release(now, l, placement.Unused)
		return nil
	}
	sc.hedges.Take(cr.service)
	return l
}

// recordHedge records the end of a copy that was given up for the other one, and whether the
// second one was faster.
func (sc *scheduler) recordHedge(cr *callerRequest, loser *placement.Lease, secondWon bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	sc.hedges.RecordResult(cr.service, secondWon, now)
	if secondWon {
		// A second copy that loses is given up before most copies are answered.
		sc.hedges.RecordDelay(cr.service, cr.tokens.Prompt, now.Sub(loser.Granted()), now)
	}
}

// recordDelay records how long a copy took to its first event or, without one, to its response.
func (sc *scheduler) recordDelay(cr *callerRequest, l *placement.Lease) {
	if sc.hedges == nil {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	sc.hedges.RecordDelay(cr.service, cr.tokens.Prompt, now.Sub(l.Granted()), now)
}

// recordRefusal records that a request was refused.
func (sc *scheduler) recordRefusal(service string) {
	if sc.hedges == nil {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.hedges.RecordRefusal(service, sc.clock.Now())
}

// DumpHedges returns the state of second copies for the state dump.
func (h *Handler) DumpHedges() any {
	sc := h.scheduler
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.hedges.Dump(sc.clock.Now())
}
