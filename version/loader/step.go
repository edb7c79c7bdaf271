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

// phase is how far the order in force has come.
type phase int

const (
	// phaseIdle: nothing is under way; the order may be carried out or not.
	phaseIdle phase = iota
	// phaseFetch: the content is being fetched and verified.
	phaseFetch
	// phaseDrain: the admission check is closed; requests in progress end.
	phaseDrain
	// phaseLoad: an order was sent to the engine and its end is awaited.
	phaseLoad
)

func (p phase) String() string {
	return [...]string{"idle", "fetch", "drain", "load"}[p]
}

// maxSteps bounds the phases that one tick may pass through.
const maxSteps = 8

// job is the work on the order in force. Only Run's goroutine advances it.
type job struct {
	phase phase
	// cancel ends the fetch; generation tells its result from older ones.
	cancel     context.CancelFunc
	generation int
	fetched    bool
	fetchErr   error
	paths      map[string]string
	// step is what was last ordered; sentAt is when.
	step   target
	sentAt time.Time
	// failures counts tries that failed; retryAt is when the next may start.
	failures int
	retryAt  time.Time
}

// reset starts over for a newer order. An order that the engine may be
// carrying out stays outstanding until the engine has settled.
func (j *job) reset() {
	j.stopFetch()
	if j.phase != phaseLoad {
		j.phase = phaseIdle
	}
	j.failures, j.retryAt = 0, time.Time{}
}

func (j *job) stopFetch() {
	if j.cancel != nil {
		j.cancel()
	}
	j.cancel = nil
	j.generation++
	j.fetched, j.fetchErr, j.paths = false, nil, nil
}

func (c *Controller) cancelFetch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.job.stopFetch()
}

