package once

import (
	"context"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// run takes a call from what is recorded to its outcome.
func (c *Coordinator) run(ctx context.Context, f *flight) (*Outcome, error) {
	rec, known := c.d.Calls(f.call.Account, f.call.Key)
	if !c.d.Store.InQuorum() {
		return nil, c.cutOff(known)
	}
	attempt := 1
	if known {
		if rec.Reserve.BodyDigest != f.digest {
			return nil, keyReused()
		}
		next, out, err := c.settle(ctx, f, rec)
		if next == 0 {
			return out, err
		}
		attempt = next
	}
	return c.attempts(ctx, f, attempt)
}

// cutOff is the immediate refusal while no quorum is in reach. Where an
// earlier request under the key is recorded nothing is said of it.
func (c *Coordinator) cutOff(known bool) error {
	e := result.Refuse(result.CutOff, c.cfg.ResendWait, "this entry is cut off from the control quorum")
	if known {
		e.Ran = result.RanUnstated
	}
	return e
}

// attempts reserves and dispatches until one attempt has an outcome.
func (c *Coordinator) attempts(ctx context.Context, f *flight, attempt int) (*Outcome, error) {
	var exclude []string
	var last error
	for range c.cfg.MaxTries {
		place, err := f.call.Pick(ctx, exclude)
		if err != nil {
			return nil, firstRefusal(last, err)
		}
		exclude = append(exclude, place.Backend.Name)
		next, out, err := c.attempt(ctx, f, place, attempt)
		if next == 0 {
			return out, err
		}
		attempt, last = next, err
	}
	if last == nil {
		last = inProgress()
	}
	return nil, last
}

// firstRefusal prefers the reason for which an attempt was refused over the
// lack of another server. Both tell that nothing was run.
func firstRefusal(last, err error) error {
	if last != nil && result.CodeOf(err) == result.NoBackend {
		return last
	}
	return err
}

// attempt reserves and dispatches once. A next of zero means that the call is
// decided; otherwise the next attempt may be made, and err is why.
func (c *Coordinator) attempt(ctx context.Context, f *flight, place *Place, n int) (next int, out *Outcome, err error) {
	if !c.isWanted(f) {
		place.Done(false)
		return 0, nil, callerLeft()
	}
	reserve := c.reservation(f, place, n)
	rec, err := c.reserve(ctx, f, reserve)
	if err != nil {
		place.Done(false)
		return 0, nil, err
	}
	if rec != nil {
		place.Done(false)
		return c.settle(ctx, f, *rec)
	}
	f.call.Note("reserved", place.Backend.Name, nil)
	if !c.isWanted(f) {
		place.Done(false)
		c.recordLater(reserve, control.AttemptNotRun, nil)
		return 0, nil, callerLeft()
	}
	answer, rest, err := f.call.Send(ctx, place, n)
	if err == nil {
		out := &Outcome{Answer: answer, Rest: rest}
		c.recordAnswer(ctx, reserve, out)
		if rest == nil {
			place.Done(true)
		} else {
			out.Rest = &releasing{ReadCloser: rest, done: place.Done}
		}
		return 0, out, nil
	}
	f.call.Note("failed", place.Backend.Name, err)
	place.Done(false)
	if provesNotRun(err) {
		return c.notRun(ctx, reserve, err)
	}
	return c.resolve(ctx, f, control.Call{Reserve: reserve, Verdict: control.AttemptReserved}, true)
}

func callerLeft() error {
	return result.Refuse(result.CallerGone, 0, "the caller left before the call was sent")
}

// provesNotRun reports whether a failed dispatch can't have been run. An agent
// of another incarnation speaks for itself only: a copy of the dispatch may
// have reached the one before.
func provesNotRun(err error) bool {
	e := result.From(err)
	return e.Ran == result.NotRun && e.Code != result.WrongIncarnation
}

func (c *Coordinator) reservation(f *flight, place *Place, n int) control.Reserve {
	return control.Reserve{
		Account: f.call.Account, Key: f.call.Key, BodyDigest: f.digest, Service: f.call.Service,
		Agent: place.Backend.Name, Incarnation: place.Backend.Incarnation, Attempt: n, Entry: c.d.Entry,
	}
}

// reserve proposes a reservation. It returns nil, nil when the attempt is
// this flight's, the record when another attempt is in the way, or why the
// call was not run. A reservation whose proposal was lost is never dispatched.
func (c *Coordinator) reserve(ctx context.Context, f *flight, r control.Reserve) (*control.Call, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ReserveTimeout)
	defer cancel()
	cmd := c.command()
	cmd.Reserve = &r
	res, err := c.d.Store.Propose(ctx, cmd)
	if err != nil {
		refusal := result.Refuse(result.CutOff, c.cfg.ResendWait, "the call could not be reserved: %v", err)
		return nil, refusal
	}
	switch code := result.Code(res.Code); {
	case code == result.OK && isReservedAs(res.Call, r):
		return nil, nil
	case code == result.KeyReused || code == result.KeyExpired:
		return nil, result.Refuse(code, 0, "%s", res.Detail)
	case res.Call != nil && res.Call.Reserve.BodyDigest != f.digest:
		return nil, keyReused()
	case res.Call != nil:
		return res.Call, nil
	default:
		return nil, result.Refuse(code, c.cfg.ResendWait, "%s", res.Detail)
	}
}

