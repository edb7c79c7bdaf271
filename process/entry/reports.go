package entry

import (
	"context"
	"sync"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/heartbeat"
	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/fleet"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	reportInterval = 250 * time.Millisecond
	reportTimeout  = time.Second
)

// agentLinks holds what belongs to each agent's link: the decoder of its
// heartbeats, and whether the link is the agent's primary one.
type agentLinks struct {
	// mu guards the map and what it points to.
	mu    sync.Mutex
	links map[*link.Conn]*agentLink
}

type agentLink struct {
	decoder heartbeat.Decoder
	primary bool
}

func newAgentLinks() *agentLinks {
	return &agentLinks{links: make(map[*link.Conn]*agentLink)}
}

func (a *agentLinks) add(c *link.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.links[c] = &agentLink{}
}

func (a *agentLinks) remove(c *link.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.links, c)
}

func (a *agentLinks) decode(c *link.Conn, beat wire.Beat) (wire.Heartbeat, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.links[c]
	if l == nil {
		return wire.Heartbeat{}, result.New(result.LinkLost, "link to %s lost", c.Peer().Name)
	}
	l.primary = beat.Primary
	return l.decoder.Decode(beat)
}

// primaries returns the agents that this entry answers for to the leader.
func (a *agentLinks) primaries() map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	names := make(map[string]bool, len(a.links))
	for c, l := range a.links {
		if l.primary {
			names[c.Peer().Name] = true
		}
	}
	return names
}

// runReports tells the leader of this entry's agents until ctx ends. The
// leader reports to itself.
func (e *Entry) runReports(ctx context.Context) {
	ticker := e.Clock.NewTicker(reportInterval)
	defer ticker.Stop()
	reporter := fleet.NewReporter(e.set.Name, e.Clock)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			e.report(ctx, reporter)
		}
	}
}

func (e *Entry) report(ctx context.Context, reporter *fleet.Reporter) {
	leader := e.node.Leader()
	if leader == "" {
		return
	}
	_, revision := e.machine.Config()
	report, due := reporter.Next(leader, revision, e.ownStatuses())
	if !due {
		return
	}
	if err := e.deliver(ctx, leader, report); err != nil {
		reporter.Restart()
	}
}

func (e *Entry) ownStatuses() []wire.AgentStatus {
	primaries := e.agents.primaries()
	var own []wire.AgentStatus
	for _, s := range e.sessions.Statuses() {
		if primaries[s.Name] {
			own = append(own, s)
		}
	}
	return own
}

func (e *Entry) deliver(ctx context.Context, leader string, report wire.FleetReport) error {
	if leader == e.set.Name {
		if !e.fleet.Report(report) {
			return result.New(result.BadMessage, "report %d does not follow the one before", report.Seq)
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return e.mesh.Call(ctx, leader, wire.KindFleet, report, nil)
}
