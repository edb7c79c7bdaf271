package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// minSlowPace is the pace from which a server counts as slow. The event intervals of
	// servers of the same speed differ by a third with what else they run.
	minSlowPace = 1.4
	// minObservedPace is the same limit for the pace that follows from event intervals alone.
	minObservedPace = 1.7
	// intervalEWMAWeight is the weight of the newest sample in the mean event interval.
	intervalEWMAWeight = 0.4
	// maxIntervalAge is how long an observed event interval counts. A slow server that gets
	// its part of the requests is observed every few seconds by each entry.
	maxIntervalAge = 10 * time.Second
	// minObserved is the number of servers whose event intervals must be known for one of
	// them to count as slow.
	minObserved = 3
	// speedsInterval is the time for which the paces relative to the others are kept.
	speedsInterval = 100 * time.Millisecond
	// firstEventIntervals is the expected time to the first event beyond the prefill, in
	// event intervals: a request makes the tokens of its first event while others' prompts are read.
	firstEventIntervals = 1.5
	// fitMargin is the part of the time left that the expected times may take: the lengths
	// that callers state are estimates, and others' prompts are read between the events.
	fitMargin = 0.66
	// moveMargin is the same part for a stream that moves to another server: moving it costs
	// another prefill.
	moveMargin = 0.9
	// moveUrgency is the part of the time left that the rest of the stream must take elsewhere
	// for it to move: many servers are slow for seconds only.
	moveUrgency = 0.5
	// shortHold is the time for which a request may hold a slot of a slow server as a short one,
	// relative to the mean time that requests hold a slot, and minShortHold its lower bound. The
	// slots of slow servers fill up with longer ones.
	shortHold    = 0.8
	minShortHold = 500 * time.Millisecond
	// workTime is the time constant of the moving count of requests sent to a server.
	workTime = 4 * time.Second
	// preferBelow and avoidAbove bound the requests that a slow server gets, relative to the
	// mean of the others.
	preferBelow = 0.7
	avoidAbove  = 0.8
	// preferSlow is the bonus of a slow server that gets less than its part, and avoidSlow the
	// penalty of one that gets more, or would be late; both in fractions of a server's slots.
	preferSlow = 0.5
	avoidSlow  = 10
)

// speed is what this entry knows of the speed of a server.
type speed struct {
	// interval is the moving average of the time between two events of a stream, and
	// observed the time of the last sample.
	interval time.Duration
	observed time.Time
	// pace is how long work takes, relative to the median of the servers; 1 unless the
	// server is slow.
	pace float64
	// work counts the requests sent to the server, decaying with workTime since workAt.
	work   float64
	workAt time.Time
}

// speeds is what an entry knows of the speeds of all servers of a service.
type speeds struct {
	refreshed time.Time
	// usualInterval is the median of the observed event intervals, 0 if too few are known.
	usualInterval time.Duration
	// usualWork is the mean work of the servers that are not slow.
	usualWork float64
	// uneven is set if some servers are slow, and usual if others could run requests.
	uneven, usual bool
	// usualFull is set while the entry's share of the slots of the servers that are not slow
	// is in use.
	usualFull bool
	scratch   []float64
}

// OnEvents records the time between two events of the stream that holds a lease.
func (p *Pool) OnEvents(now time.Time, l *Lease, interval time.Duration) {
	s := &l.state.speed
	switch {
	case interval <= 0:
		return
	case s.interval == 0 || now.Sub(s.observed) > maxIntervalAge:
		s.interval = interval
	default:
		s.interval += time.Duration(intervalEWMAWeight * float64(interval-s.interval))
	}
	s.observed = now
}

// refreshSpeeds determines the servers' relative paces: the larger one of what their agents
// have reported and of their event intervals, each relative to the median. If all servers
// are slow at once, none is.
func (p *Pool) refreshSpeeds(now time.Time) {
	sp := &p.speeds
	if !sp.refreshed.IsZero() && now.Sub(sp.refreshed) < speedsInterval {
		return
	}
	sp.refreshed = now
	medianPace := p.medianOf(func(s *server) float64 { return max(s.Pace, 1) })
	interval := p.medianOf(func(s *server) float64 {
		if s.speed.interval == 0 || now.Sub(s.speed.observed) > maxIntervalAge {
			return 0
		}
		return s.speed.interval.Seconds()
	})
	if len(sp.scratch) < minObserved {
		interval = 0
	}
	sp.usualInterval = time.Duration(interval * float64(time.Second))
	sp.uneven, sp.usual, sp.usualWork = false, false, 0
	for _, r := range p.regions {
		r.usual = false
	}
	count := 0
	for _, s := range p.active {
		pace := max(s.Pace, 1) / max(medianPace, 1)
		if interval > 0 && now.Sub(s.speed.observed) <= maxIntervalAge {
			if observed := s.speed.interval.Seconds() / interval; observed >= minObservedPace {
				pace = max(pace, observed)
			}
		}
		if pace < minSlowPace {
			pace = 1
		}
		s.speed.pace = pace
		sp.uneven = sp.uneven || pace > 1
		if pace == 1 && s.Usable && !now.Before(s.ejectedUntil) {
			sp.usual = true
			p.region(s.Region).usual = true
			sp.usualWork += s.speed.recentWork(now)
			count++
		}
	}
	sp.usualWork /= float64(max(count, 1))
}

