package loader

import (
	"context"

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// startFetch fetches the version and adapters of the order in the background. It
// is called with mu held.
func (c *Controller) startFetch(ctx context.Context, order *control.Order) bool {
	c.job.stopFetch()
	c.job.phase = phaseFetch
	if order.Version == "" {
		c.job.fetchDone = true
		return true
	}
	manifests := make([]*manifest.Manifest, 0, 1+len(order.Adapters))
	for _, name := range append([]string{order.Version}, order.Adapters...) {
		manifests = append(manifests, c.manifests[name])
	}
	fetchCtx, cancel := context.WithCancel(ctx)
	c.job.cancel = cancel
	go c.fetch(fetchCtx, c.job.fetchGeneration, manifests)
	return false
}

func (c *Controller) fetch(ctx context.Context, generation int, manifests []*manifest.Manifest) {
	paths := make(map[string]string, len(manifests))
	var err error
	for _, m := range manifests {
		if paths[m.Version], err = c.fetcher.Fetch(ctx, m); err != nil {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.job.fetchGeneration != generation {
		return
	}
	c.job.fetchDone, c.job.fetchErr, c.job.paths = true, err, paths
	c.notify()
}

// pollFetch checks whether the fetch has ended. If it succeeded, a stage order is
// completed; for a load order the admission check is closed.
func (c *Controller) pollFetch(order *control.Order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.job.fetchDone {
		return false
	}
	if err := c.job.fetchErr; err != nil {
		c.job.phase = phaseIdle
		c.recordFailure(result.CodeOf(err), "fetch version %s: %v", order.Version, err)
		c.backOff()
		return false
	}
	if order.Stage {
		c.job.phase = phaseIdle
		c.completedFence = order.Fence.Index
		c.code, c.detail = result.OK, ""
		c.log.Info("staged", "version", order.Version, "fence", order.Fence.Index)
		return true
	}
	c.job.phase = phaseDrain
	c.closeAdmission("order " + order.Version)
	return true
}

// startLoad sends the engine its next order once no request is in progress and
// the engine has settled.
func (c *Controller) startLoad(ctx context.Context, order *control.Order) bool {
	c.mu.Lock()
	desired, missing := c.resolveTarget(order.Version, order.Adapters)
	ready := missing == "" && c.inFlight == 0 && c.job.fetchDone && c.reports.settled(c.clock.Now(), c.cfg.SettleTime)
	report, paths := c.reports.last, c.job.paths
	if ready && desired.matches(report) {
		c.completeOrder(order, desired)
		ready = false
	}
	c.mu.Unlock()
	if !ready {
		return false
	}
	expected, send := c.nextEngineOrder(order, desired, report, paths)
	c.mu.Lock()
	if c.order.Fence != order.Fence {
		c.mu.Unlock()
		return true
	}
	c.job.phase, c.job.expected, c.job.sentAt = phaseLoad, expected, c.clock.Now()
	c.mu.Unlock()
	c.log.Info("order sent to engine", "fence", order.Fence.Index, "version", expected.version, "adapters", len(expected.adapters))
	c.handleOrderError(send(ctx))
	return false
}

// nextEngineOrder returns the next order towards desired as a function that
// sends it, and the target that the engine will report once it is done.
func (c *Controller) nextEngineOrder(order *control.Order, desired target, report engine.Report, paths map[string]string) (target, func(context.Context) error) {
	if desired.version == "" {
		return desired, func(ctx context.Context) error {
			return c.driver.Unload(ctx, order.Fence, report.Version)
		}
	}
	if !desired.matchesBase(report) {
		load := engine.LoadOrder{Fence: order.Fence, Version: desired.version, Digest: desired.digest, Path: paths[desired.version]}
		expected := target{version: desired.version, digest: desired.digest}
		return expected, func(ctx context.Context) error { return c.drainAndLoad(ctx, load, report) }
	}
	next := desired.missingAdapter(report)
	load := engine.LoadOrder{Fence: order.Fence, Version: next.name, Digest: next.digest, Path: paths[next.name], Adapter: true}
	expected := target{version: desired.version, digest: desired.digest, adapters: []adapter{*next}}
	return expected, func(ctx context.Context) error { return c.driver.Load(ctx, load) }
}

func (c *Controller) drainAndLoad(ctx context.Context, load engine.LoadOrder, report engine.Report) error {
	if report.Version != "" {
		if err := c.driver.Drain(ctx, load.Fence); err != nil {
			return err
		}
	}
	return c.driver.Load(ctx, load)
}

// handleOrderError handles the engine's answer to an order. Without an answer
// the order stays outstanding, and the report shows its outcome.
func (c *Controller) handleOrderError(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	code := result.CodeOf(err)
	c.recordFailure(code, "%v", err)
	switch code {
	case result.StaleFence:
		c.fenceKnown = false
		c.job.phase = phaseIdle
		c.backOff()
	case result.EngineRefused:
		c.job.phase = phaseIdle
		c.backOff()
	}
}

// pollLoad checks whether the report shows that the order sent to the engine was
// done, or that it was not. Until then no other order is sent.
func (c *Controller) pollLoad(order *control.Order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.orderConfirmed() {
		c.job.phase = phaseIdle
		desired, missing := c.resolveTarget(order.Version, order.Adapters)
		if missing == "" && !order.Stage && desired.matches(c.reports.last) {
			c.completeOrder(order, desired)
			return false
		}
		c.job.retryAt = now
		if c.job.fetchDone {
			c.job.phase = phaseDrain
		}
		return true
	}
	if c.settledSince(c.job.sentAt) {
		c.recordFailure(result.EngineMismatch, "engine reports version %q, digest %s, state %s after the order for version %q",
			c.reports.last.Version, c.reports.last.Digest, c.reports.last.State, c.job.expected.version)
		c.job.phase = phaseIdle
		c.backOff()
		return true
	}
	if now.Sub(c.job.sentAt) >= c.cfg.LoadTimeout {
		c.recordFailure(result.EngineMismatch, "engine did not finish loading version %q within %s", c.job.expected.version, c.cfg.LoadTimeout)
	}
	return false
}
