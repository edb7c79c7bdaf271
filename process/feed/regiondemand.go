package feed

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
)

// maxRegionDemands bounds the demand by service and regions that one message may list, and the
// sums of a control process.
const maxRegionDemands = 256

// maxDemandName bounds the names of services and regions in bytes, as in server reports.
const maxDemandName = 256

// validRegionDemands returns the entries of a list that can be used, at most maxRegionDemands.
// Regions are sorted: one set has one spelling.
func validRegionDemands(list []wire.RegionDemand) []wire.RegionDemand {
	var valid []wire.RegionDemand
	for _, d := range list {
		if len(valid) == maxRegionDemands {
			break
		}
		if !validRegionDemand(&d) {
			continue
		}
		if !slices.IsSorted(d.Regions) {
			d.Regions = slices.Clone(d.Regions)
			slices.Sort(d.Regions)
		}
		d.Regions = slices.Compact(d.Regions)
		valid = append(valid, d)
	}
	return valid
}

func validRegionDemand(d *wire.RegionDemand) bool {
	tooLong := func(name string) bool { return name == "" || len(name) > maxDemandName }
	return !tooLong(d.Service) && len(d.Regions) > 0 && len(d.Regions) <= wire.MaxRegionsPerSet &&
		!slices.ContainsFunc(d.Regions, tooLong) && d.Demand > 0 && !math.IsInf(d.Demand, 0)
}

// totalRegionDemand sums the demand of all entries by service and set of regions. Over the
// bound, the largest sums are kept; the rest still counts in the sums by service. The caller
// holds mu.
func (h *Hub) totalRegionDemand() []wire.RegionDemand {
	sums := map[string]*wire.RegionDemand{}
	var list []*wire.RegionDemand
	for _, f := range h.followers {
		if h.clock.Since(f.demandAt) > demandTTL {
			continue
		}
		for _, d := range f.regionDemand {
			key := d.Service + "\x00" + strings.Join(d.Regions, "\x00")
			if sums[key] == nil {
				sums[key] = &wire.RegionDemand{Service: d.Service, Regions: d.Regions}
				list = append(list, sums[key])
			}
			sums[key].Demand += d.Demand
		}
	}
	slices.SortFunc(list, func(a, b *wire.RegionDemand) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Service, b.Service), slices.Compare(a.Regions, b.Regions))
	})
	var total []wire.RegionDemand
	for _, d := range list[:min(len(list), maxRegionDemands)] {
		total = append(total, *d)
	}
	return total
}

// followerRegionDemand is the demand by regions that a follower knows.
type followerRegionDemand struct {
	// byService is replaced, never modified. at is when it was received.
	byService map[string][]wire.RegionDemand
	at        time.Time
}

// apply applies the list of an update that has demand. An empty list is that of a control
// process of an earlier release, or of one that has just started, until no other process has
// sent one for demandTTL.
func (d *followerRegionDemand) apply(list []wire.RegionDemand, now time.Time) {
	list = validRegionDemands(list)
	if len(list) == 0 {
		if now.Sub(d.at) > demandTTL {
			d.byService = nil
		}
		return
	}
	d.byService, d.at = map[string][]wire.RegionDemand{}, now
	for _, r := range list {
		d.byService[r.Service] = append(d.byService[r.Service], r)
	}
}
