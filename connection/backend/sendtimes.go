package backend

import (
	"sync"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

// SendTimes are the times at which the first and the last byte of a request were passed to the
// operating system. Safe for concurrent use.
type SendTimes struct {
	mu          sync.Mutex
	first, last boottime.Instant
}

// Get returns the times, which are zero if the bytes were not sent.
func (t *SendTimes) Get() (first, last boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.first, t.last
}

// begin records that the first byte is sent now.
func (t *SendTimes) begin(clock boottime.Clock) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.first = clock.Now()
}

// end records that the last byte was sent, unless sending failed.
func (t *SendTimes) end(clock boottime.Clock, err error) {
	if t == nil || err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last = clock.Now()
}
