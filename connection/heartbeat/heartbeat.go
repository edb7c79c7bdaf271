// Package heartbeat encodes and decodes an agent's heartbeats. A heartbeat holds
// the full status only if it changed since the previous one on the same link.
//
// The package relies on these rules: heartbeats arrive in order, each is
// acknowledged before the next is sent, and the first on a link holds the full
// status. An Encoder and a Decoder belong to one link and are not safe for
// concurrent use.
package heartbeat

import (
	"reflect"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// progressInterval is the minimum interval between full statuses in which only the
// transfer's byte counts changed.
const progressInterval = time.Second

// Encoder encodes the heartbeats of one link.
type Encoder struct {
	clock clockwork.Clock
	// last is the status that the peer has, without the fields that every
	// heartbeat holds.
	last wire.AgentStatus
	// sent is set once a status was sent; sentAt is the time of the last one.
	sent   bool
	sentAt time.Time
}

// NewEncoder returns the encoder of a new link.
func NewEncoder(clock clockwork.Clock) *Encoder {
	return &Encoder{clock: clock}
}

// Encode returns the next heartbeat for a status.
func (e *Encoder) Encode(status wire.AgentStatus, token string, primary bool) wire.HeartbeatMessage {
	msg := wire.HeartbeatMessage{
		Seq:      status.Seq,
		Token:    token,
		Running:  status.Engine.Running,
		Waiting:  status.Engine.Waiting,
		InFlight: status.InFlight,
		Primary:  primary,
	}
	base := WithoutLoad(status)
	if e.needsStatus(base) {
		e.last = base
		e.sent = true
		e.sentAt = e.clock.Now()
		msg.Status = &base
	}
	return msg
}

// needsStatus reports whether the next heartbeat must hold the full status.
func (e *Encoder) needsStatus(base wire.AgentStatus) bool {
	if !e.sent {
		return true
	}
	if reflect.DeepEqual(base, e.last) {
		return false
	}
	base.Transfer = e.last.Transfer
	onlyProgress := reflect.DeepEqual(base, e.last)
	return !onlyProgress || e.clock.Since(e.sentAt) >= progressInterval
}

// WithoutLoad returns the status without the fields that every heartbeat holds.
func WithoutLoad(status wire.AgentStatus) wire.AgentStatus {
	status.Seq = 0
	status.InFlight = 0
	status.Engine.Running = 0
	status.Engine.Waiting = 0
	return status
}

// Decoder decodes the heartbeats of one link.
type Decoder struct {
	last wire.AgentStatus
	// hasStatus is set once a status was received.
	hasStatus bool
}

// Decode returns the heartbeat with its full status. It fails with BadMessage if
// no status was received on the link yet.
func (d *Decoder) Decode(msg wire.HeartbeatMessage) (wire.Heartbeat, error) {
	if msg.Status != nil {
		d.last = *msg.Status
		d.hasStatus = true
	}
	if !d.hasStatus {
		return wire.Heartbeat{}, result.New(result.BadMessage, "heartbeat %d without a previous status", msg.Seq)
	}
	status := d.last
	status.Seq = msg.Seq
	status.InFlight = msg.InFlight
	status.Engine.Running = msg.Running
	status.Engine.Waiting = msg.Waiting
	return wire.Heartbeat{Seq: msg.Seq, Token: msg.Token, Status: status}, nil
}
