package api_test

import (
	"sync"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// fakeControlState is the control state that the entries of a test share. It
// follows the rules of the real state machine for calls.
type fakeControlState struct {
	mu         sync.Mutex
	calls      map[string]*control.Call
	commandIDs map[string]string
}

func newFakeControlState() *fakeControlState {
	return &fakeControlState{calls: make(map[string]*control.Call), commandIDs: make(map[string]string)}
}

func (s *fakeControlState) call(account, key string) (control.Call, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.calls[account+"/"+key]
	if !ok {
		return control.Call{}, false
	}
	return *c, true
}

func (s *fakeControlState) apply(cmd control.Command) control.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cmd.Reserve != nil {
		return s.reserve(cmd)
	}
	return s.recordOutcome(cmd.Outcome)
}

func (s *fakeControlState) reserve(cmd control.Command) control.Result {
	r := *cmd.Reserve
	id := r.Account + "/" + r.Key
	call := s.calls[id]
	if call == nil || (call.Verdict == control.AttemptNotRun && r.Attempt == call.Reserve.Attempt+1 && call.Reserve.BodyDigest == r.BodyDigest) {
		call = &control.Call{Reserve: r, Verdict: control.AttemptReserved, Time: cmd.Time}
		s.calls[id], s.commandIDs[id] = call, cmd.ID
	}
	copied := *call
	res := control.Result{Call: &copied}
	switch {
	case call.Reserve.BodyDigest != r.BodyDigest:
		res = control.Result{Code: int(result.KeyReused)}
	case call.Verdict == control.AttemptUnknown:
		res.Code = int(result.OutcomeUnknown)
	case call.Verdict == control.AttemptNotRun:
		res.Code = int(result.AttemptTombstoned)
	case call.Verdict == control.AttemptReserved && s.commandIDs[id] != cmd.ID:
		res.Code = int(result.InProgress)
	}
	return res
}

func (s *fakeControlState) recordOutcome(o *control.RecordOutcome) control.Result {
	call := s.calls[o.Account+"/"+o.Key]
	if call == nil {
		return control.Result{Code: int(result.NotFound)}
	}
	code := 0
	switch {
	case o.Attempt != call.Reserve.Attempt:
		code = int(result.BadCommand)
	case call.Verdict == control.AttemptReserved:
		call.Verdict, call.Answer = o.Verdict, o.Answer
	case call.Verdict != o.Verdict:
		code = int(result.BadCommand)
	}
	copied := *call
	return control.Result{Code: code, Call: &copied}
}
