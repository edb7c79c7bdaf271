// Package directory tracks the backend servers and the state that they report:
// ready, draining or gone. The state is soft: heartbeats restore it after a
// restart. The package has no clock and does no I/O: callers pass the time of a
// monotonic clock. A Table is not safe for concurrent use.
package directory

import "time"

// State is the state that a server reports.
type State uint8

// States of a server.
const (
	Ready State = iota + 1
	// Draining servers get no new requests.
	Draining
	// Gone servers have deregistered.
	Gone
)

// String returns the state's name for logs.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// ModelVersion is a model and the version of its weights that a server holds.
type ModelVersion struct {
	Model   string `cbor:"1,keyasint"`
	Version int    `cbor:"2,keyasint"`
}

// Server is the latest report of one incarnation of a backend server.
type Server struct {
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	Slots   int    `cbor:"5,keyasint"`
	State   State  `cbor:"6,keyasint"`
	// Born is the Unix time in milliseconds of the server's start, by its own
	// clock. Reports of a server are ordered by Born, then by Seq.
	Born int64  `cbor:"7,keyasint"`
	Seq  uint64 `cbor:"8,keyasint"`
	// ColdLeft is the rest of the time in which the server is slow after its start.
	ColdLeft time.Duration `cbor:"9,keyasint,omitempty"`
	// Engine is set if the server reported which models it holds; Held lists
	// those that it holds completely.
	Engine bool           `cbor:"10,keyasint,omitempty"`
	Held   []ModelVersion `cbor:"11,keyasint,omitempty"`
}

// HeldVersion returns the version of a model that the server holds completely, or 0.
func (s *Server) HeldVersion(model string) int { return VersionOf(s.Held, model) }

// VersionOf returns the version of a model in a list of held weights, or 0.
func VersionOf(held []ModelVersion, model string) int {
	for _, w := range held {
		if w.Model == model {
			return w.Version
		}
	}
	return 0
}

// EqualIgnoringSeq reports whether two reports differ at most in their sequence
// number and in the remaining time of a cold start that has not ended.
func (s *Server) EqualIgnoringSeq(o *Server) bool {
	if s.ID != o.ID || s.Service != o.Service || s.Address != o.Address || s.Zone != o.Zone ||
		s.Slots != o.Slots || s.State != o.State || s.Born != o.Born || s.Engine != o.Engine ||
		len(s.Held) != len(o.Held) || (s.ColdLeft > 0) != (o.ColdLeft > 0) {
		return false
	}
	for i := range s.Held {
		if s.Held[i] != o.Held[i] {
			return false
		}
	}
	return true
}

// olderThan reports whether s precedes o, a report of the same ID. A server that
// restarts under its ID has a later Born and restarts its sequence numbers.
func (s *Server) olderThan(o *Server) bool {
	if s.Born != o.Born {
		return s.Born < o.Born
	}
	if s.State != o.State && s.Seq == o.Seq {
		return s.State < o.State
	}
	return s.Seq < o.Seq
}
