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
	// peerRefresh is how often a change of the agents alone, without a change
	// of the control state, reaches the agents.
	peerRefresh = time.Second
	// minViewInterval joins the changes that come close together into one pass.
	minViewInterval = 50 * time.Millisecond
)

// views keeps every linked agent's AgentView current. A view is sent only when
// it differs from the last one that was sent on the link.
type views struct {
	entry *Entry
	wake  chan struct{}

	// mu guards conns.
	mu    sync.Mutex
	conns map[*link.Conn][]byte
}

func newViews(e *Entry) *views {
	return &views{entry: e, wake: make(chan struct{}, 1), conns: make(map[*link.Conn][]byte)}
}

func (v *views) add(c *link.Conn) {
	v.mu.Lock()
	v.conns[c] = nil
	v.mu.Unlock()
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

func (v *views) remove(c *link.Conn) {
	v.mu.Lock()
	delete(v.conns, c)
	v.mu.Unlock()
}

// run sends views until ctx ends.
func (v *views) run(ctx context.Context) {
	ticker := v.entry.Clock.NewTicker(peerRefresh)
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

func (v *views) sendAll() {
	cfg, revision := v.entry.machine.Config()
	if revision == 0 {
		return
	}
	common := v.common(cfg, revision)
	v.mu.Lock()
	conns := maps.Clone(v.conns)
	v.mu.Unlock()
	for c, last := range conns {
		v.send(c, last, v.forAgent(common, cfg, c.Peer()))
	}
}

func (v *views) send(c *link.Conn, last []byte, view wire.AgentView) {
	encoded, err := cbor.Marshal(view)
	if err != nil || bytes.Equal(encoded, last) {
		return
	}
	if err := c.Notify(wire.KindAgentView, cbor.RawMessage(encoded)); err != nil {
		return
	}
	v.mu.Lock()
	if _, ok := v.conns[c]; ok {
		v.conns[c] = encoded
	}
	v.mu.Unlock()
}

// common fills what all agents' views share.
func (v *views) common(cfg *config.Config, revision uint64) wire.AgentView {
	view := wire.AgentView{
		Revision:                 revision,
		Sources:                  wireSources(cfg),
		Objective:                cfg.Weights.Objective,
		RegionPairBytesPerSecond: cfg.Links.RegionPairBytesPerSecond,
		VMBytesPerSecond:         cfg.Links.VMBytesPerSecond,
		LiveShare:                cfg.Links.LiveShare,
	}
	for _, s := range v.entry.sessions.Statuses() {
		view.Peers = append(view.Peers, v.peer(s))
	}
	return view
}

func (v *views) peer(s wire.AgentStatus) wire.Peer {
	p := wire.Peer{Name: s.Name, Address: s.Address, Zone: s.Zone, Region: s.Region}
	if order, ok := v.entry.machine.Order(s.Name); ok {
		p.Version = order.Version
	}
	return p
}

func (v *views) forAgent(view wire.AgentView, cfg *config.Config, hello wire.Hello) wire.AgentView {
	view.FencingIgnored = cfg.Services[hello.Service].Fencing == config.FencingIgnored
	order, ok := v.entry.machine.Order(hello.Name)
	if !ok {
		return view
	}
	view.Order = &order
	view.Manifests, view.Paths = v.manifests(cfg, order)
	return view
}

func (v *views) manifests(cfg *config.Config, order control.Order) ([]manifest.Manifest, map[string]string) {
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

// wireSources lists the sources as agents see them: stores before origins,
// then by name.
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
