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
	// serviceWeight is the weight of the newest service time in its average.
	serviceWeight = 0.1
	// deviations is how many mean deviations above the mean service time a
	// request is expected to take at most.
	deviations = 2
	// maxCharge bounds what one request is charged, in mean requests.
	maxCharge = 16
)

// Request is what the admission of a request depends on.
type Request struct {
	Account string
	// Share is the account's weight; MaxConcurrent its limit, if positive.
	Share         int
	MaxConcurrent int
	// Rank is the rank of its priority; a higher one goes first.
	Rank int
	// Running counts the account's requests in progress at all services.
	Running *atomic.Int64
	// Deadline is when the whole answer must be there.
	Deadline time.Time
	// Try claims room at a backend server. It is called under the
	// controller's lock, until it succeeds once.
	Try func() bool
}

// Grant is an admitted request. Release is called once when it ended.
type Grant struct {
	c       *Controller
	account *account
	start   time.Time
}

// Controller admits the requests of one service. Safe for concurrent use.
type Controller struct {
	cfg   Config
	clock clockwork.Clock
	// usable reports whether any backend server takes requests.
	usable func() bool

	admitted, refused, dropped tally.Counter
	queued                     tally.Gauge

	// mu guards the fields below.
	mu       sync.Mutex
	accounts map[string]*account
	// active are the accounts with waiting requests, in the order of arrival.
	active  []*account
	waiting int
	running int
	// backlog is waiting, to be read without the lock.
	backlog atomic.Int64
	// level is the moving average of running while requests wait.
	level   float64
	virtual float64
	// mean and deviation are of the service time in seconds.
	mean      float64
	deviation float64
	sweeping  bool
}

// NewController returns a controller without requests. Usable reports whether
// any backend server takes requests; it is called under the lock.
func NewController(cfg Config, usable func() bool, clock clockwork.Clock, scope tally.Scope) *Controller {
	return &Controller{
		cfg: cfg.withDefaults(), clock: clock, usable: usable, accounts: make(map[string]*account),
		admitted: scope.Counter("admitted"), refused: scope.Counter("refused"),
		dropped: scope.Counter("dropped"), queued: scope.Gauge("queued"),
	}
}

// Acquire returns once the request may go, or with a refusal. It waits only
// while the request can still be served in time.
func (c *Controller) Acquire(ctx context.Context, req Request) (*Grant, error) {
	w, grant, err := c.arrive(req)
	if w == nil {
		return grant, err
	}
	select {
	case err := <-w.decided:
		if err != nil {
			return nil, err
		}
	case <-ctx.Done():
		if c.withdraw(w) {
			return nil, result.Refuse(result.CallerGone, 0, "the caller left while waiting")
		}
		if err := <-w.decided; err != nil {
			return nil, err
		}
	}
	return &Grant{c: c, account: w.account, start: c.clock.Now()}, nil
}

// arrive decides on a new request: it goes, it waits or it is refused.
func (c *Controller) arrive(req Request) (*waiter, *Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.account(req)
	now := c.clock.Now()
	if c.waiting == 0 && a.claim(req.Try) {
		c.start(a)
		return nil, &Grant{c: c, account: a, start: now}, nil
	}
	if err := c.refusal(a, req, now); err != nil {
		c.refused.Inc(1)
		return nil, nil, err
	}
	w := &waiter{
		rank: req.Rank, deadline: req.Deadline, try: req.Try,
		decided: make(chan error, 1), account: a,
	}
	c.enqueue(a, w)
	c.pump()
	return w, nil, nil
}

func (c *Controller) account(req Request) *account {
	a := c.accounts[req.Account]
	if a == nil {
		a = &account{name: req.Account}
		c.accounts[req.Account] = a
	}
	a.weight = float64(max(1, req.Share))
	a.maxConcurrent = req.MaxConcurrent
	a.running = req.Running
	return a
}

func (c *Controller) enqueue(a *account, w *waiter) {
	if a.count == 0 {
		a.start = max(a.start, c.virtual)
		c.active = append(c.active, a)
	}
	a.push(w)
	c.waiting++
	c.backlog.Store(int64(c.waiting))
	c.queued.Update(float64(c.waiting))
	c.armSweep()
}

