package admission

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// serviceEWMAWeight is the weight of the newest service time in the moving
	// averages of its mean and deviation.
	serviceEWMAWeight = 0.1
	// boundDeviations is the difference between the expected upper bound of the
	// service time and its mean, in mean absolute deviations.
	boundDeviations = 2
	// maxChargeFactor bounds the charge for one request, in multiples of a request
	// with the mean service time.
	maxChargeFactor = 16
)

// Request holds the properties of a request that determine its admission.
type Request struct {
	Account string
	// Weight is the account's weight. MaxConcurrent is its concurrency limit, if
	// positive.
	Weight        int
	MaxConcurrent int
	// Rank is the rank of the request's priority; a higher rank goes first.
	Rank int
	// Running counts the account's requests in progress at all services.
	Running *atomic.Int64
	// Deadline is when the response must be complete.
	Deadline time.Time
	// TryClaim claims a slot at a backend server and reports whether it succeeded. It
	// is called under the controller's lock, until it succeeds once.
	TryClaim func() bool
	// Reach describes the backend servers that the request may use.
	Reach Reach
}

// Grant is an admitted request. Release must be called once when it has ended.
type Grant struct {
	c       *Controller
	account *account
	start   time.Time
}

// Controller admits the requests of one service. Safe for concurrent use.
type Controller struct {
	cfg   Config
	clock clockwork.Clock
	// hasBackend reports whether any backend server accepts requests.
	hasBackend func() bool

	admitted, refused, dropped tally.Counter
	queued                     tally.Gauge

	// mu guards the fields below.
	mu       sync.Mutex
	accounts map[string]*account
	// active lists the accounts with waiting requests, in order of arrival.
	active  []*account
	waiting int
	running int
	// waitingCount is a copy of waiting that can be read without the lock.
	waitingCount atomic.Int64
	// meanRunning is the moving average of running, sampled at the end of each
	// request.
	meanRunning float64
	// virtualTime is the virtual time of the weighted fair queueing.
	virtualTime float64
	// meanService and serviceDeviation are the moving averages of the service time
	// and its absolute deviation, in seconds.
	meanService      float64
	serviceDeviation float64
	sweepScheduled   bool
}

// NewController returns a controller without requests. hasBackend reports whether
// any backend server accepts requests; it is called under the lock.
func NewController(cfg Config, hasBackend func() bool, clock clockwork.Clock, scope tally.Scope) *Controller {
	return &Controller{
		cfg: cfg.withDefaults(), clock: clock, hasBackend: hasBackend, accounts: make(map[string]*account),
		admitted: scope.Counter("admitted"), refused: scope.Counter("refused"),
		dropped: scope.Counter("dropped"), queued: scope.Gauge("queued"),
	}
}

// Acquire returns a grant once the request is admitted, or a refusal. It waits only
// while the request can still be served before its deadline. If ctx ends first, it
// returns a refusal with the code CallerGone.
func (c *Controller) Acquire(ctx context.Context, req Request) (*Grant, error) {
	w, grant, err := c.submit(req)
	if w == nil {
		return grant, err
	}
	select {
	case err := <-w.decision:
		if err != nil {
			return nil, err
		}
	case <-ctx.Done():
		if c.cancel(w) {
			return nil, result.Refuse(result.CallerGone, 0, "the caller disconnected while the request was queued")
		}
		if err := <-w.decision; err != nil {
			return nil, err
		}
	}
	return &Grant{c: c, account: w.account, start: c.clock.Now()}, nil
}

// submit admits, queues or refuses a new request.
func (c *Controller) submit(req Request) (*waiter, *Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.accountFor(req)
	now := c.clock.Now()
	if c.waiting > 0 && c.mayOvertake(a) {
		// Those that wait go first at the servers that have become free.
		c.dispatchWaiting()
	}
	if c.mayOvertake(a) && a.tryStart(req.TryClaim) {
		c.recordStart(a)
		return nil, &Grant{c: c, account: a, start: now}, nil
	}
	if err := c.checkWait(a, req, now); err != nil {
		c.refused.Inc(1)
		return nil, nil, err
	}
	w := &waiter{
		rank: req.Rank, deadline: req.Deadline, tryClaim: req.TryClaim,
		decision: make(chan error, 1), account: a,
	}
	c.enqueue(a, w)
	c.dispatchWaiting()
	return w, nil, nil
}

// accountFor returns the account of a request, with its current settings.
func (c *Controller) accountFor(req Request) *account {
	a := c.accounts[req.Account]
	if a == nil {
		a = &account{name: req.Account}
		c.accounts[req.Account] = a
	}
	a.weight = float64(max(1, req.Weight))
	a.maxConcurrent = req.MaxConcurrent
	a.reach = req.Reach
	a.running = req.Running
	return a
}

// enqueue queues a waiter and activates its account.
func (c *Controller) enqueue(a *account, w *waiter) {
	if a.waiting == 0 {
		a.virtualStart = max(a.virtualStart, c.virtualTime)
		c.active = append(c.active, a)
	}
	a.push(w)
	c.waiting++
	c.waitingCount.Store(int64(c.waiting))
	c.queued.Update(float64(c.waiting))
	c.scheduleSweep()
}

// recordStart counts a request that was admitted without waiting.
func (c *Controller) recordStart(a *account) {
	c.running++
	c.admitted.Inc(1)
	a.virtualStart = max(a.virtualStart, c.virtualTime) + 1/a.weight
	if c.waiting == 0 {
		// Without waiting requests no account is ahead of its share.
		c.virtualTime = a.virtualStart
		return
	}
	c.virtualTime += 1 / c.activeWeight(a)
}

