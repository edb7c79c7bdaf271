package runner

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/zeebo/blake3"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/once"
	"github.com/waxwingpost/waxwingpost/request/stream"
)

// serveAttempt runs a call that may not be repeated. Every refusal puts a
// tombstone, so that another copy of the same dispatch can't run later.
func (r *Runner) serveAttempt(ctx context.Context, c *call) (any, error) {
	if reply, _ := r.table.Lookup(c.attempt); reply.State != once.StateNeverSeen {
		return nil, knownAttempt(reply)
	}
	body, err := r.readWhole(c)
	if err != nil {
		return nil, r.refuseAttempt(c, err)
	}
	release, err := r.admit(c)
	if err != nil {
		return nil, r.refuseAttempt(c, err)
	}
	run, known, err := r.table.Begin(c.attempt)
	if err != nil || known != nil {
		release()
		if known != nil {
			return nil, knownAttempt(*known)
		}
		return nil, err
	}
	return r.startAttempt(ctx, c, body, run, release)
}

// startAttempt sends the call. From here on the caller's or the entry's
// leaving does not end it: its outcome has to be learned.
func (r *Runner) startAttempt(ctx context.Context, c *call, body []byte, run *once.RunningAttempt, release func()) (any, error) {
	r.counters.attempts.Inc(1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.cfg.MaxRunTime)
	done := func() {
		cancel()
		release()
	}
	c.body = stream.SingleUse(io.NopCloser(bytes.NewReader(body)))
	c.length = int64(len(body))
	resp, err := r.sendOnce(ctx, c)
	if err != nil {
		done()
		failure := result.From(backendError(err))
		if failure.Ran == result.NotRun {
			run.MarkNotRun()
		} else {
			run.MarkUnknown()
		}
		return nil, failure
	}
	a := &answer{resp: resp.(*http.Response), call: c, run: run, release: done}
	if err := checkAnswer(a); err != nil {
		_ = a.resp.Body.Close()
		done()
		run.MarkUnknown()
		return nil, err
	}
	return a, nil
}

func (r *Runner) readWhole(c *call) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(c.body, r.cfg.MaxBodyBytes+1))
	if err != nil {
		return nil, result.Refuse(result.CallerGone, 0, "the body broke off: %v", err)
	}
	if int64(len(body)) > r.cfg.MaxBodyBytes {
		return nil, result.Refuse(result.BadRequest, 0, "the body exceeds %d bytes", r.cfg.MaxBodyBytes)
	}
	return body, nil
}

// refuseAttempt puts a tombstone for a refused attempt and returns what may
// be said of it.
func (r *Runner) refuseAttempt(c *call, refusal error) error {
	reply, err := r.table.Tombstone(c.attempt)
	if err != nil {
		return err
	}
	if reply.State != once.StateNotRun {
		return knownAttempt(reply)
	}
	return refusal
}

// knownAttempt answers a second dispatch of the same attempt. The entry asks
// for the outcome by a lookup.
func knownAttempt(reply once.Reply) error {
	if reply.State == once.StateNotRun {
		return result.Refuse(result.AttemptTombstoned, 0, "the attempt was refused before")
	}
	e := result.New(result.InProgress, "the attempt is known: %s", reply.State)
	e.Ran = result.RanUnknown
	return e
}

// copyAttempt passes the answer on and keeps it. When the entry stops
// reading, the rest is still read for the record.
func (r *Runner) copyAttempt(w http.ResponseWriter, a *answer) error {
	keeper := newKeeper(r.table.MaxKeptAnswer())
	src := io.TeeReader(a.resp.Body, keeper)
	_, err := stream.Copy(w, src)
	if err != nil && !isReadError(err) {
		_, drainErr := io.Copy(io.Discard, src)
		if drainErr == nil {
			a.run.MarkDone(keeper.answer(a.resp, r.cfg.Agent.Name))
			return err
		}
	}
	if err != nil {
		a.run.MarkUnknown()
		return err
	}
	a.run.MarkDone(keeper.answer(a.resp, r.cfg.Agent.Name))
	return nil
}

// keeper holds an answer's body up to a limit, and its digest and size.
type keeper struct {
	limit int64
	body  []byte
	size  int64
	hash  *blake3.Hasher
}

func newKeeper(limit int64) *keeper {
	return &keeper{limit: limit, hash: blake3.New()}
}

// Write implements io.Writer.
func (k *keeper) Write(p []byte) (int, error) {
	k.size += int64(len(p))
	_, _ = k.hash.Write(p)
	if k.size <= k.limit {
		k.body = append(k.body, p...)
	} else {
		k.body = nil
	}
	return len(p), nil
}

func (k *keeper) answer(resp *http.Response, agent string) control.Answer {
	a := control.Answer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        k.body,
		Size:        k.size,
		Holder:      agent,
	}
	k.hash.Sum(a.Digest[:0])
	return a
}
