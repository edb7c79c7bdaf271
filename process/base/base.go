// Package base holds what the entry and the agent process have in common: log,
// metrics, clock, link counters, state dump, and the ways in which both serve
// and dial HTTP.
package base

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
	"github.com/waxwingpost/waxwingpost/process/obs"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/process/settings"
)

const (
	headerTimeout   = 10 * time.Second
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 90 * time.Second
	idleConnsPerVM  = 256
)

// Base is the common part of a process. Its fields do not change.
type Base struct {
	Auth  link.Authenticator
	Clock clockwork.Clock
	Log   *slog.Logger
	Scope tally.Scope
	Stats *link.Stats
	Dump  *obs.State

	metrics http.Handler
	closer  io.Closer
}

// New returns the common part of a process with these settings. Close flushes
// its metrics.
func New(set settings.Common, logOut io.Writer) (*Base, error) {
	log, err := obs.NewLogger(logOut, set.LogLevel, set.Name)
	if err != nil {
		return nil, err
	}
	scope, metrics, closer := obs.NewMetrics(set.Name)
	return &Base{
		Auth:    link.Authenticator{Key: set.JoinKey},
		Clock:   clockwork.NewRealClock(),
		Log:     log,
		Scope:   scope,
		Stats:   &link.Stats{},
		Dump:    &obs.State{},
		metrics: metrics,
		closer:  closer,
	}, nil
}

// Close flushes the metrics and stops reporting.
func (b *Base) Close() { _ = b.closer.Close() }

// ServeMetrics serves the metrics at an address of its own until ctx ends, and
// without a join key: the network lets only operators reach it.
func (b *Base) ServeMetrics(ctx context.Context, ip string, port int) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(wire.PathMetrics, b.metrics)
	srv := NewServer(mux)
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	return Serve(srv, l)
}

// Hello returns what a process with these settings says of itself, under a new
// incarnation. Role and the role's own fields are the caller's to add.
func Hello(set settings.Common, address string) wire.Hello {
	return wire.Hello{
		Name:        set.Name,
		Incarnation: uuid.New().String(),
		Zone:        set.Zone,
		Region:      set.Region,
		Address:     address,
	}
}

// AddOperatorPaths serves metrics, state, explanations and profiles to peers
// and operators that show the join key, and health and readiness to anybody.
func (b *Base) AddOperatorPaths(mux *http.ServeMux, check func() error, explain func(query string) (any, error)) {
	obs.AddHealth(mux, check)
	mux.Handle(wire.PathMetrics, b.Auth.Require(b.metrics))
	mux.Handle(wire.PathState, b.Auth.Require(b.Dump))
	mux.Handle(wire.PathProfiles, b.Auth.Require(obs.Profiles()))
	mux.Handle(wire.PathExplain, b.Auth.Require(obs.ExplainHandler(explain)))
}

// NewRand returns a random source of its own seed.
func NewRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// NewTransport returns a transport that keeps enough connections for the
// requests in flight to one VM, and compresses nothing.
func NewTransport() *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: idleConnsPerVM,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// UnackedLimit ends connections whose bytes the other VM does not acknowledge:
// a VM without power answers nothing, and a cut link loses what it held.
const UnackedLimit = 2 * time.Second

// ExplainNothing answers explain requests in processes that keep their records
// in the log alone.
func ExplainNothing(string) (any, error) {
	return nil, result.New(result.NotFound, "see the log")
}

// NewServer returns a server without a bound on the length of requests, which
// may be streams.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
}

// Serve serves until the server is closed, which is no error.
func Serve(srv *http.Server, l net.Listener) error {
	return ignore(srv.Serve(l), http.ErrServerClosed)
}

// IgnoreCanceled returns nil for the end of a context that was asked for.
func IgnoreCanceled(err error) error {
	return ignore(err, context.Canceled)
}

func ignore(err, expected error) error {
	if errors.Is(err, expected) {
		return nil
	}
	return err
}
