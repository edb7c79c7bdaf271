// Package directory keeps what backend servers say of themselves: who serves,
// who leaves, who is gone. It is soft state: heartbeats bring it back after a
// restart. The package has no clock and no network: callers pass the time of a
// steady clock. A Table is not safe for concurrent use.
package directory

import "time"

// State is what a server says of itself.
type State uint8

// States of a server.
const (
	Ready State = iota + 1
	// Draining servers get nothing new.
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

// Weights names a model and the version of its weights that a server holds.
type Weights struct {
	Model   string `cbor:"1,keyasint"`
	Version int    `cbor:"2,keyasint"`
}

// Server is what one incarnation of a backend server said last.
type Server struct {
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	Slots   int    `cbor:"5,keyasint"`
	State   State  `cbor:"6,keyasint"`
	// Born is the Unix time in milliseconds of the server's start, by its own
	// clock. Born, then Seq order what a server says.
	Born int64  `cbor:"7,keyasint"`
	Seq  uint64 `cbor:"8,keyasint"`
	// ColdLeft is how much longer the server is slow after its start.
	ColdLeft time.Duration `cbor:"9,keyasint,omitempty"`
	// Engine is set where the server told which models it holds; Held lists
	// those that it holds whole.
	Engine bool      `cbor:"10,keyasint,omitempty"`
	Held   []Weights `cbor:"11,keyasint,omitempty"`
}

// Holds returns the version of a model that the server holds whole, or 0.
func (s *Server) Holds(model string) int { return VersionOf(s.Held, model) }

// VersionOf returns the version of a model among the weights that are held, or 0.
func VersionOf(held []Weights, model string) int {
	for _, w := range held {
		if w.Model == model {
			return w.Version
		}
	}
	return 0
}

// SameAs reports whether only the sequence number and times differ.
func (s *Server) SameAs(o *Server) bool {
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

// before reports whether s was said before o by the same id. A server that
// starts again under its id has a later Born and counts from the beginning.
func (s *Server) before(o *Server) bool {
	if s.Born != o.Born {
		return s.Born < o.Born
	}
	if s.State != o.State && s.Seq == o.Seq {
		return s.State < o.State
	}
	return s.Seq < o.Seq
}
