package forward

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/request/coldlimit"
	"github.com/waxwingpost/waxwingpost/request/hedge"
	"github.com/waxwingpost/waxwingpost/request/placement"
	"github.com/waxwingpost/waxwingpost/request/retry"
	"github.com/waxwingpost/waxwingpost/request/serverlimit"
	"github.com/waxwingpost/waxwingpost/request/turnaway"
)

const (
	// demandEWMAWeight is the weight of the newest sample in the demand; samples
	// are half a second apart.
	demandEWMAWeight = 0.3
	// retryBudgetFraction is the part of the shared retry budget that all entries
	// use together. The rest is kept back because each entry's information about
	// the others is delayed.
	retryBudgetFraction = 0.7
)

// serviceState is the scheduler's state for one service.
type serviceState struct {
	// config is the service in the last configuration that listed it.
	config      *deployment.Service
	pool        *placement.Pool
	retryBudget *retry.Window
	// offeredSeconds sums the server time requested since the last call of
	// sampleDemand.
	offeredSeconds float64
	demand         float64
	evacuation     evacuationState
	// bound holds the demand that is bound to regions, by set of regions. It is a part of
	// demand.
	bound     map[string]*regionDemand
	coldShare coldlimit.Share
}

// scheduler holds the pools and retry budgets of all services. Its methods are
// safe for concurrent use unless they say otherwise.
type scheduler struct {
	cfg      Config
	clock    clockwork.Clock
	ageClock boottime.Clock
	// ending is closed when the requests in progress must end.
	ending chan struct{}

	// mu guards the fields below.
	mu   sync.Mutex
	view *feed.View
	// weightsChanged is closed and replaced when the versions in the view change.
	weightsChanged chan struct{}
	// viewTime is when the view was received.
	viewTime time.Time
	services map[string]*serviceState
	// limits holds the limits that servers have named.
	limits *serverlimit.Table
	// turnedAway holds the servers that want no requests from this entry for a time.
	turnedAway *turnaway.Table
	// leaving holds the incarnations of servers that have said that they leave.
	leaving map[string]bool
	// unlisted holds since when servers with a limit, or that leave, are not listed.
	unlisted      map[string]time.Time
	demandSampled time.Time
	// knownRegions holds the regions that zones are in.
	knownRegions map[string]bool
	cold         coldState
	// hedges decides on second copies of slow requests; nil if there are none.
	hedges *hedge.Table
}

func newScheduler(cfg Config, clock clockwork.Clock, ageClock boottime.Clock) *scheduler {
	return &scheduler{
		cfg: cfg, clock: clock, ageClock: ageClock, view: &feed.View{}, weightsChanged: make(chan struct{}), ending: make(chan struct{}),
		services: map[string]*serviceState{}, demandSampled: clock.Now(), limits: serverlimit.NewTable(rand.Float64), turnedAway: turnaway.NewTable(), leaving: map[string]bool{},
		knownRegions: knownRegions(cfg.Regions),
		cold:         newColdState(clock.Now()), hedges: hedge.NewTable(cfg.HedgeShare),
	}
}

// update replaces the view.
func (sc *scheduler) update(v *feed.View) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if !maps.EqualFunc(v.Weights, sc.view.Weights, feed.VersionHistory.Equal) {
		close(sc.weightsChanged)
		sc.weightsChanged = make(chan struct{})
	}
	previous := sc.view
	sc.view, sc.viewTime = v, sc.clock.Now()
	sc.recordDemand(previous)
	sc.updatePools()
	sc.forgetServers()
}

// updatePools applies the view to the pools and retry budgets. A service that is no
// longer configured still gets its servers: requests to it may be in progress. The
// caller holds mu.
func (sc *scheduler) updatePools() {
	if sc.view.Config == nil {
		return
	}
	now := sc.clock.Now()
	for name, s := range sc.view.Config.Services {
		sc.service(name, now).config = s
	}
	entries := max(sc.view.Entries, 1)
	for name, st := range sc.services {
		if st.config == nil {
			continue
		}
		st.retryBudget.Share = sc.cfg.RetryShare * retryBudgetFraction
		st.retryBudget.Allowance = sc.cfg.RetryAllowance * retryBudgetFraction / float64(entries)
		servers := sc.poolServers(st.config, now)
		evacuated := sc.withholdEvacuated(servers)
		sc.updateCold(st.config, now)
		cfg := sc.poolConfig(st, entries)
		cfg.Demand = sc.demandByRegion(name, st)
		st.pool.Update(now, cfg, servers, sc.entryShare(name, st))
		st.evacuation.set(evacuated > 0 && !st.pool.HasUsable())
	}
}

