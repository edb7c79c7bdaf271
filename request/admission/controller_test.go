package admission

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/process/result"
)

func TestRefusalIsImmediateAndHasRetryAfter(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := NewController(Config{}, func() bool { return true }, clock, tally.NoopScope)
	limits := NewLimits(clock)
	request := func(deadline time.Duration, hasFreeSlot bool) Request {
		return Request{
			Account: "a", Weight: 1, Deadline: clock.Now().Add(deadline), Running: limits.Running("a"),
			TryClaim: func() bool { return hasFreeSlot },
		}
	}
	grant, err := c.Acquire(context.Background(), request(time.Second, true))
	if err != nil {
		t.Fatal(err)
	}
	clock.Advance(200 * time.Millisecond)
	grant.Release(true)
	// The fake clock does not advance, so a refusal that waits would never return.
	_, err = c.Acquire(context.Background(), request(100*time.Millisecond, false))
	e := result.From(err)
	if e == nil || e.Code != result.DeadlineTooShort || e.Ran != result.NotRun || e.RetryAfter <= 0 {
		t.Errorf("deadline below the service time: got error %v", err)
	}
}

func TestRateLimitRefusesImmediately(t *testing.T) {
	clock := clockwork.NewFakeClock()
	limits := NewLimits(clock)
	allowed := 0
	for range 100 {
		if err := limits.Allow("a", 10); err == nil {
			allowed++
		} else if e := result.From(err); e.Code != result.RateExceeded || e.RetryAfter <= 0 || e.Ran != result.NotRun {
			t.Fatal(err)
		}
	}
	if allowed != 10 {
		t.Errorf("%d of 100 simultaneous requests passed a limit of 10 per second", allowed)
	}
	clock.Advance(time.Second)
	if err := limits.Allow("a", 10); err != nil {
		t.Errorf("one second later: got error %v", err)
	}
}

func TestWaitingRequestsAreRefusedWhenNoServerIsUsable(t *testing.T) {
	usable := true
	s := newSim(1, 1, simMean, []load{{account: "a", weight: 1, perSecond: 1, deadline: time.Minute}})
	s.c.hasBackend = func() bool { return usable }
	s.arrive(0)
	for range 5 {
		s.arrive(0)
	}
	usable = false
	s.c.sweep()
	s.collect()
	if s.outcomes[0].dropped != 5 {
		t.Errorf("%d of 5 waiting requests were refused", s.outcomes[0].dropped)
	}
}

// TestEveryRequestIsResolved runs random steps on a controller and checks its
// invariants after each step.
func TestEveryRequestIsResolved(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("all requests resolved, concurrency bounded, counters consistent", prop.ForAll(runSteps, gen.SliceOfN(200, gen.IntRange(0, 9))))
	properties.TestingRun(t)
}

// runSteps runs the steps, drains the controller and reports whether all invariants
// held.
func runSteps(steps []int) bool {
	const slots = 3
	names := []string{"a", "b", "c"}
	loads := make([]load, 0, len(names))
	for i, name := range names {
		loads = append(loads, load{account: name, weight: 1 + i, maxConcurrent: i, rank: i, perSecond: 1, deadline: time.Second})
	}
	s := newSim(1, slots, 40*time.Millisecond, loads)
	for _, step := range steps {
		switch {
		case step < 6:
			s.arriveOnce(step % len(loads))
		case step < 9 && len(s.events) > 0:
			s.stepOnce()
		default:
			s.clock.Advance(30 * time.Millisecond)
			s.c.sweep()
		}
		s.collect()
		if s.busy > slots || s.busy != s.c.running || s.c.waiting != len(s.waiting) {
			return false
		}
	}
	for range 1000 {
		s.stepOnce()
		s.c.sweep()
		s.collect()
	}
	resolved, offered := 0, 0
	for _, o := range s.outcomes {
		offered += o.offered
		resolved += o.served + o.late + o.refused + o.dropped
	}
	return len(s.waiting) == 0 && s.busy == 0 && resolved == offered
}
