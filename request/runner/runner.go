// Package runner is the agent's part of a request: it checks that a dispatch
// may run here and now, passes it to the backend server beside the agent and
// streams the answer back.
//
// A dispatch is refused as not run when the agent drains, when its token is
// past its lease, when it was meant for another incarnation, or when the
// admission check of the version does not let it through. Calls that may not
// be repeated go through the table of attempts besides.
//
// Lock order: Runner.mu is a leaf; nothing blocks under it.
package runner

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/connection/session"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/inflight"
	"github.com/waxwingpost/waxwingpost/request/once"
	"github.com/waxwingpost/waxwingpost/request/stream"
)

// Gate is the admission check of versions. Enter lets a request through that
// was routed for a version (empty for a plain service), or returns an error
// with Ran NotRun. Leave is called when the request ended.
type Gate interface {
	Enter(version string) (leave func(), err error)
}

// Defaults of Config.
const (
	DefaultMaxBodyBytes  = 1 << 20
	DefaultMaxRunTime    = 10 * time.Minute
	DefaultCancelTimeout = 2 * time.Second
	// drainRetryAfter is told to entries that reach a draining agent.
	drainRetryAfter = time.Second
)

// Config holds the runner's settings. Zero limits take the defaults.
type Config struct {
	// Agent is what the agent says of itself.
	Agent wire.Hello
	// Backend is the IP and port of the backend server.
	Backend string
	// MaxBodyBytes bounds the body of a call that may not be repeated.
	MaxBodyBytes int64
	// MaxRunTime ends a call that may not be repeated and has no answer.
	MaxRunTime time.Duration
	// CancelTimeout bounds the order to an engine to cancel a request.
	CancelTimeout time.Duration
	// Attempts bounds the table of attempts.
	Attempts once.TableConfig
}

func (c Config) withDefaults() Config {
	if c.MaxBodyBytes <= 0 {
		c.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if c.MaxRunTime <= 0 {
		c.MaxRunTime = DefaultMaxRunTime
	}
	if c.CancelTimeout <= 0 {
		c.CancelTimeout = DefaultCancelTimeout
	}
	return c
}

// Deps are what the runner works with.
type Deps struct {
	Leases *session.Leases
	Gate   Gate
	// Driver cancels requests at an engine; nil beside a plain service.
	Driver engine.Driver
	// Transport reaches the backend server; nil takes a default one. Calls
	// that may not be repeated use SingleUse, which must not keep connections.
	Transport http.RoundTripper
	SingleUse http.RoundTripper
	Clock     clockwork.Clock
	Log       *slog.Logger
	Scope     tally.Scope
}

// Runner is the agent's http.Handler for dispatches and attempts. Whoever
// mounts it lets authenticated peers through only. Safe for concurrent use.
type Runner struct {
	cfg      Config
	deps     Deps
	table    *once.Table
	dispatch http.Handler
	attempts http.Handler
	// send and sendOnce pass a call to the backend server.
	send     endpoint.Endpoint
	sendOnce endpoint.Endpoint
	counters counters

	inFlight inflight.Counter

	// mu guards waiting.
	mu sync.Mutex
	// waiting tells when each entry last had requests waiting.
	waiting map[string]time.Time
}

// contenderTime is how long an entry counts as one with requests waiting.
const contenderTime = time.Second

// noteEntry remembers that requests wait at an entry.
func (r *Runner) noteEntry(entry string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[entry] = r.deps.Clock.Now()
}

// contenders counts the entries where requests lately waited.
func (r *Runner) contenders() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.deps.Clock.Now()
	for entry, at := range r.waiting {
		if now.Sub(at) > contenderTime {
			delete(r.waiting, entry)
		}
	}
	return len(r.waiting)
}

type counters struct {
	passed, refused, cut, canceled, attempts tally.Counter
}

// New returns a runner.
func New(cfg Config, deps Deps) *Runner {
	if deps.Transport == nil {
		deps.Transport = stream.NewTransport()
	}
	if deps.SingleUse == nil {
		deps.SingleUse = stream.NewSingleUseTransport()
	}
	if deps.Scope == nil {
		deps.Scope = tally.NoopScope
	}
	if deps.Clock == nil {
		deps.Clock = clockwork.NewRealClock()
	}
	if deps.Log == nil {
		deps.Log = slog.New(slog.DiscardHandler)
	}
	cfg = cfg.withDefaults()
	scope := deps.Scope.SubScope("runner")
	r := &Runner{
		cfg: cfg, deps: deps, waiting: make(map[string]time.Time), table: once.NewTable(cfg.Attempts, deps.Clock),
		counters: counters{
			passed: scope.Counter("passed"), refused: scope.Counter("refused"), cut: scope.Counter("cut"),
			canceled: scope.Counter("canceled"), attempts: scope.Counter("attempts"),
		},
	}
	r.send = r.backendEndpoint(deps.Transport)
	r.sendOnce = r.backendEndpoint(deps.SingleUse)
	r.dispatch = kithttp.NewServer(r.serveCall, r.decodeCall, r.encodeAnswer, kithttp.ServerErrorEncoder(r.encodeError))
	r.attempts = r.attemptServer()
	return r
}

// ServeHTTP serves wire.PathDispatch and wire.PathAttempt to entries.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch {
	case req.URL.Path == wire.PathAttempt:
		r.attempts.ServeHTTP(w, req)
	case strings.HasPrefix(req.URL.Path, wire.PathDispatch+"/"):
		stream.AllowEarlyAnswer(w)
		r.dispatch.ServeHTTP(w, req)
		stream.FinishRequest(req)
	default:
		stream.WriteError(w, result.Refuse(result.NotFound, 0, "no such path"))
	}
}

// enter counts a request in unless the agent drains or passes as many as the
// entry permits.
func (r *Runner) enter(limit int) error {
	switch r.inFlight.Enter(limit) {
	case inflight.Draining:
		return result.Refuse(result.Draining, drainRetryAfter, "agent %s is stopping", r.cfg.Agent.Name)
	case inflight.Full:
		return result.Refuse(result.QueueFull, 0, "agent %s passes %d requests", r.cfg.Agent.Name, limit)
	default:
		return nil
	}
}

// InFlight counts the requests that are being passed to the backend server.
func (r *Runner) InFlight() int { return r.inFlight.Count() }

// StartDrain refuses everything new from now on.
func (r *Runner) StartDrain() { r.inFlight.StartDrain() }

// Drain refuses everything new and waits for the requests in progress.
func (r *Runner) Drain(ctx context.Context) error { return r.inFlight.Drain(ctx) }

// Dump is the runner as the state dump shows it.
type Dump struct {
	Draining bool           `json:"draining"`
	InFlight int            `json:"in_flight"`
	Attempts once.TableDump `json:"attempts"`
}

// Dump returns the runner's state.
func (r *Runner) Dump() any {
	return Dump{Draining: r.inFlight.Draining(), InFlight: r.inFlight.Count(), Attempts: r.table.Dump()}
}
