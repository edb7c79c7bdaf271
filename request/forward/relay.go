package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

const (
	// stallTimeout is how long a server may send nothing before another one is
	// searched for, which then resumes the stream.
	stallTimeout = 1500 * time.Millisecond
	// minCallerPatience, patienceTargets and patiencePauses bound the gap after which
	// callers abandon a stream: the longest of a fixed time and of multiples of the
	// route's two latency targets.
	minCallerPatience = 2 * time.Second
	patienceTargets   = 4
	patiencePauses    = 8
	// resumeMargin is how long before a caller leaves a server must resume its
	// stream: prefill takes the greatest part of it.
	resumeMargin = 250 * time.Millisecond
	// lateWait bounds the wait for a slot of a late or retried request.
	lateWait = 40 * time.Millisecond
	// returnWait bounds the wait for a slot of a caller who was refused and has come back when a
	// slot was kept for it: an entry frees a slot every 20 to 40 ms, and keeps a tenth of them.
	returnWait = 250 * time.Millisecond
)

// relay forwards one stream to a caller.
type relay struct {
	h  *Handler
	w  http.ResponseWriter
	cr *callerRequest
	// position is that of the caller in the stream.
	position eventReader
	// headerSent is set once the response header was sent to the caller.
	headerSent bool
	// backlog takes the events once the caller reads slowly; nil before.
	backlog *backlog
	// tooSlow and left end the request of a caller that reads too slowly or has left.
	tooSlow, left func()
	// possibleRuns counts the servers that may have run the request.
	possibleRuns int
	// moved is set once the stream was moved from a slow server.
	moved bool
	// superseded is the attempt from which the stream was moved last; nil if it was not moved.
	superseded *superseded
}

// serveStream serves a request whose response is an event stream.
func (h *Handler) serveStream(w http.ResponseWriter, cr *callerRequest) {
	h.scheduler.recordOffered(cr)
	cr.lastSent, cr.patience = cr.start, callerPatience(cr.route)
	if cr.returned() {
		h.metrics.returned.Inc(1)
	}
	r := &relay{h: h, w: w, cr: cr}
	defer r.watchCaller()()
	defer func() { h.finishSuperseded(cr, r.superseded) }()
	r.setPosition(cr.request.Header.Get(platform.HeaderLastEvent))
	var previous *attempt
	var next *placement.Lease
	for {
		if next == nil {
			l, err := h.acquireNext(cr, previous, r.waitDeadline())
			if err != nil {
				r.end(previous, err)
				return
			}
			next = l
		}
		position := r.position
		position.resumed = r.headerSent
		a := h.start(cr, next, &position)
		a, next = r.relayEvents(a)
		if r.superseded.is(a) {
			cr.recordEvents(a)
			r.possibleRuns++
			continue
		}
		h.finishAttempt(cr, a)
		switch {
		case a.result == resultAnswered && a.streaming(), r.superseded.complete():
			r.complete(a)
			return
		case a.result == resultAnswered && !r.headerSent:
			h.writeResponse(w, cr, a, r.possibleRuns)
			return
		case a.result == resultAnswered:
			a.result, a.err = resultFailed, errors.Newf("status %d after event %d", a.ex.Status, r.position.lastID)
		}
		if a.result != resultNotRun {
			r.possibleRuns++
		}
		if cr.request.Context().Err() != nil || next == nil && !h.mayRetry(cr, a, r.possibleRuns) {
			h.releaseUnused(cr, next)
			r.end(a, nil)
			return
		}
		previous = a
	}
}

// complete ends a stream of which the caller was sent all events.
func (r *relay) complete(last *attempt) {
	if !r.flushBacklog() {
		r.writeFailure(last, nil)
		return
	}
	r.cr.outcome = outcomeServed
	r.h.logRequest(r.cr, http.StatusOK, nil)
}

// end ends a stream for which no other server is asked. The attempt from which it was moved may
// still complete it.
func (r *relay) end(last *attempt, acquireErr error) {
	if r.awaitSuperseded() {
		r.complete(last)
		return
	}
	r.writeFailure(last, acquireErr)
}

// setPosition sets the position of a caller that resumes a stream after the event with an ID. Any
// other text stands for the start of the stream.
func (r *relay) setPosition(lastEvent string) {
	if id, err := strconv.ParseInt(lastEvent, 10, 64); err == nil {
		r.position.lastID, r.position.hasLastID = id, true
	}
}

// waitDeadline returns the time until which the request may wait for a slot; zero
// leaves the limit to the pool.
func (r *relay) waitDeadline() time.Time {
	now := r.h.clock.Now()
	var until time.Time
	switch {
	case r.headerSent || r.possibleRuns > 0:
		return r.cr.sendUntil()
	case r.cr.returned():
		until = now.Add(returnWait)
	case r.cr.late || len(r.cr.triedServers) > 0:
		until = now.Add(lateWait)
	default:
		return until
	}
	if limit := r.cr.sendUntil(); until.After(limit) {
		return limit
	}
	return until
}

