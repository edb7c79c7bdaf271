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

// answer is an answer on its way to the caller, with all that has to be given
// back when it ended.
type answer struct {
	req    *request
	resp   *http.Response
	lease  *routing.Lease
	grant  *admission.Grant
	cancel context.CancelFunc
	ctx    context.Context
	// version is what the answer comes from.
	version string
	// tried names the servers that were tried, full those that were found so.
	tried []string
	full  []string
	// events is set on a stream of events, which is checked event by event.
	events bool
	// whole is the body where it was read before it is passed on.
	whole []byte
	// maybeRan is set once any attempt may have run.
	maybeRan bool
	ended    bool
}

// finish gives back what the request holds. It may be called again.
func (an *answer) finish(o routing.Outcome, bytes int64) {
	if an.ended {
		return
	}
	an.ended = true
	if an.resp != nil {
		_ = an.resp.Body.Close()
	}
	if an.lease != nil {
		an.lease.Done(o, bytes)
	}
	an.grant.Release(o == routing.OK)
	an.cancel()
}

// serve is the endpoint of all callers' requests.
func (a *API) serve(ctx context.Context, in any) (any, error) {
	req := in.(*request)
	req.target.budget.Request(a.table().config.Requests.RetryShare)
	if err := a.limits.Take(req.account, req.limits.RequestsPerSecond); err != nil {
		return nil, a.refused(req, err)
	}
	if !req.repeatable {
		return a.serveOnce(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, req.deadline.Sub(a.d.Clock.Now()))
	grant, lease, err := a.admit(ctx, req, nil)
	if err != nil {
		cancel()
		return nil, a.refused(req, err)
	}
	an := &answer{req: req, lease: lease, grant: grant, cancel: cancel, ctx: ctx}
	if err := a.attempts(an); err != nil {
		return nil, a.refused(req, err)
	}
	return an, nil
}

// refused notes a refusal.
func (a *API) refused(req *request, err error) error {
	e := result.From(err)
	a.counters.refused.Inc(1)
	req.log.Add(reqlog.Step{What: "refused", Code: int(e.Code), Detail: e.Detail})
	return withID(err, req)
}

// admit waits for room at a backend server and claims it.
func (a *API) admit(ctx context.Context, req *request, exclude []string) (*admission.Grant, *routing.Lease, error) {
	t := req.target
	if len(t.backends()) == 0 {
		return nil, nil, admission.NoBackend()
	}
	var lease *routing.Lease
	pick := routing.Request{Prefix: req.prefix, Accept: req.accept, Exclude: exclude}
	grant, err := t.control.Acquire(ctx, admission.Request{
		Account: req.account, Share: req.limits.Share, MaxConcurrent: req.limits.MaxConcurrent,
		Rank: req.rank, Deadline: req.deadline, Running: a.limits.Running(req.account),
		Try: func() bool {
			lease = t.group.Pick(t.backends(), pick)
			return lease != nil
		},
	})
	if err != nil {
		return nil, nil, err
	}
	req.log.Add(reqlog.Step{What: "admitted", Backend: lease.Backend.Name})
	return grant, lease, nil
}

// attempts dispatches until a backend server answers, within the budget. On
// failure everything is given back.
func (a *API) attempts(an *answer) error {
	for {
		fail := a.attempt(an, 0)
		if fail == nil {
			return nil
		}
		if isFull(fail) && an.ctx.Err() == nil && a.elsewhere(an) {
			continue
		}
		if an.mayRetry(a.cfg.MaxAttempts, fail) && a.nextServer(an, "") {
			a.counters.retried.Inc(1)
			continue
		}
		an.finish(routing.Neutral, 0)
		if an.maybeRan && fail.Ran == result.NotRun {
			unsure := *fail
			unsure.Ran = result.RanUnknown
			return &unsure
		}
		return fail
	}
}

// attempt dispatches once. Where the answer is small it is read whole. After
// a failure the server's lease is ended.
func (a *API) attempt(an *answer, offset int) *result.Error {
	backend := an.lease.Backend
	d := &dispatch{req: an.req, backend: backend, lease: an.lease, offset: offset}
	if len(an.full) <= maxFull {
		d.limit = an.lease.Limit()
	}
	if an.req.engine {
		d.version = backend.Serving
	}
	an.tried = append(an.tried, backend.Name)
	resp, err := a.exchange(an.ctx, d)
	if err == nil {
		err = a.takeAnswer(an, resp, d)
	}
	if err == nil {
		an.req.log.Add(reqlog.Step{What: "answers", Backend: backend.Name})
		return nil
	}
	an.req.log.Add(reqlog.Step{What: "attempt failed", Backend: backend.Name, Code: int(err.Code), Detail: err.Detail})
	an.maybeRan = an.maybeRan || err.Ran != result.NotRun
	an.lease.Done(outcomeOf(err), 0)
	an.lease = nil
	return err
}

// takeAnswer checks an answer's status and reads it whole where it is small.
func (a *API) takeAnswer(an *answer, resp *http.Response, d *dispatch) *result.Error {
	if isFailure(resp.StatusCode) && len(an.tried) < a.cfg.MaxAttempts && an.req.body.canSend() {
		_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBytes)
		_ = resp.Body.Close()
		e := result.New(result.BackendFailed, "%s answered with status %d", d.backend.Name, resp.StatusCode)
		e.Ran = result.DidRun
		return e
	}
	an.events = an.req.stream && resp.StatusCode == http.StatusOK && stream.IsEvents(resp.Header)
	if n := resp.ContentLength; n >= 0 && n <= a.cfg.WholeAnswerBytes && !an.events {
		whole := make([]byte, n)
		if _, err := io.ReadFull(resp.Body, whole); err != nil {
			_ = resp.Body.Close()
			e := dispatchError(an.ctx, err, d.backend.Name)
			return e
		}
		an.whole = whole
	}
	an.resp, an.version = resp, d.version
	return nil
}

