package loader

import (
	"context"

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// startFetch is called with mu held.
func (c *Controller) startFetch(ctx context.Context, order *control.Order) bool {
	c.job.stopFetch()
	c.job.phase = phaseFetch
	if order.Version == "" {
		c.job.fetched = true
		return true
	}
	wanted := make([]*manifest.Manifest, 0, 1+len(order.Adapters))
	for _, name := range append([]string{order.Version}, order.Adapters...) {
		wanted = append(wanted, c.manifests[name])
	}
	fetchCtx, cancel := context.WithCancel(ctx)
	c.job.cancel = cancel
	go c.fetch(fetchCtx, c.job.generation, wanted)
	return false
}

func (c *Controller) fetch(ctx context.Context, generation int, wanted []*manifest.Manifest) {
	paths := make(map[string]string, len(wanted))
	var err error
	for _, m := range wanted {
		if paths[m.Version], err = c.fetcher.Fetch(ctx, m); err != nil {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.job.generation != generation {
		return
	}
	c.job.fetched, c.job.fetchErr, c.job.paths = true, err, paths
	c.notify()
}

func (c *Controller) finishFetch(order *control.Order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.job.fetched {
		return false
	}
	if err := c.job.fetchErr; err != nil {
		c.job.phase = phaseIdle
		c.fail(result.CodeOf(err), "fetch %s: %v", order.Version, err)
		c.backOff()
		return false
	}
	if order.Stage {
		c.job.phase = phaseIdle
		c.carried = order.Fence.Index
		c.code, c.detail = result.OK, ""
		c.log.Info("staged", "version", order.Version, "fence", order.Fence.Index)
		return true
	}
	c.job.phase = phaseDrain
	c.shut("order " + order.Version)
	return true
}

// startLoad gives the engine its next order once no request is in progress
// and the engine is at rest.
func (c *Controller) startLoad(ctx context.Context, order *control.Order) bool {
	c.mu.Lock()
	goal, missing := c.goal(order.Version, order.Adapters)
	ready := missing == "" && c.inFlight == 0 && c.job.fetched && c.reports.settled(c.clock.Now(), c.cfg.Settle)
	report, paths := c.reports.last, c.job.paths
	if ready && goal.matches(report) {
		c.succeed(order, goal)
		ready = false
	}
	c.mu.Unlock()
	if !ready {
		return false
	}
	step, send := c.nextOrder(order, goal, report, paths)
	c.mu.Lock()
	if c.order.Fence != order.Fence {
		c.mu.Unlock()
		return true
	}
	c.job.phase, c.job.step, c.job.sentAt = phaseLoad, step, c.clock.Now()
	c.mu.Unlock()
	c.log.Info("order sent", "fence", order.Fence.Index, "version", step.version, "adapters", len(step.adapters))
	c.takeOrderError(send(ctx))
	return false
}

// nextOrder returns the order that brings the engine nearer to goal, and what
// it will report once that is done.
func (c *Controller) nextOrder(order *control.Order, goal target, report engine.Report, paths map[string]string) (target, func(context.Context) error) {
	if goal.version == "" {
		return goal, func(ctx context.Context) error {
			return c.driver.Unload(ctx, order.Fence, report.Version)
		}
	}
	if !goal.baseMatches(report) {
		load := engine.LoadOrder{Fence: order.Fence, Version: goal.version, Digest: goal.digest, Path: paths[goal.version]}
		step := target{version: goal.version, digest: goal.digest}
		return step, func(ctx context.Context) error { return c.drainAndLoad(ctx, load, report) }
	}
	next := goal.missingAdapter(report)
	load := engine.LoadOrder{Fence: order.Fence, Version: next.name, Digest: next.digest, Path: paths[next.name], Adapter: true}
	step := target{version: goal.version, digest: goal.digest, adapters: []adapter{*next}}
	return step, func(ctx context.Context) error { return c.driver.Load(ctx, load) }
}

func (c *Controller) drainAndLoad(ctx context.Context, load engine.LoadOrder, report engine.Report) error {
	if report.Version != "" {
		if err := c.driver.Drain(ctx, load.Fence); err != nil {
			return err
		}
	}
	return c.driver.Load(ctx, load)
}

// takeOrderError notes how the engine answered. Without an answer the order
// stays outstanding: the report tells what became of it.
func (c *Controller) takeOrderError(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	code := result.CodeOf(err)
	c.fail(code, "%v", err)
	switch code {
	case result.StaleFence:
		c.learned = false
		c.job.phase = phaseIdle
		c.backOff()
	case result.EngineRefused:
		c.job.phase = phaseIdle
		c.backOff()
	}
}

// finishLoad waits until the report shows that the order was carried out, or
// that it was not. Until then no other order is given.
func (c *Controller) finishLoad(order *control.Order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.showsStep() {
		c.job.phase = phaseIdle
		goal, missing := c.goal(order.Version, order.Adapters)
		if missing == "" && !order.Stage && goal.matches(c.reports.last) {
			c.succeed(order, goal)
			return false
		}
		c.job.retryAt = now
		if c.job.fetched {
			c.job.phase = phaseDrain
		}
		return true
	}
	if c.settledSince(c.job.sentAt) {
		c.fail(result.EngineMismatch, "engine reports %q %s %s after the order for %q",
			c.reports.last.Version, c.reports.last.Digest, c.reports.last.State, c.job.step.version)
		c.job.phase = phaseIdle
		c.backOff()
		return true
	}
	if now.Sub(c.job.sentAt) >= c.cfg.LoadTimeout {
		c.fail(result.EngineMismatch, "engine did not finish loading %q within %s", c.job.step.version, c.cfg.LoadTimeout)
	}
	return false
}
