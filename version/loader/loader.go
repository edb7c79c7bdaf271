// Package loader keeps one engine at the version that its order names. It is
// the only component that gives orders to the engine, and it owns the
// admission check: no request passes unless the engine's own report names the
// version and the digest of the manifest that is to be served.
//
// One goroutine, in Run, reads the report and gives orders; at most one order
// is outstanding. All other methods are safe for concurrent use. A single
// mutex guards the state; no call leaves the package while it is held.
package loader

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/defaults"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Config sets a Controller up. Zero durations take the defaults.
type Config struct {
	Agent   string
	Service string
	// Plain is set beside a plain service, which has no version and takes no
	// orders.
	Plain bool
	// PollInterval is the time between two readings of the report.
	PollInterval time.Duration
	// Settle is how long a report must stay equal to be believed. It must
	// exceed the lag of the engine's reports.
	Settle time.Duration
	// LoadGrace is how long an engine may take to show that it took an order.
	LoadGrace time.Duration
	// LoadTimeout is when a load that does not end is reported as failed.
	LoadTimeout time.Duration
	// RetryDelay separates two tries of an order or a fetch that failed. It
	// doubles up to RetryDelayMax.
	RetryDelay    time.Duration
	RetryDelayMax time.Duration
	// FenceTimeout bounds one question for the current fence.
	FenceTimeout time.Duration
	// ReportTimeout bounds one reading of the report, so that an engine that
	// hangs is noticed.
	ReportTimeout time.Duration
	// ReportFailures is how many readings in a row may fail before the
	// admission check closes.
	ReportFailures int
}

func (c *Config) setDefaults() {
	defaults.IfZero(&c.PollInterval, 100*time.Millisecond)
	defaults.IfZero(&c.Settle, 500*time.Millisecond)
	defaults.IfZero(&c.LoadGrace, 3*time.Second)
	defaults.IfZero(&c.LoadTimeout, 5*time.Minute)
	defaults.IfZero(&c.RetryDelay, 500*time.Millisecond)
	defaults.IfZero(&c.RetryDelayMax, 15*time.Second)
	defaults.IfZero(&c.FenceTimeout, 3*time.Second)
	defaults.IfZero(&c.ReportTimeout, time.Second)
	if c.ReportFailures == 0 {
		c.ReportFailures = 3
	}
}

// Fetcher brings a version's content into the spool.
type Fetcher interface {
	// Fetch returns the path of a file with the whole verified content.
	Fetch(ctx context.Context, m *manifest.Manifest) (string, error)
}

// FenceSource reads the agent's order in force from a quorum.
type FenceSource interface {
	Fence(ctx context.Context) (wire.FenceReply, error)
}

// Controller drives one engine.
type Controller struct {
	cfg     Config
	driver  engine.Driver
	fetcher Fetcher
	fences  FenceSource
	clock   clockwork.Clock
	log     *slog.Logger
	scope   tally.Scope
	wake    chan struct{}

	// mu guards all fields below.
	mu        sync.Mutex
	learned   bool
	floor     uint64
	order     *control.Order
	revision  uint64
	candidate *wire.AgentView
	manifests map[string]*manifest.Manifest

	reports  tracker
	served   target
	inFlight int
	closing  bool
	carried  uint64
	code     result.Code
	detail   string

	job job
}

// New returns a Controller. Nothing is read or ordered before Run.
func New(cfg Config, driver engine.Driver, fetcher Fetcher, fences FenceSource, clock clockwork.Clock, log *slog.Logger, scope tally.Scope) *Controller {
	cfg.setDefaults()
	return &Controller{
		cfg:       cfg,
		driver:    driver,
		fetcher:   fetcher,
		fences:    fences,
		clock:     clock,
		log:       log.With("component", "loader"),
		scope:     scope.SubScope("loader"),
		wake:      make(chan struct{}, 1),
		manifests: make(map[string]*manifest.Manifest),
		code:      result.FenceUnknown,
	}
}

// Run drives the engine until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	if c.cfg.Plain {
		<-ctx.Done()
		return nil
	}
	ticker := c.clock.NewTicker(c.cfg.PollInterval)
	defer ticker.Stop()
	defer c.cancelFetch()
	for {
		c.tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		case <-c.wake:
		}
	}
}

