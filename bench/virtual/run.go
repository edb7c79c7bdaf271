package virtual

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/version/manifest"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

// Result is what a run measured.
type Result struct {
	// Duration is when the last survivor held the whole version.
	Duration time.Duration
	// Full is when the last survivor with a link of full rate held it, Median
	// when half of them did.
	Full   time.Duration
	Median time.Duration
	// Complete and Survivors count VMs.
	Complete    int
	Survivors   int
	OriginBytes int64
	// PairBytes holds what crossed each pair of regions that was used, and
	// Entered how often, at most, a chunk was brought into one region whole.
	PairBytes    []int64
	CrossBytes   int64
	MaxEntered   int
	ExtraEntered int
	// Messages and Plans are means over the VMs.
	Messages float64
	Plans    float64
	// PlanTime is the processor time of the planner for each VM.
	PlanTime time.Duration
	Corrupt  int
}

// vm is an agent with its links.
type vm struct {
	node      planner.Node
	region    int
	table     *planner.Table
	alive     bool
	slow      bool
	up, down  *link
	active    int
	waiting   []*transfer
	inbound   []*transfer
	outbound  []*transfer
	watchers  []*watch
	have      planner.Bits
	claims    planner.Bits
	wake      *event
	completed time.Duration
}

// watch is the news that one VM gets of another.
type watch struct {
	from, to  *vm
	last      time.Duration
	scheduled bool
}

// transfer is a request under way.
type transfer struct {
	planner.Request
	to, from *vm // from is nil for the origin
	flow     *flow
	started  bool
	over     bool
	timeout  *event
}

type fleet struct {
	clock
	p   Params
	rnd *rand.Rand
	arr *planner.Arrangement
	est planner.Estimate
	vms []*vm
	// order is the random order in which faults befall the VMs.
	order   []int
	byName  map[string]*vm
	regions map[string]int
	origin  *link
	// toRegion is the path from the origin to a region, pairs the links
	// between regions.
	toRegion []*link
	pairs    [][]*link
	dead     []death
	entered  [][]int
	res      Result
	planTime time.Duration
	left     int
}

type death struct {
	vm *vm
	at time.Duration
}

// Run moves one version to every VM.
func Run(p Params) Result {
	f := newFleet(p)
	f.arrange()
	for _, v := range f.vms {
		f.plan(v)
	}
	f.injectFaults()
	limit := 20 * p.Window
	for f.left > 0 && f.now < limit && f.step() {
	}
	return f.result()
}

func newFleet(p Params) *fleet {
	f := &fleet{
		p:       p,
		rnd:     rand.New(rand.NewPCG(p.Seed, uint64(p.VMs))),
		byName:  make(map[string]*vm),
		regions: make(map[string]int),
		est:     p.Estimate(),
		origin:  &link{rate: p.originRate()},
		left:    p.VMs,
	}
	for i := range p.VMs {
		f.addVM(p.Node(i))
	}
	f.order = f.rnd.Perm(len(f.vms))
	for range f.regions {
		f.toRegion = append(f.toRegion, &link{rate: math.Inf(1)})
		row := make([]*link, len(f.regions))
		for j := range row {
			row[j] = &link{rate: pairRate(p)}
		}
		f.pairs = append(f.pairs, row)
		f.entered = append(f.entered, make([]int, p.Chunks))
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
		table:  planner.NewTable(node, f.p.Chunks, f.p.Planner),
		alive:  true,
		up:     &link{rate: f.p.vmRate()},
		down:   &link{rate: f.p.vmRate()},
	}
	v.table.SetSources([]planner.SourceState{{BytesPerSecond: int64(f.p.originRate()), Origin: true}})
	v.have, v.claims = v.table.Have().Clone(), v.table.Claims()
	f.vms = append(f.vms, v)
	f.byName[node.Name] = v
}

