// Package transfer transfers the chunks of versions from sources and other
// agents, verifies them and assembles complete versions in the spool.
//
// Each version being fetched is a task: one goroutine owns the planner's table
// and starts the requests that it plans; one goroutine for each neighbor polls
// that neighbor for the chunks that it holds. Chunks are verified when they
// arrive and again when the version is assembled.
//
// Lock order: Manager.mu before publication.mu. The store's mutex must not be
// acquired while either is held.
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
	// uploadBucket and downloadBucket limit the rates of this VM's link.
	uploadBucket, downloadBucket *bucket
	nearSlots                    chan struct{}
	farSlots                     chan struct{}
	// seqBase is the random start of the sequence numbers of publications, so that
	// peers notice a restart of this agent.
	seqBase uint64

	mu           sync.Mutex
	view         *wire.AgentView
	liveRequests int
	// yielding is set while requests are live and for LiveHold after.
	yielding    bool
	lastLive    time.Time
	pairBuckets map[string]*bucket
	tasks       map[manifest.Digest]*task
	// publications holds the manifests whose chunks this agent serves, by digest.
	publications map[manifest.Digest]*publication
	// staged lists the assembled versions, the most recently used last.
	staged []*manifest.Manifest
	latest *task
	// viewChanged is closed and replaced when a view arrives.
	viewChanged chan struct{}
}

// New returns a manager over a store. Requests go through rt.
func New(cfg Config, st *store.Store, rt http.RoundTripper, auth link.Authenticator,
	clock clockwork.Clock, rnd *rand.Rand, log *slog.Logger, scope tally.Scope,
) *Manager {
	cfg = cfg.withDefaults()
	return &Manager{
		cfg:            cfg,
		store:          st,
		client:         &http.Client{Transport: rt},
		auth:           auth,
		clock:          clock,
		log:            log,
		scope:          scope.SubScope("transfer"),
		uploadBucket:   newBucket(clock, 0),
		downloadBucket: newBucket(clock, 0),
		nearSlots:      make(chan struct{}, cfg.UploadSlots),
		farSlots:       make(chan struct{}, cfg.FarSlots),
		seqBase:        rnd.Uint64() >> 1,
		pairBuckets:    make(map[string]*bucket),
		tasks:          make(map[manifest.Digest]*task),
		publications:   make(map[manifest.Digest]*publication),
		viewChanged:    make(chan struct{}),
	}
}

// SetView sets the current view. A view with a lower revision or fence than the
// current one is ignored.
func (m *Manager) SetView(v wire.AgentView) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view != nil && isOlder(v, *m.view) {
		return
	}
	m.view = &v
	m.applyRatesLocked()
	for i := range v.Manifests {
		m.publicationLocked(&v.Manifests[i])
	}
	close(m.viewChanged)
	m.viewChanged = make(chan struct{})
}

func isOlder(v, w wire.AgentView) bool {
	return v.Revision < w.Revision || fenceIndex(v) < fenceIndex(w)
}

func fenceIndex(v wire.AgentView) uint64 {
	if v.Order == nil {
		return 0
	}
	return v.Order.Fence.Index
}

// currentView returns the view, which may be nil, and a channel that is closed
// when the next one arrives. The caller must not modify the view.
func (m *Manager) currentView() (*wire.AgentView, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view, m.viewChanged
}

// SetLiveRequests sets the number of live requests that are running or waiting
// on this agent. Transfers use a smaller share of the links while there are any
// and for LiveHold after. The caller must call it several times a second.
func (m *Manager) SetLiveRequests(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.liveRequests = n
	if n > 0 {
		m.lastLive = now
	}
	yielding := n > 0 || !m.lastLive.IsZero() && now.Sub(m.lastLive) < m.cfg.LiveHold
	if yielding != m.yielding {
		m.yielding = yielding
		m.applyRatesLocked()
	}
}

// applyRatesLocked sets the rates of all buckets. On region pairs the live share
// is always kept free, since requests of other VMs use them too.
func (m *Manager) applyRatesLocked() {
	if m.view == nil {
		return
	}
	share := transferShare(m.view)
	vmRate := float64(m.view.VMBytesPerSecond)
	if m.yielding {
		vmRate *= share
	}
	m.uploadBucket.setRate(vmRate)
	m.downloadBucket.setRate(vmRate)
	for _, b := range m.pairBuckets {
		b.setRate(m.pairRateLocked())
	}
}

// minTransferShare is the smallest share of a link that transfers keep, even at a
// live share of 1: a rate of zero would mean unlimited.
const minTransferShare = 0.02

// transferShare returns the share of a link that transfers may use while
// requests are live.
func transferShare(v *wire.AgentView) float64 {
	return min(max(1-v.LiveShare, minTransferShare), 1)
}

