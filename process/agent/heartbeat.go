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
	// heartbeatTimeout is how long an entry may take to acknowledge a heartbeat
	// before the link is closed and dialed again.
	heartbeatTimeout = 2 * time.Second
)

type heartbeatState struct {
	seq      atomic.Uint64
	draining atomic.Bool
}

// runHeartbeats sends heartbeats on a link until it closes or ctx ends. It closes the
// link after a heartbeat that was not acknowledged.
func (a *Agent) runHeartbeats(ctx context.Context, c *link.Conn) {
	ticker := a.Clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	encoder := heartbeat.NewEncoder(a.Clock)
	for {
		if err := a.sendHeartbeat(ctx, c, encoder); err != nil {
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

func (a *Agent) sendHeartbeat(ctx context.Context, c *link.Conn, encoder *heartbeat.Encoder) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	msg := encoder.Encode(a.status(), a.leases.Issue(), a.isPrimary(c))
	var ack wire.HeartbeatAck
	return c.Call(ctx, wire.KindHeartbeat, msg, &ack)
}

// isPrimary reports whether c is the open link to the entry with the highest
// rendezvous weight. That entry reports this agent to the leader; the weights
// spread the agents over the entries.
func (a *Agent) isPrimary(c *link.Conn) bool {
	weight := rendezvousWeight(a.settings.Name, c.Peer().Name)
	for _, other := range a.mesh.Conns() {
		if rendezvousWeight(a.settings.Name, other.Peer().Name) > weight {
			return false
		}
	}
	return true
}

// status returns the agent's current status. Each call uses a new sequence number.
func (a *Agent) status() wire.AgentStatus {
	report, serving, fence, code, detail := a.loader.Report()
	s := wire.AgentStatus{
		Name:        a.settings.Name,
		Incarnation: a.hello.Incarnation,
		Service:     a.settings.Service,
		Zone:        a.settings.Zone,
		Region:      a.settings.Region,
		Address:     a.settings.Listen,
		Engine:      report,
		Serving:     serving,
		Draining:    a.heartbeats.draining.Load(),
		InFlight:    a.runner.InFlight(),
		FenceIndex:  fence,
		Code:        code,
		Detail:      detail,
		Seq:         a.heartbeats.seq.Add(1),
		Revision:    a.views.revision(),
	}
	if a.transfer != nil {
		s.Staged = a.transfer.Staged()
		s.Transfer = a.transfer.Progress()
	}
	return s
}
