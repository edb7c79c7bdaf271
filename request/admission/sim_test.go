package admission

import (
	"container/heap"
	"flag"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
)

var seeds = flag.Int("seeds", 2, "number of seeds for each simulated run")

// load is the simulated traffic of one account and priority.
type load struct {
	account       string
	weight        int
	maxConcurrent int
	rank          int
	perSecond     float64
	deadline      time.Duration
}

// outcome counts the results of one load.
type outcome struct {
	offered, served, late, refused, dropped int
	latencies                               []time.Duration
	// dropWaits lists how long dropped requests waited for their refusal.
	dropWaits []time.Duration
}

func (o *outcome) p95() time.Duration {
	if len(o.latencies) == 0 {
		return 0
	}
	slices.Sort(o.latencies)
	return o.latencies[len(o.latencies)*95/100]
}

// sim runs a controller in front of servers with a number of slots, on a fake
// clock.
type sim struct {
	c           *Controller
	clock       *clockwork.FakeClock
	rnd         *rand.Rand
	slots       int
	busy        int
	maxBusy     int
	meanService time.Duration
	limits      *Limits
	events      eventHeap
	waiting     []*pending
	outcomes    []outcome
	loads       []load
}

// pending is a request that waits at the controller.
type pending struct {
	w       *waiter
	load    int
	arrived time.Time
}

// event is an action at a time of the fake clock.
type event struct {
	at time.Time
	do func()
	// arrival is set on the arrival of a load's next request.
	arrival bool
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

const simSweepInterval = 10 * time.Millisecond

func newSim(seed uint64, slots int, meanService time.Duration, loads []load) *sim {
	s := &sim{
		clock: clockwork.NewFakeClock(), rnd: rand.New(rand.NewPCG(seed, 7)), slots: slots, meanService: meanService,
		loads: loads, outcomes: make([]outcome, len(loads)),
	}
	s.limits = NewLimits(s.clock)
	// The simulation calls sweep itself, in the order of its events.
	cfg := Config{SweepInterval: 24 * time.Hour}
	s.c = NewController(cfg, func() bool { return true }, s.clock, tally.NoopScope)
	return s
}

// schedule runs do after d.
func (s *sim) schedule(d time.Duration, do func()) {
	heap.Push(&s.events, event{at: s.clock.Now().Add(d), do: do})
}

// scheduleArrival schedules the next request of load i.
func (s *sim) scheduleArrival(i int) {
	heap.Push(&s.events, event{at: s.clock.Now().Add(s.expDuration(s.meanArrivalInterval(i))), do: func() { s.arrive(i) }, arrival: true})
}

// expDuration returns an exponentially distributed duration.
func (s *sim) expDuration(mean time.Duration) time.Duration {
	return time.Duration(s.rnd.ExpFloat64() * float64(mean))
}

// run simulates all loads for a span.
func (s *sim) run(span time.Duration) {
	for i := range s.loads {
		s.scheduleArrival(i)
	}
	s.schedule(simSweepInterval, s.sweep)
	end := s.clock.Now().Add(span)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(event)
		s.clock.Advance(e.at.Sub(s.clock.Now()))
		e.do()
		s.collect()
	}
}

func (s *sim) meanArrivalInterval(i int) time.Duration {
	return time.Duration(float64(time.Second) / s.loads[i].perSecond)
}

func (s *sim) sweep() {
	s.c.sweep()
	s.schedule(simSweepInterval, s.sweep)
}

// arrive submits a request of load i and schedules the next one.
func (s *sim) arrive(i int) {
	s.scheduleArrival(i)
	l := s.loads[i]
	s.outcomes[i].offered++
	now := s.clock.Now()
	w, grant, err := s.c.submit(Request{
		Account: l.account, Weight: l.weight, MaxConcurrent: l.maxConcurrent, Rank: l.rank,
		Deadline: now.Add(l.deadline), Running: s.limits.Running(l.account), TryClaim: s.claimSlot,
	})
	switch {
	case err != nil:
		s.outcomes[i].refused++
	case grant != nil:
		s.serve(i, grant, now)
	default:
		s.waiting = append(s.waiting, &pending{w: w, load: i, arrived: now})
	}
}

func (s *sim) claimSlot() bool {
	if s.busy >= s.slots {
		return false
	}
	s.busy++
	s.maxBusy = max(s.maxBusy, s.busy)
	return true
}

