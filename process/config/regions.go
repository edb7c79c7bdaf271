package config

import (
	"slices"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// AllowedRegions returns the regions in which both a service and an account allow requests.
// Nil means any region and an empty list none: the lists have no region in common.
func (c *Config) AllowedRegions(service, account string) []string {
	s, a := c.Services[service].Regions, c.Accounts[account].Regions
	switch {
	case len(s) == 0 && len(a) == 0:
		return nil
	case len(s) == 0:
		return a
	case len(a) == 0:
		return s
	}
	allowed := []string{}
	for _, name := range s {
		if slices.Contains(a, name) {
			allowed = append(allowed, name)
		}
	}
	return allowed
}

// validateRegions checks the lists of allowed regions. The records of calls that may not be
// repeated contain their responses and are replicated to all entries, so that such calls can't
// be kept in some regions.
func (v *validator) validateRegions() {
	for _, name := range sortedKeys(v.config.Services) {
		s := v.config.Services[name]
		if v.validateRegionList(keyPath("services", name, "regions"), s.Regions) {
			continue
		}
		for i, r := range s.Routes {
			if !r.Repeatable {
				v.addProblem(result.BadValue, keyPath("services", name, "routes", indexKey(i)), "set repeatable, or remove the regions of the service",
					"%s %s may not be repeated: its responses are kept in all regions, and the service allows only %q", r.Method, r.Path, s.Regions)
			}
		}
	}
	for _, name := range sortedKeys(v.config.Accounts) {
		a := v.config.Accounts[name]
		keys := keyPath("accounts", name, "regions")
		if v.validateRegionList(keys, a.Regions) {
			continue
		}
		if service, call := v.firstUnrepeatable(); service != "" {
			v.badValue(keys, "remove the list, or set repeatable on all routes of all services",
				"the account can call %s of service %q, which may not be repeated: its responses are kept in all regions", call, service)
		}
	}
}

// validateRegionList checks a list of regions. It returns true if the list restricts nothing:
// it is not set or contains all regions.
func (v *validator) validateRegionList(keys, regions []string) bool {
	if regions != nil && len(regions) == 0 {
		v.badValue(keys, "list regions or remove the key", "the list is empty")
	}
	known := map[string]bool{}
	for _, z := range v.config.Zones {
		known[z.Region] = true
	}
	for i, name := range regions {
		item := append(slices.Clone(keys), indexKey(i))
		if !known[name] {
			v.brokenReference(item, "the regions of zones", name)
		}
		if slices.Contains(regions[:i], name) {
			v.badValue(item, "list it once", "%q is listed twice", name)
		}
	}
	for name := range known {
		if !slices.Contains(regions, name) {
			return len(regions) == 0
		}
	}
	return true
}

// firstUnrepeatable returns a call that may not be repeated, and its service.
func (v *validator) firstUnrepeatable() (service, call string) {
	for _, name := range sortedKeys(v.config.Services) {
		for _, r := range v.config.Services[name].Routes {
			if !r.Repeatable {
				return name, r.Method + " " + r.Path
			}
		}
	}
	return "", ""
}
