package raft

import (
	"math"

	"github.com/cockroachdb/errors"
)

// ErrInvalidMessage is the error of a message that no correct replica sends.
var ErrInvalidMessage = errors.New("raft: invalid message")

func invalidMessage(format string, args ...any) error {
	return errors.Wrapf(ErrInvalidMessage, format, args...)
}

// Validate returns an error, marked with ErrInvalidMessage, if the fields of a message
// contradict each other.
func (m *Message) Validate() error {
	switch {
	case m.Kind < PreVote || m.Kind > TimeoutNow:
		return invalidMessage("unknown kind %d", m.Kind)
	case m.Term == math.MaxUint64:
		return invalidMessage("term %d has no successor", m.Term)
	case m.Kind == Append:
		return m.validateEntries()
	case m.Kind == InstallSnapshot:
		return m.validateSnapshot()
	default:
		return nil
	}
}

// validateEntries checks that the entries follow Index without a gap, in ascending terms.
func (m *Message) validateEntries() error {
	if m.Index > math.MaxUint64-uint64(len(m.Entries)) {
		return invalidMessage("%d entries after index %d", len(m.Entries), m.Index)
	}
	term := m.LogTerm
	for i := range m.Entries {
		e := &m.Entries[i]
		switch {
		case e.Index != m.Index+uint64(i)+1:
			return invalidMessage("entry %d follows index %d", e.Index, m.Index+uint64(i))
		case e.Term < term || e.Term > m.Term:
			return invalidMessage("entry %d of term %d after term %d, in an append of term %d", e.Index, e.Term, term, m.Term)
		case e.Kind > EntryMembers:
			return invalidMessage("entry %d of unknown kind %d", e.Index, e.Kind)
		case e.Kind == EntryMembers && len(e.Members.Voters()) == 0:
			return invalidMessage("entry %d has members without a voter", e.Index)
		}
		term = e.Term
	}
	return nil
}

func (m *Message) validateSnapshot() error {
	s := m.Snapshot
	switch {
	case s == nil:
		return invalidMessage("no snapshot")
	case s.Term > m.Term:
		return invalidMessage("snapshot of term %d in a message of term %d", s.Term, m.Term)
	case len(s.Members.Voters()) == 0:
		return invalidMessage("snapshot at %d has members without a voter", s.Index)
	default:
		return nil
	}
}

// validateReply checks a reply of this term to the leader.
func (r *Raft) validateReply(m Message) error {
	switch {
	case r.role != Leader:
		return nil
	case m.Kind == AppendReply && !m.Reject && m.Index > r.log.lastIndex():
		return invalidMessage("%s acknowledges index %d, the log ends at %d", m.From, m.Index, r.log.lastIndex())
	case m.Kind == HeartbeatReply && m.ReadRound > r.reads.round:
		return invalidMessage("%s confirms read round %d, the last one is %d", m.From, m.ReadRound, r.reads.round)
	default:
		return nil
	}
}
