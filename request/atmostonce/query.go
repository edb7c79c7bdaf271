// Package atmostonce implements at-most-once execution of non-repeatable calls and
// reports their outcome correctly to callers.
//
// Before an entry dispatches an attempt, it reserves it in the control state,
// with the name and incarnation of the agent (Coordinator). The agent runs an
// attempt at most once and keeps the answer (Table). If the response is lost,
// the entry queries the agent. A query for an attempt that the agent never
// received creates a tombstone, which blocks the attempt for good; only then
// may the entry report the call as not run or make the next attempt. If the
// agent can confirm neither, the outcome is recorded as unknown, and the call
// never runs again.
//
// Lock order: Table.mu and Coordinator.mu are leaf locks and are never held
// across a blocking call.
package atmostonce

import (
	"github.com/waxwingpost/waxwingpost/process/control"
)

// ID identifies one attempt of a call.
type ID struct {
	Account string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	Attempt int    `cbor:"3,keyasint"`
}

// Query asks an agent for the state of an attempt. If Tombstone is set and the
// agent never received the attempt, the agent creates a tombstone that blocks
// it.
type Query struct {
	ID          ID     `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Tombstone   bool   `cbor:"3,keyasint,omitempty"`
	// WaitMs is how long the agent may wait for a running attempt to complete,
	// in milliseconds.
	WaitMs int64 `cbor:"4,keyasint,omitempty"`
}

// State is the state of an attempt on an agent.
type State string

// States of an attempt.
const (
	// StateNeverSeen means that the agent has no record of the attempt and
	// created none.
	StateNeverSeen State = "never-seen"
	// StateRunning means that the backend server is running the attempt.
	StateRunning State = "running"
	// StateDone means that the attempt ran; the reply contains its answer.
	StateDone State = "done"
	// StateUnknown means that the attempt was sent to the backend server and
	// the response was lost.
	StateUnknown State = "unknown"
	// StateNotRun means that the attempt did not run and never will.
	StateNotRun State = "refused"
)

// Reply is an agent's answer to a Query.
type Reply struct {
	State  State           `cbor:"1,keyasint"`
	Answer *control.Answer `cbor:"2,keyasint,omitempty"`
}

// MaxQueryBytes limits the size of an encoded Query.
const MaxQueryBytes = 64 << 10
