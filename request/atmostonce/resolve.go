package atmostonce

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// initialBackoff is the first backoff between queries to an agent and
	// between retries of recording an outcome; it doubles up to maxBackoff.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// maxQueryWait is how long an agent may wait for a running attempt before
	// it replies to a query.
	maxQueryWait = time.Second
)

// resolveAttempt queries the agent until the outcome of a reserved attempt is
// known. ownAttempt is set for an attempt of this execution, which is not
// dispatched again.
func (c *Coordinator) resolveAttempt(ctx context.Context, ex *execution, rec control.Call, ownAttempt bool) (next int, out *Outcome, err error) {
	r := resolver{c: c, ex: ex, rec: rec, ownAttempt: ownAttempt, start: c.deps.Clock.Now(), backoff: initialBackoff}
	r.lastReply = r.start
	for {
		if decided, next, out, err := r.poll(ctx); decided {
			return next, out, err
		}
		if err := r.waitBackoff(ctx); err != nil {
			return 0, nil, inProgressError()
		}
	}
}

// resolver determines the outcome of one attempt.
type resolver struct {
	c          *Coordinator
	ex         *execution
	rec        control.Call
	ownAttempt bool
	// start is when the resolution began; lastReply is when the agent last
	// replied, initially start.
	start        time.Time
	lastReply    time.Time
	backoff      time.Duration
	waitSignaled bool
}

// poll checks the record, then queries the agent once.
func (r *resolver) poll(ctx context.Context) (decided bool, next int, out *Outcome, err error) {
	c := r.c
	r.checkResendWait()
	if rec, ok := c.deps.Calls(r.rec.Reserve.Account, r.rec.Reserve.Key); ok && r.recordChanged(rec) {
		next, out, err := c.continueFromRecord(ctx, r.ex, rec)
		return true, next, out, err
	}
	b, replaced := c.deps.Lookup(r.rec.Reserve.Agent, r.rec.Reserve.Incarnation)
	if replaced || r.reservationExpired(b != nil) {
		return r.concludeUnknown(ctx)
	}
	if b == nil {
		return r.handleNoReply(ctx)
	}
	reply, err := c.query(ctx, b.Address, r.rec.Reserve, r.mayTombstone(), maxQueryWait)
	if err != nil {
		if result.CodeOf(err) == result.WrongIncarnation {
			return r.concludeUnknown(ctx)
		}
		return r.handleNoReply(ctx)
	}
	r.lastReply = c.deps.Clock.Now()
	return r.handleReply(ctx, reply)
}

// recordChanged reports whether the record has an outcome for the attempt or a
// later attempt.
func (r *resolver) recordChanged(rec control.Call) bool {
	if rec.Reserve.Attempt > r.rec.Reserve.Attempt {
		return true
	}
	return rec.Reserve.Attempt == r.rec.Reserve.Attempt && rec.Verdict != control.AttemptReserved
}

// checkResendWait releases waiting resends with an InProgress error after
// ResendWait.
func (r *resolver) checkResendWait() {
	if r.ownAttempt || r.waitSignaled || r.c.deps.Clock.Now().Sub(r.start) < r.c.cfg.ResendWait {
		return
	}
	r.waitSignaled = true
	r.c.signalWaitExceeded(r.ex)
}

func (c *Coordinator) signalWaitExceeded(ex *execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-ex.waitExceeded:
	default:
		close(ex.waitExceeded)
	}
}

// mayTombstone reports whether queries may create a tombstone. Another entry
// that has just reserved the attempt gets ResendGrace to dispatch it.
func (r *resolver) mayTombstone() bool {
	return r.ownAttempt || r.c.deps.Clock.Now().Sub(r.start) >= r.c.cfg.ResendGrace
}

// reservationExpired reports whether the agent may have dropped its record of
// the attempt, or can't be queried from this entry. An unknown outcome is
// always safe, so the wall clocks of two VMs may be compared here.
func (r *resolver) reservationExpired(linked bool) bool {
	if r.rec.Time == 0 {
		return false
	}
	age := r.c.deps.Clock.Now().Sub(time.UnixMilli(r.rec.Time))
	return age > r.c.cfg.MaxReservationAge || (!linked && age > r.c.cfg.MaxUnlinkedAge)
}

// handleNoReply concludes that the outcome is unknown if the agent has not
// replied for QueryWindow.
func (r *resolver) handleNoReply(ctx context.Context) (bool, int, *Outcome, error) {
	if r.c.deps.Clock.Now().Sub(r.lastReply) < r.c.cfg.QueryWindow {
		return false, 0, nil, nil
	}
	return r.concludeUnknown(ctx)
}

func (r *resolver) concludeUnknown(ctx context.Context) (bool, int, *Outcome, error) {
	next, out, err := r.c.recordUnknown(ctx, r.ex, r.rec.Reserve)
	return true, next, out, err
}

