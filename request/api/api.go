// Package api serves callers on an entry: it accepts chat completions and
// calls of plain services, admits them, picks a backend server, dispatches the
// request to that server's agent and streams the response back.
//
// Repeatable requests are retried within a budget; non-repeatable calls go
// through package atmostonce. Every response is complete or ends with an explicit
// error.
//
// Lock order: API.mu is a leaf lock and is never held across a blocking call.
package api

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/session"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/defaults"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/admission"
	"github.com/waxwingpost/waxwingpost/request/atmostonce"
	"github.com/waxwingpost/waxwingpost/request/inflight"
	"github.com/waxwingpost/waxwingpost/request/reqlog"
	"github.com/waxwingpost/waxwingpost/request/routing"
	"github.com/waxwingpost/waxwingpost/request/stream"
)

// Defaults of Config.
const (
	DefaultDeadline              = 30 * time.Second
	DefaultBufferedBodyBytes     = 64 << 10
	DefaultMaxBodyBytes          = 1 << 20
	DefaultMaxResponseBytes      = 4 << 20
	DefaultMaxAttempts           = 3
	DefaultBufferedResponseBytes = 64 << 10
	DefaultAffinityBytes         = 256
	// drainRetryAfter is the Retry-After of requests refused by a draining
	// entry.
	drainRetryAfter = time.Second
	// syncRetryAfter is the Retry-After of requests refused before the entry
	// has read the configuration in force.
	syncRetryAfter = time.Second
)

// Config configures the API. Zero fields take the defaults.
type Config struct {
	// BufferedBodyBytes is how much of a request body is buffered for routing
	// and retries.
	BufferedBodyBytes int
	// MaxBodyBytes limits the request body of a non-repeatable call.
	MaxBodyBytes int64
	// MaxResponseBytes limits how much of the response to a non-repeatable
	// call is buffered.
	MaxResponseBytes int64
	// BufferedResponseBytes is the size up to which a response that is not an
	// event stream is buffered before it is forwarded, so that the request can
	// be retried if the response is truncated.
	BufferedResponseBytes int64
	// MaxAttempts limits the attempts per repeatable request.
	MaxAttempts int
	// AffinityBytes is how much of a prompt's first message is hashed into the
	// prefix used for cache-affine routing.
	AffinityBytes int
	// LogSize is the number of recent requests available to Explain.
	LogSize   int
	Admission admission.Config
	Routing   routing.Config
	Once      atmostonce.Config
}