// service returns the state of a service and creates it on first use. The caller
// holds mu.
func (sc *scheduler) service(name string, now time.Time) *serviceState {
	st := sc.services[name]
	if st == nil {
		st = &serviceState{
			pool:        placement.NewPool(placement.Config{Zone: sc.cfg.Zone}, sc.ageClock),
			retryBudget: retry.NewWindow(sc.cfg.RetryWindow, now),
			bound:       map[string]*regionDemand{},
		}
		sc.services[name] = st
	}
	return st
}

// poolConfig returns the settings of the pool of a service.
func (sc *scheduler) poolConfig(st *serviceState, entries int) placement.Config {
	cfg := placement.Config{Zone: sc.cfg.Zone, Limits: sc.limits, TurnedAway: sc.turnedAway, Entries: entries}
	sc.setColdPart(&cfg, st)
	if e := st.config.Engine; e != nil {
		cfg.ReadPerSecond, cfg.EventInterval = e.ReadPerSecond, time.Duration(e.Stride)*e.Step
	}
	return cfg
}

// entryShare returns the fraction of a service's slots that this entry may use:
// its fraction of the demand at all entries, or an equal part if that is unknown.
// The caller holds mu.
func (sc *scheduler) entryShare(service string, st *serviceState) float64 {
	total := sc.view.Demand[service]
	if total <= 0 || st.demand <= 0 {
		return 1 / float64(max(sc.view.Entries, 1))
	}
	return min(st.demand/max(total, st.demand), 1)
}

// poolServers converts the servers of a service for its pool. The caller holds
// mu.
func (sc *scheduler) poolServers(s *deployment.Service, now time.Time) []placement.Server {
	var servers []placement.Server
	for i := range sc.view.Servers[s.Name] {
		record := &sc.view.Servers[s.Name][i]
		slots := record.Slots
		if slots == 0 && s.Engine != nil {
			slots = s.Engine.Slots
		}
		weightsHeld, version, until := sc.usableWeights(engineModels(s), record.Held)
		loading := record.LoadingUntil > sc.view.At+now.Sub(sc.viewTime)
		server := placement.Server{
			ID: record.ID, Address: record.Address, Born: record.Born, Zone: record.Zone, Region: sc.cfg.Regions[record.Zone], Slots: slots,
			Held: record.Held, Verified: record.Verified, WeightsVersion: version, WeightsUntil: until, Pace: record.Pace,
		}
		server.Usable = record.State == directory.Ready && weightsHeld && weightsVerified(s, record) && !loading && (len(sc.leaving) == 0 || !sc.leaving[server.Incarnation()])
		servers = append(servers, server)
	}
	return servers
}

// engineModels returns the models of a service, nil if it has no engines.
func engineModels(s *deployment.Service) []string {
	if s.Engine == nil {
		return nil
	}
	return s.Engine.Models
}

// usableWeights reports whether the held weights are usable for all of the models, and
// when the first of them expires; zero means no expiry. version is that of the model
// that expires first, or of the last one. The caller holds mu.
func (sc *scheduler) usableWeights(models []string, weights []directory.ModelVersion) (allHeld bool, version int, until boottime.Instant) {
	for _, model := range models {
		held := directory.VersionOf(weights, model)
		if held == 0 {
			return false, version, until
		}
		expires, noExpiry := sc.view.Weights[model].UsableUntil(held, sc.cfg.OldVersionGrace)
		switch {
		case noExpiry && until.IsZero():
			version = held
		case noExpiry:
		case expires.IsZero():
			return false, version, until
		case until.IsZero() || expires.Before(until):
			version, until = held, expires
		}
	}
	return true, version, until
}

// weightsVerified reports whether the server's agent has verified all weights that the
// server holds, if they are loaded from staged pieces. A server loads the pieces as they
// are when it accepts the order, which may be long after they were read back, and its own
// heartbeats name the version before the agent has found that a piece was corrupt.
func weightsVerified(s *deployment.Service, record *directory.Record) bool {
	if s.Engine == nil || s.Engine.Pieces == 0 {
		return true
	}
	return !slices.ContainsFunc(s.Engine.Models, func(model string) bool {
		held := record.HeldVersion(model)
		return held <= 0 || held > record.VerifiedVersion(model)
	})
}

// recordOffered counts a request towards the retry budget and, unless it is late,
// its server time towards the demand.
func (sc *scheduler) recordOffered(cr *callerRequest) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	st := sc.service(cr.service, cr.start)
	st.retryBudget.RecordRequest(cr.start)
	sc.hedges.RecordRequest(cr.service)
	if cr.late {
		return
	}
	if seconds := sc.serverSeconds(cr); sc.recordBound(st, cr, seconds) {
		st.offeredSeconds += seconds
	}
}

