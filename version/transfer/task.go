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

// maxPlanInterval is the longest time between two planning rounds of a task.
const maxPlanInterval = time.Second

// transferCounters holds the counters of a task, in bytes except corruptChunks.
type transferCounters struct {
	doneBytes, fromOrigin, fromStore, fromPeers, crossRegion, corruptChunks atomic.Int64
}

// task fetches one version. Its table, peers and downloads are owned by the
// goroutine of run; other goroutines use events to run functions there.
type task struct {
	m        *Manager
	man      *manifest.Manifest
	pub      *publication
	ctx      context.Context
	cancel   context.CancelFunc
	epoch    time.Time
	events   chan func()
	counters transferCounters
	// users is guarded by Manager.mu.
	users int

	table   *planner.Table
	offsets []int64
	// indexesByDigest maps a chunk's digest to all indexes with that content.
	indexesByDigest map[manifest.Digest][]int
	view            *wire.AgentView
	viewApplied     time.Duration
	peers           map[string]wire.Peer
	// stopPolling holds the cancel function of each neighbor's polling goroutine.
	stopPolling map[string]context.CancelFunc
	// downloads holds the cancel function of every request in flight.
	downloads map[planner.Request]context.CancelFunc
	fatalErr  error
	lastDump  atomic.Pointer[taskDump]

	// path and err are set before done is closed.
	done chan struct{}
	path string
	err  error
}

func newTask(m *Manager, man *manifest.Manifest, pub *publication) *task {
	ctx, cancel := context.WithCancel(context.Background())
	t := &task{
		m:               m,
		man:             man,
		pub:             pub,
		ctx:             ctx,
		cancel:          cancel,
		epoch:           m.clock.Now(),
		events:          make(chan func(), 64),
		indexesByDigest: make(map[manifest.Digest][]int, len(man.Chunks)),
		stopPolling:     make(map[string]context.CancelFunc),
		downloads:       make(map[planner.Request]context.CancelFunc),
		done:            make(chan struct{}),
	}
	self := planner.Node{Name: m.cfg.Self.Name, Zone: m.cfg.Self.Zone, Region: m.cfg.Self.Region}
	t.table = planner.NewTable(self, len(man.Chunks), m.cfg.Planner)
	var offset int64
	for i, c := range man.Chunks {
		t.offsets = append(t.offsets, offset)
		t.indexesByDigest[c.Digest] = append(t.indexesByDigest[c.Digest], i)
		offset += c.Size
	}
	return t
}

func (t *task) now() time.Duration { return t.m.clock.Since(t.epoch) }

// post runs f on the task's goroutine unless the task has ended.
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
		t.m.markStaged(t.man)
	}
	p := t.progress()
	t.m.log.Info("transfer ended", "version", t.man.Version, "code", int(result.CodeOf(t.err)), "duration", t.now(),
		"from_origin_bytes", p.FromOrigin, "from_store_bytes", p.FromStore, "from_peers_bytes", p.FromPeers,
		"cross_region_bytes", p.CrossRegion, "corrupt_chunks", p.Corrupt)
	close(t.done)
}

// fetch fetches all chunks and assembles the version. If a chunk turns out to be
// corrupt or missing during assembly, it starts over and fetches that one again.
func (t *task) fetch() (string, error) {
	t.m.collectGarbage()
	for {
		t.scanSpool()
		if err := t.fetchChunks(); err != nil {
			return "", err
		}
		path, err := t.m.store.Assemble(t.man)
		code := result.CodeOf(err)
		if code != result.ChunkCorrupt && code != result.ChunkMissing {
			return path, err
		}
	}
}

// scanSpool records which chunks the spool holds and verifies those from before
// this process started.
func (t *task) scanSpool() {
	for i, c := range t.man.Chunks {
		if t.m.store.Has(c) {
			t.table.MarkHeld(i)
		} else {
			t.table.MarkMissing(i)
		}
	}
	t.updateDoneBytes()
	t.publish()
}

func (t *task) updateDoneBytes() {
	var n int64
	for i, c := range t.man.Chunks {
		if t.table.Have().Has(i) {
			n += c.Size
		}
	}
	t.counters.doneBytes.Store(n)
}

func (t *task) publish() { t.pub.update(t.table.Have(), t.table.Claims()) }

// fetchChunks plans and starts requests until the table is complete.
func (t *task) fetchChunks() error {
	for !t.table.Complete() {
		if t.fatalErr != nil {
			return t.fatalErr
		}
		changed := t.applyView()
		for _, r := range planner.Plan(t.table, t.now()) {
			t.startRequest(r)
		}
		if err := t.waitForEvent(changed); err != nil {
			return err
		}
	}
	return nil
}

