package boottime

import "time"

// Monitor detects suspensions of the VM. It is not safe for concurrent use.
type Monitor struct {
	monotonic time.Time
	boot      Instant
}

// Suspended returns for how long the VM was suspended since the last call, which is
// 0 at the first one. It must be called with the current times.
func (m *Monitor) Suspended(monotonic time.Time, boot Instant) time.Duration {
	var gap time.Duration
	if !m.boot.IsZero() {
		gap = boot.Sub(m.boot) - monotonic.Sub(m.monotonic)
	}
	m.monotonic, m.boot = monotonic, boot
	return max(gap, 0)
}
