// Package control defines the public interface of the replicated control
// state: commands, their results and the Store interface.
//
// Sub-packages implement it: raft (consensus core without I/O or clocks), wal
// (write-ahead log and snapshots on disk), state and desired (deterministic
// state machines) and node (the replica, which connects the core to disk and
// network).
package control

import (
	"context"

	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Fence is the fencing token of an order. Of two orders to the same agent, the
// one with the higher Index takes precedence; Term is informational.
type Fence struct {
	Term  uint64 `cbor:"1,keyasint" json:"term"`
	Index uint64 `cbor:"2,keyasint" json:"index"`
}

// Less reports whether f is older than g.
func (f Fence) Less(g Fence) bool {
	return f.Index < g.Index
}

// Command is one replicated change. Exactly one of the pointers is set.
// ID makes retries idempotent: applying a command whose ID was already applied
// has no effect and returns the recorded result.
type Command struct {
	ID       string           `cbor:"1,keyasint"`
	Edit     *Edit            `cbor:"2,keyasint,omitempty"`
	Register *RegisterVersion `cbor:"3,keyasint,omitempty"`
	Order    *PlaceOrder      `cbor:"4,keyasint,omitempty"`
	Reserve  *Reserve         `cbor:"5,keyasint,omitempty"`
	Outcome  *RecordOutcome   `cbor:"6,keyasint,omitempty"`
	// Time is the proposing replica's clock in Unix milliseconds. It is used
	// for display and to expire old records, never to decide which command
	// takes precedence.
	Time int64 `cbor:"7,keyasint"`
	// VM is the name of the VM that proposed the command.
	VM string `cbor:"8,keyasint"`
	// Deploy and Weights change a whole deployment; see process/control/desired.
	Deploy  *Deploy         `cbor:"9,keyasint,omitempty"`
	Weights *PublishWeights `cbor:"10,keyasint,omitempty"`
	// Pieces records the digests of a version's pieces in a deployment. Replicas of
	// releases without it reject the command.
	Pieces *PieceDigests `cbor:"11,keyasint,omitempty"`
	// Evacuation starts or ends the evacuation of a zone of a deployment. Replicas of
	// releases without it reject the command.
	Evacuation *Evacuation `cbor:"12,keyasint,omitempty"`
}

// Evacuation starts or ends the evacuation of an availability zone: while it is in force,
// servers of the zone get no new requests.
type Evacuation struct {
	Zone string `cbor:"1,keyasint"`
	// Start is false if the evacuation ends.
	Start bool `cbor:"2,keyasint,omitempty"`
	// After is the log index of the zone's last command that this one is based on, 0 if
	// there was none. If another one is the last, this one undoes nothing.
	After uint64 `cbor:"3,keyasint,omitempty"`
}

// Deploy replaces the whole configuration of a deployment if its version is
// higher than the stored one. The proposer has already validated it.
type Deploy struct {
	Version uint64 `cbor:"1,keyasint"`
	// Content is the operator's document, compressed with DEFLATE.
	Content []byte `cbor:"2,keyasint"`
}

// PublishWeights sets the newest version of a model's weights.
type PublishWeights struct {
	Model   string `cbor:"1,keyasint"`
	Version int    `cbor:"2,keyasint"`
}

// PieceDigests holds the SHA-256 digests of the pieces of a version of a model's weights,
// one after another. They are those of pieces that all matched one manifest.
type PieceDigests struct {
	Model   string `cbor:"1,keyasint"`
	Version int    `cbor:"2,keyasint"`
	Digests []byte `cbor:"3,keyasint,omitempty"`
}

// Edit is a compare-and-set on one file of the configuration folder.
type Edit struct {
	File string `cbor:"1,keyasint"`
	// Base is the digest of the accepted content that the edit is based on;
	// zero if the file did not exist.
	Base manifest.Digest `cbor:"2,keyasint"`
	// Content is the new content; Remove deletes the file.
	Content []byte `cbor:"3,keyasint,omitempty"`
	Remove  bool   `cbor:"4,keyasint,omitempty"`
	Author  string `cbor:"5,keyasint,omitempty"`
	// With holds edits of other files in the same change: all are accepted
	// under one revision, or none. Their own With is ignored.
	With []Edit `cbor:"6,keyasint,omitempty"`
	// Revision is the configuration revision that the folder was last
	// synchronized with when the edit was made. If the file was changed or
	// removed under a later revision, the edit conflicts, even if the content
	// equals Base again. Zero disables this check; FirstRevision is used for a
	// folder that was never synchronized.
	Revision uint64 `cbor:"7,keyasint,omitempty"`
}

// FirstRevision is the revision of the first accepted change.
const FirstRevision uint64 = 1

// RegisterVersion registers the manifest of a version.
type RegisterVersion struct {
	Manifest manifest.Manifest `cbor:"1,keyasint"`
}

// PlaceOrder sets the version that an agent's engine has to serve. Its fence
// is the term and index of the log entry that carries it.
type PlaceOrder struct {
	Agent    string   `cbor:"1,keyasint"`
	Service  string   `cbor:"2,keyasint"`
	Version  string   `cbor:"3,keyasint"`
	Adapters []string `cbor:"4,keyasint,omitempty"`
	// Stage asks the agent to fetch and verify the version without loading it.
	Stage bool `cbor:"5,keyasint,omitempty"`
	// After is the fence index of the agent's order that this one replaces. The
	// command is rejected if another order is in force.
	After uint64 `cbor:"6,keyasint"`
	// Keep and KeepAdapters, set together with Stage, are the version and
	// adapters that the engine continues to serve meanwhile.
	Keep         string   `cbor:"7,keyasint,omitempty"`
	KeepAdapters []string `cbor:"8,keyasint,omitempty"`
}

// Reserve claims the single execution of a non-repeatable call.
type Reserve struct {
	Account     string          `cbor:"1,keyasint"`
	Key         string          `cbor:"2,keyasint"`
	BodyDigest  manifest.Digest `cbor:"3,keyasint"`
	Service     string          `cbor:"4,keyasint"`
	Agent       string          `cbor:"5,keyasint"`
	Incarnation string          `cbor:"6,keyasint"`
	// Attempt counts from 1. An attempt above 1 is accepted only if the
	// previous one was recorded as not run.
	Attempt int `cbor:"7,keyasint"`
	// Entry is the entry VM that dispatches the attempt.
	Entry string `cbor:"8,keyasint"`
}

// Values of Verdict, the recorded outcome of an attempt.
const (
	AttemptReserved = "reserved"
	AttemptNotRun   = "not-run"
	AttemptRan      = "ran"
	AttemptUnknown  = "unknown"
)

// RecordOutcome records the outcome of a reserved attempt in Verdict. The
// outcomes ran and unknown are final; not-run permits the next attempt.
type RecordOutcome struct {
	Account string  `cbor:"1,keyasint"`
	Key     string  `cbor:"2,keyasint"`
	Attempt int     `cbor:"3,keyasint"`
	Verdict string  `cbor:"4,keyasint"`
	Answer  *Answer `cbor:"5,keyasint,omitempty"`
}

// Answer is the recorded response to a non-repeatable call.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	// Body is the complete response body if it is small. Otherwise it is empty,
	// Digest and Size describe the body and Holder is the agent that stores it.
	Body   []byte          `cbor:"3,keyasint,omitempty"`
	Digest manifest.Digest `cbor:"4,keyasint"`
	Size   int64           `cbor:"5,keyasint"`
	Holder string          `cbor:"6,keyasint,omitempty"`
}

