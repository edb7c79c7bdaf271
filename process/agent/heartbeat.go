package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/heartbeat"
	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is how long an entry may take to acknowledge before
	// the link counts as lost and is dialed again.
	heartbeatTimeout = 2 * time.Second
)

type beatState struct {
	seq      atomic.Uint64
	draining atomic.Bool
}

// runHeartbeats sends heartbeats on a link until it is lost or ctx ends.
func (a *Agent) runHeartbeats(ctx context.Context, c *link.Conn) {
	ticker := a.Clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	encoder := heartbeat.NewEncoder(a.Clock)
	for {
		if err := a.heartbeat(ctx, c, encoder); err != nil {
			a.Log.Warn("heartbeat not acknowledged", "entry", c.Peer().Name, "code", int(result.CodeOf(err)))
			c.Close()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (a *Agent) heartbeat(ctx context.Context, c *link.Conn, encoder *heartbeat.Encoder) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	beat := encoder.Encode(a.status(), a.leases.Issue(), a.isPrimary(c))
	var ack wire.HeartbeatAck
	return c.Call(ctx, wire.KindHeartbeat, beat, &ack)
}

// isPrimary reports whether c is, of the open links, the one to the entry
// with the highest rendezvous weight: that entry answers for this agent to
// the leader, and agents spread over the entries.
func (a *Agent) isPrimary(c *link.Conn) bool {
	weight := rendezvousWeight(a.set.Name, c.Peer().Name)
	for _, other := range a.mesh.Conns() {
		if rendezvousWeight(a.set.Name, other.Peer().Name) > weight {
			return false
		}
	}
	return true
}

// status reads what this agent knows of itself.
func (a *Agent) status() wire.AgentStatus {
	report, serving, fence, code, detail := a.loader.Report()
	s := wire.AgentStatus{
		Name:        a.set.Name,
		Incarnation: a.hello.Incarnation,
		Service:     a.set.Service,
		Zone:        a.set.Zone,
		Region:      a.set.Region,
		Address:     a.set.Listen,
		Engine:      report,
		Serving:     serving,
		Draining:    a.beat.draining.Load(),
		InFlight:    a.runner.InFlight(),
		FenceIndex:  fence,
		Code:        code,
		Detail:      detail,
		Seq:         a.beat.seq.Add(1),
		Revision:    a.views.revision(),
	}
	if a.transfer != nil {
		s.Staged = a.transfer.Staged()
		s.Transfer = a.transfer.Progress()
	}
	return s
}
