package entry

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

const (
	// agentRefreshInterval bounds the delay until a change of the agents, without a
	// change of the control state, is sent to the agents.
	agentRefreshInterval = time.Second
	// minViewInterval is the minimum interval between two passes over all agents, which
	// batches changes.
	minViewInterval = 50 * time.Millisecond
)

// agentViews sends every linked agent its AgentView. A view is sent only if it differs
// from the last one that was sent on the link.
type agentViews struct {
	entry *Entry
	wake  chan struct{}

	// mu guards lastSent, the last encoded view that was sent on each link, nil if
	// none was.
	mu       sync.Mutex
	lastSent map[*link.Conn][]byte
}

func newAgentViews(e *Entry) *agentViews {
	return &agentViews{entry: e, wake: make(chan struct{}, 1), lastSent: make(map[*link.Conn][]byte)}
}

func (v *agentViews) add(c *link.Conn) {
	v.mu.Lock()
	v.lastSent[c] = nil
	v.mu.Unlock()
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

func (v *agentViews) remove(c *link.Conn) {
	v.mu.Lock()
	delete(v.lastSent, c)
	v.mu.Unlock()
}

// run sends views until ctx ends.
func (v *agentViews) run(ctx context.Context) {
	ticker := v.entry.Clock.NewTicker(agentRefreshInterval)
	defer ticker.Stop()
	for {
		changed := v.entry.machine.Changed()
		v.sendAll()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-v.wake:
		case <-ticker.Chan():
		}
		select {
		case <-ctx.Done():
			return
		case <-v.entry.Clock.After(minViewInterval):
		}
	}
}

func (v *agentViews) sendAll() {
	cfg, revision := v.entry.machine.Config()
	if revision == 0 {
		return
	}
	common := v.commonView(cfg, revision)
	v.mu.Lock()
	conns := maps.Clone(v.lastSent)
	v.mu.Unlock()
	for c, last := range conns {
		v.send(c, last, v.agentView(common, cfg, c.Peer()))
	}
}

// send sends a view unless it equals the last one.
func (v *agentViews) send(c *link.Conn, last []byte, view wire.AgentView) {
	encoded, err := cbor.Marshal(view)
	if err != nil || bytes.Equal(encoded, last) {
		return
	}
	if err := c.Notify(wire.KindAgentView, cbor.RawMessage(encoded)); err != nil {
		return
	}
	v.mu.Lock()
	if _, ok := v.lastSent[c]; ok {
		v.lastSent[c] = encoded
	}
	v.mu.Unlock()
}

// commonView returns the part that all agents' views share.
func (v *agentViews) commonView(cfg *config.Config, revision uint64) wire.AgentView {
	view := wire.AgentView{
		Revision:                 revision,
		Sources:                  wireSources(cfg),
		Objective:                cfg.Weights.Objective,
		RegionPairBytesPerSecond: cfg.Links.RegionPairBytesPerSecond,
		VMBytesPerSecond:         cfg.Links.VMBytesPerSecond,
		LiveShare:                cfg.Links.LiveShare,
	}
	for _, s := range v.entry.sessions.Statuses() {
		view.Peers = append(view.Peers, v.peerOf(s))
	}
	return view
}

func (v *agentViews) peerOf(s wire.AgentStatus) wire.Peer {
	p := wire.Peer{Name: s.Name, Address: s.Address, Zone: s.Zone, Region: s.Region}
	if order, ok := v.entry.machine.Order(s.Name); ok {
		p.Version = order.Version
	}
	return p
}

// agentView completes the common view with the order of one agent.
func (v *agentViews) agentView(view wire.AgentView, cfg *config.Config, hello wire.Hello) wire.AgentView {
	view.FencingIgnored = cfg.Services[hello.Service].Fencing == config.FencingIgnored
	order, ok := v.entry.machine.Order(hello.Name)
	if !ok {
		return view
	}
	view.Order = &order
	view.Manifests, view.Paths = v.manifests(cfg, order)
	return view
}

// manifests returns the manifests of the versions that an order names, and the path of
// each version at the sources.
func (v *agentViews) manifests(cfg *config.Config, order control.Order) ([]manifest.Manifest, map[string]string) {
	var manifests []manifest.Manifest
	paths := make(map[string]string)
	names := slices.Concat([]string{order.Version, order.Keep}, order.Adapters, order.KeepAdapters)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if m, ok := v.entry.machine.Manifest(name); ok {
			manifests = append(manifests, *m)
			paths[name] = cfg.Versions[name].Path
		}
	}
	return manifests, paths
}

// wireSources returns the sources in wire format: stores before origins, then by
// name.
func wireSources(cfg *config.Config) []wire.Source {
	sources := make([]wire.Source, 0, len(cfg.Sources))
	for _, name := range slices.Sorted(maps.Keys(cfg.Sources)) {
		s := cfg.Sources[name]
		sources = append(sources, wire.Source{
			Name:           name,
			Kind:           s.Kind,
			Address:        s.Address,
			Zone:           s.Zone,
			Region:         cfg.Zones[s.Zone].Region,
			BytesPerSecond: s.BytesPerSecond,
		})
	}
	slices.SortStableFunc(sources, func(a, b wire.Source) int {
		return sourceRank(a.Kind) - sourceRank(b.Kind)
	})
	return sources
}

func sourceRank(kind string) int {
	if kind == config.SourceStore {
		return 0
	}
	return 1
}
