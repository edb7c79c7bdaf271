package pieces

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"

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

// Plan tells where an agent takes each piece from.
type Plan struct {
	self planner.Node
	home string
	arr  *planner.Arrangement
	// holders are the agents of the own region that hold the whole version.
	holders []string
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
		home = slices.MinFunc(nodes, func(a, b planner.Node) int {
			if a.Region < b.Region {
				return -1
			}
			return 1
		}).Region
	}
	set := planner.Settings{Fetchers: len(nodes)}
	p := &Plan{self: self, home: home, arr: planner.Arrange(nodes, k.digest(), set)}
	for _, n := range nodes {
		if n.Region == self.Region && n.Name != self.Name && holders[n.Name] {
			p.holders = append(p.holders, n.Name)
		}
	}
	slices.Sort(p.holders)
	return p
}

// fromHolders returns the holders of the region, each first for its share of
// the pieces.
func (p *Plan) fromHolders(piece int) []string {
	at := piece % len(p.holders)
	return append(slices.Clone(p.holders[at:]), p.holders[:at]...)
}

// digest seeds the arrangement of a version.
func (k Key) digest() manifest.Digest {
	return manifest.Digest(sha256.Sum256(binary.BigEndian.AppendUint64([]byte(k.Model+"\x00"), uint64(k.Version))))
}

// inCharge returns a region's agents in the order in which they are in charge
// of a piece. Each is first for an equal part of the pieces: all links are
// equally narrow, and the fullest one decides when the last agent is served.
func (p *Plan) inCharge(region string, piece int) []string {
	ring := p.arr.Fetchers(region)
	if len(ring) == 0 {
		return nil
	}
	at := piece % len(ring)
	return append(slices.Clone(ring[at:]), ring[:at]...)
}

// Sources returns whom to ask for a piece, in order. The origin is last, but
// for the agent in charge of the piece.
func (p *Plan) Sources(piece int) ([]string, Lane) {
	home := p.inCharge(p.home, piece)
	region := p.inCharge(p.self.Region, piece)
	switch {
	case len(p.holders) > 0:
		return append(append(p.fromHolders(piece), without(home, p.self.Name)...), Origin), FromNear
	case len(home) > 0 && home[0] == p.self.Name:
		return append([]string{Origin}, without(home, p.self.Name)...), FromOrigin
	case p.self.Region == p.home:
		return append(without(home, p.self.Name), Origin), FromNear
	case len(region) > 0 && region[0] == p.self.Name:
		return append(slices.Clone(home), Origin), FromFar
	default:
		return append(append(without(region, p.self.Name), home...), Origin), FromNear
	}
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

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
