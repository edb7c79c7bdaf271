package atmostonce

import (
	"context"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// execute runs a call to its outcome, starting from its record if there is one.
func (c *Coordinator) execute(ctx context.Context, ex *execution) (*Outcome, error) {
	rec, known := c.deps.Calls(ex.call.Account, ex.call.Key)
	if !c.deps.Store.InQuorum() {
		return nil, c.cutOffError(known)
	}
	attempt := 1
	if known {
		if rec.Reserve.BodyDigest != ex.digest {
			return nil, keyReusedError()
		}
		next, out, err := c.continueFromRecord(ctx, ex, rec)
		if next == 0 {
			return out, err
		}
		attempt = next
	}
	return c.runAttempts(ctx, ex, attempt)
}

// cutOffError refuses a call while the control quorum is unreachable. If an
// earlier request with the key is recorded, the error does not state whether it
// ran.
func (c *Coordinator) cutOffError(known bool) error {
	e := result.Refuse(result.CutOff, c.cfg.ResendWait, "this entry is cut off from the control quorum")
	if known {
		e.Ran = result.RanUnstated
	}
	return e
}

// runAttempts makes attempts until one has an outcome.
func (c *Coordinator) runAttempts(ctx context.Context, ex *execution, attempt int) (*Outcome, error) {
	var exclude []string
	var lastErr error
	for range c.cfg.MaxAttemptsPerRequest {
		claim, err := ex.call.Pick(ctx, exclude)
		if err != nil {
			return nil, selectRefusal(lastErr, err)
		}
		exclude = append(exclude, claim.Backend.Name)
		next, out, err := c.runAttempt(ctx, ex, claim, attempt)
		if next == 0 {
			return out, err
		}
		attempt, lastErr = next, err
	}
	if lastErr == nil {
		lastErr = inProgressError()
	}
	return nil, lastErr
}

// selectRefusal prefers the refusal of the last attempt over the lack of
// another server. Both mean that nothing was run.
func selectRefusal(lastErr, err error) error {
	if lastErr != nil && result.CodeOf(err) == result.NoBackend {
		return lastErr
	}
	return err
}

// runAttempt reserves an attempt and dispatches it. If next is zero, the
// outcome of the call is final; otherwise next is the number of the next
// attempt, and err is the reason why this one was not run.
func (c *Coordinator) runAttempt(ctx context.Context, ex *execution, claim *Claim, n int) (next int, out *Outcome, err error) {
	if !c.hasWaiters(ex) {
		claim.Release(false)
		return 0, nil, callerGoneError()
	}
	reservation := c.newReservation(ex, claim, n)
	rec, err := c.reserve(ctx, ex, reservation)
	if err != nil {
		claim.Release(false)
		return 0, nil, err
	}
	if rec != nil {
		claim.Release(false)
		return c.continueFromRecord(ctx, ex, *rec)
	}
	ex.call.AddStep("reserved", claim.Backend.Name, nil)
	if !c.hasWaiters(ex) {
		claim.Release(false)
		c.recordInBackground(reservation, control.AttemptNotRun, nil)
		return 0, nil, callerGoneError()
	}
	answer, rest, err := ex.call.Send(ctx, claim, n)
	if err == nil {
		out := &Outcome{Answer: answer, Rest: rest}
		c.recordAnswer(ctx, reservation, out)
		if rest == nil {
			claim.Release(true)
		} else {
			out.Rest = &releaseOnClose{ReadCloser: rest, release: claim.Release}
		}
		return 0, out, nil
	}
	ex.call.AddStep("failed", claim.Backend.Name, err)
	claim.Release(false)
	if provesNotRun(err) {
		return c.recordNotRun(ctx, reservation, err)
	}
	return c.resolveAttempt(ctx, ex, control.Call{Reserve: reservation, Verdict: control.AttemptReserved}, true)
}

func callerGoneError() error {
	return result.Refuse(result.CallerGone, 0, "the caller disconnected before the call was sent")
}

// provesNotRun reports whether a failed dispatch can't have been run. A
// refusal by another incarnation of the agent proves nothing: a copy of the
// dispatch may have reached the previous incarnation.
func provesNotRun(err error) bool {
	e := result.From(err)
	return e.Ran == result.NotRun && e.Code != result.WrongIncarnation
}

func (c *Coordinator) newReservation(ex *execution, claim *Claim, n int) control.Reserve {
	return control.Reserve{
		Account: ex.call.Account, Key: ex.call.Key, BodyDigest: ex.digest, Service: ex.call.Service,
		Agent: claim.Backend.Name, Incarnation: claim.Backend.Incarnation, Attempt: n, Entry: c.deps.Entry,
	}
}

// reserve proposes a reservation. It returns nil, nil if the attempt is
// reserved for this execution, the record of a conflicting attempt, or the
// reason why the call was not run. A reservation whose proposal got no result
// is never dispatched.
func (c *Coordinator) reserve(ctx context.Context, ex *execution, r control.Reserve) (*control.Call, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ReserveTimeout)
	defer cancel()
	cmd := c.newCommand()
	cmd.Reserve = &r
	res, err := c.deps.Store.Propose(ctx, cmd)
	if err != nil {
		refusal := result.Refuse(result.CutOff, c.cfg.ResendWait, "the call could not be reserved: %v", err)
		return nil, refusal
	}
	switch code := result.Code(res.Code); {
	case code == result.OK && isReservedAs(res.Call, r):
		return nil, nil
	case code == result.KeyReused || code == result.KeyExpired:
		return nil, result.Refuse(code, 0, "%s", res.Detail)
	case res.Call != nil && res.Call.Reserve.BodyDigest != ex.digest:
		return nil, keyReusedError()
	case res.Call != nil:
		return res.Call, nil
	default:
		return nil, result.Refuse(code, c.cfg.ResendWait, "%s", res.Detail)
	}
}

