package retry

import "time"

// Window limits the retries to one service in any time span of the window's
// length, relative to the requests in the same span. It is one entry's part of a
// budget that all entries share. Not safe for concurrent use.
type Window struct {
	// Share is the fraction of the requests that may be retried. Allowance is the
	// number of retries allowed in addition.
	Share     float64
	Allowance float64

	slotLength time.Duration
	slotStart  time.Time
	current    int
	requests   [windowSlots]int
	retries    [windowSlots]int
}

// windowSlots is the number of time slots in which a window is counted. The oldest
// slot counts completely, so that the span is never shorter than the window.
const windowSlots = 12

// NewWindow returns an empty window of the given length.
func NewWindow(length time.Duration, now time.Time) *Window {
	return &Window{slotLength: length / (windowSlots - 1), slotStart: now}
}

// advance makes the slot of now the current one and clears the slots between.
func (w *Window) advance(now time.Time) {
	for steps := 0; now.Sub(w.slotStart) >= w.slotLength; steps++ {
		if steps > windowSlots {
			w.slotStart = now
			return
		}
		w.slotStart = w.slotStart.Add(w.slotLength)
		w.current = (w.current + 1) % windowSlots
		w.requests[w.current], w.retries[w.current] = 0, 0
	}
}

// RecordRequest counts a request of a caller.
func (w *Window) RecordRequest(now time.Time) {
	w.advance(now)
	w.requests[w.current]++
}

// TryRetry counts a retry, or returns false if the budget is spent.
func (w *Window) TryRetry(now time.Time) bool {
	if !w.MayRetry(now) {
		return false
	}
	w.retries[w.current]++
	return true
}

// MayRetry reports whether the budget allows another retry.
func (w *Window) MayRetry(now time.Time) bool {
	w.advance(now)
	requests, retries := 0, 0
	for i := range windowSlots {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return float64(retries+1) <= w.Share*float64(requests)+w.Allowance
}
