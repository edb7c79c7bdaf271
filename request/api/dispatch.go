package api

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/waxwingpost/waxwingpost/connection/session"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/once"
	"github.com/waxwingpost/waxwingpost/request/routing"
	"github.com/waxwingpost/waxwingpost/request/stream"
)

// dispatch is one request to an agent.
type dispatch struct {
	req     *request
	backend *session.Backend
	lease   *routing.Lease
	// version is what the answer must come from; empty for a plain service.
	version string
	// attempt is set on a call that may not be repeated.
	attempt int
	// limit is how many requests the agent may pass already; zero means any.
	limit int
	// offset is the first event that is still wanted of a stream.
	offset int
}

// createDispatch builds the HTTP request to the agent.
func (a *API) createDispatch(ctx context.Context, request any) (*http.Request, error) {
	d := request.(*dispatch)
	in := d.req.http
	target := &url.URL{
		Scheme: "http", Host: d.backend.Address,
		Path: wire.PathDispatch + in.URL.Path, RawQuery: in.URL.RawQuery,
	}
	if in.URL.RawPath != "" {
		target.RawPath = wire.PathDispatch + in.URL.RawPath
	}
	out := (&http.Request{
		Method: in.Method, URL: target, Host: target.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(in.Header)+dispatchHeaders), ContentLength: d.req.body.length,
	}).WithContext(ctx)
	stream.CopyHeader(out.Header, in.Header)
	a.setDispatchHeaders(out.Header, d)
	a.d.Auth.Sign(out)
	setDispatchBody(out, d)
	return out, nil
}

// dispatchHeaders is about how many headers a dispatch adds.
const dispatchHeaders = 12

func (a *API) setDispatchHeaders(h http.Header, d *dispatch) {
	set := func(name, value string) {
		if value != "" {
			h[name] = []string{value}
		}
	}
	set(wire.HeaderToken, d.backend.Token)
	set(wire.HeaderIncarnation, d.backend.Incarnation)
	set(wire.HeaderRequestID, d.req.id)
	set(wire.HeaderAccount, d.req.account)
	set(wire.HeaderPriority, strconv.Itoa(d.req.rank))
	set(wire.HeaderEntry, a.d.Self.Name)
	set(wire.HeaderVersion, d.version)
	left := d.req.deadline.Sub(a.d.Clock.Now())
	set(wire.HeaderDeadlineMs, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if d.req.target.control.Waiting() > 0 {
		set(wire.HeaderWaiting, "1")
	}
	if d.limit > 0 {
		set(wire.HeaderMaxInFlight, strconv.Itoa(d.limit))
	}
	if d.offset > 0 {
		set(wire.HeaderResumeOffset, strconv.Itoa(d.offset))
	}
	if d.attempt > 0 {
		set(wire.HeaderAttempt, strconv.Itoa(d.attempt))
		set(wire.HeaderKey, d.req.key)
	}
	if d.req.engine {
		// Events are read on the way: they must not arrive compressed.
		delete(h, "Accept-Encoding")
	}
}

// setDispatchBody attaches the body. A call that may not be repeated is kept
// from the transport's own retries.
func setDispatchBody(out *http.Request, d *dispatch) {
	body := &d.req.body
	if d.attempt > 0 {
		out.Body = stream.SingleUse(io.NopCloser(body.open()))
		return
	}
	if body.length == 0 {
		out.Body = http.NoBody
		return
	}
	out.Body = io.NopCloser(body.open())
	if body.whole() {
		out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body.head)), nil }
	}
}

// decodeDispatched tells the agent's own refusals from answers.
func decodeDispatched(_ context.Context, resp *http.Response) (any, error) {
	if e := stream.ReadErrorHeader(resp); e != nil {
		_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBytes)
		_ = resp.Body.Close()
		return nil, &agentRefusal{cause: e, load: readLoad(resp)}
	}
	return resp, nil
}

// agentRefusal is an agent's refusal with its load.
type agentRefusal struct {
	cause *result.Error
	load  routing.Load
}

// Error implements error.
func (r *agentRefusal) Error() string { return r.cause.Error() }

// Unwrap lets the code be found.
func (r *agentRefusal) Unwrap() error { return r.cause }

