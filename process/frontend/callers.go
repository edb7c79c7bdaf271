package frontend

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

const (
	// minIdleTime is how long a connection must have been idle to be closed by a
	// shutdown. A caller that has just connected is about to send.
	minIdleTime = 200 * time.Millisecond
	// shutdownInterval is the interval at which a shutdown looks for idle
	// connections.
	shutdownInterval = 20 * time.Millisecond
)

// callerServer serves the connections of callers. Unlike http.Server.Shutdown, its
// shutdown answers the requests that arrived before their connection was closed.
type callerServer struct {
	server   *http.Server
	listener net.Listener
	clock    clockwork.Clock
	stats    *connStats
	// guard, if not nil, applies the process's limits to the server and its listener.
	guard func(*http.Server, net.Listener) net.Listener

	// mu guards conns; it is a leaf lock.
	mu sync.Mutex
	// conns holds since when each open connection has been new or idle. Connections
	// that are read after their last response are open.
	conns map[*callerConn]time.Time
}

func newCallerServer(h http.Handler, l net.Listener, stats *connStats, clock clockwork.Clock, log *slog.Logger) *callerServer {
	s := &callerServer{listener: l, clock: clock, stats: stats, conns: map[*callerConn]time.Time{}}
	s.server = &http.Server{
		Handler: stats.handler(h), ReadHeaderTimeout: idleTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug), ConnState: s.setState, ConnContext: stats.connContext,
	}
	return s
}

// serve serves connections until the server is closed or shut down, which is not an
// error.
func (s *callerServer) serve() error {
	var l net.Listener = callerListener{Listener: s.stats.listener(s.listener), server: s}
	if s.guard != nil {
		l = s.guard(s.server, l)
	}
	err := s.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// callerListener registers the connections that it accepts.
type callerListener struct {
	net.Listener
	server *callerServer
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if cc, ok := c.(*callerConn); ok {
		cc.onClosed = func() { l.server.forget(cc) }
		l.server.setIdle(cc)
	}
	return c, err
}

func (s *callerServer) setState(c net.Conn, state http.ConnState) {
	s.stats.connState(c, state)
	if cc, ok := callerConnOf(c); ok && state == http.StateIdle {
		s.setIdle(cc)
	}
}

func (s *callerServer) setIdle(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = s.clock.Now()
}

func (s *callerServer) forget(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// shutdown stops accepting connections, closes idle ones and waits until all are
// closed. It returns the error of ctx if that ends first. The handler must close the
// connections of requests that still arrive.
func (s *callerServer) shutdown(ctx context.Context) error {
	_ = s.listener.Close()
	for s.closeIdle() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.clock.After(shutdownInterval):
		}
	}
	return nil
}

// closeIdle closes the idle connections and returns the number of open ones.
func (s *callerServer) closeIdle() int {
	now := s.clock.Now()
	s.mu.Lock()
	open := len(s.conns)
	var idle []*callerConn
	for c, since := range s.conns {
		if now.Sub(since) >= minIdleTime && !c.hasRequest() {
			idle = append(idle, c)
		}
	}
	s.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
	return open
}

// close closes all connections at once.
func (s *callerServer) close() { _ = s.server.Close() }
