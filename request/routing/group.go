package routing

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/session"
)

// Request is what the choice of a backend server depends on.
type Request struct {
	// Prefix is the hash of the prompt's prefix; zero means none.
	Prefix uint64
	// Version restricts the choice to servers that serve it; empty means any.
	Version string
	// Accept tells which versions may answer; nil means any.
	Accept func(version string) bool
	// Exclude names servers that were tried before.
	Exclude []string
	// Force permits servers without room. It is set on retries.
	Force bool
}

// Group holds the servers of one service. Safe for concurrent use.
type Group struct {
	cfg   Config
	clock clockwork.Clock

	// mu guards the fields below.
	mu      sync.Mutex
	servers map[string]*server
	// pool is scratch space for one choice.
	pool  []*server
	turn  int
	hints *hints
	paces []float64
	// own counts the entry's requests in progress; contenders is at how many
	// entries requests wait, known to be so until contendUntil.
	own          int
	contenders   int
	contendUntil time.Time
}

// NewGroup returns an empty group.
func NewGroup(cfg Config, clock clockwork.Clock) *Group {
	cfg = cfg.withDefaults()
	return &Group{cfg: cfg, clock: clock, servers: make(map[string]*server), hints: newHints(cfg.Hints)}
}

// Lease is a request in progress at a backend server. Done is called once.
type Lease struct {
	Backend *session.Backend
	group   *Group
	server  *server
	start   time.Time
	limit   int
}

// Pick chooses among the backend servers and counts the request there. It
// returns nil when none may take it.
func (g *Group) Pick(backends []*session.Backend, req Request) *Lease {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.sync(backends)
	if !req.Force && !g.hasPart(backends, now) {
		return nil
	}
	s := g.choose(backends, req, now)
	if s == nil {
		return nil
	}
	l := &Lease{Backend: s.backend, group: g, server: s, start: now}
	if s.hasRoom(&g.cfg) {
		l.limit = s.reportedSlots(&g.cfg)
	}
	s.own++
	g.own++
	return l
}

// sync takes newer reports in and adds servers that are new; a server with
// another incarnation starts afresh.
func (g *Group) sync(backends []*session.Backend) {
	for _, b := range backends {
		s := g.servers[b.Name]
		if s == nil || s.backend.Incarnation != b.Incarnation {
			s = newServer(&g.cfg, b)
			g.servers[b.Name] = s
		}
		if s.reported != b {
			s.reported = b
			s.observe(b)
			g.hints.observe(b)
		}
	}
	if len(g.servers) > 2*len(backends)+8 {
		g.forget(backends)
	}
}

// forget drops servers that are gone and idle.
func (g *Group) forget(backends []*session.Backend) {
	for name, s := range g.servers {
		gone := !slices.ContainsFunc(backends, func(b *session.Backend) bool { return b.Name == name })
		if gone && s.own == 0 {
			delete(g.servers, name)
		}
	}
}

func (g *Group) choose(backends []*session.Backend, req Request, now time.Time) *server {
	g.pool = g.pool[:0]
	median := g.median()
	for _, b := range backends {
		if g.fits(b, req) {
			s := g.servers[b.Name]
			s.age(&g.cfg, now, median)
			g.pool = append(g.pool, s)
		}
	}
	pool := g.withoutEjected(g.pool, now)
	if s := g.among(g.subset(pool), req, false); s != nil {
		return s
	}
	if s := g.among(pool, req, false); s != nil || !req.Force {
		return s
	}
	return g.among(pool, req, true)
}

func (g *Group) fits(b *session.Backend, req Request) bool {
	if req.Version != "" && b.Serving != req.Version {
		return false
	}
	if req.Accept != nil && !req.Accept(b.Serving) {
		return false
	}
	return !slices.Contains(req.Exclude, b.Name)
}

// withoutEjected leaves ejected servers out unless too many of them are.
func (g *Group) withoutEjected(pool []*server, now time.Time) []*server {
	out := 0
	for _, s := range pool {
		if s.ejected(now) {
			out++
		}
	}
	if out == 0 || float64(out) > g.cfg.EjectedShare*float64(len(pool)) {
		return pool
	}
	rest := make([]*server, 0, len(pool)-out)
	for _, s := range pool {
		if !s.ejected(now) {
			rest = append(rest, s)
		}
	}
	return rest
}

// subset keeps the servers that rank first for this entry, so that what an
// entry holds of connections and state grows slower than the fleet.
func (g *Group) subset(pool []*server) []*server {
	if len(pool) <= g.cfg.Subset {
		return pool
	}
	ranked := slices.Clone(pool)
	slices.SortFunc(ranked, func(a, b *server) int {
		if a.tier != b.tier {
			return a.tier - b.tier
		}
		if a.subset < b.subset {
			return -1
		}
		return 1
	})
	return ranked[:g.cfg.Subset]
}

// among chooses in the nearest tier that has room to spare, else anywhere.
func (g *Group) among(pool []*server, req Request, force bool) *server {
	for tier := range tiers {
		if tier == tierFar || !hasTier(pool, tier) {
			continue
		}
		if s := g.pickIn(pool, tier, req, g.cfg.ZoneSpill); s != nil {
			return s
		}
	}
	if s := g.pickIn(pool, tiers, req, 1); s != nil || !force {
		return s
	}
	return g.leastLoaded(pool, func(*server) bool { return true })
}

