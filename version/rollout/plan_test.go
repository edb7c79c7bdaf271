package rollout

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

const service = "drafting"

// simAgent is an agent that carries orders out in steps.
type simAgent struct {
	status wire.AgentStatus
	// reported is the status that the leader has, which may be older.
	reported wire.AgentStatus
	order    *control.Order
	// loaded is what the engine holds.
	loaded string
	alive  bool
	stuck  bool
}

// simFleet is a fleet with the control state's rule for orders.
type simFleet struct {
	agents []*simAgent
	index  uint64
	config *config.Config
	rnd    *rand.Rand
}

func newSimFleet(n, minServing int, seed uint64) *simFleet {
	f := &simFleet{
		index: 100,
		rnd:   rand.New(rand.NewPCG(seed, 7)),
		config: &config.Config{Services: map[string]config.Service{
			service: {Kind: config.ServiceEngine, Version: "v1", MinServing: minServing},
		}},
	}
	for i := range n {
		name := fmt.Sprintf("a%02d", i)
		f.agents = append(f.agents, newSimAgent(name))
	}
	return f
}

func newSimAgent(name string) *simAgent {
	status := wire.AgentStatus{Name: name, Service: service, Engine: engine.Report{State: engine.StateEmpty}}
	return &simAgent{alive: true, status: status, reported: status}
}

func (f *simFleet) setVersion(version string) {
	s := f.config.Services[service]
	s.Version = version
	f.config = &config.Config{Services: map[string]config.Service{service: s}}
}

func (f *simFleet) input(missing bool) Input {
	in := Input{Config: f.config, Digests: map[string]manifest.Digest{}, Stuck: map[string]bool{}, MaxDownShare: 0.25}
	for _, v := range []string{"v1", "v2", "v3"} {
		in.Digests[v] = manifest.Sum([]byte(v))
	}
	for _, a := range f.agents {
		if a.order != nil {
			in.Orders = append(in.Orders, *a.order)
		}
		switch {
		case a.alive:
			in.Statuses = append(in.Statuses, a.reported)
			in.Stuck[a.status.Name] = a.stuck
		case missing:
			in.Missing = append(in.Missing, a.status.Name)
		}
	}
	return in
}

// commit applies orders as the state machine does: After must name the order
// in force.
func (f *simFleet) commit(plan []control.PlaceOrder) (refused int) {
	for _, order := range plan {
		a := f.agents[slices.IndexFunc(f.agents, func(a *simAgent) bool { return a.status.Name == order.Agent })]
		after := uint64(0)
		if a.order != nil {
			after = a.order.Fence.Index
		}
		if order.After != after {
			refused++
			continue
		}
		f.index++
		a.order = &control.Order{PlaceOrder: order, Fence: control.Fence{Index: f.index}}
	}
	return refused
}

// advance lets some of the agents do one step of their order.
func (f *simFleet) advance() {
	for _, a := range f.agents {
		if a.alive && !a.stuck && a.order != nil && f.rnd.IntN(2) == 0 {
			a.step()
		}
		if f.rnd.IntN(3) > 0 {
			a.reported = a.status
			a.reported.Staged = slices.Clone(a.status.Staged)
		}
	}
}

func (a *simAgent) step() {
	s, o := &a.status, a.order
	switch {
	case !slices.Contains(s.Staged, o.Version) && o.Version != "":
		s.Staged = append(s.Staged, o.Version)
	case o.Stage:
		s.FenceIndex = o.Fence.Index
		if s.Serving == "" && a.loaded == o.Keep {
			s.Serving = o.Keep
		}
	case s.Serving != "" && s.Serving != o.Version:
		s.Serving = ""
	default:
		a.loaded = o.Version
		s.Serving, s.FenceIndex = o.Version, o.Fence.Index
	}
}

func (f *simFleet) serving() (total, of int) {
	want := f.config.Services[service].Version
	for _, a := range f.agents {
		if a.alive && a.status.Serving != "" {
			total++
		}
		if a.alive && a.status.Serving == want {
			of++
		}
	}
	return total, of
}

// settle plans and advances until nothing is left to do, and returns the
// lowest number of serving replicas that was seen.
func (f *simFleet) settle(t *testing.T, rounds int) (lowest int) {
	lowest, _ = f.serving()
	for range rounds {
		in := f.input(true)
		plan := Plan(in)
		if again := Plan(in); !reflect.DeepEqual(plan, again) {
			t.Fatal("equal inputs give different plans")
		}
		if refused := f.commit(plan); refused > 0 {
			t.Fatalf("%d orders made after another order than the one in force", refused)
		}
		f.advance()
		total, of := f.serving()
		lowest = min(lowest, total)
		if of == len(f.agents) && len(Plan(f.input(true))) == 0 && len(plan) == 0 {
			break
		}
	}
	return lowest
}

func TestRolloutKeepsTheFloorAndEnds(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(20261203)
	params.MinSuccessfulTests = 300
	properties := gopter.NewProperties(params)
	properties.Property("a rollout, its rollback and another one keep the floor and end", prop.ForAll(
		func(n, floor int, seed uint64) bool {
			f := newSimFleet(n, floor, seed)
			f.settle(t, 60)
			if _, of := f.serving(); of != n {
				return false
			}
			keep := min(floor, n-1)
			allowed := n - max(1, n/4)
			for _, version := range []string{"v2", "v1", "v3"} {
				f.setVersion(version)
				cut := f.rnd.IntN(200)
				lowest := f.settle(t, cut)
				if version == "v3" || cut > 100 {
					lowest = min(lowest, f.settle(t, 60+40*n))
					if _, of := f.serving(); of != n {
						return false
					}
				}
				if lowest < keep || lowest < allowed {
					return false
				}
			}
			return len(Plan(f.input(true))) == 0
		},
		gen.IntRange(1, 20), gen.IntRange(0, 20), gen.UInt64(),
	))
	properties.TestingRun(t)
}

