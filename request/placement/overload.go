package placement

import (
	"math"
	"time"
)

const (
	// manyEntries is the factor by which entries may exceed their shares together if each has less
	// than one slot at a server: they then take slots of different servers at random, so that some
	// servers would have idle slots while others have requests that wait.
	manyEntries = 1.08
	// returnShare is the part of the freed slots that is kept for callers who were refused and
	// come back when they were told to.
	returnShare = 0.1
	// minReturn is the least time after which a refused caller is told to come back.
	minReturn = 300 * time.Millisecond
	// honoredPart is the part of the time left up to which callers honor a retry delay.
	honoredPart = 1.0 / 3
	// honoredMargin is subtracted from that part: the time on the way counts as well.
	honoredMargin = 50 * time.Millisecond
	// maxReturnTokens bounds the callers that are served ahead of others at once.
	maxReturnTokens = 4
)

const (
	// shortSlotTime is the time for which a short request holds a slot, relative to the mean.
	shortSlotTime = 0.8
	// longShare is the least rate at which longer requests are served, relative to that of short
	// ones, for short ones to go first. The largest tenth of a kind is to get half of its rate.
	longShare = 0.6
	// sizesTime is the time constant of these rates.
	sizesTime = 2 * time.Second
)

// sizes counts the served and all requests by size, short ones second, decaying with sizesTime.
type sizes struct {
	served, all [2]float64
	counted     time.Time
}

// count counts a request that got a slot or was refused. Requests that only change their server do
// not count.
func (s *sizes) count(now time.Time, short, served bool, req *Request) {
	if req.Started || req.Replaces || req.Events <= 0 {
		return
	}
	decay := math.Exp(-now.Sub(s.counted).Seconds() / sizesTime.Seconds())
	s.counted = now
	i := 0
	if short {
		i = 1
	}
	for k := range s.all {
		s.served[k] *= decay
		s.all[k] *= decay
	}
	s.all[i]++
	if served {
		s.served[i]++
	}
}

// longServed reports whether longer requests are served often enough for short ones to go first.
func (s *sizes) longServed() bool {
	return s.served[0]*s.all[1] >= longShare*s.served[1]*s.all[0]
}

// isShort reports whether a request is expected to hold its slot for less than most do.
func (p *Pool) isShort(req *Request) bool {
	if req.Events <= 0 {
		return false
	}
	slotTime := p.prefillTime(*req) + time.Duration(req.Events)*p.eventInterval()
	return float64(slotTime) < shortSlotTime*float64(p.meanHold)
}

// goesFirst reports whether a queued request goes ahead of longer ones of its class: it is worth
// more for the seconds of a slot that it takes, and more callers are served.
func (p *Pool) goesFirst(req *Request) bool { return p.isShort(req) && p.sizes.longServed() }

// returns plans the return of refused callers.
type returns struct {
	// next is the earliest time that is not promised to a caller.
	next time.Time
	// tokens counts the callers who come back that may be served ahead of others, at refilled.
	tokens   float64
	refilled time.Time
}

// returnInterval returns the time between two slots that are kept for callers who come back, or
// 0 if it is unknown. Only slots in the regions count; nil means all.
func (p *Pool) returnInterval(regions []string) time.Duration {
	if regions == nil {
		return time.Duration(float64(p.freeInterval) / returnShare)
	}
	perSecond := 0.0
	for name, r := range p.regions {
		if permits(regions, name) && r.freeInterval > 0 {
			perSecond += 1 / r.freeInterval.Seconds()
		}
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / perSecond / returnShare)
}

// RefusalDelay returns the retry delay for a request that is refused: the time at which a slot is
// kept for it, or more than its caller honors if there is none, so that it does not come back
// to be refused again. planned is set if the delay must reach the caller as it is.
func (p *Pool) RefusalDelay(now time.Time, req *Request) (delay time.Duration, planned bool) {
	p.sizes.count(now, p.isShort(req), false, req)
	delay = p.RetryAfterIn(req.Regions)
	interval := p.returnInterval(req.Regions)
	left := req.Deadline.Sub(now)
	if !p.cfg.hasEngines() || interval <= 0 || req.Deadline.IsZero() || !p.HasUsableIn(req.Regions) {
		return delay, false
	}
	at := now.Add(minReturn)
	for _, earliest := range []time.Time{req.ReturnFrom, p.returns.next} {
		if earliest.After(at) {
			at = earliest
		}
	}
	if req.Returned || at.Sub(now) > time.Duration(honoredPart*float64(left))-honoredMargin {
		return max(delay, left), true
	}
	p.returns.next = at.Add(interval)
	return at.Sub(now), true
}

// takeReturn reports whether a caller who comes back is served ahead of others: as many are as
// were told to come back. Those who come earlier gain nothing together.
func (p *Pool) takeReturn(now time.Time) bool {
	r := &p.returns
	if interval := p.returnInterval(nil); interval > 0 {
		r.tokens = min(r.tokens+now.Sub(r.refilled).Seconds()/interval.Seconds(), maxReturnTokens)
	}
	r.refilled = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// overcommit returns the factor by which the entry may exceed its share of the slots.
func (p *Pool) overcommit() float64 {
	for _, s := range p.active {
		if s.Usable && float64(s.Slots)*p.shareAt(s.Region) >= 1 {
			return 1
		}
	}
	return manyEntries
}

// WaitDeadline returns the time until which a request may wait for a slot and still
// meet its latency target. The prefill time of its prompt and the recent delay of
// first events are subtracted from the target.
func (p *Pool) WaitDeadline(start time.Time, req Request) time.Time {
	var sum time.Duration
	n := 0
	for _, s := range p.active {
		if s.Usable && req.Permits(&s.Server) && s.firstEventDelay > 0 && s.speed.slowPace() == 1 && !s.isSlow(start, req.LatencyTarget) {
			sum += s.firstEventDelay
			n++
		}
	}
	wait := req.LatencyTarget - p.prefillTime(req)
	if n > 0 {
		wait -= time.Duration(delayReserve * float64(sum) / float64(n))
	}
	return start.Add(max(wait, minQueueTime))
}

// freedSlots measures how often slots become free, at all servers or at those of one region.
type freedSlots struct {
	// freeInterval is the moving average of the time between two freed slots.
	freeInterval time.Duration
	lastFreed    time.Time
}

// recordFreed updates the average interval between freed slots. An interval
// counts as at most one second, so that idle periods don't dominate the average.
func (f *freedSlots) recordFreed(now time.Time) {
	if !f.lastFreed.IsZero() {
		interval := min(now.Sub(f.lastFreed), time.Second)
		f.freeInterval += time.Duration(slotEWMAWeight * float64(interval-f.freeInterval))
	}
	f.lastFreed = now
}

// RetryAfter returns the retry delay for a refused request: about the time in
// which all slots now in use are freed once, within fixed bounds.
func (p *Pool) RetryAfter() time.Duration { return p.RetryAfterIn(nil) }

// RetryAfterIn is RetryAfter for a request that is restricted to some regions; nil means any.
func (p *Pool) RetryAfterIn(regions []string) time.Duration {
	const shortest, longest = 300 * time.Millisecond, 3 * time.Second
	return min(max(p.meanHold, shortest, p.limitInterval(regions)), longest)
}
