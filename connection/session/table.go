// Package session holds what lives as long as a connection between an entry
// and an agent: on the entry the table of agent sessions, on the agent the
// leases that dispatches must carry.
//
// A name belongs to one incarnation until its lease ends, also when the link
// is lost: another process that claims the name meanwhile is refused.
//
// Lock order: Table.mu and Leases.mu are leaves; nothing blocks under them.
package session

import (
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// Defaults of Config.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultMissedHeartbeats  = 2
	DefaultSlack             = 250 * time.Millisecond
	DefaultLeaseTTL          = 3 * time.Second
)

// Config holds the times of sessions. Zero fields take the defaults.
type Config struct {
	// HeartbeatInterval is how often agents send heartbeats.
	HeartbeatInterval time.Duration
	// MissedHeartbeats is how many missing heartbeats make an agent silent.
	MissedHeartbeats int
	// Slack is granted on top for delays of the network.
	Slack time.Duration
	// LeaseTTL is how long the agent honors a token.
	LeaseTTL time.Duration
}

func (c Config) withDefaults() Config {
	if c.HeartbeatInterval <= 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if c.MissedHeartbeats <= 0 {
		c.MissedHeartbeats = DefaultMissedHeartbeats
	}
	if c.Slack <= 0 {
		c.Slack = DefaultSlack
	}
	if c.LeaseTTL <= 0 {
		c.LeaseTTL = DefaultLeaseTTL
	}
	return c
}

// SilentAfter is the time without a heartbeat after which an agent gets
// nothing new.
func (c Config) SilentAfter() time.Duration {
	c = c.withDefaults()
	return time.Duration(c.MissedHeartbeats)*c.HeartbeatInterval + c.Slack
}

// Backend is a backend server as an entry last heard of it. It is immutable:
// each heartbeat replaces the whole value.
type Backend struct {
	Name        string
	Incarnation string
	Service     string
	Zone        string
	Region      string
	Address     string
	// Token is the newest token of the session.
	Token string
	// Serving is the version that the agent's admission check lets through.
	Serving string
	// Status is the newest status.
	Status wire.AgentStatus
	// SeenAt is when the newest heartbeat arrived.
	SeenAt time.Time
}

type session struct {
	hello   wire.Hello
	backend *Backend
	seenAt  time.Time
	lastSeq uint64
	linked  bool
	left    bool
}

// Table is the entry's table of agent sessions. Safe for concurrent use.
type Table struct {
	cfg   Config
	clock clockwork.Clock
	scope tally.Scope

	// mu guards the fields below.
	mu       sync.Mutex
	sessions map[string]*session
	live     map[string]liveSet
}

// liveSet is the cached answer of Backends, good until the first of its
// members falls silent.
type liveSet struct {
	backends []*Backend
	until    time.Time
}

// New returns an empty table.
func New(cfg Config, clock clockwork.Clock, scope tally.Scope) *Table {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &Table{
		cfg:      cfg.withDefaults(),
		clock:    clock,
		scope:    scope.SubScope("session"),
		sessions: make(map[string]*session),
		live:     make(map[string]liveSet),
	}
}

// Open admits a new link of an agent. It fails with NameTaken while another
// incarnation holds the name under a live lease.
func (t *Table) Open(hello wire.Hello) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	old := t.sessions[hello.Name]
	if old != nil && old.hello.Incarnation != hello.Incarnation {
		if t.holdsName(old, now) {
			t.scope.Counter("name_taken").Inc(1)
			return result.New(result.NameTaken, "%s is held by incarnation %s", hello.Name, old.hello.Incarnation)
		}
		old = nil
	}
	t.prune(now)
	s := &session{hello: hello, seenAt: now, linked: true}
	if old != nil {
		s.backend = old.backend
	}
	t.sessions[hello.Name] = s
	t.live = make(map[string]liveSet)
	return nil
}

// forgetAfter is how long a session without heartbeats is remembered.
const forgetAfter = 24 * time.Hour

// prune forgets sessions of VMs that are gone.
func (t *Table) prune(now time.Time) {
	for name, s := range t.sessions {
		if now.Sub(s.seenAt) > forgetAfter {
			delete(t.sessions, name)
		}
	}
}

func (t *Table) holdsName(s *session, now time.Time) bool {
	return !s.left && now.Sub(s.seenAt) < t.cfg.SilentAfter()
}

// Heartbeat renews a session. Heartbeats that are old, doubled or of another
// incarnation change nothing.
func (t *Table) Heartbeat(name, incarnation string, hb wire.Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.current(name, incarnation)
	if s == nil || s.left || hb.Seq <= s.lastSeq || hb.Token == "" {
		return
	}
	if s.backend != nil && hb.Status.Seq != 0 && hb.Status.Seq < s.backend.Status.Seq {
		return
	}
	s.lastSeq = hb.Seq
	s.seenAt = t.clock.Now()
	s.linked = true
	s.backend = newBackend(s, hb)
	t.live = make(map[string]liveSet)
}

