// Package loader keeps one engine on the version that its agent is ordered to
// serve. It is the only component that sends orders to the engine, and it owns
// the admission check: no request passes unless the engine's own report shows
// the version and the manifest digest that are to be served.
//
// One goroutine, in Run, reads the report and sends orders; at most one order
// is outstanding. All other methods are safe for concurrent use. A single
// mutex guards the state. No call to the engine, the fetcher or the fence
// source is made while it is held.
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

// Config configures a Controller. Zero durations and a zero ReportFailures select
// the defaults.
type Config struct {
	Agent   string
	Service string
	// Plain is set for a plain service, which has no version and gets no
	// orders.
	Plain bool
	// PollInterval is the time between two reads of the engine's report.
	PollInterval time.Duration
	// SettleTime is how long the report must stay unchanged to be trusted. It
	// must exceed the lag of the engine's reports.
	SettleTime time.Duration
	// LoadGrace is how long the report may take to show that the engine
	// started on an order.
	LoadGrace time.Duration
	// LoadTimeout is how long a load may take before it is reported as failed.
	// The controller keeps waiting for the load to end.
	LoadTimeout time.Duration
	// RetryDelay is the delay before a failed order, fetch or fence query is
	// retried. It doubles with each failure, up to RetryDelayMax.
	RetryDelay    time.Duration
	RetryDelayMax time.Duration
	// FenceTimeout bounds one query for the current fence.
	FenceTimeout time.Duration
	// ReportTimeout bounds one read of the report, so that a hanging engine is
	// detected.
	ReportTimeout time.Duration
	// ReportFailures is the number of consecutive failed reads of the report
	// that closes the admission check.
	ReportFailures int
}

func (c *Config) setDefaults() {
	defaults.IfZero(&c.PollInterval, 100*time.Millisecond)
	defaults.IfZero(&c.SettleTime, 500*time.Millisecond)
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

// Fetcher fetches a version's content into the spool.
type Fetcher interface {
	// Fetch returns the path of a file with the complete, verified content.
	Fetch(ctx context.Context, m *manifest.Manifest) (string, error)
}

// FenceSource reads the agent's current order and fence from a quorum.
type FenceSource interface {
	Fence(ctx context.Context) (wire.FenceReply, error)
}

// Controller keeps one engine on the ordered version and admits its requests.
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
	mu sync.Mutex
	// fenceKnown is set while the current fence, as a quorum returned it, is
	// known.
	fenceKnown bool
	// fenceFloor is the highest fence index known. An order at or below it is
	// stale, unless it is the current one.
	fenceFloor   uint64
	order        *control.Order
	viewRevision uint64
	// pendingView is the view with the highest fence received while the fence
	// is not known.
	pendingView *wire.AgentView
	manifests   map[string]*manifest.Manifest

	reports reportTracker
	// serving is what the admission check lets through; zero while it is
	// closed.
	serving  target
	inFlight int
	closing  bool
	// completedFence is the fence index of the last completed order.
	completedFence uint64
	// code and detail are why the current order is not completed.
	code   result.Code
	detail string

	job job
}

// New returns a Controller. It does not contact the engine before Run.
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

// Run executes the agent's orders on the engine until ctx ends.
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

// notify makes Run continue without waiting for the next poll. It never blocks.
func (c *Controller) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// SetView applies the newest view. A view with a stale order is ignored. Until
// the current fence has been learned from a quorum, the view with the highest
// fence is kept back and has no effect on the engine.
func (c *Controller) SetView(view wire.AgentView) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fenceKnown {
		if c.pendingView == nil || viewFence(view) >= viewFence(*c.pendingView) {
			c.pendingView = &view
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

// acceptView applies a view unless its order is stale or its revision older than
// the last one. It is called with mu held.
func (c *Controller) acceptView(view wire.AgentView) {
	if c.isStale(view.Order) {
		c.scope.Counter("stale_orders").Inc(1)
		c.log.Warn("stale order refused", "code", int(result.StaleFence), "fence", viewFence(view), "floor", c.fenceFloor)
		return
	}
	if view.Revision < c.viewRevision {
		return
	}
	c.viewRevision = view.Revision
	for i := range view.Manifests {
		c.manifests[view.Manifests[i].Version] = &view.Manifests[i]
	}
	if view.Order == nil {
		return
	}
	c.fenceFloor = max(c.fenceFloor, view.Order.Fence.Index)
	if c.order == nil || c.order.Fence.Less(view.Order.Fence) {
		c.log.Info("order accepted", "fence", view.Order.Fence.Index, "version", view.Order.Version, "stage", view.Order.Stage)
		c.order = view.Order
		c.job.reset()
	}
	c.pruneManifests()
}

// isStale reports whether an order is older than the fence that a quorum
// returned or than the newest order seen since.
func (c *Controller) isStale(order *control.Order) bool {
	if order == nil {
		return false
	}
	if c.order != nil && order.Fence.Index == c.order.Fence.Index {
		return false
	}
	return order.Fence.Index <= c.fenceFloor
}

// pruneManifests drops the manifests that the current order does not use.
func (c *Controller) pruneManifests() {
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
// check lets through, the fence of the last completed order, and the code and
// detail of why the current order is not completed.
func (c *Controller) Report() (report engine.Report, serving string, fence uint64, code int, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.Plain {
		return engine.Report{State: engine.StateReady, Running: c.inFlight}, "", 0, 0, ""
	}
	return c.reports.last, c.serving.version, c.completedFence, int(c.code), c.detail
}

// controllerDump is the JSON form of a Controller's state.
type controllerDump struct {
	Plain          bool           `json:"plain"`
	Phase          string         `json:"phase"`
	FenceKnown     bool           `json:"fence_learned"`
	FenceFloor     uint64         `json:"fence_floor"`
	Order          *control.Order `json:"order,omitempty"`
	CompletedFence uint64         `json:"fence_carried_out"`
	Serving        string         `json:"serving"`
	InFlight       int            `json:"in_flight"`
	Closing        bool           `json:"closing"`
	Report         engine.Report  `json:"report"`
	Readable       bool           `json:"report_readable"`
	Code           int            `json:"code"`
	Detail         string         `json:"detail,omitempty"`
	Failures       int            `json:"failures"`
	RetryAfter     time.Time      `json:"retry_after"`
}

// Dump returns the Controller's state for encoding as JSON.
func (c *Controller) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return controllerDump{
		Plain:          c.cfg.Plain,
		Phase:          c.job.phase.String(),
		FenceKnown:     c.fenceKnown,
		FenceFloor:     c.fenceFloor,
		Order:          c.order,
		CompletedFence: c.completedFence,
		Serving:        c.serving.version,
		InFlight:       c.inFlight,
		Closing:        c.closing,
		Report:         c.reports.last,
		Readable:       c.reports.readable,
		Code:           int(c.code),
		Detail:         c.detail,
		Failures:       c.job.failures,
		RetryAfter:     c.job.retryAt,
	}
}
