// Package rollout decides which version each agent is ordered to serve. Plan
// is a pure function of the accepted configuration, the current orders and the
// agents' statuses; Runner proposes the planned orders on the control leader.
//
// A rollout first stages the version on every agent. Engines then load it in
// waves that respect the service's minimum number of serving replicas. Engines
// that serve nothing load at once. A rollback is an ordinary edit of the
// configuration file.
package rollout

import (
	"slices"
	"sort"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Input holds everything that a plan depends on.
type Input struct {
	Config *config.Config
	// Orders are the current orders, including those of absent agents.
	Orders []control.Order
	// Statuses holds the latest status of every live agent.
	Statuses []wire.AgentStatus
	// Digests maps each registered version to its manifest's digest.
	Digests map[string]manifest.Digest
	// Missing lists agents that were alive recently and may come back. Their
	// replicas count as down.
	Missing []string
	// Stuck holds the agents that did not complete their order in time. They do
	// not block the rollout on the other agents.
	Stuck map[string]bool
	// MaxDownShare is the share of a service's replicas, 0 to 1, that a
	// rollout may have down at once. One replica is allowed in any case.
	MaxDownShare float64
}

// replica is one live agent of a service and its current order, nil if none.
type replica struct {
	status wire.AgentStatus
	order  *control.Order
	stuck  bool
}

// Plan returns the orders to give now, sorted by agent name. It returns none
// once the fleet matches the configuration, or while agents must first make
// progress on their current orders.
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
		plan = append(plan, planService(in, name, replicas, countMissing(in, orders, name))...)
	}
	sort.Slice(plan, func(i, j int) bool { return plan[i].Agent < plan[j].Agent })
	return plan
}

func countMissing(in Input, orders map[string]*control.Order, service string) int {
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
		return planUnload(name, replicas)
	}
	desired := target{service: name, version: service.Version, adapters: service.Adapters}
	if !desired.registered(in.Digests) {
		return nil
	}
	sort.Slice(replicas, func(i, j int) bool { return replicas[i].status.Name < replicas[j].status.Name })
	return desired.planReplicas(replicas, disruptionBudget(in, service, replicas, missing))
}

// planUnload orders the replicas of a service without a configured version to
// serve nothing.
func planUnload(service string, replicas []replica) []control.PlaceOrder {
	var plan []control.PlaceOrder
	for _, r := range replicas {
		if r.order != nil && r.order.Version != "" {
			plan = append(plan, r.completeOrder(control.PlaceOrder{Service: service}))
		}
	}
	return plan
}

// disruptionBudget returns how many serving replicas may be taken down now.
//
// Stuck replicas do not block the others, but at most maxDown of them are
// tolerated, so that the rollout of a version that no engine can load stops
// after its first waves. A service with two or more replicas never loses its
// last one, unless its MinServing is 0.
func disruptionBudget(in Input, service config.Service, replicas []replica, missing int) int {
	up, stuck := 0, 0
	for _, r := range replicas {
		switch {
		case r.confirmedUp():
			up++
		case r.stuck:
			stuck++
		}
	}
	total := len(replicas) + missing
	maxDown := max(1, int(float64(total)*in.MaxDownShare))
	tolerated := min(stuck, maxDown)
	minUp := min(service.MinServing, total-tolerated-1)
	if total > 1 {
		minUp = max(minUp, min(service.MinServing, 1))
	}
	down := len(replicas) - up + missing
	return min(up-minUp, maxDown+tolerated-down)
}

// target is what every replica of a service has to serve.
type target struct {
	service  string
	version  string
	adapters []string
}

// registered reports whether the manifests of the version and its adapters are
// registered.
func (t target) registered(digests map[string]manifest.Digest) bool {
	for _, version := range append([]string{t.version}, t.adapters...) {
		if digests[version].IsZero() {
			return false
		}
	}
	return true
}

// planReplicas returns the next orders for the replicas. Its load orders take
// down at most budget serving replicas.
func (t target) planReplicas(replicas []replica, budget int) []control.PlaceOrder {
	staged := t.stagedEverywhere(replicas)
	var plan []control.PlaceOrder
	for _, r := range replicas {
		switch {
		case r.loadOrdered(t):
			continue
		case r.confirmedDown(), r.status.Serving == t.version && r.adaptersLoaded(t):
			plan = append(plan, r.completeOrder(t.loadOrder()))
		case staged && r.hasStaged(t) && r.confirmedUp() && budget > 0:
			budget--
			plan = append(plan, r.completeOrder(t.loadOrder()))
		case !r.stageOrdered(t):
			plan = append(plan, r.completeOrder(t.stageOrder(r)))
		}
	}
	return plan
}

// stagedEverywhere reports whether every replica that is not stuck has staged
// the target or is already ordered to load it.
func (t target) stagedEverywhere(replicas []replica) bool {
	for _, r := range replicas {
		if !r.stuck && !r.hasStaged(t) && !r.loadOrdered(t) {
			return false
		}
	}
	return true
}

func (t target) loadOrder() control.PlaceOrder {
	return control.PlaceOrder{Service: t.service, Version: t.version, Adapters: t.adapters}
}

// stageOrder returns the order to stage the target while the replica keeps what
// it serves or was last ordered to serve.
func (t target) stageOrder(r replica) control.PlaceOrder {
	order := t.loadOrder()
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

// completeOrder fills in the replica's agent and the order that is replaced.
func (r replica) completeOrder(order control.PlaceOrder) control.PlaceOrder {
	order.Agent = r.status.Name
	if r.order != nil {
		order.After = r.order.Fence.Index
	}
	return order
}

// confirmedUp reports whether the replica is known to serve and not about to
// stop. A status older than the current order confirms nothing, unless that
// order is a stage order on which the replica is stuck: it keeps serving.
func (r replica) confirmedUp() bool {
	if r.status.Serving == "" {
		return false
	}
	if r.order == nil || r.stuck && r.order.Stage {
		return true
	}
	return r.status.FenceIndex >= r.order.Fence.Index && (r.order.Stage || r.order.Version == r.status.Serving)
}

// confirmedDown reports whether the replica is known to serve nothing. A replica
// whose status is older than its order may be about to serve, so it is neither
// confirmed up nor confirmed down.
func (r replica) confirmedDown() bool {
	return r.status.Serving == "" && (r.order == nil || r.status.FenceIndex >= r.order.Fence.Index)
}

// loadOrdered reports whether the current order is to load the target.
func (r replica) loadOrdered(t target) bool {
	return r.orderMatches(t) && !r.order.Stage
}

// stageOrdered reports whether the current order is to stage the target.
func (r replica) stageOrdered(t target) bool {
	return r.orderMatches(t) && r.order.Stage
}

func (r replica) orderMatches(t target) bool {
	return r.order != nil && r.order.Service == t.service && r.order.Version == t.version &&
		slices.Equal(r.order.Adapters, t.adapters)
}

// adaptersLoaded reports whether the engine reports all adapters of the target.
func (r replica) adaptersLoaded(t target) bool {
	for _, name := range t.adapters {
		if _, loaded := r.status.Engine.Adapters[name]; !loaded {
			return false
		}
	}
	return true
}

// hasStaged reports whether the agent has staged the target's version and
// adapters: its spool holds them, complete and verified.
func (r replica) hasStaged(t target) bool {
	for _, version := range append([]string{t.version}, t.adapters...) {
		if !slices.Contains(r.status.Staged, version) {
			return false
		}
	}
	return true
}
