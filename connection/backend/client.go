package backend

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

const (
	// dialTimeout limits opening a connection, which takes a few milliseconds
	// between VMs of the platform. TCP retransmits a lost SYN only after one
	// second; trying another server is faster than waiting for that.
	dialTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is the idle timeout assumed for a server that sends none.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the server's idle timeout a connection is
	// closed.
	idleMargin = 700 * time.Millisecond
	// bufferSize is enough for the head of a response or a few events.
	bufferSize = 2048
)

// Config describes a client.
type Config struct {
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the
	// operating system closes the connection, if it supports that. Zero means the
	// system's default.
	UnackedTimeout time.Duration
	// AgeClock is the clock of Request.SendDeadline; by default the system's.
	AgeClock boottime.Clock
	Scope    tally.Scope
	// Control is called before a connection is opened, as that of net.Dialer; it may be nil.
	Control func(network, address string, c syscall.RawConn) error
}

// Client holds idle connections to backend servers for reuse.
type Client struct {
	dialer      net.Dialer
	ageClock    boottime.Clock
	connsOpened tally.Counter
	// redials counts the second attempts to open a connection.
	redials tally.Counter
	// strayResponses counts the responses that belonged to another request.
	strayResponses tally.Counter

	// mu guards idle; it is a leaf lock.
	mu sync.Mutex
	// idle holds the idle connections by address, in order of last use.
	idle map[string][]*conn
}

// New returns a client without connections.
func New(cfg Config) *Client {
	if cfg.AgeClock == nil {
		cfg.AgeClock = boottime.System()
	}
	control := cfg.Control
	if control == nil {
		control = userTimeoutControl(cfg.UnackedTimeout)
	}
	c := &Client{
		ageClock:       cfg.AgeClock,
		dialer:         net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: control},
		connsOpened:    cfg.Scope.Counter("backend_connections_opened"),
		redials:        cfg.Scope.Counter("backend_connections_tried_twice"),
		strayResponses: cfg.Scope.Counter("backend_stray_bytes"),
		idle:           map[string][]*conn{},
	}
	return c
}

// takeIdle returns an idle connection that can be reused for the request with the ID, or
// nil.
func (c *Client) takeIdle(address, id string, now time.Time) *conn {
	for {
		c.mu.Lock()
		list := c.idle[address]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		// The most recently used connection is the least likely to be closed by
		// the server.
		last := list[len(list)-1]
		list[len(list)-1] = nil
		c.idle[address] = list[:len(list)-1]
		c.mu.Unlock()
		if now.Before(last.idleUntil) && !last.mayRefuseAgain(id) && last.reusable() {
			return last
		}
		last.close()
	}
}

// putIdle adds a connection to the idle ones.
func (c *Client) putIdle(k *conn, now time.Time) {
	k.idleUntil = now.Add(k.idleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[k.address] = append(c.idle[k.address], k)
}

// Sweep closes connections that exceeded their idle timeout, and all idle
// connections to addresses for which keep returns false.
func (c *Client) Sweep(now time.Time, keep func(address string) bool) {
	var closing []*conn
	c.mu.Lock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if now.Before(k.idleUntil) && keep(address) {
				kept = append(kept, k)
				continue
			}
			closing = append(closing, k)
		}
		clear(list[len(kept):])
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
	c.mu.Unlock()
	for _, k := range closing {
		k.close()
	}
}

// Check returns an error if the server accepts no connection. The connection that it opens
// is kept for reuse.
func (c *Client) Check(ctx context.Context, address string) error {
	k, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	c.putIdle(k, time.Now())
	return nil
}

// connect opens a connection.
func (c *Client) connect(ctx context.Context, address string) (*conn, error) {
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.connsOpened.Inc(1)
	return newConn(raw, address), nil
}
