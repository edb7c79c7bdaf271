package agent

import (
	"context"
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
type views struct {
	agent *Agent

	// mu guards the fields below and orders the calls of apply.
	mu      sync.Mutex
	current wire.AgentView
	peers   map[string][]wire.Peer
}

func newViews(a *Agent) *views {
	return &views{agent: a, peers: make(map[string][]wire.Peer)}
}

// Notify implements link.Handler.
func (v *views) Notify(c *link.Conn, kind wire.Kind, body cbor.RawMessage) {
	if kind != wire.KindAgentView {
		return
	}
	var view wire.AgentView
	if err := cbor.Unmarshal(body, &view); err != nil {
		v.agent.log.Warn("view unreadable", "entry", c.Peer().Name, "code", int(result.BadMessage), "error", err)
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
		if name != sender && v.agent.mesh.Conn(name) == nil {
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

func (v *views) apply(view wire.AgentView) {
	if v.agent.transfer != nil {
		v.agent.transfer.SetView(view)
	}
	v.agent.loader.SetView(view)
}

// revision returns the configuration's revision in force on this agent.
func (v *views) revision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current.Revision
}
