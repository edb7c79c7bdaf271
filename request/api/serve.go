package api

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/admission"
	"github.com/waxwingpost/waxwingpost/request/reqlog"
	"github.com/waxwingpost/waxwingpost/request/routing"
	"github.com/waxwingpost/waxwingpost/request/stream"
)

// proxiedResponse is a response being forwarded to the caller, with the
// resources that finish releases.
type proxiedResponse struct {
	req    *request
	resp   *http.Response
	lease  *routing.Lease
	grant  *admission.Grant
	cancel context.CancelFunc
	ctx    context.Context
	// version is the version that served the response.
	version string
	// tried names the servers that count as attempts; fullAgents names those
	// that refused the request because they were full.
	tried      []string
	fullAgents []string
	// eventStream is set on a stream of server-sent events, which is checked
	// event by event.
	eventStream bool
	// buffered is the body if it was read before forwarding, otherwise nil.
	buffered []byte
	// maybeRan is set once an attempt may have run.
	maybeRan bool
	finished bool
}

// finish releases the resources of the request. It is idempotent.
func (pr *proxiedResponse) finish(o routing.Outcome, bytes int64) {
	if pr.finished {
		return
	}
	pr.finished = true
	if pr.resp != nil {
		_ = pr.resp.Body.Close()
	}
	if pr.lease != nil {
		pr.lease.Done(o, bytes)
	}
	pr.grant.Release(o == routing.OK)
	pr.cancel()
}

