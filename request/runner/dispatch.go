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

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/once"
	"github.com/waxwingpost/waxwingpost/request/stream"
)

// call is a dispatch as the agent reads it.
type call struct {
	r         *http.Request
	url       *url.URL
	requestID string
	version   string
	// attempt is set on a call that may not be repeated.
	attempt once.ID
	body    io.ReadCloser
	length  int64
}

// answer is the backend server's answer on its way to the entry.
type answer struct {
	resp *http.Response
	call *call
	// run is set on a call that may not be repeated.
	run *once.RunningAttempt
	// release undoes the admission; it is called when the answer ended.
	release func()
}

func (r *Runner) decodeCall(_ context.Context, req *http.Request) (any, error) {
	c := &call{
		r:         req,
		requestID: req.Header.Get(wire.HeaderRequestID),
		version:   req.Header.Get(wire.HeaderVersion),
		body:      req.Body,
		length:    req.ContentLength,
	}
	target := *req.URL
	target.Scheme, target.Host = "http", r.cfg.Backend
	target.Path = strings.TrimPrefix(target.Path, wire.PathDispatch)
	target.RawPath = strings.TrimPrefix(target.RawPath, wire.PathDispatch)
	c.url = &target
	if text := req.Header.Get(wire.HeaderAttempt); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return nil, result.Refuse(result.BadRequest, 0, "attempt %q is not a positive number", text)
		}
		c.attempt = once.ID{
			Account: req.Header.Get(wire.HeaderAccount),
			Key:     req.Header.Get(wire.HeaderKey),
			Attempt: n,
		}
	}
	return c, nil
}

// serveCall is the endpoint of a dispatch.
func (r *Runner) serveCall(ctx context.Context, request any) (any, error) {
	c := request.(*call)
	if c.attempt.Attempt > 0 {
		return r.serveAttempt(ctx, c)
	}
	release, err := r.admit(c)
	if err != nil {
		return nil, err
	}
	resp, err := r.send(ctx, c)
	if err != nil {
		release()
		r.cancelEngine(c)
		return nil, backendError(err)
	}
	a := &answer{resp: resp.(*http.Response), call: c, release: release}
	if err := checkAnswer(a); err != nil {
		_ = a.resp.Body.Close()
		release()
		r.cancelEngine(c)
		return nil, err
	}
	return a, nil
}

// checkAnswer refuses an answer that can't be told whole from cut, and one
// that another version gave than the one admitted.
func checkAnswer(a *answer) error {
	if !stream.IsDelimited(a.resp) {
		return ranUnknown(result.BackendFailed, "the backend server did not delimit its answer")
	}
	got := a.resp.Header.Get(wire.HeaderVersion)
	if got != "" && a.call.version != "" && got != a.call.version {
		return ranUnknown(result.EngineMismatch, "version "+got+" answered for "+a.call.version)
	}
	return nil
}

func ranUnknown(code result.Code, detail string) error {
	e := result.New(code, "%s", detail)
	e.Ran = result.RanUnknown
	return e
}

// admit decides whether a dispatch may run here and now.
func (r *Runner) admit(c *call) (release func(), err error) {
	if got := c.r.Header.Get(wire.HeaderIncarnation); got != r.cfg.Agent.Incarnation {
		return nil, result.Refuse(result.WrongIncarnation, 0, "meant for incarnation %s of %s", got, r.cfg.Agent.Name)
	}
	if err := r.deps.Leases.Check(c.r.Header.Get(wire.HeaderToken)); err != nil {
		return nil, err
	}
	if c.r.Header.Get(wire.HeaderWaiting) != "" {
		r.noteEntry(c.r.Header.Get(wire.HeaderEntry))
	}
	limit, _ := strconv.Atoi(c.r.Header.Get(wire.HeaderMaxInFlight))
	if err := r.enter(limit); err != nil {
		return nil, err
	}
	leave, err := r.deps.Gate.Enter(c.version)
	if err != nil {
		r.inFlight.Leave()
		refusal := *result.From(err)
		refusal.Ran = result.NotRun
		return nil, &refusal
	}
	return func() {
		leave()
		r.inFlight.Leave()
	}, nil
}

