package entry

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// fenceTimeout bounds the quorum round for a fence query.
const fenceTimeout = 3 * time.Second

// acceptLink registers a link that another process dialed. The returned function
// is called when the link closes.
func (e *Entry) acceptLink(c *link.Conn) (func(), error) {
	switch c.Peer().Role {
	case wire.RoleEntry:
		return e.mesh.Add(c), nil
	case wire.RoleAgent:
		return e.acceptAgent(c)
	default:
		return nil, result.New(result.BadMessage, "unknown role %q", c.Peer().Role)
	}
}

// acceptAgent opens the session of an agent.
func (e *Entry) acceptAgent(c *link.Conn) (func(), error) {
	hello := c.Peer()
	if err := e.sessions.Open(hello); err != nil {
		e.Log.Warn("agent session refused", "agent", hello.Name, "incarnation", hello.Incarnation, "code", int(result.CodeOf(err)), "error", err)
		return nil, err
	}
	e.Log.Info("agent connected", "agent", hello.Name, "incarnation", hello.Incarnation, "service", hello.Service, "zone", hello.Zone)
	e.agents.add(c)
	e.views.add(c)
	return func() {
		e.views.remove(c)
		e.agents.remove(c)
		e.sessions.MarkLinkLost(hello.Name, hello.Incarnation)
		e.Log.Info("agent disconnected", "agent", hello.Name, "incarnation", hello.Incarnation)
	}, nil
}

// Notify implements link.Handler.
func (e *Entry) Notify(c *link.Conn, kind wire.Kind, body cbor.RawMessage) {
	switch kind {
	case wire.KindLeave:
		e.handleLeave(c)
	default:
		e.notifyNode(c, kind, body)
	}
}

// notifyNode passes messages from entries to the control node and drops others.
func (e *Entry) notifyNode(c *link.Conn, kind wire.Kind, body cbor.RawMessage) {
	if c.Peer().Role != wire.RoleEntry {
		return
	}
	if err := e.node.Notify(c.Peer(), kind, body); result.CodeOf(err) == result.BadMessage {
		c.Close()
	}
}

func (e *Entry) handleLeave(c *link.Conn) {
	hello := c.Peer()
	e.sessions.Leave(hello.Name, hello.Incarnation)
	e.Log.Info("agent is stopping", "agent", hello.Name, "incarnation", hello.Incarnation)
}

// handleFleetReport applies another entry's report. A refused report makes the
// sender start again with a full one.
func (e *Entry) handleFleetReport(body cbor.RawMessage) (any, error) {
	var report wire.FleetReport
	if err := cbor.Unmarshal(body, &report); err != nil {
		return nil, result.New(result.BadMessage, "decode fleet report: %v", err)
	}
	if !e.fleet.ApplyReport(report) {
		return nil, result.New(result.BadMessage, "report %d of %s does not follow the last applied report", report.Seq, report.Entry)
	}
	return wire.Empty{}, nil
}

// Call implements link.Handler.
func (e *Entry) Call(ctx context.Context, c *link.Conn, kind wire.Kind, body cbor.RawMessage) (any, error) {
	switch {
	case kind == wire.KindHeartbeat && c.Peer().Role == wire.RoleAgent:
		return e.handleHeartbeat(c, body)
	case kind == wire.KindFence && c.Peer().Role == wire.RoleAgent:
		return e.handleFenceQuery(ctx, body)
	case kind == wire.KindFleet && c.Peer().Role == wire.RoleEntry:
		return e.handleFleetReport(body)
	case c.Peer().Role == wire.RoleEntry:
		return e.node.Call(ctx, c.Peer(), kind, body)
	default:
		return nil, result.New(result.BadMessage, "unexpected kind %d from role %s", kind, c.Peer().Role)
	}
}

func (e *Entry) handleHeartbeat(c *link.Conn, body cbor.RawMessage) (any, error) {
	var msg wire.HeartbeatMessage
	if err := cbor.Unmarshal(body, &msg); err != nil {
		return nil, result.New(result.BadMessage, "decode heartbeat: %v", err)
	}
	hb, err := e.agents.decode(c, msg)
	if err != nil {
		return nil, err
	}
	hello := c.Peer()
	e.sessions.Heartbeat(hello.Name, hello.Incarnation, hb)
	_, revision := e.machine.Config()
	return wire.HeartbeatAck{Seq: hb.Seq, Revision: revision}, nil
}

// handleFenceQuery returns the agent's current order after a quorum round.
func (e *Entry) handleFenceQuery(ctx context.Context, body cbor.RawMessage) (any, error) {
	var q wire.FenceQuery
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, result.New(result.BadMessage, "decode fence query: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	if err := e.node.Barrier(ctx); err != nil {
		return nil, err
	}
	_, revision := e.machine.Config()
	reply := wire.FenceReply{Index: e.machine.AppliedIndex(), Revision: revision}
	if order, ok := e.machine.Order(q.Agent); ok {
		reply.Order = &order
	}
	return reply, nil
}