// serve is the endpoint of all requests of callers.
func (a *API) serve(ctx context.Context, in any) (any, error) {
	req := in.(*request)
	req.svc.budget.RecordRequest(a.currentRoutes().config.Requests.RetryShare)
	if err := a.limits.Allow(req.account, req.limits.RequestsPerSecond); err != nil {
		return nil, a.logRefusal(req, err)
	}
	if !req.repeatable {
		return a.serveOnce(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, req.deadline.Sub(a.deps.Clock.Now()))
	grant, lease, err := a.admit(ctx, req, nil)
	if err != nil {
		cancel()
		return nil, a.logRefusal(req, err)
	}
	pr := &proxiedResponse{req: req, lease: lease, grant: grant, cancel: cancel, ctx: ctx}
	if err := a.dispatchWithRetries(pr); err != nil {
		return nil, a.logRefusal(req, err)
	}
	return pr, nil
}

// logRefusal records a refusal and attaches the request's ID and key to it.
func (a *API) logRefusal(req *request, err error) error {
	e := result.From(err)
	a.counters.refused.Inc(1)
	if e.Code == result.RegionUnavailable {
		a.counters.regionRefused.Inc(1)
	}
	req.log.Add(reqlog.Step{Event: "refused", Code: int(e.Code), Detail: e.Detail})
	return withRequestID(err, req)
}

// admit waits until a backend server has capacity and claims it.
func (a *API) admit(ctx context.Context, req *request, exclude []string) (*admission.Grant, *routing.Lease, error) {
	svc := req.svc
	if len(svc.backends()) == 0 {
		return nil, nil, svc.noBackend()
	}
	var lease *routing.Lease
	reach := a.reach(req)
	if reach.Check != nil {
		if err := reach.Check(); err != nil {
			return nil, nil, err
		}
	}
	pick := routing.Request{Prefix: req.promptPrefix, Accept: req.acceptsVersion, Exclude: exclude}
	grant, err := svc.admission.Acquire(ctx, admission.Request{
		Account: req.account, Weight: req.limits.Share, MaxConcurrent: req.limits.MaxConcurrent,
		Rank: req.rank, Deadline: req.deadline, Running: a.limits.Running(req.account), Reach: reach,
		TryClaim: func() bool {
			pick.AcceptZone = a.acceptZone(req)
			lease = svc.group.Pick(svc.backends(), pick)
			return lease != nil
		},
	})
	if result.CodeOf(err) == result.NoBackend {
		err = svc.noBackend()
	}
	if err != nil {
		return nil, nil, err
	}
	req.log.Add(reqlog.Step{Event: "admitted", Backend: lease.Backend.Name})
	return grant, lease, nil
}

// dispatchWithRetries dispatches until a backend server responds, within the
// retry budget. On failure all resources of the request are released.
func (a *API) dispatchWithRetries(pr *proxiedResponse) error {
	for {
		failure := a.dispatchOnce(pr, 0)
		if failure == nil {
			return nil
		}
		if isAgentFull(failure) && pr.ctx.Err() == nil && a.pickAfterFull(pr) {
			continue
		}
		if pr.canRetry(a.cfg.MaxAttempts, failure) && a.pickForRetry(pr, "") {
			a.counters.retried.Inc(1)
			continue
		}
		pr.finish(routing.Neutral, 0)
		if pr.maybeRan && failure.Ran == result.NotRun {
			unknown := *failure
			unknown.Ran = result.RanUnknown
			return &unknown
		}
		return failure
	}
}

// dispatchOnce makes one attempt. On failure the routing lease is released.
func (a *API) dispatchOnce(pr *proxiedResponse, offset int) *result.Error {
	backend := pr.lease.Backend
	d := &dispatch{req: pr.req, backend: backend, lease: pr.lease, resumeOffset: offset}
	if len(pr.fullAgents) <= maxFullAgents {
		d.maxInFlight = pr.lease.MaxInFlight()
	}
	if pr.req.isEngine {
		d.version = backend.Serving
	}
	pr.tried = append(pr.tried, backend.Name)
	resp, err := a.exchangeRenewed(pr, d)
	if err == nil {
		err = a.acceptResponse(pr, resp, d)
	}
	if err == nil {
		pr.req.log.Add(reqlog.Step{Event: "answers", Backend: backend.Name})
		return nil
	}
	pr.req.log.Add(reqlog.Step{Event: "attempt failed", Backend: backend.Name, Code: int(err.Code), Detail: err.Detail})
	pr.maybeRan = pr.maybeRan || err.Ran != result.NotRun
	pr.lease.Done(failureOutcome(err), 0)
	pr.lease = nil
	return err
}

// exchangeRenewed is like exchange, and sends the dispatch again if the lease of its token had
// expired and the agent has sent a newer one.
func (a *API) exchangeRenewed(pr *proxiedResponse, d *dispatch) (*http.Response, *result.Error) {
	resp, err := a.exchange(pr.ctx, d)
	if err == nil || err.Code != result.StaleLease || !a.renewToken(d) {
		return resp, err
	}
	pr.req.log.Add(reqlog.Step{Event: "dispatched again with a newer token", Backend: d.backend.Name, Code: int(err.Code)})
	return a.exchange(pr.ctx, d)
}

// renewToken replaces the token of a dispatch that was refused because its lease had expired.
// It returns false if the agent has sent no newer one, or now serves another version. The
// request was not run, so that this uses no retry budget.
func (a *API) renewToken(d *dispatch) bool {
	newest, _ := a.deps.Sessions.Lookup(d.backend.Name, d.backend.Incarnation)
	if newest == nil || newest.Token == d.backend.Token || newest.Serving != d.backend.Serving || !d.req.body.canResend() {
		return false
	}
	d.backend = newest
	return true
}

// acceptResponse checks the status of a response and buffers a small body.
func (a *API) acceptResponse(pr *proxiedResponse, resp *http.Response, d *dispatch) *result.Error {
	if isRetryableStatus(resp.StatusCode) && len(pr.tried) < a.cfg.MaxAttempts && pr.req.body.canResend() {
		_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBytes)
		_ = resp.Body.Close()
		e := result.New(result.BackendFailed, "%s responded with status %d", d.backend.Name, resp.StatusCode)
		e.Ran = result.DidRun
		return e
	}
	pr.eventStream = pr.req.streaming && resp.StatusCode == http.StatusOK && stream.IsEventStream(resp.Header)
	if n := resp.ContentLength; n >= 0 && n <= a.cfg.BufferedResponseBytes && !pr.eventStream {
		buf := make([]byte, n)
		if _, err := io.ReadFull(resp.Body, buf); err != nil {
			_ = resp.Body.Close()
			e := dispatchError(pr.ctx, err, d.backend.Name)
			return e
		}
		pr.buffered = buf
	}
	pr.resp, pr.version = resp, d.version
	return nil
}

