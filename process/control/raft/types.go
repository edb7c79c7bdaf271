package raft

import "github.com/cockroachdb/errors"

// Refusals of calls that only a leader can serve.
var (
	ErrNotLeader     = errors.New("raft: not the leader")
	ErrBusy          = errors.New("raft: too many entries are uncommitted")
	ErrChangePending = errors.New("raft: a membership change is not committed yet")
	ErrBadChange     = errors.New("raft: more than one voter would change")
)

// EntryKind says what an entry carries.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryEmpty opens a leader's term.
	EntryEmpty EntryKind = iota
	// EntryCommand carries a command for the state machine.
	EntryCommand
	// EntryMembers carries the membership that replaces the one before.
	EntryMembers
)

// Entry is one position of the log.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members Members   `cbor:"5,keyasint,omitempty"`
}

// size estimates the bytes that the entry takes in a message.
func (e *Entry) size() int {
	const fixed, perMember = 32, 96
	return fixed + len(e.Data) + perMember*len(e.Members)
}

// HardState is what a replica must not forget besides its log. Commit may be
// older than what was committed, never newer.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   string `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint"`
}

// Snapshot replaces the log up to Index. Data is the state machine's state
// after that entry was applied; Members is the membership in effect there.
type Snapshot struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint"`
}

// Kind says what a message asks or answers.
type Kind uint8

// Kinds of messages.
const (
	PreVote Kind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Heartbeat
	HeartbeatReply
	// InstallSnapshot leaves the core without data: the owner takes a
	// snapshot of what is applied, sends it, and calls ReportSnapshot. It
	// enters the receiver's core with Snapshot set.
	InstallSnapshot
	// TimeoutNow asks a voter to campaign at once: the leader is stopping.
	TimeoutNow
)

// Message is what replicas exchange. Fields that a kind does not use are zero.
type Message struct {
	Kind Kind   `cbor:"1,keyasint"`
	From string `cbor:"2,keyasint,omitempty"`
	To   string `cbor:"3,keyasint,omitempty"`
	Term uint64 `cbor:"4,keyasint"`
	// Index and LogTerm are, by kind: the entry before Entries (Append), the
	// sender's last entry (Vote, PreVote), or the index that is acknowledged or
	// refused (AppendReply).
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// Hint and HintTerm tell, in a refused append, the highest entry of the
	// follower that may still match the leader's log.
	Hint     uint64 `cbor:"10,keyasint,omitempty"`
	HintTerm uint64 `cbor:"11,keyasint,omitempty"`
	// Round numbers the leader's rounds of confirmation for reads.
	Round uint64 `cbor:"12,keyasint,omitempty"`
	// Transfer marks votes that the leader itself asked for.
	Transfer bool      `cbor:"13,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"14,keyasint,omitempty"`
}

// Read is the answer to ReadIndex: a state that has applied Index holds all
// that was committed before the call with this token.
type Read struct {
	Token uint64
	Index uint64
}

// Ready is work for the owner; see the package comment for the order.
type Ready struct {
	// HardState is nil when it did not change.
	HardState *HardState
	// Snapshot, when not nil, replaces the log and the state machine's state.
	Snapshot  *Snapshot
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []Read
}

// Role is what a replica currently is.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name for logs and dumps.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}
