package retry

import "time"

// Window bounds the repeated sends to one service in any span of its length,
// by the requests in the same span. It is one entry's part of a budget that all
// entries share. Not safe for concurrent use.
type Window struct {
	// Share is the part of the requests that may be repeated, Allowance what
	// may be repeated besides.
	Share     float64
	Allowance float64

	slot     time.Duration
	started  time.Time
	current  int
	requests [slots]int
	repeats  [slots]int
}

// slots is the number of parts that a window is counted in. The oldest part
// counts whole, so that the span is longer than the window and never shorter.
const slots = 12

// NewWindow returns a window of the given length.
func NewWindow(length time.Duration, now time.Time) *Window {
	return &Window{slot: length / (slots - 1), started: now}
}

// turn moves on to the part that now belongs to.
func (w *Window) turn(now time.Time) {
	for steps := 0; now.Sub(w.started) >= w.slot; steps++ {
		if steps > slots {
			w.started = now
			return
		}
		w.started = w.started.Add(w.slot)
		w.current = (w.current + 1) % slots
		w.requests[w.current], w.repeats[w.current] = 0, 0
	}
}

// Request counts a request of a caller.
func (w *Window) Request(now time.Time) {
	w.turn(now)
	w.requests[w.current]++
}

// Repeat takes one repeated send, or reports that the budget is spent.
func (w *Window) Repeat(now time.Time) bool {
	w.turn(now)
	requests, repeats := 0, 0
	for i := range slots {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	if float64(repeats+1) > w.Share*float64(requests)+w.Allowance {
		return false
	}
	w.repeats[w.current]++
	return true
}
