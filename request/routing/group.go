package routing

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/session"
)

// Request holds the properties of a request that determine its backend server.
type Request struct {
	// Prefix is the hash of the prompt's prefix; zero means none.
	Prefix uint64
	// Version restricts the selection to servers that serve it; empty means any.
	Version string
	// Accept reports whether a version may serve the request; nil means any.
	Accept func(version string) bool
	// AcceptZone reports whether servers in a zone may serve the request; nil means any.
	AcceptZone func(zone string) bool
	// Exclude lists the names of servers that were already tried.
	Exclude []string
	// Force permits servers without a free slot. It is set for retries.
	Force bool
}

// Group holds the servers of one service. Safe for concurrent use.
type Group struct {
	cfg   Config
	clock clockwork.Clock

	// mu guards the fields below.
	mu      sync.Mutex
	servers map[string]*server
	// candidates is scratch space for pickServer.
	candidates []*server
	// rotation is the offset at which the search for a server starts; it varies so
	// that equally loaded servers alternate.
	rotation int
	hints    *hints
	// paces is scratch space for medianPace.
	paces []float64
	// inFlight counts the entry's requests in progress. waitingEntries is the number
	// of entries at which requests wait; it is valid until waitingEntriesUntil.
	inFlight            int
	waitingEntries      int
	waitingEntriesUntil time.Time
}

// NewGroup returns an empty group.
func NewGroup(cfg Config, clock clockwork.Clock) *Group {
	cfg = cfg.withDefaults()
	return &Group{cfg: cfg, clock: clock, servers: make(map[string]*server), hints: newHints(cfg.MaxPrefixHints)}
}

// Lease is a request in progress at a backend server. Done must be called once.
type Lease struct {
	Backend *session.Backend
	group   *Group
	server  *server
	start   time.Time
	// maxInFlight is returned by MaxInFlight.
	maxInFlight int
}

// Pick selects one of the backend servers and counts the request there. It returns
// nil if none may take the request.
func (g *Group) Pick(backends []*session.Backend, req Request) *Lease {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.applyReports(backends)
	if !req.Force && !g.belowFairShare(backends, now) {
		return nil
	}
	s := g.pickServer(backends, req, now)
	if s == nil {
		return nil
	}
	l := &Lease{Backend: s.backend, group: g, server: s, start: now}
	if s.hasFreeSlot(&g.cfg) {
		l.maxInFlight = s.reportedSlots(&g.cfg)
	}
	s.inFlight++
	g.inFlight++
	return l
}

// applyReports applies newer reports and adds new servers. A server with a new
// incarnation starts with a new state.
func (g *Group) applyReports(backends []*session.Backend) {
	for _, b := range backends {
		s := g.servers[b.Name]
		if s == nil || s.backend.Incarnation != b.Incarnation {
			s = newServer(&g.cfg, b)
			g.servers[b.Name] = s
		}
		if s.lastReport != b {
			s.lastReport = b
			s.applyReport(b)
			g.hints.applyEvents(b)
		}
	}
	if len(g.servers) > 2*len(backends)+8 {
		g.dropIdle(backends)
	}
}

// dropIdle drops servers that are no longer listed and have no requests.
func (g *Group) dropIdle(backends []*session.Backend) {
	for name, s := range g.servers {
		removed := !slices.ContainsFunc(backends, func(b *session.Backend) bool { return b.Name == name })
		if removed && s.inFlight == 0 {
			delete(g.servers, name)
		}
	}
}

// pickServer selects a server: first from the entry's subset, then from all servers,
// and for forced requests also from servers without a free slot.
func (g *Group) pickServer(backends []*session.Backend, req Request, now time.Time) *server {
	g.candidates = g.candidates[:0]
	median := g.medianPace()
	for _, b := range backends {
		if g.eligible(b, req) {
			s := g.servers[b.Name]
			s.expirePace(&g.cfg, now, median)
			g.candidates = append(g.candidates, s)
		}
	}
	pool := g.excludeEjected(g.candidates, now)
	if s := g.pickNearest(g.entrySubset(pool), req, false); s != nil {
		return s
	}
	if s := g.pickNearest(pool, req, false); s != nil || !req.Force {
		return s
	}
	return g.pickNearest(pool, req, true)
}

