package placement

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// lowLevel is the level of demand below which a region has room for all requests. Levels
	// below it count as equal, so that requests stay in the entry's zone.
	lowLevel = 0.25
	// levelTolerance is the difference of levels that counts as none: the demand is a moving
	// average, and the levels of regions that share demand differ by its noise.
	levelTolerance = 0.05
	// reservedFraction is the part of the entry's slots of a region that requests leave free
	// which could run in a region with less demand. Slots that are freed there go to the
	// requests that can't run elsewhere, and a few free ones are kept for those that come.
	reservedFraction = 0.125
	// contendedLevel is the level from which requests that may run in several regions leave a
	// free slot to others.
	contendedLevel = 0.8
	// keptFraction is the part of its claim to a region's slots that a request that may run in
	// several regions need not leave to others, so that it does not starve where all of its
	// regions are overloaded.
	keptFraction = 0.5
	// minPlainHold is the least time that a request is taken to hold a slot of a server that
	// is no model engine.
	minPlainHold = 10 * time.Millisecond
)

// region is the state of the servers of one region. Its name is empty for the servers of
// unknown zones.
type region struct {
	// inFlight counts this entry's requests in the region.
	inFlight int
	// inFlightBySet counts them by the set of regions that they are restricted to.
	inFlightBySet map[string]int
	freedSlots
	// usual is set if a server that is not slow could run requests; see speeds.
	usual bool

	// The fields below are set by updateRegions.

	// slots is the number of usable slots, and capacity the demand that fills them.
	slots    int
	capacity float64
	// share is the fraction of the slots that this entry may use, and overcommit the factor by
	// which it may exceed it; see manyEntries.
	share, overcommit float64
	// level is the demand that the region gets, as a fraction of its capacity, and claims the
	// parts of it by set of regions that the demand is bound to.
	level  float64
	claims map[string]float64
	// ownClaims holds the fractions of this entry's demand in the region by set.
	ownClaims map[string]float64
}

// add counts a request in flight, or ends one if n is negative.
func (r *region) add(req Request, n int) {
	r.inFlight += n
	set := setKey(req.Regions)
	if r.inFlightBySet[set] += n; r.inFlightBySet[set] == 0 {
		delete(r.inFlightBySet, set)
	}
}

// permits reports whether a server in a region may run a request that is restricted to
// regions; nil means no restriction. A server of an unknown zone is in no region.
func permits(regions []string, serverRegion string) bool {
	return regions == nil || serverRegion != "" && slices.Contains(regions, serverRegion)
}

// Permits reports whether a server is in a region that may run the request.
func (r *Request) Permits(s *Server) bool { return permits(r.Regions, s.Region) }

// region returns the state of a region and creates it on first use.
func (p *Pool) region(name string) *region {
	r := p.regions[name]
	if r == nil {
		r = &region{share: p.share, inFlightBySet: map[string]int{}}
		p.regions[name] = r
	}
	return r
}

// updateRegions sets the slots, shares and levels of the regions. A region without servers
// and requests is removed.
func (p *Pool) updateRegions() {
	for name, r := range p.regions {
		if r.inFlight == 0 && !slices.ContainsFunc(p.active, func(s *server) bool { return s.Region == name }) {
			delete(p.regions, name)
		}
		r.slots, r.capacity, r.share, r.level, r.claims, r.ownClaims = 0, 0, p.share, 0, nil, nil
	}
	for _, s := range p.active {
		r := p.region(s.Region)
		if s.Usable {
			r.slots += p.usableSlots(s)
			r.capacity += p.demandCapacity(s)
		}
	}
	if p.cfg.Demand != nil {
		p.cfg.Demand.apply(p.regions, p.share)
		p.updateOvercommit()
	}
}

// updateOvercommit lets the entry exceed its share in the regions where it has less than one slot
// at each server.
func (p *Pool) updateOvercommit() {
	for _, r := range p.regions {
		r.overcommit = manyEntries
	}
	for _, s := range p.active {
		if r := p.region(s.Region); s.Usable && float64(s.Slots)*r.share >= 1 {
			r.overcommit = 1
		}
	}
}

