package planner

import (
	"math"
	"slices"
	"strconv"
	"time"
)

// maxFailures is the number of consecutive failures after which the chunks of
// a holder no longer count as present in the region.
const maxFailures = 3

// minBacklog is the number of unrequested chunks up to which no other fetcher
// takes over from a live fetcher that makes progress: it may be about to request
// them.
const minBacklog = 4

// minSourceFailures is the number of consecutive failures of each source after
// which chunks that are not relayed are fetched from other regions.
const minSourceFailures = 2

// maxFarChunk is the longest transfer time of a chunk between regions; above
// it the sources are always faster.
const maxFarChunk = 3 * time.Minute

// planIngest plans the requests that bring chunks into the region. A fetcher
// requests the chunks that it owns in ascending order. When none of them are
// left it takes over chunks of other fetchers in descending order, so that two
// rarely pick the same one, after a pause in which it learns what the others
// have started.
func (p *pass) planIngest() {
	if p.now-p.table.fetchersChanged < p.table.settings.FetcherChangePause {
		return
	}
	p.planIngestOrder(true)
	if p.now-p.table.lastIngestEnd >= p.table.settings.StealPause {
		p.planIngestOrder(false)
	}
}

// sourceFallbackDue reports whether an agent that isn't a fetcher has received
// nothing for so long that all agents ranked before it must have failed: a view
// may name agents that don't take part in the transfer. The timeout grows with
// the rank, so agents next in the order fall back to the sources first.
func (p *pass) sourceFallbackDue() bool {
	if p.table.isFetcher || p.table.settings.Fetchers <= 0 {
		return false
	}
	timeout := p.table.settings.SourceFallbackAfter * time.Duration(p.table.fetcherRank/p.table.settings.Fetchers)
	return p.now-p.table.lastReceived > timeout
}

// planSourceFallback requests one chunk that no neighbor holds from a source.
func (p *pass) planSourceFallback() {
	best := -1
	p.unrequested.each(func(c int) {
		if !p.inRegion(c) && (best < 0 || p.table.tieBreakers[c] < p.table.tieBreakers[best]) {
			best = c
		}
	})
	if best < 0 {
		return
	}
	if r, ok := p.sourceRequest(best); ok {
		p.add(r)
	}
}

func (p *pass) planIngestOrder(ownedOnly bool) {
	for i := range p.table.chunks {
		c := i
		if !ownedOnly {
			c = p.table.chunks - 1 - i
		}
		if !p.unrequested.Has(c) || p.inRegion(c) || !p.isResponsible(c, ownedOnly) {
			continue
		}
		if r, ok := p.ingestRequest(c); ok {
			p.add(r)
		}
	}
}

// inRegion reports whether a live neighbor in the region holds the chunk or
// claims it. A claim counts as long as the neighbor is not suspected: the
// neighbor withdraws the claim itself when its request stalls.
func (p *pass) inRegion(c int) bool {
	return slices.ContainsFunc(p.table.neighbors, func(n *neighbor) bool {
		if n.far || p.suspected(n) {
			return false
		}
		return n.have.Has(c) && n.failures < maxFailures || n.claims.Has(c)
	})
}

// idle reports whether a fetcher is suspected, or has no claims and has made
// no progress for StealAfter although the chunk was available.
func (p *pass) idle(n *neighbor, c int) bool {
	since := max(n.lastProgress, p.table.firstHeldFar[c])
	return p.suspected(n) || n.claims.empty() && p.now-since > p.table.settings.StealAfter
}

// isResponsible reports whether this agent should ingest the chunk: as the
// first of its owners that isn't suspected or, unless ownedOnly is set, in
// place of an owner that is idle or has a long backlog.
func (p *pass) isResponsible(c int, ownedOnly bool) bool {
	for _, name := range p.table.owners[c] {
		if name == p.table.self.Name {
			return true
		}
		n := p.table.byName[name]
		if n == nil || p.suspected(n) {
			continue
		}
		takeover := p.idle(n, c) || p.isNextOwner(c, name) && p.backlog(name, c) > minBacklog
		if ownedOnly || !takeover {
			return false
		}
	}
	return false
}

