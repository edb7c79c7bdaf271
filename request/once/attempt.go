// Package once makes sure that a call which may not be repeated runs at most
// once, and that its callers are told the truth about it.
//
// The entry reserves an attempt through the control state, naming the agent
// and its incarnation, before it dispatches it (Coordinator). The agent runs
// an attempt at most once and keeps its answer (Table). After a loss the entry
// asks the agent; asking for an attempt that the agent never saw puts a
// tombstone in its place, and only that permits "not run" to be said or the
// next attempt to be made. Where neither is known the outcome is recorded as
// unknown, and the call never runs again.
//
// Lock order: Table.mu and Coordinator.mu are leaves; nothing blocks under
// them.
package once

import (
	"github.com/waxwingpost/waxwingpost/process/control"
)

// ID names one attempt at a call.
type ID struct {
	Account string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	Attempt int    `cbor:"3,keyasint"`
}

// Query asks an agent about an attempt. With Tombstone set an attempt that
// was never seen is refused from then on.
type Query struct {
	ID          ID     `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Tombstone   bool   `cbor:"3,keyasint,omitempty"`
	// WaitMs is how long the agent may wait for a running attempt to end.
	WaitMs int64 `cbor:"4,keyasint,omitempty"`
}

// State is what an agent knows of an attempt.
type State string

// States of an attempt.
const (
	// StateNeverSeen means that the agent has no record and put none.
	StateNeverSeen State = "never-seen"
	// StateRunning means that the backend server is running the attempt.
	StateRunning State = "running"
	// StateDone means that the attempt ran; the reply tells its answer.
	StateDone State = "done"
	// StateUnknown means that the attempt was sent to the backend server and
	// its answer was lost.
	StateUnknown State = "unknown"
	// StateRefused means that the attempt did not run and never will.
	StateRefused State = "refused"
)

// Reply is an agent's answer to a Query.
type Reply struct {
	State  State           `cbor:"1,keyasint"`
	Answer *control.Answer `cbor:"2,keyasint,omitempty"`
}

// MaxQueryBytes bounds an encoded Query.
const MaxQueryBytes = 64 << 10