func newBackend(s *session, hb wire.Heartbeat) *Backend {
	st := hb.Status
	st.Name, st.Incarnation = s.hello.Name, s.hello.Incarnation
	st.Zone, st.Region = s.hello.Zone, s.hello.Region
	if st.Service == "" {
		st.Service = s.hello.Service
	}
	if st.Address == "" {
		st.Address = s.hello.Address
	}
	return &Backend{
		Name: st.Name, Incarnation: st.Incarnation, Service: st.Service,
		Zone: st.Zone, Region: st.Region, Address: st.Address,
		Token: hb.Token, Serving: st.Serving, Status: st, SeenAt: s.seenAt,
	}
}

func (t *Table) current(name, incarnation string) *session {
	s := t.sessions[name]
	if s == nil || s.hello.Incarnation != incarnation {
		return nil
	}
	return s
}

// Leave ends a session by the agent's own wish; the name is free at once.
func (t *Table) Leave(name, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.current(name, incarnation); s != nil {
		s.left = true
		t.live = make(map[string]liveSet)
	}
}

// Lost marks a session's link as lost: the agent gets nothing new, yet its
// name stays held until the lease ends.
func (t *Table) Lost(name, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.current(name, incarnation); s != nil {
		s.linked = false
		t.live = make(map[string]liveSet)
	}
}

// Backends returns the backend servers of a service that may get new work,
// by name. The slice is shared: callers must not change it.
func (t *Table) Backends(service string) []*Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	set, ok := t.live[service]
	if !ok || !now.Before(set.until) {
		set = t.collect(service, now)
		t.live[service] = set
	}
	return set.backends
}

func (t *Table) collect(service string, now time.Time) liveSet {
	set := liveSet{until: now.Add(time.Hour)}
	for _, s := range t.sessions {
		if !t.takesWork(s, now) || s.backend.Service != service {
			continue
		}
		set.backends = append(set.backends, s.backend)
		if end := s.seenAt.Add(t.cfg.SilentAfter()); end.Before(set.until) {
			set.until = end
		}
	}
	sort.Slice(set.backends, func(i, j int) bool { return set.backends[i].Name < set.backends[j].Name })
	return set
}

func (t *Table) takesWork(s *session, now time.Time) bool {
	if s.backend == nil || !s.linked || s.left || s.backend.Status.Draining {
		return false
	}
	return now.Sub(s.seenAt) < t.cfg.SilentAfter()
}

// Lookup returns the newest view of an agent, live or not, and whether the
// given incarnation is known to be replaced by another.
func (t *Table) Lookup(name, incarnation string) (backend *Backend, replaced bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessions[name]
	if s == nil {
		return nil, false
	}
	if s.hello.Incarnation != incarnation {
		return nil, true
	}
	return s.backend, false
}

// SilentAfter is the time without a heartbeat that makes an agent silent.
func (t *Table) SilentAfter() time.Duration { return t.cfg.SilentAfter() }

// Silent reports whether an agent stopped sending heartbeats without having
// announced a stop, or was replaced by another incarnation.
func (t *Table) Silent(name, incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessions[name]
	if s == nil || s.hello.Incarnation != incarnation {
		return true
	}
	leaving := s.left || (s.backend != nil && s.backend.Status.Draining)
	return !leaving && t.clock.Now().Sub(s.seenAt) >= t.cfg.SilentAfter()
}

// Statuses returns the newest status of every agent that is not silent.
func (t *Table) Statuses() []wire.AgentStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	out := make([]wire.AgentStatus, 0, len(t.sessions))
	for _, s := range t.sessions {
		if s.backend != nil && s.linked && t.holdsName(s, now) {
			out = append(out, s.backend.Status)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Dump is one session as the state dump shows it.
type Dump struct {
	Name        string           `json:"name"`
	Incarnation string           `json:"incarnation"`
	Linked      bool             `json:"linked"`
	Left        bool             `json:"left"`
	TakesWork   bool             `json:"takes_work"`
	SilentMs    int64            `json:"since_heartbeat_ms"`
	Status      wire.AgentStatus `json:"status"`
}

// Dump returns every session.
func (t *Table) Dump() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	out := make([]Dump, 0, len(t.sessions))
	for name, s := range t.sessions {
		d := Dump{
			Name: name, Incarnation: s.hello.Incarnation, Linked: s.linked, Left: s.left,
			TakesWork: t.takesWork(s, now), SilentMs: now.Sub(s.seenAt).Milliseconds(),
		}
		if s.backend != nil {
			d.Status = s.backend.Status
		}
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
