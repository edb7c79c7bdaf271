package placement

import (
	"math"
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/request/serverlimit"
)

// mayGet reports whether a server may get a request now, as far as its own state and limits
// are concerned.
func (p *Pool) mayGet(now time.Time, s *server, req *Request, mayProbe bool) bool {
	switch {
	case !s.Usable || !s.available(now, mayProbe) || slices.Contains(req.Exclude, s.ID) || !p.accepts(s, *req):
		return false
	case !p.cfg.TurnedAway.MayAsk(s.incarnation, now):
		return false
	default:
		return p.cfg.Limits.Due(s.incarnation, p.limitPart(s), now) && p.cfg.Cold.Due(s.incarnation, p.cfg.ColdPart, now)
	}
}

// usableSlots returns the number of a server's slots that its limit lets requests use.
func (p *Pool) usableSlots(s *server) int {
	limit, limited := p.cfg.Limits.Limit(s.incarnation)
	if !limited {
		return s.Slots
	}
	return min(s.Slots, int(math.Ceil(limit*max(p.meanHold, minMeanHold).Seconds())))
}

// limitPart returns the entry's part of a server's limit.
func (p *Pool) limitPart(s *server) serverlimit.Part {
	return serverlimit.Part{Share: p.shareAt(s.Region), Entries: p.cfg.Entries}
}

// OpensIn returns the time until the first usable server in some regions, nil for any, wants
// requests of this entry.
func (p *Pool) OpensIn(now time.Time, regions []string) time.Duration {
	first := time.Duration(math.MaxInt64)
	for _, s := range p.active {
		if s.Usable && permits(regions, s.Region) {
			first = min(first, p.cfg.TurnedAway.Left(s.incarnation, now))
		}
	}
	if first == math.MaxInt64 {
		return 0
	}
	return first
}

// limitInterval returns the mean time between two requests that the limits of the servers
// in some regions, nil for any, allow, or 0 if a usable server there has none.
func (p *Pool) limitInterval(regions []string) time.Duration {
	rate := 0.0
	for _, s := range p.active {
		if !s.Usable || !permits(regions, s.Region) {
			continue
		}
		r, limited := p.cfg.Limits.Rate(s.incarnation, p.limitPart(s))
		if c, cold := p.cfg.Cold.Rate(s.incarnation, p.cfg.ColdPart); cold && (!limited || c < r) {
			r, limited = c, true
		}
		if !limited {
			return 0
		}
		rate += r
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(1/rate, maxLimitInterval.Seconds()) * float64(time.Second))
}