func (r *resolver) handleReply(ctx context.Context, reply Reply) (bool, int, *Outcome, error) {
	switch reply.State {
	case StateDone:
		out := &Outcome{Answer: reply.Answer}
		r.c.recordAnswer(ctx, r.rec.Reserve, out)
		if len(reply.Answer.Body) == 0 && reply.Answer.Size > 0 {
			return true, 0, nil, answerNotKeptError()
		}
		return true, 0, out, nil
	case StateUnknown:
		return r.concludeUnknown(ctx)
	case StateNotRun:
		refusal := result.Refuse(result.BackendFailed, time.Second, "the attempt did not reach the backend server")
		next, out, err := r.c.recordNotRun(ctx, r.rec.Reserve, refusal)
		return true, next, out, err
	default:
		return false, 0, nil, nil
	}
}

func (r *resolver) waitBackoff(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.c.deps.Clock.After(r.backoff):
		r.backoff = min(2*r.backoff, maxBackoff)
		return nil
	}
}

// query sends one query about an attempt.
func (c *Coordinator) query(ctx context.Context, address string, r control.Reserve, tombstone bool, wait time.Duration) (Reply, error) {
	c.counters.queries.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, c.cfg.QueryTimeout+wait)
	defer cancel()
	return c.deps.SendQuery(ctx, address, Query{
		ID:          ID{Account: r.Account, Key: r.Key, Attempt: r.Attempt},
		Incarnation: r.Incarnation, Tombstone: tombstone, WaitMs: wait.Milliseconds(),
	})
}

// recordNotRun records that an attempt did not run, and permits the next one.
// If recording fails, the refusal is returned at once and recording continues
// in the background.
func (c *Coordinator) recordNotRun(ctx context.Context, r control.Reserve, refusal error) (int, *Outcome, error) {
	c.counters.notRun.Inc(1)
	res, err := c.record(ctx, r, control.AttemptNotRun, nil)
	if err != nil {
		c.recordInBackground(r, control.AttemptNotRun, nil)
		return 0, nil, refusal
	}
	if res.Code != 0 && res.Call != nil && isFinal(res.Call.Verdict) {
		return 0, nil, outcomeUnknownError()
	}
	return r.Attempt + 1, nil, refusal
}

// recordUnknown records the outcome as unknown, which is final, unless another
// entry has recorded an outcome in the meantime.
func (c *Coordinator) recordUnknown(ctx context.Context, ex *execution, r control.Reserve) (int, *Outcome, error) {
	c.counters.unknown.Inc(1)
	res, err := c.record(ctx, r, control.AttemptUnknown, nil)
	if err != nil {
		c.recordInBackground(r, control.AttemptUnknown, nil)
		return 0, nil, outcomeUnknownError()
	}
	if res.Code != 0 && res.Call != nil {
		return c.continueFromRecord(ctx, ex, *res.Call)
	}
	return 0, nil, outcomeUnknownError()
}

// recordAnswer records an answer before it is returned to the caller. If that
// does not succeed within RecordTimeout, the caller gets the answer anyway and
// recording continues in the background.
func (c *Coordinator) recordAnswer(ctx context.Context, r control.Reserve, out *Outcome) {
	c.counters.ran.Inc(1)
	recorded := *out.Answer
	recorded.Holder = r.Agent
	if len(recorded.Body) > c.cfg.InlineBytes || out.Rest != nil {
		recorded.Body = nil
	}
	if _, err := c.record(ctx, r, control.AttemptRan, &recorded); err != nil {
		c.recordInBackground(r, control.AttemptRan, &recorded)
	}
}

func (c *Coordinator) record(ctx context.Context, r control.Reserve, outcome string, answer *control.Answer) (control.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.RecordTimeout)
	defer cancel()
	return c.deps.Store.Propose(ctx, c.outcomeCommand(r, outcome, answer))
}

func (c *Coordinator) outcomeCommand(r control.Reserve, outcome string, answer *control.Answer) control.Command {
	cmd := c.newCommand()
	cmd.Outcome = &control.RecordOutcome{Account: r.Account, Key: r.Key, Attempt: r.Attempt, Verdict: outcome, Answer: answer}
	return cmd
}

// recordInBackground retries recording an outcome for RecordRetryPeriod.
func (c *Coordinator) recordInBackground(r control.Reserve, outcome string, answer *control.Answer) {
	c.counters.lateRecords.Inc(1)
	cmd := c.outcomeCommand(r, outcome, answer)
	c.mu.Lock()
	c.pending++
	c.mu.Unlock()
	go func() {
		defer c.finishPending()
		deadline := c.deps.Clock.Now().Add(c.cfg.RecordRetryPeriod)
		for backoff := initialBackoff; c.deps.Clock.Now().Before(deadline); backoff = min(2*backoff, maxBackoff) {
			ctx, cancel := context.WithTimeout(context.Background(), c.cfg.ReserveTimeout)
			_, err := c.deps.Store.Propose(ctx, cmd)
			cancel()
			if err == nil {
				return
			}
			c.deps.Clock.Sleep(backoff)
		}
		c.deps.Log.Error("failed to record outcome", "account", r.Account, "key", r.Key, "verdict", outcome)
	}()
}

// releaseOnClose releases the claim when the rest of a response is closed.
type releaseOnClose struct {
	io.ReadCloser
	once    sync.Once
	release func(answered bool)
}

// Close implements io.Closer.
func (r *releaseOnClose) Close() error {
	r.once.Do(func() { r.release(true) })
	return r.ReadCloser.Close()
}
