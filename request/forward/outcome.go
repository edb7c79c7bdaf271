package forward

import (
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

// outcome classifies how a request ended for its caller. Each request is counted
// under exactly one.
type outcome uint8

const (
	// outcomeNone means that the handler ended without a response.
	outcomeNone outcome = iota
	outcomeServed
	outcomeRefused
	outcomeFailed
	outcomeCallerGone
	// outcomeAborted means that the connection was closed before the response was
	// complete.
	outcomeAborted
	outcomeCount
)

func outcomeCounters(scope tally.Scope) [outcomeCount]tally.Counter {
	return [outcomeCount]tally.Counter{
		outcomeNone: scope.Counter("unanswered"), outcomeServed: scope.Counter("served"), outcomeRefused: scope.Counter("refused"),
		outcomeFailed: scope.Counter("failed"), outcomeCallerGone: scope.Counter("callers_gone"), outcomeAborted: scope.Counter("aborted"),
	}
}

// maxLoggedStack bounds the stack trace of a panic in the log, in bytes.
const maxLoggedStack = 4 << 10

// countOutcome counts the outcome of a request and logs one that ended without a
// response. It must be deferred by the handler. It panics again if that panicked, and
// aborts the connection of a caller that got no response.
func (h *Handler) countOutcome(cr *callerRequest) {
	cause := recover()
	if cause != nil && cr.outcome == outcomeNone {
		cr.outcome = outcomeAborted
	}
	if cause != nil && cause != http.ErrAbortHandler { //nolint:errorlint // net/http compares the value as well
		stack := debug.Stack()
		h.metrics.panics.Inc(1)
		h.log.Error("request handler panicked", cr.appendTried([]any{
			"id", cr.id, "code", int(result.Internal), "servers", cr.triedServers,
			"error", cause, "stack", string(stack[:min(len(stack), maxLoggedStack)]),
		})...)
		cr.outcome = outcomeAborted
	}
	if cause == nil && cr.outcome == outcomeNone {
		h.log.Error("request ended without a response", cr.appendTried([]any{"id", cr.id, "code", int(result.Internal), "servers", cr.triedServers})...)
	}
	h.metrics.outcomes[cr.outcome].Inc(1)
	switch {
	case cause != nil:
		panic(cause)
	case cr.outcome == outcomeNone || cr.outcome == outcomeCallerGone:
		// net/http would send an empty 200, which reaches a caller that closed only
		// its write side.
		panic(http.ErrAbortHandler)
	}
}

// silenceLogged is how long a server must send nothing for its silence to be logged.
const silenceLogged = time.Second

// logSilence logs a long silence of the server of a request. err is what ended it, or
// nil for more of the response.
func (h *Handler) logSilence(cr *callerRequest, l *placement.Lease, since time.Time, err error) {
	silent := h.clock.Since(since)
	if silent < silenceLogged {
		return
	}
	var timeout interface{ Timeout() bool }
	endedBy := "response"
	switch {
	case err == nil:
	case errors.Is(err, errSilent):
		endedBy = "other_server"
	case errors.Is(err, errWithdrawn):
		endedBy = "withdrawal"
	case errors.Is(err, errNoEvent):
		endedBy = "patience"
	case cr.request.Context().Err() != nil:
		endedBy = "caller"
	case errors.As(err, &timeout) && timeout.Timeout():
		endedBy = "timeout"
	case errors.Is(err, io.EOF):
		endedBy = "end"
	default:
		endedBy = "error"
	}
	h.log.Info("server was silent", "id", cr.id, "server", l.Server.ID, "silent_ms", silent.Milliseconds(), "ended_by", endedBy,
		"events", cr.eventsSent, "deadline_ms", h.clock.Until(cr.deadline).Milliseconds())
}
