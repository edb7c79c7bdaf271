package frontend

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

const (
	// lingerTimeout bounds how long a connection is read after its write side was
	// closed. Closing it at once with unread bytes would reset it, and the caller
	// could lose the end of its response.
	lingerTimeout = 2 * time.Second
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

	// mu guards conns; it is a leaf lock.
	mu sync.Mutex
	// conns holds the open connections, including those that are read after the end
	// of their last response.
	conns map[*callerConn]connStatus
}

// connStatus is the state of a connection and when it began.
type connStatus struct {
	state http.ConnState
	since time.Time
}

func newCallerServer(h http.Handler, l net.Listener, clock clockwork.Clock, log *slog.Logger) *callerServer {
	s := &callerServer{listener: l, clock: clock, conns: map[*callerConn]connStatus{}}
	s.server = &http.Server{
		Handler: h, ReadHeaderTimeout: idleTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug), ConnState: s.setState,
	}
	return s
}

// serve serves connections until the server is closed or shut down, which is not an
// error.
func (s *callerServer) serve() error {
	err := s.server.Serve(callerListener{Listener: s.listener, server: s})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *callerServer) setState(c net.Conn, state http.ConnState) {
	if state == http.StateClosed {
		return // forget is called when the connection is closed completely
	}
	conn := c.(*callerConn)
	if state == http.StateIdle {
		conn.received.Store(false)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = connStatus{state: state, since: s.clock.Now()}
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
	for c, status := range s.conns {
		if status.state != http.StateActive && now.Sub(status.since) >= minIdleTime && !c.hasRequest() {
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

// callerListener accepts callerConns.
type callerListener struct {
	net.Listener
	server *callerServer
}

func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{TCPConn: c.(*net.TCPConn), server: l.server}, nil
}

// callerConn is a connection whose Close closes the write side first and discards
// what still arrives.
type callerConn struct {
	*net.TCPConn
	server *callerServer

	// received is set once a part of the next request was read.
	received atomic.Bool
	// reading is held during Read.
	reading sync.Mutex
	// mu guards closing, and the deadlines until it is set.
	mu      sync.Mutex
	closing bool
}

func (c *callerConn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	if closing {
		return 0, net.ErrClosed
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return net.ErrClosed
	}
	return c.TCPConn.SetDeadline(t)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return net.ErrClosed
	}
	c.closing = true
	if err := c.CloseWrite(); err != nil {
		c.server.forget(c)
		return c.TCPConn.Close()
	}
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // wakes a reader
	go c.linger()
	return nil
}

// linger discards what arrives until the caller closes its side or lingerTimeout has
// passed.
func (c *callerConn) linger() {
	c.reading.Lock()
	defer c.reading.Unlock()
	_ = c.TCPConn.SetDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.TCPConn) // the caller may be gone
	_ = c.TCPConn.Close()
	c.server.forget(c)
}

// hasRequest reports whether a part of the next request has arrived.
func (c *callerConn) hasRequest() bool {
	if c.received.Load() {
		return true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	arrived := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = err == nil && n > 0
	})
	return err == nil && arrived
}