// isRetryableStatus reports whether another server may succeed after a response
// with this status.
func isRetryableStatus(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}

// failureOutcome maps the error of an attempt to the outcome that routing
// records for the server.
func failureOutcome(err *result.Error) routing.Outcome {
	switch err.Code {
	case result.CallerGone, result.Draining, result.QueueFull, result.ZoneEvacuated, result.VersionMismatch, result.StaleLease, result.WrongIncarnation:
		return routing.Neutral
	}
	return routing.Failed
}

// isAgentFull reports whether an agent refused a request because its in-flight
// limit was reached.
func isAgentFull(err *result.Error) bool {
	return err.Code == result.QueueFull && err.Ran == result.NotRun
}

// pickAfterFull claims another server after one refused the request as full.
// The request was not run, so this does not use the retry budget. If no other
// server has capacity, it claims the least loaded one, which may be one of the
// full servers.
func (a *API) pickAfterFull(pr *proxiedResponse) bool {
	svc := pr.req.svc
	full := pr.tried[len(pr.tried)-1]
	pr.tried = pr.tried[:len(pr.tried)-1]
	pr.fullAgents = append(pr.fullAgents, full)
	pick := routing.Request{Accept: pr.req.acceptsVersion, AcceptZone: a.acceptZone(pr.req), Exclude: slices.Concat(pr.fullAgents, pr.tried)}
	if len(pr.fullAgents) <= maxFullAgents {
		pr.lease = svc.group.Pick(svc.backends(), pick)
	}
	if pr.lease == nil {
		pick.Exclude, pick.Force = pr.tried, true
		pr.lease = svc.group.Pick(svc.backends(), pick)
	}
	if pr.lease == nil {
		return false
	}
	pr.req.log.Add(reqlog.Step{Event: "server is full", Backend: full})
	return true
}

// maxFullAgents is the number of refusals by full servers after which a request
// is still dispatched with an in-flight limit. After one more refusal it is
// dispatched without a limit and waits at the server.
const maxFullAgents = 2

// canRetry reports whether another attempt is possible and may succeed.
func (pr *proxiedResponse) canRetry(maxAttempts int, err *result.Error) bool {
	if pr.ctx.Err() != nil || len(pr.tried) >= maxAttempts || !pr.req.body.canResend() {
		return false
	}
	return err.Code != result.CallerGone && err.Code != result.DeadlineExceeded
}

// pickForRetry claims another server within the retry budget.
func (a *API) pickForRetry(pr *proxiedResponse, version string) bool {
	svc := pr.req.svc
	if !svc.budget.TryRetry() {
		pr.req.log.Add(reqlog.Step{Event: "retry budget exhausted"})
		return false
	}
	pr.lease = svc.group.Pick(svc.backends(), routing.Request{
		Prefix: pr.req.promptPrefix, Accept: pr.req.acceptsVersion, AcceptZone: a.acceptZone(pr.req), Version: version, Exclude: pr.tried, Force: true,
	})
	if pr.lease == nil {
		pr.req.log.Add(reqlog.Step{Event: "no other server available for a retry"})
		return false
	}
	pr.req.log.Add(reqlog.Step{Event: "retry", Backend: pr.lease.Backend.Name})
	return true
}

// remaining returns the time until the request's deadline.
func (a *API) remaining(req *request) time.Duration { return req.deadline.Sub(a.deps.Clock.Now()) }
