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

// Source is a possible source of a piece and when it may be asked.
type Source struct {
	// From is an agent's name, or Origin.
	From string
	// Holder is set if the agent is known to hold the piece.
	Holder bool
	// Wait asks the agent, which is responsible for the piece, to answer once
	// it holds the piece.
	Wait bool
	// Paced is set if After is the scheduled time of the piece at the origin.
	Paced bool
	// Takeover is set for the origin if this agent replaces the one that is responsible,
	// whose piece others may hold: they are asked first.
	Takeover bool
	// OtherRegion is set for the origin if this agent is not in its region.
	OtherRegion bool
	// After is the earliest time at which this source may be asked, counted from
	// the start of the transfer or from when the origin or the transfer resumed.
	After time.Duration
}

const (
	// defaultOriginTime is the time in which a version is assumed to leave an
	// origin of unknown rate. The platform's origins take this long.
	defaultOriginTime = 2 * time.Second
	// originTimeMargin is added to the time in which a version leaves the origin.
	// It covers the start of the transfer and the delivery of the last piece.
	originTimeMargin = 900 * time.Millisecond
	// rankDelay staggers the agents by their position in the order, so that a piece
	// can spread before more agents ask the origin for it. A piece takes 45 ms to
	// cross the platform's low-bandwidth links, and several agents wait for each
	// piece.
	rankDelay = 700 * time.Millisecond
	// otherRegionDelay is how much later agents of other regions ask the origin.
	// While agents of the origin's region answer, missing pieces are theirs to
	// fetch.
	otherRegionDelay = 4 * time.Second
	// originWindow is the number of pieces requested from the origin at once. All
	// requested pieces share its link, so with a larger window the first piece
	// would be complete only shortly before the last.
	originWindow = 6
	// maxHomeProbes limits the agents of the origin's region that an agent of
	// another region asks as a fallback.
	maxHomeProbes = 3
	// maxProbes limits the agents of the same region that are asked for a piece as
	// a fallback although they are not known to hold it.
	maxProbes = 6
)

// Plan determines the sources of each piece for one agent.
type Plan struct {
	self planner.Node
	home string
	// originDeadline is the time after which every piece should have left the
	// origin. A piece without a known holder is then requested from agents other
	// than the responsible one.
	originDeadline time.Duration
	// pieceTime is the transfer time of a piece over the origin's link; 0 if not
	// known.
	pieceTime time.Duration
	arr       *planner.Arrangement
	// near and far are the agents whose engines hold the complete version, in
	// this agent's region and in other regions.
	near, far []string
	// others are the regions other than the origin's, in order.
	others []string
}

// NewPlan returns the plan of one agent. home is the origin's region; if no
// agent is in it, the region that sorts first replaces it. Agents with equal
// lists of nodes compute consistent plans. holders names the agents whose
// engines already hold the version. originTime is the time in which the version
// leaves the origin, pieces its number of pieces; each is 0 if not known.
func NewPlan(self planner.Node, nodes []planner.Node, home string, key Key, holders map[string]bool, originTime time.Duration, pieces int) *Plan {
	if !slices.ContainsFunc(nodes, func(n planner.Node) bool { return n.Name == self.Name }) {
		nodes = append(slices.Clone(nodes), self)
	}
	if !slices.ContainsFunc(nodes, func(n planner.Node) bool { return n.Region == home }) {
		home = slices.MinFunc(nodes, func(a, b planner.Node) int { return strings.Compare(a.Region, b.Region) }).Region
	}
	settings := planner.Settings{Fetchers: len(nodes)}
	pieceTime := originTime / time.Duration(max(pieces, 1))
	if originTime == 0 {
		originTime = defaultOriginTime
	}
	p := &Plan{self: self, home: home, originDeadline: originTime + originTimeMargin, pieceTime: pieceTime, arr: planner.Arrange(nodes, key.digest(), settings)}
	for _, n := range nodes {
		if n.Region != home && !slices.Contains(p.others, n.Region) {
			p.others = append(p.others, n.Region)
		}
		switch {
		case n.Name == self.Name || !holders[n.Name]:
		case n.Region == self.Region:
			p.near = append(p.near, n.Name)
		default:
			p.far = append(p.far, n.Name)
		}
	}
	slices.Sort(p.others)
	slices.Sort(p.near)
	slices.Sort(p.far)
	return p
}

// digest returns a digest that seeds the arrangement of a version.
func (k Key) digest() manifest.Digest {
	return manifest.Digest(sha256.Sum256(binary.BigEndian.AppendUint64([]byte(k.Model+"\x00"), uint64(k.Version))))
}

// rotated returns the list rotated by the piece index, so that each piece
// starts with another element.
func rotated(list []string, piece int) []string {
	if len(list) == 0 {
		return nil
	}
	offset := piece % len(list)
	return append(slices.Clone(list[offset:]), list[:offset]...)
}