// serve schedules the end of an admitted request.
func (s *sim) serve(i int, g *Grant, arrived time.Time) {
	s.schedule(s.meanService/2+s.expDuration(s.meanService/2), func() {
		s.busy--
		g.Release(true)
		took := s.clock.Now().Sub(arrived)
		s.outcomes[i].latencies = append(s.outcomes[i].latencies, took)
		if took <= s.loads[i].deadline {
			s.outcomes[i].served++
		} else {
			s.outcomes[i].late++
		}
	})
}

// collect handles the waiting requests that were resolved.
func (s *sim) collect() {
	s.waiting = slices.DeleteFunc(s.waiting, func(p *pending) bool {
		select {
		case err := <-p.w.decision:
			if err != nil {
				s.outcomes[p.load].dropped++
				s.outcomes[p.load].dropWaits = append(s.outcomes[p.load].dropWaits, s.clock.Now().Sub(p.arrived))
				return true
			}
			s.serve(p.load, &Grant{c: s.c, account: p.w.account, start: s.clock.Now()}, p.arrived)
			return true
		default:
			return false
		}
	})
}

// Capacity of the simulated servers: 20 slots with a mean service time of 50 ms
// serve 400 requests per second.
const (
	simSlots    = 20
	simMean     = 50 * time.Millisecond
	simCapacity = 400.0
	simSpan     = 10 * time.Second
	simDeadline = time.Second
)

// eachSeed runs a simulation once per seed.
func eachSeed(t *testing.T, run func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range *seeds {
		t.Logf("seed %d; reproduce with -seeds %d", seed, seed+1)
		run(t, uint64(seed))
	}
}

func TestAccountAtTenTimesItsShareDoesNotStarveOthers(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		share := simCapacity / 5
		loads := []load{{account: "big", weight: 1, rank: 5, perSecond: 10 * share, deadline: simDeadline}}
		for _, name := range []string{"a", "b", "c", "d"} {
			loads = append(loads, load{account: name, weight: 1, perSecond: 0.95 * share, deadline: simDeadline})
		}
		s := newSim(seed, simSlots, simMean, loads)
		s.run(simSpan)
		total := 0
		for i, o := range s.outcomes {
			total += o.served
			if i > 0 && float64(o.served) < 0.95*float64(o.offered) {
				t.Errorf("account %s: %d of %d requests were served", loads[i].account, o.served, o.offered)
			}
		}
		if minServed := 0.95 * simCapacity * simSpan.Seconds(); float64(total) < minServed {
			t.Errorf("%d requests were served, the capacity is %.0f", total, minServed/0.95)
		}
	})
}

func TestGoodputStaysNearCapacityUnderOverload(t *testing.T) {
	for _, factor := range []float64{2, 4} {
		eachSeed(t, func(t *testing.T, seed uint64) {
			var loads []load
			for _, name := range []string{"a", "b", "c", "d"} {
				loads = append(loads, load{account: name, weight: 1, perSecond: factor * simCapacity / 4, deadline: simDeadline})
			}
			s := newSim(seed, simSlots, simMean, loads)
			s.run(simSpan)
			served, late, dropped, refused := 0, 0, 0, 0
			for i := range s.outcomes {
				o := &s.outcomes[i]
				served, late, dropped, refused = served+o.served, late+o.late, dropped+o.dropped, refused+o.refused
				if p95 := o.p95(); p95 > simDeadline {
					t.Errorf("%gx: p95 latency of admitted requests is %s", factor, p95)
				}
			}
			if minServed := 0.95 * simCapacity * simSpan.Seconds(); float64(served) < minServed {
				t.Errorf("%gx: %d requests were served, the capacity is %.0f (late %d)", factor, served, minServed/0.95, late)
			}
			if dropped*20 > refused {
				t.Errorf("%gx: %d requests waited before their refusal, %d were refused at once", factor, dropped, refused)
			}
		})
	}
}

