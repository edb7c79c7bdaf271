package directory

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// Verification states which version of a model an agent has verified at its engine, after
// the engine had loaded it.
type Verification struct {
	// Address and Born identify the engine's incarnation. A Born of 0 is unknown, and
	// matches only servers whose start is unknown too.
	Address string `cbor:"1,keyasint"`
	Born    int64  `cbor:"2,keyasint,omitempty"`
	Model   string `cbor:"3,keyasint"`
	Version int    `cbor:"4,keyasint"`
	// Checked is the time of the agent's check in milliseconds, on a clock of its VM that
	// doesn't go back while an incarnation runs; 0 if unknown. The latest check holds.
	Checked int64 `cbor:"5,keyasint,omitempty"`
	// Orders is the number of orders that the engine had accepted at the check.
	Orders uint64 `cbor:"7,keyasint,omitempty"`
	// Ended is set if the engine no longer held the version after the check. Only a later
	// check verifies it again.
	Ended bool `cbor:"6,keyasint,omitempty"`
}

// receivedVerification is a verification and the time of the last message with it.
type receivedVerification struct {
	Verification
	received time.Duration
}

// verificationKey identifies a model of one incarnation at an address. Incarnations are kept
// apart, because a later one has an earlier start if its VM's clock was set back.
type verificationKey struct {
	model string
	born  int64
}

func (v *Verification) validate() error {
	if err := validateAddress(v.Address); err != nil {
		return err
	}
	if err := validateName("model", v.Model, false); err != nil {
		return err
	}
	if v.Version <= 0 {
		return result.New(result.BadMessage, "verification of %q at %s names version %d", v.Model, v.Address, v.Version)
	}
	return nil
}

// supersedes reports whether v replaces old, which concerns the same incarnation and model.
// The order is total, so that the result doesn't depend on the order of messages.
func (v *Verification) supersedes(old *Verification) bool {
	switch {
	case v.Checked != old.Checked:
		return v.Checked > old.Checked
	case v.Version != old.Version:
		return v.Version > old.Version
	default:
		return v.Ended && !old.Ended
	}
}

// Verify applies a verification, also if the server is not known yet. It reports whether
// the table changed.
func (t *Table) Verify(v Verification, now time.Duration) bool {
	if v.validate() != nil {
		return false
	}
	known := t.verifications[v.Address]
	if known == nil {
		if len(t.verifications) >= maxServers {
			return false
		}
		known = map[verificationKey]receivedVerification{}
		t.verifications[v.Address] = known
	}
	key := verificationKey{model: v.Model, born: v.Born}
	old, found := known[key]
	switch {
	case found && old.Verification == v:
		known[key] = receivedVerification{Verification: v, received: max(old.received, now)}
		return false
	case found && !v.supersedes(&old.Verification), !found && len(known) >= maxHeld:
		return false
	}
	known[key] = receivedVerification{Verification: v, received: now}
	return true
}

// EndVerifications ends the verifications of weights that a server has unloaded or
// replaced, as its report and its last one show, and returns them. The report may be the
// older one. It must be called before Update. The version may be loaded again in the same
// incarnation, and is then not verified.
func (t *Table) EndVerifications(s Server) []Verification {
	record := t.servers[s.ID]
	if record == nil || s.Validate() != nil || record.Born != s.Born || record.Address != s.Address || !record.Engine || !s.Engine {
		return nil
	}
	if record.Seq == 0 || s.Seq == 0 {
		// An agent's announcement is newer than the server's first heartbeats.
		return nil
	}
	earlier, later := record.reported, s.Held
	if s.Seq < record.Seq {
		earlier, later = later, earlier
	}
	return t.endVerifications(s.Address, s.Born, func(v *Verification) bool {
		was, is := VersionOf(earlier, v.Model), VersionOf(later, v.Model)
		return was == v.Version && is != was || is > v.Version
	})
}

// BeginLoad ends the verifications of weights that an incarnation doesn't hold as its agent
// begins a load, and returns them: it may load the same version again before its next
// heartbeat. held lists what it holds. A born of 0 means that neither is known, and changes
// nothing.
func (t *Table) BeginLoad(address string, born int64, held []ModelVersion) []Verification {
	if born == 0 {
		return nil
	}
	return t.endVerifications(address, born, func(v *Verification) bool { return VersionOf(held, v.Model) != v.Version })
}

// endVerifications ends the verifications of an incarnation that match, and returns them.
func (t *Table) endVerifications(address string, born int64, match func(*Verification) bool) []Verification {
	var ended []Verification
	known := t.verifications[address]
	for key, v := range known {
		if key.born == born && !v.Ended && match(&v.Verification) {
			v.Ended = true
			known[key] = v
			ended = append(ended, v.Verification)
		}
	}
	return ended
}

// Verifications returns all verifications, also those that have ended, sorted by address,
// model and start.
func (t *Table) Verifications() []Verification {
	var all []Verification
	for _, known := range t.verifications {
		for _, v := range known {
			all = append(all, v.Verification)
		}
	}
	slices.SortFunc(all, func(a, b Verification) int {
		return cmp.Or(strings.Compare(a.Address, b.Address), strings.Compare(a.Model, b.Model), cmp.Compare(a.Born, b.Born))
	})
	return all
}

// Snapshot returns a copy of a record with the verified weights of its incarnation. A
// verification does not count if the agent has reported a later incarnation since, whose
// heartbeats may be late.
func (t *Table) Snapshot(record *Record) Record {
	snapshot := *record
	snapshot.Verified = nil
	known := t.verifications[record.Address]
	superseded := int64(-1)
	for key, v := range known {
		if key.born > record.Born && record.Born != 0 {
			superseded = max(superseded, v.Checked)
		}
	}
	for key, v := range known {
		if key.born == record.Born && !v.Ended && v.Checked > superseded {
			snapshot.Verified = append(snapshot.Verified, v.Verification)
		}
	}
	slices.SortFunc(snapshot.Verified, func(a, b Verification) int { return strings.Compare(a.Model, b.Model) })
	return snapshot
}

// sweepVerifications removes the verifications of incarnations that are not at their address
// and without a message for recordTTL.
func (t *Table) sweepVerifications(now time.Duration) {
	for address, known := range t.verifications {
		current := t.servers[t.idByAddress[address]]
		for key, v := range known {
			if (current == nil || current.Born != key.born) && now-v.received >= recordTTL {
				delete(known, key)
			}
		}
		if len(known) == 0 {
			delete(t.verifications, address)
		}
	}
}