func (c *Controller) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// SetView takes the newest view. A view whose order is older than the one
// known, or that comes before the current fence was learned from a quorum, has
// no effect on the engine.
func (c *Controller) SetView(view wire.AgentView) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.learned {
		if c.candidate == nil || viewFence(view) >= viewFence(*c.candidate) {
			c.candidate = &view
		}
		return
	}
	c.acceptView(view)
	c.notify()
}

func viewFence(view wire.AgentView) uint64 {
	if view.Order == nil {
		return 0
	}
	return view.Order.Fence.Index
}

// acceptView is called with mu held.
func (c *Controller) acceptView(view wire.AgentView) {
	if c.isStale(view.Order) {
		c.scope.Counter("stale_orders").Inc(1)
		c.log.Warn("order refused", "code", int(result.StaleFence), "fence", viewFence(view), "floor", c.floor)
		return
	}
	if view.Revision < c.revision {
		return
	}
	c.revision = view.Revision
	for i := range view.Manifests {
		c.manifests[view.Manifests[i].Version] = &view.Manifests[i]
	}
	if view.Order == nil {
		return
	}
	c.floor = max(c.floor, view.Order.Fence.Index)
	if c.order == nil || c.order.Fence.Less(view.Order.Fence) {
		c.log.Info("order accepted", "fence", view.Order.Fence.Index, "version", view.Order.Version, "stage", view.Order.Stage)
		c.order = view.Order
		c.job.reset()
	}
	c.dropManifests()
}

// isStale reports whether an order is older than what a quorum held when the
// fence was learned, or than the newest order seen since.
func (c *Controller) isStale(order *control.Order) bool {
	if order == nil {
		return false
	}
	if c.order != nil && order.Fence.Index == c.order.Fence.Index {
		return false
	}
	return order.Fence.Index <= c.floor
}

// dropManifests forgets manifests that the order does not name.
func (c *Controller) dropManifests() {
	needed := map[string]bool{c.order.Version: true, c.order.Keep: true}
	for _, list := range [][]string{c.order.Adapters, c.order.KeepAdapters} {
		for _, name := range list {
			needed[name] = true
		}
	}
	for name := range c.manifests {
		if !needed[name] {
			delete(c.manifests, name)
		}
	}
}

// Report returns the engine's last report, the version that the admission
// check lets through, the fence of the last order carried out, and why the
// order in force could not be carried out.
func (c *Controller) Report() (report engine.Report, serving string, fence uint64, code int, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.Plain {
		return engine.Report{State: engine.StateReady, Running: c.inFlight}, "", 0, 0, ""
	}
	return c.reports.last, c.served.version, c.carried, int(c.code), c.detail
}

// state is the dump of a Controller.
type state struct {
	Plain      bool           `json:"plain"`
	Phase      string         `json:"phase"`
	Learned    bool           `json:"fence_learned"`
	Floor      uint64         `json:"fence_floor"`
	Order      *control.Order `json:"order,omitempty"`
	Carried    uint64         `json:"fence_carried_out"`
	Serving    string         `json:"serving"`
	InFlight   int            `json:"in_flight"`
	Closing    bool           `json:"closing"`
	Report     engine.Report  `json:"report"`
	Readable   bool           `json:"report_readable"`
	Code       int            `json:"code"`
	Detail     string         `json:"detail,omitempty"`
	Failures   int            `json:"failures"`
	RetryAfter time.Time      `json:"retry_after"`
}

// Dump returns the controller's state for JSON.
func (c *Controller) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return state{
		Plain:      c.cfg.Plain,
		Phase:      c.job.phase.String(),
		Learned:    c.learned,
		Floor:      c.floor,
		Order:      c.order,
		Carried:    c.carried,
		Serving:    c.served.version,
		InFlight:   c.inFlight,
		Closing:    c.closing,
		Report:     c.reports.last,
		Readable:   c.reports.readable,
		Code:       int(c.code),
		Detail:     c.detail,
		Failures:   c.job.failures,
		RetryAfter: c.job.retryAt,
	}
}
