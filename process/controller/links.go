package controller

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// open takes in a link that another process dialed.
func (c *Controller) open(l *link.Conn) (func(), error) {
	switch l.Peer().Role {
	case wire.RoleControl:
		return c.mesh.Add(l), nil
	case wire.RoleEntry, wire.RoleAgent:
		c.Log.Info("follower joined", "name", l.Peer().Name, "role", l.Peer().Role)
		return func() {
			c.hub.RemoveFollower(l)
			c.Log.Info("follower lost", "name", l.Peer().Name, "role", l.Peer().Role)
		}, nil
	default:
		return nil, result.New(result.BadMessage, "unknown role %q", l.Peer().Role)
	}
}

// opened tells a control process that was linked all that is known here.
func (c *Controller) opened(l *link.Conn) {
	news := c.hub.FullState()
	// What is desired comes with the log.
	news.Revision, news.ConfigVersion, news.Weights = 0, 0, nil
	_ = l.Notify(wire.KindNews, news)
}

// Notify implements link.Handler.
func (c *Controller) Notify(l *link.Conn, kind wire.Kind, body cbor.RawMessage) {
	switch {
	case kind == wire.KindRaft && l.Peer().Role == wire.RoleControl:
		if r := c.replica.Load(); r != nil {
			r.node.Notify(l.Peer(), kind, body)
		}
	case kind == wire.KindNews && l.Peer().Role == wire.RoleControl:
		var news wire.News
		if c.decode(l, kind, body, &news) {
			c.hub.ApplyPeerUpdate(news)
		}
	case kind == wire.KindEngine:
		var state wire.EngineState
		if c.decode(l, kind, body, &state) {
			c.hub.UpdateEngine(state)
		}
	case kind == wire.KindServer && l.Peer().Role == wire.RoleAgent:
		var server directory.Server
		if c.decode(l, kind, body, &server) && server.ID != "" {
			c.hub.Heartbeat(server)
		}
	case kind == wire.KindDemand:
		var demand wire.Demand
		if c.decode(l, kind, body, &demand) {
			c.hub.SetDemand(l, demand)
		}
	}
}

func (c *Controller) decode(l *link.Conn, kind wire.Kind, body cbor.RawMessage, v any) bool {
	err := cbor.Unmarshal(body, v)
	if err != nil {
		c.Log.Warn("message unreadable", "from", l.Peer().Name, "kind", int(kind), "code", int(result.BadMessage), "error", err)
	}
	return err == nil
}

// Call implements link.Handler.
func (c *Controller) Call(ctx context.Context, l *link.Conn, kind wire.Kind, body cbor.RawMessage) (any, error) {
	switch {
	case kind == wire.KindFollow:
		var q wire.Follow
		if err := cbor.Unmarshal(body, &q); err != nil {
			return nil, result.New(result.BadMessage, "follow: %v", err)
		}
		news := c.hub.AddFollower(l, q)
		if n := int64(c.hub.EntryCount()); n > c.entriesSeen.Load() {
			c.entriesSeen.Store(n)
		}
		return news, nil
	case kind == wire.KindDocument:
		return c.hub.Document(), nil
	case l.Peer().Role == wire.RoleControl:
		if r := c.replica.Load(); r != nil {
			return r.node.Call(ctx, l.Peer(), kind, body)
		}
		return nil, result.Refuse(result.NoQuorum, 0, "the replica is not open")
	default:
		return nil, result.New(result.BadMessage, "kind %d from role %s", kind, l.Peer().Role)
	}
}
