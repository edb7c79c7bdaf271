package agent

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

func errNoEntry() error {
	return result.New(result.LinkLost, "no link to any entry")
}

// views joins what the linked entries tell of the fleet. The order and the
// limits come from the newest view that was ever received; the peers are the
// union of what the entries with a live link told.
//
// A fresh agent has no memory of what was in force before it started, and the
// entry that it reaches first may be cut off and behind. So nothing is put in
// force until a quorum has told the revision and fence below which a view is
// old.
type views struct {
	log *slog.Logger
	// linked tells whether an entry has a live link.
	linked func(entry string) bool
	// apply puts a view in force.
	apply func(view wire.AgentView)

	// mu guards the fields below and orders the calls of apply.
	mu      sync.Mutex
	current wire.AgentView
	floor   floor
	inForce uint64
	peers   map[string][]wire.Peer
}

// floor is what a quorum told to be in force already.
type floor struct {
	known    bool
	revision uint64
	fence    uint64
}

func (f floor) admits(view wire.AgentView) bool {
	return f.known && view.Revision >= f.revision && fenceIndex(view) >= f.fence
}

func newViews(log *slog.Logger, linked func(entry string) bool, apply func(view wire.AgentView)) *views {
	return &views{log: log, linked: linked, apply: apply, peers: make(map[string][]wire.Peer)}
}

// Notify implements link.Handler.
func (v *views) Notify(c *link.Conn, kind wire.Kind, body cbor.RawMessage) {
	if kind != wire.KindAgentView {
		return
	}
	var view wire.AgentView
	if err := cbor.Unmarshal(body, &view); err != nil {
		v.log.Warn("view unreadable", "entry", c.Peer().Name, "code", int(result.BadMessage), "error", err)
		return
	}
	v.receive(c.Peer().Name, view)
}

// Call implements link.Handler: entries call nothing of an agent.
func (v *views) Call(_ context.Context, _ *link.Conn, kind wire.Kind, _ cbor.RawMessage) (any, error) {
	return nil, result.New(result.BadMessage, "kind %d", kind)
}

func (v *views) receive(entry string, view wire.AgentView) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.peers[entry] = view.Peers
	v.forgetLostEntries(entry)
	if isNewer(view, v.current) {
		v.current = view
	}
	v.putInForce()
}

// raiseFloor takes in the answer of a quorum.
func (v *views) raiseFloor(reply wire.FenceReply) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.floor.known = true
	v.floor.revision = max(v.floor.revision, reply.Revision)
	if reply.Order != nil {
		v.floor.fence = max(v.floor.fence, reply.Order.Fence.Index)
	}
	v.putInForce()
}

// putInForce applies the newest view unless it is older than the floor. The
// caller holds mu.
func (v *views) putInForce() {
	if !v.floor.admits(v.current) || v.current.Revision == 0 {
		return
	}
	v.inForce = v.current.Revision
	merged := v.current
	merged.Peers = v.unionPeers()
	v.apply(merged)
}

// isNewer keeps the revision and the fence from ever going back.
func isNewer(next, current wire.AgentView) bool {
	if fenceIndex(next) != fenceIndex(current) {
		return fenceIndex(next) > fenceIndex(current)
	}
	return next.Revision >= current.Revision
}

func fenceIndex(view wire.AgentView) uint64 {
	if view.Order == nil {
		return 0
	}
	return view.Order.Fence.Index
}

func (v *views) forgetLostEntries(sender string) {
	for name := range v.peers {
		if name != sender && !v.linked(name) {
			delete(v.peers, name)
		}
	}
}

func (v *views) unionPeers() []wire.Peer {
	byName := make(map[string]wire.Peer)
	for _, entry := range slices.Sorted(maps.Keys(v.peers)) {
		for _, p := range v.peers[entry] {
			byName[p.Name] = p
		}
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b wire.Peer) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// revision returns the configuration's revision in force on this agent.
func (v *views) revision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.inForce
}
