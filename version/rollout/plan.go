// Package rollout decides which agent is ordered to serve which version. Plan
// is a pure function over the accepted configuration, the orders in force and
// what agents report; Runner carries its orders out on the control leader.
//
// A rollout stages the version everywhere first. Engines then load it in waves
// that keep the service's floor of serving replicas. Engines that serve nothing
// load at once. Rolling back is an edit of the file like any other.
package rollout

import (
	"slices"
	"sort"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Input is all that a plan depends on.
type Input struct {
	Config *config.Config
	// Orders are the orders in force, of absent agents too.
	Orders []control.Order
	// Statuses are those of the agents that are alive now.
	Statuses []wire.AgentStatus
	// Digests holds the digest of every registered manifest by version.
	Digests map[string]manifest.Digest
	// Missing are agents that were alive lately and may come back. They
	// count against the floor: their replicas are down.
	Missing []string
	// Stuck are agents that did not carry their order out in time. They do
	// not hold the others back.
	Stuck map[string]bool
	// MaxDownShare is the part of a service's replicas, 0 to 1, that a
	// rollout may have down at once; at least one always may be.
	MaxDownShare float64
}

// replica is one agent as the plan sees it.
type replica struct {
	status wire.AgentStatus
	order  *control.Order
	stuck  bool
}

// Plan returns the orders that are to be given now, in the order of the
// agents' names. It is empty once the fleet is as configured or has to
// progress first.
func Plan(in Input) []control.PlaceOrder {
	orders := make(map[string]*control.Order, len(in.Orders))
	for i := range in.Orders {
		orders[in.Orders[i].Agent] = &in.Orders[i]
	}
	services := make(map[string][]replica)
	for _, status := range in.Statuses {
		if status.Draining {
			continue
		}
		r := replica{status: status, order: orders[status.Name], stuck: in.Stuck[status.Name]}
		services[status.Service] = append(services[status.Service], r)
	}
	var plan []control.PlaceOrder
	for name, replicas := range services {
		plan = append(plan, planService(in, name, replicas, missingOf(in, orders, name))...)
	}
	sort.Slice(plan, func(i, j int) bool { return plan[i].Agent < plan[j].Agent })
	return plan
}

func missingOf(in Input, orders map[string]*control.Order, service string) int {
	n := 0
	for _, agent := range in.Missing {
		if o := orders[agent]; o != nil && o.Service == service {
			n++
		}
	}
	return n
}

func planService(in Input, name string, replicas []replica, missing int) []control.PlaceOrder {
	service, ok := in.Config.Services[name]
	if !ok || service.Kind != config.ServiceEngine || service.Version == "" {
		return retire(name, replicas)
	}
	want := goal{service: name, version: service.Version, adapters: service.Adapters}
	if !want.registered(in.Digests) {
		return nil
	}
	sort.Slice(replicas, func(i, j int) bool { return replicas[i].status.Name < replicas[j].status.Name })
	return want.plan(replicas, budget(in, service, replicas, missing))
}

// retire orders replicas of a service that is gone to serve nothing.
func retire(service string, replicas []replica) []control.PlaceOrder {
	var plan []control.PlaceOrder
	for _, r := range replicas {
		if r.order != nil && r.order.Version != "" {
			plan = append(plan, r.place(control.PlaceOrder{Service: service}))
		}
	}
	return plan
}

// budget returns how many serving replicas may be taken down now.
//
// Replicas that are stuck do not hold the others back, but no more of them are
// excused than may be down at once: a version that no engine can load stops
// after its first waves. A service with two replicas or more never loses the
// last one.
func budget(in Input, service config.Service, replicas []replica, missing int) int {
	up, stuck := 0, 0
	for _, r := range replicas {
		switch {
		case r.up():
			up++
		case r.stuck:
			stuck++
		}
	}
	total := len(replicas) + missing
	allowed := max(1, int(float64(total)*in.MaxDownShare))
	excused := min(stuck, allowed)
	floor := min(service.MinServing, total-excused-1)
	if total > 1 {
		floor = max(floor, min(service.MinServing, 1))
	}
	down := len(replicas) - up + missing
	return min(up-floor, allowed+excused-down)
}

// goal is what every replica of a service is to serve.
type goal struct {
	service  string
	version  string
	adapters []string
}

func (g goal) registered(digests map[string]manifest.Digest) bool {
	for _, version := range append([]string{g.version}, g.adapters...) {
		if digests[version].IsZero() {
			return false
		}
	}
	return true
}

func (g goal) plan(replicas []replica, free int) []control.PlaceOrder {
	staged := g.stagedEverywhere(replicas)
	var plan []control.PlaceOrder
	for _, r := range replicas {
		switch {
		case r.ordered(g):
			continue
		case r.down(), r.status.Serving == g.version && r.serves(g):
			plan = append(plan, r.place(g.load()))
		case staged && r.holds(g) && r.up() && free > 0:
			free--
			plan = append(plan, r.place(g.load()))
		case !r.staging(g):
			plan = append(plan, r.place(g.stage(r)))
		}
	}
	return plan
}

// stagedEverywhere reports whether every replica that can be expected to holds
// the version whole and verified.
func (g goal) stagedEverywhere(replicas []replica) bool {
	for _, r := range replicas {
		if !r.stuck && !r.holds(g) && !r.ordered(g) {
			return false
		}
	}
	return true
}

func (g goal) load() control.PlaceOrder {
	return control.PlaceOrder{Service: g.service, Version: g.version, Adapters: g.adapters}
}

func (g goal) stage(r replica) control.PlaceOrder {
	order := g.load()
	order.Stage = true
	switch {
	case r.order == nil:
		order.Keep = r.status.Serving
	case r.order.Stage:
		order.Keep, order.KeepAdapters = r.order.Keep, r.order.KeepAdapters
	default:
		order.Keep, order.KeepAdapters = r.order.Version, r.order.Adapters
	}
	return order
}

// place completes an order for the replica.
func (r replica) place(order control.PlaceOrder) control.PlaceOrder {
	order.Agent = r.status.Name
	if r.order != nil {
		order.After = r.order.Fence.Index
	}
	return order
}

// up reports whether the replica certainly serves and is not about to stop:
// its status is not older than its order.
func (r replica) up() bool {
	if r.status.Serving == "" {
		return false
	}
	if r.order == nil || r.stuck && r.order.Stage {
		return true
	}
	return r.status.FenceIndex >= r.order.Fence.Index && (r.order.Stage || r.order.Version == r.status.Serving)
}

// down reports whether the replica certainly serves nothing. One whose status
// is older than its order may be about to serve: it is neither up nor down.
func (r replica) down() bool {
	return r.status.Serving == "" && (r.order == nil || r.status.FenceIndex >= r.order.Fence.Index)
}

// ordered reports whether the order in force is to load the goal.
func (r replica) ordered(g goal) bool {
	return r.matches(g) && !r.order.Stage
}

// staging reports whether the order in force is to stage the goal.
func (r replica) staging(g goal) bool {
	return r.matches(g) && r.order.Stage
}

func (r replica) matches(g goal) bool {
	return r.order != nil && r.order.Service == g.service && r.order.Version == g.version &&
		slices.Equal(r.order.Adapters, g.adapters)
}

// serves reports whether the engine reports the goal with its adapters.
func (r replica) serves(g goal) bool {
	for _, name := range g.adapters {
		if _, loaded := r.status.Engine.Adapters[name]; !loaded {
			return false
		}
	}
	return true
}

// holds reports whether the spool has all of the goal.
func (r replica) holds(g goal) bool {
	for _, version := range append([]string{g.version}, g.adapters...) {
		if !slices.Contains(r.status.Staged, version) {
			return false
		}
	}
	return true
}
