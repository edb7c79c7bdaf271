package rollout

import (
	"context"
	"log/slog"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/defaults"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Config configures a Runner. Zero values select the defaults.
type Config struct {
	// Interval is the time between two plans.
	Interval time.Duration
	// ProposeTimeout bounds the proposal of one order or registration, and the
	// barrier of a new leader.
	ProposeTimeout time.Duration
	// StuckAfter is how long an agent may go without progress on its order
	// before it counts as stuck and no longer blocks the others.
	StuckAfter time.Duration
	// MissingTimeout is how long an absent agent counts as missing before it
	// is dropped.
	MissingTimeout time.Duration
	// RegisterRetryDelay is the delay before a failed registration is retried.
	RegisterRetryDelay time.Duration
	// MaxDownShare is passed on as Input.MaxDownShare.
	MaxDownShare float64
	// MaxProposals bounds the number of concurrent proposals.
	MaxProposals int
}

func (c *Config) setDefaults() {
	defaults.IfZero(&c.Interval, 200*time.Millisecond)
	defaults.IfZero(&c.ProposeTimeout, 5*time.Second)
	defaults.IfZero(&c.StuckAfter, time.Minute)
	defaults.IfZero(&c.MissingTimeout, time.Minute)
	defaults.IfZero(&c.RegisterRetryDelay, time.Second)
	if c.MaxDownShare == 0 {
		c.MaxDownShare = 0.25
	}
	if c.MaxProposals == 0 {
		c.MaxProposals = 64
	}
}

// StateReader reads the part of the replicated state that a rollout needs.
type StateReader interface {
	Config() (*config.Config, uint64)
	Orders() []control.Order
	Manifest(version string) (*manifest.Manifest, bool)
	Changed() <-chan struct{}
}

// Fleet returns the statuses of the agents that are alive.
type Fleet interface {
	Statuses() []wire.AgentStatus
}

// ReadManifest reads a version's manifest from a weight source.
type ReadManifest func(ctx context.Context, version config.Version) (*manifest.Manifest, error)

// Runner registers versions and proposes orders while its replica leads. An
// order takes effect only when it is committed: a Runner that wrongly believes
// that it leads cannot get one committed.
type Runner struct {
	cfg          Config
	store        control.Store
	state        StateReader
	fleet        Fleet
	readManifest ReadManifest
	clock        clockwork.Clock
	log          *slog.Logger
	scope        tally.Scope

	// mu guards the fields below. No blocking call is made while it is held.
	mu                   sync.Mutex
	leading              bool
	agents               map[string]*agentProgress
	registrationFailures map[string]registrationFailure
	lastProgress         map[string]ServiceProgress
	lastProgressAt       time.Time
}

// agentProgress is a Runner's record of one agent.
type agentProgress struct {
	lastSeen time.Time
	// orderFence is the fence index of the order that doneBytes belongs to.
	// progressedAt is when the agent last made progress on an order or had no
	// uncompleted one.
	orderFence   uint64
	doneBytes    int64
	progressedAt time.Time
}

// registrationFailure is why a version could not be registered and when that is
// retried.
type registrationFailure struct {
	Code    int       `json:"code"`
	Detail  string    `json:"detail"`
	RetryAt time.Time `json:"retry_at"`
}

// New returns a Runner.
func New(cfg Config, store control.Store, state StateReader, fleet Fleet, readManifest ReadManifest, clock clockwork.Clock, log *slog.Logger, scope tally.Scope) *Runner {
	cfg.setDefaults()
	return &Runner{
		cfg:                  cfg,
		store:                store,
		state:                state,
		fleet:                fleet,
		readManifest:         readManifest,
		clock:                clock,
		log:                  log.With("component", "rollout"),
		scope:                scope.SubScope("rollout"),
		agents:               make(map[string]*agentProgress),
		registrationFailures: make(map[string]registrationFailure),
		lastProgress:         make(map[string]ServiceProgress),
	}
}

// Run plans at every interval and change of the replicated state until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := r.clock.NewTicker(r.cfg.Interval)
	defer ticker.Stop()
	for {
		changed := r.state.Changed()
		r.reconcile(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		case <-changed:
		}
	}
}

func (r *Runner) reconcile(ctx context.Context) {
	if !r.store.IsLeader() {
		r.stopLeading()
		return
	}
	if !r.ensureLeading(ctx) {
		return
	}
	cfg, _ := r.state.Config()
	r.registerVersions(ctx, cfg)
	in := r.buildInput(cfg)
	plan := Plan(in)
	r.reportProgress(in)
	r.proposeOrders(ctx, plan)
}

func (r *Runner) stopLeading() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leading = false
}

