package admission

import (
	"math"
	"time"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// checkWait returns a refusal if a new request can't be queued and still be served
// before its deadline.
func (c *Controller) checkWait(a *account, req Request, now time.Time) error {
	wait := c.estimateWait(a).secondsBehind(a.waitingAhead(req.Rank))
	remaining := req.Deadline.Sub(now).Seconds()
	serviceTime := c.serviceTimeBound()
	retry := c.retryAfter(wait + serviceTime - remaining)
	switch {
	case c.waiting >= c.cfg.MaxQueue:
		return result.Refuse(result.QueueFull, retry, "the queue is full with %d requests", c.waiting)
	case remaining <= 0 || serviceTime > remaining:
		return result.Refuse(result.DeadlineTooShort, retry, "the service time is up to %s, the deadline leaves %s", toDuration(serviceTime), toDuration(remaining))
	case wait*c.cfg.WaitFactor+serviceTime > remaining:
		return result.Refuse(result.QueueFull, retry, "the expected wait is %s, the deadline leaves %s", toDuration(wait), toDuration(remaining))
	}
	return nil
}

// toDuration converts seconds to a duration, rounded to milliseconds.
func toDuration(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(time.Millisecond)
}

// retryAfter returns the retry delay for a request whose expected response exceeds
// its deadline by excess seconds, within the configured bounds.
func (c *Controller) retryAfter(excess float64) time.Duration {
	d := time.Duration(max(0, excess) * float64(time.Second))
	return min(max(d, c.cfg.RetryMin), c.cfg.RetryMax)
}

// serviceTimeBound returns the expected upper bound of the service time in seconds.
func (c *Controller) serviceTimeBound() float64 {
	return c.meanService + boundDeviations*c.serviceDeviation
}

// sampleRunning updates the mean number of running requests. It is called at the
// end of each request.
func (c *Controller) sampleRunning() {
	c.meanRunning += runningEWMAWeight * (float64(c.running) - c.meanRunning)
}

// runningEWMAWeight is the weight of the newest sample in meanRunning.
const runningEWMAWeight = 0.05

// completionRate returns the expected number of requests completed per second. The
// number of running requests is a measure of the servers' capacity, because they
// are full while requests wait.
func (c *Controller) completionRate() float64 {
	if c.meanService <= 0 {
		return math.Inf(1)
	}
	return max(1, c.meanRunning, float64(c.running)) / c.meanService
}

// waitEstimate holds the terms of the expected wait of one account's requests.
type waitEstimate struct {
	// completionRate is the number of requests completed per second.
	completionRate float64
	// shareFactor is the total weight of the competing accounts divided by the
	// account's own weight.
	shareFactor float64
	// totalWaiting counts the waiting requests of all accounts and the new one.
	totalWaiting float64
	// limitInterval is the time per request, in seconds, at the account's
	// concurrency limit; 0 without a limit.
	limitInterval float64
	// overLimit is the number of requests by which the account would exceed its
	// concurrency limit.
	overLimit int
}

// estimateWait returns the terms of the expected wait for one account. The wait is
// the shorter of two: behind all waiting requests at the full completion rate, or
// behind those of the account at its share of the rate. It is never shorter than
// the account's concurrency limit allows.
func (c *Controller) estimateWait(a *account) waitEstimate {
	waiting, others := c.competition(a)
	w := waitEstimate{completionRate: c.completionRate() * a.reach.fraction(), shareFactor: (a.weight + others) / a.weight, totalWaiting: float64(waiting + 1)}
	if a.maxConcurrent > 0 {
		w.limitInterval = c.meanService / float64(a.maxConcurrent)
		w.overLimit = max(0, int(a.running.Load())+1-a.maxConcurrent)
	}
	return w
}

// secondsBehind returns the expected wait in seconds of a request with the given
// number of requests of its own account ahead.
func (w waitEstimate) secondsBehind(ahead int) float64 {
	wait := min(float64(ahead+1)*w.shareFactor, w.totalWaiting) / w.completionRate
	return max(wait, float64(ahead+w.overLimit)*w.limitInterval)
}
