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

// Step is one source of a piece.
type Step struct {
	// From is an agent's name, or Origin.
	From string
	// Holder is set for an agent that is known to hold the piece.
	Holder bool
	// Wait asks the agent to answer once it has the piece: it is in charge.
	Wait bool
	// Paced is set where After is the turn of the piece at the origin.
	Paced bool
	// After is how long the piece must have been tried for before this source is
	// asked.
	After time.Duration
}

const (
	// usualExit is the time in which a version leaves an origin whose rate is not
	// told, as on the platform's sites.
	usualExit = 2 * time.Second
	// exitMargin is added to the time in which a version leaves the origin: the
	// start of the transfer, and the way of the last piece.
	exitMargin = 900 * time.Millisecond
	// perRank spreads the agents further down the order, so that few of them turn
	// to the origin before the piece has spread from there. It takes 45 ms to
	// cross the platform's narrow links, and some agents wait for each.
	perRank = 700 * time.Millisecond
	// crossing is how much later agents of other regions turn to the origin. While
	// those of its region answer, what they lack is theirs to bring.
	crossing = 4 * time.Second
	// originLead is how many pieces are under way from the origin at once. All that
	// are asked for share its link, and none would be whole before all nearly are.
	originLead = 6
	// maxHomeProbes bounds the agents of the origin's region that one of another
	// region asks.
	maxHomeProbes = 3
	// maxProbes bounds the agents that are asked whether they have the piece.
	maxProbes = 6
)

// Plan tells where an agent takes each piece from.
type Plan struct {
	self planner.Node
	home string
	// exit is the time after which every piece should have left the origin; one
	// that nobody is known to hold then is sought from others than the agent in
	// charge.
	exit time.Duration
	// pieceTime is the time that the origin's link takes for a piece; 0 is not
	// known.
	pieceTime time.Duration
	arr       *planner.Arrangement
	// near and far are the agents, of the own region and of others, whose
	// engines hold the whole version.
	near, far []string
}

// NewPlan returns the plan of one agent. home is the origin's region; where no
// agent is there, the first region takes its place. Agents with equal lists of
// nodes make plans that fit together. holders names the agents whose engines
// hold the version already. exit is the time in which a version of so many pieces
// leaves the origin; 0 is not known.
func NewPlan(self planner.Node, nodes []planner.Node, home string, k Key, holders map[string]bool, exit time.Duration, pieces int) *Plan {
	if !slices.ContainsFunc(nodes, func(n planner.Node) bool { return n.Name == self.Name }) {
		nodes = append(slices.Clone(nodes), self)
	}
	if !slices.ContainsFunc(nodes, func(n planner.Node) bool { return n.Region == home }) {
		home = slices.MinFunc(nodes, func(a, b planner.Node) int { return strings.Compare(a.Region, b.Region) }).Region
	}
	set := planner.Settings{Fetchers: len(nodes)}
	pieceTime := exit / time.Duration(max(pieces, 1))
	if exit == 0 {
		exit = usualExit
	}
	p := &Plan{self: self, home: home, exit: exit + exitMargin, pieceTime: pieceTime, arr: planner.Arrange(nodes, k.digest(), set)}
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

// Steps returns the sources of a piece in the order in which they are asked.
func (p *Plan) Steps(piece int, known Known) []Step {
	region := p.inCharge(p.self.Region, piece, known.Failed)
	rank := slices.Index(region, p.self.Name)
	first := p.first(piece, region, rank, known.Failed)
	others := without(region, p.self.Name)
	var steps []Step
	// Each turns to another of those that have the piece.
	for _, name := range turned(others, piece+rank) {
		if known.Has(name, piece) {
			steps = append(steps, Step{From: name, Holder: true})
		}
	}
	steps = append(steps, first...)
	for _, name := range others[:min(maxProbes, len(others))] {
		steps = append(steps, Step{From: name, After: p.exit})
	}
	after := p.exit + time.Duration(rank)*perRank
	if p.self.Region != p.home {
		home := p.inCharge(p.home, piece, known.Failed)
		for i, name := range home[:min(maxHomeProbes, len(home))] {
			steps = append(steps, Step{From: name, After: after + time.Duration(i)*perRank})
		}
		after += crossing
	}
	return append(steps, Step{From: Origin, After: after})
}

// first returns the steps that a transfer without failures takes.
func (p *Plan) first(piece int, region []string, rank int, failed func(string) bool) []Step {
	if len(p.near) > 0 {
		return each(turned(p.near, piece), false)
	}
	if rank > 0 {
		return each(region[:1], true)
	}
	if len(p.far) > 0 {
		return each(turned(p.far, piece), false)
	}
	if p.self.Region == p.home {
		return []Step{p.fromOrigin(piece)}
	}
	if home := p.inCharge(p.home, piece, failed)[:1]; !failed(home[0]) {
		return each(home, true)
	}
	// All agents of the origin's region have failed.
	return []Step{p.fromOrigin(piece)}
}

// fromOrigin returns the step that takes a piece from the origin, in its turn.
func (p *Plan) fromOrigin(piece int) Step {
	return Step{From: Origin, Paced: true, After: max(0, time.Duration(piece-originLead)*p.pieceTime)}
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

// isFar reports whether an agent is in another region.
func (p *Plan) isFar(name string) bool {
	return name != Origin && !slices.Contains(p.arr.Fetchers(p.self.Region), name)
}

// originAsks returns how many requests to an origin that takes so many
// connections, 0 is not known, the agent has under way at once: half of them are
// shared by the agents of its region, others turn to it where all else fails.
func (p *Plan) originAsks(conns int) int {
	switch {
	case p.self.Region != p.home:
		return 1
	case conns <= 0:
		return originAsks
	default:
		return max(1, min(originAsks, conns/2/max(len(p.arr.Fetchers(p.home)), 1)))
	}
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
