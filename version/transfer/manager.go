// Package transfer moves the chunks of versions between the sources and the
// agents, verifies them and assembles whole versions in the spool.
//
// Each version being fetched is a task: one goroutine owns the planner's table
// and starts the requests that it plans; one goroutine for each neighbor waits
// for that neighbor's news. Chunks are verified when they arrive and again
// when the version is assembled.
//
// Lock order: Manager.mu before publication.mu; the store's mutex is taken
// under neither.
package transfer

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/version/manifest"
	"github.com/waxwingpost/waxwingpost/version/planner"
	"github.com/waxwingpost/waxwingpost/version/store"
)

// Manager runs the transfers of one agent. All methods are safe for
// concurrent use.
type Manager struct {
	cfg    Config
	store  *store.Store
	client *http.Client
	auth   link.Authenticator
	clock  clockwork.Clock
	log    *slog.Logger
	scope  tally.Scope
	// up and down pace this VM's link.
	up, down *bucket
	near     chan struct{}
	far      chan struct{}
	seqBase  uint64

	mu   sync.Mutex
	view *wire.AgentView
	live int
	// yielding is set while requests are live and for LiveHold after.
	yielding bool
	lastLive time.Time
	pairs    map[string]*bucket
	tasks    map[manifest.Digest]*task
	// known holds the manifests whose chunks this agent serves, by digest.
	known map[manifest.Digest]*publication
	// staged lists assembled versions, the last used at the end.
	staged []*manifest.Manifest
	last   *task
	// viewChanged is closed and replaced when a view arrives.
	viewChanged chan struct{}
}

// New returns a manager over a store. Requests go through rt.
func New(cfg Config, st *store.Store, rt http.RoundTripper, auth link.Authenticator,
	clock clockwork.Clock, rnd *rand.Rand, log *slog.Logger, scope tally.Scope,
) *Manager {
	cfg = cfg.withDefaults()
	return &Manager{
		cfg:         cfg,
		store:       st,
		client:      &http.Client{Transport: rt},
		auth:        auth,
		clock:       clock,
		log:         log,
		scope:       scope.SubScope("transfer"),
		up:          newBucket(clock, 0),
		down:        newBucket(clock, 0),
		near:        make(chan struct{}, cfg.UploadSlots),
		far:         make(chan struct{}, cfg.FarSlots),
		seqBase:     rnd.Uint64() >> 1,
		pairs:       make(map[string]*bucket),
		tasks:       make(map[manifest.Digest]*task),
		known:       make(map[manifest.Digest]*publication),
		viewChanged: make(chan struct{}),
	}
}

// SetView takes the newest view. A view with a lower revision or fence than
// the one before is ignored.
func (m *Manager) SetView(v wire.AgentView) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view != nil && older(v, *m.view) {
		return
	}
	m.view = &v
	m.paceLocked()
	for i := range v.Manifests {
		m.publishLocked(&v.Manifests[i])
	}
	close(m.viewChanged)
	m.viewChanged = make(chan struct{})
}

func older(v, w wire.AgentView) bool {
	return v.Revision < w.Revision || fenceOf(v) < fenceOf(w)
}

func fenceOf(v wire.AgentView) uint64 {
	if v.Order == nil {
		return 0
	}
	return v.Order.Fence.Index
}

// currentView returns the view, which may be nil, and a channel that is closed
// when the next one arrives. The view must not be changed.
func (m *Manager) currentView() (*wire.AgentView, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view, m.viewChanged
}

// SetLiveRequests tells how many live requests are running or waiting on this
// agent; transfers take a smaller share of the links while there are any and
// for LiveHold after. It is to be called several times a second.
func (m *Manager) SetLiveRequests(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.live = n
	if n > 0 {
		m.lastLive = now
	}
	yielding := n > 0 || !m.lastLive.IsZero() && now.Sub(m.lastLive) < m.cfg.LiveHold
	if yielding != m.yielding {
		m.yielding = yielding
		m.paceLocked()
	}
}

