package boottime

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func TestSystemClockAdvancesWithMonotonicClock(t *testing.T) {
	clock := System()
	boot, monotonic := clock.Now(), time.Now()
	time.Sleep(30 * time.Millisecond)
	elapsed, want := clock.Now().Sub(boot), time.Since(monotonic)
	if boot.IsZero() || elapsed < 30*time.Millisecond || elapsed > want+time.Second {
		t.Errorf("started at %v, advanced by %v in %v", boot, elapsed, want)
	}
}

func TestMonitorReportsSuspensionOnce(t *testing.T) {
	monotonic := clockwork.NewFakeClock()
	boot := NewFake(monotonic)
	var m Monitor
	read := func() time.Duration { return m.Suspended(monotonic.Now(), boot.Now()) }
	if got := read(); got != 0 {
		t.Errorf("the first reading reports %v", got)
	}
	monotonic.Advance(time.Second)
	boot.Suspend(3 * time.Second)
	if got := read(); got != 3*time.Second {
		t.Errorf("a suspension of 3s is reported as %v", got)
	}
	monotonic.Advance(time.Second)
	if got := read(); got != 0 {
		t.Errorf("the suspension is reported again as %v", got)
	}
}
