// Package control defines the replicated control state as the rest of the
// system sees it: commands, their results and the Store interface.
//
// Sub-packages hold its parts: raft (consensus core without I/O or clocks),
// wal (synced log and snapshots), state (the deterministic state machine) and
// node (the replica that runs the core with disk and links).
package control

import (
	"context"

	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Fence orders all orders that are given to an agent. A higher Index wins;
// Term is told for the record.
type Fence struct {
	Term  uint64 `cbor:"1,keyasint" json:"term"`
	Index uint64 `cbor:"2,keyasint" json:"index"`
}

// Less reports whether f is older than g.
func (f Fence) Less(g Fence) bool {
	return f.Index < g.Index
}

// Command is one replicated change. Exactly one of the pointers is set.
// ID makes a resend idempotent: a command whose ID was applied before has no
// further effect and yields the recorded result.
type Command struct {
	ID       string           `cbor:"1,keyasint"`
	Edit     *Edit            `cbor:"2,keyasint,omitempty"`
	Register *RegisterVersion `cbor:"3,keyasint,omitempty"`
	Order    *PlaceOrder      `cbor:"4,keyasint,omitempty"`
	Reserve  *Reserve         `cbor:"5,keyasint,omitempty"`
	Outcome  *RecordOutcome   `cbor:"6,keyasint,omitempty"`
	// Time is set by the proposing replica in Unix milliseconds. It is used
	// for the record and for dropping old records, never for authority.
	Time int64 `cbor:"7,keyasint"`
	// VM is the name of the VM that proposed the command.
	VM string `cbor:"8,keyasint"`
	// Deploy and Weights change a whole deployment; see process/control/desired.
	Deploy  *Deploy      `cbor:"9,keyasint,omitempty"`
	Weights *NameWeights `cbor:"10,keyasint,omitempty"`
}

// Deploy replaces the whole configuration of a deployment where its version is
// higher than the one held. It was validated by the proposer.
type Deploy struct {
	Version uint64 `cbor:"1,keyasint"`
	// Content is the operator's document, compressed with DEFLATE.
	Content []byte `cbor:"2,keyasint"`
}

// NameWeights names the newest version of a model's weights.
type NameWeights struct {
	Model   string `cbor:"1,keyasint"`
	Version int    `cbor:"2,keyasint"`
}

// Edit is a compare-and-set on one file of the folder.
type Edit struct {
	File string `cbor:"1,keyasint"`
	// Base is the digest of the accepted content that the edit was made upon;
	// zero when the file was absent.
	Base manifest.Digest `cbor:"2,keyasint"`
	// Content is the new content; Remove is set for a removal.
	Content []byte `cbor:"3,keyasint,omitempty"`
	Remove  bool   `cbor:"4,keyasint,omitempty"`
	Author  string `cbor:"5,keyasint,omitempty"`
	// With holds edits of further files that belong to the same change: all
	// are accepted under one revision or none. Their own With is not read.
	With []Edit `cbor:"6,keyasint,omitempty"`
	// Revision is the configuration's revision that the folder was last in
	// step with when the edit was made. A file that was changed or removed
	// under a later revision makes the edit a conflict, also where its content
	// equals Base again. Zero means that this is not checked; FirstRevision
	// stands for a folder that was never in step.
	Revision uint64 `cbor:"7,keyasint,omitempty"`
}

// FirstRevision is the revision of the first accepted change.
const FirstRevision uint64 = 1

// RegisterVersion commits the manifest of a version.
type RegisterVersion struct {
	Manifest manifest.Manifest `cbor:"1,keyasint"`
}

// PlaceOrder sets what one agent's engine is to serve. Its fence is the
// term and index under which it is applied.
type PlaceOrder struct {
	Agent    string   `cbor:"1,keyasint"`
	Service  string   `cbor:"2,keyasint"`
	Version  string   `cbor:"3,keyasint"`
	Adapters []string `cbor:"4,keyasint,omitempty"`
	// Stage asks the agent to fetch and verify the version without loading it.
	Stage bool `cbor:"5,keyasint,omitempty"`
	// After is the fence index of the agent's order that this one replaces;
	// another order in between makes the command a conflict.
	After uint64 `cbor:"6,keyasint"`
	// Keep and KeepAdapters are set with Stage: what the agent's engine goes
	// on serving meanwhile.
	Keep         string   `cbor:"7,keyasint,omitempty"`
	KeepAdapters []string `cbor:"8,keyasint,omitempty"`
}

// Reserve claims the one run of a call that may not be repeated.
type Reserve struct {
	Account     string          `cbor:"1,keyasint"`
	Key         string          `cbor:"2,keyasint"`
	BodyDigest  manifest.Digest `cbor:"3,keyasint"`
	Service     string          `cbor:"4,keyasint"`
	Agent       string          `cbor:"5,keyasint"`
	Incarnation string          `cbor:"6,keyasint"`
	// Attempt counts from 1. An attempt above 1 is accepted only when the one
	// before was recorded as not run.
	Attempt int `cbor:"7,keyasint"`
	// Entry is the entry VM that dispatches the attempt.
	Entry string `cbor:"8,keyasint"`
}

// Verdicts on an attempt.
const (
	AttemptReserved = "reserved"
	AttemptNotRun   = "not-run"
	AttemptRan      = "ran"
	AttemptUnknown  = "unknown"
)

// RecordOutcome sets the verdict on a reserved attempt. A verdict of ran or
// unknown is final; not-run permits the next attempt.
type RecordOutcome struct {
	Account string  `cbor:"1,keyasint"`
	Key     string  `cbor:"2,keyasint"`
	Attempt int     `cbor:"3,keyasint"`
	Verdict string  `cbor:"4,keyasint"`
	Answer  *Answer `cbor:"5,keyasint,omitempty"`
}

// Answer is the recorded answer of a call that may not be repeated.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	// Body is the whole answer where it is small, else empty: then Digest
	// and Size tell what it was and Holder which agent keeps it.
	Body   []byte          `cbor:"3,keyasint,omitempty"`
	Digest manifest.Digest `cbor:"4,keyasint"`
	Size   int64           `cbor:"5,keyasint"`
	Holder string          `cbor:"6,keyasint,omitempty"`
}

