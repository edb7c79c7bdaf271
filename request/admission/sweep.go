package admission

import (
	"time"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// noBackendRetryAfter is the retry delay while no backend server accepts requests.
const noBackendRetryAfter = 500 * time.Millisecond

// scheduleSweep schedules the next sweep unless one is already scheduled.
func (c *Controller) scheduleSweep() {
	if c.sweepScheduled {
		return
	}
	c.sweepScheduled = true
	c.clock.AfterFunc(c.cfg.SweepInterval, c.sweep)
}

// sweep admits waiting requests for which a slot is free. It refuses those that can
// no longer be served in time because others went ahead or responses take longer
// than expected.
func (c *Controller) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweepScheduled = false
	c.dispatchWaiting()
	if c.waiting > 0 && !c.hasBackend() {
		c.refuseAll()
	}
	now := c.clock.Now()
	for _, a := range append([]*account(nil), c.active...) {
		c.refuseUnreachable(a)
		c.sweepAccount(a, now)
	}
	c.queued.Update(float64(c.waiting))
	if c.waiting > 0 {
		c.scheduleSweep()
	}
}

// sweepAccount refuses the waiting requests of an account that can no longer be
// served in time.
func (c *Controller) sweepAccount(a *account, now time.Time) {
	ahead := 0
	var expired []*waiter
	serviceTime := c.serviceTimeBound()
	estimate := c.estimateWait(a)
	for i := range a.queues {
		for _, w := range a.queues[i].waiters {
			if c.cfg.RecheckFactor*estimate.secondsBehind(ahead)+serviceTime > w.deadline.Sub(now).Seconds() {
				expired = append(expired, w)
				continue
			}
			ahead++
		}
	}
	for _, w := range expired {
		c.dequeue(a, func() { a.remove(w) })
		c.dropped.Inc(1)
		retry := c.retryAfter(estimate.secondsBehind(a.waiting))
		c.resolve(w, result.Refuse(result.QueueFull, retry, "the request can no longer be served in time"))
	}
}

// refuseAll refuses all waiting requests because no backend server accepts requests.
func (c *Controller) refuseAll() {
	for _, a := range append([]*account(nil), c.active...) {
		for a.waiting > 0 {
			q := &a.queues[0]
			w := q.waiters[0]
			c.dequeue(a, func() { a.pop(q) })
			c.dropped.Inc(1)
			c.resolve(w, NoBackend())
		}
	}
}

// NoBackend returns the refusal for a request while no backend server accepts
// requests.
func NoBackend() error {
	return result.Refuse(result.NoBackend, noBackendRetryAfter, "no backend server accepts requests")
}
