package placement

import (
	"cmp"
	"maps"
	"slices"
)

// spreadRounds is the number of passes in which overlapping sets of regions settle. Each set
// is spread over its regions given the others; with a few regions the levels differ by less
// than the noise of the demand after a few passes.
const spreadRounds = 8

// Demand is the demand for a service by regions.
type Demand struct {
	// Free is the demand of requests that may run anywhere.
	Free Amount
	// Bound lists the demand of requests that may run in some regions only.
	Bound []RegionDemand
}

// Amount is a demand at this entry and at all entries together.
type Amount struct{ Own, Total float64 }

// RegionDemand is the demand of requests that may run in the listed regions only.
type RegionDemand struct {
	Regions []string
	Amount
}

// flow is the demand of a set of regions and where it goes.
type flow struct {
	Amount
	// set is the key of the set.
	set string
	// to lists the regions, and parts the amount of the total that each gets.
	to    []*region
	parts []float64
}

// apply sets the shares and levels of the regions. The demand of each set of regions goes to
// those of its regions with the lowest levels, so that their levels become equal where that is
// possible: the demand that may run anywhere takes the room that the bound demand leaves.
// fallback is the share of an entry that does not know its demand.
func (d *Demand) apply(regions map[string]*region, fallback float64) {
	flows := d.flows(regions)
	for range spreadRounds {
		for i := range flows {
			flows[i].spread()
		}
	}
	own, total := map[*region]float64{}, map[*region]float64{}
	known := false
	for i := range flows {
		f := &flows[i]
		known = known || f.Own > 0
		for j, r := range f.to {
			fraction := f.parts[j] / f.Total
			own[r] += f.Own * fraction
			total[r] += f.Total * fraction
			if r.claims == nil {
				r.claims, r.ownClaims = map[string]float64{}, map[string]float64{}
			}
			r.claims[f.set] += f.parts[j] / r.capacity
			if f.Own > 0 && f.parts[j] > 0 {
				r.ownClaims[f.set] += f.Own * fraction
			}
		}
	}
	for _, r := range regions {
		for set := range r.ownClaims {
			r.ownClaims[set] /= own[r]
		}
		r.share = fallback
		if known && total[r] > 0 {
			r.share = min(own[r]/total[r], 1)
		}
	}
}

// flows returns the demand with the regions that have servers for it. Narrow sets come first:
// they have the least choice.
func (d *Demand) flows(regions map[string]*region) []flow {
	var flows []flow
	names := slices.Sorted(maps.Keys(regions))
	add := func(a Amount, set []string) {
		// An entry's own demand is newer than the sum. A trace of demand that may run
		// anywhere shows where it would go.
		f := flow{set: setKey(set), Amount: Amount{Own: a.Own, Total: max(a.Total, a.Own, minDemand)}}
		for _, name := range names {
			if r := regions[name]; r.capacity > 0 && permits(set, name) {
				f.to = append(f.to, r)
			}
		}
		f.parts = make([]float64, len(f.to))
		if len(f.to) > 0 {
			flows = append(flows, f)
		}
	}
	for _, b := range d.Bound {
		add(b.Amount, b.Regions)
	}
	add(d.Free, nil)
	slices.SortStableFunc(flows, func(a, b flow) int { return cmp.Compare(len(a.to), len(b.to)) })
	return flows
}

// minDemand is the least demand of a set of regions.
const minDemand = 1e-6

// spread distributes the demand of a set over its regions, from the lowest level up.
func (f *flow) spread() {
	for i, r := range f.to {
		r.level -= f.parts[i] / r.capacity
	}
	order := make([]int, len(f.to))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(f.to[a].level, f.to[b].level) })
	// level is that of the lowest n regions after they have taken the whole demand.
	level, filled, capacity := 0.0, f.Total, 0.0
	for n, i := range order {
		filled += f.to[i].level * f.to[i].capacity
		capacity += f.to[i].capacity
		level = filled / capacity
		if n+1 == len(order) || level <= f.to[order[n+1]].level {
			break
		}
	}
	for i, r := range f.to {
		f.parts[i] = max(level-r.level, 0) * r.capacity
		r.level += f.parts[i] / r.capacity
	}
}
