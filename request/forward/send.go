package forward

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/placement"
	"github.com/waxwingpost/waxwingpost/request/stream"
)

// responseMargin is how long before the caller's deadline its final response is
// sent: it covers the scheduling delay of a busy entry.
const responseMargin = 25 * time.Millisecond

// attemptResult classifies the result of one attempt.
type attemptResult uint8

const (
	// resultAnswered means that the server's response is forwarded to the caller.
	resultAnswered attemptResult = iota
	// resultNotRun means that the server did not run the request and will not.
	resultNotRun
	// resultUnknown means that the server may have run the request, without a usable
	// response.
	resultUnknown
	// resultFailed means that the server ran the request and returned an error.
	resultFailed
)

// classifyError sets the result of an attempt without a response header.
func (a *attempt) classifyError(ctx context.Context) {
	a.outcome, a.result = errorOutcome(ctx, a.err), resultUnknown
	var failure *backend.Error
	if errors.As(a.err, &failure) && failure.Sent == backend.NotSent {
		a.result, a.notSent = resultNotRun, true
		switch {
		case errors.Is(a.err, backend.ErrWithheld), errors.Is(a.err, backend.ErrUnwritable):
			a.outcome = placement.Unused
		case ctx.Err() == nil:
			a.outcome = placement.Failed
		}
	}
}

// errorOutcome classifies the error of an attempt. The deadline and a caller that
// left are not the server's failure; the watch reports its silence.
func errorOutcome(ctx context.Context, err error) placement.Outcome {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, errUnfinished):
		return placement.Failed
	case errors.Is(err, os.ErrDeadlineExceeded) || ctx.Err() != nil:
		return placement.Canceled
	case errors.As(err, &timeout) && timeout.Timeout():
		return placement.Stalled
	default:
		return placement.Failed
	}
}

// classifyResponse sets the result of an attempt by its response header. A
// response without a signature is not forwarded.
func (a *attempt) classifyResponse(streams bool) {
	ex := a.ex
	signed := ex.Header.Get(platform.HeaderSignature) != ""
	switch {
	case ex.Status == http.StatusMisdirectedRequest:
		a.result, a.outcome = resultNotRun, placement.WeightsMissing
	case ex.Header.Get(platform.HeaderNotRun) != "":
		a.result, a.outcome = resultNotRun, placement.Refused
	case ex.Status < 300 && signed && ex.Header.Get("Content-Encoding") == "" && (!streams || stream.IsEventStream(ex.Header)):
		a.result, a.outcome = resultAnswered, placement.Served
	case ex.Status < 300 || !signed:
		a.result, a.outcome = resultUnknown, placement.Failed
		a.err = errors.Newf("unusable response: status %d, signed %v, content type %.40q", ex.Status, signed, ex.Header.Get("Content-Type"))
	case ex.Status >= 500:
		a.result, a.outcome = resultFailed, placement.Failed
	default:
		a.result, a.outcome = resultAnswered, placement.Served
	}
}

// reservedHeaders lists the request headers that are not forwarded from the
// caller: the entry sets them itself, or they concern only one connection or the
// entry.
var reservedHeaders = []string{
	platform.HeaderDeadline, platform.HeaderAuthorization, platform.HeaderAccount, platform.HeaderExpectServer,
	platform.HeaderExpectVersion, platform.HeaderPriority, platform.HeaderPath, "Content-Length", "Expect", "Host",
}

// serverHeader returns the header of the request to a server.
func (h *Handler) serverHeader(cr *callerRequest, l *placement.Lease, resumeAfter string) http.Header {
	out := make(http.Header, len(cr.request.Header)+4)
	stream.CopyEndToEndHeaders(out, cr.request.Header)
	for _, name := range reservedHeaders {
		delete(out, name)
	}
	out[platform.HeaderDeadline] = []string{platform.FormatMilliseconds(cr.deadline.Sub(h.clock.Now()))}
	out[platform.HeaderExpectServer] = []string{l.Server.ID}
	if version := directory.VerifiedVersion(l.Server.Verified, cr.tokens.Model); version > 0 {
		// The server may have loaded another version since its last heartbeat.
		out[platform.HeaderExpectVersion] = []string{strconv.Itoa(version)}
	}
	if cr.account != nil {
		out[platform.HeaderAccount] = []string{cr.account.Name}
	}
	if resumeAfter != "" {
		out[platform.HeaderLastEvent] = []string{resumeAfter}
	}
	return out
}

