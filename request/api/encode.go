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

// refusal is an error with the request that it answers.
type refusal struct {
	cause *result.Error
	id    string
	key   string
}

// Error implements error.
func (r *refusal) Error() string { return r.cause.Error() }

// Unwrap lets the code be found.
func (r *refusal) Unwrap() error { return r.cause }

func withID(err error, req *request) error {
	return &refusal{cause: result.From(err), id: req.id, key: req.key}
}

func (a *API) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	var r *refusal
	if errors.As(err, &r) {
		w.Header().Set(wire.HeaderRequestID, r.id)
		if r.key != "" {
			w.Header().Set(wire.HeaderKey, r.key)
		}
	}
	stream.WriteError(w, result.From(err))
}

// encode passes an answer to the caller.
func (a *API) encode(_ context.Context, w http.ResponseWriter, response any) error {
	switch out := response.(type) {
	case *answer:
		a.writeAnswer(w, out)
	case *onceAnswer:
		a.writeOnce(w, out)
	}
	return nil
}

func (a *API) writeAnswer(w http.ResponseWriter, an *answer) {
	defer an.finish(routing.Neutral, 0)
	defer a.limitWriting(w, an.req)()
	h := w.Header()
	stream.CopyHeader(h, an.resp.Header)
	setAnswerHeaders(h, an)
	if an.events {
		h.Del("Content-Length")
	}
	w.WriteHeader(an.resp.StatusCode)
	switch {
	case an.whole != nil:
		_, err := w.Write(an.whole)
		a.ended(an, int64(len(an.whole)), err)
	case an.events:
		a.writeEvents(w, an)
	default:
		n, err := stream.Copy(w, an.resp.Body)
		a.ended(an, n, err)
	}
}

// writeGrace is granted beyond the deadline for the end of an answer.
const writeGrace = 2 * time.Second

// limitWriting ends the connection of a caller that does not take its answer
// by the deadline, so that it holds no room at a server. The returned function
// lifts the limit for the connection's next request.
func (a *API) limitWriting(w http.ResponseWriter, req *request) (lift func()) {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(a.left(req) + writeGrace))
	return func() { _ = rc.SetWriteDeadline(time.Time{}) }
}

func setAnswerHeaders(h http.Header, an *answer) {
	h.Set(wire.HeaderRequestID, an.req.id)
	h.Set(wire.HeaderBackend, an.lease.Backend.Name)
	h.Set(wire.HeaderRan, result.DidRun.String())
	if an.version != "" {
		h.Set(wire.HeaderVersion, an.version)
	}
}

// ended closes an answer that is not a stream of events. One that broke off
// breaks the connection, so that the caller can't take it for whole.
func (a *API) ended(an *answer, n int64, err error) {
	if err == nil {
		an.finish(statusOutcome(an.resp.StatusCode), n)
		return
	}
	var cut *stream.ReadError
	if !errors.As(err, &cut) {
		a.callerGone(an)
		return
	}
	a.counters.cut.Inc(1)
	an.req.log.Add(reqlog.Step{What: "answer broke off", Code: int(result.AnswerCut), Detail: err.Error()})
	an.finish(cutOutcome(an), n)
	panic(http.ErrAbortHandler)
}

func (a *API) callerGone(an *answer) {
	a.counters.gone.Inc(1)
	an.req.log.Add(reqlog.Step{What: "caller left", Code: int(result.CallerGone)})
	an.finish(routing.Neutral, 0)
}

func statusOutcome(status int) routing.Outcome {
	if isFailure(status) {
		return routing.Failed
	}
	return routing.OK
}

// cutOutcome blames the server for a cut unless the caller left.
func cutOutcome(an *answer) routing.Outcome {
	if errors.Is(an.ctx.Err(), context.Canceled) {
		return routing.Neutral
	}
	return routing.Failed
}

// eventWriter passes events on in order and counts them.
type eventWriter struct {
	w       http.ResponseWriter
	flusher http.Flusher
	// next is the number of the event that is wanted next; numbered tells
	// whether events have numbers.
	next     int
	numbered bool
	sent     bool
	bytes    int64
}

// errNotResumed means that a resumed stream does not go on where the one
// before broke off.
var errNotResumed = errors.New("the engine did not resume at the offset")

// accept decides whether an event goes on, is dropped as doubled, or shows
// that the answer has a gap.
func (e *eventWriter) accept(ev stream.Event, resumed bool) (bool, error) {
	if ev.ID < 0 {
		return true, nil
	}
	e.numbered = true
	switch {
	case ev.ID == e.next:
		e.next++
		return true, nil
	case ev.ID < e.next && !resumed:
		return false, nil
	default:
		return false, errors.Wrapf(errNotResumed, "event %d came instead of %d", ev.ID, e.next)
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

// writeEvents passes a stream of events on. A stream that breaks off is
// resumed on another engine of the same version; where that fails the answer
// ends with an error event.
func (a *API) writeEvents(w http.ResponseWriter, an *answer) {
	out := &eventWriter{w: w}
	out.flusher, _ = w.(http.Flusher)
	resumed := false
	for {
		done, err := a.passEvents(an, out, resumed)
		if done {
			an.finish(routing.OK, out.bytes)
			return
		}
		var gone *writeError
		if errors.As(err, &gone) || errors.Is(an.ctx.Err(), context.Canceled) {
			a.callerGone(an)
			return
		}
		if fail := a.resume(an, out, err); fail != nil {
			a.cutEvents(an, out, fail)
			return
		}
		resumed = out.next > 0
	}
}

// writeError is a failure to write to the caller.
type writeError struct{ error }

// passEvents copies events until the answer is complete or breaks off.
func (a *API) passEvents(an *answer, out *eventWriter, resumed bool) (done bool, err error) {
	r := stream.NewEventReader(an.resp.Body)
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
		if err := out.write(ev.Raw, ev.Done || r.Drained()); err != nil {
			return false, &writeError{err}
		}
		if ev.Done {
			r.Finish()
			return true, nil
		}
	}
}

// resume continues a stream that broke off. It returns why that can't be.
func (a *API) resume(an *answer, out *eventWriter, cause error) *result.Error {
	fail := result.New(result.AnswerCut, "the answer broke off: %v", cause)
	fail.Ran = result.RanUnknown
	if errors.Is(an.ctx.Err(), context.DeadlineExceeded) {
		fail.Code = result.DeadlineExceeded
		return fail
	}
	a.counters.cut.Inc(1)
	an.req.log.Add(reqlog.Step{What: "stream broke off", Backend: an.lease.Backend.Name, Detail: strconv.Itoa(out.next)})
	_ = an.resp.Body.Close()
	an.lease.Done(routing.Failed, 0)
	an.lease = nil
	if out.sent && !out.numbered {
		return fail
	}
	for an.mayRetry(a.cfg.MaxAttempts, fail) && a.nextServer(an, an.version) {
		if err := a.attempt(an, out.next); err != nil {
			continue
		}
		if an.events {
			a.counters.resumed.Inc(1)
			return nil
		}
		_ = an.resp.Body.Close()
		an.lease.Done(routing.Failed, 0)
		an.lease = nil
	}
	return fail
}

// cutEvents ends a stream with an explicit error.
func (a *API) cutEvents(an *answer, out *eventWriter, fail *result.Error) {
	an.req.log.Add(reqlog.Step{What: "stream ended with an error", Code: int(fail.Code), Detail: fail.Detail})
	_ = out.write(stream.ErrorEvent(fail), true)
	an.finish(routing.Failed, 0)
}
