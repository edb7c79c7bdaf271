package api

import (
	"slices"
	"strings"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/session"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/admission"
)

// regionRetryAfter is the retry delay of a request without a backend server in its regions.
const regionRetryAfter = time.Second

// regionsNow returns the regions in which a request may be served by the configuration in
// force; nil means any. Requests of a service or an account that was removed keep their regions.
func (a *API) regionsNow(req *request) []string {
	cfg := a.currentRoutes().config
	_, hasService := cfg.Services[req.service]
	if _, hasAccount := cfg.Accounts[req.account]; !hasService || !hasAccount {
		return req.regions
	}
	return cfg.AllowedRegions(req.service, req.account)
}

// acceptZone returns a function that reports whether servers in a zone may serve a request by
// the configuration in force; nil if all may. A zone that is not configured is in no region.
func (a *API) acceptZone(req *request) func(zone string) bool {
	cfg := a.currentRoutes().config
	regions := a.regionsNow(req)
	if regions == nil {
		return nil
	}
	return func(zone string) bool {
		z, known := cfg.Zones[zone]
		return known && slices.Contains(regions, z.Region)
	}
}

// reach returns the backend servers that a request may use, for its admission.
func (a *API) reach(req *request) admission.Reach {
	regions := a.regionsNow(req)
	if regions == nil {
		return admission.Reach{}
	}
	sorted := slices.Sorted(slices.Values(regions))
	all := req.svc.backends()
	return admission.Reach{
		Set: "regions " + strings.Join(sorted, " "), Fraction: float64(a.countReachable(req, all)) / float64(max(len(all), 1)),
		Check: func() error {
			if a.countReachable(req, req.svc.backends()) > 0 {
				return nil
			}
			return result.Refuse(result.RegionUnavailable, regionRetryAfter, "no backend server in the allowed regions %v", sorted)
		},
	}
}

// countReachable returns the number of the backend servers that a request may use.
func (a *API) countReachable(req *request, backends []*session.Backend) int {
	accept := a.acceptZone(req)
	n := 0
	for _, b := range backends {
		if accept == nil || accept(b.Zone) {
			n++
		}
	}
	return n
}
