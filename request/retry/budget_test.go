package retry

import (
	"testing"
	"time"
)

func TestRetriesAreLimitedToShare(t *testing.T) {
	b := NewBudget()
	retries := 0
	const requests = 10000
	for range requests {
		b.RecordRequest(0.1)
		for range 3 {
			if b.TryRetry() {
				retries++
			}
		}
	}
	if limit := requests/10 + initialTokens; retries > limit || retries < limit-2 {
		t.Errorf("%d retries for %d requests", retries, requests)
	}
}

func TestWindowLimitsRetriesInAnySpan(t *testing.T) {
	const length = 10 * time.Second
	now := time.Unix(1000, 0)
	w := NewWindow(length, now)
	w.Share, w.Allowance = 0.2, 5
	type event struct{ at, requests, retries int }
	var events []event
	for step := range 400 { // 40 s in steps of 100 ms with changing load
		e := event{at: step}
		for range (step / 40 % 3) * 4 {
			w.RecordRequest(now)
			e.requests++
		}
		for range 3 {
			if w.TryRetry(now) {
				e.retries++
			}
		}
		events = append(events, e)
		now = now.Add(100 * time.Millisecond)
	}
	for from := range events {
		requests, retries := 0, 0
		for _, e := range events[max(0, from-10):min(len(events), from+100)] {
			requests += e.requests
		}
		for _, e := range events[from:min(len(events), from+100)] {
			retries += e.retries
		}
		if limit := 0.2*float64(requests) + 5; float64(retries) > limit {
			t.Fatalf("%d retries from step %d on, the limit is %.1f", retries, from, limit)
		}
	}
}

func TestRetriesDoNotAccumulateWhileIdle(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWindow(10*time.Second, now)
	w.Allowance = 3
	now = now.Add(time.Hour)
	n := 0
	for range 10 {
		if w.TryRetry(now) {
			n++
		}
	}
	if n != 3 {
		t.Errorf("%d retries after an idle hour, want 3", n)
	}
}