// demandCapacity returns the demand that fills a server. The demand for model engines is in
// seconds of a server per second, that for other servers in requests per second.
func (p *Pool) demandCapacity(s *server) float64 {
	if p.cfg.hasEngines() {
		return float64(p.usableSlots(s)) / float64(max(s.Slots, 1))
	}
	return float64(max(s.Slots, 1)) / max(p.meanHold, minPlainHold).Seconds()
}

// shareAt returns the fraction of the slots of a region's servers that this entry may use.
func (p *Pool) shareAt(name string) float64 {
	if p.cfg.Demand == nil {
		return p.share
	}
	return p.region(name).share
}

// limit returns the number of requests that the entry may have in flight in a region.
func (r *region) limit() int {
	return max(1, int(math.Round(float64(r.slots)*r.share*max(r.overcommit, 1))))
}

// regionLimits returns the sum of the limits of the regions with usable servers.
func (p *Pool) regionLimits() int {
	sum := 0
	for _, r := range p.regions {
		if r.slots > 0 {
			sum += r.limit()
		}
	}
	return max(1, sum)
}

// choice describes the regions that a request may use. It is the zero value if no demand by
// regions is known.
type choice struct {
	// known is set if the demand by regions is known.
	known bool
	// set is the key of the request's regions.
	set string
	// lowest is the lowest level of the regions, and regions their number.
	lowest  float64
	regions int
}

// choiceOf returns the choice of a request.
func (p *Pool) choiceOf(req Request) choice {
	if p.cfg.Demand == nil {
		return choice{}
	}
	c := choice{known: true, set: setKey(req.Regions), lowest: math.Inf(1)}
	for name, r := range p.regions {
		if r.slots > 0 && permits(req.Regions, name) {
			c.lowest = min(c.lowest, r.level)
			c.regions++
		}
	}
	return c
}

// setKey returns the key of a set of regions; nil has its own.
func setKey(regions []string) string { return strings.Join(regions, "\x00") }

// yields reports whether a request leaves the last free slots of a region to others, because
// it may run in a region with less demand.
func (r *region) yields(c choice) bool {
	return c.known && r.level > max(c.lowest, lowLevel)+levelTolerance
}

// reserve returns the number of this entry's slots in a region that a request leaves to others.
// Those that can't run elsewhere would otherwise find them taken by requests that can.
func (r *region) reserve(c choice) int {
	limit := float64(r.limit())
	switch {
	case !c.known || c.regions < 2:
		return 0
	case float64(r.inFlightBySet[c.set]) < keptFraction*r.ownClaims[c.set]*limit:
		return 0
	case r.yields(c):
		return max(1, int(math.Ceil(limit*reservedFraction)))
	case r.level > contendedLevel && r.ownClaims[c.set] < 1-levelTolerance/2 && len(r.ownClaims) > 1:
		return 1
	default:
		return 0
	}
}

// isOpen reports whether a request may use a server, by the regions of both and this entry's
// part of the slots there.
func (p *Pool) isOpen(s *server, req Request, closed []string, c choice) bool {
	if !req.Permits(&s.Server) || len(closed) > 0 && slices.Contains(closed, s.Region) {
		return false
	}
	if !c.known || !p.cfg.hasEngines() {
		return true
	}
	r := p.region(s.Region)
	limit := r.limit() - r.reserve(c)
	if req.Replaces {
		limit++
	}
	return r.inFlight < limit
}

// pressure returns the load that other demand in a region adds to that of its servers, in the
// unit of Pool.load: the entry's share of it. Requests that may run in several regions leave
// room where others need it.
func (p *Pool) pressure(name string, c choice) float64 {
	if !c.known {
		return 0
	}
	r := p.region(name)
	return p.share * max(r.level-r.claims[c.set]-lowLevel, 0)
}

// HasUsableIn reports whether any server in some regions could run a request, regardless of
// free slots. Nil means any server.
func (p *Pool) HasUsableIn(regions []string) bool {
	ageNow := p.ageNow()
	return slices.ContainsFunc(p.active, func(s *server) bool {
		return s.Usable && permits(regions, s.Region) && !s.weightsExpiring(ageNow)
	})
}

