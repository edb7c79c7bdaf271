// Package mesh maintains links to a set of named processes. It dials the
// configured targets, redials with backoff when a link is lost, and registers
// links that peers opened.
//
// Lock order: Mesh.mu is a leaf lock; no callback runs and no message is sent
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
	minRedialInterval = 50 * time.Millisecond
	maxRedialInterval = time.Second
)

// Config describes a mesh.
type Config struct {
	// Targets maps the names of the processes to dial to "IP:port".
	Targets map[string]string
	// OnOpen is called when a dialed or accepted link becomes usable; it may be
	// nil.
	OnOpen func(c *link.Conn)
}

// Mesh is a set of links keyed by peer name. Safe for concurrent use.
type Mesh struct {
	cfg    Config
	dialer *link.Dialer
	log    *slog.Logger

	// mu guards conns.
	mu    sync.Mutex
	conns map[string]*link.Conn
}

// New returns a mesh that does not dial its targets before Run.
func New(cfg Config, dialer *link.Dialer, log *slog.Logger) *Mesh {
	return &Mesh{cfg: cfg, dialer: dialer, log: log, conns: make(map[string]*link.Conn)}
}

// Run maintains links to all targets until ctx ends, then closes every link.
func (m *Mesh) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for name, address := range m.cfg.Targets {
		wg.Go(func() { m.maintainTarget(ctx, name, address) })
	}
	wg.Wait()
	for _, c := range m.Conns() {
		c.Close()
	}
}

func (m *Mesh) maintainTarget(ctx context.Context, name, address string) {
	m.MaintainLink(ctx, name, address, 0)
}

// MaintainLink dials one target whenever no link to it is open, until ctx ends.
// It waits for dialDelay at the start and after the loss of a link that the peer
// opened, so that of two processes with each other's address only one needs to
// dial.
func (m *Mesh) MaintainLink(ctx context.Context, name, address string, dialDelay time.Duration) {
	redial := backoff.NewExponentialBackOff()
	redial.InitialInterval = minRedialInterval
	redial.MaxInterval = maxRedialInterval
	lastCode := result.OK
	sleep(ctx, dialDelay)
	for ctx.Err() == nil {
		if c := m.Conn(name); c != nil {
			select {
			case <-c.Done():
				sleep(ctx, max(dialDelay, minRedialInterval))
			case <-ctx.Done():
			}
			continue
		}
		c, err := m.dialer.Dial(ctx, address)
		if err == nil {
			redial.Reset()
			lastCode = result.OK
			m.serveDialed(ctx, name, c)
			continue
		}
		if code := result.CodeOf(err); code != lastCode {
			lastCode = code
			m.log.Warn("failed to open link", "peer", name, "code", int(code), "error", err)
		}
		sleep(ctx, redial.NextBackOff())
	}
}

// serveDialed registers a dialed link until it is lost. It closes the link if
// the peer has another name than the target.
func (m *Mesh) serveDialed(ctx context.Context, name string, c *link.Conn) {
	if c.Peer().Name != name {
		m.log.Error("link refused: unexpected peer name", "peer", name, "answered_as", c.Peer().Name, "code", int(result.WrongCluster))
		c.Close()
		sleep(ctx, maxRedialInterval)
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

// Add registers an open link and closes an older link to the same peer. The
// caller must call the returned function once the link is lost.
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
	if m.cfg.OnOpen != nil {
		m.cfg.OnOpen(c)
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

// Conns returns the open links, sorted by peer name.
func (m *Mesh) Conns() []*link.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	conns := make([]*link.Conn, 0, len(m.conns))
	for _, name := range slices.Sorted(maps.Keys(m.conns)) {
		conns = append(conns, m.conns[name])
	}
	return conns
}

// Notify queues a message to a peer and does not wait for delivery. It fails with
// LinkLost if no link to the peer is open; see also link.Conn.Notify.
func (m *Mesh) Notify(to string, kind wire.Kind, msg any) error {
	c := m.Conn(to)
	if c == nil {
		return result.New(result.LinkLost, "no link to %s", to)
	}
	return c.Notify(kind, msg)
}

// Call sends a request to a peer and decodes its reply into resp. It fails with
// LinkLost if no link to the peer is open; see also link.Conn.Call.
func (m *Mesh) Call(ctx context.Context, to string, kind wire.Kind, req, resp any) error {
	c := m.Conn(to)
	if c == nil {
		return result.New(result.LinkLost, "no link to %s", to)
	}
	return c.Call(ctx, kind, req, resp)
}
