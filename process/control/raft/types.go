package raft

import "github.com/cockroachdb/errors"

// Errors of calls that only a leader can serve.
var (
	ErrNotLeader     = errors.New("raft: not the leader")
	ErrBusy          = errors.New("raft: too many entries are uncommitted")
	ErrChangePending = errors.New("raft: a membership change is not committed yet")
	ErrBadChange     = errors.New("raft: more than one voter would change")
)

// EntryKind is the type of a log entry's payload.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryEmpty is the first entry of a leader's term.
	EntryEmpty EntryKind = iota
	// EntryCommand carries a command for the state machine.
	EntryCommand
	// EntryMembers carries the new membership.
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

// size estimates the encoded size of the entry in bytes.
func (e *Entry) size() int {
	const overhead, perMember = 32, 96
	return overhead + len(e.Data) + perMember*len(e.Members)
}

// HardState is the state that a replica must persist besides its log. Commit
// may lag behind the committed index but is never ahead of it.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   string `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint"`
}

// Snapshot replaces the log up to Index. Data is the state machine's state
// after that entry was applied, Members the membership in effect at that index.
type Snapshot struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint"`
}

// Kind is the type of a message.
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
	// InstallSnapshot sends a snapshot. The leader's core issues it without
	// data; the owner takes a snapshot of the applied state, sends it and calls
	// ReportSnapshot. The receiver's core gets it with Snapshot set.
	InstallSnapshot
	// TimeoutNow asks a voter to campaign immediately, because the leader is
	// stopping.
	TimeoutNow
)

// Message is a message between replicas. Fields not used by its kind are zero.
type Message struct {
	Kind Kind   `cbor:"1,keyasint"`
	From string `cbor:"2,keyasint,omitempty"`
	To   string `cbor:"3,keyasint,omitempty"`
	Term uint64 `cbor:"4,keyasint"`
	// Index and LogTerm are, depending on the kind: the entry before Entries
	// (Append), the sender's last entry (Vote, PreVote), or the acknowledged or
	// rejected index (AppendReply).
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// RejectHint and RejectHintTerm are set in the rejection of an append: the
	// follower's highest entry that may match the leader's log.
	RejectHint     uint64 `cbor:"10,keyasint,omitempty"`
	RejectHintTerm uint64 `cbor:"11,keyasint,omitempty"`
	// ReadRound is the number of the leader's confirmation round for reads.
	ReadRound uint64 `cbor:"12,keyasint,omitempty"`
	// Transfer is set on vote requests that the leader initiated to transfer its
	// leadership.
	Transfer bool      `cbor:"13,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"14,keyasint,omitempty"`
}

// ReadState is the result of ReadIndex: state that has applied Index covers
// everything committed before the call with this token.
type ReadState struct {
	Token uint64
	Index uint64
}

// Ready is work for the owner; see the package comment for the order of steps.
type Ready struct {
	// HardState is nil if nothing has to be saved.
	HardState *HardState
	// Snapshot, if not nil, replaces the log and the state machine's state.
	Snapshot  *Snapshot
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
}

// Role is a replica's current role in its term.
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
