package virtual

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/version/manifest"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

// Result is the measurement of a run.
type Result struct {
	// Duration is the time until the last surviving VM had the complete version.
	Duration time.Duration
	// FullRateDuration is the time until the last surviving VM whose link is not slow
	// had it, FullRateMedian the time until half of these VMs had it.
	FullRateDuration time.Duration
	FullRateMedian   time.Duration
	// Complete is the number of VMs that have the complete version, Survivors the
	// number of VMs that did not fail.
	Complete    int
	Survivors   int
	OriginBytes int64
	// PairBytes holds the bytes transferred between each pair of regions that was used,
	// CrossRegionBytes their sum. MaxRegionCopies is the maximum number of times that a
	// chunk was transferred into one region, ExtraRegionCopies the total of such
	// transfers beyond the first per chunk and region.
	PairBytes         []int64
	CrossRegionBytes  int64
	MaxRegionCopies   int
	ExtraRegionCopies int
	// Messages and Plans are mean values per VM.
	Messages float64
	Plans    float64
	// PlanTime is the mean time per VM that the planner ran, measured on the real
	// clock.
	PlanTime      time.Duration
	CorruptChunks int
}

// vm is an agent with its links.
type vm struct {
	node        planner.Node
	region      int
	table       *planner.Table
	alive       bool
	slow        bool
	up, down    *link
	uploads     int
	uploadQueue []*transfer
	inbound     []*transfer
	outbound    []*transfer
	subscribers []*subscription
	have        planner.Bits
	claims      planner.Bits
	wakeEvent   *event
	completed   time.Duration
}

// subscription delivers updates about the chunks of one VM to another VM.
type subscription struct {
	from, to   *vm
	lastUpdate time.Duration
	scheduled  bool
}

// transfer is a request in progress.
type transfer struct {
	planner.Request
	to, from *vm // from is nil for the origin
	flow     *flow
	started  bool
	finished bool
	timeout  *event
}

type fleet struct {
	clock
	params      Params
	rnd         *rand.Rand
	arrangement *planner.Arrangement
	estimate    planner.Estimate
	vms         []*vm
	// faultOrder is the random order in which faults are assigned to VMs.
	faultOrder []int
	byName     map[string]*vm
	regions    map[string]int
	origin     *link
	// toRegion holds the path from the origin to each region, pairs the links between
	// regions.
	toRegion []*link
	pairs    [][]*link
	// unreported holds the failures that the views do not show yet.
	unreported []failure
	// regionCopies counts, by region and chunk, the transfers into the region.
	regionCopies [][]int
	stats        Result
	planTime     time.Duration
	unfinished   int
}

type failure struct {
	vm *vm
	at time.Duration
}

// Run simulates the transfer of one version to every VM.
func Run(p Params) Result {
	f := newFleet(p)
	f.updateArrangement()
	for _, v := range f.vms {
		f.plan(v)
	}
	f.injectFaults()
	limit := 20 * p.Window
	for f.unfinished > 0 && f.now < limit && f.step() {
	}
	return f.result()
}

func newFleet(p Params) *fleet {
	f := &fleet{
		params:     p,
		rnd:        rand.New(rand.NewPCG(p.Seed, uint64(p.VMs))),
		byName:     make(map[string]*vm),
		regions:    make(map[string]int),
		estimate:   p.Estimate(),
		origin:     &link{rate: p.originRate()},
		unfinished: p.VMs,
	}
	for i := range p.VMs {
		f.addVM(p.Node(i))
	}
	f.faultOrder = f.rnd.Perm(len(f.vms))
	for range f.regions {
		f.toRegion = append(f.toRegion, &link{rate: math.Inf(1)})
		row := make([]*link, len(f.regions))
		for j := range row {
			row[j] = &link{rate: pairRate(p)}
		}
		f.pairs = append(f.pairs, row)
		f.regionCopies = append(f.regionCopies, make([]int, p.Chunks))
	}
	return f
}

func pairRate(p Params) float64 {
	if p.PairBytesPerSecond <= 0 {
		return math.Inf(1)
	}
	return float64(p.PairBytesPerSecond)
}

func (f *fleet) addVM(node planner.Node) {
	region, ok := f.regions[node.Region]
	if !ok {
		region = len(f.regions)
		f.regions[node.Region] = region
	}
	v := &vm{
		node:   node,
		region: region,
		table:  planner.NewTable(node, f.params.Chunks, f.params.Planner),
		alive:  true,
		up:     &link{rate: f.params.vmRate()},
		down:   &link{rate: f.params.vmRate()},
	}
	v.table.SetSources([]planner.SourceState{{BytesPerSecond: int64(f.params.originRate()), Origin: true}})
	v.have, v.claims = v.table.Have().Clone(), v.table.Claims()
	f.vms = append(f.vms, v)
	f.byName[node.Name] = v
}