// dispatchWaiting admits waiting requests while slots are free. Where all servers of a set are
// in use, the accounts that wait for them are passed over.
func (c *Controller) dispatchWaiting() {
	var blocked map[string]bool
	for c.waiting > 0 {
		a, q := c.nextAccount(blocked)
		if a == nil {
			break
		}
		if !a.tryStart(q.waiters[0].tryClaim) {
			if a.reach.Set == "" {
				break
			}
			if blocked == nil {
				blocked = map[string]bool{}
			}
			blocked[a.reach.Set] = true
			continue
		}
		w := q.waiters[0]
		c.dequeue(a, func() { a.pop(q) })
		c.virtualTime += 1 / c.activeWeight(a)
		a.virtualStart += 1 / a.weight
		c.running++
		c.admitted.Inc(1)
		c.resolve(w, nil)
	}
	c.queued.Update(float64(c.waiting))
}

// activeWeight sums the weights of the active accounts, including a.
func (c *Controller) activeWeight(a *account) float64 {
	total := 0.0
	if a.waiting == 0 {
		total = a.weight
	}
	for _, other := range c.active {
		total += other.weight
	}
	return total
}

// nextAccount selects the account and queue whose request goes next. Eligible are
// the accounts within their share, plus the burst for higher ranks. Among them the
// highest rank goes first, then the earliest virtual finish time. Accounts that wait for a set
// of servers in blocked are passed over and keep their virtual time: they catch up once one of
// these becomes free.
func (c *Controller) nextAccount(blocked map[string]bool) (*account, *rankQueue) {
	lowest := math.Inf(1)
	for _, a := range c.active {
		if blocked[a.reach.Set] {
			continue
		}
		if a.atLimit() {
			// Time spent at its own concurrency limit earns the account no credit.
			a.virtualStart = max(a.virtualStart, c.virtualTime)
			continue
		}
		lowest = min(lowest, a.virtualStart)
	}
	if math.IsInf(lowest, 1) {
		return nil, nil
	}
	c.virtualTime = max(c.virtualTime, lowest)
	var best *account
	var bestQueue *rankQueue
	for _, a := range c.active {
		if a.atLimit() || blocked[a.reach.Set] {
			continue
		}
		q := a.nextQueue(c.cfg.LowestEvery)
		if a.virtualStart > c.virtualTime+c.priorityBurst(q.rank)/a.weight {
			continue
		}
		if best == nil || q.rank > bestQueue.rank || (q.rank == bestQueue.rank && a.virtualFinish() < best.virtualFinish()) {
			best, bestQueue = a, q
		}
	}
	return best, bestQueue
}

// priorityBurst returns the number of requests by which a rank may run ahead of its
// account's share; 0 for the lowest rank that is waiting.
func (c *Controller) priorityBurst(rank int) float64 {
	lowest := rank
	for _, a := range c.active {
		lowest = min(lowest, a.queues[len(a.queues)-1].rank)
	}
	if rank > lowest {
		return float64(c.cfg.PriorityBurst)
	}
	return 0
}

// virtualFinish returns the virtual finish time of the account's next request.
func (a *account) virtualFinish() float64 { return a.virtualStart + 1/a.weight }

// dequeue removes a waiter by calling remove, and deactivates the account if it was
// the last one.
func (c *Controller) dequeue(a *account, remove func()) {
	remove()
	c.waiting--
	c.waitingCount.Store(int64(c.waiting))
	if a.waiting > 0 {
		return
	}
	for i, other := range c.active {
		if other == a {
			c.active = append(c.active[:i], c.active[i+1:]...)
			return
		}
	}
}

// resolve admits a waiter if err is nil, or refuses it. The waiter must already be
// dequeued.
func (c *Controller) resolve(w *waiter, err error) {
	w.resolved = true
	w.decision <- err
}

// cancel removes a waiter. It returns false if the waiter was already resolved.
func (c *Controller) cancel(w *waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.resolved {
		return false
	}
	w.resolved = true
	c.dequeue(w.account, func() { w.account.remove(w) })
	return true
}

// Release ends an admitted request. served reports whether its duration counts as a
// service time.
func (g *Grant) Release(served bool) {
	c := g.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sampleRunning()
	c.running--
	g.account.running.Add(-1)
	if served {
		c.recordServiceTime(g.account, c.clock.Now().Sub(g.start).Seconds())
	}
	c.dispatchWaiting()
}

// recordServiceTime updates the moving averages and corrects the account's virtual
// start time, so that long requests cost their account more than short ones.
func (c *Controller) recordServiceTime(a *account, took float64) {
	if c.meanService == 0 {
		c.meanService, c.serviceDeviation = took, took/2
		return
	}
	if a.waiting > 0 {
		charge := min(took/max(c.meanService, 1e-9), maxChargeFactor)
		a.virtualStart += (charge - 1) / a.weight
	}
	c.serviceDeviation += serviceEWMAWeight * (math.Abs(took-c.meanService) - c.serviceDeviation)
	c.meanService += serviceEWMAWeight * (took - c.meanService)
}

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int { return int(c.waitingCount.Load()) }

// DispatchWaiting admits waiting requests when a slot becomes free without a request
// ending, for example when a backend server joins.
func (c *Controller) DispatchWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatchWaiting()
}
