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

// simAgent simulates an agent that executes its order step by step.
type simAgent struct {
	status wire.AgentStatus
	// reported is the status that the leader knows, which may be outdated.
	reported wire.AgentStatus
	order    *control.Order
	// loaded is the version in the engine's memory.
	loaded string
	alive  bool
	stuck  bool
}

// simFleet simulates a fleet and the state machine that accepts its orders.
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

func (f *simFleet) input(includeMissing bool) Input {
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
		case includeMissing:
			in.Missing = append(in.Missing, a.status.Name)
		}
	}
	return in
}

// commit applies orders as the state machine does: After must be the fence
// index of the agent's current order.
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

// advance lets a random part of the agents execute one step of their order and
// report their status.
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

// serving returns how many live agents serve any version and how many of them
// the configured one.
func (f *simFleet) serving() (total, current int) {
	want := f.config.Services[service].Version
	for _, a := range f.agents {
		if a.alive && a.status.Serving != "" {
			total++
		}
		if a.alive && a.status.Serving == want {
			current++
		}
	}
	return total, current
}

// runUntilStable plans and advances until nothing is left to do, for at most the
// given number of rounds, and returns the lowest number of serving replicas seen.
func (f *simFleet) runUntilStable(t *testing.T, rounds int) (lowest int) {
	lowest, _ = f.serving()
	for range rounds {
		in := f.input(true)
		plan := Plan(in)
		if repeated := Plan(in); !reflect.DeepEqual(plan, repeated) {
			t.Fatal("equal inputs give different plans")
		}
		if refused := f.commit(plan); refused > 0 {
			t.Fatalf("%d orders do not replace the agent's current order", refused)
		}
		f.advance()
		total, current := f.serving()
		lowest = min(lowest, total)
		if current == len(f.agents) && len(Plan(f.input(true))) == 0 && len(plan) == 0 {
			break
		}
	}
	return lowest
}

func TestRolloutKeepsMinServingAndCompletes(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(20261203)
	params.MinSuccessfulTests = 300
	properties := gopter.NewProperties(params)
	properties.Property("a rollout, its rollback and a second rollout complete and keep enough replicas serving", prop.ForAll(
		func(n, minServing int, seed uint64) bool {
			f := newSimFleet(n, minServing, seed)
			f.runUntilStable(t, 60)
			if _, current := f.serving(); current != n {
				return false
			}
			wantUp := min(minServing, n-1)
			shareUp := n - max(1, n/4)
			for _, version := range []string{"v2", "v1", "v3"} {
				f.setVersion(version)
				rounds := f.rnd.IntN(200)
				lowest := f.runUntilStable(t, rounds)
				if version == "v3" || rounds > 100 {
					lowest = min(lowest, f.runUntilStable(t, 60+40*n))
					if _, current := f.serving(); current != n {
						return false
					}
				}
				if lowest < wantUp || lowest < shareUp {
					return false
				}
			}
			return len(Plan(f.input(true))) == 0
		},
		gen.IntRange(1, 20), gen.IntRange(0, 20), gen.UInt64(),
	))
	properties.TestingRun(t)
}

func TestStuckAgentDoesNotBlockAndMissingAgentsCountAsDown(t *testing.T) {
	f := newSimFleet(8, 5, 3)
	f.runUntilStable(t, 60)
	f.setVersion("v2")
	f.agents[2].stuck = true
	f.runUntilStable(t, 400)
	if _, current := f.serving(); current != 7 {
		t.Errorf("%d replicas serve v2 while one is stuck staging, want 7", current)
	}
	f.agents[2].stuck = false
	f.runUntilStable(t, 100)
	f.agents[0].alive, f.agents[1].alive = false, false
	f.agents[3].alive = false
	f.setVersion("v3")
	f.runUntilStable(t, 400)
	if total, current := f.serving(); total != 5 || current != 0 {
		t.Errorf("%d replicas serve, %d of them v3; want 5 and 0 while 3 missing agents may come back", total, current)
	}
	for range 400 {
		f.commit(Plan(f.input(false)))
		f.advance()
	}
	if _, current := f.serving(); current != 5 {
		t.Errorf("%d replicas serve v3 after the missing agents are dropped, want 5", current)
	}
}

func TestStuckLoadDoesNotBlockOtherAgents(t *testing.T) {
	f := newSimFleet(4, 2, 9)
	f.runUntilStable(t, 100)
	f.setVersion("v2")
	for range 400 {
		f.commit(Plan(f.input(true)))
		f.advance()
		if a := f.agents[0]; a.order.Version == "v2" && !a.order.Stage {
			a.status.Serving, a.status.FenceIndex, a.stuck = "", 0, true
			a.reported = a.status
		}
	}
	if _, current := f.serving(); current != 3 {
		t.Errorf("%d replicas serve v2 while one is stuck loading, want 3", current)
	}
}

// TestRolloutOfUnloadableVersionStops rolls out a version that no engine can
// load. The rollout must stop while enough replicas still serve, and setting
// the previous version again must restore all replicas.
func TestRolloutOfUnloadableVersionStops(t *testing.T) {
	for _, size := range []struct{ n, minServing int }{{10, 7}, {4, 3}, {2, 1}, {20, 0}} {
		f := newSimFleet(size.n, size.minServing, 5)
		f.runUntilStable(t, 100)
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
		if maxDown := 2 * max(1, size.n/4); size.n-total > maxDown || size.minServing > 0 && total == 0 {
			t.Errorf("%d of %d replicas serve during the rollout of a version that none can load", total, size.n)
		}
		f.setVersion("v1")
		for _, a := range f.agents {
			a.stuck = false
		}
		f.runUntilStable(t, 200)
		if _, current := f.serving(); current != size.n {
			t.Errorf("%d of %d replicas serve after the rollback", current, size.n)
		}
	}
}

func TestNewAgentLoadsAtOnceAndUpdateStagesFirst(t *testing.T) {
	f := newSimFleet(4, 3, 1)
	f.runUntilStable(t, 60)
	f.agents = append(f.agents, newSimAgent("b"))
	plan := Plan(f.input(true))
	if len(plan) != 1 || plan[0].Agent != "b" || plan[0].Stage || plan[0].Version != "v1" {
		t.Errorf("plan %+v", plan)
	}
	f.runUntilStable(t, 60)
	f.setVersion("v2")
	for _, order := range Plan(f.input(true)) {
		if !order.Stage || order.Keep != "v1" {
			t.Errorf("order %+v", order)
		}
	}
}

func TestNoOrdersWithoutManifestAndUnloadWithoutService(t *testing.T) {
	f := newSimFleet(3, 1, 1)
	in := f.input(true)
	in.Digests = nil
	if plan := Plan(in); len(plan) != 0 {
		t.Errorf("plan %+v", plan)
	}
	f.runUntilStable(t, 60)
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

func TestAdapterChangeIsStagedFirst(t *testing.T) {
	f := newSimFleet(2, 1, 1)
	f.runUntilStable(t, 60)
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

// BenchmarkPlan measures Plan and Summarize for a fleet of one service in
// mid-rollout.
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