// isFailure reports whether another server may answer better.
func isFailure(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}

// outcomeOf tells what a failed attempt says of its server.
func outcomeOf(err *result.Error) routing.Outcome {
	switch err.Code {
	case result.CallerGone, result.Draining, result.QueueFull, result.VersionMismatch, result.StaleLease, result.WrongIncarnation:
		return routing.Neutral
	}
	return routing.Failed
}

// isFull reports whether an agent refused a request because others fill it.
func isFull(err *result.Error) bool {
	return err.Code == result.QueueFull && err.Ran == result.NotRun
}

// elsewhere claims another server after one was found full. The request was
// not run and costs nothing of the retry budget; where all are full it may
// wait at the one with the least load.
func (a *API) elsewhere(an *answer) bool {
	t := an.req.target
	full := an.tried[len(an.tried)-1]
	an.tried = an.tried[:len(an.tried)-1]
	an.full = append(an.full, full)
	pick := routing.Request{Accept: an.req.accept, Exclude: slices.Concat(an.full, an.tried)}
	if len(an.full) <= maxFull {
		an.lease = t.group.Pick(t.backends(), pick)
	}
	if an.lease == nil {
		pick.Exclude, pick.Force = an.tried, true
		an.lease = t.group.Pick(t.backends(), pick)
	}
	if an.lease == nil {
		return false
	}
	an.req.log.Add(reqlog.Step{What: "server is full", Backend: full})
	return true
}

// maxFull bounds how many full servers a request tries before it waits at one.
const maxFull = 2

// mayRetry reports whether another attempt makes sense.
func (an *answer) mayRetry(most int, err *result.Error) bool {
	if an.ctx.Err() != nil || len(an.tried) >= most || !an.req.body.canSend() {
		return false
	}
	return err.Code != result.CallerGone && err.Code != result.DeadlineExceeded
}

// nextServer claims another server under the retry budget.
func (a *API) nextServer(an *answer, version string) bool {
	t := an.req.target
	if !t.budget.Retry() {
		an.req.log.Add(reqlog.Step{What: "retry budget spent"})
		return false
	}
	an.lease = t.group.Pick(t.backends(), routing.Request{
		Prefix: an.req.prefix, Accept: an.req.accept, Version: version, Exclude: an.tried, Force: true,
	})
	if an.lease == nil {
		an.req.log.Add(reqlog.Step{What: "no other server to retry on"})
		return false
	}
	an.req.log.Add(reqlog.Step{What: "retry", Backend: an.lease.Backend.Name})
	return true
}

// left is the time until the request's deadline.
func (a *API) left(req *request) time.Duration { return req.deadline.Sub(a.d.Clock.Now()) }