func TestHigherPriorityGoesFirstWithoutStarvingTheLowest(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		loads := []load{
			{account: "a", weight: 1, rank: 10, perSecond: 0.8 * simCapacity, deadline: simDeadline},
			{account: "a", weight: 1, rank: 0, perSecond: simCapacity, deadline: simDeadline},
		}
		s := newSim(seed, simSlots, simMean, loads)
		s.run(simSpan)
		high, low := &s.outcomes[0], &s.outcomes[1]
		if float64(high.served) < 0.95*float64(high.offered) {
			t.Errorf("higher priority: %d of %d requests were served", high.served, high.offered)
		}
		if high.p95() > low.p95() {
			t.Errorf("p95 latency: higher priority %s, lower %s", high.p95(), low.p95())
		}
		if float64(low.served) < 0.1*simCapacity*simSpan.Seconds() {
			t.Errorf("lower priority: %d requests were served in %s", low.served, simSpan)
		}
	})
	// The lower priority still runs when the higher one alone exceeds the capacity.
	s := newSim(1, simSlots, simMean, []load{
		{account: "a", weight: 1, rank: 10, perSecond: 3 * simCapacity, deadline: simDeadline},
		{account: "a", weight: 1, rank: 0, perSecond: simCapacity / 4, deadline: 10 * simDeadline},
	})
	s.run(simSpan)
	if minServed := simCapacity * simSpan.Seconds() / DefaultLowestEvery / 2; float64(s.outcomes[1].served) < minServed {
		t.Errorf("lower priority: %d requests were served, want at least %.0f", s.outcomes[1].served, minServed)
	}
}

func TestHighPriorityAccountGoesBeforeOthers(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		loads := []load{{account: "kiosk", weight: 1, rank: 10, perSecond: 0.15 * simCapacity, deadline: simDeadline}}
		for _, name := range []string{"a", "b", "c", "d"} {
			loads = append(loads, load{account: name, weight: 1, perSecond: 0.5 * simCapacity, deadline: simDeadline})
		}
		s := newSim(seed, simSlots, simMean, loads)
		s.run(simSpan)
		prioritized, other := &s.outcomes[0], &s.outcomes[1]
		if prioritized.served < prioritized.offered*99/100 {
			t.Errorf("high priority: %d of %d requests were served", prioritized.served, prioritized.offered)
		}
		if prioritized.p95() > other.p95()/2 {
			t.Errorf("p95 latency: high priority %s, other accounts %s", prioritized.p95(), other.p95())
		}
	})
}

func TestWaitingRequestsAreRefusedEarlyWhenServersSlowDown(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		loads := []load{{account: "a", weight: 1, perSecond: simCapacity, deadline: simDeadline}}
		s := newSim(seed, simSlots, simMean, loads)
		s.run(5 * time.Second)
		s.meanService = 10 * simMean
		s.run(10 * time.Second)
		for _, wait := range s.outcomes[0].dropWaits {
			if wait > simDeadline*9/10 {
				t.Errorf("a request waited %s of its deadline of %s before it was refused", wait, simDeadline)
				break
			}
		}
		if s.outcomes[0].dropped == 0 {
			t.Error("no waiting request was refused: the run did not exercise the check")
		}
	})
}

func TestAccountConcurrencyLimitIsEnforced(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		loads := []load{
			{account: "a", weight: 1, maxConcurrent: 4, perSecond: simCapacity, deadline: simDeadline},
			{account: "b", weight: 1, perSecond: 0.7 * simCapacity, deadline: simDeadline},
		}
		s := newSim(seed, simSlots, simMean, loads)
		maxRunning := int64(0)
		running := s.limits.Running("a")
		s.schedule(time.Millisecond, func() { sample(s, running, &maxRunning) })
		s.run(10 * time.Second)
		if maxRunning > 4 {
			t.Errorf("%d requests of an account limited to 4 ran at once", maxRunning)
		}
		if o := s.outcomes[1]; float64(o.served) < 0.95*float64(o.offered) {
			t.Errorf("unlimited account: %d of %d requests were served", o.served, o.offered)
		}
	})
}

// sample records the maximum of running every millisecond.
func sample(s *sim, running *atomic.Int64, maxRunning *int64) {
	*maxRunning = max(*maxRunning, running.Load())
	s.schedule(time.Millisecond, func() { sample(s, running, maxRunning) })
}

// arriveOnce submits a request of a load without scheduling the next arrival.
func (s *sim) arriveOnce(i int) {
	s.arrive(i)
	s.events = slices.DeleteFunc(s.events, func(e event) bool { return e.arrival })
	heap.Init(&s.events)
}

// stepOnce runs the next event, if any.
func (s *sim) stepOnce() {
	if len(s.events) == 0 {
		return
	}
	e := heap.Pop(&s.events).(event)
	if d := e.at.Sub(s.clock.Now()); d > 0 {
		s.clock.Advance(d)
	}
	e.do()
}
