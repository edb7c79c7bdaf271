package planner

import (
	"math"
	"slices"
	"strconv"
	"time"
)

// maxFailures is how often a holder may fail in a row before its copy of a
// chunk no longer counts as being in the region.
const maxFailures = 3

// minBacklog is how many chunks a fetcher that is heard and makes progress may
// have yet to begin without others taking from them: it may be about to.
const minBacklog = 4

// minSourceFailures is how often each source must have failed in a row before
// chunks that are not relayed are taken from other regions.
const minSourceFailures = 2

// maxFarChunk is the longest that a chunk may take between regions; where it
// takes longer the sources are always faster.
const maxFarChunk = 3 * time.Minute

// enter plans the requests that bring chunks into the region. A fetcher takes
// the chunks that it owns in ascending order. Once none of its own are left it
// takes over the last ones of others, so that two rarely pick the same, after
// a pause in which news of what others began can arrive.
func (p *pass) enter() {
	if p.now-p.t.settled < p.t.set.SettlePause {
		return
	}
	p.enterRange(true)
	if p.now-p.t.entered >= p.t.set.StealPause {
		p.enterRange(false)
	}
}

// orphaned reports whether an agent that is no fetcher got nothing for so long
// that the fetchers before it must all be unable: those that a view names need
// not take part. The agents next in the order act first.
func (p *pass) orphaned() bool {
	if p.t.fetcher || p.t.set.Fetchers <= 0 {
		return false
	}
	patience := p.t.set.OrphanAfter * time.Duration(p.t.rank/p.t.set.Fetchers)
	return p.now-p.t.received > patience
}

// enterAlone takes a chunk that no neighbor holds from a source.
func (p *pass) enterAlone() {
	best := -1
	p.need.each(func(c int) {
		if !p.inRegion(c) && (best < 0 || p.t.ties[c] < p.t.ties[best]) {
			best = c
		}
	})
	if best < 0 {
		return
	}
	if r, ok := p.fromSource(best); ok {
		p.add(r)
	}
}

func (p *pass) enterRange(own bool) {
	for i := range p.t.chunks {
		c := i
		if !own {
			c = p.t.chunks - 1 - i
		}
		if !p.need.Has(c) || p.inRegion(c) || !p.inCharge(c, own) {
			continue
		}
		if r, ok := p.entry(c); ok {
			p.add(r)
		}
	}
}

// inRegion reports whether a near neighbor holds the chunk or is bringing it
// in. The claim of a neighbor that is heard counts: it drops the claim itself
// when its request stalls.
func (p *pass) inRegion(c int) bool {
	return slices.ContainsFunc(p.t.neighbors, func(n *neighbor) bool {
		if n.far || p.suspected(n) {
			return false
		}
		return n.have.Has(c) && n.failures < maxFailures || n.claims.Has(c)
	})
}

// idle reports whether a fetcher brings nothing in and made no progress for
// long, although the chunk could be had.
func (p *pass) idle(n *neighbor, c int) bool {
	since := max(n.progress, p.t.farSince[c])
	return p.suspected(n) || n.claims.empty() && p.now-since > p.t.set.StealAfter
}

// inCharge reports whether self is to bring the chunk in: as the first of its
// owners that isn't suspected, or in place of one that is late or has a long
// backlog.
func (p *pass) inCharge(c int, own bool) bool {
	for _, name := range p.t.owners[c] {
		if name == p.t.self.Name {
			return true
		}
		n := p.t.byName[name]
		if n == nil || p.suspected(n) {
			continue
		}
		late := p.idle(n, c) || p.next(c, name) && p.backlog(name, c) > minBacklog
		if own || !late {
			return false
		}
	}
	return false
}

// backlog counts the chunks that a fetcher could begin but has yet to, of
// those that enter by the same way as c: it takes each way's in order.
func (p *pass) backlog(name string, c int) int {
	key := backlogKey{name, p.way(c)}
	if n, ok := p.backlogs[key]; ok {
		return n
	}
	n := 0
	p.need.each(func(other int) {
		if p.t.owners[other][0] == name && p.way(other) == key.way && !p.inRegion(other) && p.enterable(other) {
			n++
		}
	})
	if p.backlogs == nil {
		p.backlogs = make(map[backlogKey]int)
	}
	p.backlogs[key] = n
	return n
}

// backlogKey names a fetcher and a way of entering.
type backlogKey struct {
	fetcher string
	way     string
}

// way is the region from which a chunk enters, or empty for the sources.
func (p *pass) way(c int) string {
	homes := p.t.homes[c]
	if homes == nil || homes[0] == p.t.self.Region {
		return ""
	}
	return homes[0]
}

// next reports whether self follows name among the owners of the chunk.
func (p *pass) next(c int, name string) bool {
	owners := p.t.owners[c]
	i := slices.Index(owners, name)
	return i+1 < len(owners) && owners[i+1] == p.t.self.Name
}

// entry returns the way by which a chunk enters the region now, if any. A
// relayed chunk comes from another region once one holds it; until then its
// home takes it from a source. Any other chunk comes from another region only
// while the sources fail.
func (p *pass) entry(c int) (Request, bool) {
	homes := p.t.homes[c]
	if homes == nil {
		if r, ok := p.fromSource(c); ok || !p.sourcesFail() {
			return r, ok
		}
		return p.fromFar(c, p.t.arr.names)
	}
	if p.heldFar(c) {
		return p.fromFar(c, homes)
	}
	if homes[0] == p.t.self.Region || p.homeLost(c, homes) {
		return p.fromSource(c)
	}
	return Request{}, false
}