// countUsual determines whether the share of the slots of the servers that are not slow is in
// use, if some are slow. The slots of slow servers that take only some requests would else be
// taken at the others, beyond what these can run.
func (p *Pool) countUsual() {
	sp := &p.speeds
	sp.usualFull = false
	if !sp.uneven || !sp.usual || !p.cfg.hasEngines() {
		return
	}
	inFlight, limit := 0, 0.0
	for _, s := range p.active {
		if s.Usable && s.speed.slowPace() == 1 {
			inFlight += s.inFlight
			limit += float64(p.usableSlots(s)) * p.shareAt(s.Region)
		}
	}
	sp.usualFull = inFlight >= max(1, int(math.Round(limit*p.overcommit())))
}

// medianOf returns the median of the positive figures of the servers, 0 if there are none.
// They are left in scratch.
func (p *Pool) medianOf(figure func(*server) float64) float64 {
	list := p.speeds.scratch[:0]
	for _, s := range p.active {
		if f := figure(s); f > 0 {
			list = append(list, f)
		}
	}
	p.speeds.scratch = list
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}

// recentWork returns the moving count of requests.
func (s *speed) recentWork(now time.Time) float64 {
	if s.work == 0 {
		return 0
	}
	return s.work * math.Exp(-now.Sub(s.workAt).Seconds()/workTime.Seconds())
}

// addWork counts a request sent to the server.
func (s *speed) addWork(now time.Time) { s.work, s.workAt = s.recentWork(now)+1, now }

// slowPace returns the server's pace if it is known to be slow, else 1.
func (s *speed) slowPace() float64 { return max(s.pace, 1) }

// eventInterval returns the usual time between two events.
func (p *Pool) eventInterval() time.Duration {
	if p.speeds.usualInterval > 0 {
		return p.speeds.usualInterval
	}
	return p.cfg.EventInterval
}

// expectedTimes returns the expected times to the first event and to the end of a request at
// a server. end is 0 if the length of the request is unknown.
func (p *Pool) expectedTimes(s *server, req *Request) (first, end time.Duration) {
	pace, interval := s.speed.slowPace(), p.eventInterval().Seconds()
	wait := firstEventIntervals * interval
	if p.cfg.hasEngines() {
		wait += float64(s.prefillTokens+req.PromptTokens) / p.cfg.ReadPerSecond
	}
	first = time.Duration(pace * wait * float64(time.Second))
	if req.Events <= 0 {
		return first, 0
	}
	return first, first + time.Duration(pace*interval*float64(req.Events-1)*float64(time.Second))
}

// speedKey returns what the speed of a server adds to its load as a key for the choice of a
// server, and false if the request would not end there before its deadline. It is 0 for
// servers that are not slow, and for all if no server of the usual speed could run the request.
func (p *Pool) speedKey(now time.Time, s *server, req *Request) (float64, bool) {
	if req.mustEnd {
		_, end := p.expectedTimes(s, req)
		return 0, end > 0 && float64(end) <= moveMargin*float64(req.Deadline.Sub(now))
	}
	if s.speed.slowPace() == 1 || !p.usualIn(req.Regions) {
		return 0, !p.speeds.usualFull
	}
	first, end := p.expectedTimes(s, req)
	if end > 0 && !req.Deadline.IsZero() && float64(end) > fitMargin*float64(req.Deadline.Sub(now)) {
		return 0, false
	}
	work := s.speed.recentWork(now)
	if !req.FirstDue.IsZero() && float64(first) > fitMargin*float64(req.FirstDue.Sub(now)) {
		return 0, false
	}
	switch {
	case end == 0 || end > max(time.Duration(shortHold*float64(p.meanHold)), minShortHold), work >= avoidAbove*p.speeds.usualWork:
		return avoidSlow, true
	case work < preferBelow*p.speeds.usualWork:
		return -preferSlow, true
	default:
		return 0, true
	}
}

// usualIn reports whether a server of the usual speed in some regions, nil for any, could run
// requests.
func (p *Pool) usualIn(regions []string) bool {
	if regions == nil || !p.speeds.usual {
		return p.speeds.usual
	}
	return slices.ContainsFunc(regions, func(name string) bool { r := p.regions[name]; return name != "" && r != nil && r.usual })
}

// TryMove assigns a slot to a stream that will not end before its deadline at the slow server
// of a lease, where it gets an event after each interval. It returns nil if the stream can wait
// for the server to become faster, or if no other server would end it in time.
func (p *Pool) TryMove(now time.Time, l *Lease, req Request, interval time.Duration) *Lease {
	p.refreshSpeeds(now)
	left := req.Deadline.Sub(now)
	if l.state.speed.slowPace() == 1 || req.Events <= 0 || time.Duration(req.Events)*interval <= left {
		return nil
	}
	there := p.prefillTime(req) + time.Duration((firstEventIntervals+float64(req.Events))*float64(p.eventInterval()))
	if float64(there) < moveUrgency*float64(left) {
		return nil
	}
	req.Started, req.Replaces, req.mustEnd = true, true, true
	return p.TryAcquire(now, req)
}

// Paces returns the relative paces of the servers that are slow, by ID.
func (p *Pool) Paces() map[string]float64 {
	var paces map[string]float64
	for _, s := range p.active {
		if s.speed.pace > 1 {
			if paces == nil {
				paces = map[string]float64{}
			}
			paces[s.ID] = s.speed.pace
		}
	}
	return paces
}
