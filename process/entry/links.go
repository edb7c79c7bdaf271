package entry

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// fenceTimeout bounds the quorum round that answers a fence query.
const fenceTimeout = 3 * time.Second

// open takes in a link that another process dialed.
func (e *Entry) open(c *link.Conn) (func(), error) {
	switch c.Peer().Role {
	case wire.RoleEntry:
		return e.mesh.Add(c), nil
	case wire.RoleAgent:
		return e.openAgent(c)
	default:
		return nil, result.New(result.BadMessage, "unknown role %q", c.Peer().Role)
	}
}

func (e *Entry) openAgent(c *link.Conn) (func(), error) {
	hello := c.Peer()
	if err := e.sessions.Open(hello); err != nil {
		e.Log.Warn("agent refused", "agent", hello.Name, "incarnation", hello.Incarnation, "code", int(result.CodeOf(err)), "error", err)
		return nil, err
	}
	e.Log.Info("agent joined", "agent", hello.Name, "incarnation", hello.Incarnation, "service", hello.Service, "zone", hello.Zone)
	e.agents.add(c)
	e.views.add(c)
	return func() {
		e.views.remove(c)
		e.agents.remove(c)
		e.sessions.Lost(hello.Name, hello.Incarnation)
		e.Log.Info("agent link lost", "agent", hello.Name, "incarnation", hello.Incarnation)
	}, nil
}

// Notify implements link.Handler.
func (e *Entry) Notify(c *link.Conn, kind wire.Kind, body cbor.RawMessage) {
	switch kind {
	case wire.KindLeave:
		e.leave(c)
	default:
		e.notifyNode(c, kind, body)
	}
}

// notifyNode passes control messages on, from entries only.
func (e *Entry) notifyNode(c *link.Conn, kind wire.Kind, body cbor.RawMessage) {
	if c.Peer().Role == wire.RoleEntry {
		e.node.Notify(c.Peer(), kind, body)
	}
}

func (e *Entry) leave(c *link.Conn) {
	hello := c.Peer()
	e.sessions.Leave(hello.Name, hello.Incarnation)
	e.Log.Info("agent leaves", "agent", hello.Name, "incarnation", hello.Incarnation)
}

// fleetReport takes in another entry's report.
func (e *Entry) fleetReport(body cbor.RawMessage) (any, error) {
	var report wire.FleetReport
	if err := cbor.Unmarshal(body, &report); err != nil {
		return nil, result.New(result.BadMessage, "fleet report: %v", err)
	}
	if !e.fleet.Report(report) {
		return nil, result.New(result.BadMessage, "report %d of %s does not follow the one before", report.Seq, report.Entry)
	}
	return wire.Empty{}, nil
}

// Call implements link.Handler.
func (e *Entry) Call(ctx context.Context, c *link.Conn, kind wire.Kind, body cbor.RawMessage) (any, error) {
	switch {
	case kind == wire.KindHeartbeat && c.Peer().Role == wire.RoleAgent:
		return e.heartbeat(c, body)
	case kind == wire.KindFence && c.Peer().Role == wire.RoleAgent:
		return e.fence(ctx, body)
	case kind == wire.KindFleet && c.Peer().Role == wire.RoleEntry:
		return e.fleetReport(body)
	case c.Peer().Role == wire.RoleEntry:
		return e.node.Call(ctx, c.Peer(), kind, body)
	default:
		return nil, result.New(result.BadMessage, "kind %d from role %s", kind, c.Peer().Role)
	}
}

func (e *Entry) heartbeat(c *link.Conn, body cbor.RawMessage) (any, error) {
	var beat wire.Beat
	if err := cbor.Unmarshal(body, &beat); err != nil {
		return nil, result.New(result.BadMessage, "heartbeat: %v", err)
	}
	hb, err := e.agents.decode(c, beat)
	if err != nil {
		return nil, err
	}
	hello := c.Peer()
	e.sessions.Heartbeat(hello.Name, hello.Incarnation, hb)
	_, revision := e.machine.Config()
	return wire.HeartbeatAck{Seq: hb.Seq, Revision: revision}, nil
}

// fence answers with the agent's order as it stands after a quorum round.
func (e *Entry) fence(ctx context.Context, body cbor.RawMessage) (any, error) {
	var q wire.FenceQuery
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, result.New(result.BadMessage, "fence query: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	if err := e.node.Barrier(ctx); err != nil {
		return nil, err
	}
	_, revision := e.machine.Config()
	reply := wire.FenceReply{Index: e.machine.Index(), Revision: revision}
	if order, ok := e.machine.Order(q.Agent); ok {
		reply.Order = &order
	}
	return reply, nil
}
