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

// viewMerger merges the views of the linked entries. The order and the limits come
// from the newest view that was ever received; the peers are the union over the
// entries with an open link.
//
// After a restart the agent does not know what was in force before, and the entry
// that it reaches first may be cut off and behind. No view is therefore applied
// until a quorum has returned the floor: the revision and fence below which a view
// is stale.
type viewMerger struct {
	log *slog.Logger
	// linked reports whether there is an open link to an entry.
	linked func(entry string) bool
	// apply puts a view in force on this agent.
	apply func(view wire.AgentView)

	// mu guards the fields below and orders the calls of apply.
	mu              sync.Mutex
	current         wire.AgentView
	floor           floor
	appliedRevision uint64
	peers           map[string][]wire.Peer
}

// floor is the lowest revision and fence that a quorum allows this agent to apply.
type floor struct {
	known    bool
	revision uint64
	fence    uint64
}

func (f floor) allows(view wire.AgentView) bool {
	return f.known && view.Revision >= f.revision && fenceIndex(view) >= f.fence
}

func newViewMerger(log *slog.Logger, linked func(entry string) bool, apply func(view wire.AgentView)) *viewMerger {
	return &viewMerger{log: log, linked: linked, apply: apply, peers: make(map[string][]wire.Peer)}
}

// Notify implements link.Handler.
func (v *viewMerger) Notify(c *link.Conn, kind wire.Kind, body cbor.RawMessage) {
	if kind != wire.KindAgentView {
		return
	}
	var view wire.AgentView
	if err := cbor.Unmarshal(body, &view); err != nil {
		v.log.Warn("failed to decode view", "entry", c.Peer().Name, "code", int(result.BadMessage), "error", err)
		return
	}
	v.receive(c.Peer().Name, view)
}

// Call implements link.Handler. Entries make no calls to agents.
func (v *viewMerger) Call(_ context.Context, _ *link.Conn, kind wire.Kind, _ cbor.RawMessage) (any, error) {
	return nil, result.New(result.BadMessage, "unexpected kind %d", kind)
}

func (v *viewMerger) receive(entry string, view wire.AgentView) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.peers[entry] = view.Peers
	v.removeUnlinkedEntries(entry)
	if isNewer(view, v.current) {
		v.current = view
	}
	v.applyCurrent()
}

// raiseFloor raises the floor to a quorum's reply.
func (v *viewMerger) raiseFloor(reply wire.FenceReply) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.floor.known = true
	v.floor.revision = max(v.floor.revision, reply.Revision)
	if reply.Order != nil {
		v.floor.fence = max(v.floor.fence, reply.Order.Fence.Index)
	}
	v.applyCurrent()
}

// applyCurrent applies the newest view unless it is older than the floor. The
// caller holds mu.
func (v *viewMerger) applyCurrent() {
	if !v.floor.allows(v.current) || v.current.Revision == 0 {
		return
	}
	v.appliedRevision = v.current.Revision
	merged := v.current
	merged.Peers = v.unionPeers()
	v.apply(merged)
}

// isNewer reports whether next replaces current: it must have a higher fence or, at
// the same fence, a revision that is not lower.
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

func (v *viewMerger) removeUnlinkedEntries(sender string) {
	for name := range v.peers {
		if name != sender && !v.linked(name) {
			delete(v.peers, name)
		}
	}
}

func (v *viewMerger) unionPeers() []wire.Peer {
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

// revision returns the revision of the configuration in force on this agent.
func (v *viewMerger) revision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.appliedRevision
}
