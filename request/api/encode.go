package api

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/reqlog"
	"github.com/waxwingpost/waxwingpost/request/routing"
	"github.com/waxwingpost/waxwingpost/request/stream"
)

// requestError is an error with the ID and key of the request that it refers
// to.
type requestError struct {
	cause *result.Error
	id    string
	key   string
}

// Error implements error.
func (r *requestError) Error() string { return r.cause.Error() }

// Unwrap returns the error with the result code.
func (r *requestError) Unwrap() error { return r.cause }

func withRequestID(err error, req *request) error {
	return &requestError{cause: result.From(err), id: req.id, key: req.key}
}

func (a *API) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	var r *requestError
	if errors.As(err, &r) {
		w.Header().Set(wire.HeaderRequestID, r.id)
		if r.key != "" {
			w.Header().Set(wire.HeaderIdempotencyKey, r.key)
		}
	}
	stream.WriteError(w, result.From(err))
}

// encodeResponse writes a response to the caller.
func (a *API) encodeResponse(_ context.Context, w http.ResponseWriter, response any) error {
	switch out := response.(type) {
	case *proxiedResponse:
		a.writeResponse(w, out)
	case *onceResponse:
		a.writeOnceResponse(w, out)
	}
	return nil
}

func (a *API) writeResponse(w http.ResponseWriter, pr *proxiedResponse) {
	defer pr.finish(routing.Neutral, 0)
	defer a.setWriteDeadline(w, pr.req)()
	h := w.Header()
	stream.CopyEndToEndHeaders(h, pr.resp.Header)
	setResponseHeaders(h, pr)
	if pr.eventStream {
		h.Del("Content-Length")
	}
	w.WriteHeader(pr.resp.StatusCode)
	switch {
	case pr.buffered != nil:
		_, err := w.Write(pr.buffered)
		a.finishCopy(pr, int64(len(pr.buffered)), err)
	case pr.eventStream:
		a.writeEvents(w, pr)
	default:
		n, err := stream.Copy(w, pr.resp.Body)
		a.finishCopy(pr, n, err)
	}
}

// writeGrace is the time after the deadline in which a response may still be
// written.
const writeGrace = 2 * time.Second

// setWriteDeadline closes the connection of a caller that does not read its
// response by the deadline, so that it does not occupy capacity of a backend
// server. The returned function clears the limit for the next request on the
// connection.
func (a *API) setWriteDeadline(w http.ResponseWriter, req *request) (reset func()) {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(a.remaining(req) + writeGrace))
	return func() { _ = rc.SetWriteDeadline(time.Time{}) }
}

func setResponseHeaders(h http.Header, pr *proxiedResponse) {
	h.Set(wire.HeaderRequestID, pr.req.id)
	h.Set(wire.HeaderBackend, pr.lease.Backend.Name)
	h.Set(wire.HeaderRan, result.DidRun.String())
	if pr.version != "" {
		h.Set(wire.HeaderVersion, pr.version)
	}
}

// finishCopy completes a response that is not an event stream. If the response
// was truncated, the connection is aborted so that the caller detects it.
func (a *API) finishCopy(pr *proxiedResponse, n int64, err error) {
	if err == nil {
		pr.finish(statusOutcome(pr.resp.StatusCode), n)
		return
	}
	var readErr *stream.ReadError
	if !errors.As(err, &readErr) {
		a.callerGone(pr)
		return
	}
	a.counters.truncated.Inc(1)
	pr.req.log.Add(reqlog.Step{Event: "response truncated", Code: int(result.AnswerCut), Detail: err.Error()})
	pr.finish(truncationOutcome(pr), n)
	panic(http.ErrAbortHandler)
}

func (a *API) callerGone(pr *proxiedResponse) {
	a.counters.callerGone.Inc(1)
	pr.req.log.Add(reqlog.Step{Event: "caller disconnected", Code: int(result.CallerGone)})
	pr.finish(routing.Neutral, 0)
}

// statusOutcome maps the status of a response to the outcome that routing
// records for the server.
func statusOutcome(status int) routing.Outcome {
	if isRetryableStatus(status) {
		return routing.Failed
	}
	return routing.OK
}

// truncationOutcome reports a truncated response as a failure of the server
// unless the caller disconnected.
func truncationOutcome(pr *proxiedResponse) routing.Outcome {
	if errors.Is(pr.ctx.Err(), context.Canceled) {
		return routing.Neutral
	}
	return routing.Failed
}

