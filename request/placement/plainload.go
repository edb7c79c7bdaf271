package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxReportAge is how long the load that a server has reported counts: its speed changes
	// several times a second.
	maxReportAge = 500 * time.Millisecond
	// usualWorkPercent is the time that work usually takes, in percent.
	usualWorkPercent = 100
	// meanWorkEWMAWeight is the weight of the newest report in the mean time of work.
	meanWorkEWMAWeight = 0.05
	// sameCost is the relative difference of expected costs below which servers count as equal.
	sameCost = 0.1
)

// LoadReport is the load that a server states with a response.
type LoadReport struct {
	Running, Waiting, Slots int
	// WorkPercent is how long work takes there, in percent of the usual time.
	WorkPercent int
}

// reportedLoad is the last load of a server's incarnation.
type reportedLoad struct {
	LoadReport
	at time.Time
	// sent counts this entry's requests to the server since the report.
	sent int
}

// plainLoads is what an entry knows of the load of all servers of a plain service.
type plainLoads struct {
	// meanWork is the moving average of the time of work that servers report, relative to the
	// usual one; 0 if none has reported.
	meanWork float64
	// candidates and costs are scratch space of pickServer.
	candidates []*server
	costs      []float64
}

// OnLoad records the load that a server has stated with the response to the request of a lease.
// A server that has started again since is not concerned. It holds for
// maxReportAge, whatever the order in which responses arrive.
func (p *Pool) OnLoad(now time.Time, l *Lease, r LoadReport) {
	if p.cfg.hasEngines() || r.WorkPercent <= 0 || l.state.incarnation != l.Incarnation {
		return
	}
	if p.plain.meanWork == 0 {
		p.plain.meanWork = 1
	}
	p.plain.meanWork += meanWorkEWMAWeight * (float64(r.WorkPercent)/usualWorkPercent - p.plain.meanWork)
	l.state.reported = reportedLoad{LoadReport: r, at: now}
}

// cost returns the expected time of a request at a server, in multiples of the usual time of a
// request that does not wait there. Without a recent report, that is the mean of all servers,
// which a report approaches with its age.
func (p *Pool) cost(now time.Time, s *server) float64 {
	mean := p.plain.meanWork
	if mean == 0 {
		mean = 1
	}
	r := &s.reported
	age := now.Sub(r.at)
	if r.at.IsZero() || age > maxReportAge {
		return mean
	}
	slots := float64(max(r.Slots, 1))
	work := float64(r.WorkPercent) / usualWorkPercent
	cost := mean + (work-mean)*(1-float64(age)/float64(maxReportAge))
	if ahead := float64(r.Running+r.Waiting+r.sent+1) - slots; ahead > 0 {
		cost *= 1 + ahead/slots
	}
	return cost
}

// pickByCost returns the better one of two random servers out of candidates, of which any may
// run the request, or nil if recent reports don't show that their costs differ. Entries have
// different figures and choose among different servers, so that they don't all turn to the
// same one.
func (p *Pool) pickByCost(now time.Time, candidates []*server) *server {
	if p.cfg.hasEngines() || len(candidates) < 2 || p.plain.meanWork == 0 {
		return nil
	}
	p.plain.costs = p.plain.costs[:0]
	for _, s := range candidates {
		p.plain.costs = append(p.plain.costs, p.cost(now, s))
	}
	if low := slices.Min(p.plain.costs); slices.Max(p.plain.costs)-low < sameCost*low {
		return nil
	}
	i := p.random(len(candidates))
	j := p.random(len(candidates) - 1)
	if j >= i {
		j++
	}
	if p.plain.costs[j] < p.plain.costs[i] {
		i = j
	}
	return candidates[i]
}

// random returns a random number below n.
func (p *Pool) random(n int) int {
	if p.cfg.Random != nil {
		return p.cfg.Random(n)
	}
	return rand.IntN(n)
}
