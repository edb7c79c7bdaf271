package loader

import (
	"context"
	"sync"
	"time"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// refusalRetryAfter is the Retry-After of a refused request.
const refusalRetryAfter = time.Second

// Admit admits one request that was routed for version, or refuses it as not
// run: with Draining once Close was called, with VersionMismatch if another
// version or none is being served. Plain services pass an empty version. The
// caller must call done once the request has ended; further calls have no effect.
func (c *Controller) Admit(version string) (done func(), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil, result.Refuse(result.Draining, refusalRetryAfter, "agent %s is draining", c.cfg.Agent)
	}
	if !c.cfg.Plain && (c.serving.version == "" || c.serving.version != version) {
		return nil, result.Refuse(result.VersionMismatch, refusalRetryAfter,
			"request is for version %q, but agent %s serves %q", version, c.cfg.Agent, c.serving.version)
	}
	c.inFlight++
	var once sync.Once
	return func() { once.Do(c.finishRequest) }, nil
}

func (c *Controller) finishRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if c.inFlight == 0 {
		c.notify()
	}
}

// Close closes the admission check permanently and waits until the requests in
// progress have ended. It fails with Draining if ctx ends first.
func (c *Controller) Close(ctx context.Context) error {
	c.mu.Lock()
	c.closing = true
	c.closeAdmission("agent is draining")
	c.mu.Unlock()
	ticker := c.clock.NewTicker(c.cfg.PollInterval)
	defer ticker.Stop()
	for c.inFlightRequests() > 0 {
		select {
		case <-ctx.Done():
			return result.New(result.Draining, "%d requests still in progress", c.inFlightRequests())
		case <-ticker.Chan():
		}
	}
	return nil
}

func (c *Controller) inFlightRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// closeAdmission closes the admission check and logs the reason. It is called
// with mu held.
func (c *Controller) closeAdmission(reason string) {
	if c.serving.version == "" {
		return
	}
	c.log.Info("admission closed", "version", c.serving.version, "reason", reason, "in_flight", c.inFlight)
	c.serving = target{}
}

// openAdmission lets requests for the desired version through. It is called with
// mu held.
func (c *Controller) openAdmission(desired target) {
	if c.serving.version != desired.version {
		c.log.Info("serving", "version", desired.version, "fence", c.order.Fence.Index)
		c.scope.Counter("opened").Inc(1)
	}
	c.serving = desired
}
