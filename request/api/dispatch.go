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

	"github.com/waxwingpost/waxwingpost/connection/httphead"
	"github.com/waxwingpost/waxwingpost/connection/session"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/atmostonce"
	"github.com/waxwingpost/waxwingpost/request/routing"
	"github.com/waxwingpost/waxwingpost/request/stream"
)

// dispatch is one request to an agent.
type dispatch struct {
	req     *request
	backend *session.Backend
	lease   *routing.Lease
	// version is the version that must serve the response; empty for a plain
	// service.
	version string
	// attempt is the attempt number of a non-repeatable call, otherwise zero.
	attempt int
	// maxInFlight is the number of requests in flight at which the agent refuses
	// this one; zero means no limit.
	maxInFlight int
	// resumeOffset is the ID of the first event to send when resuming a stream.
	resumeOffset int
}

// createDispatch builds the HTTP request to the agent.
func (a *API) createDispatch(ctx context.Context, request any) (*http.Request, error) {
	d := request.(*dispatch)
	in := d.req.httpReq
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
		Header: make(http.Header, len(in.Header)+addedHeaders), ContentLength: d.req.body.length,
	}).WithContext(ctx)
	stream.CopyEndToEndHeaders(out.Header, in.Header)
	a.setDispatchHeaders(out.Header, d)
	a.deps.Auth.SetJoinKey(out)
	setDispatchBody(out, d)
	return out, nil
}

// addedHeaders is the approximate number of headers that a dispatch adds; it
// presizes the header map.
const addedHeaders = 12

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
	set(wire.HeaderEntry, a.deps.Self.Name)
	set(wire.HeaderVersion, d.version)
	left := d.req.deadline.Sub(a.deps.Clock.Now())
	set(wire.HeaderDeadlineMs, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if d.req.svc.admission.Waiting() > 0 {
		set(wire.HeaderWaiting, "1")
	}
	if d.maxInFlight > 0 {
		set(wire.HeaderMaxInFlight, strconv.Itoa(d.maxInFlight))
	}
	if d.resumeOffset > 0 {
		set(wire.HeaderResumeOffset, strconv.Itoa(d.resumeOffset))
	}
	if d.attempt > 0 {
		set(wire.HeaderAttempt, strconv.Itoa(d.attempt))
		set(wire.HeaderIdempotencyKey, d.req.key)
	}
	if d.req.isEngine {
		// Events are parsed by the entry, so the response must not be
		// compressed.
		delete(h, "Accept-Encoding")
	}
}

// setDispatchBody attaches the body. For a non-repeatable call it also prevents
// the transport from retrying the request on its own.
func setDispatchBody(out *http.Request, d *dispatch) {
	body := &d.req.body
	if d.attempt > 0 {
		out.Body = stream.NonReplayable(io.NopCloser(body.newReader()))
		return
	}
	if body.length == 0 {
		out.Body = http.NoBody
		return
	}
	out.Body = io.NopCloser(body.newReader())
	if body.fullyBuffered() {
		out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body.buffered)), nil }
	}
}

// decodeDispatchResponse turns a refusal by the agent into an error and returns
// any other response unread.
func decodeDispatchResponse(_ context.Context, resp *http.Response) (any, error) {
	if e := stream.ReadErrorHeader(resp); e != nil {
		_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBytes)
		_ = resp.Body.Close()
		return nil, &agentRefusal{cause: e, load: readLoad(resp)}
	}
	return resp, nil
}

// agentRefusal is a refusal by an agent, with the load it reported.
type agentRefusal struct {
	cause *result.Error
	load  routing.Load
}

// Error implements error.
func (r *agentRefusal) Error() string { return r.cause.Error() }

// Unwrap returns the error with the result code.
func (r *agentRefusal) Unwrap() error { return r.cause }

// readLoad reads the agent's load from the response headers.
func readLoad(resp *http.Response) routing.Load {
	var load routing.Load
	var err error
	if load.InFlight, err = strconv.Atoi(resp.Header.Get(wire.HeaderInFlight)); err != nil {
		load.InFlight = -1
	}
	load.WaitingEntries, _ = strconv.Atoi(resp.Header.Get(wire.HeaderWaitingEntries))
	return load
}

