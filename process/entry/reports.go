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

// agentLinks holds the state of each agent's link: the decoder of its heartbeats,
// and whether the link is the agent's primary one.
type agentLinks struct {
	// mu guards the map and its values.
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

func (a *agentLinks) decode(c *link.Conn, msg wire.HeartbeatMessage) (wire.Heartbeat, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.links[c]
	if l == nil {
		return wire.Heartbeat{}, result.New(result.LinkLost, "link to %s lost", c.Peer().Name)
	}
	l.primary = msg.Primary
	return l.decoder.Decode(msg)
}

// primaries returns the names of the agents that this entry reports to the leader:
// those whose primary link is to it.
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

// runReports reports this entry's agents to the leader until ctx ends. The leader
// reports to itself.
func (e *Entry) runReports(ctx context.Context) {
	ticker := e.Clock.NewTicker(reportInterval)
	defer ticker.Stop()
	reporter := fleet.NewReporter(e.settings.Name, e.Clock)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			e.reportToLeader(ctx, reporter)
		}
	}
}

func (e *Entry) reportToLeader(ctx context.Context, reporter *fleet.Reporter) {
	leader := e.node.Leader()
	if leader == "" {
		return
	}
	_, revision := e.machine.Config()
	report, due := reporter.Next(leader, revision, e.primaryStatuses())
	if !due {
		return
	}
	if err := e.sendReport(ctx, leader, report); err != nil {
		reporter.ResendAll()
	}
}

// primaryStatuses returns the statuses of the agents that this entry reports.
func (e *Entry) primaryStatuses() []wire.AgentStatus {
	primaries := e.agents.primaries()
	var statuses []wire.AgentStatus
	for _, s := range e.sessions.Statuses() {
		if primaries[s.Name] {
			statuses = append(statuses, s)
		}
	}
	return statuses
}

func (e *Entry) sendReport(ctx context.Context, leader string, report wire.FleetReport) error {
	if leader == e.settings.Name {
		if !e.fleet.ApplyReport(report) {
			return result.New(result.BadMessage, "report %d does not follow the last applied report", report.Seq)
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return e.mesh.Call(ctx, leader, wire.KindFleet, report, nil)
}
