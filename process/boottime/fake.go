package boottime

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// Fake is a Clock for tests. It follows a monotonic clock, except that Suspend
// advances only the Fake. It is safe for concurrent use.
type Fake struct {
	monotonic clockwork.Clock
	origin    time.Time
	suspended atomic.Int64
}

// NewFake returns a Fake that follows a clock.
func NewFake(monotonic clockwork.Clock) *Fake {
	return &Fake{monotonic: monotonic, origin: monotonic.Now().Add(-time.Hour)}
}

// Now implements Clock.
func (f *Fake) Now() Instant {
	return Instant{f.monotonic.Since(f.origin) + time.Duration(f.suspended.Load())}
}

// Suspend simulates that the VM was suspended for d.
func (f *Fake) Suspend(d time.Duration) { f.suspended.Add(int64(d)) }