// Call is the record of a non-repeatable call.
type Call struct {
	Reserve Reserve `cbor:"1,keyasint"`
	Verdict string  `cbor:"2,keyasint"`
	Answer  *Answer `cbor:"3,keyasint,omitempty"`
	// Time is the Unix time in milliseconds of the last change.
	Time int64 `cbor:"4,keyasint"`
}

// Order is an order in force.
type Order struct {
	PlaceOrder
	Fence Fence `cbor:"101,keyasint"`
}

// Result is the result of an applied command. Code and Detail describe a
// rejection; the other fields depend on the command.
type Result struct {
	Code   int    `cbor:"1,keyasint"`
	Detail string `cbor:"2,keyasint,omitempty"`
	// Index and Term are those of the log entry that determined the result.
	Index uint64 `cbor:"3,keyasint"`
	Term  uint64 `cbor:"4,keyasint"`
	// Revision is the revision created by an Edit, or the one in force if the
	// edit was rejected.
	Revision uint64 `cbor:"5,keyasint,omitempty"`
	// Call is the record after a Reserve or RecordOutcome. Code 0 for a Reserve
	// permits the dispatch: this command, or an earlier send with the same ID,
	// holds the reservation. With the codes AlreadyRan, InProgress,
	// OutcomeUnknown and AttemptTombstoned (retry with
	// Call.Reserve.Attempt+1), Call is the conflicting record.
	Call *Call `cbor:"6,keyasint,omitempty"`
}

// Store gives access to the control state. It is safe for concurrent use.
type Store interface {
	// Propose replicates a command and returns its result once it is applied.
	// It forwards the command to the leader and retries with the same ID until
	// ctx ends. After an error with code NoQuorum the command may still be
	// applied, unless the error's Ran is NotRun.
	Propose(ctx context.Context, cmd Command) (Result, error)
	// Barrier returns once the local state includes every command committed
	// before the call, as confirmed by a quorum.
	Barrier(ctx context.Context) error
	// InQuorum reports whether this replica was in contact with the leader, or
	// as leader with a quorum, within the last election timeout.
	InQuorum() bool
	// IsLeader reports whether this replica believes it is the leader. This is
	// a hint: only a commit proves leadership.
	IsLeader() bool
}