// arrange gives every live VM a view of those that are known to live.
func (f *fleet) arrange() {
	var nodes []planner.Node
	for _, v := range f.vms {
		if v.alive {
			nodes = append(nodes, v.node)
		}
	}
	version := manifest.Sum([]byte{byte(f.p.Seed), byte(f.p.Seed >> 8)})
	f.arr = planner.Arrange(nodes, version, f.p.Planner)
	old := make(map[[2]*vm]*watch)
	for _, v := range f.vms {
		for _, w := range v.watchers {
			old[[2]*vm{w.from, w.to}] = w
		}
		v.watchers = nil
	}
	ways := f.est.Ways(f.p.Links(), f.p.chunkBytes(), f.p.Planner.Fetchers)
	lookup := func(name string) planner.Node { return f.byName[name].node }
	for _, v := range f.vms {
		if !v.alive {
			continue
		}
		v.table.SetArrangement(f.arr, ways, lookup, f.now)
		for _, name := range v.table.Neighbors() {
			f.addWatch(f.byName[name], v, old)
		}
	}
}

// addWatch has to told of from's chunks. A new watch starts with all of them.
func (f *fleet) addWatch(from, to *vm, old map[[2]*vm]*watch) {
	w := old[[2]*vm{from, to}]
	if w == nil {
		w = &watch{from: from, to: to, last: -f.p.HaveInterval}
		if from.have.Count() > 0 {
			f.schedule(w)
		}
	}
	from.watchers = append(from.watchers, w)
}

func (f *fleet) latency(a, b *vm) time.Duration {
	if a.region != b.region {
		return f.p.RegionLatency
	}
	return f.p.ZoneLatency
}

// publish spreads news of what v holds and brings in.
func (f *fleet) publish(v *vm) {
	v.have, v.claims = v.table.Have().Clone(), v.table.Claims()
	for _, w := range v.watchers {
		f.schedule(w)
	}
}

func (f *fleet) schedule(w *watch) {
	if w.scheduled {
		return
	}
	w.scheduled = true
	wait := max(0, w.last+f.p.HaveInterval-f.now)
	f.after(wait+f.latency(w.from, w.to), func() { f.deliver(w) })
}

func (f *fleet) deliver(w *watch) {
	w.scheduled = false
	w.last = f.now
	f.res.Messages += 2
	if !w.from.alive || !w.to.alive || w.to.completed > 0 {
		return
	}
	start := time.Now()
	w.to.table.Heard(w.from.node.Name, w.from.have, w.from.claims, f.now)
	f.planTime += time.Since(start)
	f.plan(w.to)
}

// plan lets a VM send what its table asks for now.
func (f *fleet) plan(v *vm) {
	if !v.alive || v.completed > 0 {
		return
	}
	start := time.Now()
	f.hearLiving(v)
	requests := planner.Plan(v.table, f.now)
	f.planTime += time.Since(start)
	f.res.Plans++
	entering := false
	for _, r := range requests {
		v.table.Started(r, f.now)
		entering = entering || r.FromSource() || r.Far
		f.send(v, r)
	}
	if entering {
		f.publish(v)
	}
	f.scheduleWake(v)
}

// hearLiving stands for the answers without news that neighbors give at least
// every HaveHold; they are not simulated one by one.
func (f *fleet) hearLiving(v *vm) {
	for _, name := range v.table.Neighbors() {
		if f.byName[name].alive {
			v.table.Alive(name, f.now)
		}
	}
}

const maxPause = time.Second

func (f *fleet) scheduleWake(v *vm) {
	at := f.now + min(v.table.Wake(f.now), maxPause)
	if v.wake == nil {
		v.wake = f.after(at-f.now, func() { f.plan(v) })
		return
	}
	f.move(v.wake, at)
}

func (f *fleet) send(v *vm, r planner.Request) {
	t := &transfer{Request: r, to: v}
	v.inbound = append(v.inbound, t)
	f.res.Messages += 2
	if r.FromSource() {
		f.after(f.p.RegionLatency, func() { f.startFlow(t) })
		return
	}
	t.from = f.byName[r.From]
	t.from.outbound = append(t.from.outbound, t)
	f.after(f.latency(t.from, v), func() { f.arrive(t) })
}

// arrive is a request reaching its sender: it gets a slot, waits or is lost.
func (f *fleet) arrive(t *transfer) {
	if t.over {
		return
	}
	if !t.from.alive {
		f.stallLater(t)
		return
	}
	if t.Far || t.from.active < f.p.UploadSlots {
		f.startFlow(t)
		return
	}
	t.from.waiting = append(t.from.waiting, t)
	t.timeout = f.after(f.p.QueueWait, func() { f.end(t, planner.Busy) })
}

