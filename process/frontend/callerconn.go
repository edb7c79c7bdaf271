package frontend

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
)

// connState is the state of a caller's connection when it is closed.
type connState int

const (
	// connNew connections have sent nothing.
	connNew connState = iota
	// connReading connections have sent a part of a request's header.
	connReading
	// connServing connections have a request in progress.
	connServing
	// connServed connections are closed after a response instead of being kept.
	connServed
	connIdle
	connStateCount
)

var connStateNames = [connStateCount]string{"new", "reading", "serving", "served", "idle"}

// connStats counts the closed connections of callers by their state and by whether
// the caller closed them first. It is safe for concurrent use.
type connStats struct {
	byCaller, byEntry [connStateCount]tally.Counter
	// closed counts the connections that the entry closed.
	closed [connStateCount]atomic.Int64
}

func newConnStats(scope tally.Scope) *connStats {
	s := &connStats{}
	for state, name := range connStateNames {
		s.byCaller[state] = scope.Tagged(map[string]string{"state": name, "by": "caller"}).Counter("caller_connections_closed")
		s.byEntry[state] = scope.Tagged(map[string]string{"state": name, "by": "entry"}).Counter("caller_connections_closed")
	}
	return s
}

// LogValue implements slog.LogValuer: the connections closed by the entry.
func (s *connStats) LogValue() slog.Value {
	attrs := make([]slog.Attr, 0, connStateCount)
	for state, name := range connStateNames {
		attrs = append(attrs, slog.Int64(name, s.closed[state].Load()))
	}
	return slog.GroupValue(attrs...)
}

// listener returns a listener whose connections are counted. The server must use
// connState, connContext and handler as well.
func (s *connStats) listener(l net.Listener) net.Listener {
	return &countingListener{Listener: l, stats: s}
}

type countingListener struct {
	net.Listener
	stats *connStats
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return &callerConn{TCPConn: tcp, stats: l.stats, opened: time.Now()}, nil
	}
	return c, err
}

// lingerTimeout bounds how long a connection is read after its write side was
// closed. Closing it at once with unread bytes would reset it, and the caller could
// lose the end of its response.
const lingerTimeout = 2 * time.Second

// callerConn is a connection of a caller that is counted when it is closed. Its Close
// closes the write side first and discards what still arrives.
type callerConn struct {
	*net.TCPConn
	stats  *connStats
	state  atomic.Int32
	opened time.Time
	// arrived is when the first bytes of the request arrived, in nanoseconds after opened;
	// zero if that is unknown.
	arrived atomic.Int64
	// ended is set once the caller has closed the connection.
	ended atomic.Bool
	// onClosed, if not nil, is called when the connection is closed completely.
	onClosed func()
	// notifyClosed is a second such function.
	notifyClosed func()

	// reading is held during Read.
	reading sync.Mutex
	// mu guards closed, and the deadlines until it is set. It is a leaf lock, except
	// for onClosed.
	mu     sync.Mutex
	closed bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.TCPConn.Read(p)
	if state := connState(c.state.Load()); n > 0 && (state == connNew || state == connIdle) {
		c.state.Store(int32(connReading))
		age := sinceLastData(c.TCPConn)
		c.arrived.Store(int64(time.Since(c.opened) - age)) // too late, not too early, if this is interrupted
	}
	if err != nil && !os.IsTimeout(err) && !c.isClosed() {
		c.ended.Store(true)
	}
	return n, err
}

func (c *callerConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.TCPConn.SetDeadline(t)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.count()
	if c.ended.Load() || c.CloseWrite() != nil {
		return c.closeBoth()
	}
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // wakes a reader
	go c.linger()
	return nil
}

// NotifyClosed sets a function that is called when the connection is closed completely. It
// must be called before the connection is used.
func (c *callerConn) NotifyClosed(f func()) { c.notifyClosed = f }

// Abort closes the connection at once and discards what is in transit.
func (c *callerConn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.count()
	}
	_ = c.SetLinger(0)
	_ = c.closeBoth()
}

// count counts the connection as closed.
func (c *callerConn) count() {
	state := c.state.Load()
	if c.ended.Load() {
		c.stats.byCaller[state].Inc(1)
		return
	}
	c.stats.byEntry[state].Inc(1)
	c.stats.closed[state].Add(1)
}

// linger discards what arrives until the caller closes its side or lingerTimeout has
// passed.
func (c *callerConn) linger() {
	c.reading.Lock()
	defer c.reading.Unlock()
	_ = c.TCPConn.SetDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.TCPConn) // the caller may be gone
	_ = c.closeBoth()
}

func (c *callerConn) closeBoth() error {
	for _, f := range []func(){c.onClosed, c.notifyClosed} {
		if f != nil {
			f()
		}
	}
	return c.TCPConn.Close()
}

// hasRequest reports whether a part of a request has arrived.
func (c *callerConn) hasRequest() bool {
	if state := connState(c.state.Load()); state != connNew && state != connIdle {
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

// connState is a hook for http.Server.ConnState.
func (s *connStats) connState(c net.Conn, state http.ConnState) {
	if cc, ok := callerConnOf(c); ok && state == http.StateIdle {
		cc.arrived.Store(0) // until its first read, which a pipelined request does not need
		cc.state.Store(int32(connIdle))
	}
}

// callerConnOf returns the caller's connection below one of the guard.
func callerConnOf(c net.Conn) (*callerConn, bool) {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn()
	}
	cc, ok := c.(*callerConn)
	return cc, ok
}

type connKey struct{}

// connContext is a hook for http.Server.ConnContext.
func (s *connStats) connContext(ctx context.Context, c net.Conn) context.Context {
	if cc, ok := callerConnOf(c); ok {
		return context.WithValue(ctx, connKey{}, cc)
	}
	return ctx
}

// waited returns how long ago the request with the context arrived: it may have waited in the
// socket while this process was not scheduled.
func waited(ctx context.Context) time.Duration {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return 0
	}
	arrived := time.Duration(c.arrived.Load())
	if arrived == 0 {
		return 0
	}
	return max(time.Since(c.opened)-arrived, 0)
}

// handler returns a handler that records which connections have a request in
// progress.
func (s *connStats) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			c.state.Store(int32(connServing))
			h.ServeHTTP(w, r)
			c.state.Store(int32(connServed)) // not reached by a response that is aborted
			return
		}
		h.ServeHTTP(w, r)
	})
}
