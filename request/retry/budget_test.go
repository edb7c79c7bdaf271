package retry

import (
	"testing"
	"time"
)

func TestRetriesStayWithinTheirShare(t *testing.T) {
	b := NewBudget()
	retries := 0
	const requests = 10000
	for range requests {
		b.Request(0.1)
		for range 3 {
			if b.Retry() {
				retries++
			}
		}
	}
	if limit := requests/10 + reserve; retries > limit || retries < limit-2 {
		t.Errorf("%d retries for %d requests", retries, requests)
	}
}

func TestWindowBoundsRepeatsInAnySpan(t *testing.T) {
	const length = 10 * time.Second
	now := time.Unix(1000, 0)
	w := NewWindow(length, now)
	w.Share, w.Allowance = 0.2, 5
	type event struct{ at, requests, repeats int }
	var events []event
	for step := range 400 { // 40 s in steps of 100 ms, the load comes and goes
		e := event{at: step}
		for range (step / 40 % 3) * 4 {
			w.Request(now)
			e.requests++
		}
		for range 3 {
			if w.Repeat(now) {
				e.repeats++
			}
		}
		events = append(events, e)
		now = now.Add(100 * time.Millisecond)
	}
	for from := range events {
		requests, repeats := 0, 0
		for _, e := range events[max(0, from-10):min(len(events), from+100)] {
			requests += e.requests
		}
		for _, e := range events[from:min(len(events), from+100)] {
			repeats += e.repeats
		}
		if limit := 0.2*float64(requests) + 5; float64(repeats) > limit {
			t.Fatalf("%d repeats from step %d on, the limit is %.1f", repeats, from, limit)
		}
	}
}

func TestQuietTimeDoesNotSaveUpRepeats(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWindow(10*time.Second, now)
	w.Allowance = 3
	now = now.Add(time.Hour)
	n := 0
	for range 10 {
		if w.Repeat(now) {
			n++
		}
	}
	if n != 3 {
		t.Errorf("%d repeats after an hour", n)
	}
}