// paceLocked sets the rates of all buckets. Pairs of regions always keep the
// live share free: requests of other VMs use them too.
func (m *Manager) paceLocked() {
	if m.view == nil {
		return
	}
	rest := transferShare(m.view)
	vmRate := float64(m.view.VMBytesPerSecond)
	if m.yielding {
		vmRate *= rest
	}
	m.up.setRate(vmRate)
	m.down.setRate(vmRate)
	for _, b := range m.pairs {
		b.setRate(m.pairRateLocked())
	}
}

// minTransferShare is what transfers keep of a link whatever the live share
// is: a rate of zero would mean unlimited.
const minTransferShare = 0.02

// transferShare is the part of a link that transfers may take while requests
// are live.
func transferShare(v *wire.AgentView) float64 {
	return min(max(1-v.LiveShare, minTransferShare), 1)
}

// pairRateLocked is this agent's part of a pair of regions: only the fetchers
// of a region cross it, each with an equal part.
func (m *Manager) pairRateLocked() float64 {
	rest := transferShare(m.view)
	members := 1
	for _, p := range m.view.Peers {
		if p.Region == m.cfg.Self.Region && p.Name != m.cfg.Self.Name {
			members++
		}
	}
	fetchers := min(members, m.cfg.Planner.Fetchers)
	return float64(m.view.RegionPairBytesPerSecond) * rest / float64(fetchers)
}

// pair returns the bucket for what comes from another region.
func (m *Manager) pair(region string) *bucket {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.pairs[region]
	if b == nil {
		b = newBucket(m.clock, 0)
		m.pairs[region] = b
		if m.view != nil {
			b.setRate(m.pairRateLocked())
		}
	}
	return b
}

// Staged lists the versions that are whole and verified in the spool.
func (m *Manager) Staged() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.staged))
	for _, s := range m.staged {
		names = append(names, s.Version)
	}
	return names
}

// Progress tells how far the latest transfer is.
func (m *Manager) Progress() wire.Transfer {
	m.mu.Lock()
	t := m.last
	m.mu.Unlock()
	if t == nil {
		return wire.Transfer{}
	}
	return t.progress()
}