// updateArrangement gives every live VM a new arrangement of the live VMs.
func (f *fleet) updateArrangement() {
	var nodes []planner.Node
	for _, v := range f.vms {
		if v.alive {
			nodes = append(nodes, v.node)
		}
	}
	version := manifest.Sum([]byte{byte(f.params.Seed), byte(f.params.Seed >> 8)})
	f.arrangement = planner.Arrange(nodes, version, f.params.Planner)
	oldSubs := make(map[[2]*vm]*subscription)
	for _, v := range f.vms {
		for _, sub := range v.subscribers {
			oldSubs[[2]*vm{sub.from, sub.to}] = sub
		}
		v.subscribers = nil
	}
	policy := f.estimate.IngestPolicy(f.params.Links(), f.params.chunkBytes(), f.params.Planner.Fetchers)
	lookup := func(name string) planner.Node { return f.byName[name].node }
	for _, v := range f.vms {
		if !v.alive {
			continue
		}
		v.table.SetArrangement(f.arrangement, policy, lookup, f.now)
		for _, name := range v.table.Neighbors() {
			f.subscribe(f.byName[name], v, oldSubs)
		}
	}
}

// subscribe subscribes one VM to the chunks of another. A new subscription starts with
// an update about all chunks that the other VM has.
func (f *fleet) subscribe(from, to *vm, oldSubs map[[2]*vm]*subscription) {
	sub := oldSubs[[2]*vm{from, to}]
	if sub == nil {
		sub = &subscription{from: from, to: to, lastUpdate: -f.params.HaveInterval}
		if from.have.Count() > 0 {
			f.scheduleUpdate(sub)
		}
	}
	from.subscribers = append(from.subscribers, sub)
}

func (f *fleet) latency(a, b *vm) time.Duration {
	if a.region != b.region {
		return f.params.RegionLatency
	}
	return f.params.ZoneLatency
}

// publish schedules updates about the chunks that v has or imports into its region.
func (f *fleet) publish(v *vm) {
	v.have, v.claims = v.table.Have().Clone(), v.table.Claims()
	for _, sub := range v.subscribers {
		f.scheduleUpdate(sub)
	}
}

func (f *fleet) scheduleUpdate(sub *subscription) {
	if sub.scheduled {
		return
	}
	sub.scheduled = true
	wait := max(0, sub.lastUpdate+f.params.HaveInterval-f.now)
	f.schedule(wait+f.latency(sub.from, sub.to), func() { f.deliverUpdate(sub) })
}

func (f *fleet) deliverUpdate(sub *subscription) {
	sub.scheduled = false
	sub.lastUpdate = f.now
	f.stats.Messages += 2
	if !sub.from.alive || !sub.to.alive || sub.to.completed > 0 {
		return
	}
	start := time.Now()
	sub.to.table.UpdateNeighbor(sub.from.node.Name, sub.from.have, sub.from.claims, f.now)
	f.planTime += time.Since(start)
	f.plan(sub.to)
}

// plan sends the requests that the planner makes for a VM at the current time.
func (f *fleet) plan(v *vm) {
	if !v.alive || v.completed > 0 {
		return
	}
	start := time.Now()
	f.markNeighborsAlive(v)
	requests := planner.Plan(v.table, f.now)
	f.planTime += time.Since(start)
	f.stats.Plans++
	importing := false
	for _, r := range requests {
		v.table.RequestStarted(r, f.now)
		importing = importing || r.FromSource() || r.Far
		f.send(v, r)
	}
	if importing {
		f.publish(v)
	}
	f.scheduleWake(v)
}

// markNeighborsAlive replaces the answers without updates that neighbors give at least
// every HaveHold. They are not simulated individually.
func (f *fleet) markNeighborsAlive(v *vm) {
	for _, name := range v.table.Neighbors() {
		if f.byName[name].alive {
			v.table.NeighborAlive(name, f.now)
		}
	}
}

const maxWakeInterval = time.Second

func (f *fleet) scheduleWake(v *vm) {
	at := f.now + min(v.table.NextPlanDelay(f.now), maxWakeInterval)
	if v.wakeEvent == nil {
		v.wakeEvent = f.schedule(at-f.now, func() { f.plan(v) })
		return
	}
	f.reschedule(v.wakeEvent, at)
}

func (f *fleet) send(v *vm, r planner.Request) {
	t := &transfer{Request: r, to: v}
	v.inbound = append(v.inbound, t)
	f.stats.Messages += 2
	if r.FromSource() {
		f.schedule(f.params.RegionLatency, func() { f.startTransfer(t) })
		return
	}
	t.from = f.byName[r.From]
	t.from.outbound = append(t.from.outbound, t)
	f.schedule(f.latency(t.from, v), func() { f.handleRequest(t) })
}

// handleRequest handles a request that reaches its sender. The request gets an upload
// slot, waits for one, or stalls if the sender has failed.
func (f *fleet) handleRequest(t *transfer) {
	if t.finished {
		return
	}
	if !t.from.alive {
		f.scheduleStallTimeout(t)
		return
	}
	if t.Far || t.from.uploads < f.params.UploadSlots {
		f.startTransfer(t)
		return
	}
	t.from.uploadQueue = append(t.from.uploadQueue, t)
	t.timeout = f.schedule(f.params.QueueWait, func() { f.finish(t, planner.Busy) })
}

