package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

const (
	// stallLimit is how long a server may send nothing before another one goes
	// on: callers leave after two seconds or more.
	stallLimit = 1500 * time.Millisecond
	// resumeWait bounds the wait for a place in the middle of a stream: the
	// pause must stay below what callers bear.
	resumeWait = 400 * time.Millisecond
	// lateWait is how long a request may wait that is late already.
	lateWait = 40 * time.Millisecond
)

// relay is the passing on of one stream.
type relay struct {
	h *Handler
	w http.ResponseWriter
	j *job
	// events is carried over from one server to the next.
	events eventReader
	// begun is set once the head was passed on.
	begun bool
	ran   int
}

// serveStream serves a request whose answer is a stream of events.
func (h *Handler) serveStream(w http.ResponseWriter, j *job) {
	h.desk.offer(j)
	r := &relay{h: h, w: w, j: j}
	if from := j.request.Header.Get(platform.HeaderLastEvent); from != "" {
		if id, err := strconv.ParseInt(from, 10, 64); err == nil {
			r.events.last, r.events.known = id, true
		}
	}
	var last *try
	for {
		l, err := h.desk.place(j.request.Context(), j, r.waitUntil())
		if err != nil {
			r.giveUp(last, err)
			return
		}
		t := h.send(j.request.Context(), j, l, r.stallBy(), r.resumeAt())
		if t.verdict == answered {
			r.run(t)
		}
		h.close(j, t)
		if t.verdict == answered {
			h.metrics.served.Inc(1)
			h.record(j, http.StatusOK, nil)
			return
		}
		if t.verdict != notRun {
			r.ran++
		}
		if j.request.Context().Err() != nil || !h.mayTryAgain(j, t, r.ran, j.route.Resumable) {
			r.giveUp(t, nil)
			return
		}
		last = t
	}
}

// waitUntil returns until when the request may wait for a place; zero leaves it
// to the pool.
func (r *relay) waitUntil() time.Time {
	now := r.h.clock.Now()
	var until time.Time
	switch {
	case r.begun || r.ran > 0:
		until = now.Add(resumeWait)
	case r.j.late || len(r.j.tried) > 0:
		until = now.Add(lateWait)
	default:
		return until
	}
	if limit := r.j.due.Add(-2 * answerMargin); until.After(limit) {
		return limit
	}
	return until
}

// stallBy returns when the next event must be in.
func (r *relay) stallBy() time.Time {
	by := r.h.clock.Now().Add(stallLimit)
	if due := r.j.due.Add(-answerMargin); by.After(due) {
		return due
	}
	return by
}

// resumeAt returns the id after which the next server is to go on.
func (r *relay) resumeAt() string {
	if !r.events.known {
		return ""
	}
	return strconv.FormatInt(r.events.last, 10)
}

// run passes events on until the stream ends, and sets the try's verdict.
func (r *relay) run(t *try) {
	r.events.from(t.ex)
	first := true
	for {
		t.ex.ReadBy(r.stallBy())
		events, count, err := r.events.next()
		if len(events) > 0 {
			if first {
				first = false
				r.h.desk.began(r.j.service, t.lease)
			}
			if !r.pass(t, events, count) {
				t.verdict, t.outcome = unknown, placement.Canceled
				return
			}
		}
		if err == io.EOF { //nolint:errorlint // next returns io.EOF itself
			r.end(t)
			return
		}
		if err != nil {
			r.broken(t, err)
			return
		}
	}
}

// end judges a stream that the server ended.
func (r *relay) end(t *try) {
	if !t.ex.Framed() {
		t.err, t.verdict, t.outcome = io.ErrUnexpectedEOF, unknown, placement.Failed
		return
	}
	if !r.begun {
		// A stream without events is whole as well.
		r.begin(t)
	}
}

func (r *relay) broken(t *try, err error) {
	t.err, t.verdict, t.outcome = err, unknown, placement.Failed
	if timeout, ok := err.(interface{ Timeout() bool }); ok && timeout.Timeout() {
		t.outcome = placement.Stalled
		if r.h.clock.Until(r.j.due) <= 2*answerMargin {
			t.outcome = placement.Canceled
		}
	}
	if r.j.request.Context().Err() != nil {
		t.outcome = placement.Canceled
	}
}

func (r *relay) begin(t *try) {
	r.begun = true
	r.j.first = r.h.clock.Since(r.j.start)
	r.h.metrics.first.Record(r.j.first)
	answerHeader(r.w.Header(), t.ex)
	r.w.WriteHeader(t.ex.Status)
}

// pass writes events to the caller and reports whether it is still there.
func (r *relay) pass(t *try, events []byte, count int) bool {
	if !r.begun {
		r.begin(t)
	}
	r.j.events += count
	if _, err := r.w.Write(events); err != nil {
		return false
	}
	return http.NewResponseController(r.w).Flush() == nil
}

// giveUp ends a stream that no server completes.
func (r *relay) giveUp(last *try, placeErr error) {
	if !r.begun {
		r.h.giveUp(r.w, r.j, last, r.ran, placeErr)
		return
	}
	if r.j.request.Context().Err() != nil {
		r.h.callerGone(r.j)
	} else {
		r.h.metrics.failed.Inc(1)
		reason := lastError(last)
		if placeErr != nil {
			reason = placeErr
		}
		r.h.record(r.j, http.StatusOK, result.New(result.AnswerCut, "the stream broke off after event %d: %v", r.events.last, reason))
	}
	// The caller must not take what it has for the whole.
	panic(http.ErrAbortHandler)
}
