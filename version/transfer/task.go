package transfer

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

// maxPause is the longest that a task goes without planning.
const maxPause = time.Second

// counters are the bytes and chunks of a task.
type counters struct {
	done, fromOrigin, fromStore, fromPeers, cross, corrupt atomic.Int64
}

// task fetches one version. Its table and peers belong to the goroutine of
// run; events carries what other goroutines have to tell it.
type task struct {
	m      *Manager
	man    *manifest.Manifest
	pub    *publication
	ctx    context.Context
	cancel context.CancelFunc
	epoch  time.Time
	events chan func()
	count  counters
	// users is guarded by Manager.mu.
	users int

	table   *planner.Table
	offsets []int64
	// copies maps a chunk's digest to all its indexes.
	copies  map[manifest.Digest][]int
	view    *wire.AgentView
	adopted time.Duration
	peers   map[string]wire.Peer
	watches map[string]context.CancelFunc
	// jobs holds the cancel function of every request in flight.
	jobs     map[planner.Request]context.CancelFunc
	failure  error
	lastPlan atomic.Pointer[taskDump]

	// path and err are set before done is closed.
	done chan struct{}
	path string
	err  error
}

func newTask(m *Manager, man *manifest.Manifest, pub *publication) *task {
	ctx, cancel := context.WithCancel(context.Background())
	t := &task{
		m:       m,
		man:     man,
		pub:     pub,
		ctx:     ctx,
		cancel:  cancel,
		epoch:   m.clock.Now(),
		events:  make(chan func(), 64),
		copies:  make(map[manifest.Digest][]int, len(man.Chunks)),
		watches: make(map[string]context.CancelFunc),
		jobs:    make(map[planner.Request]context.CancelFunc),
		done:    make(chan struct{}),
	}
	self := planner.Node{Name: m.cfg.Self.Name, Zone: m.cfg.Self.Zone, Region: m.cfg.Self.Region}
	t.table = planner.NewTable(self, len(man.Chunks), m.cfg.Planner)
	var offset int64
	for i, c := range man.Chunks {
		t.offsets = append(t.offsets, offset)
		t.copies[c.Digest] = append(t.copies[c.Digest], i)
		offset += c.Size
	}
	return t
}

func (t *task) now() time.Duration { return t.m.clock.Since(t.epoch) }

// post hands f to the task's goroutine unless the task has ended.
func (t *task) post(f func()) {
	select {
	case t.events <- f:
	case <-t.ctx.Done():
	}
}

func (t *task) run() {
	defer t.cancel()
	t.m.log.Info("transfer started", "version", t.man.Version, "bytes", t.man.Size(), "chunks", len(t.man.Chunks))
	t.path, t.err = t.fetch()
	if t.err == nil {
		t.m.noteStaged(t.man)
	}
	p := t.progress()
	t.m.log.Info("transfer ended", "version", t.man.Version, "code", int(result.CodeOf(t.err)), "duration", t.now(),
		"from_origin_bytes", p.FromOrigin, "from_store_bytes", p.FromStore, "from_peers_bytes", p.FromPeers,
		"cross_region_bytes", p.CrossRegion, "corrupt_chunks", p.Corrupt)
	close(t.done)
}

// fetch loops until every chunk is held and the version is assembled. A chunk
// that proves bad while assembling is fetched again.
func (t *task) fetch() (string, error) {
	t.m.collect()
	for {
		t.lookup()
		if err := t.gather(); err != nil {
			return "", err
		}
		path, err := t.m.store.Assemble(t.man)
		code := result.CodeOf(err)
		if code != result.ChunkCorrupt && code != result.ChunkMissing {
			return path, err
		}
	}
}

// lookup notes which chunks the spool holds, verifying old ones.
func (t *task) lookup() {
	for i, c := range t.man.Chunks {
		if t.m.store.Has(c) {
			t.table.Hold(i)
		} else {
			t.table.MarkMissing(i)
		}
	}
	t.countDone()
	t.publish()
}