// responsibleAgents returns a region's agents in the order of their
// responsibility for a piece, recently failed ones last. Each agent is first for
// an equal part of the pieces: all links have the same rate, and the most loaded
// one decides when the last agent is complete.
func (p *Plan) responsibleAgents(region string, piece int, failed func(name string) bool) []string {
	order := rotated(p.arr.Fetchers(region), piece)
	slices.SortStableFunc(order, func(a, b string) int { return boolToInt(failed(a)) - boolToInt(failed(b)) })
	return order
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// PeerState is the known state of the other agents in the transfer.
type PeerState struct {
	// Failed reports whether an agent failed recently. The next one in the order
	// replaces it.
	Failed func(name string) bool
	// Holds reports whether an agent is known to hold a piece.
	Holds func(name string, piece int) bool
}

// Sources returns the sources of a piece in the order in which they are asked.
func (p *Plan) Sources(piece int, peers PeerState) []Source {
	order := p.responsibleAgents(p.self.Region, piece, peers.Failed)
	rank := slices.Index(order, p.self.Name)
	preferred := p.preferredSources(piece, order, rank, peers.Failed)
	others := exclude(order, p.self.Name)
	var sources []Source
	// The rank rotates the holders, so that agents ask different ones.
	for _, name := range rotated(others, piece+rank) {
		if peers.Holds(name, piece) {
			sources = append(sources, Source{From: name, Holder: true})
		}
	}
	sources = append(sources, preferred...)
	for _, name := range others[:min(maxProbes, len(others))] {
		sources = append(sources, Source{From: name, After: p.originDeadline})
	}
	after := p.originDeadline + time.Duration(rank)*rankDelay
	if p.self.Region != p.home {
		homeOrder := p.responsibleAgents(p.home, piece, peers.Failed)
		for i, name := range homeOrder[:min(maxHomeProbes, len(homeOrder))] {
			sources = append(sources, Source{From: name, After: after + time.Duration(i)*rankDelay})
		}
		after += otherRegionDelay
	}
	return append(sources, Source{From: Origin, OtherRegion: p.self.Region != p.home, After: after})
}

// preferredSources returns the sources of a piece in a transfer without
// failures.
func (p *Plan) preferredSources(piece int, order []string, rank int, failed func(string) bool) []Source {
	if len(p.near) > 0 {
		return sourcesFrom(rotated(p.near, piece), false)
	}
	if rank > 0 {
		return sourcesFrom(order[:1], true)
	}
	if len(p.far) > 0 {
		return sourcesFrom(rotated(p.far, piece), false)
	}
	if p.self.Region == p.home {
		origin := p.originSource(piece)
		origin.Takeover = rotated(p.arr.Fetchers(p.home), piece)[0] != p.self.Name
		return []Source{origin}
	}
	if homeOrder := p.responsibleAgents(p.home, piece, failed)[:1]; !failed(homeOrder[0]) {
		return sourcesFrom(homeOrder, true)
	}
	// All agents of the origin's region have failed.
	return []Source{p.originSource(piece)}
}

// takeoverSources returns the agents to ask before the origin for a piece whose responsible
// agent has failed: the piece may have left the origin, and the agents of the other regions
// get it first.
func (p *Plan) takeoverSources(piece int, failed func(string) bool) []Source {
	var sources []Source
	for _, region := range p.others {
		if name := p.responsibleAgents(region, piece, failed)[0]; !failed(name) {
			sources = append(sources, Source{From: name})
		}
	}
	return sources
}

// originSource returns the origin as source of a piece at its scheduled time.
func (p *Plan) originSource(piece int) Source {
	return Source{From: Origin, Paced: true, After: max(0, time.Duration(piece-originWindow)*p.pieceTime)}
}

func sourcesFrom(names []string, wait bool) []Source {
	sources := make([]Source, len(names))
	for i, name := range names {
		sources[i] = Source{From: name, Wait: wait}
	}
	return sources
}

// RequestOrder returns the pieces in the order in which this agent requests
// them. Each agent starts at another piece, so that they don't all ask the same
// agent first.
func (p *Plan) RequestOrder(pieces []int) []int {
	if len(pieces) == 0 {
		return nil
	}
	ring := p.arr.Fetchers(p.self.Region)
	offset := max(slices.Index(ring, p.self.Name), 0) * len(pieces) / max(len(ring), 1)
	return append(slices.Clone(pieces[offset:]), pieces[:offset]...)
}

// inOtherRegion reports whether an agent is in another region.
func (p *Plan) inOtherRegion(name string) bool {
	return name != Origin && !slices.Contains(p.arr.Fetchers(p.self.Region), name)
}

// originRequestLimit returns how many concurrent requests to the origin this
// agent may make. conns is the number of connections that the origin accepts, 0
// if not known. Half of them are divided among the agents of the origin's
// region; agents of other regions ask the origin only as a last resort.
func (p *Plan) originRequestLimit(conns int) int {
	switch {
	case p.self.Region != p.home:
		return 1
	case conns <= 0:
		return maxOriginRequests
	default:
		return max(1, min(maxOriginRequests, conns/2/max(len(p.arr.Fetchers(p.home)), 1)))
	}
}

func exclude(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