func (c Config) withDefaults() Config {
	defaults.IfNotPositive(&c.BufferedBodyBytes, DefaultBufferedBodyBytes)
	defaults.IfNotPositive(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	defaults.IfNotPositive(&c.MaxResponseBytes, DefaultMaxResponseBytes)
	defaults.IfNotPositive(&c.BufferedResponseBytes, DefaultBufferedResponseBytes)
	defaults.IfNotPositive(&c.MaxAttempts, DefaultMaxAttempts)
	defaults.IfNotPositive(&c.AffinityBytes, DefaultAffinityBytes)
	defaults.IfNotPositive(&c.LogSize, reqlog.DefaultSize)
	return c
}

// Deps are the dependencies of the API.
type Deps struct {
	Settings Config
	// Config returns the configuration in force and its revision.
	Config   func() (*config.Config, uint64)
	Sessions *session.Table
	Store    control.Store
	// Calls reads a call's record from the local replica of the control state.
	Calls func(account, key string) (control.Call, bool)
	// Synced reports whether the local configuration is recent enough to serve
	// requests; nil means always. A fresh entry without a configuration must
	// not tell callers that their account or service does not exist.
	Synced func() bool
	Self   wire.Hello
	Auth   link.Authenticator
	// Transport sends requests to agents; nil means stream.NewTransport.
	Transport http.RoundTripper
	Clock     clockwork.Clock
	Rand      *rand.Rand
	Log       *slog.Logger
	Scope     tally.Scope
}

// API is the http.Handler of an entry for callers. Safe for concurrent use.
type API struct {
	cfg          Config
	deps         Deps
	routes       atomic.Pointer[routeTable]
	limits       *admission.Limits
	requests     *reqlog.Log
	once         *atmostonce.Coordinator
	silence      *silenceDetector
	server       http.Handler
	sendDispatch endpoint.Endpoint
	counters     counters
	ids          atomic.Uint64
	idPrefix     string

	inFlight inflight.Counter

	// mu guards services.
	mu       sync.Mutex
	services map[string]*serviceState
}

type counters struct {
	requests, refused, retried, resumed, truncated, callerGone, regionRefused tally.Counter
	duration                                                                  tally.Timer
}

// New returns an API with the given dependencies.
func New(d Deps) *API {
	setDefaults(&d)
	a := &API{
		cfg: d.Settings.withDefaults(), deps: d, limits: admission.NewLimits(d.Clock),
		services: make(map[string]*serviceState), counters: newCounters(d.Scope),
		idPrefix: d.Self.Name + "-" + shortIncarnation(d.Self.Incarnation) + "-",
	}
	a.cfg.Routing.Entry, a.cfg.Routing.Zone, a.cfg.Routing.Region = d.Self.Name, d.Self.Zone, d.Self.Region
	a.silence = newSilenceDetector(d.Sessions, d.Clock)
	a.requests = reqlog.New(a.cfg.LogSize, d.Clock)
	a.once = atmostonce.NewCoordinator(atmostonce.Deps{
		Config: a.cfg.Once, Store: d.Store, Calls: d.Calls, Lookup: d.Sessions.Lookup, SendQuery: a.newQueryFunc(),
		Entry: d.Self.Name + "/" + d.Self.Incarnation, VM: d.Self.Name,
		Clock: d.Clock, Log: d.Log, Scope: d.Scope,
	})
	a.sendDispatch = kithttp.NewExplicitClient(
		a.createDispatch, decodeDispatchResponse,
		kithttp.SetClient(stream.Client{Transport: d.Transport}), kithttp.BufferedStream(true),
	).Endpoint()
	a.server = kithttp.NewServer(a.serve, a.decodeRequest, a.encodeResponse, kithttp.ServerErrorEncoder(a.encodeError))
	return a
}

func setDefaults(d *Deps) {
	if d.Transport == nil {
		d.Transport = stream.NewTransport()
	}
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	if d.Clock == nil {
		d.Clock = clockwork.NewRealClock()
	}
	if d.Log == nil {
		d.Log = slog.New(slog.DiscardHandler)
	}
}

func newCounters(root tally.Scope) counters {
	scope := root.SubScope("requests")
	return counters{
		requests: scope.Counter("requests"), refused: scope.Counter("refused"), retried: scope.Counter("retried"),
		resumed: scope.Counter("resumed"), truncated: scope.Counter("cut"), callerGone: scope.Counter("caller_gone"), regionRefused: scope.Counter("refused_for_region"),
		duration: scope.Timer("duration"),
	}
}

const shortIncarnationLen = 8

func shortIncarnation(incarnation string) string {
	return incarnation[:min(len(incarnation), shortIncarnationLen)]
}

// ServeHTTP serves one request of a caller.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.counters.requests.Inc(1)
	if err := a.beginRequest(); err != nil {
		a.encodeError(r.Context(), err, w)
		return
	}
	defer a.inFlight.Done()
	stream.EnableEarlyResponse(w)
	a.server.ServeHTTP(w, r)
	stream.DrainRequestBody(r)
}

func (a *API) beginRequest() error {
	if a.deps.Synced != nil && !a.deps.Synced() {
		return result.Refuse(result.NotSynced, syncRetryAfter, "entry %s has not read the configuration in force yet", a.deps.Self.Name)
	}
	if a.inFlight.Admit(0) != inflight.Admitted {
		return result.Refuse(result.Draining, drainRetryAfter, "entry %s is stopping", a.deps.Self.Name)
	}
	return nil
}

// Drain refuses new requests and waits for the requests in progress and for
// pending writes of call records.
func (a *API) Drain(ctx context.Context) error {
	if err := a.inFlight.Drain(ctx); err != nil {
		return err
	}
	return a.once.Drain(ctx)
}

// Explain returns the decisions made for a recent request.
func (a *API) Explain(requestID string) (any, bool) {
	return a.requests.Find(requestID)
}

// Dump is the API's section of the state dump.
type Dump struct {
	Draining bool                   `json:"draining"`
	InFlight int                    `json:"in_flight"`
	Pending  int                    `json:"calls_and_records_pending"`
	Services map[string]ServiceDump `json:"services"`
}

// ServiceDump is one service's section of the state dump.
type ServiceDump struct {
	Admission admission.Dump       `json:"admission"`
	Backends  []routing.ServerDump `json:"backends"`
}

// Dump returns the API's section of the state dump.
func (a *API) Dump() any {
	d := Dump{Draining: a.inFlight.Draining(), InFlight: a.inFlight.Count(), Services: make(map[string]ServiceDump)}
	a.mu.Lock()
	services := make([]*serviceState, 0, len(a.services))
	for _, svc := range a.services {
		services = append(services, svc)
	}
	a.mu.Unlock()
	d.Pending = a.once.Pending()
	for _, svc := range services {
		d.Services[svc.name] = ServiceDump{Admission: svc.admission.Dump(), Backends: svc.group.Dump()}
	}
	return d
}
