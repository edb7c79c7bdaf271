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
	"github.com/waxwingpost/waxwingpost/request/once"
	"github.com/waxwingpost/waxwingpost/request/reqlog"
	"github.com/waxwingpost/waxwingpost/request/routing"
	"github.com/waxwingpost/waxwingpost/request/stream"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// onceAnswer is the outcome of a call that may not be repeated.
type onceAnswer struct {
	req *request
	out *once.Outcome
}

// serveOnce answers a call that may not be repeated.
func (a *API) serveOnce(ctx context.Context, req *request) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, a.left(req))
	defer cancel()
	out, err := a.once.Do(ctx, &once.Call{
		Account: req.account, Key: req.key, Service: req.service, Digest: callDigest(req),
		Pick: func(ctx context.Context, exclude []string) (*once.Place, error) { return a.pickOnce(ctx, req, exclude) },
		Send: func(ctx context.Context, p *once.Place, attempt int) (*control.Answer, io.ReadCloser, error) {
			return a.sendOnce(ctx, req, p, attempt)
		},
		Note: func(what, backend string, err error) { note(req, what, backend, err) },
	})
	if err != nil {
		return nil, a.refused(req, err)
	}
	return &onceAnswer{req: req, out: out}, nil
}

func note(req *request, what, backend string, err error) {
	step := reqlog.Step{What: what, Backend: backend}
	if err != nil {
		e := result.From(err)
		step.Code, step.Detail = int(e.Code), e.Detail
	}
	req.log.Add(step)
}

// callDigest covers all that makes a call: method, path, query and body.
func callDigest(req *request) manifest.Digest {
	h := blake3.New()
	for _, part := range []string{req.http.Method, req.http.URL.EscapedPath(), req.http.URL.RawQuery} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(req.body.head)
	var d manifest.Digest
	h.Sum(d[:0])
	return d
}

// pickOnce admits the first attempt and claims a server for every attempt.
func (a *API) pickOnce(ctx context.Context, req *request, exclude []string) (*once.Place, error) {
	if len(exclude) == 0 {
		ctx, cancel := context.WithTimeout(ctx, a.left(req))
		defer cancel()
		grant, lease, err := a.admit(ctx, req, nil)
		if err != nil {
			return nil, err
		}
		return place(lease, grant), nil
	}
	t := req.target
	if !t.budget.Retry() {
		return nil, admission.NoBackend()
	}
	lease := t.group.Pick(t.backends(), routing.Request{Accept: req.accept, Exclude: exclude, Force: true})
	if lease == nil {
		return nil, admission.NoBackend()
	}
	return place(lease, nil), nil
}

func place(lease *routing.Lease, grant *admission.Grant) *once.Place {
	return &once.Place{Backend: lease.Backend, Lease: lease, Done: func(answered bool) {
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

// sendOnce dispatches an attempt and reads its answer.
func (a *API) sendOnce(ctx context.Context, req *request, p *once.Place, attempt int) (*control.Answer, io.ReadCloser, error) {
	backend := p.Backend
	if newer, _ := a.d.Sessions.Lookup(backend.Name, backend.Incarnation); newer != nil {
		backend = newer
	}
	d := &dispatch{req: req, backend: backend, lease: p.Lease, attempt: attempt}
	if req.engine {
		d.version = backend.Serving
	}
	resp, failure := a.exchange(ctx, d)
	if failure != nil {
		return nil, nil, failure
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, a.cfg.MaxAnswerBytes))
	if err != nil {
		_ = resp.Body.Close()
		return nil, nil, dispatchError(ctx, err, backend.Name)
	}
	out := &control.Answer{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"),
		Body: body, Size: int64(len(body)), Holder: backend.Name,
	}
	if int64(len(body)) == a.cfg.MaxAnswerBytes {
		return out, resp.Body, nil
	}
	_ = resp.Body.Close()
	out.Digest = manifest.Sum(body)
	return out, nil, nil
}

// writeOnce passes the outcome to the caller.
func (a *API) writeOnce(w http.ResponseWriter, an *onceAnswer) {
	out := an.out.Answer
	defer a.limitWriting(w, an.req)()
	h := w.Header()
	h.Set(wire.HeaderRequestID, an.req.id)
	h.Set(wire.HeaderKey, an.req.key)
	h.Set(wire.HeaderRan, result.DidRun.String())
	h.Set(wire.HeaderBackend, out.Holder)
	if out.ContentType != "" {
		h.Set("Content-Type", out.ContentType)
	}
	var body io.Reader = bytes.NewReader(out.Body)
	if an.out.Rest != nil {
		defer an.out.Rest.Close()
		body = io.MultiReader(body, an.out.Rest)
	} else {
		h.Set("Content-Length", strconv.Itoa(len(out.Body)))
	}
	w.WriteHeader(out.Status)
	if _, err := stream.Copy(w, body); err != nil {
		an.req.log.Add(reqlog.Step{What: "answer not passed on whole", Detail: err.Error()})
		panic(http.ErrAbortHandler)
	}
}