// ensureLeading prepares a new leader and reports whether it may plan. The
// barrier makes sure that its state holds everything committed. Every agent
// with an order counts as recently seen.
func (r *Runner) ensureLeading(ctx context.Context) bool {
	r.mu.Lock()
	leading := r.leading
	r.mu.Unlock()
	if leading {
		return true
	}
	barrierCtx, cancel := context.WithTimeout(ctx, r.cfg.ProposeTimeout)
	defer cancel()
	if err := r.store.Barrier(barrierCtx); err != nil {
		return false
	}
	orders, now := r.state.Orders(), r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leading = true
	clear(r.agents)
	clear(r.registrationFailures)
	for i := range orders {
		o := &orders[i]
		r.agents[o.Agent] = &agentProgress{lastSeen: now, orderFence: o.Fence.Index, progressedAt: now}
	}
	r.log.Info("rollout leadership acquired", "agents", len(orders))
	return true
}

// buildInput updates the records of the agents and returns the input of the
// next plan.
func (r *Runner) buildInput(cfg *config.Config) Input {
	orders, statuses, now := r.state.Orders(), r.fleet.Statuses(), r.clock.Now()
	in := Input{
		Config:       cfg,
		Orders:       orders,
		Statuses:     statuses,
		Digests:      r.registeredDigests(cfg),
		Stuck:        make(map[string]bool),
		MaxDownShare: r.cfg.MaxDownShare,
	}
	currentOrders := make(map[string]*control.Order, len(orders))
	for i := range orders {
		currentOrders[orders[i].Agent] = &orders[i]
	}
	alive := make(map[string]bool, len(statuses))
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range statuses {
		s := &statuses[i]
		alive[s.Name] = true
		if r.updateAgent(s, currentOrders[s.Name], now) {
			in.Stuck[s.Name] = true
		}
	}
	for name, p := range r.agents {
		switch {
		case alive[name]:
		case now.Sub(p.lastSeen) < r.cfg.MissingTimeout:
			in.Missing = append(in.Missing, name)
		default:
			delete(r.agents, name)
		}
	}
	sort.Strings(in.Missing)
	return in
}

// updateAgent updates the record of an agent and returns whether the agent is
// stuck. It is called with mu held.
func (r *Runner) updateAgent(s *wire.AgentStatus, order *control.Order, now time.Time) bool {
	p := r.agents[s.Name]
	if p == nil {
		p = &agentProgress{progressedAt: now}
		r.agents[s.Name] = p
	}
	p.lastSeen = now
	if order == nil || orderCompleted(s, order) {
		p.progressedAt = now
		return false
	}
	if p.orderFence != order.Fence.Index || p.doneBytes != s.Transfer.Done {
		p.progressedAt = now
	}
	p.orderFence, p.doneBytes = order.Fence.Index, s.Transfer.Done
	return now.Sub(p.progressedAt) >= r.cfg.StuckAfter
}

func orderCompleted(s *wire.AgentStatus, order *control.Order) bool {
	return s.FenceIndex >= order.Fence.Index && (order.Stage || s.Serving == order.Version)
}

func (r *Runner) registeredDigests(cfg *config.Config) map[string]manifest.Digest {
	digests := make(map[string]manifest.Digest)
	for name := range configuredVersions(cfg) {
		m, ok := r.state.Manifest(name)
		if !ok {
			continue
		}
		digest := m.Digest()
		if want := cfg.Versions[name].Digest; !want.IsZero() && want != digest {
			continue
		}
		digests[name] = digest
	}
	return digests
}

// configuredVersions returns the versions and adapters that services use.
func configuredVersions(cfg *config.Config) map[string]bool {
	versions := make(map[string]bool)
	for _, service := range cfg.Services {
		if service.Version != "" {
			versions[service.Version] = true
		}
		for _, name := range service.Adapters {
			versions[name] = true
		}
	}
	return versions
}

func (r *Runner) proposeOrders(ctx context.Context, plan []control.PlaceOrder) {
	var group errgroup.Group
	group.SetLimit(r.cfg.MaxProposals)
	for i := range plan {
		group.Go(func() error {
			r.proposeOrder(ctx, &plan[i])
			return nil
		})
	}
	_ = group.Wait()
}

func (r *Runner) proposeOrder(ctx context.Context, order *control.PlaceOrder) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ProposeTimeout)
	defer cancel()
	res, err := r.store.Propose(ctx, control.Command{ID: uuid.New().String(), Order: order})
	code := result.CodeOf(err)
	if err == nil {
		code = result.Code(res.Code)
	}
	if code != result.OK {
		r.log.Warn("failed to commit order", "agent", order.Agent, "version", order.Version,
			"code", int(code), "name", code.Name(), "detail", res.Detail)
		return
	}
	r.scope.Counter("orders").Inc(1)
	r.log.Info("order committed", "agent", order.Agent, "service", order.Service, "version", order.Version,
		"stage", order.Stage, "fence", res.Index, "after", order.After)
}
