// Package heartbeat turns an agent's status into beats that carry only what
// changed since the beat before on the same link, and back.
//
// It relies on the link: beats arrive in order, each is acknowledged before
// the next is sent, and a new link begins with a whole status. An Encoder and
// a Decoder belong to one link and are not safe for concurrent use.
package heartbeat

import (
	"reflect"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// progressInterval is how often a change of the transfer's byte counts alone
// is worth a whole status.
const progressInterval = time.Second

// Encoder makes the beats of one link.
type Encoder struct {
	clock clockwork.Clock
	// last is what the other side holds, less what every beat carries.
	last   wire.AgentStatus
	sent   bool
	sentAt time.Time
}

// NewEncoder returns the encoder of a new link.
func NewEncoder(clock clockwork.Clock) *Encoder {
	return &Encoder{clock: clock}
}

// Encode makes the next beat of a status.
func (e *Encoder) Encode(status wire.AgentStatus, token string, primary bool) wire.Beat {
	beat := wire.Beat{
		Seq:      status.Seq,
		Token:    token,
		Running:  status.Engine.Running,
		Waiting:  status.Engine.Waiting,
		InFlight: status.InFlight,
		Primary:  primary,
	}
	rest := Steady(status)
	if e.mustSend(rest) {
		e.last = rest
		e.sent = true
		e.sentAt = e.clock.Now()
		beat.Status = &rest
	}
	return beat
}

func (e *Encoder) mustSend(rest wire.AgentStatus) bool {
	if !e.sent {
		return true
	}
	if reflect.DeepEqual(rest, e.last) {
		return false
	}
	rest.Transfer = e.last.Transfer
	onlyProgress := reflect.DeepEqual(rest, e.last)
	return !onlyProgress || e.clock.Since(e.sentAt) >= progressInterval
}

// Steady returns a status less what every beat carries.
func Steady(status wire.AgentStatus) wire.AgentStatus {
	status.Seq = 0
	status.InFlight = 0
	status.Engine.Running = 0
	status.Engine.Waiting = 0
	return status
}

// Decoder restores the statuses of one link.
type Decoder struct {
	last wire.AgentStatus
	held bool
}

// Decode returns the heartbeat that a beat stands for. A beat without a
// status before any status is a BadMessage.
func (d *Decoder) Decode(beat wire.Beat) (wire.Heartbeat, error) {
	if beat.Status != nil {
		d.last = *beat.Status
		d.held = true
	}
	if !d.held {
		return wire.Heartbeat{}, result.New(result.BadMessage, "beat %d without a status before it", beat.Seq)
	}
	status := d.last
	status.Seq = beat.Seq
	status.InFlight = beat.InFlight
	status.Engine.Running = beat.Running
	status.Engine.Waiting = beat.Waiting
	return wire.Heartbeat{Seq: beat.Seq, Token: beat.Token, Status: status}, nil
}
