// Package api serves callers on an entry: it takes chat completions and the
// calls of plain services, admits them, chooses a backend server, dispatches
// to the agent beside it and streams the answer back.
//
// Requests that may be repeated are retried within a budget; calls that may
// not be repeated go through package once. Every answer is whole or ends with
// an explicit error.
//
// Lock order: API.mu is a leaf; nothing blocks under it.
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
	"github.com/waxwingpost/waxwingpost/request/inflight"
	"github.com/waxwingpost/waxwingpost/request/once"
	"github.com/waxwingpost/waxwingpost/request/reqlog"
	"github.com/waxwingpost/waxwingpost/request/routing"
	"github.com/waxwingpost/waxwingpost/request/stream"
)

// Defaults of Config.
const (
	DefaultDeadline      = 30 * time.Second
	DefaultHeadBytes     = 64 << 10
	DefaultMaxBodyBytes  = 1 << 20
	DefaultMaxAnswer     = 4 << 20
	DefaultMaxAttempts   = 3
	DefaultWholeAnswer   = 64 << 10
	DefaultAffinityBytes = 256
	// drainRetryAfter is told to callers that reach a draining entry.
	drainRetryAfter = time.Second
	syncRetryAfter  = time.Second
)

// Config tunes the API. Zero fields take the defaults.
type Config struct {
	// HeadBytes is how much of a body is held for routing and for a retry.
	HeadBytes int
	// MaxBodyBytes bounds the body of a call that may not be repeated.
	MaxBodyBytes int64
	// MaxAnswerBytes bounds the answer of such a call that is held.
	MaxAnswerBytes int64
	// WholeAnswerBytes is the size up to which an answer that is not a stream
	// is read whole before it is passed on, so that a cut can be retried.
	WholeAnswerBytes int64
	// MaxAttempts bounds the attempts at a request that may be repeated.
	MaxAttempts int
	// AffinityBytes is how much of a prompt's first message makes its prefix.
	AffinityBytes int
	// LogSize is the number of recent requests kept for Explain.
	LogSize   int
	Admission admission.Config
	Routing   routing.Config
	Once      once.Config
}

func (c Config) withDefaults() Config {
	defaults.IfNotPositive(&c.HeadBytes, DefaultHeadBytes)
	defaults.IfNotPositive(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	defaults.IfNotPositive(&c.MaxAnswerBytes, DefaultMaxAnswer)
	defaults.IfNotPositive(&c.WholeAnswerBytes, DefaultWholeAnswer)
	defaults.IfNotPositive(&c.MaxAttempts, DefaultMaxAttempts)
	defaults.IfNotPositive(&c.AffinityBytes, DefaultAffinityBytes)
	defaults.IfNotPositive(&c.LogSize, reqlog.DefaultSize)
	return c
}

// Deps are what the API works with.
type Deps struct {
	Settings Config
	// Config returns the configuration in force and its revision.
	Config   func() (*config.Config, uint64)
	Sessions *session.Table
	Store    control.Store
	// Calls reads the local copy of the control state.
	Calls func(account, key string) (control.Call, bool)
	// Synced reports whether the configuration at hand may be served by; nil
	// means always. A fresh entry that knows nothing yet must not tell callers
	// that their account or service does not exist.
	Synced func() bool
	Self   wire.Hello
	Auth   link.Authenticator
	// Transport reaches the agents; nil takes a default one.
	Transport http.RoundTripper
	Clock     clockwork.Clock
	Rand      *rand.Rand
	Log       *slog.Logger
	Scope     tally.Scope
}

// API is the callers' http.Handler of an entry. Safe for concurrent use.
type API struct {
	cfg      Config
	d        Deps
	routes   atomic.Pointer[routeTable]
	limits   *admission.Limits
	requests *reqlog.Log
	once     *once.Coordinator
	watcher  *watcher
	server   http.Handler
	send     endpoint.Endpoint
	counters counters
	ids      atomic.Uint64
	idPrefix string

	inFlight inflight.Counter

	// mu guards targets.
	mu      sync.Mutex
	targets map[string]*target
}

type counters struct {
	requests, refused, retried, resumed, cut, gone tally.Counter
	duration                                       tally.Timer
}

// New returns the API of an entry.
func New(d Deps) *API {
	fillDeps(&d)
	a := &API{
		cfg: d.Settings.withDefaults(), d: d, limits: admission.NewLimits(d.Clock),
		targets: make(map[string]*target), counters: newCounters(d.Scope),
		idPrefix: d.Self.Name + "-" + shortened(d.Self.Incarnation) + "-",
	}
	a.cfg.Routing.Entry, a.cfg.Routing.Zone, a.cfg.Routing.Region = d.Self.Name, d.Self.Zone, d.Self.Region
	a.watcher = newWatcher(d.Sessions, d.Clock)
	a.requests = reqlog.New(a.cfg.LogSize, d.Clock)
	a.once = once.NewCoordinator(once.Deps{
		Config: a.cfg.Once, Store: d.Store, Calls: d.Calls, Lookup: d.Sessions.Lookup, Ask: a.askEndpoint(),
		Entry: d.Self.Name + "/" + d.Self.Incarnation, VM: d.Self.Name,
		Clock: d.Clock, Log: d.Log, Scope: d.Scope,
	})
	a.send = kithttp.NewExplicitClient(
		a.createDispatch, decodeDispatched,
		kithttp.SetClient(stream.Client{Transport: d.Transport}), kithttp.BufferedStream(true),
	).Endpoint()
	a.server = kithttp.NewServer(a.serve, a.decode, a.encode, kithttp.ServerErrorEncoder(a.encodeError))
	return a
}

func fillDeps(d *Deps) {
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
		resumed: scope.Counter("resumed"), cut: scope.Counter("cut"), gone: scope.Counter("caller_gone"),
		duration: scope.Timer("duration"),
	}
}

