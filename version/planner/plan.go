package planner

import (
	"cmp"
	"slices"
	"time"
)

// Plan returns the requests to send now. It changes nothing: the driver calls
// Started for those that it sends.
func Plan(t *Table, now time.Duration) []Request {
	if t.arr == nil || t.Complete() {
		return nil
	}
	p := newPass(t, now)
	orphaned := p.orphaned()
	if !t.fetcher && !orphaned && (p.total >= t.set.InFlight || t.need.empty() && !p.hedging()) {
		return nil
	}
	if t.fetcher {
		p.enter()
	}
	if orphaned {
		p.enterAlone()
	}
	p.exchange()
	p.hedge()
	return p.out
}

// pass is the scratch state of one call of Plan.
type pass struct {
	t   *Table
	now time.Duration
	out []Request
	// need holds the chunks that are neither held nor asked for.
	need Bits
	// load counts requests in flight by neighbor, with those planned here.
	load  []int
	total int
	// backlogs holds what backlog counted, by fetcher.
	backlogs map[backlogKey]int
}

func newPass(t *Table, now time.Duration) *pass {
	p := &pass{t: t, now: now, need: t.need.Clone(), load: make([]int, len(t.neighbors))}
	for i, n := range t.neighbors {
		p.load[i] = n.inFlight
	}
	for _, f := range t.flights {
		if !f.entering() {
			p.total++
		}
	}
	return p
}

func (p *pass) add(r Request) {
	p.out = append(p.out, r)
	p.need.Clear(r.Chunk)
	if n := p.t.byName[r.From]; n != nil {
		p.load[n.index]++
	}
	if !r.entering() {
		p.total++
	}
}

func (p *pass) suspected(n *neighbor) bool {
	return p.now-n.heard > p.t.set.SuspectAfter
}

func (p *pass) demoted(n *neighbor) bool { return n.demoted > p.now }

// exchange plans requests to near neighbors: rarest chunk first, and for each
// chunk the best holder.
func (p *pass) exchange() {
	for p.total < p.t.set.InFlight {
		r, ok := p.rarest(false)
		if !ok {
			r, ok = p.rarest(true)
		}
		if !ok {
			return
		}
		p.add(r)
	}
}

// rarest finds the rarest needed chunk that an available neighbor holds. With
// demoted set it looks at demoted neighbors too, but only for chunks that no
// other neighbor holds.
func (p *pass) rarest(demoted bool) (Request, bool) {
	best, bestKey := -1, uint64(0)
	for _, n := range p.t.neighbors {
		if !p.available(n, demoted) {
			continue
		}
		for w := range n.have {
			Bits{n.have[w] & p.need[w]}.each(func(i int) {
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
	return Request{Chunk: best, From: p.holder(best, demoted).name}, true
}

// rarity orders chunks by how many neighbors hold them. Ties are broken by a
// hash that differs between agents, so that neighbors ask for different chunks.
func (p *pass) rarity(c int) uint64 {
	const tieBits = 32
	return uint64(p.t.counts[c])<<tieBits | p.t.ties[c]
}

func (p *pass) available(n *neighbor, demoted bool) bool {
	if n.far || p.load[n.index] >= p.t.set.PerNeighbor || n.busy > p.now || p.suspected(n) {
		return false
	}
	return demoted || !p.demoted(n)
}

// heldElsewhere reports whether a neighbor that is neither demoted nor
// suspected holds the chunk, available or not.
func (p *pass) heldElsewhere(c int) bool {
	return slices.ContainsFunc(p.t.neighbors, func(n *neighbor) bool {
		return !n.far && n.have.Has(c) && !p.demoted(n) && !p.suspected(n)
	})
}

// holder returns the best available neighbor for a chunk: not demoted, the
// least asked, in the same zone.
func (p *pass) holder(c int, demoted bool) *neighbor {
	var best *neighbor
	for _, n := range p.t.neighbors {
		if !n.have.Has(c) || !p.available(n, demoted) {
			continue
		}
		if best == nil || p.compare(n, best) < 0 {
			best = n
		}
	}
	return best
}

func (p *pass) compare(a, b *neighbor) int {
	return cmp.Or(
		cmp.Compare(rank(p.demoted(a)), rank(p.demoted(b))),
		cmp.Compare(p.load[a.index], p.load[b.index]),
		cmp.Compare(rank(a.zone != p.t.self.Zone), rank(b.zone != p.t.self.Zone)),
	)
}

func rank(worse bool) int {
	if worse {
		return 1
	}
	return 0
}

// hedging reports whether a request is old enough to be hedged.
func (p *pass) hedging() bool {
	return slices.ContainsFunc(p.t.flights, p.late)
}

func (p *pass) late(f flight) bool {
	return !f.entering() && p.now-f.since >= p.t.set.HedgeAfter && p.t.pending[f.Chunk] == 1 && !p.t.have.Has(f.Chunk)
}

// hedge asks another neighbor for late chunks once every chunk is held or
// asked for. Before that a second request would only take from the others.
func (p *pass) hedge() {
	if !p.need.empty() {
		return
	}
	for _, f := range p.t.flights {
		if p.total >= p.t.set.InFlight || !p.late(f) {
			continue
		}
		n := p.holder(f.Chunk, false)
		if n != nil && n.name != f.From {
			p.add(Request{Chunk: f.Chunk, From: n.name})
		}
	}
}