// Call is the record of a call that may not be repeated.
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

// Result is what a command yielded once applied. Code and Detail tell a
// refusal; the other fields depend on the command.
type Result struct {
	Code   int    `cbor:"1,keyasint"`
	Detail string `cbor:"2,keyasint,omitempty"`
	// Index and Term are those of the log entry that decided the command.
	Index uint64 `cbor:"3,keyasint"`
	Term  uint64 `cbor:"4,keyasint"`
	// Revision is the revision that an Edit made, or the one in force where
	// it was refused.
	Revision uint64 `cbor:"5,keyasint,omitempty"`
	// Call is the record after a Reserve or RecordOutcome. Code 0 of a Reserve
	// permits the dispatch: this command, or an earlier sending of it under
	// the same ID, holds the reservation. AlreadyRan, InProgress,
	// OutcomeUnknown and AttemptTombstoned (reserve Call.Reserve.Attempt+1
	// instead) carry the record that stands in the way.
	Call *Call `cbor:"6,keyasint,omitempty"`
}

// Store gives access to the control state. Safe for concurrent use.
type Store interface {
	// Propose replicates a command and returns its result once it is applied.
	// It follows the leader and resends under the command's ID until ctx ends.
	// An error with code NoQuorum promises nothing about the command unless
	// its Ran is NotRun.
	Propose(ctx context.Context, cmd Command) (Result, error)
	// Barrier returns once the local state holds all that was committed
	// before the call, proved by a quorum round.
	Barrier(ctx context.Context) error
	// InQuorum reports whether this process heard from a quorum's leader
	// within the last election timeout.
	InQuorum() bool
	// IsLeader reports whether this replica believes that it leads. It is a
	// hint: only commits carry authority.
	IsLeader() bool
}
