// Package runtime provides the common parts of all processes: log, metrics, clock,
// link statistics, state dump, and HTTP servers and transports.
package runtime

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/intake"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/process/settings"
	"github.com/waxwingpost/waxwingpost/process/telemetry"
)

const (
	headerTimeout     = 10 * time.Second
	dialTimeout       = 2 * time.Second
	idleConnTimeout   = 90 * time.Second
	maxIdleConnsPerVM = 256
)

// Runtime holds the common parts of a process. Its fields are not changed while the
// process runs.
type Runtime struct {
	Auth  link.Authenticator
	Clock clockwork.Clock
	// AgeClock also counts the time for which the VM is suspended.
	AgeClock boottime.Clock
	Log      *slog.Logger
	Scope    tally.Scope
	Stats    *link.Stats
	Dump     *telemetry.State
	// Intake bounds what the servers hold for callers; nil means no bounds.
	Intake *intake.Guard

	// OperatorPaths holds the handlers of further paths for operators on the address of the
	// metrics.
	OperatorPaths map[string]http.Handler

	metrics       http.Handler
	metricsCloser io.Closer
}

// New returns the common parts of a process with the given settings. Close must be
// called to flush the metrics.
func New(cfg settings.Common, logOut io.Writer) (*Runtime, error) {
	log, err := telemetry.NewLogger(logOut, cfg.LogLevel, cfg.Name)
	if err != nil {
		return nil, err
	}
	scope, metrics, closer := telemetry.NewMetrics(cfg.Name)
	rt := &Runtime{
		Auth:          link.Authenticator{Key: cfg.JoinKey},
		Clock:         clockwork.NewRealClock(),
		AgeClock:      boottime.System(),
		Log:           log,
		Scope:         scope,
		Stats:         &link.Stats{},
		Dump:          &telemetry.State{},
		OperatorPaths: map[string]http.Handler{},
		metrics:       metrics,
		metricsCloser: closer,
	}
	memory := cfg.Intake.MemoryMB << 20
	rt.Intake = intake.New(intakeLimits(cfg.Intake), rt.Clock, log, scope)
	rt.Dump.Add("intake", rt.Intake.Dump)
	intake.SetMemoryLimit(memory)
	return rt, nil
}

// intakeLimits returns the limits on callers: those that are set, else derived ones.
func intakeLimits(cfg settings.Intake) intake.Limits {
	l := intake.LimitsFor(cfg.MemoryMB<<20, cfg.MaxDescriptors)
	return l.Override(intake.Limits{
		HeaderBytes: cfg.HeaderMemoryBytes, BodyBytes: cfg.BodyMemoryBytes, Connections: cfg.MaxConnections, SectionBytes: cfg.MaxHeaderBytes,
	})
}

// Close flushes the metrics and stops reporting.
func (rt *Runtime) Close() { _ = rt.metricsCloser.Close() }

// ServeMetrics serves the metrics on a separate address until ctx is done. It
// requires no join key, because the network lets only operators reach the address.
func (rt *Runtime) ServeMetrics(ctx context.Context, ip string, port int) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(wire.PathMetrics, rt.metrics)
	for path, handler := range rt.OperatorPaths {
		mux.Handle(path, handler)
	}
	srv := NewServer(mux)
	l = rt.Guard(srv, l)
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	return Serve(srv, l)
}

// Hello returns the hello message of a process with the given settings and a new
// incarnation. The caller must set Role and the fields that depend on it.
func Hello(cfg settings.Common, address string) wire.Hello {
	return wire.Hello{
		Name:        cfg.Name,
		Incarnation: uuid.New().String(),
		Zone:        cfg.Zone,
		Region:      cfg.Region,
		Address:     address,
	}
}

// AddOperatorPaths registers the handlers for metrics, state, explain requests and
// profiles, which require the join key, and for health and readiness, which don't.
func (rt *Runtime) AddOperatorPaths(mux *http.ServeMux, check func() error, explain func(query string) (any, error)) {
	telemetry.AddHealth(mux, check)
	mux.Handle(wire.PathMetrics, rt.Auth.Require(rt.metrics))
	mux.Handle(wire.PathState, rt.Auth.Require(rt.Dump))
	mux.Handle(wire.PathProfiles, rt.Auth.Require(telemetry.ProfileHandler()))
	mux.Handle(wire.PathExplain, rt.Auth.Require(telemetry.ExplainHandler(explain)))
}

// NewRand returns a new randomly seeded generator.
func NewRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// NewTransport returns a transport that keeps enough idle connections for the
// requests in flight to one VM, does not use compression and checks the heads of responses.
func NewTransport() *intake.HeadTransport {
	d := &net.Dialer{Timeout: dialTimeout}
	return intake.CheckHeads(&http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerVM,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	})
}

// UnackedTimeout is the time after which a connection with unacknowledged bytes is
// closed. A VM that lost power sends no reset, and a link failure loses the packets
// in flight.
const UnackedTimeout = 2 * time.Second

// ExplainUnsupported rejects explain requests. It is for processes that record their
// decisions only in the log.
func ExplainUnsupported(string) (any, error) {
	return nil, result.New(result.NotFound, "this process records its decisions only in its log")
}

// NewServer returns a server that limits the size of a header and the time to read it, and
// how long connections are idle, but not the time of requests and responses, which may be
// long streams.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleConnTimeout, MaxHeaderBytes: intake.SectionBytes}
}

// Guard applies the process's limits on callers to a server. It returns the listener that the
// server must serve instead of l.
func (rt *Runtime) Guard(srv *http.Server, l net.Listener) net.Listener {
	if rt.Intake == nil {
		return l
	}
	rt.Intake.Server(srv)
	return rt.Intake.Listener(l)
}

// LimitBodies accounts for the bodies of a handler's requests, which it reads whole.
func (rt *Runtime) LimitBodies(h http.Handler) http.Handler {
	if rt.Intake == nil {
		return h
	}
	return rt.Intake.LimitBodies(h)
}

// NewLinkServer returns a server for links to other processes, which end with ctx.
func NewLinkServer(ctx context.Context, h http.Handler) *http.Server {
	srv := NewServer(h)
	srv.BaseContext = func(net.Listener) context.Context { return ctx }
	return srv
}

// Serve serves connections from l until srv is closed, which is not an error.
func Serve(srv *http.Server, l net.Listener) error {
	return ignoreError(srv.Serve(l), http.ErrServerClosed)
}

// IgnoreCanceled returns nil if err is context.Canceled, else err.
func IgnoreCanceled(err error) error {
	return ignoreError(err, context.Canceled)
}

func ignoreError(err, expected error) error {
	if errors.Is(err, expected) {
		return nil
	}
	return err
}