// eventWriter forwards events in order and tracks the next expected ID.
type eventWriter struct {
	w       http.ResponseWriter
	flusher http.Flusher
	// nextID is the ID of the next expected event; numbered is set once an
	// event with an ID was seen.
	nextID   int
	numbered bool
	sent     bool
	bytes    int64
}

// errEventGap means that an event is missing, or that the engine did not resume
// a stream at the requested offset.
var errEventGap = errors.New("the event stream is not contiguous")

// accept reports whether to forward an event. A duplicate is dropped; a gap in
// the IDs is an error.
func (e *eventWriter) accept(ev stream.Event, resumed bool) (bool, error) {
	if ev.ID < 0 {
		return true, nil
	}
	e.numbered = true
	switch {
	case ev.ID == e.nextID:
		e.nextID++
		return true, nil
	case ev.ID < e.nextID && !resumed:
		return false, nil
	default:
		return false, errors.Wrapf(errEventGap, "got event %d, want event %d", ev.ID, e.nextID)
	}
}

func (e *eventWriter) write(raw []byte, flush bool) error {
	n, err := e.w.Write(raw)
	e.bytes += int64(n)
	e.sent = true
	if err == nil && flush && e.flusher != nil {
		e.flusher.Flush()
	}
	return err
}

// writeEvents forwards an event stream. A truncated stream is resumed on
// another engine of the same version; if that fails, the response ends with an
// error event.
func (a *API) writeEvents(w http.ResponseWriter, pr *proxiedResponse) {
	out := &eventWriter{w: w}
	out.flusher, _ = w.(http.Flusher)
	resumed := false
	for {
		done, err := a.copyEvents(pr, out, resumed)
		if done {
			pr.finish(routing.OK, out.bytes)
			return
		}
		var writeErr *writeError
		if errors.As(err, &writeErr) || errors.Is(pr.ctx.Err(), context.Canceled) {
			a.callerGone(pr)
			return
		}
		if failure := a.resumeStream(pr, out, err); failure != nil {
			a.endWithError(pr, out, failure)
			return
		}
		resumed = out.nextID > 0
	}
}

// writeError marks a failure to write to the caller.
type writeError struct{ error }

// copyEvents forwards events until the stream is complete or truncated.
func (a *API) copyEvents(pr *proxiedResponse, out *eventWriter, resumed bool) (done bool, err error) {
	r := stream.NewEventReader(pr.resp.Body)
	defer r.Release()
	for {
		ev, err := r.Next()
		if err != nil {
			return false, err
		}
		pass, err := out.accept(ev, resumed)
		if err != nil {
			return false, err
		}
		resumed = false
		if !pass {
			continue
		}
		if err := out.write(ev.Raw, ev.Done || r.BufferEmpty()); err != nil {
			return false, &writeError{err}
		}
		if ev.Done {
			r.DiscardTrailing()
			return true, nil
		}
	}
}

// resumeStream continues a broken stream on another server. It returns an error
// if that is not possible.
func (a *API) resumeStream(pr *proxiedResponse, out *eventWriter, cause error) *result.Error {
	failure := result.New(result.AnswerCut, "response truncated: %v", cause)
	failure.Ran = result.RanUnknown
	if errors.Is(pr.ctx.Err(), context.DeadlineExceeded) {
		failure.Code = result.DeadlineExceeded
		return failure
	}
	a.counters.truncated.Inc(1)
	pr.req.log.Add(reqlog.Step{Event: "stream truncated", Backend: pr.lease.Backend.Name, Detail: strconv.Itoa(out.nextID)})
	_ = pr.resp.Body.Close()
	pr.lease.Done(routing.Failed, 0)
	pr.lease = nil
	if out.sent && !out.numbered {
		return failure
	}
	for pr.canRetry(a.cfg.MaxAttempts, failure) && a.pickForRetry(pr, pr.version) {
		if err := a.dispatchOnce(pr, out.nextID); err != nil {
			continue
		}
		if pr.eventStream {
			a.counters.resumed.Inc(1)
			return nil
		}
		_ = pr.resp.Body.Close()
		pr.lease.Done(routing.Failed, 0)
		pr.lease = nil
	}
	return failure
}

// endWithError ends a stream with an error event.
func (a *API) endWithError(pr *proxiedResponse, out *eventWriter, failure *result.Error) {
	pr.req.log.Add(reqlog.Step{Event: "stream ended with an error", Code: int(failure.Code), Detail: failure.Detail})
	_ = out.write(stream.ErrorEvent(failure), true)
	pr.finish(routing.Failed, 0)
}
