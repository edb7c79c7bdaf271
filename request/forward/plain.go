package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

const (
	// maxBufferedBody is the size up to which a response is read completely before
	// any of it is forwarded, so that the request can be retried if the response
	// is truncated.
	maxBufferedBody = 256 << 10
	// attemptTimeoutTargets is the timeout of an attempt in multiples of the latency
	// target, if the request can be retried on another server.
	attemptTimeoutTargets = 4
	// minAttemptTimeout is the lower bound of that timeout: the platform's longest
	// requests of this kind take 220 ms of work.
	minAttemptTimeout = 600 * time.Millisecond
	// refusedRetryAfter is the retry delay sent to callers whose request was refused
	// by the servers.
	refusedRetryAfter = 300 * time.Millisecond
)

// servePlain serves a request whose response is not an event stream.
func (h *Handler) servePlain(w http.ResponseWriter, cr *callerRequest) {
	h.scheduler.recordOffered(cr)
	repeatable := cr.route.Kind == deployment.Repeatable
	// possibleRuns counts the servers that may have run the request.
	possibleRuns := 0
	var previous *attempt
	var previousBody []byte
	for {
		l, err := h.scheduler.acquire(cr.request.Context(), cr, h.plainWaitDeadline(cr))
		if err != nil {
			if previous != nil && previous.result == resultFailed {
				// The server's error response says more than one of the entry.
				h.writeResponse(w, cr, previous, previousBody, possibleRuns)
				return
			}
			h.writeFailure(w, cr, previous, possibleRuns, err)
			return
		}
		a := h.send(cr.request.Context(), cr, l, h.plainHeaderDeadline(cr, repeatable), "")
		var body []byte
		if a.result == resultAnswered || a.result == resultFailed {
			body = h.readShortResponse(cr, a)
		}
		if a.result == resultAnswered && body == nil {
			h.relayBody(w, cr, a)
			return
		}
		h.finishAttempt(cr, a)
		if a.result != resultNotRun {
			possibleRuns++
		}
		if cr.request.Context().Err() != nil {
			h.recordCallerGone(cr)
			return
		}
		if !h.mayRetry(cr, a, possibleRuns, repeatable) {
			h.writeResponse(w, cr, a, body, possibleRuns)
			return
		}
		previous, previousBody = a, body
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

// plainHeaderDeadline returns the deadline for the response header.
func (h *Handler) plainHeaderDeadline(cr *callerRequest, repeatable bool) time.Time {
	deadline := cr.deadline.Add(-responseMargin)
	if !repeatable || len(cr.triedServers) >= cr.route.MaxServers {
		return deadline
	}
	if attemptDeadline := h.clock.Now().Add(max(attemptTimeoutTargets*cr.route.Aim, minAttemptTimeout)); attemptDeadline.Before(deadline) {
		return attemptDeadline
	}
	return deadline
}

// readShortResponse reads a short response completely. It returns nil for a long
// response of known length, which relayBody forwards. For a truncated response, or
// a long one of unknown length, it returns nil and sets the attempt's result to
// unknown.
func (h *Handler) readShortResponse(cr *callerRequest, a *attempt) []byte {
	a.ex.SetReadDeadline(cr.deadline.Add(-responseMargin))
	if a.ex.Length > maxBufferedBody {
		return nil
	}
	body, err := a.ex.ReadAll(maxBufferedBody)
	if err != nil {
		a.err, a.result, a.outcome = err, resultUnknown, placement.Failed
		return nil
	}
	return body
}

// writeResponse sends the caller the last response, or an error if there is none.
func (h *Handler) writeResponse(w http.ResponseWriter, cr *callerRequest, a *attempt, body []byte, possibleRuns int) {
	if a.result == resultAnswered || a.result == resultFailed && body != nil {
		cr.firstByte = h.clock.Since(cr.start)
		h.metrics.firstByte.Record(cr.firstByte)
		copyResponseHeader(w.Header(), a.ex)
		w.WriteHeader(a.ex.Status)
		_, _ = w.Write(body) // the caller may be gone
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
		a.outcome = placement.Failed
	}
	h.finishAttempt(cr, a)
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
