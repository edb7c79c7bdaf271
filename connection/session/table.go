// Package session implements the sessions between entries and agents: on the
// entry the table of agent sessions, on the agent the leases for the tokens that
// dispatches must carry.
//
// A name belongs to one incarnation until the heartbeat timeout, even if the link
// is lost. Until then another process that claims the name is refused.
//
// Lock order: Table.mu and Leases.mu are leaf locks; nothing blocks while they
// are held.
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

// Config holds the timing of sessions. Zero fields select the defaults.
type Config struct {
	// HeartbeatInterval is the interval at which agents send heartbeats.
	HeartbeatInterval time.Duration
	// MissedHeartbeats is how many heartbeats an agent must miss to count as
	// silent.
	MissedHeartbeats int
	// Slack is added to that time to allow for network delays.
	Slack time.Duration
	// LeaseTTL is how long the agent accepts a token after issuing it.
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

// HeartbeatTimeout is the time without a heartbeat after which an agent is silent
// and gets no new work.
func (c Config) HeartbeatTimeout() time.Duration {
	c = c.withDefaults()
	return time.Duration(c.MissedHeartbeats)*c.HeartbeatInterval + c.Slack
}

// Backend is the state of a backend server as of the newest heartbeat that the
// entry received. It is immutable: each heartbeat replaces the whole value.
type Backend struct {
	Name        string
	Incarnation string
	Service     string
	Zone        string
	Region      string
	Address     string
	// Token is the token of the newest heartbeat.
	Token string
	// Serving is the version that the agent's admission check accepts.
	Serving string
	// Status is the status of the newest heartbeat.
	Status wire.AgentStatus
	// SeenAt is the time at which the newest heartbeat arrived.
	SeenAt time.Time
}

// session is the entry's state for one agent.
type session struct {
	hello wire.Hello
	// backend is nil until the first heartbeat.
	backend *Backend
	// seenAt is when the link was opened or the newest heartbeat arrived.
	seenAt  time.Time
	lastSeq uint64
	// linked is set while the link is open.
	linked bool
	// left is set once the agent announced its stop.
	left bool
}

// Table is the entry's table of agent sessions, keyed by agent name. Safe for
// concurrent use.
type Table struct {
	cfg   Config
	clock clockwork.Clock
	scope tally.Scope

	// mu guards the fields below.
	mu       sync.Mutex
	sessions map[string]*session
	// live caches the result of Backends by service; every change of a session
	// clears it.
	live map[string]liveSet
}

// liveSet is a cached result of Backends. It is valid until the first of its
// backend servers becomes silent.
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

// Open starts or resumes the session of an agent that opened a link. It fails
// with NameTaken while another incarnation holds the name.
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

// sessionRetention is how long a session without heartbeats is kept.
const sessionRetention = 24 * time.Hour

// prune removes the sessions of agents that no longer exist.
func (t *Table) prune(now time.Time) {
	for name, s := range t.sessions {
		if now.Sub(s.seenAt) > sessionRetention {
			delete(t.sessions, name)
		}
	}
}

// holdsName reports whether other incarnations must be refused the session's name.
func (t *Table) holdsName(s *session, now time.Time) bool {
	return !s.left && now.Sub(s.seenAt) < t.cfg.HeartbeatTimeout()
}

// Heartbeat renews a session. Heartbeats that are out of order, duplicated or from
// another incarnation are ignored.
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

// current returns the session of an incarnation, or nil.
func (t *Table) current(name, incarnation string) *session {
	s := t.sessions[name]
	if s == nil || s.hello.Incarnation != incarnation {
		return nil
	}
	return s
}

// Leave ends a session at the agent's request and releases the name at once.
func (t *Table) Leave(name, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.current(name, incarnation); s != nil {
		s.left = true
		t.live = make(map[string]liveSet)
	}
}

// MarkLinkLost marks a session's link as lost. The agent gets no new work, but its
// name stays held until the heartbeat timeout.
func (t *Table) MarkLinkLost(name, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.current(name, incarnation); s != nil {
		s.linked = false
		t.live = make(map[string]liveSet)
	}
}

// Backends returns the backend servers of a service that accept new work, sorted
// by name. The slice is shared: callers must not modify it.
func (t *Table) Backends(service string) []*Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	set, ok := t.live[service]
	if !ok || !now.Before(set.until) {
		set = t.collectLive(service, now)
		t.live[service] = set
	}
	return set.backends
}

// collectLive builds the result of Backends.
func (t *Table) collectLive(service string, now time.Time) liveSet {
	set := liveSet{until: now.Add(time.Hour)}
	for _, s := range t.sessions {
		if !t.acceptsWork(s, now) || s.backend.Service != service {
			continue
		}
		set.backends = append(set.backends, s.backend)
		if end := s.seenAt.Add(t.cfg.HeartbeatTimeout()); end.Before(set.until) {
			set.until = end
		}
	}
	sort.Slice(set.backends, func(i, j int) bool { return set.backends[i].Name < set.backends[j].Name })
	return set
}

// acceptsWork reports whether an agent may get new work.
func (t *Table) acceptsWork(s *session, now time.Time) bool {
	if s.backend == nil || !s.linked || s.left || s.backend.Status.Draining {
		return false
	}
	return now.Sub(s.seenAt) < t.cfg.HeartbeatTimeout()
}

// Lookup returns the newest state of an agent's incarnation, even if the agent is
// silent, or nil if none is known. replaced is set if another incarnation has taken
// the name.
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

// HeartbeatTimeout returns the heartbeat timeout; see Config.HeartbeatTimeout.
func (t *Table) HeartbeatTimeout() time.Duration { return t.cfg.HeartbeatTimeout() }

// Silent reports whether an agent reached the heartbeat timeout without having
// announced its stop, was replaced by another incarnation, or has no session.
func (t *Table) Silent(name, incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessions[name]
	if s == nil || s.hello.Incarnation != incarnation {
		return true
	}
	leaving := s.left || (s.backend != nil && s.backend.Status.Draining)
	return !leaving && t.clock.Now().Sub(s.seenAt) >= t.cfg.HeartbeatTimeout()
}

// Statuses returns the newest status of every agent with an open link that is not
// silent and has not left, sorted by name.
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

// Dump is the representation of a session in the state dump.
type Dump struct {
	Name             string           `json:"name"`
	Incarnation      string           `json:"incarnation"`
	Linked           bool             `json:"linked"`
	Left             bool             `json:"left"`
	AcceptsWork      bool             `json:"takes_work"`
	SinceHeartbeatMs int64            `json:"since_heartbeat_ms"`
	Status           wire.AgentStatus `json:"status"`
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
			AcceptsWork: t.acceptsWork(s, now), SinceHeartbeatMs: now.Sub(s.seenAt).Milliseconds(),
		}
		if s.backend != nil {
			d.Status = s.backend.Status
		}
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