func (t *task) countDone() {
	var n int64
	for i, c := range t.man.Chunks {
		if t.table.Have().Has(i) {
			n += c.Size
		}
	}
	t.count.done.Store(n)
}

func (t *task) publish() { t.pub.set(t.table.Have(), t.table.Claims()) }

// gather runs the planner until the table is complete.
func (t *task) gather() error {
	for !t.table.Complete() {
		if t.failure != nil {
			return t.failure
		}
		changed := t.adoptView()
		for _, r := range planner.Plan(t.table, t.now()) {
			t.start(r)
		}
		if err := t.await(changed); err != nil {
			return err
		}
	}
	return nil
}

func (t *task) await(viewChanged <-chan struct{}) error {
	timer := t.m.clock.NewTimer(min(t.table.Wake(t.now()), maxPause))
	defer timer.Stop()
	select {
	case f := <-t.events:
		f()
		t.drainEvents()
	case <-timer.Chan():
	case <-viewChanged:
	case <-t.ctx.Done():
		return t.ctx.Err()
	}
	return nil
}

func (t *task) drainEvents() {
	for {
		select {
		case f := <-t.events:
			f()
		default:
			return
		}
	}
}

// adoptView takes over a new view, if any, and returns the channel that tells
// of the next. Views that follow each other closely are taken over once every
// ViewInterval: a view costs as much as thousands of plans.
func (t *task) adoptView() <-chan struct{} {
	view, changed := t.m.currentView()
	if view == t.view || t.view != nil && t.now()-t.adopted < t.m.cfg.ViewInterval {
		return changed
	}
	t.view, t.adopted = view, t.now()
	t.table.SetSources(t.sourceStates())
	members := t.m.members(view, t.man.Version)
	l := links(view, members)
	est := estimate(l, view.Objective, t.man.Size())
	if last := t.lastPlan.Load(); last != nil && last.Estimate == est && maps.Equal(members, t.peers) {
		return changed
	}
	t.stopMoved(members)
	t.peers = members
	t.arrange(l, est)
	return changed
}

// stopMoved ends the watches of peers that are at another address now.
func (t *task) stopMoved(members map[string]wire.Peer) {
	for name, stop := range t.watches {
		if members[name].Address != t.peers[name].Address {
			stop()
			delete(t.watches, name)
		}
	}
}

func (t *task) arrange(l planner.Links, est planner.Estimate) {
	ways := est.Ways(l, t.man.Chunks[0].Size, t.m.cfg.Planner.Fetchers)
	ways.BalanceSources = t.view.Objective == config.ObjectiveTime
	nodes := make([]planner.Node, 0, len(t.peers))
	for name := range t.peers {
		nodes = append(nodes, t.node(name))
	}
	arr := planner.Arrange(nodes, t.man.Digest(), t.m.cfg.Planner)
	t.table.SetArrangement(arr, ways, t.node, t.now())
	t.watchNeighbors()
	t.dropVanished()
	t.lastPlan.Store(&taskDump{
		Estimate: est,
		Fetcher:  slices.Contains(arr.Fetchers(t.m.cfg.Self.Region), t.m.cfg.Self.Name),
		Peers:    t.table.Neighbors(),
	})
}

func (t *task) node(name string) planner.Node {
	p := t.peers[name]
	return planner.Node{Name: p.Name, Zone: p.Zone, Region: p.Region}
}

func (t *task) sourceStates() []planner.SourceState {
	states := make([]planner.SourceState, len(t.view.Sources))
	for i, s := range t.view.Sources {
		states[i] = planner.SourceState{
			BytesPerSecond: s.BytesPerSecond,
			Origin:         s.Kind == config.SourceOrigin,
			Near:           s.Region == t.m.cfg.Self.Region,
		}
	}
	return states
}

