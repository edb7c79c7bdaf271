package planner

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// world drives tables over a made-up network, step by step: requests end, news
// arrives and agents come and go in random order.
type world struct {
	rnd    *rand.Rand
	set    Settings
	ways   Ways
	chunks int
	now    time.Duration
	agents map[string]*worldAgent
	names  []string
	arr    *Arrangement
	// faulty is the part of requests that end badly.
	faulty float64
	// entered counts how often a chunk was brought into a region, left how
	// often it left a source.
	entered map[string][]int
	left    []int
	broken  error
	// mute agents stand in the views but take no part.
	mute map[string]bool
}

type worldAgent struct {
	node    Node
	table   *Table
	flights []Request
}

func newWorld(seed uint64, agents, regions, chunks int, share float64) *world {
	w := &world{
		rnd:     rand.New(rand.NewPCG(seed, 7)),
		set:     DefaultSettings(),
		ways:    Ways{Share: share, FarChunk: time.Second},
		chunks:  chunks,
		agents:  make(map[string]*worldAgent),
		entered: make(map[string][]int),
		left:    make([]int, chunks),
	}
	for i := range agents {
		w.join(i, regions)
	}
	w.arrange()
	return w
}

func (w *world) join(i, regions int) {
	region := fmt.Sprintf("r%d", i%regions)
	node := Node{Name: fmt.Sprintf("a%02d", i), Zone: fmt.Sprintf("%s-%d", region, i/regions%2), Region: region}
	a := &worldAgent{node: node, table: NewTable(node, w.chunks, w.set)}
	a.table.SetSources([]SourceState{{Origin: true}})
	w.agents[node.Name] = a
	w.names = append(w.names, node.Name)
	if w.entered[region] == nil {
		w.entered[region] = make([]int, w.chunks)
	}
}

func (w *world) leave(name string) {
	delete(w.agents, name)
	for i, n := range w.names {
		if n == name {
			w.names = append(w.names[:i], w.names[i+1:]...)
			return
		}
	}
}

// arrange gives every agent the view of those that are there.
func (w *world) arrange() {
	nodes := make([]Node, 0, len(w.names))
	for _, name := range w.names {
		nodes = append(nodes, w.agents[name].node)
	}
	w.arr = Arrange(nodes, manifest.Sum([]byte("v")), w.set)
	for _, name := range w.names {
		lookup := func(n string) Node { return w.agents[n].node }
		w.agents[name].table.SetArrangement(w.arr, w.ways, lookup, w.now)
	}
}

// step lets time pass and one agent plan, hear and receive.
func (w *world) step() {
	w.now += 100 * time.Millisecond
	for _, name := range w.names {
		w.hear(w.agents[name])
	}
	if a := w.agents[w.names[w.rnd.IntN(len(w.names))]]; !w.mute[a.node.Name] {
		w.plan(a)
	}
	for range 2 {
		w.finish(w.agents[w.names[w.rnd.IntN(len(w.names))]])
	}
}

// hear brings an agent the newest news of all its neighbors.
func (w *world) hear(a *worldAgent) {
	for _, name := range a.table.Neighbors() {
		if n := w.agents[name]; n != nil && !w.mute[name] {
			a.table.Heard(name, n.table.Have().Clone(), n.table.Claims(), w.now)
		}
	}
}

func (w *world) plan(a *worldAgent) {
	for _, r := range Plan(a.table, w.now) {
		w.check(a, r)
		a.table.Started(r, w.now)
		a.flights = append(a.flights, r)
		w.checkBounds(a, r)
	}
	// Others hear of claims before they plan.
	for _, name := range w.names {
		w.hear(w.agents[name])
	}
}

func (w *world) fail(format string, args ...any) {
	if w.broken == nil {
		w.broken = fmt.Errorf(format, args...)
	}
}

// check judges a request against what the agent knows.
func (w *world) check(a *worldAgent, r Request) {
	if a.table.Have().Has(r.Chunk) {
		w.fail("%s asks for chunk %d, which it holds", a.node.Name, r.Chunk)
	}
	if r.FromSource() {
		return
	}
	n := a.table.byName[r.From]
	if n == nil || !n.have.Has(r.Chunk) {
		w.fail("%s asks %s for chunk %d, which it doesn't hold", a.node.Name, r.From, r.Chunk)
		return
	}
	if n.demoted <= w.now {
		return
	}
	for _, other := range a.table.neighbors {
		if !other.far && other.have.Has(r.Chunk) && other.demoted <= w.now && other.heard == w.now {
			w.fail("%s asks the demoted %s for chunk %d, which %s holds", a.node.Name, r.From, r.Chunk, other.name)
		}
	}
}

// checkBounds judges what is in flight.
func (w *world) checkBounds(a *worldAgent, last Request) {
	near, sources, same := 0, 0, 0
	to := make(map[string]int)
	for _, r := range a.flights {
		to[r.From]++
		switch {
		case r.FromSource():
			sources++
		case !r.Far:
			near++
		}
		if r.Chunk == last.Chunk {
			same++
		}
	}
	if near > w.set.InFlight || sources > w.set.SourceInFlight || same > 2 || !last.FromSource() && to[last.From] > w.set.PerNeighbor {
		w.fail("%s has %d near, %d source, %d to %q, %d for chunk %d", a.node.Name, near, sources, to[last.From], last.From, same, last.Chunk)
	}
}

// finish ends one request of an agent.
func (w *world) finish(a *worldAgent) {
	if len(a.flights) == 0 {
		return
	}
	i := w.rnd.IntN(len(a.flights))
	r := a.flights[i]
	a.flights = append(a.flights[:i], a.flights[i+1:]...)
	a.table.Ended(r, w.outcome(a, r), w.now)
}

func (w *world) outcome(a *worldAgent, r Request) Outcome {
	sender := w.agents[r.From]
	if !r.FromSource() && sender == nil {
		return Failed
	}
	if w.rnd.Float64() < w.faulty {
		return []Outcome{Corrupt, Failed, Busy, Canceled}[w.rnd.IntN(4)]
	}
	if !r.FromSource() && !sender.table.Have().Has(r.Chunk) {
		return Missing
	}
	if r.FromSource() {
		w.left[r.Chunk]++
	}
	if r.entering() {
		w.entered[a.node.Region][r.Chunk]++
	}
	return Received
}

func (w *world) complete() bool {
	for name, a := range w.agents {
		if !w.mute[name] && !a.table.Complete() {
			return false
		}
	}
	return true
}

// run steps until all agents are complete or the limit is reached.
func (w *world) run(limit int) bool {
	for range limit {
		if w.broken != nil || w.complete() {
			break
		}
		w.step()
	}
	return w.complete()
}