func (t *task) waitForEvent(viewChanged <-chan struct{}) error {
	timer := t.m.clock.NewTimer(min(t.table.NextPlanDelay(t.now()), maxPlanInterval))
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

// applyView applies a new view, if any, and returns a channel that is closed when
// the next one arrives. Views are applied at most once every ViewInterval, since
// a view costs as much as thousands of planning rounds.
func (t *task) applyView() <-chan struct{} {
	view, changed := t.m.currentView()
	if view == t.view || t.view != nil && t.now()-t.viewApplied < t.m.cfg.ViewInterval {
		return changed
	}
	t.view, t.viewApplied = view, t.now()
	t.table.SetSources(t.sourceStates())
	members := t.m.members(view, t.man.Version)
	l := memberLinks(view, members)
	est := estimate(l, view.Objective, t.man.Size())
	if previous := t.lastDump.Load(); previous != nil && previous.Estimate == est && maps.Equal(members, t.peers) {
		return changed
	}
	t.stopPollingMoved(members)
	t.peers = members
	t.arrange(l, est)
	return changed
}

// stopPollingMoved stops polling peers whose address has changed.
func (t *task) stopPollingMoved(members map[string]wire.Peer) {
	for name, stop := range t.stopPolling {
		if members[name].Address != t.peers[name].Address {
			stop()
			delete(t.stopPolling, name)
		}
	}
}

func (t *task) arrange(l planner.Links, est planner.Estimate) {
	policy := est.IngestPolicy(l, t.man.Chunks[0].Size, t.m.cfg.Planner.Fetchers)
	policy.BalanceSources = t.view.Objective == config.ObjectiveTime
	nodes := make([]planner.Node, 0, len(t.peers))
	for name := range t.peers {
		nodes = append(nodes, t.node(name))
	}
	arr := planner.Arrange(nodes, t.man.Digest(), t.m.cfg.Planner)
	t.table.SetArrangement(arr, policy, t.node, t.now())
	t.updatePolling()
	t.cancelDeparted()
	t.lastDump.Store(&taskDump{
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

// updatePolling starts and stops the polling goroutines to match the current
// neighbors.
func (t *task) updatePolling() {
	wanted := t.table.Neighbors()
	for name, stop := range t.stopPolling {
		if !slices.Contains(wanted, name) {
			stop()
			delete(t.stopPolling, name)
		}
	}
	for _, name := range wanted {
		if t.stopPolling[name] == nil {
			ctx, stop := context.WithCancel(t.ctx)
			t.stopPolling[name] = stop
			go t.pollNeighbor(ctx, t.peers[name])
		}
	}
}

// startRequest sends a request on a new goroutine, which posts the outcome.
func (t *task) startRequest(r planner.Request) {
	t.table.RequestStarted(r, t.now())
	if r.FromSource() || r.Far {
		t.publish()
	}
	d := t.newDownload(r)
	ctx, cancel := context.WithCancel(t.ctx)
	t.downloads[r] = cancel
	go func() {
		err := d.run(ctx)
		t.post(func() { t.requestEnded(r, err) })
	}()
}

// cancelDeparted cancels the requests to agents that are no longer members.
func (t *task) cancelDeparted() {
	for r, cancel := range t.downloads {
		if _, ok := t.peers[r.From]; !ok && !r.FromSource() {
			cancel()
		}
	}
}

func (t *task) requestEnded(r planner.Request, err error) {
	t.downloads[r]()
	delete(t.downloads, r)
	out := outcomeOf(err)
	if t.table.Have().Has(r.Chunk) && err != nil {
		out = planner.Canceled
	}
	t.table.RequestEnded(r, out, t.now())
	switch {
	case out == planner.Received:
		for _, i := range t.indexesByDigest[t.man.Chunks[r.Chunk].Digest] {
			t.table.MarkHeld(i)
		}
		for _, other := range t.table.RedundantRequests() {
			t.downloads[other]()
		}
		t.updateDoneBytes()
	case result.CodeOf(err) == result.SpoolFull:
		t.fatalErr = err
	case result.CodeOf(err) == result.SourceThrottled:
		t.table.SourceThrottled(r, t.now()+result.From(err).RetryAfter)
	}
	if out == planner.Received || r.FromSource() || r.Far {
		t.publish()
	}
	t.reportFailure(r, out, err)
}

func (t *task) reportFailure(r planner.Request, out planner.Outcome, err error) {
	if out == planner.Received || t.ctx.Err() != nil {
		return
	}
	if out == planner.Corrupt {
		t.counters.corruptChunks.Add(1)
		t.m.scope.Counter("corrupt_chunks").Inc(1)
	}
	if out == planner.Corrupt || out == planner.Failed {
		t.m.log.Warn("chunk not received", "version", t.man.Version, "chunk", r.Chunk, "from", t.senderName(r),
			"code", int(result.CodeOf(err)), "error", err)
	}
}

func (t *task) senderName(r planner.Request) string {
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
		Done:        t.counters.doneBytes.Load(),
		Total:       t.man.Size(),
		FromOrigin:  t.counters.fromOrigin.Load(),
		FromStore:   t.counters.fromStore.Load(),
		FromPeers:   t.counters.fromPeers.Load(),
		CrossRegion: t.counters.crossRegion.Load(),
		Corrupt:     t.counters.corruptChunks.Load(),
	}
}

func (t *task) dump() taskDump {
	d := taskDump{}
	if p := t.lastDump.Load(); p != nil {
		d = *p
	}
	d.Transfer = t.progress()
	return d
}
