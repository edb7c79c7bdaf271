package runner

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/waxwingpost/waxwingpost/connection/httphead"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/atmostonce"
	"github.com/waxwingpost/waxwingpost/request/stream"
)

// dispatchRequest is a decoded dispatch from an entry.
type dispatchRequest struct {
	httpReq   *http.Request
	url       *url.URL
	requestID string
	version   string
	// attempt is set for a non-repeatable call.
	attempt atmostonce.ID
	body    io.ReadCloser
	length  int64
}

// backendResponse is a response of the backend server being forwarded to the
// entry.
type backendResponse struct {
	resp *http.Response
	req  *dispatchRequest
	// run is set for a non-repeatable call.
	run *atmostonce.RunningAttempt
	// release undoes the admission. It is called when the response has been
	// forwarded.
	release func()
}

func (r *Runner) decodeDispatch(_ context.Context, req *http.Request) (any, error) {
	d := &dispatchRequest{
		httpReq:   req,
		requestID: req.Header.Get(wire.HeaderRequestID),
		version:   req.Header.Get(wire.HeaderVersion),
		body:      req.Body,
		length:    req.ContentLength,
	}
	target := *req.URL
	target.Scheme, target.Host = "http", r.cfg.Backend
	target.Path = strings.TrimPrefix(target.Path, wire.PathDispatch)
	target.RawPath = strings.TrimPrefix(target.RawPath, wire.PathDispatch)
	d.url = &target
	if text := req.Header.Get(wire.HeaderAttempt); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return nil, result.Refuse(result.BadRequest, 0, "attempt %q is not a positive number", text)
		}
		d.attempt = atmostonce.ID{
			Account: req.Header.Get(wire.HeaderAccount),
			Key:     req.Header.Get(wire.HeaderIdempotencyKey),
			Attempt: n,
		}
	}
	return d, nil
}

// serveDispatch is the endpoint of dispatches.
func (r *Runner) serveDispatch(ctx context.Context, request any) (any, error) {
	d := request.(*dispatchRequest)
	if d.attempt.Attempt > 0 {
		return r.serveAttempt(ctx, d)
	}
	release, err := r.admit(d)
	if err != nil {
		return nil, err
	}
	resp, err := r.send(ctx, d)
	if err != nil {
		release()
		r.cancelAtEngine(d)
		return nil, backendError(err)
	}
	br := &backendResponse{resp: resp.(*http.Response), req: d, release: release}
	if err := checkResponse(br); err != nil {
		_ = br.resp.Body.Close()
		release()
		r.cancelAtEngine(d)
		return nil, err
	}
	return br, nil
}

// checkResponse rejects a response whose truncation would go unnoticed, and one
// that was served by another version than the one admitted.
func checkResponse(br *backendResponse) error {
	if !httphead.IsDelimited(br.resp) {
		return ranUnknownError(result.BackendFailed, "the backend server did not delimit its response")
	}
	got := br.resp.Header.Get(wire.HeaderVersion)
	if got != "" && br.req.version != "" && got != br.req.version {
		return ranUnknownError(result.EngineMismatch, "version "+got+" responded instead of "+br.req.version)
	}
	return nil
}

func ranUnknownError(code result.Code, detail string) error {
	e := result.New(code, "%s", detail)
	e.Ran = result.RanUnknown
	return e
}

// admit checks incarnation, lease, in-flight limit and version, and reserves
// capacity until release is called.
func (r *Runner) admit(d *dispatchRequest) (release func(), err error) {
	if got := d.httpReq.Header.Get(wire.HeaderIncarnation); got != r.cfg.Agent.Incarnation {
		return nil, result.Refuse(result.WrongIncarnation, 0, "dispatch is for incarnation %s of %s", got, r.cfg.Agent.Name)
	}
	if err := r.deps.Leases.Check(d.httpReq.Header.Get(wire.HeaderToken)); err != nil {
		return nil, err
	}
	if d.httpReq.Header.Get(wire.HeaderWaiting) != "" {
		r.recordWaitingEntry(d.httpReq.Header.Get(wire.HeaderEntry))
	}
	limit, _ := strconv.Atoi(d.httpReq.Header.Get(wire.HeaderMaxInFlight))
	if err := r.beginRequest(limit); err != nil {
		return nil, err
	}
	leave, err := r.deps.Gate.Admit(d.version)
	if err != nil {
		r.inFlight.Done()
		refusal := *result.From(err)
		refusal.Ran = result.NotRun
		return nil, &refusal
	}
	return func() {
		leave()
		r.inFlight.Done()
	}, nil
}