// readLoad returns the load that an agent tells.
func readLoad(resp *http.Response) routing.Load {
	var load routing.Load
	var err error
	if load.InFlight, err = strconv.Atoi(resp.Header.Get(wire.HeaderInFlight)); err != nil {
		load.InFlight = -1
	}
	load.Contenders, _ = strconv.Atoi(resp.Header.Get(wire.HeaderContenders))
	return load
}

// maxErrorBytes bounds what is read of a refusal's body.
const maxErrorBytes = 16 << 10

// exchange sends a dispatch and returns the agent's answer. Its errors tell
// by their Ran whether the request may have run.
func (a *API) exchange(ctx context.Context, d *dispatch) (*http.Response, *result.Error) {
	watched, watch := a.watcher.start(ctx, d.backend)
	got, err := a.send(watched, d)
	if err != nil {
		a.watcher.stop(watch)
		var refusal *agentRefusal
		if errors.As(err, &refusal) {
			// The lease counts this request, the agent does not.
			refusal.load.InFlight++
			d.lease.Observe(refusal.load)
		}
		return nil, dispatchError(ctx, err, d.backend.Name)
	}
	resp := got.(*http.Response)
	d.lease.Observe(readLoad(resp))
	resp.Body = &watchedBody{ReadCloser: resp.Body, w: a.watcher, x: watch}
	if problem := checkAnswer(resp, d); problem != "" {
		_ = resp.Body.Close()
		e := result.New(result.BackendFailed, "%s: %s", d.backend.Name, problem)
		e.Ran = result.RanUnknown
		return nil, e
	}
	return resp, nil
}

// checkAnswer makes sure that the answer is the agent's and belongs to this
// request.
func checkAnswer(resp *http.Response, d *dispatch) string {
	if resp.Header.Get(wire.HeaderBackend) != d.backend.Name {
		return "the answer does not come from the agent"
	}
	if resp.Header.Get(wire.HeaderRequestID) != d.req.id {
		return "the answer belongs to another request"
	}
	if got := resp.Header.Get(wire.HeaderVersion); got != "" && d.version != "" && got != d.version {
		return "the answer comes from version " + got
	}
	if !stream.IsDelimited(resp) {
		return "the answer is not delimited"
	}
	return ""
}

func dispatchError(ctx context.Context, err error, backend string) *result.Error {
	var known *result.Error
	if errors.As(err, &known) {
		copied := *known
		if copied.Ran == result.RanUnstated {
			copied.Ran = result.RanUnknown
		}
		return &copied
	}
	code := result.BackendFailed
	switch ctx.Err() {
	case context.DeadlineExceeded:
		code = result.DeadlineExceeded
	case context.Canceled:
		code = result.CallerGone
	}
	e := result.New(code, "%s: %v", backend, err)
	e.Ran = result.RanUnknown
	if stream.NeverSent(err) {
		e.Ran = result.NotRun
	}
	return e
}

// askEndpoint returns the function that asks agents about attempts.
func (a *API) askEndpoint() func(ctx context.Context, address string, q once.Query) (once.Reply, error) {
	type question struct {
		address string
		body    []byte
	}
	create := func(ctx context.Context, request any) (*http.Request, error) {
		q := request.(*question)
		out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.address+wire.PathAttempt, bytes.NewReader(q.body))
		if err != nil {
			return nil, err
		}
		a.d.Auth.Sign(out)
		return out, nil
	}
	ask := kithttp.NewExplicitClient(create, decodeReply, kithttp.SetClient(stream.Client{Transport: a.d.Transport})).Endpoint()
	return func(ctx context.Context, address string, q once.Query) (once.Reply, error) {
		body, err := cbor.Marshal(q)
		if err != nil {
			return once.Reply{}, err
		}
		got, err := ask(ctx, &question{address: address, body: body})
		if err != nil {
			return once.Reply{}, err
		}
		return *got.(*once.Reply), nil
	}
}

func decodeReply(_ context.Context, resp *http.Response) (any, error) {
	if e := stream.ReadErrorHeader(resp); e != nil {
		return nil, e
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, err
	}
	var reply once.Reply
	if err := cbor.Unmarshal(body, &reply); err != nil {
		return nil, result.New(result.BadMessage, "decode reply: %v", err)
	}
	if resp.StatusCode != http.StatusOK || reply.State == "" {
		return nil, result.New(result.BadMessage, "status %d, state %q", resp.StatusCode, reply.State)
	}
	return &reply, nil
}

// maxReplyBytes bounds an agent's reply with a kept answer.
const maxReplyBytes = 8 << 20