// eligible reports whether a backend server may serve the request.
func (g *Group) eligible(b *session.Backend, req Request) bool {
	if req.Version != "" && b.Serving != req.Version {
		return false
	}
	if req.Accept != nil && !req.Accept(b.Serving) {
		return false
	}
	if req.AcceptZone != nil && !req.AcceptZone(b.Zone) {
		return false
	}
	return !slices.Contains(req.Exclude, b.Name)
}

// excludeEjected removes ejected servers from the pool, unless their fraction
// exceeds MaxEjectedShare.
func (g *Group) excludeEjected(pool []*server, now time.Time) []*server {
	numEjected := 0
	for _, s := range pool {
		if s.ejected(now) {
			numEjected++
		}
	}
	if numEjected == 0 || float64(numEjected) > g.cfg.MaxEjectedShare*float64(len(pool)) {
		return pool
	}
	rest := make([]*server, 0, len(pool)-numEjected)
	for _, s := range pool {
		if !s.ejected(now) {
			rest = append(rest, s)
		}
	}
	return rest
}

// entrySubset returns the servers that rank first for this entry, so that the
// connections and state of an entry grow more slowly than the fleet.
func (g *Group) entrySubset(pool []*server) []*server {
	if len(pool) <= g.cfg.Subset {
		return pool
	}
	ranked := slices.Clone(pool)
	slices.SortFunc(ranked, func(a, b *server) int {
		if a.tier != b.tier {
			return a.tier - b.tier
		}
		if a.subsetRank < b.subsetRank {
			return -1
		}
		return 1
	})
	return ranked[:g.cfg.Subset]
}

// pickNearest selects from the nearest tier whose utilization is below
// MaxZoneUtilization, or else from all tiers.
func (g *Group) pickNearest(pool []*server, req Request, force bool) *server {
	for tier := range numTiers {
		if tier == tierFar || !hasServerUpTo(pool, tier) {
			continue
		}
		if s := g.pickInTier(pool, tier, req, g.cfg.MaxZoneUtilization); s != nil {
			return s
		}
	}
	if s := g.pickInTier(pool, numTiers, req, 1); s != nil || !force {
		return s
	}
	return g.pickLeastLoaded(pool, func(*server) bool { return true })
}

// hasServerUpTo reports whether the pool has a server up to a tier.
func hasServerUpTo(pool []*server, tier int) bool {
	for _, s := range pool {
		if s.tier <= tier {
			return true
		}
	}
	return false
}

// pickInTier selects from the servers up to a tier whose utilization is below a
// limit: by prefix if a server's load is near the mean, or else by load.
func (g *Group) pickInTier(pool []*server, tier int, req Request, maxUtilization float64) *server {
	usable := func(s *server) bool {
		return s.tier <= tier && s.hasFreeSlot(&g.cfg) && (maxUtilization >= 1 || s.load() < maxUtilization*float64(s.slots(&g.cfg)))
	}
	if req.Prefix != 0 {
		if s := g.pickByPrefix(pool, req.Prefix, usable); s != nil {
			return s
		}
	}
	return g.pickLeastLoaded(pool, usable)
}

// pickByPrefix selects a server by rendezvous hashing of the prefix among those whose
// load is near the mean. Servers known to cache the prefix are preferred.
func (g *Group) pickByPrefix(pool []*server, prefix uint64, usable func(*server) bool) *server {
	total, n := 0.0, 0
	for _, s := range pool {
		if usable(s) {
			total += s.load()
			n++
		}
	}
	if n == 0 {
		return nil
	}
	bound := g.cfg.PrefixLoadBound*(total+1)/float64(n) + 1
	cachedAt := g.hints.holders(prefix)
	var best *server
	var bestWeight uint64
	bestCached := false
	for _, s := range pool {
		if !usable(s) || s.load() >= bound {
			continue
		}
		weight, isCached := mix(prefix, s.hash), slices.Contains(cachedAt, s.backend.Name)
		if best == nil || (isCached && !bestCached) || (isCached == bestCached && weight > bestWeight) {
			best, bestWeight, bestCached = s, weight, isCached
		}
	}
	return best
}