func (f *fleet) startFlow(t *transfer) {
	if t.over {
		return
	}
	t.started = true
	done := func() { f.arrived(t) }
	size := f.p.chunkBytes()
	switch {
	case t.from == nil:
		t.flow = startFlow(&f.clock, size, 0, done, f.origin, f.toRegion[t.to.region], t.to.down)
	case t.Far:
		limit := pairRate(f.p) / float64(len(f.arr.Fetchers(t.to.node.Region)))
		t.flow = startFlow(&f.clock, size, limit, done, t.from.up, f.pairs[t.from.region][t.to.region], t.to.down)
	default:
		t.from.active++
		t.flow = startFlow(&f.clock, size, 0, done, t.from.up, t.to.down)
	}
	f.watchStall(t, t.flow.left)
}

// watchStall ends a transfer that moved nothing within the stall timeout.
func (f *fleet) watchStall(t *transfer, before float64) {
	t.timeout = f.after(f.p.StallTimeout, func() {
		t.flow.settle()
		if t.flow.left == before {
			f.end(t, planner.Failed)
			return
		}
		f.watchStall(t, t.flow.left)
	})
}

func (f *fleet) stallLater(t *transfer) {
	t.timeout = f.after(f.p.StallTimeout, func() { f.end(t, planner.Failed) })
}

func (f *fleet) arrived(t *transfer) {
	t.flow = nil
	if f.rnd.Float64() < f.p.Faults.Corrupt {
		f.res.Corrupt++
		f.end(t, planner.Corrupt)
		return
	}
	if t.FromSource() || t.Far {
		f.entered[t.to.region][t.Chunk]++
	}
	f.end(t, planner.Received)
}

// end closes a transfer, frees its slot and tells the receiver.
func (f *fleet) end(t *transfer, out planner.Outcome) {
	if t.over {
		return
	}
	t.over = true
	if t.timeout != nil {
		f.cancel(t.timeout)
	}
	if t.flow != nil {
		t.flow.stop()
	}
	t.to.inbound = without(t.to.inbound, t)
	f.release(t)
	if !t.to.alive {
		return
	}
	t.to.table.Ended(t.Request, out, f.now)
	f.cancelNeedless(t)
	if out == planner.Received || t.FromSource() || t.Far {
		f.publish(t.to)
	}
	f.checkComplete(t.to)
	f.plan(t.to)
}

// cancelNeedless ends the other requests for a chunk that has arrived.
func (f *fleet) cancelNeedless(t *transfer) {
	if len(t.to.table.Needless()) == 0 {
		return
	}
	for _, other := range slices.Clone(t.to.inbound) {
		if other.Chunk == t.Chunk {
			f.end(other, planner.Canceled)
		}
	}
}

func (f *fleet) release(t *transfer) {
	s := t.from
	if s == nil {
		return
	}
	s.outbound = without(s.outbound, t)
	if slices.Contains(s.waiting, t) {
		s.waiting = without(s.waiting, t)
		return
	}
	if t.Far || !t.started {
		return
	}
	s.active--
	if len(s.waiting) > 0 && s.alive {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		f.cancel(next.timeout)
		f.startFlow(next)
	}
}

func without(list []*transfer, t *transfer) []*transfer {
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
	f.left--
	f.res.Complete++
	f.res.Duration = max(f.res.Duration, f.now)
	f.cancel(v.wake)
	for _, t := range slices.Clone(v.inbound) {
		f.end(t, planner.Canceled)
	}
}

func (f *fleet) result() Result {
	r := f.res
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
		r.Full, r.Median = full[len(full)-1], full[len(full)/2]
	}
	r.OriginBytes = int64(f.origin.bytes)
	for i, row := range f.pairs {
		for j, l := range row {
			if i != j && l.bytes > 0 {
				r.PairBytes = append(r.PairBytes, int64(l.bytes))
				r.CrossBytes += int64(l.bytes)
			}
		}
	}
	for _, chunks := range f.entered {
		for _, n := range chunks {
			r.MaxEntered = max(r.MaxEntered, n)
			r.ExtraEntered += max(0, n-1)
		}
	}
	n := float64(len(f.vms))
	r.Messages /= n
	r.Plans /= n
	r.PlanTime = time.Duration(float64(f.planTime) / n)
	return r
}