// watchNeighbors starts and stops the goroutines that wait for news.
func (t *task) watchNeighbors() {
	wanted := t.table.Neighbors()
	for name, stop := range t.watches {
		if !slices.Contains(wanted, name) {
			stop()
			delete(t.watches, name)
		}
	}
	for _, name := range wanted {
		if t.watches[name] == nil {
			ctx, stop := context.WithCancel(t.ctx)
			t.watches[name] = stop
			go t.watch(ctx, t.peers[name])
		}
	}
}

// start sends a request on a goroutine of its own and posts its outcome.
func (t *task) start(r planner.Request) {
	t.table.Started(r, t.now())
	if r.FromSource() || r.Far {
		t.publish()
	}
	job := t.newJob(r)
	ctx, cancel := context.WithCancel(t.ctx)
	t.jobs[r] = cancel
	go func() {
		err := job.run(ctx)
		t.post(func() { t.ended(r, err) })
	}()
}

// dropVanished cancels the requests to agents that left the view.
func (t *task) dropVanished() {
	for r, cancel := range t.jobs {
		if _, ok := t.peers[r.From]; !ok && !r.FromSource() {
			cancel()
		}
	}
}

func (t *task) ended(r planner.Request, err error) {
	t.jobs[r]()
	delete(t.jobs, r)
	out := outcomeOf(err)
	if t.table.Have().Has(r.Chunk) && err != nil {
		out = planner.Canceled
	}
	t.table.Ended(r, out, t.now())
	switch {
	case out == planner.Received:
		for _, i := range t.copies[t.man.Chunks[r.Chunk].Digest] {
			t.table.Hold(i)
		}
		for _, other := range t.table.Needless() {
			t.jobs[other]()
		}
		t.countDone()
	case result.CodeOf(err) == result.SpoolFull:
		t.failure = err
	case result.CodeOf(err) == result.SourceThrottled:
		t.table.SourceThrottled(r, t.now()+result.From(err).RetryAfter)
	}
	if out == planner.Received || r.FromSource() || r.Far {
		t.publish()
	}
	t.report(r, out, err)
}

func (t *task) report(r planner.Request, out planner.Outcome, err error) {
	if out == planner.Received || t.ctx.Err() != nil {
		return
	}
	if out == planner.Corrupt {
		t.count.corrupt.Add(1)
		t.m.scope.Counter("corrupt_chunks").Inc(1)
	}
	if out == planner.Corrupt || out == planner.Failed {
		t.m.log.Warn("chunk not received", "version", t.man.Version, "chunk", r.Chunk, "from", t.sender(r),
			"code", int(result.CodeOf(err)), "error", err)
	}
}

func (t *task) sender(r planner.Request) string {
	if !r.FromSource() {
		return r.From
	}
	if t.view != nil && r.Source < len(t.view.Sources) {
		return t.view.Sources[r.Source].Name
	}
	return "source"
}

func outcomeOf(err error) planner.Outcome {
	if err == nil {
		return planner.Received
	}
	switch result.CodeOf(err) {
	case result.ChunkCorrupt:
		return planner.Corrupt
	case result.ChunkMissing:
		return planner.Missing
	case result.SourceThrottled:
		return planner.Canceled
	case result.QueueFull:
		return planner.Busy
	default:
		return planner.Failed
	}
}

func (t *task) progress() wire.Transfer {
	return wire.Transfer{
		Version:     t.man.Version,
		Done:        t.count.done.Load(),
		Total:       t.man.Size(),
		FromOrigin:  t.count.fromOrigin.Load(),
		FromStore:   t.count.fromStore.Load(),
		FromPeers:   t.count.fromPeers.Load(),
		CrossRegion: t.count.cross.Load(),
		Corrupt:     t.count.corrupt.Load(),
	}
}

func (t *task) dump() taskDump {
	d := taskDump{}
	if p := t.lastPlan.Load(); p != nil {
		d = *p
	}
	d.Transfer = t.progress()
	return d
}