// refuseStranded removes the queued requests in whose regions no usable server is left.
func (p *Pool) refuseStranded() {
	for _, w := range slices.Clone(p.waiting) {
		if w.Request.Regions != nil && w.Refuse != nil && !p.HasUsableIn(w.Request.Regions) {
			p.Dequeue(w)
			w.Refuse()
		}
	}
}

// closeRegions adds to closed the regions in which a request that no server accepts holds up
// those behind it: those that it may use and leaves to no others. all is set if no server is
// left to them.
func (p *Pool) closeRegions(closed []string, req Request) (_ []string, all bool) {
	all = true
	c := p.choiceOf(req)
	for name, r := range p.regions {
		switch {
		case slices.Contains(closed, name):
		case permits(req.Regions, name) && r.reserve(c) == 0:
			closed = append(closed, name)
		default:
			all = false
		}
	}
	return closed, all
}

// TryAcquireBehind is TryAcquire for a request that overtakes no queued one: it may use the
// regions that these don't wait for. It returns nil if there are no restricted requests.
func (p *Pool) TryAcquireBehind(now time.Time, req Request) *Lease {
	if !p.anyRestricted(req) {
		return nil
	}
	var closed []string
	for _, w := range p.waiting {
		if len(w.Request.Exclude) == 0 {
			closed, _ = p.closeRegions(closed, w.Request)
		}
	}
	return p.tryAcquire(now, req, closed)
}

// anyRestricted reports whether a request or a queued one is restricted to regions.
func (p *Pool) anyRestricted(req Request) bool {
	return req.Regions != nil || slices.ContainsFunc(p.waiting, func(o *Waiter) bool { return o.Request.Regions != nil })
}

// queueTime returns the expected time until a request that joins the queue gets a slot.
func (p *Pool) queueTime(w *Waiter) time.Duration {
	if !p.anyRestricted(w.Request) {
		return time.Duration(p.queuePosition(w)) * max(p.freeInterval, p.limitInterval(nil))
	}
	intervals := map[string]time.Duration{}
	for name, r := range p.regions {
		if r.slots > 0 {
			intervals[name] = max(r.freeInterval, p.intervalOf(name))
		}
	}
	// Plays the dispatch: each request takes the slot that is freed first in its regions.
	next := map[string]time.Duration{}
	take := func(req Request) time.Duration {
		first, at := time.Duration(math.MaxInt64), ""
		c := p.choiceOf(req)
		for name, interval := range intervals {
			if t := next[name] + interval; t < first && permits(req.Regions, name) && !p.regions[name].yields(c) {
				first, at = t, name
			}
		}
		if first < math.MaxInt64 {
			next[at] = first
		}
		return first
	}
	ahead := slices.DeleteFunc(slices.Clone(p.waiting), func(o *Waiter) bool { return precedes(w, o) })
	slices.SortStableFunc(ahead, comparePrecedence)
	for _, o := range ahead {
		take(o.Request)
	}
	return take(w.Request)
}

// intervalOf returns the mean time between two requests that the limits of a region's servers
// allow, or 0 if one has none.
func (p *Pool) intervalOf(name string) time.Duration {
	if name == "" {
		return 0
	}
	return p.limitInterval([]string{name})
}

// comparePrecedence orders waiters by precedes.
func comparePrecedence(a, b *Waiter) int {
	switch {
	case precedes(a, b):
		return -1
	case precedes(b, a):
		return 1
	default:
		return 0
	}
}

// RegionLoad is the use of a region's servers, for the state dump.
type RegionLoad struct {
	Own, Budget, Slots int
	Share, Level       float64
}

// RegionLoads returns the use of the regions' servers.
func (p *Pool) RegionLoads() map[string]RegionLoad {
	loads := map[string]RegionLoad{}
	for name, r := range p.regions {
		l := RegionLoad{Own: r.inFlight, Slots: r.slots, Share: r.share, Level: r.level}
		if p.cfg.Demand != nil && p.cfg.hasEngines() {
			l.Budget = r.limit()
		}
		loads[cmp.Or(name, "unknown")] = l
	}
	return loads
}
