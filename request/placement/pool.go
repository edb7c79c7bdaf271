package placement

import (
	"math"
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

const (
	// maxPrefillTime bounds the prefill that a server may run between two events
	// of a stream. The platform counts a stream as late after a pause of 400 ms,
	// and the events themselves take 50 to 60 ms.
	maxPrefillTime = 80 * time.Millisecond
	// plainServerQueue is the number of requests beyond its slots that may be sent
	// to a server that is not a model engine.
	plainServerQueue = 4
	// delayReserve is the multiple of the mean first-event delay by which a queued
	// request must get its slot before its latency target. Goodput is highest with
	// 0.8 to 1, and a twentieth lower with 1.6.
	delayReserve = 1
	// minQueueTime is the least time for which any request may be queued: one
	// step of an engine frees some slots.
	minQueueTime = 25 * time.Millisecond
	// slotEWMAWeight is the weight of the newest sample in the moving averages of
	// the interval between freed slots and of the time a slot is held.
	slotEWMAWeight = 0.1
	// minMeanHold is the least time for which a request is taken to hold a slot at a
	// server with a limit.
	minMeanHold = 500 * time.Millisecond
	// maxLimitInterval bounds the time between two requests that limits allow.
	maxLimitInterval = time.Minute
)

// Pool assigns the requests of one entry to the servers of one service and
// queues those that find no free slot.
type Pool struct {
	cfg Config
	// ageClock is used for the expiry of weights, which includes suspensions.
	ageClock boottime.Clock
	// servers holds the current servers, and removed ones until their last
	// request has ended.
	servers map[string]*server
	// active lists the servers of the last update.
	active []*server
	// expiring is set if the weights of an active server expire.
	expiring bool
	// share is the fraction of the servers' slots that this entry may use.
	share    float64
	inFlight int
	waiting  []*Waiter
	freedSlots
	// meanHold is the moving average of the time that a request holds its slot.
	meanHold time.Duration
	speeds   speeds
	plain    plainLoads
	returns  returns
	sizes    sizes
	// rotation is the offset at which the search for a server starts; it varies so
	// that equally loaded servers alternate.
	rotation int
	// regions holds the state of the regions of servers, by name.
	regions map[string]*region
}

// NewPool returns an empty pool; Update sets its servers.
func NewPool(cfg Config, ageClock boottime.Clock) *Pool {
	return &Pool{cfg: cfg, ageClock: ageClock, servers: map[string]*server{}, share: 1, regions: map[string]*region{}}
}

// Update replaces the configuration, the servers of the service and the share
// of their slots that this entry may use. A removed server keeps its state until
// its last request has ended.
func (p *Pool) Update(now time.Time, cfg Config, servers []Server, share float64) {
	p.cfg, p.share, p.speeds.refreshed = cfg, share, time.Time{}
	for _, s := range p.servers {
		s.removed = true
	}
	p.active, p.expiring = p.active[:0], false
	for _, listed := range servers {
		s := p.servers[listed.ID]
		if s == nil {
			s = &server{}
			p.servers[listed.ID] = s
		}
		if s.incarnation == "" || s.Born != listed.Born {
			s.incarnation, s.speed = listed.Incarnation(), speed{}
			s.reported = reportedLoad{}
		}
		s.Server, s.removed = listed, false
		p.active = append(p.active, s)
		p.expiring = p.expiring || !s.WeightsUntil.IsZero()
	}
	for id, s := range p.servers {
		if s.removed && s.inFlight == 0 {
			delete(p.servers, id)
		}
	}
	p.updateRegions()
	p.refuseStranded()
	p.DispatchWaiting(now)
}

// capacity returns the number of requests that the entry may have in flight at a
// server.
func (p *Pool) capacity(s *server) int {
	if !p.cfg.hasEngines() {
		return max(s.Slots, 1) + plainServerQueue
	}
	return max(1, min(int(math.Ceil(float64(s.Slots)*p.shareAt(s.Region))), s.Slots))
}

// slotLimit returns the number of requests that the entry may have in flight at all
// servers together.
func (p *Pool) slotLimit() int {
	if !p.cfg.hasEngines() {
		return math.MaxInt
	}
	if p.cfg.Demand != nil {
		return p.regionLimits()
	}
	slots := 0
	for _, s := range p.active {
		if s.Usable {
			slots += p.usableSlots(s)
		}
	}
	return max(1, int(math.Round(float64(slots)*p.share*p.overcommit())))
}

// TryAcquire assigns a free slot to a request, or returns nil if there is none.
func (p *Pool) TryAcquire(now time.Time, req Request) *Lease { return p.tryAcquire(now, req, nil) }

// tryAcquire is TryAcquire without the servers of the regions in closed.
func (p *Pool) tryAcquire(now time.Time, req Request, closed []string) *Lease {
	if p.cfg.Demand == nil {
		limit := p.slotLimit()
		if req.Replaces && limit < math.MaxInt {
			limit++
		}
		if p.inFlight >= limit {
			return nil
		}
	}
	s := p.pickServer(now, req, closed)
	if s == nil {
		return nil
	}
	p.cfg.Limits.Take(s.incarnation, p.limitPart(s), now)
	p.cfg.TurnedAway.Ask(s.incarnation, now)
	p.cfg.Cold.Take(s.incarnation, p.cfg.ColdPart, now)
	s.inFlight++
	s.speed.addWork(now)
	p.sizes.count(now, p.isShort(&req), true, &req)
	s.reported.sent++
	s.prefillTokens += req.PromptTokens
	p.inFlight++
	p.region(s.Region).add(req, 1)
	p.rotation++
	l := &Lease{Server: s.Server, Incarnation: s.incarnation, state: s, req: req, granted: now, awaitingFirst: true}
	if req.LatencyTarget > 0 {
		s.pending = append(s.pending, l)
	}
	return l
}

// pickServer returns the available server with the lowest load, or nil.
func (p *Pool) pickServer(now time.Time, req Request, closed []string) *server {
	var best *server
	var bestKey float64
	ageNow, choice := p.ageNow(), p.choiceOf(req)
	p.refreshSpeeds(now)
	p.countUsual()
	p.plain.candidates = p.plain.candidates[:0]
	for i := range p.active {
		s := p.active[(i+p.rotation)%len(p.active)]
		mayProbe := s.mayProbe(ageNow, &req)
		if s.isSlow(now, req.LatencyTarget) && !mayProbe || s.weightsExpiring(ageNow) {
			// A slow server gets one request at a time as a probe.
			continue
		}
		if !p.isOpen(s, req, closed, choice) || !p.mayGet(now, s, &req, mayProbe) {
			continue
		}
		key, inTime := p.serverKey(now, s, &req, choice)
		if !inTime {
			continue
		}
		p.plain.candidates = append(p.plain.candidates, s)
		if best == nil || key < bestKey {
			best, bestKey = s, key
		}
	}
	if s := p.pickByCost(now, p.plain.candidates); s != nil {
		return s
	}
	return best
}

// serverKey returns the key by which servers are compared for a request; the lowest one is
// preferred. It returns false if the request would not end at the server in time.
func (p *Pool) serverKey(now time.Time, s *server, req *Request, c choice) (float64, bool) {
	key, inTime := p.speedKey(now, s, req)
	key += p.load(s) + p.pressure(s.Region, c)
	if s.Zone != p.cfg.Zone {
		// Prefers the entry's own zone among equally loaded servers, because
		// traffic between zones is charged.
		key += 1e-3
	}
	return key, inTime
}

// ageNow reads the clock for the expiry of weights, unless no weights expire.
func (p *Pool) ageNow() boottime.Instant {
	if !p.expiring {
		return boottime.Instant{}
	}
	return p.ageClock.Now()
}

// load returns the fraction of a server's slots that this entry uses. Pending
// prefill is added, in seconds, because prompts at one server delay each other.
func (p *Pool) load(s *server) float64 {
	load := float64(s.inFlight) / float64(max(s.Slots, 1))
	if p.cfg.hasEngines() {
		load += float64(s.prefillTokens) / p.cfg.ReadPerSecond
	}
	return load
}

// accepts reports whether a server has a free slot for a request and its prompt
// fits under the prefill limit. Any prompt fits if no other prefill is pending.
func (p *Pool) accepts(s *server, req Request) bool {
	if s.inFlight >= p.capacity(s) {
		return false
	}
	if !p.cfg.hasEngines() || s.prefillTokens == 0 {
		return true
	}
	allowed := p.cfg.ReadPerSecond * maxPrefillTime.Seconds() / s.speed.slowPace()
	return float64(s.prefillTokens+req.PromptTokens) <= allowed
}

// OnFirstEvent records that the server has sent the first event of a request.
func (p *Pool) OnFirstEvent(now time.Time, l *Lease) {
	if l.awaitingFirst {
		l.awaitingFirst = false
		l.state.prefillTokens -= l.req.PromptTokens
		l.state.recordFirstEvent(now, l, p.prefillTime(l.req))
		p.cfg.TurnedAway.Accept(l.Incarnation, l.granted, now)
		p.DispatchWaiting(now)
	}
}

// prefillTime returns the expected time to prefill a request's prompt.
func (p *Pool) prefillTime(req Request) time.Duration {
	if !p.cfg.hasEngines() {
		return 0
	}
	return time.Duration(float64(req.PromptTokens) / p.cfg.ReadPerSecond * float64(time.Second))
}

// Release releases the slot of a request and records its outcome.
func (p *Pool) Release(now time.Time, l *Lease, o Outcome) {
	if l.awaitingFirst {
		l.awaitingFirst = false
		l.state.prefillTokens -= l.req.PromptTokens
		l.state.removePending(l)
	}
	l.state.inFlight--
	p.inFlight--
	p.region(l.Server.Region).add(l.req, -1)
	switch o {
	case Served:
		p.cfg.TurnedAway.Accept(l.Incarnation, l.granted, now)
	case Unused:
		p.cfg.TurnedAway.Withdraw(l.Incarnation, l.granted)
		p.cfg.Cold.Return(l.Incarnation, l.granted)
	case WeightsMissing:
		p.cfg.Cold.Return(l.Incarnation, l.granted)
	}
	switch {
	case l.silent && o == Served:
		l.state.endSilence(now)
		l.state.recordOutcome(o, now)
	case l.silent && (o == Stalled || o == Canceled):
		// OnSilent has recorded the silence, and a caller that left it proves nothing.
	default:
		l.state.recordOutcome(o, now)
	}
	if l.state.removed && l.state.inFlight == 0 {
		delete(p.servers, l.state.ID)
	}
	if o != Unused {
		p.recordFreed(now)
		p.region(l.Server.Region).recordFreed(now)
	}
	if o == Served {
		p.meanHold += time.Duration(slotEWMAWeight * float64(now.Sub(l.granted)-p.meanHold))
	}
	p.DispatchWaiting(now)
}

// HasUsable reports whether any server could run a request, regardless of free
// slots.
func (p *Pool) HasUsable() bool { return p.HasUsableIn(nil) }

// Enqueue queues a request. It returns false if the request is unlikely to get a
// slot in time: the slots expected to become free go to requests ahead of it.
func (p *Pool) Enqueue(now time.Time, w *Waiter) bool {
	w.queued = now
	useful := w.Request.WaitUntil.Sub(now)
	if useful <= 0 || !p.HasUsableIn(w.Request.Regions) {
		return false
	}
	if p.OpensIn(now, w.Request.Regions) > useful {
		return false
	}
	if p.queueTime(w) > useful {
		return false
	}
	w.ahead = w.Request.Returned && p.takeReturn(now)
	w.short = p.goesFirst(&w.Request)
	p.waiting = append(p.waiting, w)
	return true
}

// queuePosition returns the position, from 1, that a request would take in the
// queue.
func (p *Pool) queuePosition(w *Waiter) int {
	n := 1
	for _, o := range p.waiting {
		if !precedes(w, o) {
			n++
		}
	}
	return n
}

// precedes reports whether a gets a slot before b.
func precedes(a, b *Waiter) bool {
	if a.Request.Started != b.Request.Started {
		return a.Request.Started
	}
	if lateA, lateB := a.Request.Late && !a.ahead, b.Request.Late && !b.ahead; lateA != lateB {
		return lateB
	}
	if a.Request.Priority != b.Request.Priority {
		return a.Request.Priority < b.Request.Priority
	}
	if a.ahead != b.ahead {
		return a.ahead
	}
	if a.short != b.short {
		return a.short
	}
	// The newest request has the most time left. WaitUntil is no substitute:
	// requests with long prompts may wait less and would always come last.
	return b.queued.Before(a.queued)
}

// Dequeue removes a waiter from the queue and reports whether it was still
// queued.
func (p *Pool) Dequeue(w *Waiter) bool {
	i := slices.Index(p.waiting, w)
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

// Waiting returns the number of queued requests.
func (p *Pool) Waiting() int { return len(p.waiting) }

// DispatchWaiting assigns free slots to queued requests. A request that no server
// accepts holds up those behind it in the regions that both may use, unless it excludes
// servers: a slot of these is of no use to it. DispatchWaiting must also be called periodically, because a
// backoff after a refusal ends without any event.
func (p *Pool) DispatchWaiting(now time.Time) {
	queue := slices.Clone(p.waiting)
	var closed []string
	slices.SortStableFunc(queue, comparePrecedence)
	for _, w := range queue {
		l := p.tryAcquire(now, w.Request, closed)
		if l == nil {
			if len(w.Request.Exclude) > 0 {
				continue
			}
			var all bool
			if closed, all = p.closeRegions(closed, w.Request); all {
				return
			}
			continue
		}
		p.Dequeue(w)
		w.Grant(l)
	}
}

// Use returns the number of requests in flight and the entry's share of the slots, also of servers
// to which more requests may be sent than they have slots.
func (p *Pool) Use() (inFlight, slots int) {
	if p.cfg.hasEngines() {
		return p.Load()
	}
	sum := 0.0
	for _, s := range p.active {
		if s.Usable {
			sum += float64(max(s.Slots, 1)) * p.shareAt(s.Region)
		}
	}
	return p.inFlight, max(1, int(math.Round(sum)))
}

// Load returns the number of requests in flight and the limit on it.
func (p *Pool) Load() (inFlight, slotLimit int) { return p.inFlight, p.slotLimit() }