func TestStuckAndMissingAgents(t *testing.T) {
	f := newSimFleet(8, 5, 3)
	f.settle(t, 60)
	f.setVersion("v2")
	f.agents[2].stuck = true
	f.settle(t, 400)
	if _, of := f.serving(); of != 7 {
		t.Errorf("%d serve v2 beside one that is stuck, want 7", of)
	}
	f.agents[2].stuck = false
	f.settle(t, 100)
	f.agents[0].alive, f.agents[1].alive = false, false
	f.agents[3].alive = false
	f.setVersion("v3")
	f.settle(t, 400)
	if total, of := f.serving(); total != 5 || of != 0 {
		t.Errorf("%d serve, %d of them v3: the floor of 5 was not kept while 3 agents may come back", total, of)
	}
	for range 400 {
		f.commit(Plan(f.input(false)))
		f.advance()
	}
	if _, of := f.serving(); of != 5 {
		t.Errorf("%d serve v3 once the missing are given up, want 5", of)
	}
}

func TestStuckLoadDoesNotHoldTheOthers(t *testing.T) {
	f := newSimFleet(4, 2, 9)
	f.settle(t, 100)
	f.setVersion("v2")
	for range 400 {
		f.commit(Plan(f.input(true)))
		f.advance()
		if a := f.agents[0]; a.order.Version == "v2" && !a.order.Stage {
			a.status.Serving, a.status.FenceIndex, a.stuck = "", 0, true
			a.reported = a.status
		}
	}
	if _, of := f.serving(); of != 3 {
		t.Errorf("%d serve v2 beside one whose load is stuck, want 3", of)
	}
}

// TestVersionThatNoEngineLoadsStops rolls out a version that stops every
// engine that loads it: the floor goes on serving, and the next edit mends it.
func TestVersionThatNoEngineLoadsStops(t *testing.T) {
	for _, size := range []struct{ n, floor int }{{10, 7}, {4, 3}, {2, 1}, {20, 0}} {
		f := newSimFleet(size.n, size.floor, 5)
		f.settle(t, 100)
		f.setVersion("v2")
		for range 400 {
			f.commit(Plan(f.input(true)))
			f.advance()
			for _, a := range f.agents {
				broken := a.loaded == "v2"
				if broken {
					a.status.Serving, a.status.FenceIndex, a.stuck = "", a.order.Fence.Index-1, true
					a.reported = a.status
				}
			}
		}
		total, _ := f.serving()
		if allowed := 2 * max(1, size.n/4); size.n-total > allowed || size.floor > 0 && total == 0 {
			t.Errorf("%d of %d serve beside a version that none can load", total, size.n)
		}
		f.setVersion("v1")
		for _, a := range f.agents {
			a.stuck = false
		}
		f.settle(t, 200)
		if _, of := f.serving(); of != size.n {
			t.Errorf("%d of %d serve after the edit was taken back", of, size.n)
		}
	}
}

func TestNewAgentsAreOrderedAtOnceAndStaged(t *testing.T) {
	f := newSimFleet(4, 3, 1)
	f.settle(t, 60)
	f.agents = append(f.agents, newSimAgent("b"))
	plan := Plan(f.input(true))
	if len(plan) != 1 || plan[0].Agent != "b" || plan[0].Stage || plan[0].Version != "v1" {
		t.Errorf("plan %+v", plan)
	}
	f.settle(t, 60)
	f.setVersion("v2")
	for _, order := range Plan(f.input(true)) {
		if !order.Stage || order.Keep != "v1" {
			t.Errorf("order %+v", order)
		}
	}
}

func TestNothingIsOrderedWithoutAManifestAndRetiredWithoutAService(t *testing.T) {
	f := newSimFleet(3, 1, 1)
	in := f.input(true)
	in.Digests = nil
	if plan := Plan(in); len(plan) != 0 {
		t.Errorf("plan %+v", plan)
	}
	f.settle(t, 60)
	f.config = &config.Config{}
	plan := Plan(f.input(true))
	if len(plan) != 3 || plan[0].Version != "" {
		t.Fatalf("plan %+v", plan)
	}
	f.commit(plan)
	if plan := Plan(f.input(true)); len(plan) != 0 {
		t.Errorf("plan %+v", plan)
	}
}

func TestAdaptersAreRolledOutOnTopOfTheVersion(t *testing.T) {
	f := newSimFleet(2, 1, 1)
	f.settle(t, 60)
	s := f.config.Services[service]
	for _, a := range f.agents {
		a.reported = a.status
	}
	s.Adapters = []string{"v3"}
	f.config = &config.Config{Services: map[string]config.Service{service: s}}
	plan := Plan(f.input(true))
	if len(plan) != 2 || !plan[0].Stage || !slices.Equal(plan[0].Adapters, []string{"v3"}) || len(plan[0].KeepAdapters) != 0 {
		t.Errorf("plan %+v", plan)
	}
}

// BenchmarkPlan plans for a fleet of one service in the middle of a rollout.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 2100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newSimFleet(n, n/2, 1)
			for range 60 {
				f.commit(Plan(f.input(true)))
				f.advance()
			}
			f.setVersion("v2")
			f.commit(Plan(f.input(true)))
			in := f.input(true)
			for b.Loop() {
				Plan(in)
				Summarize(in)
			}
		})
	}
}