func (r *Runner) backendEndpoint(transport http.RoundTripper) endpoint.Endpoint {
	return kithttp.NewExplicitClient(
		createBackendRequest, decodeBackendResponse,
		kithttp.SetClient(stream.Client{Transport: transport}), kithttp.BufferedStream(true),
	).Endpoint()
}

// passedHeaders are the system's headers that a backend server gets to see.
var passedHeaders = []string{
	wire.HeaderRequestID, wire.HeaderPriority, wire.HeaderResumeOffset, wire.HeaderAccount, wire.HeaderVersion,
}

func createBackendRequest(ctx context.Context, request any) (*http.Request, error) {
	c := request.(*call)
	out := (&http.Request{
		Method: c.r.Method, URL: c.url, Host: c.url.Host, Header: make(http.Header, len(c.r.Header)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: c.body, ContentLength: c.length,
	}).WithContext(ctx)
	stream.CopyHeader(out.Header, c.r.Header)
	for _, name := range passedHeaders {
		if v := c.r.Header.Get(name); v != "" {
			out.Header.Set(name, v)
		}
	}
	return out, nil
}

func decodeBackendResponse(_ context.Context, resp *http.Response) (any, error) {
	return resp, nil
}

// backendError tells whether a failed request may have been run.
func backendError(err error) error {
	e := result.New(result.BackendFailed, "backend server: %v", errors.UnwrapAll(err))
	e.Ran = result.RanUnknown
	if stream.NeverSent(err) {
		e.Ran = result.NotRun
	}
	return e
}

// encodeAnswer streams the answer. An answer that breaks off breaks the
// connection off as well, so that the entry can't take it for whole.
func (r *Runner) encodeAnswer(_ context.Context, w http.ResponseWriter, response any) error {
	a := response.(*answer)
	defer a.release()
	defer a.resp.Body.Close()
	r.writeHead(w, a)
	var err error
	if a.run != nil {
		err = r.copyAttempt(w, a)
	} else {
		_, err = stream.Copy(w, a.resp.Body)
	}
	if err == nil {
		r.counters.passed.Inc(1)
		return nil
	}
	r.counters.cut.Inc(1)
	if a.run == nil {
		r.cancelEngine(a.call)
	}
	panic(http.ErrAbortHandler)
}

func (r *Runner) writeHead(w http.ResponseWriter, a *answer) {
	h := w.Header()
	stream.CopyHeader(h, a.resp.Header)
	h.Set(wire.HeaderBackend, r.cfg.Agent.Name)
	h.Set(wire.HeaderRequestID, a.call.requestID)
	h.Set(wire.HeaderRan, result.DidRun.String())
	r.setLoad(h)
	if v := a.resp.Header.Get(wire.HeaderVersion); v != "" {
		h.Set(wire.HeaderVersion, v)
	}
	w.WriteHeader(a.resp.StatusCode)
}

func (r *Runner) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	r.counters.refused.Inc(1)
	w.Header().Set(wire.HeaderBackend, r.cfg.Agent.Name)
	r.setLoad(w.Header())
	stream.WriteError(w, result.From(err))
}

// setLoad tells the entry the agent's load, fresher than a report does.
func (r *Runner) setLoad(h http.Header) {
	h.Set(wire.HeaderInFlight, strconv.Itoa(r.InFlight()))
	if n := r.contenders(); n > 0 {
		h.Set(wire.HeaderContenders, strconv.Itoa(n))
	}
}

// cancelEngine tells the engine that a request is no longer wanted. It does
// not wait for the engine.
func (r *Runner) cancelEngine(c *call) {
	if r.deps.Driver == nil || c.requestID == "" {
		return
	}
	r.counters.canceled.Inc(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), r.cfg.CancelTimeout)
		defer cancel()
		if err := r.deps.Driver.Cancel(ctx, c.requestID); err != nil {
			r.deps.Log.Debug("cancel at engine failed", "request", c.requestID, "err", err)
		}
	}()
}
