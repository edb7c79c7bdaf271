package deployment

import (
	"slices"
	"strings"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// Validate checks the configuration and builds its lookup tables. It must be
// called once before the configuration is shared. Errors carry a result code.
func (c *Config) Validate() error {
	if c.Version == 0 {
		return result.New(result.BadValue, "the configuration has no version")
	}
	if err := c.indexRoutes(); err != nil {
		return err
	}
	return c.indexKeys()
}

func (c *Config) indexRoutes() error {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := c.checkRoute(r); err != nil {
			return err
		}
		for _, other := range c.hosts[r.Host] {
			if other.Prefix == r.Prefix {
				return result.New(result.BadValue, "routes %q and %q have the same prefix %s%s", other.Name, r.Name, r.Host, r.Prefix)
			}
		}
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return nil
}

func (c *Config) checkRoute(r *Route) error {
	if r.Timeout <= 0 {
		return result.New(result.BadValue, "route %q has no timeout", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return result.New(result.BadValue, "prefix %q of route %q does not start and end with a slash", r.Prefix, r.Name)
	}
	total := 0.0
	for _, s := range r.Shares {
		if c.Services[s.Service] == nil {
			return result.New(result.BrokenReference, "route %q names service %q, which does not exist", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return result.New(result.BadValue, "route %q has a negative weight", r.Name)
		}
		total += s.Weight
	}
	if total <= 0 {
		return result.New(result.BadValue, "the weights of route %q add up to zero", r.Name)
	}
	return nil
}

func (c *Config) indexKeys() error {
	c.keys = make(map[string]*Account)
	for i := range c.Accounts {
		a := &c.Accounts[i]
		for _, key := range a.Keys {
			if other := c.keys[key]; other != nil && other != a {
				return result.New(result.BadValue, "accounts %q and %q have the same key", other.Name, a.Name)
			}
			c.keys[key] = a
		}
	}
	return nil
}

// Route returns the route with the longest matching prefix for a host and path,
// or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that holds a key, or nil.
func (c *Config) Account(key string) *Account { return c.keys[key] }

// PickService selects a service in proportion to the weights. Point is a number in the
// interval [0, 1).
func (r *Route) PickService(point float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point *= total
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Origin returns the origin of the service that serves weights, or nil.
func (c *Config) Origin() *Origin {
	for _, s := range c.Services {
		if s.Origin != nil {
			return s.Origin
		}
	}
	return nil
}
