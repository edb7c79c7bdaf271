// Package mesh keeps links to a set of named processes open: it dials the
// targets it is given, dials again with backoff when a link is lost, and takes
// in links that the other side opened.
//
// Lock order: Mesh.mu is a leaf; no callback runs and no message is sent
// while it is held.
package mesh

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	minRedial = 50 * time.Millisecond
	maxRedial = time.Second
)

// Config describes a mesh.
type Config struct {
	// Targets maps the names of the processes to dial to "IP:port".
	Targets map[string]string
	// Opened is called after each link, dialed or accepted, became usable; it
	// may be nil.
	Opened func(c *link.Conn)
}

// Mesh is a set of links by the name of the peer. Safe for concurrent use.
type Mesh struct {
	cfg    Config
	dialer *link.Dialer
	log    *slog.Logger

	// mu guards conns.
	mu    sync.Mutex
	conns map[string]*link.Conn
}

// New returns a mesh that dials nothing until Run.
func New(cfg Config, dialer *link.Dialer, log *slog.Logger) *Mesh {
	return &Mesh{cfg: cfg, dialer: dialer, log: log, conns: make(map[string]*link.Conn)}
}

// Run keeps the targets dialed until ctx ends, then closes every link.
func (m *Mesh) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for name, address := range m.cfg.Targets {
		wg.Go(func() { m.keep(ctx, name, address) })
	}
	wg.Wait()
	for _, c := range m.Conns() {
		c.Close()
	}
}

func (m *Mesh) keep(ctx context.Context, name, address string) {
	m.Keep(ctx, name, address, 0)
}

// Keep dials one target until ctx ends, whenever no link to it is open. It
// waits for patience before each first try, so that of two processes which
// know each other only one needs to dial.
func (m *Mesh) Keep(ctx context.Context, name, address string, patience time.Duration) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minRedial
	wait.MaxInterval = maxRedial
	lastCode := result.OK
	sleep(ctx, patience)
	for ctx.Err() == nil {
		if c := m.Conn(name); c != nil {
			select {
			case <-c.Done():
				sleep(ctx, max(patience, minRedial))
			case <-ctx.Done():
			}
			continue
		}
		c, err := m.dialer.Dial(ctx, address)
		if err == nil {
			wait.Reset()
			lastCode = result.OK
			m.hold(ctx, name, c)
			continue
		}
		if code := result.CodeOf(err); code != lastCode {
			lastCode = code
			m.log.Warn("link not opened", "peer", name, "code", int(code), "error", err)
		}
		sleep(ctx, wait.NextBackOff())
	}
}

// hold keeps a dialed link in the table until it is lost.
func (m *Mesh) hold(ctx context.Context, name string, c *link.Conn) {
	if c.Peer().Name != name {
		m.log.Error("link refused", "peer", name, "answered_as", c.Peer().Name, "code", int(result.WrongCluster))
		c.Close()
		sleep(ctx, maxRedial)
		return
	}
	closed := m.Add(c)
	defer closed()
	select {
	case <-c.Done():
	case <-ctx.Done():
		c.Close()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Add takes in an open link in place of an older one of the same peer. The
// returned function must be called once the link is lost.
func (m *Mesh) Add(c *link.Conn) (closed func()) {
	name := c.Peer().Name
	m.mu.Lock()
	old := m.conns[name]
	m.conns[name] = c
	m.mu.Unlock()
	if old != nil {
		old.Close()
	}
	m.log.Info("link opened", "peer", name, "role", c.Peer().Role, "incarnation", c.Peer().Incarnation)
	if m.cfg.Opened != nil {
		m.cfg.Opened(c)
	}
	return func() { m.remove(name, c) }
}

func (m *Mesh) remove(name string, c *link.Conn) {
	m.mu.Lock()
	if m.conns[name] == c {
		delete(m.conns, name)
	}
	m.mu.Unlock()
	m.log.Info("link lost", "peer", name, "incarnation", c.Peer().Incarnation)
}

// Conn returns the open link to a peer, or nil.
func (m *Mesh) Conn(name string) *link.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.conns[name]
}

// Conns returns the open links in the order of their peers' names.
func (m *Mesh) Conns() []*link.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	conns := make([]*link.Conn, 0, len(m.conns))
	for _, name := range slices.Sorted(maps.Keys(m.conns)) {
		conns = append(conns, m.conns[name])
	}
	return conns
}

// Notify sends a message to a peer without waiting for its arrival.
func (m *Mesh) Notify(to string, kind wire.Kind, msg any) error {
	c := m.Conn(to)
	if c == nil {
		return result.New(result.LinkLost, "no link to %s", to)
	}
	return c.Notify(kind, msg)
}

// Call sends a request to a peer and decodes its answer into resp.
func (m *Mesh) Call(ctx context.Context, to string, kind wire.Kind, req, resp any) error {
	c := m.Conn(to)
	if c == nil {
		return result.New(result.LinkLost, "no link to %s", to)
	}
	return c.Call(ctx, kind, req, resp)
}
