package admission

import (
	"math"
	"time"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// refusal returns why a request can't wait, or nil when it can.
func (c *Controller) refusal(a *account, req Request, now time.Time) error {
	wait := c.waits(a).behind(a.ahead(req.Rank))
	left := req.Deadline.Sub(now).Seconds()
	need := c.serviceBound()
	retry := c.retryAfter(wait + need - left)
	switch {
	case c.waiting >= c.cfg.MaxQueue:
		return result.Refuse(result.QueueFull, retry, "%d requests wait", c.waiting)
	case left <= 0 || need > left:
		return result.Refuse(result.DeadlineTooShort, retry, "answers take %s, the deadline leaves %s", seconds(need), seconds(left))
	case wait*c.cfg.WaitFactor+need > left:
		return result.Refuse(result.QueueFull, retry, "the expected wait is %s, the deadline leaves %s", seconds(wait), seconds(left))
	}
	return nil
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(time.Millisecond)
}

// retryAfter tells a time to come back at which there is likely room.
func (c *Controller) retryAfter(excess float64) time.Duration {
	d := time.Duration(max(0, excess) * float64(time.Second))
	return min(max(d, c.cfg.RetryMin), c.cfg.RetryMax)
}

// serviceBound is the time that a request may well take once it goes.
func (c *Controller) serviceBound() float64 {
	return c.mean + deviations*c.deviation
}

// settleLevel follows how many requests run. It is called at the end of each.
func (c *Controller) settleLevel() {
	c.level += levelWeight * (float64(c.running) - c.level)
}

// levelWeight is the weight of the newest sample of the running requests.
const levelWeight = 0.05

// rate is how many requests end in a second. While requests wait as many run
// as the servers take.
func (c *Controller) rate() float64 {
	if c.mean <= 0 {
		return math.Inf(1)
	}
	return max(1, c.level, float64(c.running)) / c.mean
}

// waits is what the wait of an account's requests depends on.
type waits struct {
	rate    float64
	stretch float64
	all     float64
	limited float64
	excess  int
}

// waits gathers the terms of the expected wait for one account: behind all
// requests that wait, or behind those of its own account at the account's
// share of the rate, whichever ends first; and never ahead of what the
// account's own concurrency lets through.
func (c *Controller) waits(a *account) waits {
	total := a.weight
	for _, other := range c.active {
		if other != a {
			total += other.weight
		}
	}
	w := waits{rate: c.rate(), stretch: total / a.weight, all: float64(c.waiting + 1)}
	if a.maxConcurrent > 0 {
		w.limited = c.mean / float64(a.maxConcurrent)
		w.excess = max(0, int(a.running.Load())+1-a.maxConcurrent)
	}
	return w
}

// behind returns the expected wait in seconds of a request with so many of
// its own account ahead.
func (w waits) behind(ahead int) float64 {
	wait := min(float64(ahead+1)*w.stretch, w.all) / w.rate
	return max(wait, float64(ahead+w.excess)*w.limited)
}
