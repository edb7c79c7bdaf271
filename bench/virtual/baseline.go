package virtual

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/version/planner"
)

// RunAllFromOrigin lets every VM take its own copy from the origin. It knows
// no faults.
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

// treeArity is how many children a VM of the fixed tree has.
const treeArity = 2

// treeNode is a VM of the fixed tree. Each sends to its children chunk by
// chunk, in the order of their arrival.
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

// RunTree moves a version down a fixed binary tree in each region, whose root
// takes its copy from the origin. When a VM has died its children attach to
// its parent, or to the origin, once the view says so.
func RunTree(p Params) Result {
	f := newFleet(p)
	f.arr = planner.Arrange(nil, [32]byte{}, p.Planner)
	t := &tree{fleet: f, nodes: make(map[*vm]*treeNode)}
	t.build(f.rnd)
	for _, v := range f.vms {
		if n := t.nodes[v]; n.parent == nil {
			t.resend(n)
		}
	}
	t.injectTreeFaults()
	for f.left > 0 && f.now < 20*p.Window && f.step() {
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

// resend queues for n all chunks that its parent holds and it lacks.
func (t *tree) resend(n *treeNode) {
	n.queue = n.queue[:0]
	for c := range t.p.Chunks {
		if !n.vm.table.Have().Has(c) && (n.parent == nil || n.parent.vm.table.Have().Has(c)) {
			n.queue = append(n.queue, c)
		}
	}
	t.next(n)
}

// next begins the next chunk on the way to n unless one is under way.
func (t *tree) next(n *treeNode) {
	if n.flow != nil || len(n.queue) == 0 || !n.vm.alive {
		return
	}
	c := n.queue[0]
	n.queue = n.queue[1:]
	done := func() { t.receive(n, c) }
	if n.parent == nil {
		n.flow = startFlow(&t.clock, t.p.chunkBytes(), 0, done, t.origin, t.toRegion[n.vm.region], n.vm.down)
		return
	}
	n.flow = startFlow(&t.clock, t.p.chunkBytes(), 0, done, n.parent.vm.up, n.vm.down)
}

func (t *tree) receive(n *treeNode, c int) {
	n.flow = nil
	if t.rnd.Float64() < t.p.Faults.Corrupt {
		t.res.Corrupt++
		n.queue = slices.Insert(n.queue, 0, c)
		t.next(n)
		return
	}
	n.vm.table.Hold(c)
	for _, child := range n.children {
		child.queue = append(child.queue, c)
		t.next(child)
	}
	if n.vm.completed == 0 && n.vm.table.Complete() {
		n.vm.completed = t.now
		t.left--
		t.res.Complete++
		t.res.Duration = t.now
	}
	t.next(n)
}

func (t *tree) injectTreeFaults() {
	t.slowDown()
	for _, d := range t.deaths() {
		t.after(d.at, func() { t.killNode(t.nodes[d.vm]) })
	}
	if t.p.Faults.StallFor > 0 {
		t.after(t.p.WayBound()/5, t.stallLinks)
	}
}

func (t *tree) killNode(n *treeNode) {
	if n.vm.completed > 0 {
		return
	}
	n.vm.alive = false
	t.left--
	for _, m := range append(slices.Clone(n.children), n) {
		t.halt(m)
	}
	t.after(t.p.ViewDelay, func() { t.bypass(n) })
}

func (t *tree) halt(n *treeNode) {
	if n.flow != nil {
		n.flow.stop()
		n.flow = nil
	}
	n.queue = nil
}

// bypass attaches the children of a dead VM to its nearest living ancestor.
func (t *tree) bypass(n *treeNode) {
	up := n.parent
	for up != nil && !up.vm.alive {
		up = up.parent
	}
	for _, child := range n.children {
		child.parent = up
		if up != nil {
			up.children = append(up.children, child)
		}
		if child.vm.alive {
			t.halt(child)
			t.resend(child)
		}
	}
	n.children = nil
}

// deaths draws which VMs die and when, counted from the start.
func (f *fleet) deaths() []death {
	bound := f.p.WayBound()
	var out []death
	for _, i := range f.order[f.slowCount() : f.slowCount()+int(f.p.Faults.Die*float64(len(f.vms)))] {
		at := bound/10 + time.Duration(f.rnd.Int64N(int64(bound/2)))
		out = append(out, death{f.vms[i], at})
	}
	return out
}
