// Package boottime provides a clock that also counts the time for which the VM is
// suspended. The monotonic clock of package time stops meanwhile, and the wall
// clock may jump.
//
// An Instant is a type of its own, so that it can't be compared with a time.Time.
package boottime

import "time"

// Instant is a point in time on a Clock of this process. The zero value means that
// no time is set; no Clock returns it.
type Instant struct{ sinceBoot time.Duration }

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return Instant{i.sinceBoot + d} }

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return i.sinceBoot - other.sinceBoot }

// Before reports whether i is earlier than other.
func (i Instant) Before(other Instant) bool { return i.sinceBoot < other.sinceBoot }

// After reports whether i is later than other.
func (i Instant) After(other Instant) bool { return i.sinceBoot > other.sinceBoot }

// IsZero reports whether no time is set.
func (i Instant) IsZero() bool { return i == Instant{} }

// String returns the time since the start of the clock.
func (i Instant) String() string { return i.sinceBoot.String() }

// Clock returns the current time. Implementations are safe for concurrent use.
type Clock interface {
	Now() Instant
}

// System returns the operating system's clock. Where it has none that counts
// suspensions, the monotonic clock is used.
func System() Clock { return systemClock{} }

type systemClock struct{}

// started is the origin of the fallback.
var started = time.Now()

// Now implements Clock.
func (systemClock) Now() Instant {
	if sinceBoot, ok := readSystem(); ok {
		return Instant{sinceBoot}
	}
	return Instant{time.Since(started) + 1}
}
