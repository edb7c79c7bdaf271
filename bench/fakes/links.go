package fakes

import (
	"net"
	"sync"
	"time"
)

// LinkFaults disturbs the connections that a listener accepts: it delays them, resets
// them, or holds back what goes one way. It is safe for concurrent use.
type LinkFaults struct {
	mu     sync.Mutex
	delay  time.Duration
	cut    [2]chan struct{}
	active map[*faultyConn]struct{}
}

// Direction is a direction of a link, as seen from the server.
type Direction int

// Directions of a link.
const (
	Inbound Direction = iota
	Outbound
)

func newLinkFaults() *LinkFaults { return &LinkFaults{active: map[*faultyConn]struct{}{}} }

// SetDelay delays whatever is received or sent.
func (l *LinkFaults) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Cut holds back what goes in a direction until Heal.
func (l *LinkFaults) Cut(d Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut[d] == nil {
		l.cut[d] = make(chan struct{})
	}
}

// Heal ends the cut of a direction.
func (l *LinkFaults) Heal(d Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut[d] != nil {
		close(l.cut[d])
		l.cut[d] = nil
	}
}

// Reset resets all connections.
func (l *LinkFaults) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.active {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
}

func (l *LinkFaults) wrap(listener net.Listener) net.Listener {
	return &faultyListener{Listener: listener, faults: l}
}

type faultyListener struct {
	net.Listener
	faults *LinkFaults
}

func (l *faultyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &faultyConn{Conn: conn, faults: l.faults, closed: make(chan struct{})}
	l.faults.mu.Lock()
	defer l.faults.mu.Unlock()
	l.faults.active[c] = struct{}{}
	return c, nil
}

type faultyConn struct {
	net.Conn
	faults *LinkFaults
	once   sync.Once
	closed chan struct{}
}

// wait applies the delay and waits while a direction is cut.
func (c *faultyConn) wait(d Direction) {
	c.faults.mu.Lock()
	delay, cut := c.faults.delay, c.faults.cut[d]
	c.faults.mu.Unlock()
	if delay > 0 {
		select {
		case <-c.closed:
		case <-time.After(delay):
		}
	}
	if cut != nil {
		select {
		case <-c.closed:
		case <-cut:
		}
	}
}

func (c *faultyConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.wait(Inbound)
	return n, err
}

func (c *faultyConn) Write(data []byte) (int, error) {
	c.wait(Outbound)
	return c.Conn.Write(data)
}

func (c *faultyConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.faults.mu.Lock()
		defer c.faults.mu.Unlock()
		delete(c.faults.active, c)
	})
	return c.Conn.Close()
}
