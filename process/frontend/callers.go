package frontend

import (
	"io"
	"net"
	"sync"
	"time"
)

// lingerTimeout bounds how long a connection is read after its write side was
// closed. Closing it at once with unread bytes would reset it, and the caller
// could lose the end of its response.
const lingerTimeout = 2 * time.Second

// callerListener accepts callerConns.
type callerListener struct{ net.Listener }

func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{TCPConn: c.(*net.TCPConn)}, nil
}

// callerConn is a connection whose Close closes the write side first and discards
// what still arrives.
type callerConn struct {
	*net.TCPConn
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
	return c.TCPConn.Read(p)
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
}