func (r *Runner) backendEndpoint(transport http.RoundTripper) endpoint.Endpoint {
	return kithttp.NewExplicitClient(
		createBackendRequest, decodeBackendResponse,
		kithttp.SetClient(stream.Client{Transport: transport}), kithttp.BufferedStream(true),
	).Endpoint()
}

// forwardedHeaders are the internal headers that are forwarded to backend
// servers.
var forwardedHeaders = []string{
	wire.HeaderRequestID, wire.HeaderPriority, wire.HeaderResumeOffset, wire.HeaderAccount, wire.HeaderVersion,
}

func createBackendRequest(ctx context.Context, request any) (*http.Request, error) {
	d := request.(*dispatchRequest)
	out := (&http.Request{
		Method: d.httpReq.Method, URL: d.url, Host: d.url.Host, Header: make(http.Header, len(d.httpReq.Header)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: d.body, ContentLength: d.length,
	}).WithContext(ctx)
	stream.CopyEndToEndHeaders(out.Header, d.httpReq.Header)
	for _, name := range forwardedHeaders {
		if v := d.httpReq.Header.Get(name); v != "" {
			out.Header.Set(name, v)
		}
	}
	return out, nil
}

func decodeBackendResponse(_ context.Context, resp *http.Response) (any, error) {
	return resp, nil
}

// backendError wraps the error of a failed request and sets Ran according to
// whether the request may have reached the backend server.
func backendError(err error) error {
	e := result.New(result.BackendFailed, "backend server: %v", errors.UnwrapAll(err))
	e.Ran = result.RanUnknown
	if stream.NeverSent(err) {
		e.Ran = result.NotRun
	}
	return e
}

// encodeResponse streams the response. If it is truncated, the connection is
// aborted so that the entry detects it.
func (r *Runner) encodeResponse(_ context.Context, w http.ResponseWriter, response any) error {
	br := response.(*backendResponse)
	defer br.release()
	defer br.resp.Body.Close()
	r.writeHeader(w, br)
	var err error
	if br.run != nil {
		err = r.copyAndRecord(w, br)
	} else {
		_, err = stream.Copy(w, br.resp.Body)
	}
	if err == nil {
		r.counters.completed.Inc(1)
		return nil
	}
	r.counters.truncated.Inc(1)
	if br.run == nil {
		r.cancelAtEngine(br.req)
	}
	panic(http.ErrAbortHandler)
}

func (r *Runner) writeHeader(w http.ResponseWriter, br *backendResponse) {
	h := w.Header()
	stream.CopyEndToEndHeaders(h, br.resp.Header)
	h.Set(wire.HeaderBackend, r.cfg.Agent.Name)
	h.Set(wire.HeaderRequestID, br.req.requestID)
	h.Set(wire.HeaderRan, result.DidRun.String())
	r.setLoadHeaders(h)
	if v := br.resp.Header.Get(wire.HeaderVersion); v != "" {
		h.Set(wire.HeaderVersion, v)
	}
	w.WriteHeader(br.resp.StatusCode)
}

func (r *Runner) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	r.counters.refused.Inc(1)
	w.Header().Set(wire.HeaderBackend, r.cfg.Agent.Name)
	r.setLoadHeaders(w.Header())
	stream.WriteError(w, result.From(err))
}

// setLoadHeaders reports the agent's current load, which is more recent than
// the load in the heartbeats.
func (r *Runner) setLoadHeaders(h http.Header) {
	h.Set(wire.HeaderInFlight, strconv.Itoa(r.InFlight()))
	if n := r.countWaitingEntries(); n > 0 {
		h.Set(wire.HeaderWaitingEntries, strconv.Itoa(n))
	}
}

// cancelAtEngine asks the engine to cancel a request, without waiting for the
// result.
func (r *Runner) cancelAtEngine(d *dispatchRequest) {
	if r.deps.Driver == nil || d.requestID == "" {
		return
	}
	r.counters.canceled.Inc(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), r.cfg.CancelTimeout)
		defer cancel()
		if err := r.deps.Driver.Cancel(ctx, d.requestID); err != nil {
			r.deps.Log.Debug("failed to cancel request at engine", "request", d.requestID, "err", err)
		}
	}()
}
