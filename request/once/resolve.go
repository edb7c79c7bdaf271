package once

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// askPause is the first pause between questions to an agent that does
	// not answer; it doubles up to maxAskPause.
	askPause    = 50 * time.Millisecond
	maxAskPause = time.Second
	// runningWait is how long an agent may hold a question about a running
	// attempt.
	runningWait = time.Second
)

// resolve learns from the agent what became of a reserved attempt. Own is set
// on an attempt of this flight, which no one else dispatches any more.
func (c *Coordinator) resolve(ctx context.Context, f *flight, rec control.Call, own bool) (next int, out *Outcome, err error) {
	r := resolver{c: c, f: f, rec: rec, own: own, start: c.d.Clock.Now(), pause: askPause}
	r.answered = r.start
	for {
		if decided, next, out, err := r.step(ctx); decided {
			return next, out, err
		}
		if err := r.sleep(ctx); err != nil {
			return 0, nil, inProgress()
		}
	}
}

// resolver asks about one attempt until it is decided.
type resolver struct {
	c   *Coordinator
	f   *flight
	rec control.Call
	own bool
	// start is when the asking began, answered when the agent last answered.
	start    time.Time
	answered time.Time
	pause    time.Duration
	slow     bool
}

// step looks at the record, then asks the agent once.
func (r *resolver) step(ctx context.Context) (decided bool, next int, out *Outcome, err error) {
	c := r.c
	r.tellSlow()
	if rec, ok := c.d.Calls(r.rec.Reserve.Account, r.rec.Reserve.Key); ok && r.changed(rec) {
		next, out, err := c.settle(ctx, r.f, rec)
		return true, next, out, err
	}
	b, replaced := c.d.Lookup(r.rec.Reserve.Agent, r.rec.Reserve.Incarnation)
	if replaced || r.tooOld(b != nil) {
		return r.unknown(ctx)
	}
	if b == nil {
		return r.unanswered(ctx)
	}
	reply, err := c.ask(ctx, b.Address, r.rec.Reserve, r.mayTombstone(), runningWait)
	if err != nil {
		if result.CodeOf(err) == result.WrongIncarnation {
			return r.unknown(ctx)
		}
		return r.unanswered(ctx)
	}
	r.answered = c.d.Clock.Now()
	return r.decide(ctx, reply)
}

// changed reports whether the record moved on from the attempt in question.
func (r *resolver) changed(rec control.Call) bool {
	if rec.Reserve.Attempt > r.rec.Reserve.Attempt {
		return true
	}
	return rec.Reserve.Attempt == r.rec.Reserve.Attempt && rec.Verdict != control.AttemptReserved
}

// tellSlow lets resends go with "in progress" once they waited long enough.
func (r *resolver) tellSlow() {
	if r.own || r.slow || r.c.d.Clock.Now().Sub(r.start) < r.c.cfg.ResendWait {
		return
	}
	r.slow = true
	r.c.markSlow(r.f)
}

func (c *Coordinator) markSlow(f *flight) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-f.slow:
	default:
		close(f.slow)
	}
}

// mayTombstone leaves an entry that has just reserved the time to dispatch.
func (r *resolver) mayTombstone() bool {
	return r.own || r.c.d.Clock.Now().Sub(r.start) >= r.c.cfg.ResendGrace
}

// tooOld reports whether the agent may have forgotten the attempt, or can't
// be asked from here. Calling an outcome unknown is always safe, so wall
// clocks of two VMs may be compared for it.
func (r *resolver) tooOld(linked bool) bool {
	if r.rec.Time == 0 {
		return false
	}
	age := r.c.d.Clock.Now().Sub(time.UnixMilli(r.rec.Time))
	return age > r.c.cfg.MaxAskAge || (!linked && age > r.c.cfg.UnlinkedAge)
}

// unanswered gives up on an agent that did not answer for the whole window.
func (r *resolver) unanswered(ctx context.Context) (bool, int, *Outcome, error) {
	if r.c.d.Clock.Now().Sub(r.answered) < r.c.cfg.AskWindow {
		return false, 0, nil, nil
	}
	return r.unknown(ctx)
}

func (r *resolver) unknown(ctx context.Context) (bool, int, *Outcome, error) {
	next, out, err := r.c.recordUnknown(ctx, r.f, r.rec.Reserve)
	return true, next, out, err
}

func (r *resolver) decide(ctx context.Context, reply Reply) (bool, int, *Outcome, error) {
	switch reply.State {
	case StateDone:
		out := &Outcome{Answer: reply.Answer}
		r.c.recordAnswer(ctx, r.rec.Reserve, out)
		if len(reply.Answer.Body) == 0 && reply.Answer.Size > 0 {
			return true, 0, nil, notKept()
		}
		return true, 0, out, nil
	case StateUnknown:
		return r.unknown(ctx)
	case StateRefused:
		refusal := result.Refuse(result.BackendFailed, time.Second, "the attempt did not reach the backend server")
		next, out, err := r.c.notRun(ctx, r.rec.Reserve, refusal)
		return true, next, out, err
	default:
		return false, 0, nil, nil
	}
}