// backlog counts the chunks that a fetcher could request but hasn't yet, among
// those with the same relay region as c: a fetcher requests the chunks of each
// relay region in order.
func (p *pass) backlog(name string, c int) int {
	key := backlogKey{name, p.relayRegion(c)}
	if n, ok := p.backlogs[key]; ok {
		return n
	}
	n := 0
	p.unrequested.each(func(other int) {
		if p.table.owners[other][0] == name && p.relayRegion(other) == key.region && !p.inRegion(other) && p.ingestible(other) {
			n++
		}
	})
	if p.backlogs == nil {
		p.backlogs = make(map[backlogKey]int)
	}
	p.backlogs[key] = n
	return n
}

// backlogKey identifies the backlog of a fetcher for one relay region.
type backlogKey struct {
	fetcher string
	region  string
}

// relayRegion returns the region that relays a chunk, or an empty string if
// the chunk comes from the sources.
func (p *pass) relayRegion(c int) string {
	homes := p.table.homes[c]
	if homes == nil || homes[0] == p.table.self.Region {
		return ""
	}
	return homes[0]
}

// isNextOwner reports whether this agent directly follows name among the
// owners of the chunk.
func (p *pass) isNextOwner(c int, name string) bool {
	owners := p.table.owners[c]
	i := slices.Index(owners, name)
	return i+1 < len(owners) && owners[i+1] == p.table.self.Name
}

// ingestRequest returns the request that brings a chunk into the region now, if
// any. A relayed chunk comes from another region once one holds it; until then
// its home region fetches it from a source. A chunk that is not relayed comes
// from another region only while all sources fail.
func (p *pass) ingestRequest(c int) (Request, bool) {
	homes := p.table.homes[c]
	if homes == nil {
		if r, ok := p.sourceRequest(c); ok || !p.allSourcesFailing() {
			return r, ok
		}
		return p.farRequest(c, p.table.arr.regionNames)
	}
	if p.heldInOtherRegion(c) {
		return p.farRequest(c, homes)
	}
	if homes[0] == p.table.self.Region || p.homeUnavailable(c, homes) {
		return p.sourceRequest(c)
	}
	return Request{}, false
}

// allSourcesFailing reports whether every source has failed repeatedly and
// transfers between regions are fast enough to replace them.
func (p *pass) allSourcesFailing() bool {
	for i := range p.table.sources {
		if p.table.sources[i].failures < minSourceFailures {
			return false
		}
	}
	return p.table.policy.FarChunkTime <= maxFarChunk
}

// ingestible reports whether the region's fetchers may ingest the chunk now.
func (p *pass) ingestible(c int) bool {
	homes := p.table.homes[c]
	return homes == nil || homes[0] == p.table.self.Region || p.heldInOtherRegion(c)
}

// heldInOtherRegion reports whether a fetcher of another region can send the
// chunk.
func (p *pass) heldInOtherRegion(c int) bool {
	return p.table.policy.FarChunkTime <= maxFarChunk && slices.ContainsFunc(p.table.neighbors, func(n *neighbor) bool {
		return n.far && n.have.Has(c) && !p.suspected(n) && !p.demoted(n)
	})
}

// farRequest returns a request to the first region in the order that can send
// the chunk. While that region is at its limit the chunk waits: a request to
// the next region would load its links with another region's share.
func (p *pass) farRequest(c int, order []string) (Request, bool) {
	for _, region := range order {
		if region == p.table.self.Region {
			continue
		}
		if n := p.farHolder(c, region); n != nil {
			return Request{Chunk: c, From: n.name, Far: true}, p.farInFlight(region) < p.table.settings.FarInFlight
		}
	}
	return Request{}, false
}