// copyResponseHeader copies the header of a server's response.
func copyResponseHeader(dst http.Header, ex *backend.Exchange) {
	stream.CopyEndToEndHeaders(dst, ex.Header)
	delete(dst, platform.HeaderLoad)
	if ex.Length >= 0 {
		dst["Content-Length"] = []string{strconv.FormatInt(ex.Length, 10)}
	}
}

// repeatable reports whether more than one server may run the request.
func (cr *callerRequest) repeatable() bool {
	return cr.route.Kind == deployment.Repeatable || cr.route.Kind == deployment.Stream && cr.route.Resumable
}

// sendUntil returns the time until which another server could still answer, or go on
// with a stream, before the caller leaves.
func (cr *callerRequest) sendUntil() time.Time {
	until := cr.deadline.Add(-2 * responseMargin)
	if cr.patience == 0 {
		return until
	}
	if leaves := cr.lastSent.Add(cr.patience - resumeMargin); leaves.Before(until) {
		return leaves
	}
	return until
}

// maySend reports whether the request may be sent to another server after
// possibleRuns servers may have run it.
func (h *Handler) maySend(cr *callerRequest, possibleRuns int) bool {
	if h.ending() || !h.clock.Now().Before(cr.sendUntil()) || len(cr.triedServers) >= maxAttempts {
		return false
	}
	return possibleRuns == 0 || cr.repeatable() && possibleRuns < max(cr.route.MaxServers, 1)
}

// mayRetry reports whether the request may be sent to another server after an
// attempt. An attempt that was not sent costs no retry.
func (h *Handler) mayRetry(cr *callerRequest, a *attempt, possibleRuns int) bool {
	return a.result != resultAnswered && h.maySend(cr, possibleRuns) && !h.suspects.doubtful(cr, a) && (a.notSent || h.scheduler.mayRetry(cr.service))
}

// acquireNext acquires a slot for a request and, if previous is another attempt that
// was sent, takes a retry from the budget.
func (h *Handler) acquireNext(cr *callerRequest, previous *attempt, waitDeadline time.Time) (*placement.Lease, error) {
	l, err := h.scheduler.acquire(cr.request.Context(), cr, waitDeadline)
	if err != nil {
		h.scheduler.recordRefusal(cr.service)
		return nil, err
	}
	if err := h.suspects.refused(cr); err != nil {
		h.releaseUnused(cr, l)
		return nil, err
	}
	if previous == nil {
		return l, nil
	}
	if !previous.notSent && !h.scheduler.tryRetry(cr.service) {
		h.releaseUnused(cr, l)
		return nil, result.Refuse(result.NoBackend, refusedRetryAfter, "the retry budget is spent: %v", lastError(previous))
	}
	h.recordRetry(cr, previous.lease, previous.result, previous.err)
	return l, nil
}

// recordRetry counts and logs that the request is sent to another server.
func (h *Handler) recordRetry(cr *callerRequest, previous *placement.Lease, verdict attemptResult, err error) {
	h.metrics.retried.Inc(1)
	h.log.Info("retrying request on another server", "id", cr.id, "service", cr.service, "after", previous.Server.ID,
		"verdict", verdict.String(), "error", err, "tries", len(cr.triedServers))
}

// maxAttempts bounds the servers to which one request is sent, including those
// that refuse it.
const maxAttempts = 4

// String returns the result's name for logs.
func (r attemptResult) String() string {
	return [...]string{"answered", "not-run", "unknown", "failed"}[r]
}