// maxErrorBytes limits how much of an error response's body is read so that the
// connection can be reused.
const maxErrorBytes = 16 << 10

// exchange sends a dispatch and returns the agent's response. The Ran field of
// an error says whether the request may have run.
func (a *API) exchange(ctx context.Context, d *dispatch) (*http.Response, *result.Error) {
	if a.evacuated(d.backend.Zone) {
		// Since the server was picked.
		return nil, result.Refuse(result.ZoneEvacuated, evacuatedRetryAfter, "the zone of %s is evacuated", d.backend.Name)
	}
	watchedCtx, watch := a.silence.start(ctx, d.backend)
	response, err := a.sendDispatch(watchedCtx, d)
	if err != nil {
		a.silence.stop(watch)
		var refusal *agentRefusal
		if errors.As(err, &refusal) {
			// The lease counts this request; the agent's figure does not.
			refusal.load.InFlight++
			d.lease.RecordLoad(refusal.load)
		}
		return nil, dispatchError(ctx, err, d.backend.Name)
	}
	resp := response.(*http.Response)
	d.lease.RecordLoad(readLoad(resp))
	resp.Body = &watchedBody{ReadCloser: resp.Body, detector: a.silence, watch: watch}
	if problem := checkResponse(resp, d); problem != "" {
		_ = resp.Body.Close()
		e := result.New(result.BackendFailed, "%s: %s", d.backend.Name, problem)
		e.Ran = result.RanUnknown
		return nil, e
	}
	return resp, nil
}

// checkResponse verifies that the response comes from the agent, belongs to
// this request and has a detectable end. It returns the problem, or an empty
// string.
func checkResponse(resp *http.Response, d *dispatch) string {
	if resp.Header.Get(wire.HeaderBackend) != d.backend.Name {
		return "the response does not come from the agent"
	}
	if resp.Header.Get(wire.HeaderRequestID) != d.req.id {
		return "the response belongs to another request"
	}
	if got := resp.Header.Get(wire.HeaderVersion); got != "" && d.version != "" && got != d.version {
		return "the response comes from version " + got
	}
	if !httphead.IsDelimited(resp) {
		return "the response is not delimited"
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

// newQueryFunc returns a function that queries agents about attempts.
func (a *API) newQueryFunc() func(ctx context.Context, address string, q atmostonce.Query) (atmostonce.Reply, error) {
	type attemptQuery struct {
		address string
		body    []byte
	}
	create := func(ctx context.Context, request any) (*http.Request, error) {
		q := request.(*attemptQuery)
		out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.address+wire.PathAttempt, bytes.NewReader(q.body))
		if err != nil {
			return nil, err
		}
		a.deps.Auth.SetJoinKey(out)
		return out, nil
	}
	send := kithttp.NewExplicitClient(create, decodeReply, kithttp.SetClient(stream.Client{Transport: a.deps.Transport})).Endpoint()
	return func(ctx context.Context, address string, q atmostonce.Query) (atmostonce.Reply, error) {
		body, err := cbor.Marshal(q)
		if err != nil {
			return atmostonce.Reply{}, err
		}
		got, err := send(ctx, &attemptQuery{address: address, body: body})
		if err != nil {
			return atmostonce.Reply{}, err
		}
		return *got.(*atmostonce.Reply), nil
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
	var reply atmostonce.Reply
	if err := cbor.Unmarshal(body, &reply); err != nil {
		return nil, result.New(result.BadMessage, "decode reply: %v", err)
	}
	if resp.StatusCode != http.StatusOK || reply.State == "" {
		return nil, result.New(result.BadMessage, "status %d, state %q", resp.StatusCode, reply.State)
	}
	return &reply, nil
}

// maxReplyBytes limits an agent's reply, which may contain a kept answer.
const maxReplyBytes = 8 << 20