// isReservedAs reports whether the record holds exactly this reservation. A
// result with code OK may also contain the record of a call that ran before.
func isReservedAs(rec *control.Call, r control.Reserve) bool {
	return rec != nil && rec.Verdict == control.AttemptReserved && rec.Reserve == r
}

// continueFromRecord continues a call that has a record: it permits the next
// attempt, returns the recorded outcome or resolves the attempt in progress.
func (c *Coordinator) continueFromRecord(ctx context.Context, ex *execution, rec control.Call) (next int, out *Outcome, err error) {
	switch rec.Verdict {
	case control.AttemptNotRun:
		return rec.Reserve.Attempt + 1, nil, nil
	case control.AttemptRan, control.AttemptUnknown:
		out, err := c.replayRecord(ctx, ex.call, rec)
		return 0, out, err
	default:
		ex.call.AddStep("attempt of "+rec.Reserve.Entry+" in progress", rec.Reserve.Agent, nil)
		return c.resolveAttempt(ctx, ex, rec, false)
	}
}

// replayRecord returns a recorded outcome.
func (c *Coordinator) replayRecord(ctx context.Context, call *Call, rec control.Call) (*Outcome, error) {
	if rec.Reserve.BodyDigest != call.Digest {
		return nil, keyReusedError()
	}
	if rec.Verdict == control.AttemptUnknown {
		return nil, outcomeUnknownError()
	}
	c.counters.replayed.Inc(1)
	answer := rec.Answer
	if answer == nil {
		return nil, answerNotKeptError()
	}
	if len(answer.Body) == 0 && (answer.Size > 0 || answer.Digest.IsZero()) {
		answer = c.fetchAnswer(ctx, rec)
	}
	if answer == nil {
		return nil, answerNotKeptError()
	}
	return &Outcome{Answer: answer, Replayed: true}, nil
}

func answerNotKeptError() error {
	e := result.New(result.AnswerNotKept, "the call ran; its answer is no longer available")
	e.Ran = result.DidRun
	return e
}

func outcomeUnknownError() error {
	e := result.New(result.OutcomeUnknown, "the call may have run and will not run again")
	e.Ran = result.RanUnknown
	return e
}

// fetchAnswer reads an answer that is too large for the control state from the
// agent that keeps it.
func (c *Coordinator) fetchAnswer(ctx context.Context, rec control.Call) *control.Answer {
	b, _ := c.deps.Lookup(rec.Reserve.Agent, rec.Reserve.Incarnation)
	if b == nil {
		return nil
	}
	reply, err := c.query(ctx, b.Address, rec.Reserve, false, 0)
	if err != nil || reply.State != StateDone || reply.Answer == nil || len(reply.Answer.Body) == 0 {
		return nil
	}
	if reply.Answer.Digest != rec.Answer.Digest && !rec.Answer.Digest.IsZero() {
		return nil
	}
	return reply.Answer
}