// pairRateLocked returns this agent's part of the rate of a region pair. Only the
// fetchers of a region transfer between regions, each with an equal part.
func (m *Manager) pairRateLocked() float64 {
	share := transferShare(m.view)
	members := 1
	for _, p := range m.view.Peers {
		if p.Region == m.cfg.Self.Region && p.Name != m.cfg.Self.Name {
			members++
		}
	}
	fetchers := min(members, m.cfg.Planner.Fetchers)
	return float64(m.view.RegionPairBytesPerSecond) * share / float64(fetchers)
}

// pairBucket returns the bucket for transfers from another region.
func (m *Manager) pairBucket(region string) *bucket {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.pairBuckets[region]
	if b == nil {
		b = newBucket(m.clock, 0)
		m.pairBuckets[region] = b
		if m.view != nil {
			b.setRate(m.pairRateLocked())
		}
	}
	return b
}

// Staged returns the versions that are complete and verified in the spool.
func (m *Manager) Staged() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.staged))
	for _, s := range m.staged {
		names = append(names, s.Version)
	}
	return names
}

// Progress returns the progress of the latest transfer.
func (m *Manager) Progress() wire.Transfer {
	m.mu.Lock()
	t := m.latest
	m.mu.Unlock()
	if t == nil {
		return wire.Transfer{}
	}
	return t.progress()
}

// Fetch returns the path of a file with the complete, verified version. It
// fetches missing chunks and returns when the file is ready or ctx ends.
// Concurrent calls for one version share a task, which is canceled when the last
// of them returns.
func (m *Manager) Fetch(ctx context.Context, man *manifest.Manifest) (string, error) {
	if err := man.Validate(); err != nil {
		return "", err
	}
	if path, ok := m.store.AssembledPath(man); ok {
		m.markStaged(man)
		return path, nil
	}
	t := m.acquireTask(man)
	defer m.releaseTask(t)
	select {
	case <-t.done:
		return t.path, t.err
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// acquireTask returns the task of a manifest and starts it if there is none.
func (m *Manager) acquireTask(man *manifest.Manifest) *task {
	d := man.Digest()
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tasks[d]
	if t == nil {
		t = newTask(m, man, m.publicationLocked(man))
		m.tasks[d] = t
		go t.run()
	}
	t.users++
	m.latest = t
	return t
}

// releaseTask cancels the task if no other caller waits for it.
func (m *Manager) releaseTask(t *task) {
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

// publicationLocked returns the publication of a manifest and creates it if
// there is none.
func (m *Manager) publicationLocked(man *manifest.Manifest) *publication {
	d := man.Digest()
	p := m.publications[d]
	if p == nil {
		p = newPublication(man, m.seqBase)
		m.publications[d] = p
	}
	return p
}

// markStaged records an assembled version and publishes all its chunks to peers.
func (m *Manager) markStaged(man *manifest.Manifest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := man.Digest()
	m.staged = slices.DeleteFunc(m.staged, func(s *manifest.Manifest) bool { return s.Digest() == d })
	m.staged = append(m.staged, man)
	m.publicationLocked(man).setComplete()
}

// collectGarbage deletes the versions that are neither in the view, nor used by a
// task, nor among the KeepVersions most recently used of the other staged
// versions. Chunks that a kept version shares stay.
func (m *Manager) collectGarbage() {
	m.mu.Lock()
	keep := m.neededManifestsLocked()
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
	maps.DeleteFunc(m.publications, func(d manifest.Digest, _ *publication) bool { return !kept[d] })
	m.mu.Unlock()
	m.store.RetainOnly(keep...)
}

// neededManifestsLocked returns the manifests of the view and of all tasks.
func (m *Manager) neededManifestsLocked() []*manifest.Manifest {
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

// members returns the agents in a transfer: those that are ordered to hold the
// same version or, for an adapter, the version that the adapter belongs to.
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

// memberLinks returns the link rates available to a transfer among the members.
func memberLinks(v *wire.AgentView, members map[string]wire.Peer) planner.Links {
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

// estimate returns the transfer estimate for the objective: the fewest bytes from
// the sources or the shortest duration.
func estimate(l planner.Links, objective string, size int64) planner.Estimate {
	if objective == config.ObjectiveOriginBytes {
		return planner.FewestBytesEstimate(l, size)
	}
	return planner.FastestEstimate(l, size)
}

// Dump returns the state for operators to inspect.
func (m *Manager) Dump() any {
	used := m.store.Used()
	m.mu.Lock()
	defer m.mu.Unlock()
	d := dump{SpoolBytes: used, LiveRequests: m.liveRequests, Staged: make([]string, 0, len(m.staged))}
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
