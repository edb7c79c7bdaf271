package controller

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/observation"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// acceptLink registers a link that another process dialed. The returned function
// is called when the link closes.
func (c *Controller) acceptLink(l *link.Conn) (func(), error) {
	switch l.Peer().Role {
	case wire.RoleControl:
		return c.mesh.Add(l), nil
	case wire.RoleEntry, wire.RoleAgent:
		c.Log.Info("follower connected", "name", l.Peer().Name, "role", l.Peer().Role)
		return func() {
			c.hub.RemoveFollower(l)
			c.Log.Info("follower disconnected", "name", l.Peer().Name, "role", l.Peer().Role)
		}, nil
	default:
		return nil, result.New(result.BadMessage, "unknown role %q", l.Peer().Role)
	}
}

// onLinkOpened sends the full state to a control process.
func (c *Controller) onLinkOpened(l *link.Conn) {
	update := c.hub.FullState()
	// Control processes replicate the desired state through the Raft log.
	update.Revision, update.ConfigVersion, update.Weights = 0, 0, nil
	_ = l.Notify(wire.KindUpdate, update)
}

// Notify implements link.Handler.
func (c *Controller) Notify(l *link.Conn, kind wire.Kind, body cbor.RawMessage) {
	switch l.Peer().Role {
	case wire.RoleControl:
		c.notifyFromControl(l, kind, body)
	case wire.RoleEntry:
		c.notifyFromEntry(l, kind, body)
	case wire.RoleAgent:
		c.notifyFromAgent(l, kind, body)
	}
}

func (c *Controller) notifyFromControl(l *link.Conn, kind wire.Kind, body cbor.RawMessage) {
	switch kind {
	case wire.KindRaft:
		if r := c.replica.Load(); r != nil {
			if err := r.node.Notify(l.Peer(), kind, body); result.CodeOf(err) == result.BadMessage {
				l.Close()
			}
		}
	case wire.KindUpdate:
		var update wire.Update
		if c.decodeMessage(l, kind, body, &update) {
			c.hub.ApplyPeerUpdate(update)
		}
	}
}

func (c *Controller) notifyFromEntry(l *link.Conn, kind wire.Kind, body cbor.RawMessage) {
	switch kind {
	case wire.KindDemand:
		var demand wire.Demand
		if c.decodeMessage(l, kind, body, &demand) {
			c.hub.SetDemand(l, demand)
		}
	case wire.KindObservations:
		var records []observation.Record
		if c.decodeMessage(l, kind, body, &records) {
			c.hub.Observe(records)
		}
	}
}

func (c *Controller) notifyFromAgent(l *link.Conn, kind wire.Kind, body cbor.RawMessage) {
	switch kind {
	case wire.KindEngine:
		var state wire.EngineState
		if c.decodeMessage(l, kind, body, &state) {
			c.hub.UpdateEngine(state)
		}
	case wire.KindPace:
		var pace directory.EnginePace
		if c.decodeMessage(l, kind, body, &pace) {
			c.hub.UpdatePace(pace)
		}
	case wire.KindPieceDigests:
		var digests wire.PieceDigests
		if c.decodeMessage(l, kind, body, &digests) {
			c.reportDigests(digests)
		}
	case wire.KindServer:
		var server directory.Server
		if c.decodeMessage(l, kind, body, &server) && server.ID != "" {
			c.hub.Heartbeat(server)
		}
	}
}

func (c *Controller) decodeMessage(l *link.Conn, kind wire.Kind, body cbor.RawMessage, v any) bool {
	err := wire.Decode(body, v)
	if err != nil {
		c.Log.Warn("failed to decode message", "from", l.Peer().Name, "kind", int(kind), "code", int(result.BadMessage), "error", err)
	}
	return err == nil
}

// Call implements link.Handler.
func (c *Controller) Call(ctx context.Context, l *link.Conn, kind wire.Kind, body cbor.RawMessage) (any, error) {
	switch {
	case kind == wire.KindFollow:
		var q wire.FollowRequest
		if err := wire.Decode(body, &q); err != nil {
			return nil, result.New(result.BadMessage, "decode follow request: %v", err)
		}
		update := c.hub.AddFollower(l, q)
		if n := int64(c.hub.EntryCount()); n > c.maxEntries.Load() {
			c.maxEntries.Store(n)
		}
		return update, nil
	case kind == wire.KindConfigDocument:
		return c.hub.ConfigDocument(), nil
	case kind == wire.KindDigestsQuery:
		var q wire.DigestsQuery
		if err := wire.Decode(body, &q); err != nil {
			return nil, result.New(result.BadMessage, "decode query of digests: %v", err)
		}
		return c.recordedDigests(q), nil
	case l.Peer().Role == wire.RoleControl:
		if r := c.replica.Load(); r != nil {
			return r.node.Call(ctx, l.Peer(), kind, body)
		}
		return nil, result.Refuse(result.NoQuorum, 0, "the replica is not open")
	default:
		return nil, result.New(result.BadMessage, "unexpected kind %d from role %s", kind, l.Peer().Role)
	}
}
