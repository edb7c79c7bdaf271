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

func TestRefusalsComeAtOnceWithATimeToComeBack(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := NewController(Config{}, func() bool { return true }, clock, tally.NoopScope)
	limits := NewLimits(clock)
	request := func(deadline time.Duration, room bool) Request {
		return Request{
			Account: "a", Share: 1, Deadline: clock.Now().Add(deadline), Running: limits.Running("a"),
			Try: func() bool { return room },
		}
	}
	grant, err := c.Acquire(context.Background(), request(time.Second, true))
	if err != nil {
		t.Fatal(err)
	}
	clock.Advance(200 * time.Millisecond)
	grant.Release(true)
	// Nothing advances the clock: a refusal that waited would never return.
	_, err = c.Acquire(context.Background(), request(100*time.Millisecond, false))
	e := result.From(err)
	if e == nil || e.Code != result.DeadlineTooShort || e.Ran != result.NotRun || e.RetryAfter <= 0 {
		t.Errorf("a deadline below the service time: %v", err)
	}
}

func TestRateIsRefusedAtOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	limits := NewLimits(clock)
	taken := 0
	for range 100 {
		if err := limits.Take("a", 10); err == nil {
			taken++
		} else if e := result.From(err); e.Code != result.RateExceeded || e.RetryAfter <= 0 || e.Ran != result.NotRun {
			t.Fatal(err)
		}
	}
	if taken != 10 {
		t.Errorf("%d of 100 at once passed a rate of 10 a second", taken)
	}
	clock.Advance(time.Second)
	if err := limits.Take("a", 10); err != nil {
		t.Errorf("a second later: %v", err)
	}
}

func TestWaitingRequestsAreRefusedAtOnceWhenNoServerIsLeft(t *testing.T) {
	usable := true
	s := newSim(1, 1, simMean, []load{{account: "a", share: 1, perSecond: 1, deadline: time.Minute}})
	s.c.usable = func() bool { return usable }
	s.arrive(0)
	for range 5 {
		s.arrive(0)
	}
	usable = false
	s.c.sweep()
	s.collect()
	if s.out[0].dropped != 5 {
		t.Errorf("%d of 5 waiting requests were refused", s.out[0].dropped)
	}
}

// TestEveryRequestIsDecided drives a controller by random steps and checks
// what must hold after each of them.
func TestEveryRequestIsDecided(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("decided, bounded, consistent", prop.ForAll(runSteps, gen.SliceOfN(200, gen.IntRange(0, 9))))
	properties.TestingRun(t)
}

func runSteps(ops []int) bool {
	const slots = 3
	names := []string{"a", "b", "c"}
	loads := make([]load, 0, len(names))
	for i, name := range names {
		loads = append(loads, load{account: name, share: 1 + i, maxConcurrent: i, rank: i, perSecond: 1, deadline: time.Second})
	}
	s := newSim(1, slots, 40*time.Millisecond, loads)
	for _, op := range ops {
		switch {
		case op < 6:
			s.arriveOnce(op % len(loads))
		case op < 9 && len(s.events) > 0:
			s.stepOnce()
		default:
			s.clock.Advance(30 * time.Millisecond)
			s.c.sweep()
		}
		s.collect()
		if s.busy > slots || s.busy != s.c.running || s.c.waiting != len(s.wait) {
			return false
		}
	}
	for range 1000 {
		s.stepOnce()
		s.c.sweep()
		s.collect()
	}
	decided, offered := 0, 0
	for _, o := range s.out {
		offered += o.offered
		decided += o.served + o.late + o.refused + o.dropped
	}
	return len(s.wait) == 0 && s.busy == 0 && decided == offered
}