const shortIncarnation = 8

func shortened(incarnation string) string {
	return incarnation[:min(len(incarnation), shortIncarnation)]
}

// ServeHTTP serves callers.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.counters.requests.Inc(1)
	if err := a.enter(); err != nil {
		a.encodeError(r.Context(), err, w)
		return
	}
	defer a.inFlight.Leave()
	stream.AllowEarlyAnswer(w)
	a.server.ServeHTTP(w, r)
	stream.FinishRequest(r)
}

func (a *API) enter() error {
	if a.d.Synced != nil && !a.d.Synced() {
		return result.Refuse(result.NotSynced, syncRetryAfter, "entry %s has not read the configuration in force yet", a.d.Self.Name)
	}
	if a.inFlight.Enter(0) != inflight.Entered {
		return result.Refuse(result.Draining, drainRetryAfter, "entry %s is stopping", a.d.Self.Name)
	}
	return nil
}

// Drain refuses everything new and waits for the requests in progress and for
// the records that are still to be written.
func (a *API) Drain(ctx context.Context) error {
	if err := a.inFlight.Drain(ctx); err != nil {
		return err
	}
	return a.once.Drain(ctx)
}

// Explain returns every decision about a recent request.
func (a *API) Explain(requestID string) (any, bool) {
	return a.requests.Find(requestID)
}

// Dump is the API as the state dump shows it.
type Dump struct {
	Draining bool                  `json:"draining"`
	InFlight int                   `json:"in_flight"`
	Pending  int                   `json:"calls_and_records_pending"`
	Services map[string]TargetDump `json:"services"`
}

// TargetDump is one service as the state dump shows it.
type TargetDump struct {
	Admission admission.Dump       `json:"admission"`
	Backends  []routing.ServerDump `json:"backends"`
}

// Dump returns the API's state.
func (a *API) Dump() any {
	d := Dump{Draining: a.inFlight.Draining(), InFlight: a.inFlight.Count(), Services: make(map[string]TargetDump)}
	a.mu.Lock()
	targets := make([]*target, 0, len(a.targets))
	for _, t := range a.targets {
		targets = append(targets, t)
	}
	a.mu.Unlock()
	d.Pending = a.once.Pending()
	for _, t := range targets {
		d.Services[t.name] = TargetDump{Admission: t.control.Dump(), Backends: t.group.Dump()}
	}
	return d
}
