package planner

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// simulation drives the tables of a set of agents step by step over a virtual
// network: requests end, updates arrive and agents join and leave in random
// order.
type simulation struct {
	rnd      *rand.Rand
	settings Settings
	policy   IngestPolicy
	chunks   int
	now      time.Duration
	agents   map[string]*simulatedAgent
	live     []string
	arr      *Arrangement
	// faultRate is the fraction of requests that fail.
	faultRate float64
	// ingested counts, by region and chunk, how often a chunk was brought into
	// the region, sourceReads, by chunk, how often it was read from a source.
	ingested    map[string][]int
	sourceReads []int
	violation   error
	// inactive agents are in the views but don't take part in the transfer.
	inactive map[string]bool
}

type simulatedAgent struct {
	node   Node
	table  *Table
	active []Request
}

func newSimulation(seed uint64, agents, regions, chunks int, share float64) *simulation {
	s := &simulation{
		rnd:         rand.New(rand.NewPCG(seed, 7)),
		settings:    DefaultSettings(),
		policy:      IngestPolicy{RelayShare: share, FarChunkTime: time.Second},
		chunks:      chunks,
		agents:      make(map[string]*simulatedAgent),
		ingested:    make(map[string][]int),
		sourceReads: make([]int, chunks),
	}
	for i := range agents {
		s.addAgent(i, regions)
	}
	s.arrange()
	return s
}

func (s *simulation) addAgent(i, regions int) {
	region := fmt.Sprintf("r%d", i%regions)
	node := Node{Name: fmt.Sprintf("a%02d", i), Zone: fmt.Sprintf("%s-%d", region, i/regions%2), Region: region}
	a := &simulatedAgent{node: node, table: NewTable(node, s.chunks, s.settings)}
	a.table.SetSources([]SourceState{{Origin: true}})
	s.agents[node.Name] = a
	s.live = append(s.live, node.Name)
	if s.ingested[region] == nil {
		s.ingested[region] = make([]int, s.chunks)
	}
}

func (s *simulation) removeAgent(name string) {
	delete(s.agents, name)
	for i, n := range s.live {
		if n == name {
			s.live = append(s.live[:i], s.live[i+1:]...)
			return
		}
	}
}

// arrange gives every agent a view of the live agents.
func (s *simulation) arrange() {
	nodes := make([]Node, 0, len(s.live))
	for _, name := range s.live {
		nodes = append(nodes, s.agents[name].node)
	}
	s.arr = Arrange(nodes, manifest.Sum([]byte("v")), s.settings)
	for _, name := range s.live {
		lookup := func(n string) Node { return s.agents[n].node }
		s.agents[name].table.SetArrangement(s.arr, s.policy, lookup, s.now)
	}
}

// step advances the time by 100 ms, delivers all updates, lets one agent plan
// and ends up to two requests.
func (s *simulation) step() {
	s.now += 100 * time.Millisecond
	for _, name := range s.live {
		s.deliverUpdates(s.agents[name])
	}
	if a := s.agents[s.live[s.rnd.IntN(len(s.live))]]; !s.inactive[a.node.Name] {
		s.plan(a)
	}
	for range 2 {
		s.finishRequest(s.agents[s.live[s.rnd.IntN(len(s.live))]])
	}
}

// deliverUpdates gives an agent the current state of all its neighbors.
func (s *simulation) deliverUpdates(a *simulatedAgent) {
	for _, name := range a.table.Neighbors() {
		if n := s.agents[name]; n != nil && !s.inactive[name] {
			a.table.UpdateNeighbor(name, n.table.Have().Clone(), n.table.Claims(), s.now)
		}
	}
}

func (s *simulation) plan(a *simulatedAgent) {
	for _, r := range Plan(a.table, s.now) {
		s.checkRequest(a, r)
		a.table.RequestStarted(r, s.now)
		a.active = append(a.active, r)
		s.checkBounds(a, r)
	}
	// The others learn of the claims before they plan.
	for _, name := range s.live {
		s.deliverUpdates(s.agents[name])
	}
}

func (s *simulation) recordViolation(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf(format, args...)
	}
}

// checkRequest checks a request against the state that the agent knows.
func (s *simulation) checkRequest(a *simulatedAgent, r Request) {
	if a.table.Have().Has(r.Chunk) {
		s.recordViolation("%s requests chunk %d, which it already holds", a.node.Name, r.Chunk)
	}
	if r.FromSource() {
		return
	}
	n := a.table.byName[r.From]
	if n == nil || !n.have.Has(r.Chunk) {
		s.recordViolation("%s requests from %s chunk %d, which that agent does not hold", a.node.Name, r.From, r.Chunk)
		return
	}
	if n.demotedUntil <= s.now {
		return
	}
	for _, other := range a.table.neighbors {
		if !other.far && other.have.Has(r.Chunk) && other.demotedUntil <= s.now && other.lastHeard == s.now {
			s.recordViolation("%s requests from the demoted %s chunk %d, which %s holds too", a.node.Name, r.From, r.Chunk, other.name)
		}
	}
}

// checkBounds checks the limits of the requests in flight.
func (s *simulation) checkBounds(a *simulatedAgent, last Request) {
	near, sources, forChunk := 0, 0, 0
	byNeighbor := make(map[string]int)
	for _, r := range a.active {
		byNeighbor[r.From]++
		switch {
		case r.FromSource():
			sources++
		case !r.Far:
			near++
		}
		if r.Chunk == last.Chunk {
			forChunk++
		}
	}
	if near > s.settings.InFlight || sources > s.settings.SourceInFlight || forChunk > 2 || !last.FromSource() && byNeighbor[last.From] > s.settings.PerNeighbor {
		s.recordViolation("%s has %d requests in the region, %d to sources, %d to %q, %d for chunk %d", a.node.Name, near, sources, byNeighbor[last.From], last.From, forChunk, last.Chunk)
	}
}

// finishRequest ends one random request of an agent.
func (s *simulation) finishRequest(a *simulatedAgent) {
	if len(a.active) == 0 {
		return
	}
	i := s.rnd.IntN(len(a.active))
	r := a.active[i]
	a.active = append(a.active[:i], a.active[i+1:]...)
	a.table.RequestEnded(r, s.outcome(a, r), s.now)
}

func (s *simulation) outcome(a *simulatedAgent, r Request) Outcome {
	sender := s.agents[r.From]
	if !r.FromSource() && sender == nil {
		return Failed
	}
	if s.rnd.Float64() < s.faultRate {
		return []Outcome{Corrupt, Failed, Busy, Canceled}[s.rnd.IntN(4)]
	}
	if !r.FromSource() && !sender.table.Have().Has(r.Chunk) {
		return Missing
	}
	if r.FromSource() {
		s.sourceReads[r.Chunk]++
	}
	if r.isIngest() {
		s.ingested[a.node.Region][r.Chunk]++
	}
	return Received
}

func (s *simulation) complete() bool {
	for name, a := range s.agents {
		if !s.inactive[name] && !a.table.Complete() {
			return false
		}
	}
	return true
}

// run steps until all agents are complete or the limit is reached.
func (s *simulation) run(limit int) bool {
	for range limit {
		if s.violation != nil || s.complete() {
			break
		}
		s.step()
	}
	return s.complete()
}
