package api

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/zeebo/blake3"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/admission"
	"github.com/waxwingpost/waxwingpost/request/atmostonce"
	"github.com/waxwingpost/waxwingpost/request/reqlog"
	"github.com/waxwingpost/waxwingpost/request/routing"
	"github.com/waxwingpost/waxwingpost/request/stream"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// onceResponse is the outcome of a non-repeatable call.
type onceResponse struct {
	req     *request
	outcome *atmostonce.Outcome
}

// serveOnce serves a non-repeatable call.
func (a *API) serveOnce(ctx context.Context, req *request) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, a.remaining(req))
	defer cancel()
	out, err := a.once.Do(ctx, &atmostonce.Call{
		Account: req.account, Key: req.key, Service: req.service, Digest: callDigest(req),
		Pick: func(ctx context.Context, skip []string) (*atmostonce.Claim, error) { return a.pickOnce(ctx, req, skip) },
		Send: func(ctx context.Context, claim *atmostonce.Claim, attempt int) (*control.Answer, io.ReadCloser, error) {
			return a.sendOnce(ctx, req, claim, attempt)
		},
		AddStep: func(event, backend string, err error) { addStep(req, event, backend, err) },
	})
	if err != nil {
		return nil, a.logRefusal(req, err)
	}
	return &onceResponse{req: req, outcome: out}, nil
}

// addStep records a decision and its error, if any, in the request log.
func addStep(req *request, event, backend string, err error) {
	step := reqlog.Step{Event: event, Backend: backend}
	if err != nil {
		e := result.From(err)
		step.Code, step.Detail = int(e.Code), e.Detail
	}
	req.log.Add(step)
}

// callDigest hashes what identifies a call: method, path, query and body.
func callDigest(req *request) manifest.Digest {
	h := blake3.New()
	for _, part := range []string{req.httpReq.Method, req.httpReq.URL.EscapedPath(), req.httpReq.URL.RawQuery} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(req.body.buffered)
	var d manifest.Digest
	h.Sum(d[:0])
	return d
}

// pickOnce claims a backend server for an attempt. The first attempt, which
// excludes no server, also passes admission; later ones use the retry budget.
func (a *API) pickOnce(ctx context.Context, req *request, exclude []string) (*atmostonce.Claim, error) {
	if len(exclude) == 0 {
		ctx, cancel := context.WithTimeout(ctx, a.remaining(req))
		defer cancel()
		grant, lease, err := a.admit(ctx, req, nil)
		if err != nil {
			return nil, err
		}
		return newClaim(lease, grant), nil
	}
	svc := req.svc
	if !svc.budget.TryRetry() {
		return nil, admission.NoBackend()
	}
	lease := svc.group.Pick(svc.backends(), routing.Request{Accept: req.acceptsVersion, AcceptZone: a.acceptZone(req), Exclude: exclude, Force: true})
	if lease == nil {
		return nil, admission.NoBackend()
	}
	return newClaim(lease, nil), nil
}

func newClaim(lease *routing.Lease, grant *admission.Grant) *atmostonce.Claim {
	return &atmostonce.Claim{Backend: lease.Backend, Lease: lease, Release: func(answered bool) {
		outcome := routing.Neutral
		if answered {
			outcome = routing.OK
		}
		lease.Done(outcome, 0)
		if grant != nil {
			grant.Release(answered)
		}
	}}
}

// sendOnce dispatches an attempt and reads the response, up to
// MaxResponseBytes. If that limit is reached, the rest is left in the returned
// reader.
func (a *API) sendOnce(ctx context.Context, req *request, claim *atmostonce.Claim, attempt int) (*control.Answer, io.ReadCloser, error) {
	backend := claim.Backend
	if newer, _ := a.deps.Sessions.Lookup(backend.Name, backend.Incarnation); newer != nil {
		backend = newer
	}
	d := &dispatch{req: req, backend: backend, lease: claim.Lease, attempt: attempt}
	if req.isEngine {
		d.version = backend.Serving
	}
	resp, failure := a.exchange(ctx, d)
	if failure != nil {
		return nil, nil, failure
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, a.cfg.MaxResponseBytes))
	if err != nil {
		_ = resp.Body.Close()
		return nil, nil, dispatchError(ctx, err, backend.Name)
	}
	out := &control.Answer{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"),
		Body: body, Size: int64(len(body)), Holder: backend.Name,
	}
	if int64(len(body)) == a.cfg.MaxResponseBytes {
		return out, resp.Body, nil
	}
	_ = resp.Body.Close()
	out.Digest = manifest.Sum(body)
	return out, nil, nil
}

// writeOnceResponse writes the outcome of a non-repeatable call to the caller.
func (a *API) writeOnceResponse(w http.ResponseWriter, res *onceResponse) {
	out := res.outcome.Answer
	defer a.setWriteDeadline(w, res.req)()
	h := w.Header()
	h.Set(wire.HeaderRequestID, res.req.id)
	h.Set(wire.HeaderIdempotencyKey, res.req.key)
	h.Set(wire.HeaderRan, result.DidRun.String())
	h.Set(wire.HeaderBackend, out.Holder)
	if out.ContentType != "" {
		h.Set("Content-Type", out.ContentType)
	}
	var body io.Reader = bytes.NewReader(out.Body)
	if res.outcome.Rest != nil {
		defer res.outcome.Rest.Close()
		body = io.MultiReader(body, res.outcome.Rest)
	} else {
		h.Set("Content-Length", strconv.Itoa(len(out.Body)))
	}
	w.WriteHeader(out.Status)
	if _, err := stream.Copy(w, body); err != nil {
		res.req.log.Add(reqlog.Step{Event: "response not fully forwarded", Detail: err.Error()})
		panic(http.ErrAbortHandler)
	}
}
