// Package inflight counts requests in progress and waits for their end at a
// planned stop.
package inflight

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request was counted in.
type Verdict int

// Verdicts.
const (
	Entered Verdict = iota
	// Draining means that nothing new is taken any more.
	Draining
	// Full means that the limit is reached.
	Full
)

// Counter counts requests in progress. The zero value is ready; all methods
// are safe for concurrent use.
type Counter struct {
	mu       sync.Mutex
	count    int
	draining bool
	// idle is closed when the count falls to zero; nil while nobody waits.
	idle chan struct{}
}

// Enter counts a request in unless the counter drains or holds limit requests;
// a limit of zero or less is none. Leave must follow each Entered.
func (c *Counter) Enter(limit int) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.draining:
		return Draining
	case limit > 0 && c.count >= limit:
		return Full
	default:
		c.count++
		return Entered
	}
}

// Leave counts a request out.
func (c *Counter) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// Count returns how many requests are in progress.
func (c *Counter) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// Draining reports whether nothing new is taken any more.
func (c *Counter) Draining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// StartDrain takes nothing new from now on.
func (c *Counter) StartDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// Drain takes nothing new and waits for the requests in progress, or for the
// end of ctx.
func (c *Counter) Drain(ctx context.Context) error {
	c.StartDrain()
	select {
	case <-c.whenIdle():
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%d requests still in progress", c.Count())
	}
}

func (c *Counter) whenIdle() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	return c.idle
}