// isReservedAs reports whether the record holds exactly this reservation. A
// result without a refusal may also tell of a call that ran before.
func isReservedAs(rec *control.Call, r control.Reserve) bool {
	return rec != nil && rec.Verdict == control.AttemptReserved && rec.Reserve == r
}

// settle decides on a call that is recorded already.
func (c *Coordinator) settle(ctx context.Context, f *flight, rec control.Call) (next int, out *Outcome, err error) {
	switch rec.Verdict {
	case control.AttemptNotRun:
		return rec.Reserve.Attempt + 1, nil, nil
	case control.AttemptRan, control.AttemptUnknown:
		out, err := c.fromRecord(ctx, f.call, rec)
		return 0, out, err
	default:
		f.call.Note("attempt of "+rec.Reserve.Entry+" in progress", rec.Reserve.Agent, nil)
		return c.resolve(ctx, f, rec, false)
	}
}

// fromRecord answers with a recorded outcome.
func (c *Coordinator) fromRecord(ctx context.Context, call *Call, rec control.Call) (*Outcome, error) {
	if rec.Reserve.BodyDigest != call.Digest {
		return nil, keyReused()
	}
	if rec.Verdict == control.AttemptUnknown {
		return nil, outcomeUnknown()
	}
	c.counters.replayed.Inc(1)
	answer := rec.Answer
	if answer == nil {
		return nil, notKept()
	}
	if len(answer.Body) == 0 && (answer.Size > 0 || answer.Digest.IsZero()) {
		answer = c.fetch(ctx, rec)
	}
	if answer == nil {
		return nil, notKept()
	}
	return &Outcome{Answer: answer, Replayed: true}, nil
}

func notKept() error {
	e := result.New(result.AnswerNotKept, "the call ran; its answer is not kept any more")
	e.Ran = result.DidRun
	return e
}

func outcomeUnknown() error {
	e := result.New(result.OutcomeUnknown, "the call may have run and will not run again")
	e.Ran = result.RanUnknown
	return e
}

// fetch reads a large answer from the agent that keeps it.
func (c *Coordinator) fetch(ctx context.Context, rec control.Call) *control.Answer {
	b, _ := c.d.Lookup(rec.Reserve.Agent, rec.Reserve.Incarnation)
	if b == nil {
		return nil
	}
	reply, err := c.ask(ctx, b.Address, rec.Reserve, false, 0)
	if err != nil || reply.State != StateDone || reply.Answer == nil || len(reply.Answer.Body) == 0 {
		return nil
	}
	if reply.Answer.Digest != rec.Answer.Digest && !rec.Answer.Digest.IsZero() {
		return nil
	}
	return reply.Answer
}
