package api

import (
	"net/http"
	"sort"
	"strings"

	"github.com/waxwingpost/waxwingpost/connection/session"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/request/admission"
	"github.com/waxwingpost/waxwingpost/request/retry"
	"github.com/waxwingpost/waxwingpost/request/routing"
)

// target is a service as the entry reaches it. It outlives revisions of the
// configuration.
type target struct {
	name     string
	sessions *session.Table
	group    *routing.Group
	control  *admission.Controller
	budget   *retry.Budget
}

func (t *target) backends() []*session.Backend { return t.sessions.Backends(t.name) }

// target returns the service's target and makes it at first use.
func (a *API) target(service string) *target {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.targets[service]
	if t == nil {
		t = &target{name: service, sessions: a.d.Sessions, budget: retry.NewBudget()}
		t.group = routing.NewGroup(a.cfg.Routing, a.d.Clock)
		usable := func() bool { return len(t.backends()) > 0 }
		scope := a.d.Scope.SubScope("admission").Tagged(map[string]string{"service": service})
		t.control = admission.NewController(a.cfg.Admission, usable, a.d.Clock, scope)
		a.targets[service] = t
	}
	return t
}

// route is one call of a service.
type route struct {
	service string
	config.Route
}

func (r *route) matches(method, path string) bool {
	if r.Method != method {
		return false
	}
	if strings.HasSuffix(r.Path, "/") {
		return strings.HasPrefix(path, r.Path)
	}
	return path == r.Path
}

// routeTable is what requests are matched against under one revision.
type routeTable struct {
	revision uint64
	config   *config.Config
	// models maps a model's or service's name to the engine service.
	models map[string]string
	// accepts tells for each engine service which versions may answer.
	accepts map[string]func(version string) bool
	// routes are in the order of matching: the longest path first.
	routes []route
}

// table returns the routes of the configuration in force.
func (a *API) table() *routeTable {
	cfg, revision := a.d.Config()
	if t := a.routes.Load(); t != nil && t.revision == revision && t.config == cfg {
		return t
	}
	t := newRouteTable(cfg, revision)
	a.routes.Store(t)
	return t
}

func newRouteTable(cfg *config.Config, revision uint64) *routeTable {
	t := &routeTable{
		revision: revision, config: cfg,
		models: make(map[string]string), accepts: make(map[string]func(string) bool),
	}
	names := make([]string, 0, len(cfg.Services))
	for name := range cfg.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		t.addRoutes(name, cfg.Services[name])
		if cfg.Services[name].Kind == config.ServiceEngine {
			t.addEngine(name, cfg.Services[name])
		}
	}
	for _, name := range names {
		if cfg.Services[name].Kind == config.ServiceEngine {
			t.models[name] = name
		}
	}
	sort.SliceStable(t.routes, func(i, j int) bool { return len(t.routes[i].Path) > len(t.routes[j].Path) })
	return t
}

func (t *routeTable) addRoutes(name string, s config.Service) {
	for _, r := range s.Routes {
		t.routes = append(t.routes, route{service: name, Route: r})
	}
}

// addEngine makes the service known by its model and adapters. Where two
// services have the same model the first by name takes it.
func (t *routeTable) addEngine(name string, s config.Service) {
	model := t.config.Versions[s.Version].Model
	known := []string{model}
	for _, adapter := range s.Adapters {
		known = append(known, adapter, t.config.Versions[adapter].Model)
	}
	for _, m := range known {
		if _, taken := t.models[m]; m != "" && !taken {
			t.models[m] = name
		}
	}
	t.accepts[name] = func(version string) bool {
		if version == "" {
			return false
		}
		return version == s.Version || model == "" || t.config.Versions[version].Model == model
	}
}

// match finds the route of a call that is not chosen by its model.
func (t *routeTable) match(method, path string) *route {
	for i := range t.routes {
		if t.routes[i].matches(method, path) {
			return &t.routes[i]
		}
	}
	return nil
}

// chatRoute finds what the configuration says of an engine's completions.
func (t *routeTable) chatRoute(service string) *route {
	for i := range t.routes {
		r := &t.routes[i]
		if r.service == service && r.matches(http.MethodPost, wire.PathChat) {
			return r
		}
	}
	return &route{service: service, Route: config.Route{Method: http.MethodPost, Path: wire.PathChat, Repeatable: true}}
}