// returned reports whether the caller of a stream has come back after a refusal, as the time that
// it has left shows, and the stream was not sent to a server since.
func (cr *callerRequest) returned() bool {
	return cr.late && cr.route.Kind == deployment.Stream && len(cr.triedServers) == 0
}

// callerPatience returns the gap after which callers abandon a stream of a route.
func callerPatience(route *deployment.Route) time.Duration {
	return max(minCallerPatience, patienceTargets*route.Aim, patiencePauses*route.MaxPause)
}

// relayEvents forwards events until the attempt ends, and returns it or, if that was answered
// first, the second copy of the request. If the attempt was left for a slot on another
// server, that is returned as well; the attempt is superseded then if it has not ended.
func (r *relay) relayEvents(a *attempt) (*attempt, *placement.Lease) {
	w := r.h.watch(r.cr, a, stallTimeout, func() bool { return r.h.maySend(r.cr, r.possibleRuns+1) })
	defer w.stop()
	w.previous = r.superseded
	if !r.headerSent {
		w.answerBy = r.cr.sendUntil()
		w.allowHedge(&r.possibleRuns, &r.position)
	}
	first, received := true, 0
	var meter eventMeter
	for {
		p, ok := w.part()
		a = w.a
		if !ok {
			break
		}
		if len(p.events) == 0 {
			continue
		}
		if first {
			first = false
			r.h.scheduler.recordFirstEvent(r.cr.service, a.lease)
			r.h.scheduler.recordDelay(r.cr, a.lease)
		}
		if received += p.count; received > 0 {
			r.h.finishSuperseded(r.cr, r.superseded)
		}
		interval := r.h.measureEvents(r.cr, a, &meter, p.count)
		r.h.suspects.recordEvents(r.cr, a, received)
		if err := r.writeEvents(a, p); err != nil {
			a.giveUp(err, placement.Canceled)
			return a, nil
		}
		meter.written(r.h.clock.Now())
		if l := r.fasterServer(a, interval); l != nil && w.moveFromSlow(l) {
			r.moved = true
			break
		}
	}
	if w.superseded != nil {
		r.superseded = w.superseded
		return a, w.next
	}
	if a.result == resultAnswered && a.streaming() && !r.headerSent {
		// A stream without events is complete as well.
		r.writeHeader(a)
	}
	return a, w.next
}

// writeHeader sends the response header to the caller.
func (r *relay) writeHeader(a *attempt) {
	r.headerSent = true
	r.cr.firstByte = r.h.clock.Since(r.cr.start)
	r.h.metrics.firstByte.Record(r.cr.firstByte)
	copyResponseHeader(r.w.Header(), a.ex)
	// Another server may send the rest of the stream.
	delete(r.w.Header(), "Content-Length")
	r.w.WriteHeader(a.ex.Status)
}

// writeEvents sends events to the caller.
func (r *relay) writeEvents(a *attempt, p part) error {
	if !r.headerSent {
		r.writeHeader(a)
	}
	r.cr.eventsSent += p.count
	if p.count > 0 {
		r.position.lastID, r.position.hasLastID = p.lastID, true
	}
	if err := r.passOn(p.events); err != nil {
		return err
	}
	r.cr.lastSent = r.h.clock.Now()
	return nil
}

// writeFailure ends a stream that no server completes: with an error status, or by
// aborting the connection if the header was already sent.
func (r *relay) writeFailure(last *attempt, acquireErr error) {
	switch {
	case !r.headerSent && acquireErr != nil:
		r.h.writeLastResponse(r.w, r.cr, last, r.possibleRuns, acquireErr)
		return
	case !r.headerSent:
		r.h.writeResponse(r.w, r.cr, last, r.possibleRuns)
		return
	}
	switch {
	case errors.Is(context.Cause(r.cr.request.Context()), errSlowReader):
		r.cr.outcome = outcomeAborted
		r.h.logRequest(r.cr, http.StatusOK, result.New(result.MemoryLimit, "the stream was aborted before event %d: %v", r.position.lastID+1, errSlowReader))
	case r.cr.request.Context().Err() != nil:
		r.h.recordCallerGone(r.cr)
	default:
		r.cr.outcome = outcomeAborted
		reason := lastError(last)
		if acquireErr != nil {
			reason = acquireErr
		}
		r.h.logRequest(r.cr, http.StatusOK, result.New(result.AnswerCut, "the stream was aborted after event %d: %v", r.position.lastID, reason))
	}
	// The caller must not take the partial stream for a complete one.
	panic(http.ErrAbortHandler)
}