func (p *pass) farInFlight(region string) int {
	inFlight := 0
	for _, n := range p.table.neighbors {
		if n.far && n.region == region {
			inFlight += p.inFlight[n.index]
		}
	}
	return inFlight
}

func (p *pass) farHolder(c int, region string) *neighbor {
	var best *neighbor
	for _, n := range p.table.neighbors {
		if !n.far || n.region != region || !n.have.Has(c) || p.suspected(n) || p.demoted(n) {
			continue
		}
		if best == nil || p.compareHolders(n, best) < 0 {
			best = n
		}
	}
	return best
}

// homeUnavailable reports whether this agent's region is next in order for a
// relayed chunk: no region before it has a live fetcher that makes progress,
// and no other region claims the chunk.
func (p *pass) homeUnavailable(c int, homes []string) bool {
	for _, n := range p.table.neighbors {
		if n.far && !p.suspected(n) && n.claims.Has(c) {
			return false
		}
	}
	for _, region := range homes {
		if region == p.table.self.Region {
			return true
		}
		if p.regionProgressing(region) {
			return false
		}
	}
	return false
}

func (p *pass) regionProgressing(region string) bool {
	return slices.ContainsFunc(p.table.neighbors, func(n *neighbor) bool {
		return n.far && n.region == region && !p.suspected(n) && p.progressing(n)
	})
}

func (p *pass) progressing(n *neighbor) bool {
	return !n.claims.empty() || p.now-n.lastProgress <= p.table.settings.HomeTimeout
}

// sourceRequest returns a request to a source that is not backing off. If the
// sources are balanced, chunks are distributed by rate; otherwise the origin
// comes last.
func (p *pass) sourceRequest(c int) (Request, bool) {
	if p.sourceInFlight() >= p.table.settings.SourceInFlight {
		return Request{}, false
	}
	best := -1
	for i := range p.table.sources {
		if p.table.sources[i].notBefore > p.now {
			continue
		}
		if best < 0 || p.betterSource(c, i, best) {
			best = i
		}
	}
	return Request{Chunk: c, Source: best}, best >= 0
}

func (p *pass) betterSource(c, i, j int) bool {
	if p.table.policy.BalanceSources {
		return p.sourceScore(c, i) < p.sourceScore(c, j)
	}
	a, b := &p.table.sources[i], &p.table.sources[j]
	if a.Origin != b.Origin {
		return !a.Origin
	}
	return a.Near && !b.Near
}

// sourceScore returns the weighted rendezvous score of a source for a chunk,
// lowest wins: each source wins in proportion to its rate.
func (p *pass) sourceScore(c, i int) float64 {
	const unit = 1 << 53
	uniform := (float64(hash(p.table.arr.seed, "source", c, strconv.Itoa(i))%unit) + 1) / unit
	return -math.Log(uniform) / float64(max(1, p.table.sources[i].BytesPerSecond))
}

func (p *pass) sourceInFlight() int {
	inFlight := 0
	for i := range p.table.sources {
		inFlight += p.table.sources[i].inFlight
	}
	for _, r := range p.requests {
		if r.FromSource() {
			inFlight++
		}
	}
	return inFlight
}

// NextPlanDelay returns the time after now at which the driver must call Plan
// again even if no event arrives, because a timeout may have expired.
func (t *Table) NextPlanDelay(now time.Duration) time.Duration {
	delay := t.settings.SuspectAfter
	if settledAt := t.fetchersChanged + t.settings.FetcherChangePause; settledAt > now {
		delay = settledAt - now
	}
	for i := range t.sources {
		if until := t.sources[i].notBefore; until > now {
			delay = min(delay, until-now)
		}
	}
	for _, n := range t.neighbors {
		if n.demotedUntil > now {
			delay = min(delay, n.demotedUntil-now)
		}
	}
	return delay
}