func (f *fleet) startTransfer(t *transfer) {
	if t.finished {
		return
	}
	t.started = true
	done := func() { f.receive(t) }
	size := f.params.chunkBytes()
	switch {
	case t.from == nil:
		t.flow = startFlow(&f.clock, size, 0, done, f.origin, f.toRegion[t.to.region], t.to.down)
	case t.Far:
		limit := pairRate(f.params) / float64(len(f.arrangement.Fetchers(t.to.node.Region)))
		t.flow = startFlow(&f.clock, size, limit, done, t.from.up, f.pairs[t.from.region][t.to.region], t.to.down)
	default:
		t.from.uploads++
		t.flow = startFlow(&f.clock, size, 0, done, t.from.up, t.to.down)
	}
	f.checkStall(t, t.flow.remaining)
}

// checkStall ends a transfer that made no progress within the stall timeout.
func (f *fleet) checkStall(t *transfer, before float64) {
	t.timeout = f.schedule(f.params.StallTimeout, func() {
		t.flow.advance()
		if t.flow.remaining == before {
			f.finish(t, planner.Failed)
			return
		}
		f.checkStall(t, t.flow.remaining)
	})
}

func (f *fleet) scheduleStallTimeout(t *transfer) {
	t.timeout = f.schedule(f.params.StallTimeout, func() { f.finish(t, planner.Failed) })
}

func (f *fleet) receive(t *transfer) {
	t.flow = nil
	if f.rnd.Float64() < f.params.Faults.CorruptShare {
		f.stats.CorruptChunks++
		f.finish(t, planner.Corrupt)
		return
	}
	if t.FromSource() || t.Far {
		f.regionCopies[t.to.region][t.Chunk]++
	}
	f.finish(t, planner.Received)
}

// finish ends a transfer, releases its slot and reports the outcome to the receiver's
// table.
func (f *fleet) finish(t *transfer, outcome planner.Outcome) {
	if t.finished {
		return
	}
	t.finished = true
	if t.timeout != nil {
		f.cancel(t.timeout)
	}
	if t.flow != nil {
		t.flow.abort()
	}
	t.to.inbound = remove(t.to.inbound, t)
	f.releaseSlot(t)
	if !t.to.alive {
		return
	}
	t.to.table.RequestEnded(t.Request, outcome, f.now)
	f.cancelRedundant(t)
	if outcome == planner.Received || t.FromSource() || t.Far {
		f.publish(t.to)
	}
	f.checkComplete(t.to)
	f.plan(t.to)
}

// cancelRedundant cancels the other requests for a chunk that has arrived.
func (f *fleet) cancelRedundant(t *transfer) {
	if len(t.to.table.RedundantRequests()) == 0 {
		return
	}
	for _, other := range slices.Clone(t.to.inbound) {
		if other.Chunk == t.Chunk {
			f.finish(other, planner.Canceled)
		}
	}
}

func (f *fleet) releaseSlot(t *transfer) {
	sender := t.from
	if sender == nil {
		return
	}
	sender.outbound = remove(sender.outbound, t)
	if slices.Contains(sender.uploadQueue, t) {
		sender.uploadQueue = remove(sender.uploadQueue, t)
		return
	}
	if t.Far || !t.started {
		return
	}
	sender.uploads--
	if len(sender.uploadQueue) > 0 && sender.alive {
		next := sender.uploadQueue[0]
		sender.uploadQueue = sender.uploadQueue[1:]
		f.cancel(next.timeout)
		f.startTransfer(next)
	}
}

func remove(list []*transfer, t *transfer) []*transfer {
	if i := slices.Index(list, t); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

func (f *fleet) checkComplete(v *vm) {
	if v.completed > 0 || !v.table.Complete() {
		return
	}
	v.completed = f.now
	f.unfinished--
	f.stats.Complete++
	f.stats.Duration = max(f.stats.Duration, f.now)
	f.cancel(v.wakeEvent)
	for _, t := range slices.Clone(v.inbound) {
		f.finish(t, planner.Canceled)
	}
}

func (f *fleet) result() Result {
	r := f.stats
	r.Survivors = 0
	var full []time.Duration
	for _, v := range f.vms {
		if !v.alive {
			continue
		}
		r.Survivors++
		if !v.slow {
			full = append(full, v.completed)
		}
	}
	slices.Sort(full)
	if len(full) > 0 {
		r.FullRateDuration, r.FullRateMedian = full[len(full)-1], full[len(full)/2]
	}
	r.OriginBytes = int64(f.origin.bytes)
	for i, row := range f.pairs {
		for j, l := range row {
			if i != j && l.bytes > 0 {
				r.PairBytes = append(r.PairBytes, int64(l.bytes))
				r.CrossRegionBytes += int64(l.bytes)
			}
		}
	}
	for _, chunks := range f.regionCopies {
		for _, n := range chunks {
			r.MaxRegionCopies = max(r.MaxRegionCopies, n)
			r.ExtraRegionCopies += max(0, n-1)
		}
	}
	n := float64(len(f.vms))
	r.Messages /= n
	r.Plans /= n
	r.PlanTime = time.Duration(float64(f.planTime) / n)
	return r
}