// Fetch returns the path of a file that holds the whole version, verified. It
// fetches what is missing and returns when the file is there or ctx ends.
// Concurrent calls for one version share the work, which stops when the last
// of them has given up.
func (m *Manager) Fetch(ctx context.Context, man *manifest.Manifest) (string, error) {
	if err := man.Validate(); err != nil {
		return "", err
	}
	if path, ok := m.store.Whole(man); ok {
		m.noteStaged(man)
		return path, nil
	}
	t := m.join(man)
	defer m.leave(t)
	select {
	case <-t.done:
		return t.path, t.err
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// join returns the task of a manifest, starting it if there is none.
func (m *Manager) join(man *manifest.Manifest) *task {
	d := man.Digest()
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tasks[d]
	if t == nil {
		t = newTask(m, man, m.publishLocked(man))
		m.tasks[d] = t
		go t.run()
	}
	t.users++
	m.last = t
	return t
}

// leave stops the task when nobody waits for it any more.
func (m *Manager) leave(t *task) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.users--
	if t.users > 0 {
		return
	}
	t.cancel()
	if d := t.man.Digest(); m.tasks[d] == t {
		delete(m.tasks, d)
	}
}

// publishLocked returns the publication of a manifest, creating it if needed.
func (m *Manager) publishLocked(man *manifest.Manifest) *publication {
	d := man.Digest()
	p := m.known[d]
	if p == nil {
		p = newPublication(man, m.seqBase)
		m.known[d] = p
	}
	return p
}

// noteStaged records an assembled version and lets peers see all its chunks.
func (m *Manager) noteStaged(man *manifest.Manifest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := man.Digest()
	m.staged = slices.DeleteFunc(m.staged, func(s *manifest.Manifest) bool { return s.Digest() == d })
	m.staged = append(m.staged, man)
	m.publishLocked(man).complete()
}

// collect drops what neither the view, a task nor the latest of the other
// staged versions need. Chunks in common with a kept version stay.
func (m *Manager) collect() {
	m.mu.Lock()
	keep := m.neededLocked()
	kept := make(map[manifest.Digest]bool, len(keep))
	for _, man := range keep {
		kept[man.Digest()] = true
	}
	spare := m.cfg.KeepVersions
	for _, man := range slices.Backward(m.staged) {
		if d := man.Digest(); !kept[d] && spare > 0 {
			spare--
			kept[d] = true
			keep = append(keep, man)
		}
	}
	m.staged = slices.DeleteFunc(m.staged, func(man *manifest.Manifest) bool { return !kept[man.Digest()] })
	maps.DeleteFunc(m.known, func(d manifest.Digest, _ *publication) bool { return !kept[d] })
	m.mu.Unlock()
	m.store.Keep(keep...)
}

// neededLocked returns the manifests of the view and of all tasks.
func (m *Manager) neededLocked() []*manifest.Manifest {
	var needed []*manifest.Manifest
	if m.view != nil {
		for i := range m.view.Manifests {
			needed = append(needed, &m.view.Manifests[i])
		}
	}
	for _, t := range m.tasks {
		needed = append(needed, t.man)
	}
	return needed
}

// members returns the agents that take part in a transfer: those that are
// ordered to hold the same version or, for an adapter, the version it goes with.
func (m *Manager) members(v *wire.AgentView, version string) map[string]wire.Peer {
	if v.Order != nil && slices.Contains(v.Order.Adapters, version) {
		version = v.Order.Version
	}
	self := m.cfg.Self
	members := map[string]wire.Peer{self.Name: self}
	for _, p := range v.Peers {
		if p.Name != self.Name && p.Version == version {
			members[p.Name] = p
		}
	}
	return members
}

// links returns what a transfer among the members can count on.
func links(v *wire.AgentView, members map[string]wire.Peer) planner.Links {
	regions := make(map[string]bool)
	for _, p := range members {
		regions[p.Region] = true
	}
	l := planner.Links{
		RegionPair: int64(float64(v.RegionPairBytesPerSecond) * transferShare(v)),
		VM:         v.VMBytesPerSecond,
		Regions:    len(regions),
	}
	for _, s := range v.Sources {
		l.Sources += s.BytesPerSecond
		l.SourceInside = l.SourceInside || regions[s.Region]
	}
	return l
}

// estimate returns how a version enters the regions.
func estimate(l planner.Links, objective string, size int64) planner.Estimate {
	if objective == config.ObjectiveOriginBytes {
		return planner.FewestBytes(l, size)
	}
	return planner.Fastest(l, size)
}

// Dump returns the state for operators.
func (m *Manager) Dump() any {
	used := m.store.Used()
	m.mu.Lock()
	defer m.mu.Unlock()
	d := dump{SpoolBytes: used, LiveRequests: m.live, Staged: make([]string, 0, len(m.staged))}
	for _, s := range m.staged {
		d.Staged = append(d.Staged, s.Version)
	}
	for _, t := range m.tasks {
		d.Tasks = append(d.Tasks, t.dump())
	}
	return d
}

type dump struct {
	SpoolBytes   int64      `json:"spool_bytes"`
	LiveRequests int        `json:"live_requests"`
	Staged       []string   `json:"staged"`
	Tasks        []taskDump `json:"tasks"`
}

type taskDump struct {
	Transfer wire.Transfer    `json:"transfer"`
	Estimate planner.Estimate `json:"estimate"`
	Fetcher  bool             `json:"fetcher"`
	Peers    []string         `json:"peers"`
}
