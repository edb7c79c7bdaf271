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

// Config sets a Runner up. Zero values take the defaults.
type Config struct {
	// Interval is the time between two plans.
	Interval time.Duration
	// ProposeTimeout bounds one order or registration.
	ProposeTimeout time.Duration
	// StuckAfter is when an agent that has not carried its order out and
	// shows no progress no longer holds the others back.
	StuckAfter time.Duration
	// MissingFor is how long an agent that was seen is expected back.
	MissingFor time.Duration
	// RegisterRetry separates two tries to read a manifest.
	RegisterRetry time.Duration
	// MaxDownShare is Input.MaxDownShare.
	MaxDownShare float64
	// MaxProposals bounds the orders that are proposed at once.
	MaxProposals int
}

func (c *Config) setDefaults() {
	defaults.IfZero(&c.Interval, 200*time.Millisecond)
	defaults.IfZero(&c.ProposeTimeout, 5*time.Second)
	defaults.IfZero(&c.StuckAfter, time.Minute)
	defaults.IfZero(&c.MissingFor, time.Minute)
	defaults.IfZero(&c.RegisterRetry, time.Second)
	if c.MaxDownShare == 0 {
		c.MaxDownShare = 0.25
	}
	if c.MaxProposals == 0 {
		c.MaxProposals = 64
	}
}

// Machine is the part of the replicated state that a rollout reads.
type Machine interface {
	Config() (*config.Config, uint64)
	Orders() []control.Order
	Manifest(version string) (*manifest.Manifest, bool)
	Changed() <-chan struct{}
}

// Fleet tells which agents are alive.
type Fleet interface {
	Statuses() []wire.AgentStatus
}

// ReadManifest reads a version's manifest from a weight source.
type ReadManifest func(ctx context.Context, version config.Version) (*manifest.Manifest, error)

// Runner registers versions and gives orders while its replica leads. Only
// commits carry authority: a Runner that wrongly believes that it leads gets
// no order accepted.
type Runner struct {
	cfg   Config
	store control.Store
	state Machine
	fleet Fleet
	read  ReadManifest
	clock clockwork.Clock
	log   *slog.Logger
	scope tally.Scope

	// mu guards the fields below; nothing blocks while it is held.
	mu       sync.Mutex
	leading  bool
	agents   map[string]*progress
	failures map[string]registration
	logged   map[string]ServiceProgress
	loggedAt time.Time
}

// progress is what a Runner remembers of an agent.
type progress struct {
	seen time.Time
	// fence is that of the order in force; moved is when the agent last
	// showed progress on it or had it carried out.
	fence uint64
	bytes int64
	moved time.Time
}

// registration tells why a version is not registered yet.
type registration struct {
	Code    int       `json:"code"`
	Detail  string    `json:"detail"`
	RetryAt time.Time `json:"retry_at"`
}

// New returns a Runner.
func New(cfg Config, store control.Store, state Machine, fleet Fleet, read ReadManifest, clock clockwork.Clock, log *slog.Logger, scope tally.Scope) *Runner {
	cfg.setDefaults()
	return &Runner{
		cfg:      cfg,
		store:    store,
		state:    state,
		fleet:    fleet,
		read:     read,
		clock:    clock,
		log:      log.With("component", "rollout"),
		scope:    scope.SubScope("rollout"),
		agents:   make(map[string]*progress),
		failures: make(map[string]registration),
		logged:   make(map[string]ServiceProgress),
	}
}

// Run plans until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := r.clock.NewTicker(r.cfg.Interval)
	defer ticker.Stop()
	for {
		changed := r.state.Changed()
		r.step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		case <-changed:
		}
	}
}

func (r *Runner) step(ctx context.Context) {
	if !r.store.IsLeader() {
		r.follow()
		return
	}
	if !r.lead(ctx) {
		return
	}
	cfg, _ := r.state.Config()
	r.registerMissing(ctx, cfg)
	in := r.observe(cfg)
	plan := Plan(in)
	r.report(in)
	r.propose(ctx, plan)
}

func (r *Runner) follow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leading = false
}

// lead readies a new leader: its state must hold all that was committed, and
// it expects every agent that has an order.
func (r *Runner) lead(ctx context.Context) bool {
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
	clear(r.failures)
	for i := range orders {
		o := &orders[i]
		r.agents[o.Agent] = &progress{seen: now, fence: o.Fence.Index, moved: now}
	}
	r.log.Info("rollout leads", "agents", len(orders))
	return true
}

// observe notes what agents report and returns the input of the next plan.
func (r *Runner) observe(cfg *config.Config) Input {
	orders, statuses, now := r.state.Orders(), r.fleet.Statuses(), r.clock.Now()
	in := Input{
		Config:       cfg,
		Orders:       orders,
		Statuses:     statuses,
		Digests:      r.digests(cfg),
		Stuck:        make(map[string]bool),
		MaxDownShare: r.cfg.MaxDownShare,
	}
	inForce := make(map[string]*control.Order, len(orders))
	for i := range orders {
		inForce[orders[i].Agent] = &orders[i]
	}
	alive := make(map[string]bool, len(statuses))
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range statuses {
		s := &statuses[i]
		alive[s.Name] = true
		if r.noteAgent(s, inForce[s.Name], now) {
			in.Stuck[s.Name] = true
		}
	}
	for name, p := range r.agents {
		switch {
		case alive[name]:
		case now.Sub(p.seen) < r.cfg.MissingFor:
			in.Missing = append(in.Missing, name)
		default:
			delete(r.agents, name)
		}
	}
	sort.Strings(in.Missing)
	return in
}

// noteAgent notes what an agent reports and returns whether it is stuck. It is
// called with mu held.
func (r *Runner) noteAgent(s *wire.AgentStatus, order *control.Order, now time.Time) bool {
	p := r.agents[s.Name]
	if p == nil {
		p = &progress{moved: now}
		r.agents[s.Name] = p
	}
	p.seen = now
	if order == nil || carriedOut(s, order) {
		p.moved = now
		return false
	}
	if p.fence != order.Fence.Index || p.bytes != s.Transfer.Done {
		p.moved = now
	}
	p.fence, p.bytes = order.Fence.Index, s.Transfer.Done
	return now.Sub(p.moved) >= r.cfg.StuckAfter
}

func carriedOut(s *wire.AgentStatus, order *control.Order) bool {
	return s.FenceIndex >= order.Fence.Index && (order.Stage || s.Serving == order.Version)
}

func (r *Runner) digests(cfg *config.Config) map[string]manifest.Digest {
	digests := make(map[string]manifest.Digest)
	for name := range wantedVersions(cfg) {
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

// wantedVersions returns the versions that services name.
func wantedVersions(cfg *config.Config) map[string]bool {
	wanted := make(map[string]bool)
	for _, service := range cfg.Services {
		if service.Version != "" {
			wanted[service.Version] = true
		}
		for _, name := range service.Adapters {
			wanted[name] = true
		}
	}
	return wanted
}

func (r *Runner) propose(ctx context.Context, plan []control.PlaceOrder) {
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
		r.log.Warn("order not accepted", "agent", order.Agent, "version", order.Version,
			"code", int(code), "name", code.Name(), "detail", res.Detail)
		return
	}
	r.scope.Counter("orders").Inc(1)
	r.log.Info("order given", "agent", order.Agent, "service", order.Service, "version", order.Version,
		"stage", order.Stage, "fence", res.Index, "after", order.After)
}
