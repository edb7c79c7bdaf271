// Package inflight counts requests in progress and waits for their completion
// during a graceful shutdown.
package inflight

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// AdmitResult says whether a request was admitted.
type AdmitResult int

// Results of Counter.Admit.
const (
	Admitted AdmitResult = iota
	// Draining means that no new requests are admitted.
	Draining
	// Full means that the limit has been reached.
	Full
)

// Counter counts requests in progress. The zero value is ready to use. Safe for
// concurrent use.
type Counter struct {
	mu       sync.Mutex
	count    int
	draining bool
	// idle is closed when the count reaches zero; nil while no Drain waits.
	idle chan struct{}
}

// Admit admits a request unless the counter is draining or limit requests are
// in progress; zero or a negative limit means no limit. Each Admitted must be
// followed by a call of Done.
func (c *Counter) Admit(limit int) AdmitResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.draining:
		return Draining
	case limit > 0 && c.count >= limit:
		return Full
	default:
		c.count++
		return Admitted
	}
}

// Done marks the end of an admitted request.
func (c *Counter) Done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// Count returns the number of requests in progress.
func (c *Counter) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// Draining reports whether the counter refuses new requests.
func (c *Counter) Draining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// StartDrain makes the counter refuse new requests.
func (c *Counter) StartDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// Drain refuses new requests and waits until no request is in progress or ctx
// is done.
func (c *Counter) Drain(ctx context.Context) error {
	c.StartDrain()
	select {
	case <-c.idleSignal():
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%d requests still in progress", c.Count())
	}
}

func (c *Counter) idleSignal() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == 0 {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	return c.idle
}
