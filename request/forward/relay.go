package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

const (
	// stallTimeout is how long a server may send nothing before another one resumes
	// the stream: callers leave after two seconds or more.
	stallTimeout = 1500 * time.Millisecond
	// resumeWait bounds the wait for a slot in the middle of a stream: a longer
	// pause would make callers leave.
	resumeWait = 400 * time.Millisecond
	// lateWait bounds the wait for a slot of a late or retried request.
	lateWait = 40 * time.Millisecond
)

// relay forwards one stream to a caller.
type relay struct {
	h  *Handler
	w  http.ResponseWriter
	cr *callerRequest
	// reader keeps its position when the stream is resumed on another server.
	reader eventReader
	// headerSent is set once the response header was sent to the caller.
	headerSent bool
	// possibleRuns counts the servers that may have run the request.
	possibleRuns int
}

// serveStream serves a request whose response is an event stream.
func (h *Handler) serveStream(w http.ResponseWriter, cr *callerRequest) {
	h.scheduler.recordOffered(cr)
	r := &relay{h: h, w: w, cr: cr}
	if lastEvent := cr.request.Header.Get(platform.HeaderLastEvent); lastEvent != "" {
		if id, err := strconv.ParseInt(lastEvent, 10, 64); err == nil {
			r.reader.lastID, r.reader.hasLastID = id, true
		}
	}
	var previous *attempt
	for {
		l, err := h.scheduler.acquire(cr.request.Context(), cr, r.waitDeadline())
		if err != nil {
			r.writeFailure(previous, err)
			return
		}
		a := h.send(cr.request.Context(), cr, l, r.stallDeadline(), r.resumeAfter())
		if a.result == resultAnswered {
			r.relayEvents(a)
		}
		h.finishAttempt(cr, a)
		if a.result == resultAnswered {
			cr.outcome = outcomeServed
			h.logRequest(cr, http.StatusOK, nil)
			return
		}
		if a.result != resultNotRun {
			r.possibleRuns++
		}
		if cr.request.Context().Err() != nil || !h.mayRetry(cr, a, r.possibleRuns, cr.route.Resumable) {
			r.writeFailure(a, nil)
			return
		}
		previous = a
	}
}

// waitDeadline returns the time until which the request may wait for a slot; zero
// leaves the limit to the pool.
func (r *relay) waitDeadline() time.Time {
	now := r.h.clock.Now()
	var until time.Time
	switch {
	case r.headerSent || r.possibleRuns > 0:
		until = now.Add(resumeWait)
	case r.cr.late || len(r.cr.triedServers) > 0:
		until = now.Add(lateWait)
	default:
		return until
	}
	if limit := r.cr.deadline.Add(-2 * responseMargin); until.After(limit) {
		return limit
	}
	return until
}

// stallDeadline returns the deadline for the next event.
func (r *relay) stallDeadline() time.Time {
	stallBy := r.h.clock.Now().Add(stallTimeout)
	if deadline := r.cr.deadline.Add(-responseMargin); stallBy.After(deadline) {
		return deadline
	}
	return stallBy
}

// resumeAfter returns the ID after which the next server resumes the stream, or
// an empty string for its start.
func (r *relay) resumeAfter() string {
	if !r.reader.hasLastID {
		return ""
	}
	return strconv.FormatInt(r.reader.lastID, 10)
}

// relayEvents forwards events until the stream ends, and sets the attempt's
// result if it failed.
func (r *relay) relayEvents(a *attempt) {
	r.reader.reset(a.ex)
	first := true
	for {
		silentSince := r.h.clock.Now()
		a.ex.SetReadDeadline(r.stallDeadline())
		events, count, err := r.reader.next()
		r.h.logSilence(r.cr, a.lease, silentSince, err)
		if len(events) > 0 {
			if first {
				first = false
				r.h.recordFirstEvent(r.cr, a.lease)
			}
			if !r.writeEvents(a, events, count) {
				a.result, a.outcome = resultUnknown, placement.Canceled
				return
			}
		}
		if err == io.EOF { //nolint:errorlint // next returns io.EOF itself
			r.finishStream(a)
			return
		}
		if err != nil {
			r.recordStreamError(a, err)
			return
		}
	}
}

// finishStream handles the end of the stream. A response without framing counts as
// failed: its end can't be distinguished from a truncation.
func (r *relay) finishStream(a *attempt) {
	if !a.ex.Framed() {
		a.err, a.result, a.outcome = io.ErrUnexpectedEOF, resultUnknown, placement.Failed
		return
	}
	if !r.headerSent {
		// A stream without events is complete as well.
		r.writeHeader(a)
	}
}

// recordStreamError sets the result of an attempt whose stream was truncated. A timeout
// close to the deadline or a caller that left is not the server's failure.
func (r *relay) recordStreamError(a *attempt, err error) {
	a.err, a.result, a.outcome = err, resultUnknown, placement.Failed
	if timeout, ok := err.(interface{ Timeout() bool }); ok && timeout.Timeout() {
		a.outcome = placement.Stalled
		if r.h.clock.Until(r.cr.deadline) <= 2*responseMargin {
			a.outcome = placement.Canceled
		}
	}
	if r.cr.request.Context().Err() != nil {
		a.outcome = placement.Canceled
	}
}

// writeHeader sends the response header to the caller.
func (r *relay) writeHeader(a *attempt) {
	r.headerSent = true
	r.cr.firstByte = r.h.clock.Since(r.cr.start)
	r.h.metrics.firstByte.Record(r.cr.firstByte)
	copyResponseHeader(r.w.Header(), a.ex)
	r.w.WriteHeader(a.ex.Status)
}

// writeEvents sends events to the caller and reports whether that succeeded.
func (r *relay) writeEvents(a *attempt, events []byte, count int) bool {
	if !r.headerSent {
		r.writeHeader(a)
	}
	r.cr.eventsSent += count
	if _, err := r.w.Write(events); err != nil {
		return false
	}
	return http.NewResponseController(r.w).Flush() == nil
}

// writeFailure ends a stream that no server completes: with an error status, or by
// aborting the connection if the header was already sent.
func (r *relay) writeFailure(last *attempt, acquireErr error) {
	if !r.headerSent {
		r.h.writeFailure(r.w, r.cr, last, r.possibleRuns, acquireErr)
		return
	}
	if r.cr.request.Context().Err() != nil {
		r.h.recordCallerGone(r.cr)
	} else {
		r.cr.outcome = outcomeAborted
		reason := lastError(last)
		if acquireErr != nil {
			reason = acquireErr
		}
		r.h.logRequest(r.cr, http.StatusOK, result.New(result.AnswerCut, "the stream was aborted after event %d: %v", r.reader.lastID, reason))
	}
	// The caller must not take the partial stream for a complete one.
	panic(http.ErrAbortHandler)
}