func (r *resolver) sleep(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.c.d.Clock.After(r.pause):
		r.pause = min(2*r.pause, maxAskPause)
		return nil
	}
}

// ask sends one question about an attempt.
func (c *Coordinator) ask(ctx context.Context, address string, r control.Reserve, tombstone bool, wait time.Duration) (Reply, error) {
	c.counters.asked.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AskTimeout+wait)
	defer cancel()
	return c.d.Ask(ctx, address, Query{
		ID:          ID{Account: r.Account, Key: r.Key, Attempt: r.Attempt},
		Incarnation: r.Incarnation, Tombstone: tombstone, WaitMs: wait.Milliseconds(),
	})
}

// notRun records that an attempt did not run, and permits the next one. When
// it can't be recorded the caller is told at once; the record follows.
func (c *Coordinator) notRun(ctx context.Context, r control.Reserve, refusal error) (int, *Outcome, error) {
	c.counters.notRun.Inc(1)
	res, err := c.record(ctx, r, control.AttemptNotRun, nil)
	if err != nil {
		c.recordLater(r, control.AttemptNotRun, nil)
		return 0, nil, refusal
	}
	if res.Code != 0 && res.Call != nil && final(res.Call.Verdict) {
		return 0, nil, outcomeUnknown()
	}
	return r.Attempt + 1, nil, refusal
}

// recordUnknown makes the outcome unknown for good, unless another entry has
// learned it meanwhile.
func (c *Coordinator) recordUnknown(ctx context.Context, f *flight, r control.Reserve) (int, *Outcome, error) {
	c.counters.unknown.Inc(1)
	res, err := c.record(ctx, r, control.AttemptUnknown, nil)
	if err != nil {
		c.recordLater(r, control.AttemptUnknown, nil)
		return 0, nil, outcomeUnknown()
	}
	if res.Code != 0 && res.Call != nil {
		return c.settle(ctx, f, *res.Call)
	}
	return 0, nil, outcomeUnknown()
}

// recordAnswer records an answer before the caller gets it. When it can't be
// recorded in time the caller still gets it, and the record follows.
func (c *Coordinator) recordAnswer(ctx context.Context, r control.Reserve, out *Outcome) {
	c.counters.ran.Inc(1)
	short := *out.Answer
	short.Holder = r.Agent
	if len(short.Body) > c.cfg.InlineBytes || out.Rest != nil {
		short.Body = nil
	}
	if _, err := c.record(ctx, r, control.AttemptRan, &short); err != nil {
		c.recordLater(r, control.AttemptRan, &short)
	}
}

func (c *Coordinator) record(ctx context.Context, r control.Reserve, verdict string, answer *control.Answer) (control.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.RecordTimeout)
	defer cancel()
	return c.d.Store.Propose(ctx, c.outcomeCommand(r, verdict, answer))
}

func (c *Coordinator) outcomeCommand(r control.Reserve, verdict string, answer *control.Answer) control.Command {
	cmd := c.command()
	cmd.Outcome = &control.RecordOutcome{Account: r.Account, Key: r.Key, Attempt: r.Attempt, Verdict: verdict, Answer: answer}
	return cmd
}

// recordLater keeps trying to record an outcome in the background.
func (c *Coordinator) recordLater(r control.Reserve, verdict string, answer *control.Answer) {
	c.counters.late.Inc(1)
	cmd := c.outcomeCommand(r, verdict, answer)
	c.mu.Lock()
	c.pending++
	c.mu.Unlock()
	go func() {
		defer c.settled()
		end := c.d.Clock.Now().Add(c.cfg.RecordFollow)
		for pause := askPause; c.d.Clock.Now().Before(end); pause = min(2*pause, maxAskPause) {
			ctx, cancel := context.WithTimeout(context.Background(), c.cfg.ReserveTimeout)
			_, err := c.d.Store.Propose(ctx, cmd)
			cancel()
			if err == nil {
				return
			}
			c.d.Clock.Sleep(pause)
		}
		c.d.Log.Error("outcome was not recorded", "account", r.Account, "key", r.Key, "verdict", verdict)
	}()
}

// releasing gives the room back when the rest of an answer was read.
type releasing struct {
	io.ReadCloser
	once sync.Once
	done func(answered bool)
}

// Close implements io.Closer.
func (r *releasing) Close() error {
	r.once.Do(func() { r.done(true) })
	return r.ReadCloser.Close()
}
