package admission

import (
	"time"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// noBackendRetry is when to come back while no backend server is left.
const noBackendRetry = 500 * time.Millisecond

func (c *Controller) armSweep() {
	if c.sweeping {
		return
	}
	c.sweeping = true
	c.clock.AfterFunc(c.cfg.SweepInterval, c.sweep)
}

// sweep looks for room and refuses those that can't be served in time any
// more, because others went ahead or answers take longer than expected.
func (c *Controller) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweeping = false
	c.pump()
	if c.waiting > 0 && !c.usable() {
		c.refuseAll()
	}
	now := c.clock.Now()
	for _, a := range append([]*account(nil), c.active...) {
		c.sweepAccount(a, now)
	}
	c.queued.Update(float64(c.waiting))
	if c.waiting > 0 {
		c.armSweep()
	}
}

func (c *Controller) sweepAccount(a *account, now time.Time) {
	position := 0
	var late []*waiter
	need := c.serviceBound()
	wait := c.waits(a)
	for i := range a.queues {
		for _, w := range a.queues[i].waiters {
			if c.cfg.HopeFactor*wait.behind(position)+need > w.deadline.Sub(now).Seconds() {
				late = append(late, w)
				continue
			}
			position++
		}
	}
	for _, w := range late {
		c.dequeued(a, func() { a.remove(w) })
		c.dropped.Inc(1)
		retry := c.retryAfter(wait.behind(a.count))
		c.decide(w, result.Refuse(result.QueueFull, retry, "the request can't be served in time any more"))
	}
}

// refuseAll refuses every waiting request: no backend server is left.
func (c *Controller) refuseAll() {
	for _, a := range append([]*account(nil), c.active...) {
		for a.count > 0 {
			q := &a.queues[0]
			w := q.waiters[0]
			c.dequeued(a, func() { a.pop(q) })
			c.dropped.Inc(1)
			c.decide(w, NoBackend())
		}
	}
}

// NoBackend is the refusal of a request for which no backend server is left.
func NoBackend() error {
	return result.Refuse(result.NoBackend, noBackendRetry, "no backend server takes requests now")
}
