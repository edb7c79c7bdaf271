package forward

import (
	"net/http"
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

// PlacementQuery describes a request that is not sent.
type PlacementQuery struct {
	Host, Path string
	// Key is the API key. Account is the name of the account if there is no key.
	Key, Account string
	Tokens       platform.Tokens
	// Parts lists the IDs of the shared parts of the prompt.
	Parts []string
	// Deadline is the time that the caller waits; 0 means the timeout of the route.
	Deadline time.Duration
}

// PlacementAnswer is where a request would go now.
type PlacementAnswer struct {
	Route   string `json:"route,omitempty"`
	Account string `json:"account,omitempty"`
	// Services holds the forecasts for the services of the route.
	Services []ServicePlacement `json:"services,omitempty"`
	// Status, Code and Reason are those of a refusal before a service is chosen.
	Status int    `json:"status,omitempty"`
	Code   int    `json:"code,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// ServicePlacement is what would happen to a request at one service of its route.
type ServicePlacement struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
	// Regions lists the regions in which the request may be served; null means any.
	Regions []string          `json:"regions"`
	Servers []ServerPlacement `json:"servers"`
	// Outcome is sent, queued or refused.
	Outcome string `json:"outcome"`
	Server  string `json:"server,omitempty"`
	// EntryFull is set if the entry uses its share of the slots of all servers.
	EntryFull    bool  `json:"entry_full,omitempty"`
	WaitMs       int64 `json:"wait_ms,omitempty"`
	MaxWaitMs    int64 `json:"max_wait_ms,omitempty"`
	Status       int   `json:"status,omitempty"`
	Code         int   `json:"code,omitempty"`
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// ServerPlacement is a server and why it may not take the request.
type ServerPlacement struct {
	Rank     int      `json:"rank,omitempty"`
	ID       string   `json:"id"`
	Zone     string   `json:"zone"`
	Region   string   `json:"region,omitempty"`
	InFlight int      `json:"in_flight"`
	Slots    int      `json:"slots"`
	Pace     float64  `json:"pace"`
	Reasons  []string `json:"reasons,omitempty"`
}

// Outcomes of a forecast.
const (
	OutcomeSent    = "sent"
	OutcomeQueued  = "queued"
	OutcomeRefused = "refused"
)

// ExplainPlacement returns where a request would go now, and why. Nothing is sent or recorded.
func (h *Handler) ExplainPlacement(q PlacementQuery) PlacementAnswer {
	config := h.View().Config
	if config == nil {
		return refusedAnswer(result.Refuse(result.NoQuorum, noConfigRetryAfter, "no configuration received yet"))
	}
	route := config.Route(stripPort(q.Host), q.Path)
	if route == nil {
		return refusedAnswer(result.New(result.UnknownService, "no route for host %q and path %q", q.Host, q.Path))
	}
	a := PlacementAnswer{Route: route.Name}
	account, found := explainedAccount(config, route, q)
	if !found {
		refused := refusedAnswer(result.New(result.UnknownAccount, "no such account"))
		refused.Route = route.Name
		return refused
	}
	if account != nil {
		a.Account = account.Name
	}
	now := h.clock.Now()
	left := route.Timeout
	if q.Deadline > 0 {
		left = min(left, q.Deadline)
	}
	cr := &callerRequest{
		request: &http.Request{Host: q.Host, RequestURI: q.Path}, start: now, lastSent: now, deadline: now.Add(left), config: config, route: route, account: account, regions: allowedRegions(route, account),
		tokens: q.Tokens, parts: q.Parts, late: left < time.Duration(lateTimeoutFraction*float64(route.Timeout)),
	}
	if !route.Generation {
		cr.tokens, cr.parts = platform.Tokens{}, nil
	}
	cr.candidates = cr.partCandidates()
	err := h.suspects.explain(cr)
	if left <= 2*responseMargin {
		err = result.Refuse(result.DeadlineExceeded, 0, "the deadline would pass before the request was sent")
	}
	if err != nil {
		refused := refusedAnswer(err)
		refused.Route, refused.Account = a.Route, a.Account
		return refused
	}
	for _, share := range route.Shares {
		cr.service = share.Service
		a.Services = append(a.Services, h.explainService(cr, share.Weight))
	}
	return a
}

// explainedAccount returns the account of a query; nil if the route needs none. It returns false
// if there is no such account.
func explainedAccount(config *deployment.Config, route *deployment.Route, q PlacementQuery) (*deployment.Account, bool) {
	if route.Public || len(config.Accounts) == 0 {
		return nil, true
	}
	if q.Key != "" {
		account := config.Account(q.Key)
		return account, account != nil
	}
	i := slices.IndexFunc(config.Accounts, func(a deployment.Account) bool { return a.Name == q.Account })
	if i < 0 {
		return nil, false
	}
	return &config.Accounts[i], true
}

func refusedAnswer(err error) PlacementAnswer {
	e := result.From(err)
	return PlacementAnswer{Status: httpStatus(err), Code: int(e.Code), Reason: e.Detail}
}

// explainService returns what would happen to a request at its service.
func (h *Handler) explainService(cr *callerRequest, weight float64) ServicePlacement {
	sc := h.scheduler
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	st := sc.service(cr.service, now)
	req := sc.placementRequest(cr, st.pool, now, h.explainedWait(cr))
	f := st.pool.Explain(now, req)
	p := ServicePlacement{Service: cr.service, Weight: weight, Regions: req.Regions, EntryFull: f.EntryFull, Server: f.Server}
	switch {
	case f.Server != "":
		p.Outcome = OutcomeSent
	case f.Queued:
		p.Outcome, p.WaitMs, p.MaxWaitMs = OutcomeQueued, f.Wait.Milliseconds(), req.WaitUntil.Sub(now).Milliseconds()
	default:
		err := sc.explainRefusal(st, &req, f)
		p.Outcome, p.Status, p.Code, p.RetryAfterMs = OutcomeRefused, httpStatus(err), int(result.CodeOf(err)), result.From(err).RetryAfter.Milliseconds()
	}
	records := sc.view.Servers[cr.service]
	for _, c := range f.Candidates {
		s := ServerPlacement{Rank: c.Rank, ID: c.ID, Zone: c.Zone, Region: c.Region, InFlight: c.InFlight, Slots: c.Slots, Pace: c.Pace}
		for _, r := range c.Reasons {
			if r == placement.ReasonUnusable {
				s.Reasons = append(s.Reasons, sc.unusableReasons(st, records, c.ID, now)...)
				continue
			}
			s.Reasons = append(s.Reasons, string(r))
		}
		p.Servers = append(p.Servers, s)
	}
	return p
}

// explainedWait returns the time until which a request may wait for a slot, as for one that is
// sent; zero leaves it to the pool.
func (h *Handler) explainedWait(cr *callerRequest) time.Time {
	if cr.route.Kind != deployment.Stream {
		return h.plainWaitDeadline(cr)
	}
	r := relay{h: h, cr: cr}
	return r.waitDeadline()
}

// explainRefusal returns the error that a request would get. The caller holds mu.
func (sc *scheduler) explainRefusal(st *serviceState, req *placement.Request, f placement.Forecast) error {
	switch {
	case st.evacuation.whole && !f.Usable:
		return evacuatedError()
	case !f.Usable && req.Regions != nil:
		return result.Refuse(result.RegionUnavailable, max(f.RetryAfter, regionRetryAfter), "no usable backend server in the allowed regions")
	case !f.Usable:
		return result.Refuse(result.NoBackend, f.RetryAfter, "no usable backend server for the request")
	default:
		return result.Refuse(result.QueueFull, f.RetryAfter, "no slot would become free in time")
	}
}

// unusableReasons returns why a server gets no new requests at all. The caller holds mu.
func (sc *scheduler) unusableReasons(st *serviceState, records []directory.Record, id string, now time.Time) []string {
	i := slices.IndexFunc(records, func(r directory.Record) bool { return r.ID == id })
	if i < 0 || st.config == nil {
		return []string{"not listed any more"}
	}
	record := &records[i]
	incarnation := placement.Server{ID: record.ID, Born: record.Born}
	held, _, _ := sc.usableWeights(engineModels(st.config), record.Held)
	var reasons []string
	for _, r := range []struct {
		holds bool
		text  string
	}{
		{record.State != directory.Ready, record.State.String()},
		{sc.leaving[incarnation.Incarnation()], "leaving"},
		{sc.view.Evacuated[record.Zone], "zone evacuated"},
		{!held, "weights missing or expired"},
		{held && !weightsVerified(st.config, record), "weights not verified"},
		{record.LoadingUntil > sc.view.At+now.Sub(sc.viewTime), "loads weights"},
	} {
		if r.holds {
			reasons = append(reasons, r.text)
		}
	}
	if len(reasons) == 0 {
		reasons = append(reasons, string(placement.ReasonUnusable))
	}
	return reasons
}

// explain is like refused, but counts nothing.
func (s *suspects) explain(cr *callerRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait, part, refused := s.table.Refused(cr.candidates, s.ageClock.Now())
	if !refused {
		return nil
	}
	return result.Refuse(result.PromptQuarantined, wait, "part %q of the prompt is suspected of crashing servers", part.ID)
}
