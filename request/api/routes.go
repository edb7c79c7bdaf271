package api

import (
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/session"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/admission"
	"github.com/waxwingpost/waxwingpost/request/retry"
	"github.com/waxwingpost/waxwingpost/request/routing"
)

// serviceState holds an entry's routing group, admission controller and retry
// budget of one service. It persists across configuration revisions.
type serviceState struct {
	name string
	// evacuated reports whether a zone is evacuated by the configuration in force.
	evacuated func(zone string) bool
	sessions  *session.Table
	group     *routing.Group
	admission *admission.Controller
	budget    *retry.Budget
}

// backends returns the servers that may get new requests.
func (svc *serviceState) backends() []*session.Backend {
	return routing.WithoutZones(svc.sessions.Backends(svc.name), svc.evacuated)
}

// noBackend returns the refusal of a request for which there is no server.
func (svc *serviceState) noBackend() error {
	if len(svc.sessions.Backends(svc.name)) > 0 && len(svc.backends()) == 0 {
		return result.Refuse(result.ZoneEvacuated, evacuatedRetryAfter, "all backend servers are in evacuated zones")
	}
	return admission.NoBackend()
}

// evacuatedRetryAfter is the retry delay sent to callers if all servers of the service are in
// evacuated zones, which lasts until an operator changes that.
const evacuatedRetryAfter = 2 * time.Second

// evacuated reports whether a zone is evacuated by the configuration in force.
func (a *API) evacuated(zone string) bool {
	cfg, _ := a.deps.Config()
	return cfg.Zones[zone].Evacuated
}

// serviceState returns the state of a service, which is created at first use.
func (a *API) serviceState(service string) *serviceState {
	a.mu.Lock()
	defer a.mu.Unlock()
	svc := a.services[service]
	if svc == nil {
		svc = &serviceState{name: service, evacuated: a.evacuated, sessions: a.deps.Sessions, budget: retry.NewBudget()}
		svc.group = routing.NewGroup(a.cfg.Routing, a.deps.Clock)
		usable := func() bool { return len(svc.backends()) > 0 }
		scope := a.deps.Scope.SubScope("admission").Tagged(map[string]string{"service": service})
		svc.admission = admission.NewController(a.cfg.Admission, usable, a.deps.Clock, scope)
		a.services[service] = svc
	}
	return svc
}

// route is a configured route and the service that it belongs to.
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

// routeTable indexes the routes of one configuration revision.
type routeTable struct {
	revision uint64
	config   *config.Config
	// serviceByModel maps the name of a model, adapter or engine service to the
	// engine service.
	serviceByModel map[string]string
	// versionFilters holds, for each engine service, the predicate for versions
	// that may serve its requests.
	versionFilters map[string]func(version string) bool
	// routes are in matching order: longest path first.
	routes []route
}

// currentRoutes returns the route table of the configuration in force.
func (a *API) currentRoutes() *routeTable {
	cfg, revision := a.deps.Config()
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
		serviceByModel: make(map[string]string), versionFilters: make(map[string]func(string) bool),
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
			t.serviceByModel[name] = name
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

// addEngine indexes an engine service by its model and adapters. If two
// services have the same model, the first by name wins.
func (t *routeTable) addEngine(name string, s config.Service) {
	model := t.config.Versions[s.Version].Model
	names := []string{model}
	for _, adapter := range s.Adapters {
		names = append(names, adapter, t.config.Versions[adapter].Model)
	}
	for _, m := range names {
		if _, taken := t.serviceByModel[m]; m != "" && !taken {
			t.serviceByModel[m] = name
		}
	}
	t.versionFilters[name] = func(version string) bool {
		if version == "" {
			return false
		}
		return version == s.Version || model == "" || t.config.Versions[version].Model == model
	}
}

// match finds the route of a request that is not selected by its model.
func (t *routeTable) match(method, path string) *route {
	for i := range t.routes {
		if t.routes[i].matches(method, path) {
			return &t.routes[i]
		}
	}
	return nil
}

// chatRoute returns the configured route for chat completions of an engine
// service, or a repeatable default.
func (t *routeTable) chatRoute(service string) *route {
	for i := range t.routes {
		r := &t.routes[i]
		if r.service == service && r.matches(http.MethodPost, wire.PathChat) {
			return r
		}
	}
	return &route{service: service, Route: config.Route{Method: http.MethodPost, Path: wire.PathChat, Repeatable: true}}
}
