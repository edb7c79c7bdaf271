package backend

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// dialTimeout bounds a new connection. Between VMs of the platform one takes
	// a few milliseconds; a lost opening packet is sent again after one second,
	// and another server answers sooner.
	dialTimeout = 500 * time.Millisecond
	// defaultIdle is how long a connection is kept whose server names no limit.
	defaultIdle = 4 * time.Second
	// idleMargin is how much earlier than the server a connection is closed.
	idleMargin = 700 * time.Millisecond
	// bufferSize holds the head of an answer, or a few events.
	bufferSize = 2048
)

// Config describes a client.
type Config struct {
	// UnackedLimit ends connections whose bytes are not acknowledged for that
	// long, where the system supports it.
	UnackedLimit time.Duration
	Scope        tally.Scope
}

// Client keeps connections to backend servers.
type Client struct {
	dialer net.Dialer
	opened tally.Counter
	stray  tally.Counter

	// mu guards idle; it is a leaf.
	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns a client without connections.
func New(cfg Config) *Client {
	c := &Client{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: limitUnacked(cfg.UnackedLimit)},
		opened: cfg.Scope.Counter("backend_connections_opened"),
		stray:  cfg.Scope.Counter("backend_stray_bytes"),
		idle:   map[string][]*conn{},
	}
	return c
}

// take returns a kept connection that still works, or nil.
func (c *Client) take(address string, now time.Time) *conn {
	for {
		c.mu.Lock()
		list := c.idle[address]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		// The one used last is the least likely to be closed by the server.
		last := list[len(list)-1]
		list[len(list)-1] = nil
		c.idle[address] = list[:len(list)-1]
		c.mu.Unlock()
		if now.Before(last.idleUntil) && last.quiet() {
			return last
		}
		last.close()
	}
}

func (c *Client) keep(k *conn, now time.Time) {
	k.idleUntil = now.Add(k.idleLimit)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[k.address] = append(c.idle[k.address], k)
}

// Sweep closes connections that were idle for too long, and all of servers for
// which keep returns false.
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

func (c *Client) connect(ctx context.Context, address string) (*conn, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.opened.Inc(1)
	return newConn(raw, address), nil
}
