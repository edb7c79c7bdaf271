package planner

import (
	"cmp"
	"slices"
	"time"
)

// Plan returns the requests to send now. It doesn't modify the table: the
// driver calls RequestStarted for each request that it sends.
func Plan(t *Table, now time.Duration) []Request {
	if t.arr == nil || t.Complete() {
		return nil
	}
	p := newPass(t, now)
	fallback := p.sourceFallbackDue()
	if !t.isFetcher && !fallback && (p.neighborRequests >= t.settings.InFlight || t.unrequested.empty() && !p.anyHedgeDue()) {
		return nil
	}
	if t.isFetcher {
		p.planIngest()
	}
	if fallback {
		p.planSourceFallback()
	}
	p.planExchange()
	p.planHedges()
	return p.requests
}

// pass is the state of one call of Plan.
type pass struct {
	table    *Table
	now      time.Duration
	requests []Request
	// unrequested holds the chunks that are neither held nor in flight.
	unrequested Bits
	// inFlight counts requests by neighbor index, including those planned in
	// this pass; neighborRequests counts those to neighbors in the same region.
	inFlight         []int
	neighborRequests int
	// backlogs caches the results of backlog.
	backlogs map[backlogKey]int
}

func newPass(t *Table, now time.Duration) *pass {
	p := &pass{table: t, now: now, unrequested: t.unrequested.Clone(), inFlight: make([]int, len(t.neighbors))}
	for i, n := range t.neighbors {
		p.inFlight[i] = n.inFlight
	}
	for _, f := range t.active {
		if !f.isIngest() {
			p.neighborRequests++
		}
	}
	return p
}

func (p *pass) add(r Request) {
	p.requests = append(p.requests, r)
	p.unrequested.Clear(r.Chunk)
	if n := p.table.byName[r.From]; n != nil {
		p.inFlight[n.index]++
	}
	if !r.isIngest() {
		p.neighborRequests++
	}
}

func (p *pass) suspected(n *neighbor) bool {
	return p.now-n.lastHeard > p.table.settings.SuspectAfter
}

func (p *pass) demoted(n *neighbor) bool { return n.demotedUntil > p.now }

// planExchange plans requests to neighbors in the same region: rarest chunk
// first, and for each chunk the best holder. Demoted neighbors are the last
// resort.
func (p *pass) planExchange() {
	for p.neighborRequests < p.table.settings.InFlight {
		r, ok := p.rarestRequest(false)
		if !ok {
			r, ok = p.rarestRequest(true)
		}
		if !ok {
			return
		}
		p.add(r)
	}
}

// rarestRequest returns a request for the rarest unrequested chunk that an
// available neighbor holds. If demoted is set it includes demoted neighbors,
// but only for chunks that no other neighbor holds.
func (p *pass) rarestRequest(demoted bool) (Request, bool) {
	best, bestKey := -1, uint64(0)
	for _, n := range p.table.neighbors {
		if !p.available(n, demoted) {
			continue
		}
		for w := range n.have {
			Bits{n.have[w] & p.unrequested[w]}.each(func(i int) {
				c := w*wordBits + i
				key := p.rarity(c)
				if best >= 0 && key >= bestKey {
					return
				}
				if !demoted || !p.heldElsewhere(c) {
					best, bestKey = c, key
				}
			})
		}
	}
	if best < 0 {
		return Request{}, false
	}
	return Request{Chunk: best, From: p.bestHolder(best, demoted).name}, true
}

// rarity returns a sort key: the number of neighbors that hold the chunk, then
// a hash that differs between agents, so that neighbors request different
// chunks.
func (p *pass) rarity(c int) uint64 {
	const tieBits = 32
	return uint64(p.table.holderCounts[c])<<tieBits | p.table.tieBreakers[c]
}

func (p *pass) available(n *neighbor, demoted bool) bool {
	if n.far || p.inFlight[n.index] >= p.table.settings.PerNeighbor || n.busyUntil > p.now || p.suspected(n) {
		return false
	}
	return demoted || !p.demoted(n)
}

// heldElsewhere reports whether any neighbor in the region that is neither
// demoted nor suspected holds the chunk, whether or not it is available now.
func (p *pass) heldElsewhere(c int) bool {
	return slices.ContainsFunc(p.table.neighbors, func(n *neighbor) bool {
		return !n.far && n.have.Has(c) && !p.demoted(n) && !p.suspected(n)
	})
}

// bestHolder returns the best available neighbor for a chunk: not demoted
// first, then the fewest requests in flight, then the same zone.
func (p *pass) bestHolder(c int, demoted bool) *neighbor {
	var best *neighbor
	for _, n := range p.table.neighbors {
		if !n.have.Has(c) || !p.available(n, demoted) {
			continue
		}
		if best == nil || p.compareHolders(n, best) < 0 {
			best = n
		}
	}
	return best
}

func (p *pass) compareHolders(a, b *neighbor) int {
	return cmp.Or(
		cmp.Compare(boolToInt(p.demoted(a)), boolToInt(p.demoted(b))),
		cmp.Compare(p.inFlight[a.index], p.inFlight[b.index]),
		cmp.Compare(boolToInt(a.zone != p.table.self.Zone), boolToInt(b.zone != p.table.self.Zone)),
	)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// anyHedgeDue reports whether any request is old enough to be hedged.
func (p *pass) anyHedgeDue() bool {
	return slices.ContainsFunc(p.table.active, p.hedgeDue)
}

func (p *pass) hedgeDue(f activeRequest) bool {
	return !f.isIngest() && p.now-f.started >= p.table.settings.HedgeAfter && p.table.requestCounts[f.Chunk] == 1 && !p.table.have.Has(f.Chunk)
}

// planHedges requests overdue chunks from a second neighbor once every chunk
// is held or in flight. Before that, a second request would only delay chunks
// that haven't been requested yet.
func (p *pass) planHedges() {
	if !p.unrequested.empty() {
		return
	}
	for _, f := range p.table.active {
		if p.neighborRequests >= p.table.settings.InFlight || !p.hedgeDue(f) {
			continue
		}
		n := p.bestHolder(f.Chunk, false)
		if n != nil && n.name != f.From {
			p.add(Request{Chunk: f.Chunk, From: n.name})
		}
	}
}
