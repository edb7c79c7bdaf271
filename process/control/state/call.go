package state

import (
	"fmt"
	"strings"
	"unique"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// callKey identifies a call: the first half of the digest over its account
// and key.
type callKey [16]byte

func keyOf(account, key string) callKey {
	sum := manifest.Sum([]byte(account + "\x00" + key))
	return callKey(sum[:16])
}

// commandTag is a short digest of a command's ID. It tells a resend of the
// command that made a record from another command.
type commandTag [8]byte

func tagOf(id string) commandTag {
	sum := manifest.Sum([]byte(id))
	return commandTag(sum[:8])
}

// record is one call that may not be repeated. It is never changed but
// replaced, so that a snapshot can be encoded beside Apply. Names that recur
// are interned, because hundreds of records arrive a second.
type record struct {
	account     unique.Handle[string]
	service     unique.Handle[string]
	agent       unique.Handle[string]
	incarnation unique.Handle[string]
	entry       unique.Handle[string]
	key         string
	body        manifest.Digest
	answer      *control.Answer
	// age is the time of the last change on the machine's clock; stamp is that
	// of the VM that proposed it.
	age        int64
	stamp      int64
	attempt    int32
	reservedBy commandTag
	verdict    string
}

func (m *Machine) newRecord(r *control.Reserve, tag commandTag) *record {
	return &record{
		account:     unique.Make(r.Account),
		service:     unique.Make(r.Service),
		agent:       unique.Make(r.Agent),
		incarnation: unique.Make(r.Incarnation),
		entry:       unique.Make(r.Entry),
		key:         strings.Clone(r.Key),
		body:        r.BodyDigest,
		age:         m.clock.now,
		stamp:       m.stamp,
		attempt:     int32(r.Attempt),
		reservedBy:  tag,
		verdict:     control.AttemptReserved,
	}
}

func (r *record) call() *control.Call {
	return &control.Call{
		Reserve: control.Reserve{
			Account: r.account.Value(), Key: r.key, BodyDigest: r.body, Service: r.service.Value(),
			Agent: r.agent.Value(), Incarnation: r.incarnation.Value(), Attempt: int(r.attempt), Entry: r.entry.Value(),
		},
		Verdict: r.verdict, Answer: r.answer, Time: r.stamp,
	}
}

// applyReserve claims the one run of a call. OK permits the dispatch, and only
// the command that made the reservation gets it, also when it is resent. Any
// other command learns what is recorded.
func (m *Machine) applyReserve(cmd control.Command) control.Result {
	r, tag := cmd.Reserve, tagOf(cmd.ID)
	if problem := checkReserve(cmd.ID, r); problem != "" {
		return refusal(result.BadCommand, problem)
	}
	key := keyOf(r.Account, r.Key)
	have, ok := m.calls.get(key)
	if ok {
		return m.reserveAgain(key, have, r, tag)
	}
	if m.calls.wasForgotten(key) || m.calls.tooOld(r.Key) {
		return refusal(result.KeyExpired, "the record of this key was dropped after requests.key_retention")
	}
	if r.Attempt != 1 {
		return refusal(result.BadCommand, fmt.Sprintf("attempt %d without a record of the one before", r.Attempt))
	}
	if m.calls.full() {
		return refusal(result.RecordsFull, fmt.Sprintf("%d records are kept", m.opts.MaxCalls))
	}
	added := m.newRecord(r, tag)
	m.calls.add(key, added)
	return control.Result{Call: added.call()}
}

const maxKeyBytes = 256

func checkReserve(id string, r *control.Reserve) string {
	switch {
	case id == "":
		return "a reservation needs a command ID"
	case r.Key == "" || r.Account == "" || r.Agent == "":
		return "a reservation names an account, a key and an agent"
	case len(r.Key) > maxKeyBytes:
		return fmt.Sprintf("the key has more than %d bytes", maxKeyBytes)
	case r.Attempt < 1 || r.Attempt > 1<<30:
		return fmt.Sprintf("attempt %d is out of range", r.Attempt)
	}
	return ""
}

func (m *Machine) reserveAgain(key callKey, have *record, r *control.Reserve, tag commandTag) control.Result {
	if have.body != r.BodyDigest {
		return refusal(result.KeyReused, "the key was used with another body")
	}
	if have.verdict == control.AttemptNotRun && r.Attempt == int(have.attempt)+1 {
		next := m.newRecord(r, tag)
		m.calls.replace(key, next)
		return control.Result{Call: next.call()}
	}
	res := control.Result{Call: have.call()}
	mine := have.reservedBy == tag && int(have.attempt) == r.Attempt
	switch {
	case have.verdict == control.AttemptRan:
		res.Code = int(result.AlreadyRan)
	case have.verdict == control.AttemptUnknown:
		res.Code = int(result.OutcomeUnknown)
	case have.verdict == control.AttemptNotRun:
		res.Code, res.Detail = int(result.AttemptTombstoned), "the attempt was recorded as not run; reserve the next one"
	case have.verdict == control.AttemptReserved && !mine:
		res.Code, res.Detail = int(result.InProgress), "another command holds the reservation"
	}
	return res
}

// applyOutcome sets the verdict on the attempt that is reserved. A final
// verdict stays; the same verdict again is the same record.
func (m *Machine) applyOutcome(cmd control.Command) control.Result {
	o := cmd.Outcome
	if !knownVerdict(o.Verdict) {
		return refusal(result.BadCommand, fmt.Sprintf("%q is no verdict", o.Verdict))
	}
	key := keyOf(o.Account, o.Key)
	have, ok := m.calls.get(key)
	if !ok {
		return refusal(result.NotFound, "no reservation under this key")
	}
	switch {
	case o.Attempt != int(have.attempt):
		res := refusal(result.BadCommand, fmt.Sprintf("attempt %d is not the last one, %d", o.Attempt, have.attempt))
		res.Call = have.call()
		return res
	case have.verdict == control.AttemptReserved:
		decided := *have
		decided.verdict, decided.answer = o.Verdict, o.Answer
		decided.age, decided.stamp = m.clock.now, m.stamp
		m.calls.replace(key, &decided)
		return control.Result{Call: decided.call()}
	case have.verdict != o.Verdict:
		res := refusal(result.BadCommand, fmt.Sprintf("the verdict is %s and stays", have.verdict))
		res.Call = have.call()
		return res
	}
	return control.Result{Call: have.call()}
}

func knownVerdict(v string) bool {
	return v == control.AttemptNotRun || v == control.AttemptRan || v == control.AttemptUnknown
}