// sourcesFail reports whether every source has failed again and again.
func (p *pass) sourcesFail() bool {
	for i := range p.t.sources {
		if p.t.sources[i].failures < minSourceFailures {
			return false
		}
	}
	return p.t.ways.FarChunk <= maxFarChunk
}

// enterable reports whether the region's fetchers may bring the chunk in now.
func (p *pass) enterable(c int) bool {
	homes := p.t.homes[c]
	return homes == nil || homes[0] == p.t.self.Region || p.heldFar(c)
}

// heldFar reports whether another region can give the chunk.
func (p *pass) heldFar(c int) bool {
	return p.t.ways.FarChunk <= maxFarChunk && slices.ContainsFunc(p.t.neighbors, func(n *neighbor) bool {
		return n.far && n.have.Has(c) && !p.suspected(n) && !p.demoted(n)
	})
}

// fromFar asks the first region in the order that can give the chunk. While
// that one is busy the chunk waits: asking the next would load its links with
// what is another's part.
func (p *pass) fromFar(c int, order []string) (Request, bool) {
	for _, region := range order {
		if region == p.t.self.Region {
			continue
		}
		if n := p.farHolder(c, region); n != nil {
			return Request{Chunk: c, From: n.name, Far: true}, p.farLoad(region) < p.t.set.FarInFlight
		}
	}
	return Request{}, false
}

func (p *pass) farLoad(region string) int {
	load := 0
	for _, n := range p.t.neighbors {
		if n.far && n.region == region {
			load += p.load[n.index]
		}
	}
	return load
}

func (p *pass) farHolder(c int, region string) *neighbor {
	var best *neighbor
	for _, n := range p.t.neighbors {
		if !n.far || n.region != region || !n.have.Has(c) || p.suspected(n) || p.demoted(n) {
			continue
		}
		if best == nil || p.compare(n, best) < 0 {
			best = n
		}
	}
	return best
}

// homeLost reports whether self's region is next in charge of a relayed chunk:
// no region before it in the order shows a fetcher that is heard and makes
// progress, and no region is known to fetch the chunk.
func (p *pass) homeLost(c int, homes []string) bool {
	for _, n := range p.t.neighbors {
		if n.far && !p.suspected(n) && n.claims.Has(c) {
			return false
		}
	}
	for _, region := range homes {
		if region == p.t.self.Region {
			return true
		}
		if p.regionMoving(region) {
			return false
		}
	}
	return false
}

func (p *pass) regionMoving(region string) bool {
	return slices.ContainsFunc(p.t.neighbors, func(n *neighbor) bool {
		return n.far && n.region == region && !p.suspected(n) && p.moving(n)
	})
}

func (p *pass) moving(n *neighbor) bool {
	return !n.claims.empty() || p.now-n.progress <= p.t.set.HomeTimeout
}

// fromSource picks a source that is ready. Where the sources are balanced each
// gets chunks by its rate, else the origin comes last.
func (p *pass) fromSource(c int) (Request, bool) {
	if p.sourceLoad() >= p.t.set.SourceInFlight {
		return Request{}, false
	}
	best := -1
	for i := range p.t.sources {
		if p.t.sources[i].until > p.now {
			continue
		}
		if best < 0 || p.betterSource(c, i, best) {
			best = i
		}
	}
	return Request{Chunk: c, Source: best}, best >= 0
}

func (p *pass) betterSource(c, i, j int) bool {
	if p.t.ways.Balance {
		return p.sourceScore(c, i) < p.sourceScore(c, j)
	}
	a, b := &p.t.sources[i], &p.t.sources[j]
	if a.Origin != b.Origin {
		return !a.Origin
	}
	return a.Near && !b.Near
}

// sourceScore is the chunk's weighted rendezvous score of a source: the least
// score falls to a source as often as its rate is part of the sum.
func (p *pass) sourceScore(c, i int) float64 {
	const unit = 1 << 53
	draw := (float64(hash(p.t.arr.seed, "source", c, strconv.Itoa(i))%unit) + 1) / unit
	return -math.Log(draw) / float64(max(1, p.t.sources[i].BytesPerSecond))
}

func (p *pass) sourceLoad() int {
	load := 0
	for i := range p.t.sources {
		load += p.t.sources[i].inFlight
	}
	for _, r := range p.out {
		if r.FromSource() {
			load++
		}
	}
	return load
}

// Wake returns how long after now a driver should call Plan again even if
// nothing was heard: timeouts pass without an event.
func (t *Table) Wake(now time.Duration) time.Duration {
	wake := t.set.SuspectAfter
	if settled := t.settled + t.set.SettlePause; settled > now {
		wake = settled - now
	}
	for i := range t.sources {
		if until := t.sources[i].until; until > now {
			wake = min(wake, until-now)
		}
	}
	for _, n := range t.neighbors {
		if n.demoted > now {
			wake = min(wake, n.demoted-now)
		}
	}
	return wake
}
