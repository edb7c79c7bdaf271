package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Reason is why a server can't take a request now.
type Reason string

// Reasons that a pool knows.
const (
	ReasonUnusable   Reason = "unusable"
	ReasonRegion     Reason = "region"
	ReasonExpiring   Reason = "weights expire"
	ReasonEjected    Reason = "ejected after failures"
	ReasonBackoff    Reason = "refused a request"
	ReasonTurnedAway Reason = "turned away"
	ReasonLimit      Reason = "server limit"
	ReasonCold       Reason = "cold"
	ReasonFull       Reason = "full"
	ReasonShare      Reason = "share of the region in use"
	ReasonSlow       Reason = "slow"
	ReasonTooSlow    Reason = "would not end in time"
)

// Candidate is a server of the service as a request would find it now.
type Candidate struct {
	ID, Zone, Region string
	// InFlight is the number of this entry's requests at the server.
	InFlight, Slots int
	// Pace is above 1 if the server is slower than the others.
	Pace float64
	// Reasons lists why the server can't take the request; empty if it can.
	Reasons []Reason `json:",omitempty"`
	// Rank is the server's place in the order of preference, from 1; 0 if it can't take the
	// request.
	Rank int
}

// Forecast is what would happen to a request now.
type Forecast struct {
	// Candidates lists the servers, preferred ones first.
	Candidates []Candidate
	// Server is the ID of the server that would get the request now, or empty.
	Server string `json:",omitempty"`
	// EntryFull is set if the entry uses its share of the slots of all servers.
	EntryFull bool
	// Queued is set if the request would wait, for Wait or longer.
	Queued bool
	Wait   time.Duration
	// RetryAfter is the retry delay if the request would be refused.
	RetryAfter time.Duration
	// Usable is set if any server in the regions of the request can run requests.
	Usable bool
}

// Explain returns what would happen to a request now. It assigns no slot, and leaves no trace in
// the limits and averages of the pool.
func (p *Pool) Explain(now time.Time, req Request) Forecast {
	p.refreshSpeeds(now)
	p.countUsual()
	f := Forecast{EntryFull: p.cfg.Demand == nil && p.inFlight >= p.slotLimit(), Usable: p.HasUsableIn(req.Regions)}
	keys := map[string]float64{}
	c := p.choiceOf(req)
	for i := range p.active {
		// The order decides among equally loaded servers.
		s := p.active[(i+p.rotation)%len(p.active)]
		reasons := p.reasons(now, s, &req, c)
		f.Candidates = append(f.Candidates, Candidate{
			ID: s.ID, Zone: s.Zone, Region: s.Region, InFlight: s.inFlight, Slots: s.Slots, Pace: s.speed.slowPace(), Reasons: reasons,
		})
		keys[s.ID] = math.Inf(1)
		if len(reasons) == 0 {
			keys[s.ID], _ = p.serverKey(now, s, &req, c)
		}
	}
	slices.SortStableFunc(f.Candidates, func(a, b Candidate) int { return cmp.Compare(keys[a.ID], keys[b.ID]) })
	for i := range f.Candidates {
		if len(f.Candidates[i].Reasons) == 0 {
			f.Candidates[i].Rank = i + 1
		}
	}
	if !f.EntryFull && len(f.Candidates) > 0 && f.Candidates[0].Rank == 1 {
		f.Server = f.Candidates[0].ID
		return f
	}
	f.Queued, f.Wait = p.wouldQueue(now, req)
	if !f.Queued {
		// The plan of returns is left as it is: no caller is told the time.
		returns, sizes := p.returns, p.sizes
		f.RetryAfter, _ = p.RefusalDelay(now, &req)
		f.RetryAfter = max(f.RetryAfter, p.OpensIn(now, req.Regions))
		p.returns, p.sizes = returns, sizes
	}
	return f
}

// wouldQueue reports whether Enqueue would accept a request, and its expected wait.
func (p *Pool) wouldQueue(now time.Time, req Request) (bool, time.Duration) {
	w := &Waiter{Request: req, queued: now}
	wait := max(p.queueTime(w), p.OpensIn(now, req.Regions))
	useful := req.WaitUntil.Sub(now)
	return useful > 0 && wait <= useful && p.HasUsableIn(req.Regions), wait
}

// reasons returns why a server can't take a request now.
func (p *Pool) reasons(now time.Time, s *server, req *Request, c choice) []Reason {
	ageNow := p.ageNow()
	mayProbe := s.mayProbe(ageNow, req)
	var list []Reason
	add := func(holds bool, r Reason) {
		if holds {
			list = append(list, r)
		}
	}
	add(!s.Usable, ReasonUnusable)
	add(!req.Permits(&s.Server), ReasonRegion)
	add(s.weightsExpiring(ageNow), ReasonExpiring)
	add(now.Before(s.ejectedUntil) || s.probing && !mayProbe, ReasonEjected)
	add(now.Before(s.backoffUntil), ReasonBackoff)
	add(!p.cfg.TurnedAway.MayAsk(s.incarnation, now), ReasonTurnedAway)
	add(!p.cfg.Limits.Due(s.incarnation, p.limitPart(s), now), ReasonLimit)
	add(!p.cfg.Cold.Due(s.incarnation, p.cfg.ColdPart, now), ReasonCold)
	add(!p.accepts(s, *req), ReasonFull)
	add(req.Permits(&s.Server) && !p.isOpen(s, *req, nil, c), ReasonShare)
	add(s.isSlow(now, req.LatencyTarget) && !mayProbe, ReasonSlow)
	_, inTime := p.serverKey(now, s, req, c)
	add(!inTime, ReasonTooSlow)
	return list
}
