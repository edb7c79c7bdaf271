package runner

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/zeebo/blake3"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/atmostonce"
	"github.com/waxwingpost/waxwingpost/request/stream"
)

// serveAttempt runs an attempt of a non-repeatable call. Every refusal creates
// a tombstone, so that another copy of the same dispatch can't run later.
func (r *Runner) serveAttempt(ctx context.Context, d *dispatchRequest) (any, error) {
	if reply, _ := r.table.Lookup(d.attempt); reply.State != atmostonce.StateNeverSeen {
		return nil, knownAttemptError(reply)
	}
	body, err := r.readBody(d)
	if err != nil {
		return nil, r.tombstoneAttempt(d, err)
	}
	release, err := r.admit(d)
	if err != nil {
		return nil, r.tombstoneAttempt(d, err)
	}
	run, known, err := r.table.Begin(d.attempt)
	if err != nil || known != nil {
		release()
		if known != nil {
			return nil, knownAttemptError(*known)
		}
		return nil, err
	}
	return r.runAttempt(ctx, d, body, run, release)
}

// runAttempt sends the call to the backend server. It is not canceled when the
// caller or the entry disconnects, because its outcome must be recorded.
func (r *Runner) runAttempt(ctx context.Context, d *dispatchRequest, body []byte, run *atmostonce.RunningAttempt, release func()) (any, error) {
	r.counters.attempts.Inc(1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.cfg.MaxRunTime)
	cleanup := func() {
		cancel()
		release()
	}
	d.body = stream.NonReplayable(io.NopCloser(bytes.NewReader(body)))
	d.length = int64(len(body))
	resp, err := r.sendOnce(ctx, d)
	if err != nil {
		cleanup()
		failure := result.From(backendError(err))
		if failure.Ran == result.NotRun {
			run.MarkNotRun()
		} else {
			run.MarkUnknown()
		}
		return nil, failure
	}
	br := &backendResponse{resp: resp.(*http.Response), req: d, run: run, release: cleanup}
	if err := checkResponse(br); err != nil {
		_ = br.resp.Body.Close()
		cleanup()
		run.MarkUnknown()
		return nil, err
	}
	return br, nil
}

func (r *Runner) readBody(d *dispatchRequest) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(d.body, r.cfg.MaxBodyBytes+1))
	if err != nil {
		return nil, result.Refuse(result.CallerGone, 0, "read body: %v", err)
	}
	if int64(len(body)) > r.cfg.MaxBodyBytes {
		return nil, result.Refuse(result.BadRequest, 0, "the body exceeds %d bytes", r.cfg.MaxBodyBytes)
	}
	return body, nil
}

// tombstoneAttempt creates a tombstone for a refused attempt and returns the
// refusal, or another error if the attempt already has a record or the table is
// full.
func (r *Runner) tombstoneAttempt(d *dispatchRequest, refusal error) error {
	reply, err := r.table.Tombstone(d.attempt)
	if err != nil {
		return err
	}
	if reply.State != atmostonce.StateNotRun {
		return knownAttemptError(reply)
	}
	return refusal
}

// knownAttemptError is the error for a repeated dispatch of an attempt. The
// entry learns the outcome with a query.
func knownAttemptError(reply atmostonce.Reply) error {
	if reply.State == atmostonce.StateNotRun {
		return result.Refuse(result.AttemptTombstoned, 0, "the attempt was already refused")
	}
	e := result.New(result.InProgress, "the attempt already has a record: %s", reply.State)
	e.Ran = result.RanUnknown
	return e
}

// copyAndRecord forwards the response and records it as the answer. If the
// entry stops reading, the rest of the response is still read and recorded.
func (r *Runner) copyAndRecord(w http.ResponseWriter, br *backendResponse) error {
	recorder := newAnswerRecorder(r.table.MaxKeptAnswer())
	src := io.TeeReader(br.resp.Body, recorder)
	_, err := stream.Copy(w, src)
	if err != nil && !isReadError(err) {
		_, drainErr := io.Copy(io.Discard, src)
		if drainErr == nil {
			br.run.MarkDone(recorder.answer(br.resp, r.cfg.Agent.Name))
			return err
		}
	}
	if err != nil {
		br.run.MarkUnknown()
		return err
	}
	br.run.MarkDone(recorder.answer(br.resp, r.cfg.Agent.Name))
	return nil
}

// answerRecorder computes the digest and size of a response body and buffers
// the body if it is within a limit.
type answerRecorder struct {
	limit int64
	body  []byte
	size  int64
	hash  *blake3.Hasher
}

func newAnswerRecorder(limit int64) *answerRecorder {
	return &answerRecorder{limit: limit, hash: blake3.New()}
}

// Write implements io.Writer.
func (a *answerRecorder) Write(p []byte) (int, error) {
	a.size += int64(len(p))
	_, _ = a.hash.Write(p)
	if a.size <= a.limit {
		a.body = append(a.body, p...)
	} else {
		a.body = nil
	}
	return len(p), nil
}

// answer returns the recorded answer.
func (a *answerRecorder) answer(resp *http.Response, agent string) control.Answer {
	answer := control.Answer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        a.body,
		Size:        a.size,
		Holder:      agent,
	}
	a.hash.Sum(answer.Digest[:0])
	return answer
}