// tick reads the report, closes the admission check if the report calls for
// it, and advances the order in force.
func (c *Controller) tick(ctx context.Context) {
	report, err := c.readReport(ctx)
	c.mu.Lock()
	c.reports.observe(report, err, c.clock.Now())
	c.guard()
	learned, closing := c.learned, c.closing
	c.mu.Unlock()
	if closing || ctx.Err() != nil {
		return
	}
	if !learned && !c.learn(ctx) {
		return
	}
	for range maxSteps {
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

// guard closes the admission check at once when the engine no longer reports
// what is to be served. It is called with mu held.
func (c *Controller) guard() {
	if c.served.version == "" {
		return
	}
	if !c.reports.readable {
		if c.reports.failures >= c.cfg.ReportFailures {
			c.fail(result.EngineUnreadable, "report unreadable %d times in a row", c.reports.failures)
			c.shut("report unreadable")
		}
		return
	}
	if !c.served.matches(c.reports.last) {
		c.fail(result.EngineMismatch, "engine reports %q %s %s while %q is to be served",
			c.reports.last.Version, c.reports.last.Digest, c.reports.last.State, c.served.version)
		c.shut("report changed")
	}
}

func (c *Controller) digestOf(version string) manifest.Digest {
	if m := c.manifests[version]; m != nil {
		return m.Digest()
	}
	return manifest.Digest{}
}

// learn asks a quorum for the order in force. A controller that was just
// started remembers no fence: until it has the answer it believes no order.
func (c *Controller) learn(ctx context.Context) bool {
	c.mu.Lock()
	wait := c.clock.Now().Before(c.job.retryAt)
	c.mu.Unlock()
	if wait {
		return false
	}
	askCtx, cancel := context.WithTimeout(ctx, c.cfg.FenceTimeout)
	defer cancel()
	reply, err := c.fences.Fence(askCtx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.fail(result.FenceUnknown, "%v", err)
		c.backOff()
		return false
	}
	c.takeFence(reply)
	return true
}

// takeFence is called with mu held.
func (c *Controller) takeFence(reply wire.FenceReply) {
	c.learned = true
	c.floor = max(c.floor, reply.Index)
	if reply.Order != nil && (c.order == nil || c.order.Fence.Less(reply.Order.Fence)) {
		c.order = reply.Order
	}
	c.code, c.detail = result.OK, ""
	c.job.reset()
	c.log.Info("fence learned", "index", reply.Index)
	if c.candidate != nil {
		c.acceptView(*c.candidate)
		c.candidate = nil
	}
}

// advance does one step of the order in force and reports whether another may
// follow at once.
func (c *Controller) advance(ctx context.Context) bool {
	c.mu.Lock()
	order, now := c.order, c.clock.Now()
	current := c.job.phase
	waiting := now.Before(c.job.retryAt)
	c.mu.Unlock()
	if order == nil {
		return false
	}
	switch current {
	case phaseFetch:
		return c.finishFetch(order)
	case phaseDrain:
		return !waiting && c.startLoad(ctx, order)
	case phaseLoad:
		return c.finishLoad(order)
	default:
		return c.startOrder(ctx, order, waiting)
	}
}

// startOrder opens the admission check if the engine already serves what it
// should, and else begins with the fetch.
func (c *Controller) startOrder(ctx context.Context, order *control.Order, waiting bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if order.Stage {
		return c.startStage(ctx, order, waiting)
	}
	goal, missing := c.goal(order.Version, order.Adapters)
	if missing != "" {
		c.fail(result.ManifestInvalid, "the manifest of %q is not known yet", missing)
		return false
	}
	settled := c.reports.settled(c.clock.Now(), c.cfg.Settle)
	if settled && goal.matches(c.reports.last) {
		c.succeed(order, goal)
		return false
	}
	matches := c.reports.readable && goal.matches(c.reports.last)
	if !settled && (matches || c.carried == order.Fence.Index) {
		return false
	}
	return !waiting && c.startFetch(ctx, order)
}

// startStage is called with mu held.
func (c *Controller) startStage(ctx context.Context, order *control.Order, waiting bool) bool {
	if c.served.version == "" && order.Keep != "" {
		goal, missing := c.goal(order.Keep, order.KeepAdapters)
		settled := c.reports.settled(c.clock.Now(), c.cfg.Settle)
		if missing == "" && settled && goal.matches(c.reports.last) {
			c.open(goal)
		}
	}
	if c.carried == order.Fence.Index || waiting {
		return false
	}
	if _, missing := c.goal(order.Version, order.Adapters); missing != "" {
		c.fail(result.ManifestInvalid, "the manifest of %q is not known yet", missing)
		return false
	}
	return c.startFetch(ctx, order)
}

// goal returns what the engine is to report, or the name of a manifest that
// is not known. It is called with mu held.
func (c *Controller) goal(version string, adapters []string) (goal target, missing string) {
	if version == "" {
		return target{}, ""
	}
	goal = target{version: version, digest: c.digestOf(version)}
	if goal.digest.IsZero() {
		return goal, version
	}
	for _, name := range adapters {
		digest := c.digestOf(name)
		if digest.IsZero() {
			return goal, name
		}
		goal.adapters = append(goal.adapters, adapter{name: name, digest: digest})
	}
	return goal, ""
}

// succeed is called with mu held once the engine serves what was ordered.
func (c *Controller) succeed(order *control.Order, goal target) {
	c.job.phase = phaseIdle
	c.job.failures, c.job.retryAt = 0, time.Time{}
	c.carried = order.Fence.Index
	c.code, c.detail = result.OK, ""
	if order.Version == "" {
		c.shut("nothing is to be served")
		return
	}
	c.open(goal)
}

// fail notes why the order is not carried out. It is called with mu held.
func (c *Controller) fail(code result.Code, format string, args ...any) {
	e := result.New(code, format, args...)
	if c.code == code && c.detail == e.Detail {
		return
	}
	c.code, c.detail = code, e.Detail
	c.log.Warn("order not carried out", "code", int(code), "name", code.Name(), "detail", e.Detail)
	c.scope.Tagged(map[string]string{"code": code.Name()}).Counter("failures").Inc(1)
}

// backOff delays the next try. It is called with mu held.
func (c *Controller) backOff() {
	delay := c.cfg.RetryDelay << min(c.job.failures, 10)
	c.job.failures++
	c.job.retryAt = c.clock.Now().Add(min(delay, c.cfg.RetryDelayMax))
}

// settledSince reports whether the engine came to rest after an order was
// sent: it showed a change or had time enough to show one. It is called with
// mu held.
func (c *Controller) settledSince(sentAt time.Time) bool {
	now := c.clock.Now()
	if !c.reports.settled(now, c.cfg.Settle) {
		return false
	}
	return c.reports.since.After(sentAt) || now.Sub(sentAt) >= c.cfg.LoadGrace
}

// showsStep reports whether the engine tells that the last order was carried
// out. Orders are sent only once the engine has settled on something else, so
// that no report from before the order can match.
func (c *Controller) showsStep() bool {
	return c.reports.readable && c.job.step.matches(c.reports.last)
}
