package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// maxReading bounds the time that a server spends on prompts between two
	// events of a stream. The platform calls a stream late after a pause of
	// 400 ms; the events themselves take 50 to 60 ms.
	maxReading = 80 * time.Millisecond
	// plainQueue is how many requests may wait at a server that is no engine.
	plainQueue = 4
	// delaySpread is how much of the mean delay of first events is reckoned with
	// by a request that waits: by `wpbench placement` 0.8 to 1 earn most, and 1.6
	// a twentieth less.
	delaySpread = 1
	// minWait is how long any request may wait: one pass of an engine frees some
	// places.
	minWait = 25 * time.Millisecond
	// rateWeight is the weight of the last sample in the means of pauses between
	// places and of the time that one is kept.
	rateWeight = 0.1
)

// Pool places the requests of one entry on the servers of one service.
type Pool struct {
	cfg     Config
	servers map[string]*server
	order   []*server
	// share is the part of the servers' slots that this entry may fill.
	share   float64
	own     int
	waiting []*Waiter
	// pause is the mean time between two places that became free.
	pause time.Duration
	freed time.Time
	// held is the mean time that a request keeps its place.
	held time.Duration
	turn int
}

// NewPool returns a pool without servers.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, servers: map[string]*server{}, share: 1}
}

// Update takes in the servers of the service and this entry's share of them.
func (p *Pool) Update(now time.Time, cfg Config, servers []Server, share float64) {
	p.cfg, p.share = cfg, share
	for _, s := range p.servers {
		s.gone = true
	}
	p.order = p.order[:0]
	for _, seen := range servers {
		s := p.servers[seen.ID]
		if s == nil {
			s = &server{}
			p.servers[seen.ID] = s
		}
		s.Server, s.gone = seen, false
		p.order = append(p.order, s)
	}
	for id, s := range p.servers {
		if s.gone && s.own == 0 {
			delete(p.servers, id)
		}
	}
	p.Pump(now)
}

// capacity returns how many requests the entry may have at a server.
func (p *Pool) capacity(s *server) int {
	if !p.cfg.generates() {
		return max(s.Slots, 1) + plainQueue
	}
	return max(1, min(int(math.Ceil(float64(s.Slots)*p.share)), s.Slots))
}

// budget returns how many requests the entry may have at all servers.
func (p *Pool) budget() int {
	if !p.cfg.generates() {
		return math.MaxInt
	}
	slots := 0
	for _, s := range p.order {
		if s.Usable {
			slots += s.Slots
		}
	}
	return max(1, int(math.Round(float64(slots)*p.share)))
}

// Take gives a request a place at once, or returns nil.
func (p *Pool) Take(now time.Time, req Request) *Lease {
	if p.own >= p.budget() {
		return nil
	}
	s := p.choose(now, req)
	if s == nil {
		return nil
	}
	s.own++
	s.reading += req.Prompt
	p.own++
	p.turn++
	l := &Lease{Server: s.Server, state: s, req: req, at: now, reading: true}
	if req.Aim > 0 {
		s.pending = append(s.pending, l)
	}
	return l
}

// choose returns the server with the smallest part of its places taken.
func (p *Pool) choose(now time.Time, req Request) *server {
	var best *server
	var bestKey float64
	for i := range p.order {
		s := p.order[(i+p.turn)%len(p.order)]
		if s.slow(now, req.Aim) && (s.own > 0 || !s.Until.IsZero()) || s.expiring(now) {
			// One request at a time finds out whether the server is still slow.
			continue
		}
		if !s.Usable || !s.rested(now) || slices.Contains(req.Avoid, s.ID) || !p.fits(s, req) {
			continue
		}
		key := p.load(s)
		if s.Zone != p.cfg.Zone {
			// Between equals the nearer one is taken: bytes between zones cost.
			key += 1e-3
		}
		if best == nil || key < bestKey {
			best, bestKey = s, key
		}
	}
	return best
}

// load is the part of a server's places that this entry fills. Prompts that
// are still to be read count as well: they delay each other.
func (p *Pool) load(s *server) float64 {
	load := float64(s.own) / float64(max(s.Slots, 1))
	if p.cfg.generates() {
		load += float64(s.reading) / p.cfg.ReadPerSecond
	}
	return load
}

// fits reports whether a server takes a request now.
func (p *Pool) fits(s *server, req Request) bool {
	if s.own >= p.capacity(s) {
		return false
	}
	if !p.cfg.generates() || s.reading == 0 {
		return true
	}
	allowed := p.cfg.ReadPerSecond * maxReading.Seconds()
	return float64(s.reading+req.Prompt) <= allowed
}

