package api_test

import (
	"sync"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// ledger is the control state that several entries share. It follows the
// rules of the state machine for calls.
type ledger struct {
	mu    sync.Mutex
	calls map[string]*control.Call
	tags  map[string]string
}

func newLedger() *ledger {
	return &ledger{calls: make(map[string]*control.Call), tags: make(map[string]string)}
}

func (l *ledger) call(account, key string) (control.Call, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.calls[account+"/"+key]
	if !ok {
		return control.Call{}, false
	}
	return *c, true
}

func (l *ledger) apply(cmd control.Command) control.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cmd.Reserve != nil {
		return l.reserve(cmd)
	}
	return l.outcome(cmd.Outcome)
}

func (l *ledger) reserve(cmd control.Command) control.Result {
	r := *cmd.Reserve
	id := r.Account + "/" + r.Key
	have := l.calls[id]
	if have == nil || (have.Verdict == control.AttemptNotRun && r.Attempt == have.Reserve.Attempt+1 && have.Reserve.BodyDigest == r.BodyDigest) {
		have = &control.Call{Reserve: r, Verdict: control.AttemptReserved, Time: cmd.Time}
		l.calls[id], l.tags[id] = have, cmd.ID
	}
	copied := *have
	res := control.Result{Call: &copied}
	switch {
	case have.Reserve.BodyDigest != r.BodyDigest:
		res = control.Result{Code: int(result.KeyReused)}
	case have.Verdict == control.AttemptUnknown:
		res.Code = int(result.OutcomeUnknown)
	case have.Verdict == control.AttemptNotRun:
		res.Code = int(result.AttemptTombstoned)
	case have.Verdict == control.AttemptReserved && l.tags[id] != cmd.ID:
		res.Code = int(result.InProgress)
	}
	return res
}

func (l *ledger) outcome(o *control.RecordOutcome) control.Result {
	have := l.calls[o.Account+"/"+o.Key]
	if have == nil {
		return control.Result{Code: int(result.NotFound)}
	}
	code := 0
	switch {
	case o.Attempt != have.Reserve.Attempt:
		code = int(result.BadCommand)
	case have.Verdict == control.AttemptReserved:
		have.Verdict, have.Answer = o.Verdict, o.Answer
	case have.Verdict != o.Verdict:
		code = int(result.BadCommand)
	}
	copied := *have
	return control.Result{Code: code, Call: &copied}
}
