package state

import (
	"fmt"
	"strings"
	"unique"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// callKey identifies a call. It is the first half of the digest of account and
// key.
type callKey [16]byte

func hashCallKey(account, key string) callKey {
	sum := manifest.Sum([]byte(account + "\x00" + key))
	return callKey(sum[:16])
}

// commandTag is a short digest of a command's ID. It distinguishes a retry of
// the command that made a reservation from other commands.
type commandTag [8]byte

func hashCommandID(id string) commandTag {
	sum := manifest.Sum([]byte(id))
	return commandTag(sum[:8])
}

// callRecord is the record of a non-repeatable call. It is immutable and is
// replaced on changes, so that a snapshot can be encoded concurrently with
// Apply. Recurring names are interned, because hundreds of records arrive per
// second.
type callRecord struct {
	account     unique.Handle[string]
	service     unique.Handle[string]
	agent       unique.Handle[string]
	incarnation unique.Handle[string]
	entry       unique.Handle[string]
	key         string
	bodyDigest  manifest.Digest
	answer      *control.Answer
	// changedAt is the replicated clock's time of the last change, proposedAt
	// the time of the VM that proposed it.
	changedAt  int64
	proposedAt int64
	attempt    int32
	reservedBy commandTag
	outcome    string
}

func (m *Machine) newCallRecord(r *control.Reserve, tag commandTag) *callRecord {
	return &callRecord{
		account:     unique.Make(r.Account),
		service:     unique.Make(r.Service),
		agent:       unique.Make(r.Agent),
		incarnation: unique.Make(r.Incarnation),
		entry:       unique.Make(r.Entry),
		key:         strings.Clone(r.Key),
		bodyDigest:  r.BodyDigest,
		changedAt:   m.clock.now,
		proposedAt:  m.proposedAt,
		attempt:     int32(r.Attempt),
		reservedBy:  tag,
		outcome:     control.AttemptReserved,
	}
}

func (r *callRecord) toCall() *control.Call {
	return &control.Call{
		Reserve: control.Reserve{
			Account: r.account.Value(), Key: r.key, BodyDigest: r.bodyDigest, Service: r.service.Value(),
			Agent: r.agent.Value(), Incarnation: r.incarnation.Value(), Attempt: int(r.attempt), Entry: r.entry.Value(),
		},
		Verdict: r.outcome, Answer: r.answer, Time: r.proposedAt,
	}
}

// applyReserve reserves the single execution of a call. OK permits the dispatch;
// only the command that made the reservation, or a retry of it, gets OK. Any
// other command gets the existing record.
func (m *Machine) applyReserve(cmd control.Command) control.Result {
	r, tag := cmd.Reserve, hashCommandID(cmd.ID)
	if problem := checkReserve(cmd.ID, r); problem != "" {
		return rejection(result.BadCommand, problem)
	}
	key := hashCallKey(r.Account, r.Key)
	existing, ok := m.calls.get(key)
	if ok {
		return m.reserveExisting(key, existing, r, tag)
	}
	if m.calls.wasDropped(key) || m.calls.keyTooOld(r.Key) {
		return rejection(result.KeyExpired, "the record of this key expired after requests.key_retention")
	}
	if r.Attempt != 1 {
		return rejection(result.BadCommand, fmt.Sprintf("attempt %d without a record of the previous attempt", r.Attempt))
	}
	if m.calls.full() {
		return rejection(result.RecordsFull, fmt.Sprintf("the table of call records is full with %d records", m.opts.MaxCalls))
	}
	rec := m.newCallRecord(r, tag)
	m.calls.add(key, rec)
	return control.Result{Call: rec.toCall()}
}

const maxKeyBytes = 256

func checkReserve(id string, r *control.Reserve) string {
	switch {
	case id == "":
		return "the reservation has no command ID"
	case r.Key == "" || r.Account == "" || r.Agent == "":
		return "the reservation lacks an account, key or agent"
	case len(r.Key) > maxKeyBytes:
		return fmt.Sprintf("the key is longer than %d bytes", maxKeyBytes)
	case r.Attempt < 1 || r.Attempt > 1<<30:
		return fmt.Sprintf("attempt %d is out of range", r.Attempt)
	}
	return ""
}

func (m *Machine) reserveExisting(key callKey, existing *callRecord, r *control.Reserve, tag commandTag) control.Result {
	if existing.bodyDigest != r.BodyDigest {
		return rejection(result.KeyReused, "the key was already used with a different body")
	}
	if existing.outcome == control.AttemptNotRun && r.Attempt == int(existing.attempt)+1 {
		next := m.newCallRecord(r, tag)
		m.calls.replace(key, next)
		return control.Result{Call: next.toCall()}
	}
	res := control.Result{Call: existing.toCall()}
	sameCommand := existing.reservedBy == tag && int(existing.attempt) == r.Attempt
	switch {
	case existing.outcome == control.AttemptRan:
		res.Code = int(result.AlreadyRan)
	case existing.outcome == control.AttemptUnknown:
		res.Code = int(result.OutcomeUnknown)
	case existing.outcome == control.AttemptNotRun:
		res.Code, res.Detail = int(result.AttemptTombstoned), "the attempt was recorded as not run; reserve the next attempt"
	case existing.outcome == control.AttemptReserved && !sameCommand:
		res.Code, res.Detail = int(result.InProgress), "another command holds the reservation"
	}
	return res
}

// applyOutcome records the outcome of the reserved attempt. A recorded outcome
// does not change; recording the same outcome again returns the record.
func (m *Machine) applyOutcome(cmd control.Command) control.Result {
	o := cmd.Outcome
	if !validOutcome(o.Verdict) {
		return rejection(result.BadCommand, fmt.Sprintf("%q is not a valid verdict", o.Verdict))
	}
	key := hashCallKey(o.Account, o.Key)
	existing, ok := m.calls.get(key)
	if !ok {
		return rejection(result.NotFound, "no reservation for this key")
	}
	switch {
	case o.Attempt != int(existing.attempt):
		res := rejection(result.BadCommand, fmt.Sprintf("attempt %d is not the latest attempt, which is %d", o.Attempt, existing.attempt))
		res.Call = existing.toCall()
		return res
	case existing.outcome == control.AttemptReserved:
		updated := *existing
		updated.outcome, updated.answer = o.Verdict, o.Answer
		updated.changedAt, updated.proposedAt = m.clock.now, m.proposedAt
		m.calls.replace(key, &updated)
		return control.Result{Call: updated.toCall()}
	case existing.outcome != o.Verdict:
		res := rejection(result.BadCommand, fmt.Sprintf("the verdict is already %s", existing.outcome))
		res.Call = existing.toCall()
		return res
	}
	return control.Result{Call: existing.toCall()}
}

func validOutcome(outcome string) bool {
	return outcome == control.AttemptNotRun || outcome == control.AttemptRan || outcome == control.AttemptUnknown
}
