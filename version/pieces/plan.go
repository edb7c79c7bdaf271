package pieces

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/waxwingpost/waxwingpost/version/manifest"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

// Origin is the name of the origin among the sources of a piece.
const Origin = ""

// Lane says which link a piece comes over first.
type Lane uint8

// Lanes.
const (
	// FromOrigin is the origin's link.
	FromOrigin Lane = iota
	// FromFar is the link between two regions.
	FromFar
	// FromNear is the link of another VM in the region.
	FromNear
)

// Step is one source of a piece.
type Step struct {
	// From is an agent's name, or Origin.
	From string
	// Wait asks the agent to answer once it has the piece: it is in charge.
	Wait bool
	// After is how long the piece must have been tried for before this source is
	// asked.
	After time.Duration
}

const (
	// takeOver is the time after which a piece is sought from agents that are not
	// in charge of it: a little more than one request may take.
	takeOver = 2500 * time.Millisecond
	// perRank spreads the agents further down the order, so that few of them turn
	// to the origin before the piece has spread from there.
	perRank = 700 * time.Millisecond
	// maxProbes bounds the agents that are asked whether they have the piece.
	maxProbes = 6
)

// Plan tells where an agent takes each piece from.
type Plan struct {
	self planner.Node
	home string
	arr  *planner.Arrangement
	// near and far are the agents, of the own region and of others, whose
	// engines hold the whole version.
	near, far []string
}

// NewPlan returns the plan of one agent. home is the origin's region; where no
// agent is there, the first region takes its place. Agents with equal lists of
// nodes make plans that fit together. holders names the agents whose engines
// hold the version already.
func NewPlan(self planner.Node, nodes []planner.Node, home string, k Key, holders map[string]bool) *Plan {
	if !slices.ContainsFunc(nodes, func(n planner.Node) bool { return n.Name == self.Name }) {
		nodes = append(slices.Clone(nodes), self)
	}
	if !slices.ContainsFunc(nodes, func(n planner.Node) bool { return n.Region == home }) {
		home = slices.MinFunc(nodes, func(a, b planner.Node) int { return strings.Compare(a.Region, b.Region) }).Region
	}
	set := planner.Settings{Fetchers: len(nodes)}
	p := &Plan{self: self, home: home, arr: planner.Arrange(nodes, k.digest(), set)}
	for _, n := range nodes {
		switch {
		case n.Name == self.Name || !holders[n.Name]:
		case n.Region == self.Region:
			p.near = append(p.near, n.Name)
		default:
			p.far = append(p.far, n.Name)
		}
	}
	slices.Sort(p.near)
	slices.Sort(p.far)
	return p
}

// digest seeds the arrangement of a version.
func (k Key) digest() manifest.Digest {
	return manifest.Digest(sha256.Sum256(binary.BigEndian.AppendUint64([]byte(k.Model+"\x00"), uint64(k.Version))))
}

// turned returns a list that begins elsewhere for each piece.
func turned(list []string, piece int) []string {
	if len(list) == 0 {
		return nil
	}
	at := piece % len(list)
	return append(slices.Clone(list[at:]), list[:at]...)
}

// inCharge returns a region's agents in the order in which they are in charge
// of a piece, those that failed lately last. Each is first for an equal part of
// the pieces: all links are equally narrow, and the fullest one decides when the
// last agent is served.
func (p *Plan) inCharge(region string, piece int, failed func(name string) bool) []string {
	order := turned(p.arr.Fetchers(region), piece)
	slices.SortStableFunc(order, func(a, b string) int { return rankOf(failed(a)) - rankOf(failed(b)) })
	return order
}

func rankOf(failed bool) int {
	if failed {
		return 1
	}
	return 0
}

// Known is what an agent has learned of the others in the transfer.
type Known struct {
	// Failed tells which agents failed lately: the next in the order takes their
	// place.
	Failed func(name string) bool
	// Has tells whether an agent is known to hold a piece.
	Has func(name string, piece int) bool
}

// Steps returns the sources of a piece in the order in which they are asked,
// and the link that the first of them is behind.
func (p *Plan) Steps(piece int, known Known) ([]Step, Lane) {
	region := p.inCharge(p.self.Region, piece, known.Failed)
	rank := slices.Index(region, p.self.Name)
	first, lane := p.first(piece, region, rank, known.Failed)
	others := without(region, p.self.Name)
	var steps []Step
	// Each turns to another of those that have the piece.
	for _, name := range turned(others, piece+rank) {
		if known.Has(name, piece) {
			steps = append(steps, Step{From: name})
		}
	}
	steps = append(steps, first...)
	for _, name := range others[:min(maxProbes, len(others))] {
		steps = append(steps, Step{From: name, After: takeOver})
	}
	after := takeOver + time.Duration(rank)*perRank
	if p.self.Region != p.home {
		for _, name := range p.inCharge(p.home, piece, known.Failed)[:1] {
			steps = append(steps, Step{From: name, After: after})
		}
		after += takeOver
	}
	return append(steps, Step{From: Origin, After: after}), lane
}

// first returns the steps that a transfer without failures takes.
func (p *Plan) first(piece int, region []string, rank int, failed func(string) bool) ([]Step, Lane) {
	if len(p.near) > 0 {
		return each(turned(p.near, piece), false), FromNear
	}
	if rank > 0 {
		return each(region[:1], true), FromNear
	}
	if len(p.far) > 0 {
		return each(turned(p.far, piece), false), FromFar
	}
	if p.self.Region == p.home {
		return []Step{{From: Origin}}, FromOrigin
	}
	return each(p.inCharge(p.home, piece, failed)[:1], true), FromFar
}

func each(names []string, wait bool) []Step {
	steps := make([]Step, len(names))
	for i, name := range names {
		steps[i] = Step{From: name, Wait: wait}
	}
	return steps
}

// Order returns the pieces in the order in which this agent asks for them: each
// begins elsewhere, so that they don't all ask the same agent first.
func (p *Plan) Order(pieces []int) []int {
	if len(pieces) == 0 {
		return nil
	}
	ring := p.arr.Fetchers(p.self.Region)
	at := max(slices.Index(ring, p.self.Name), 0) * len(pieces) / max(len(ring), 1)
	return append(slices.Clone(pieces[at:]), pieces[:at]...)
}

// homeAgents counts the agents of the origin's region.
func (p *Plan) homeAgents() int { return len(p.arr.Fetchers(p.home)) }

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
