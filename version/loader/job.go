package loader

import (
	"context"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// phase is the phase of the work on the current order.
type phase int

const (
	// phaseIdle: nothing is in progress; the order may be completed or not.
	phaseIdle phase = iota
	// phaseFetch: the content is being fetched and verified.
	phaseFetch
	// phaseDrain: the admission check is closed; requests in progress finish.
	phaseDrain
	// phaseLoad: an order was sent to the engine; its outcome is awaited.
	phaseLoad
)

func (p phase) String() string {
	return [...]string{"idle", "fetch", "drain", "load"}[p]
}

// maxPhasesPerTick bounds the number of phases that one tick advances through.
const maxPhasesPerTick = 8

// job is the work on the current order. Only Run's goroutine advances it.
type job struct {
	phase phase
	// cancel stops the fetch. fetchGeneration identifies it, so that the
	// results of earlier fetches are ignored.
	cancel          context.CancelFunc
	fetchGeneration int
	fetchDone       bool
	fetchErr        error
	// paths maps each fetched version to its file.
	paths map[string]string
	// expected is what the report must show once the last order sent to the
	// engine is done; sentAt is when it was sent.
	expected target
	sentAt   time.Time
	// failures counts the consecutive failures; retryAt is the earliest time
	// of the next attempt.
	failures int
	retryAt  time.Time
}

// reset starts over for a newer order. An order that the engine may still be
// executing stays outstanding until the engine has settled.
func (j *job) reset() {
	j.stopFetch()
	if j.phase != phaseLoad {
		j.phase = phaseIdle
	}
	j.failures, j.retryAt = 0, time.Time{}
}

// stopFetch cancels the fetch and discards its result.
func (j *job) stopFetch() {
	if j.cancel != nil {
		j.cancel()
	}
	j.cancel = nil
	j.fetchGeneration++
	j.fetchDone, j.fetchErr, j.paths = false, nil, nil
}

func (c *Controller) cancelFetch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.job.stopFetch()
}

// tick reads the report, closes the admission check if the report no longer
// matches, and advances the current order.
func (c *Controller) tick(ctx context.Context) {
	report, err := c.readReport(ctx)
	c.mu.Lock()
	c.reports.observe(report, err, c.clock.Now())
	c.checkServing()
	fenceKnown, closing := c.fenceKnown, c.closing
	c.mu.Unlock()
	if closing || ctx.Err() != nil {
		return
	}
	if !fenceKnown && !c.learnFence(ctx) {
		return
	}
	for range maxPhasesPerTick {
		if !c.advance(ctx) {
			return
		}
	}
}

func (c *Controller) readReport(ctx context.Context) (engine.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ReportTimeout)
	defer cancel()
	return c.driver.Report(ctx)
}

// checkServing closes the admission check as soon as the report no longer shows
// what is being served, or could not be read ReportFailures times in a row. It
// is called with mu held.
func (c *Controller) checkServing() {
	if c.serving.version == "" {
		return
	}
	if !c.reports.readable {
		if c.reports.readFailures >= c.cfg.ReportFailures {
			c.recordFailure(result.EngineUnreadable, "failed to read engine report %d times in a row", c.reports.readFailures)
			c.closeAdmission("engine report unreadable")
		}
		return
	}
	if !c.serving.matches(c.reports.last) {
		c.recordFailure(result.EngineMismatch, "engine reports version %q, digest %s, state %s while version %q is being served",
			c.reports.last.Version, c.reports.last.Digest, c.reports.last.State, c.serving.version)
		c.closeAdmission("engine report changed")
	}
}

// digestOf returns the digest of a version's manifest, zero if the manifest is
// not known. It is called with mu held.
func (c *Controller) digestOf(version string) manifest.Digest {
	if m := c.manifests[version]; m != nil {
		return m.Digest()
	}
	return manifest.Digest{}
}

// learnFence queries a quorum for the current order and reports whether it
// succeeded. A controller that has just started, or whose engine refused its
// fence as stale, sends no order until a quorum has answered.
func (c *Controller) learnFence(ctx context.Context) bool {
	c.mu.Lock()
	inBackoff := c.clock.Now().Before(c.job.retryAt)
	c.mu.Unlock()
	if inBackoff {
		return false
	}
	queryCtx, cancel := context.WithTimeout(ctx, c.cfg.FenceTimeout)
	defer cancel()
	reply, err := c.fences.Fence(queryCtx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.recordFailure(result.FenceUnknown, "%v", err)
		c.backOff()
		return false
	}
	c.applyFence(reply)
	return true
}

// applyFence stores the fence and order that a quorum returned. It is called
// with mu held.
func (c *Controller) applyFence(reply wire.FenceReply) {
	c.fenceKnown = true
	c.fenceFloor = max(c.fenceFloor, reply.Index)
	if reply.Order != nil && (c.order == nil || c.order.Fence.Less(reply.Order.Fence)) {
		c.order = reply.Order
	}
	c.code, c.detail = result.OK, ""
	c.job.reset()
	c.log.Info("fence learned", "index", reply.Index)
	if c.pendingView != nil {
		c.acceptView(*c.pendingView)
		c.pendingView = nil
	}
}

