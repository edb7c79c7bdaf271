package virtual

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/version/planner"
)

// RunAllFromOrigin simulates every VM pulling its own copy from the origin. It does
// not simulate faults.
func RunAllFromOrigin(p Params) Result {
	c := &clock{}
	origin := &link{rate: p.originRate()}
	r := Result{Survivors: p.VMs}
	for range p.VMs {
		down := &link{rate: p.vmRate()}
		startFlow(c, p.ModelBytes, 0, func() {
			r.Complete++
			r.Duration = c.now
		}, origin, down)
	}
	for c.step() {
	}
	r.OriginBytes = int64(math.Round(origin.bytes))
	return r
}

// treeArity is the maximum number of children of a VM in the fixed tree before any
// VM fails.
const treeArity = 2

// treeNode is a VM of the fixed tree. It sends chunks to its children in the order in
// which they arrived.
type treeNode struct {
	vm       *vm
	parent   *treeNode // nil for a root
	children []*treeNode
	queue    []int
	flow     *flow
}

type tree struct {
	*fleet
	nodes map[*vm]*treeNode
}

// RunTree simulates the transfer of a version down a fixed binary tree in each
// region, whose root pulls its copy from the origin. When a VM fails, its children
// attach to its nearest live ancestor, or to the origin, once the views are updated.
func RunTree(p Params) Result {
	f := newFleet(p)
	f.arrangement = planner.Arrange(nil, [32]byte{}, p.Planner)
	t := &tree{fleet: f, nodes: make(map[*vm]*treeNode)}
	t.build(f.rnd)
	for _, v := range f.vms {
		if n := t.nodes[v]; n.parent == nil {
			t.requeueMissing(n)
		}
	}
	t.injectTreeFaults()
	for f.unfinished > 0 && f.now < 20*p.Window && f.step() {
	}
	return f.result()
}

func (t *tree) build(rnd *rand.Rand) {
	regions := make([][]*treeNode, len(t.regions))
	for _, i := range rnd.Perm(len(t.vms)) {
		v := t.vms[i]
		n := &treeNode{vm: v}
		t.nodes[v] = n
		members := regions[v.region]
		if len(members) > 0 {
			n.parent = members[(len(members)-1)/treeArity]
			n.parent.children = append(n.parent.children, n)
		}
		regions[v.region] = append(members, n)
	}
}

// requeueMissing rebuilds the queue of n with the chunks that n lacks and its parent
// has.
func (t *tree) requeueMissing(n *treeNode) {
	n.queue = n.queue[:0]
	for c := range t.params.Chunks {
		if !n.vm.table.Have().Has(c) && (n.parent == nil || n.parent.vm.table.Have().Has(c)) {
			n.queue = append(n.queue, c)
		}
	}
	t.sendNext(n)
}

// sendNext starts to send the next queued chunk to n unless a transfer is in
// progress.
func (t *tree) sendNext(n *treeNode) {
	if n.flow != nil || len(n.queue) == 0 || !n.vm.alive {
		return
	}
	c := n.queue[0]
	n.queue = n.queue[1:]
	done := func() { t.receiveChunk(n, c) }
	if n.parent == nil {
		n.flow = startFlow(&t.clock, t.params.chunkBytes(), 0, done, t.origin, t.toRegion[n.vm.region], n.vm.down)
		return
	}
	n.flow = startFlow(&t.clock, t.params.chunkBytes(), 0, done, n.parent.vm.up, n.vm.down)
}

func (t *tree) receiveChunk(n *treeNode, c int) {
	n.flow = nil
	if t.rnd.Float64() < t.params.Faults.CorruptShare {
		t.stats.CorruptChunks++
		n.queue = slices.Insert(n.queue, 0, c)
		t.sendNext(n)
		return
	}
	n.vm.table.MarkHeld(c)
	for _, child := range n.children {
		child.queue = append(child.queue, c)
		t.sendNext(child)
	}
	if n.vm.completed == 0 && n.vm.table.Complete() {
		n.vm.completed = t.now
		t.unfinished--
		t.stats.Complete++
		t.stats.Duration = t.now
	}
	t.sendNext(n)
}

func (t *tree) injectTreeFaults() {
	t.slowVMs()
	for _, fl := range t.drawFailures() {
		t.schedule(fl.at, func() { t.failNode(t.nodes[fl.vm]) })
	}
	if t.params.Faults.StallFor > 0 {
		t.schedule(t.params.PlannedBound()/5, t.stallLinks)
	}
}

func (t *tree) failNode(n *treeNode) {
	if n.vm.completed > 0 {
		return
	}
	n.vm.alive = false
	t.unfinished--
	for _, m := range append(slices.Clone(n.children), n) {
		t.abortFlow(m)
	}
	t.schedule(t.params.ViewDelay, func() { t.reattachChildren(n) })
}

func (t *tree) abortFlow(n *treeNode) {
	if n.flow != nil {
		n.flow.abort()
		n.flow = nil
	}
	n.queue = nil
}

// reattachChildren attaches the children of a failed VM to its nearest live ancestor.
func (t *tree) reattachChildren(n *treeNode) {
	ancestor := n.parent
	for ancestor != nil && !ancestor.vm.alive {
		ancestor = ancestor.parent
	}
	for _, child := range n.children {
		child.parent = ancestor
		if ancestor != nil {
			ancestor.children = append(ancestor.children, child)
		}
		if child.vm.alive {
			t.abortFlow(child)
			t.requeueMissing(child)
		}
	}
	n.children = nil
}

// drawFailures chooses at random which VMs fail, and when after the start.
func (f *fleet) drawFailures() []failure {
	bound := f.params.PlannedBound()
	var result []failure
	for _, i := range f.faultOrder[f.slowCount() : f.slowCount()+int(f.params.Faults.FailShare*float64(len(f.vms)))] {
		at := bound/10 + time.Duration(f.rnd.Int64N(int64(bound/2)))
		result = append(result, failure{f.vms[i], at})
	}
	return result
}
