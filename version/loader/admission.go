package loader

import (
	"context"
	"sync"
	"time"

	"github.com/waxwingpost/waxwingpost/process/result"
)

const retryElsewhere = time.Second

// Enter admits one request that was routed for version, or refuses it as not
// run. Plain services pass an empty version. The caller must call leave once
// the request has ended.
func (c *Controller) Enter(version string) (leave func(), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil, result.Refuse(result.Draining, retryElsewhere, "agent %s is draining", c.cfg.Agent)
	}
	if !c.cfg.Plain && (c.served.version == "" || c.served.version != version) {
		return nil, result.Refuse(result.VersionMismatch, retryElsewhere,
			"routed for version %q, agent %s serves %q", version, c.cfg.Agent, c.served.version)
	}
	c.inFlight++
	var once sync.Once
	return func() { once.Do(c.leave) }, nil
}

func (c *Controller) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if c.inFlight == 0 {
		c.notify()
	}
}

// Close closes the admission check for good and waits until the requests in
// progress have ended or ctx ends.
func (c *Controller) Close(ctx context.Context) error {
	c.mu.Lock()
	c.closing = true
	c.shut("agent is draining")
	c.mu.Unlock()
	ticker := c.clock.NewTicker(c.cfg.PollInterval)
	defer ticker.Stop()
	for c.requests() > 0 {
		select {
		case <-ctx.Done():
			return result.New(result.Draining, "%d requests still in progress", c.requests())
		case <-ticker.Chan():
		}
	}
	return nil
}

func (c *Controller) requests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// shut closes the admission check. It is called with mu held.
func (c *Controller) shut(reason string) {
	if c.served.version == "" {
		return
	}
	c.log.Info("admission closed", "version", c.served.version, "reason", reason, "in_flight", c.inFlight)
	c.served = target{}
}

// open lets requests for the goal's version through. It is called with mu held.
func (c *Controller) open(goal target) {
	if c.served.version != goal.version {
		c.log.Info("serving", "version", goal.version, "fence", c.order.Fence.Index)
		c.scope.Counter("opened").Inc(1)
	}
	c.served = goal
}
