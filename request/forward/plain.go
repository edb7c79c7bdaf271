package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

const (
	// maxBufferedBody is the size up to which a response is read completely before
	// any of it is forwarded, so that the request can be retried if the response
	// is truncated.
	maxBufferedBody = 256 << 10
	// minBodyBuffer is the initial size of the buffer for a response of unknown length.
	minBodyBuffer = 512
	// maxFirstBuffer bounds the initial size for one of known length.
	maxFirstBuffer = 16 << 10
	// silenceTargets is how long a server may send nothing before it counts as silent
	// and another one is searched for, in multiples of the latency target.
	silenceTargets = 4
	// minSilence is the lower bound of that time: the platform's longest requests of
	// this kind take 220 ms of work.
	minSilence = 600 * time.Millisecond
	// refusedRetryAfter is the retry delay sent to callers whose request was refused
	// by the servers.
	refusedRetryAfter = 300 * time.Millisecond
)

// servePlain serves a request whose response is not an event stream.
func (h *Handler) servePlain(w http.ResponseWriter, cr *callerRequest) {
	h.scheduler.recordOffered(cr)
	// possibleRuns counts the servers that may have run the request.
	possibleRuns := 0
	var previous *attempt
	var next *placement.Lease
	for {
		if next == nil {
			l, err := h.acquireNext(cr, previous, h.plainWaitDeadline(cr))
			if err != nil {
				h.writeLastResponse(w, cr, previous, possibleRuns, err)
				return
			}
			next = l
		}
		a := h.start(cr, next, nil)
		a, next = h.awaitResponse(cr, a, &possibleRuns)
		if a.result == resultAnswered && a.long() {
			h.relayBody(w, cr, a)
			return
		}
		h.finishAttempt(cr, a)
		if a.result != resultNotRun {
			possibleRuns++
		}
		if cr.request.Context().Err() != nil {
			h.releaseUnused(cr, next)
			h.recordCallerGone(cr)
			return
		}
		if next == nil && !h.mayRetry(cr, a, possibleRuns) {
			h.writeResponse(w, cr, a, possibleRuns)
			return
		}
		previous = a
	}
}

// awaitResponse waits until the attempt ends, or until the header of a long response
// has arrived, and returns the attempt or, if that was answered first, the second copy of the
// request. If the attempt was given up for a slot on another server, that is returned as well.
func (h *Handler) awaitResponse(cr *callerRequest, a *attempt, possibleRuns *int) (*attempt, *placement.Lease) {
	w := h.watch(cr, a, max(silenceTargets*cr.route.Aim, minSilence), func() bool { return h.maySend(cr, *possibleRuns+1) })
	defer w.stop()
	w.allowHedge(possibleRuns, nil)
	for {
		if _, ok := w.part(); !ok {
			if w.a.result == resultAnswered {
				h.scheduler.recordDelay(cr, w.a.lease)
			}
			return w.a, w.next
		}
	}
}

// plainWaitDeadline returns the time until which a request may wait for a slot.
func (h *Handler) plainWaitDeadline(cr *callerRequest) time.Time {
	until := cr.start.Add(cr.route.Aim / 2)
	if cr.late || len(cr.triedServers) > 0 {
		until = h.clock.Now().Add(cr.route.Aim / 4)
	}
	if limit := cr.deadline.Add(-2 * responseMargin); until.After(limit) {
		return limit
	}
	return until
}

// writeLastResponse answers a request that got no slot for another attempt. The
// server's error response says more than one of the entry.
func (h *Handler) writeLastResponse(w http.ResponseWriter, cr *callerRequest, previous *attempt, possibleRuns int, err error) {
	if previous != nil && previous.result == resultFailed {
		h.writeResponse(w, cr, previous, possibleRuns)
		return
	}
	h.writeFailure(w, cr, previous, possibleRuns, err)
}

// writeResponse sends the caller the last response, or an error if there is none.
func (h *Handler) writeResponse(w http.ResponseWriter, cr *callerRequest, a *attempt, possibleRuns int) {
	if a.result == resultAnswered || a.result == resultFailed && a.body != nil {
		cr.firstByte = h.clock.Since(cr.start)
		h.metrics.firstByte.Record(cr.firstByte)
		copyResponseHeader(w.Header(), a.ex)
		h.writeHeld(w, cr, a)
		h.recordServed(cr, a.ex.Status)
		return
	}
	h.writeFailure(w, cr, a, possibleRuns, nil)
}

// relayBody forwards a response that is too long to be buffered. If it is
// truncated, the connection to the caller is aborted.
func (h *Handler) relayBody(w http.ResponseWriter, cr *callerRequest, a *attempt) {
	cr.firstByte = h.clock.Since(cr.start)
	copyResponseHeader(w.Header(), a.ex)
	w.WriteHeader(a.ex.Status)
	_, err := io.Copy(w, a.ex)
	if err != nil {
		a.err, a.result, a.outcome = err, resultUnknown, errorOutcome(cr.request.Context(), err)
	}
	h.finishAttempt(cr, a)
	if cr.request.Context().Err() != nil {
		h.recordCallerGone(cr)
		return
	}
	if err != nil {
		cr.outcome = outcomeAborted
		h.logRequest(cr, a.ex.Status, result.New(result.AnswerCut, "the response was truncated: %v", err))
		panic(http.ErrAbortHandler)
	}
	h.recordServed(cr, a.ex.Status)
}

// recordServed counts and logs a response that was forwarded.
func (h *Handler) recordServed(cr *callerRequest, status int) {
	if status < 300 {
		cr.outcome = outcomeServed
		h.logRequest(cr, status, nil)
		return
	}
	cr.outcome = outcomeFailed
	h.logRequest(cr, status, result.New(result.BackendFailed, "the backend server returned an error"))
}

// writeFailure answers a request without a response from a server. acquireErr is
// the reason if the request got no slot.
func (h *Handler) writeFailure(w http.ResponseWriter, cr *callerRequest, last *attempt, possibleRuns int, acquireErr error) {
	switch {
	case cr.request.Context().Err() != nil:
		h.recordCallerGone(cr)
	case possibleRuns == 0 && acquireErr != nil:
		h.writeError(w, cr, acquireErr)
	case possibleRuns == 0:
		h.writeError(w, cr, result.Refuse(result.NoBackend, refusedRetryAfter, "the servers refused the request: %v", last.err))
	case h.clock.Until(cr.deadline) <= 2*responseMargin:
		h.writeError(w, cr, result.New(result.DeadlineExceeded, "no response before the deadline: %v", lastError(last)))
	default:
		h.writeError(w, cr, result.New(result.BackendFailed, "no complete response: %v", lastError(last)))
	}
}

// lastError returns the cause of a failed attempt, or nil.
func lastError(a *attempt) error {
	if a == nil {
		return nil
	}
	var failure *backend.Error
	if errors.As(a.err, &failure) {
		return failure.Err
	}
	return a.err
}

// recordCallerGone counts and logs a request whose caller left.
func (h *Handler) recordCallerGone(cr *callerRequest) {
	cr.outcome = outcomeCallerGone
	h.logRequest(cr, 0, result.New(result.CallerGone, "the caller disconnected"))
}