func hasTier(pool []*server, tier int) bool {
	for _, s := range pool {
		if s.tier <= tier {
			return true
		}
	}
	return false
}

// pickIn chooses among the servers up to a tier whose utilization is below a
// limit: by prefix while the load is near the mean, else by load.
func (g *Group) pickIn(pool []*server, tier int, req Request, spill float64) *server {
	ok := func(s *server) bool {
		return s.tier <= tier && s.hasRoom(&g.cfg) && (spill >= 1 || s.load() < spill*float64(s.slots(&g.cfg)))
	}
	if req.Prefix != 0 {
		if s := g.byPrefix(pool, req.Prefix, ok); s != nil {
			return s
		}
	}
	return g.leastLoaded(pool, ok)
}

func (g *Group) byPrefix(pool []*server, prefix uint64, ok func(*server) bool) *server {
	total, n := 0.0, 0
	for _, s := range pool {
		if ok(s) {
			total += s.load()
			n++
		}
	}
	if n == 0 {
		return nil
	}
	bound := g.cfg.LoadBound*(total+1)/float64(n) + 1
	held := g.hints.holders(prefix)
	var best *server
	var bestWeight uint64
	bestHeld := false
	for _, s := range pool {
		if !ok(s) || s.load() >= bound {
			continue
		}
		weight, isHeld := mix(prefix, s.hash), slices.Contains(held, s.backend.Name)
		if best == nil || (isHeld && !bestHeld) || (isHeld == bestHeld && weight > bestWeight) {
			best, bestWeight, bestHeld = s, weight, isHeld
		}
	}
	return best
}

// leastLoaded returns the server with the least utilization, where slowness
// counts as load. Equal ones take turns.
func (g *Group) leastLoaded(pool []*server, ok func(*server) bool) *server {
	if len(pool) == 0 {
		return nil
	}
	g.turn++
	median := g.median()
	var best *server
	var bestScore float64
	for i := range pool {
		s := pool[(i+g.turn)%len(pool)]
		if !ok(s) {
			continue
		}
		score := (s.load() + 1) / float64(s.reportedSlots(&g.cfg)) * penalty(s, median)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

func penalty(s *server, median float64) float64 {
	if median <= 0 || s.pace <= median {
		return 1
	}
	return min(s.pace/median, maxSlowPenalty)
}

// median returns the median pace, or zero where too few servers have one.
func (g *Group) median() float64 {
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

// Observe takes in how many requests the agent says it passes, this one
// included. A negative count tells nothing. It is fresher than a report.
func (l *Lease) Observe(load Load) {
	g := l.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if load.InFlight > 0 {
		l.server.others = max(0, float64(load.InFlight-l.server.own))
	}
	now := g.clock.Now()
	if load.Contenders > 1 && (load.Contenders >= g.contenders || now.After(g.contendUntil)) {
		g.contenders, g.contendUntil = load.Contenders, now.Add(contendTime)
	}
}

// contendTime is how long an entry keeps to its part of the slots after it
// heard that requests wait at other entries too.
const contendTime = time.Second

// Load is what an agent tells of itself in an answer.
type Load struct {
	// InFlight is how many requests it passes; negative is not told.
	InFlight int
	// Contenders is at how many entries requests wait for its service.
	Contenders int
}

// hasPart reports whether the entry may take another slot. While requests
// wait at several entries each keeps to an equal part: otherwise an entry that
// came first would hold its slots for good.
func (g *Group) hasPart(backends []*session.Backend, now time.Time) bool {
	if g.contenders < 2 || now.After(g.contendUntil) {
		return true
	}
	slots := 0
	for _, b := range backends {
		slots += g.servers[b.Name].reportedSlots(&g.cfg)
	}
	return g.own < (slots+g.contenders-1)/g.contenders
}

// Limit is how many requests the agent may pass before this one; zero means
// that the request may wait there.
func (l *Lease) Limit() int { return l.limit }

// Done ends the request and takes its outcome in. It returns how long the
// request was at the server.
func (l *Lease) Done(o Outcome, bytes int64) time.Duration {
	g := l.group
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	took := now.Sub(l.start)
	l.server.own--
	g.own--
	l.server.learn(o, now, took, bytes)
	l.server.judge(&g.cfg, now, o, g.median())
	return took
}

// Slots counts what the backend servers can run at once.
func (g *Group) Slots(backends []*session.Backend) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(backends)
	n := 0
	for _, b := range backends {
		n += g.servers[b.Name].slots(&g.cfg)
	}
	return n
}

// ServerDump is one server as the state dump shows it.
type ServerDump struct {
	Name      string  `json:"name"`
	Own       int     `json:"own_in_flight"`
	Others    float64 `json:"others_in_flight"`
	Slots     int     `json:"slots"`
	Samples   int     `json:"samples"`
	Failures  float64 `json:"failure_share"`
	Ejected   bool    `json:"ejected"`
	Ejections int     `json:"ejections"`
	Limit     int     `json:"limit"`
}

// Dump returns the servers by name.
func (g *Group) Dump() []ServerDump {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	out := make([]ServerDump, 0, len(g.servers))
	for name, s := range g.servers {
		out = append(out, ServerDump{
			Name: name, Own: s.own, Others: s.others, Slots: s.slots(&g.cfg), Samples: s.samples,
			Failures: s.failures, Ejected: s.ejected(now), Ejections: s.ejections, Limit: s.limit,
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