// serverSeconds returns the estimated server time of a request in seconds. A
// request to a service without engines counts as one second. The caller holds mu.
func (sc *scheduler) serverSeconds(cr *callerRequest) float64 {
	s := sc.view.Config.Services[cr.service]
	if s == nil || s.Engine == nil || s.Engine.ReadPerSecond <= 0 {
		return 1
	}
	e := s.Engine
	return float64(cr.tokens.Prompt)/e.ReadPerSecond + float64(cr.expectedOutput(e))*e.Step.Seconds()/float64(max(e.Slots, 1))
}

// expectedOutput returns the number of tokens that a request is expected to
// produce.
func (cr *callerRequest) expectedOutput(e *deployment.Engine) int {
	n := cr.tokens.Expected
	if n <= 0 {
		n = e.UsualAnswer
	}
	if cr.tokens.MaxOutput > 0 {
		n = min(n, cr.tokens.MaxOutput)
	}
	return n
}

// sampleDemand returns the demand for each service and updates the pools with the
// resulting shares.
func (sc *scheduler) sampleDemand() wire.Demand {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	span := max(now.Sub(sc.demandSampled).Seconds(), 0.01)
	sc.demandSampled = now
	demands := wire.Demand{ByService: map[string]float64{}}
	for name, st := range sc.services {
		st.demand += demandEWMAWeight * (st.offeredSeconds/span - st.demand)
		st.offeredSeconds = 0
		if st.demand > minReportedDemand {
			demands.ByService[name] = st.demand
		}
		demands.ByRegion = st.sampleBound(name, span, demands.ByRegion)
		st.coldShare.RecordOwn(now, demands.ByService[name])
	}
	sc.updatePools()
	return demands
}

// dispatchWaiting assigns free slots to queued requests of all services. It returns the
// servers that have taken requests again since the last call.
func (sc *scheduler) dispatchWaiting() []turnaway.Change {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	for _, st := range sc.services {
		st.pool.DispatchWaiting(now)
	}
	sc.turnedAway.Sweep(now)
	return sc.turnedAway.TakeChanges()
}

// mayRetry reports whether the retry budget of a service allows another retry.
func (sc *scheduler) mayRetry(service string) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	return sc.service(service, now).retryBudget.MayRetry(now)
}

// tryRetry takes one retry from the budget of a service, or reports false if the
// budget is spent.
func (sc *scheduler) tryRetry(service string) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	return sc.service(service, now).retryBudget.TryRetry(now)
}

// recordFirstEvent records the first event of the request that holds the lease.
func (sc *scheduler) recordFirstEvent(service string, l *placement.Lease) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	sc.service(service, now).pool.OnFirstEvent(now, l)
}

// recordSilent records that the server of a lease has been silent for long.
func (sc *scheduler) recordSilent(service string, l *placement.Lease) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	sc.service(service, now).pool.OnSilent(now, l)
}

// recordResumed records that a silent server has gone on.
func (sc *scheduler) recordResumed(service string, l *placement.Lease) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	sc.service(service, now).pool.OnResumed(now, l)
}

// release returns the slot of a lease and records the outcome.
func (sc *scheduler) release(service string, l *placement.Lease, o placement.Outcome) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	sc.service(service, now).pool.Release(now, l, o)
}

// firstEventTarget returns the latency target for the first event; 0 if the
// response is not a stream.
func (cr *callerRequest) firstEventTarget() time.Duration {
	if cr.route.Kind != deployment.Stream {
		return 0
	}
	return cr.route.Aim
}

// priority returns the priority of the account, or of the route if the account
// has none.
func (cr *callerRequest) priority() int {
	if cr.account != nil && cr.account.HasPriority {
		return cr.account.Priority
	}
	return cr.route.Priority
}

// dump returns the state of the pools for the state dump.
func (sc *scheduler) dump() any {
	type pool struct {
		Own, Budget, Waiting int
		Demand, Share        float64
		Evacuated            bool
		Regions              map[string]placement.RegionLoad
		// Paces holds the paces of slow servers, relative to the median.
		Paces map[string]float64 `json:",omitempty"`
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	pools := map[string]pool{}
	for name, st := range sc.services {
		inFlight, limit := st.pool.Load()
		pools[name] = pool{
			Own: inFlight, Budget: limit, Waiting: st.pool.Waiting(), Demand: st.demand, Share: sc.entryShare(name, st),
			Evacuated: st.evacuation.whole, Regions: st.pool.RegionLoads(), Paces: st.pool.Paces(),
		}
	}
	return pools
}
