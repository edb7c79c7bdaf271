package forward

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

const (
	// regionRetryAfter is the least retry delay of a request that is refused because no server
	// in its regions is usable: servers come back with a heartbeat or a load of weights, which
	// takes about a second.
	regionRetryAfter = time.Second
	// minReportedDemand is the least demand that is reported.
	minReportedDemand = 0.01
)

// allowedRegions returns the regions, in order, in which both a route and an account allow
// requests. Nil means any region and an empty list none: the lists have no region in common.
func allowedRegions(route *deployment.Route, account *deployment.Account) []string {
	var lists [][]string
	if len(route.Regions) > 0 {
		lists = append(lists, route.Regions)
	}
	if account != nil && len(account.Regions) > 0 {
		lists = append(lists, account.Regions)
	}
	if len(lists) == 0 {
		return nil
	}
	allowed := []string{}
	for _, name := range lists[0] {
		if len(lists) == 1 || slices.Contains(lists[1], name) {
			allowed = append(allowed, name)
		}
	}
	slices.Sort(allowed)
	return slices.Compact(allowed)
}

// regionsNow returns the regions in which a request may be served by the configuration in
// force, which may be newer than the one that the request was resolved by. The caller holds mu.
func (sc *scheduler) regionsNow(cr *callerRequest) []string {
	config := sc.view.Config
	if config == nil || config == cr.config {
		return cr.regions
	}
	path, _, _ := strings.Cut(cr.request.RequestURI, "?")
	route, account := config.Route(stripPort(cr.request.Host), path), cr.account
	if route == nil {
		// The route was removed. Requests in progress keep its restriction.
		route = cr.route
	}
	if account != nil {
		for i := range config.Accounts {
			if config.Accounts[i].Name == account.Name {
				account = &config.Accounts[i]
				break
			}
		}
	}
	return allowedRegions(route, account)
}

// mayServe reports whether the server of a lease is in a region in which the request may be
// served by the configuration in force. It may be called while the handler uses the request.
func (sc *scheduler) mayServe(cr *callerRequest, l *placement.Lease) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	req := placement.Request{Regions: sc.regionsNow(cr)}
	return req.Permits(&l.Server)
}

// regionDemand is the demand that is bound to a set of regions.
type regionDemand struct {
	regions []string
	// offeredSeconds sums the server time requested since the last sample.
	offeredSeconds float64
	demand         float64
}

// recordBound counts the server time of a request that is restricted to regions. It returns
// false if no server can ever be in them. The caller holds mu.
func (sc *scheduler) recordBound(st *serviceState, cr *callerRequest, seconds float64) bool {
	if cr.regions == nil {
		return true
	}
	regions := slices.DeleteFunc(slices.Clone(cr.regions), func(name string) bool { return !sc.knownRegions[name] })
	if len(regions) == 0 {
		return false
	}
	key := strings.Join(regions, "\x00")
	d := st.bound[key]
	if d == nil {
		if len(st.bound) >= wire.MaxRegionDemands {
			return true
		}
		d = &regionDemand{regions: regions}
		st.bound[key] = d
	}
	d.offeredSeconds += seconds
	return true
}

// sampleBound updates the demand that is bound to regions and appends it to list. The caller
// holds mu.
func (st *serviceState) sampleBound(service string, span float64, list []wire.RegionDemand) []wire.RegionDemand {
	for _, key := range slices.Sorted(maps.Keys(st.bound)) {
		d := st.bound[key]
		d.demand += demandEWMAWeight * (d.offeredSeconds/span - d.demand)
		d.offeredSeconds = 0
		if d.demand <= minReportedDemand {
			delete(st.bound, key)
			continue
		}
		list = append(list, wire.RegionDemand{Service: service, Regions: d.regions, Demand: d.demand})
	}
	return list
}

// demandByRegion returns the demand for a service by regions; nil if the control processes
// report none that is bound to regions. The caller holds mu.
func (sc *scheduler) demandByRegion(service string, st *serviceState) *placement.Demand {
	reported := sc.view.RegionDemand[service]
	if len(reported) == 0 {
		return nil
	}
	totals := map[string]float64{}
	d := &placement.Demand{Free: placement.Amount{Own: st.demand, Total: sc.view.Demand[service]}}
	add := func(regions []string, own, total float64) {
		d.Bound = append(d.Bound, placement.RegionDemand{Regions: regions, Amount: placement.Amount{Own: own, Total: max(own, total)}})
		d.Free.Own -= own
		d.Free.Total -= max(own, total)
	}
	for _, r := range reported {
		key := strings.Join(r.Regions, "\x00")
		totals[key] = r.Demand
		own := 0.0
		if o := st.bound[key]; o != nil {
			own = o.demand
		}
		add(r.Regions, own, r.Demand)
	}
	for _, key := range slices.Sorted(maps.Keys(st.bound)) {
		if _, listed := totals[key]; !listed {
			add(st.bound[key].regions, st.bound[key].demand, 0)
		}
	}
	d.Free.Own = max(d.Free.Own, 0)
	d.Free.Total = max(d.Free.Total, d.Free.Own)
	return d
}

// refusal returns the error for a request that got no slot: in its regions no server is usable,
// or none had a free slot. The caller holds mu.
func (sc *scheduler) refusal(pool *placement.Pool, now time.Time, req *placement.Request) error {
	regions := req.Regions
	usable := pool.HasUsableIn(regions)
	if usable || regions == nil {
		return refusalError(usable, pool, now, req)
	}
	retryAfter := max(pool.RetryAfterIn(regions), pool.OpensIn(now, regions))
	if len(regions) == 0 {
		return result.Refuse(result.RegionUnavailable, max(retryAfter, regionRetryAfter), "the route and the account allow no region in common")
	}
	return result.Refuse(result.RegionUnavailable, max(retryAfter, regionRetryAfter), "no usable backend server in the allowed regions %v", regions)
}

// appendRegions appends the allowed regions to the log attributes of a restricted request.
func (cr *callerRequest) appendRegions(attrs []any) []any {
	if cr.regions == nil {
		return attrs
	}
	return append(attrs, "regions", cr.regions)
}

// knownRegions returns the set of regions that zones are in.
func knownRegions(byZone map[string]string) map[string]bool {
	known := map[string]bool{}
	for _, name := range byZone {
		if name != "" {
			known[name] = true
		}
	}
	return known
}