func (c *Controller) start(a *account) {
	c.running++
	c.admitted.Inc(1)
	if c.waiting == 0 {
		// Without a backlog nobody is ahead of a share.
		a.start = max(a.start, c.virtual) + 1/a.weight
		c.virtual = a.start
	}
}

// pump lets waiting requests go while there is room.
func (c *Controller) pump() {
	for c.waiting > 0 {
		a, q := c.next()
		if a == nil || !a.claim(q.waiters[0].try) {
			break
		}
		w := q.waiters[0]
		c.dequeued(a, func() { a.pop(q) })
		c.virtual += 1 / c.activeWeight(a)
		a.start += 1 / a.weight
		c.running++
		c.admitted.Inc(1)
		c.decide(w, nil)
	}
	c.queued.Update(float64(c.waiting))
}

// activeWeight sums the weights of the accounts that compete, a included.
func (c *Controller) activeWeight(a *account) float64 {
	total := 0.0
	if a.count == 0 {
		total = a.weight
	}
	for _, other := range c.active {
		total += other.weight
	}
	return total
}

// next chooses the account whose request goes next: among those within their
// share, with a burst for higher ranks, the one with the highest rank, then
// the one that is due first.
func (c *Controller) next() (*account, *rankQueue) {
	lowest := math.Inf(1)
	for _, a := range c.active {
		if a.atLimit() {
			// Its own limit holds it back: that earns no credit.
			a.start = max(a.start, c.virtual)
			continue
		}
		lowest = min(lowest, a.start)
	}
	if math.IsInf(lowest, 1) {
		return nil, nil
	}
	c.virtual = max(c.virtual, lowest)
	var best *account
	var bestQueue *rankQueue
	for _, a := range c.active {
		if a.atLimit() {
			continue
		}
		q := a.head(c.cfg.LowTurn)
		if a.start > c.virtual+c.burst(q.rank)/a.weight {
			continue
		}
		if best == nil || q.rank > bestQueue.rank || (q.rank == bestQueue.rank && a.due() < best.due()) {
			best, bestQueue = a, q
		}
	}
	return best, bestQueue
}

// burst is by how many requests a rank may run ahead of its account's share.
func (c *Controller) burst(rank int) float64 {
	lowest := rank
	for _, a := range c.active {
		lowest = min(lowest, a.queues[len(a.queues)-1].rank)
	}
	if rank > lowest {
		return float64(c.cfg.PriorityBurst)
	}
	return 0
}

// due is the virtual time at which the account's next request ends.
func (a *account) due() float64 { return a.start + 1/a.weight }

// dequeued applies a removal and keeps the list of active accounts.
func (c *Controller) dequeued(a *account, remove func()) {
	remove()
	c.waiting--
	c.backlog.Store(int64(c.waiting))
	if a.count > 0 {
		return
	}
	for i, other := range c.active {
		if other == a {
			c.active = append(c.active[:i], c.active[i+1:]...)
			return
		}
	}
}

func (c *Controller) decide(w *waiter, err error) {
	w.done = true
	w.decided <- err
}

// withdraw takes a waiter out; it reports false when it was decided before.
func (c *Controller) withdraw(w *waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.done {
		return false
	}
	w.done = true
	c.dequeued(w.account, func() { w.account.remove(w) })
	return true
}

// Release ends an admitted request. Served tells whether its time says
// something about the service time.
func (g *Grant) Release(served bool) {
	c := g.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settleLevel()
	c.running--
	g.account.running.Add(-1)
	if served {
		c.learn(g.account, c.clock.Now().Sub(g.start).Seconds())
	}
	c.pump()
}

// learn takes a service time in and corrects the account's charge by it, so
// that long requests cost their account more than short ones.
func (c *Controller) learn(a *account, took float64) {
	if c.mean == 0 {
		c.mean, c.deviation = took, took/2
		return
	}
	if a.count > 0 {
		charge := min(took/max(c.mean, 1e-9), maxCharge)
		a.start += (charge - 1) / a.weight
	}
	c.deviation += serviceWeight * (math.Abs(took-c.mean) - c.deviation)
	c.mean += serviceWeight * (took - c.mean)
}

// Waiting counts the requests that wait.
func (c *Controller) Waiting() int { return int(c.backlog.Load()) }

// Poke looks for room that came without a request ending, such as a backend
// server that joined.
func (c *Controller) Poke() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pump()
}
