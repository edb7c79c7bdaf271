// Package runner serves dispatches on an agent: it checks that a dispatch may
// run, forwards it to the agent's backend server and streams the response
// back.
//
// A dispatch is refused as not run if the agent is draining, the token's lease
// has expired, the dispatch was sent to another incarnation, or the version's
// admission check fails. Non-repeatable calls are also recorded in the table
// of attempts.
//
// Lock order: Runner.mu is a leaf lock and is never held across a blocking
// call.
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
	"github.com/waxwingpost/waxwingpost/request/atmostonce"
	"github.com/waxwingpost/waxwingpost/request/inflight"
	"github.com/waxwingpost/waxwingpost/request/stream"
)

// Gate is the admission check of versions. Admit admits a request that was
// routed for a version (empty for a plain service), or returns an error with
// Ran set to NotRun. The returned leave function must be called when the
// request has ended.
type Gate interface {
	Admit(version string) (leave func(), err error)
}

// Defaults of Config.
const (
	DefaultMaxBodyBytes  = 1 << 20
	DefaultMaxRunTime    = 10 * time.Minute
	DefaultCancelTimeout = 2 * time.Second
	// drainRetryAfter is the Retry-After of dispatches refused by a draining
	// agent.
	drainRetryAfter = time.Second
)

// Config configures a Runner. Zero limits take the defaults.
type Config struct {
	// Agent is the agent's name, incarnation and address as sent in its Hello.
	Agent wire.Hello
	// Backend is the IP and port of the backend server.
	Backend string
	// MaxBodyBytes limits the request body of a non-repeatable call.
	MaxBodyBytes int64
	// MaxRunTime limits how long a non-repeatable call may run.
	MaxRunTime time.Duration
	// CancelTimeout limits the request to an engine to cancel a request.
	CancelTimeout time.Duration
	// Attempts configures the table of attempts.
	Attempts atmostonce.TableConfig
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

// Deps are the dependencies of a Runner.
type Deps struct {
	Leases *session.Leases
	Gate   Gate
	// Driver cancels requests at an engine; nil for a plain service.
	Driver engine.Driver
	// Transport sends requests to the backend server; nil means
	// stream.NewTransport. Non-repeatable calls use NoReuseTransport, which
	// must not reuse connections; nil means stream.NewNoReuseTransport.
	Transport        http.RoundTripper
	NoReuseTransport http.RoundTripper
	Clock            clockwork.Clock
	Log              *slog.Logger
	Scope            tally.Scope
}

// Runner is the agent's http.Handler for dispatches and queries about
// attempts. It does not authenticate its peers; the server that mounts it must
// do so. Safe for concurrent use.
type Runner struct {
	cfg      Config
	deps     Deps
	table    *atmostonce.Table
	dispatch http.Handler
	queries  http.Handler
	// send and sendOnce forward a request to the backend server, sendOnce
	// without connection reuse.
	send     endpoint.Endpoint
	sendOnce endpoint.Endpoint
	counters counters

	inFlight inflight.Counter

	// mu guards waitingEntries.
	mu sync.Mutex
	// waitingEntries holds the time at which each entry last reported queued
	// requests.
	waitingEntries map[string]time.Time
}

// waitingEntryTTL is how long an entry counts as waiting after it last reported
// queued requests.
const waitingEntryTTL = time.Second

// recordWaitingEntry records that an entry has queued requests.
func (r *Runner) recordWaitingEntry(entry string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waitingEntries[entry] = r.deps.Clock.Now()
}

// countWaitingEntries returns the number of entries that reported queued
// requests within waitingEntryTTL.
func (r *Runner) countWaitingEntries() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.deps.Clock.Now()
	for entry, at := range r.waitingEntries {
		if now.Sub(at) > waitingEntryTTL {
			delete(r.waitingEntries, entry)
		}
	}
	return len(r.waitingEntries)
}

type counters struct {
	completed, refused, truncated, canceled, attempts tally.Counter
}

// New returns a Runner with the given dependencies.
func New(cfg Config, deps Deps) *Runner {
	if deps.Transport == nil {
		deps.Transport = stream.NewTransport()
	}
	if deps.NoReuseTransport == nil {
		deps.NoReuseTransport = stream.NewNoReuseTransport()
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
		cfg: cfg, deps: deps, waitingEntries: make(map[string]time.Time), table: atmostonce.NewTable(cfg.Attempts, deps.Clock),
		counters: counters{
			completed: scope.Counter("passed"), refused: scope.Counter("refused"), truncated: scope.Counter("cut"),
			canceled: scope.Counter("canceled"), attempts: scope.Counter("attempts"),
		},
	}
	r.send = r.backendEndpoint(deps.Transport)
	r.sendOnce = r.backendEndpoint(deps.NoReuseTransport)
	r.dispatch = kithttp.NewServer(r.serveDispatch, r.decodeDispatch, r.encodeResponse, kithttp.ServerErrorEncoder(r.encodeError))
	r.queries = r.newQueryServer()
	return r
}

// ServeHTTP serves wire.PathDispatch and wire.PathAttempt to entries.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch {
	case req.URL.Path == wire.PathAttempt:
		r.queries.ServeHTTP(w, req)
	case strings.HasPrefix(req.URL.Path, wire.PathDispatch+"/"):
		stream.EnableEarlyResponse(w)
		r.dispatch.ServeHTTP(w, req)
		stream.DrainRequestBody(req)
	default:
		stream.WriteError(w, result.Refuse(result.NotFound, 0, "no such path"))
	}
}

// beginRequest counts a request as in flight unless the agent is draining or
// already has limit requests in flight.
func (r *Runner) beginRequest(limit int) error {
	switch r.inFlight.Admit(limit) {
	case inflight.Draining:
		return result.Refuse(result.Draining, drainRetryAfter, "agent %s is stopping", r.cfg.Agent.Name)
	case inflight.Full:
		return result.Refuse(result.QueueFull, 0, "agent %s has reached its limit of %d requests in flight", r.cfg.Agent.Name, limit)
	default:
		return nil
	}
}

// InFlight returns the number of requests in flight to the backend server.
func (r *Runner) InFlight() int { return r.inFlight.Count() }

// StartDrain makes the agent refuse new requests.
func (r *Runner) StartDrain() { r.inFlight.StartDrain() }

// Drain refuses new requests and waits for the requests in progress.
func (r *Runner) Drain(ctx context.Context) error { return r.inFlight.Drain(ctx) }

// Dump is the runner's section of the state dump.
type Dump struct {
	Draining bool                 `json:"draining"`
	InFlight int                  `json:"in_flight"`
	Attempts atmostonce.TableDump `json:"attempts"`
}

// Dump returns the runner's section of the state dump.
func (r *Runner) Dump() any {
	return Dump{Draining: r.inFlight.Draining(), InFlight: r.inFlight.Count(), Attempts: r.table.Dump()}
}