// pickLeastLoaded selects the server with the lowest utilization, multiplied by its
// slowPenalty. Equally loaded servers alternate.
func (g *Group) pickLeastLoaded(pool []*server, usable func(*server) bool) *server {
	if len(pool) == 0 {
		return nil
	}
	g.rotation++
	median := g.medianPace()
	var best *server
	var bestScore float64
	for i := range pool {
		s := pool[(i+g.rotation)%len(pool)]
		if !usable(s) {
			continue
		}
		score := (s.load() + 1) / float64(s.reportedSlots(&g.cfg)) * slowPenalty(s, median)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// slowPenalty returns the factor by which a pace above the median raises the
// utilization of a server.
func slowPenalty(s *server, median float64) float64 {
	if median <= 0 || s.pace <= median {
		return 1
	}
	return min(s.pace/median, maxSlowPenalty)
}

// medianPace returns the median pace, or zero if fewer than three servers have one.
func (g *Group) medianPace() float64 {
	g.paces = g.paces[:0]
	for _, s := range g.servers {
		if s.pace > 0 {
			g.paces = append(g.paces, s.pace)
		}
	}
	if len(g.paces) < 3 {
		return 0
	}
	slices.Sort(g.paces)
	return g.paces[len(g.paces)/2]
}

// RecordLoad records the load that the agent stated in a response. Its count includes
// this request and is more recent than the agent's report.
func (l *Lease) RecordLoad(load Load) {
	g := l.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if load.InFlight > 0 {
		l.server.othersInFlight = max(0, float64(load.InFlight-l.server.inFlight))
	}
	now := g.clock.Now()
	if load.WaitingEntries > 1 && (load.WaitingEntries >= g.waitingEntries || now.After(g.waitingEntriesUntil)) {
		g.waitingEntries, g.waitingEntriesUntil = load.WaitingEntries, now.Add(waitingEntriesTTL)
	}
}

// waitingEntriesTTL is how long an entry limits itself to its part of the slots after an
// agent reported that requests wait at other entries as well.
const waitingEntriesTTL = time.Second

// Load is the load that an agent states in a response.
type Load struct {
	// InFlight is the number of requests in progress at the agent; negative if it was
	// not stated.
	InFlight int
	// WaitingEntries is the number of entries at which requests wait for the service.
	WaitingEntries int
}

// belowFairShare reports whether the entry may use another slot. While requests wait
// at several entries, each is limited to an equal part of the slots. Otherwise the
// entry that came first would keep its slots permanently.
func (g *Group) belowFairShare(backends []*session.Backend, now time.Time) bool {
	if g.waitingEntries < 2 || now.After(g.waitingEntriesUntil) {
		return true
	}
	slots := 0
	for _, b := range backends {
		slots += g.servers[b.Name].reportedSlots(&g.cfg)
	}
	return g.inFlight < (slots+g.waitingEntries-1)/g.waitingEntries
}

// MaxInFlight returns the number of requests in progress at which the agent must
// refuse this one; zero means no limit, so that the request may wait there.
func (l *Lease) MaxInFlight() int { return l.maxInFlight }

// Done ends the request and records its outcome. bytes is the size of the response.
// Done returns how long the request was at the server.
func (l *Lease) Done(o Outcome, bytes int64) time.Duration {
	g := l.group
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	took := now.Sub(l.start)
	l.server.inFlight--
	g.inFlight--
	l.server.recordOutcome(o, now, took, bytes)
	l.server.updateEjection(&g.cfg, now, o, g.medianPace())
	return took
}

// Slots returns the number of requests that the backend servers can run
// concurrently.
func (g *Group) Slots(backends []*session.Backend) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyReports(backends)
	n := 0
	for _, b := range backends {
		n += g.servers[b.Name].slots(&g.cfg)
	}
	return n
}

// ServerDump is the state of one server in the state dump.
type ServerDump struct {
	Name           string  `json:"name"`
	InFlight       int     `json:"own_in_flight"`
	OthersInFlight float64 `json:"others_in_flight"`
	Slots          int     `json:"slots"`
	Samples        int     `json:"samples"`
	FailureRate    float64 `json:"failure_share"`
	Ejected        bool    `json:"ejected"`
	Ejections      int     `json:"ejections"`
	RampLimit      int     `json:"limit"`
}

// Dump returns the state of all servers, sorted by name.
func (g *Group) Dump() []ServerDump {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	out := make([]ServerDump, 0, len(g.servers))
	for name, s := range g.servers {
		out = append(out, ServerDump{
			Name: name, InFlight: s.inFlight, OthersInFlight: s.othersInFlight, Slots: s.slots(&g.cfg), Samples: s.samples,
			FailureRate: s.failureRate, Ejected: s.ejected(now), Ejections: s.ejections, RampLimit: s.rampLimit,
		})
	}
	slices.SortFunc(out, func(a, b ServerDump) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}