// Began tells that a server has sent the first event.
func (p *Pool) Began(now time.Time, l *Lease) {
	if l.reading {
		l.reading = false
		l.state.reading -= l.req.Prompt
		l.state.began(now, l, p.readingTime(l.req))
		p.Pump(now)
	}
}

// UsefulUntil returns until when a request may wait for a place and still be on
// time: the rest of its aim is for reading its prompt and for the delay that
// first events have had lately.
func (p *Pool) UsefulUntil(start time.Time, req Request) time.Time {
	var sum time.Duration
	n := 0
	for _, s := range p.order {
		if s.Usable && s.delay > 0 && !s.slow(start, req.Aim) {
			sum += s.delay
			n++
		}
	}
	wait := req.Aim - p.readingTime(req)
	if n > 0 {
		wait -= time.Duration(delaySpread * float64(sum) / float64(n))
	}
	return start.Add(max(wait, minWait))
}

func (p *Pool) readingTime(req Request) time.Duration {
	if !p.cfg.generates() {
		return 0
	}
	return time.Duration(float64(req.Prompt) / p.cfg.ReadPerSecond * float64(time.Second))
}

// Done gives a place back.
func (p *Pool) Done(now time.Time, l *Lease, o Outcome) {
	if l.reading {
		l.reading = false
		l.state.reading -= l.req.Prompt
		l.state.forget(l)
	}
	l.state.own--
	p.own--
	l.state.learn(o, now)
	if l.state.gone && l.state.own == 0 {
		delete(p.servers, l.state.ID)
	}
	p.noteFreed(now)
	if o == Served {
		p.held += time.Duration(rateWeight * float64(now.Sub(l.at)-p.held))
	}
	p.Pump(now)
}

func (p *Pool) noteFreed(now time.Time) {
	if !p.freed.IsZero() {
		pause := min(now.Sub(p.freed), time.Second)
		p.pause += time.Duration(rateWeight * float64(pause-p.pause))
	}
	p.freed = now
}

// Usable reports whether any server could run a request at all.
func (p *Pool) Usable(now time.Time) bool {
	return slices.ContainsFunc(p.order, func(s *server) bool { return s.Usable && !s.expiring(now) })
}

// Wait queues a request. It returns false where waiting is of no use: the
// places that will become free in time go to those before it.
func (p *Pool) Wait(now time.Time, w *Waiter) bool {
	w.at = now
	useful := w.Req.WaitUntil.Sub(now)
	if useful <= 0 || !p.Usable(now) {
		return false
	}
	if time.Duration(p.ahead(w))*p.pause > useful {
		return false
	}
	p.waiting = append(p.waiting, w)
	return true
}

func (p *Pool) ahead(w *Waiter) int {
	n := 1
	for _, o := range p.waiting {
		if !before(w, o) {
			n++
		}
	}
	return n
}

// before reports whether a is served before b.
func before(a, b *Waiter) bool {
	if a.Req.Begun != b.Req.Begun {
		return a.Req.Begun
	}
	if a.Req.Late != b.Req.Late {
		return b.Req.Late
	}
	if a.Req.Priority != b.Req.Priority {
		return a.Req.Priority < b.Req.Priority
	}
	// The newest has most of its time left. How long it may wait is no measure:
	// requests with long prompts may wait less, and would always come last.
	return b.at.Before(a.at)
}

// Withdraw takes a waiter out and reports whether it still waited.
func (p *Pool) Withdraw(w *Waiter) bool {
	at := slices.Index(p.waiting, w)
	if at < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, at, at+1)
	return true
}

// Waiting counts the requests that wait.
func (p *Pool) Waiting() int { return len(p.waiting) }

// Pump gives free places to those that wait; pauses after refusals end with
// time alone.
func (p *Pool) Pump(now time.Time) {
	for len(p.waiting) > 0 {
		best := 0
		for i, w := range p.waiting {
			if before(w, p.waiting[best]) {
				best = i
			}
		}
		w := p.waiting[best]
		l := p.Take(now, w.Req)
		if l == nil {
			return
		}
		p.waiting = slices.Delete(p.waiting, best, best+1)
		w.Grant(l)
	}
}

// ComeBackIn returns when a refused request has a better chance: after about the
// time in which the places that are taken now have all been given anew.
func (p *Pool) ComeBackIn() time.Duration {
	const shortest, longest = 300 * time.Millisecond, 3 * time.Second
	return min(max(p.held, shortest), longest)
}

// Load returns how many requests this entry has at the servers, and may have.
func (p *Pool) Load() (own, budget int) { return p.own, p.budget() }