// advance does one step of the current order and reports whether the next one
// may follow immediately.
func (c *Controller) advance(ctx context.Context) bool {
	c.mu.Lock()
	order, now := c.order, c.clock.Now()
	current := c.job.phase
	inBackoff := now.Before(c.job.retryAt)
	c.mu.Unlock()
	if order == nil {
		return false
	}
	switch current {
	case phaseFetch:
		return c.pollFetch(order)
	case phaseDrain:
		return !inBackoff && c.startLoad(ctx, order)
	case phaseLoad:
		return c.pollLoad(order)
	default:
		return c.startOrder(ctx, order, inBackoff)
	}
}

// startOrder opens the admission check if the engine already serves what is
// ordered, and starts the fetch otherwise. While the report has not settled it
// waits if the report already matches or the order was completed before.
func (c *Controller) startOrder(ctx context.Context, order *control.Order, inBackoff bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if order.Stage {
		return c.startStage(ctx, order, inBackoff)
	}
	desired, missing := c.resolveTarget(order.Version, order.Adapters)
	if missing != "" {
		c.recordFailure(result.ManifestInvalid, "manifest of version %q is not known yet", missing)
		return false
	}
	settled := c.reports.settled(c.clock.Now(), c.cfg.SettleTime)
	if settled && desired.matches(c.reports.last) {
		c.completeOrder(order, desired)
		return false
	}
	matches := c.reports.readable && desired.matches(c.reports.last)
	if !settled && (matches || c.completedFence == order.Fence.Index) {
		return false
	}
	return !inBackoff && c.startFetch(ctx, order)
}

// startStage starts the fetch of a stage order. If the admission check is closed
// and the engine serves the version that the order keeps, it opens the check
// first. It is called with mu held.
func (c *Controller) startStage(ctx context.Context, order *control.Order, inBackoff bool) bool {
	if c.serving.version == "" && order.Keep != "" {
		desired, missing := c.resolveTarget(order.Keep, order.KeepAdapters)
		settled := c.reports.settled(c.clock.Now(), c.cfg.SettleTime)
		if missing == "" && settled && desired.matches(c.reports.last) {
			c.openAdmission(desired)
		}
	}
	if c.completedFence == order.Fence.Index || inBackoff {
		return false
	}
	if _, missing := c.resolveTarget(order.Version, order.Adapters); missing != "" {
		c.recordFailure(result.ManifestInvalid, "manifest of version %q is not known yet", missing)
		return false
	}
	return c.startFetch(ctx, order)
}

// resolveTarget returns the target for a version and its adapters, or the name
// of the first of them whose manifest is not known. It is called with mu held.
func (c *Controller) resolveTarget(version string, adapters []string) (desired target, missing string) {
	if version == "" {
		return target{}, ""
	}
	desired = target{version: version, digest: c.digestOf(version)}
	if desired.digest.IsZero() {
		return desired, version
	}
	for _, name := range adapters {
		digest := c.digestOf(name)
		if digest.IsZero() {
			return desired, name
		}
		desired.adapters = append(desired.adapters, adapter{name: name, digest: digest})
	}
	return desired, ""
}

// completeOrder records that the engine serves what is ordered. It is called
// with mu held.
func (c *Controller) completeOrder(order *control.Order, desired target) {
	c.job.phase = phaseIdle
	c.job.failures, c.job.retryAt = 0, time.Time{}
	c.completedFence = order.Fence.Index
	c.code, c.detail = result.OK, ""
	if order.Version == "" {
		c.closeAdmission("no version ordered")
		return
	}
	c.openAdmission(desired)
}

// recordFailure records why the current order is not completed, and logs it if
// it is new. It is called with mu held.
func (c *Controller) recordFailure(code result.Code, format string, args ...any) {
	e := result.New(code, format, args...)
	if c.code == code && c.detail == e.Detail {
		return
	}
	c.code, c.detail = code, e.Detail
	c.log.Warn("failed to complete order", "code", int(code), "name", code.Name(), "detail", e.Detail)
	c.scope.Tagged(map[string]string{"code": code.Name()}).Counter("failures").Inc(1)
}

// backOff delays the next attempt. It is called with mu held.
func (c *Controller) backOff() {
	delay := c.cfg.RetryDelay << min(c.job.failures, 10)
	c.job.failures++
	c.job.retryAt = c.clock.Now().Add(min(delay, c.cfg.RetryDelayMax))
}

// settledSince reports whether the engine has settled after an order was sent:
// its report has changed since, or LoadGrace has passed. It is called with mu
// held.
func (c *Controller) settledSince(sentAt time.Time) bool {
	now := c.clock.Now()
	if !c.reports.settled(now, c.cfg.SettleTime) {
		return false
	}
	return c.reports.changedAt.After(sentAt) || now.Sub(sentAt) >= c.cfg.LoadGrace
}

// orderConfirmed reports whether the report shows the last order sent to the
// engine as done. Orders are sent only once the engine has settled on something
// else, so that no report from before the order can match. It is called with mu
// held.
func (c *Controller) orderConfirmed() bool {
	return c.reports.readable && c.job.expected.matches(c.reports.last)
}
