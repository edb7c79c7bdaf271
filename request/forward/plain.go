package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

const (
	// maxBuffered is the size up to which an answer is read whole before any of
	// it is passed on, so that one that breaks off can be asked for again.
	maxBuffered = 256 << 10
	// patience is how many aims a server has for an answer that another can
	// give as well.
	patience = 4
	// minPatience bounds it from below: the platform's longest calls of this
	// kind take 220 ms of work.
	minPatience = 600 * time.Millisecond
	// busyAfter is told to callers whose request was refused by servers.
	busyAfter = 300 * time.Millisecond
)

// servePlain serves a request whose answer is no stream of events.
func (h *Handler) servePlain(w http.ResponseWriter, j *job) {
	h.desk.offer(j)
	repeatable := j.route.Kind == deployment.Repeatable
	// ran counts the servers that may have run the request.
	ran := 0
	var last *try
	var lastBody []byte
	for {
		l, err := h.desk.place(j.request.Context(), j, h.plainWait(j))
		if err != nil {
			if last != nil && last.verdict == failing {
				// The server's own failure is an answer; ours would tell less.
				h.finish(w, j, last, lastBody, ran)
				return
			}
			h.giveUp(w, j, last, ran, err)
			return
		}
		t := h.send(j.request.Context(), j, l, h.plainHeadBy(j, repeatable), "")
		var body []byte
		if t.verdict == answered || t.verdict == failing {
			body = h.readAnswer(j, t)
		}
		if t.verdict == answered && body == nil {
			h.passLong(w, j, t)
			return
		}
		h.close(j, t)
		if t.verdict != notRun {
			ran++
		}
		if j.request.Context().Err() != nil {
			h.callerGone(j)
			return
		}
		if !h.mayTryAgain(j, t, ran, repeatable) {
			h.finish(w, j, t, body, ran)
			return
		}
		last, lastBody = t, body
	}
}

// plainWait returns until when a request may wait for a place.
func (h *Handler) plainWait(j *job) time.Time {
	until := j.start.Add(j.route.Aim / 2)
	if j.late || len(j.tried) > 0 {
		until = h.clock.Now().Add(j.route.Aim / 4)
	}
	if limit := j.due.Add(-2 * answerMargin); until.After(limit) {
		return limit
	}
	return until
}

// plainHeadBy returns when the answer must have begun.
func (h *Handler) plainHeadBy(j *job, repeatable bool) time.Time {
	due := j.due.Add(-answerMargin)
	if !repeatable || len(j.tried) >= j.route.MaxServers {
		return due
	}
	if by := h.clock.Now().Add(max(patience*j.route.Aim, minPatience)); by.Before(due) {
		return by
	}
	return due
}

// readAnswer reads a short answer whole; it returns nil for a long one, and
// where it broke off.
func (h *Handler) readAnswer(j *job, t *try) []byte {
	t.ex.ReadBy(j.due.Add(-answerMargin))
	if t.ex.Length > maxBuffered {
		return nil
	}
	body, err := t.ex.ReadAll(maxBuffered)
	if err != nil {
		t.err, t.verdict, t.outcome = err, unknown, placement.Failed
		return nil
	}
	return body
}

// finish gives the caller the last answer.
func (h *Handler) finish(w http.ResponseWriter, j *job, t *try, body []byte, ran int) {
	if t.verdict == answered || t.verdict == failing && body != nil {
		j.first = h.clock.Since(j.start)
		h.metrics.first.Record(j.first)
		answerHeader(w.Header(), t.ex)
		w.WriteHeader(t.ex.Status)
		_, _ = w.Write(body) // the caller may be gone
		h.noteServed(j, t.ex.Status)
		return
	}
	h.giveUp(w, j, t, ran, nil)
}

// passLong passes on an answer that is too long to be held.
func (h *Handler) passLong(w http.ResponseWriter, j *job, t *try) {
	j.first = h.clock.Since(j.start)
	answerHeader(w.Header(), t.ex)
	w.WriteHeader(t.ex.Status)
	_, err := io.Copy(w, t.ex)
	if err != nil {
		t.outcome = placement.Failed
	}
	h.close(j, t)
	if err != nil {
		h.metrics.failed.Inc(1)
		h.record(j, t.ex.Status, result.New(result.AnswerCut, "the answer broke off: %v", err))
		panic(http.ErrAbortHandler)
	}
	h.noteServed(j, t.ex.Status)
}

func (h *Handler) noteServed(j *job, status int) {
	if status < 300 {
		h.metrics.served.Inc(1)
		h.record(j, status, nil)
		return
	}
	h.metrics.failed.Inc(1)
	h.record(j, status, result.New(result.BackendFailed, "the server's own failure"))
}

// giveUp answers a request that gets no server's answer. placeErr tells why no
// place was found, if that was the reason.
func (h *Handler) giveUp(w http.ResponseWriter, j *job, last *try, ran int, placeErr error) {
	switch {
	case j.request.Context().Err() != nil:
		h.callerGone(j)
	case ran == 0 && placeErr != nil:
		h.refuse(w, j, placeErr)
	case ran == 0:
		h.refuse(w, j, result.Refuse(result.NoBackend, busyAfter, "servers refused: %v", last.err))
	case h.clock.Until(j.due) <= 2*answerMargin:
		h.refuse(w, j, result.New(result.DeadlineExceeded, "no answer in time: %v", lastError(last)))
	default:
		h.refuse(w, j, result.New(result.BackendFailed, "no whole answer: %v", lastError(last)))
	}
}

func lastError(t *try) error {
	if t == nil {
		return nil
	}
	var failure *backend.Error
	if errors.As(t.err, &failure) {
		return failure.Err
	}
	return t.err
}

func (h *Handler) callerGone(j *job) {
	h.metrics.gone.Inc(1)
	h.record(j, 0, result.New(result.CallerGone, "the caller left"))
}
