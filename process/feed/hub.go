// Package feed carries what is desired and which backend servers there are from
// the control processes to entries and agents.
//
// A control process holds a Hub. It takes in heartbeats, passes changes on to
// its followers and to the other control processes at once, and joins the mere
// signs of life into one message each ten seconds. Entries follow all control
// processes, agents one. A follower keeps what it knows while no control process
// answers.
//
// Lock order: Hub.mu and Follower.mu are leaves. Messages are queued without
// blocking, also while the lock is held, so that followers see changes in the
// order in which they were made.
package feed

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control/desired"
	"github.com/waxwingpost/waxwingpost/process/directory"
)

const (
	// BeatInterval is the pause between two calls of Hub.Beat: the time in which
	// entries follow a change of what callers ask.
	BeatInterval = 500 * time.Millisecond
	// AliveInterval is the pause between two messages about servers that are merely
	// alive. Those that are not heard of are forgotten after a minute.
	AliveInterval = 10 * time.Second
	// settleTime is how long after the start news may be old: a replica first
	// catches up on what it missed.
	settleTime = 3 * time.Second
	// demandAge is how long what an entry told of its demand is counted.
	demandAge = 3 * time.Second
)

// peers reaches the other control processes.
type peers interface {
	Conns() []*link.Conn
}

type follower struct {
	conn   *link.Conn
	relay  bool
	demand map[string]float64
	told   time.Time
}

// Hub is a control process's end of the feed. Safe for concurrent use.
type Hub struct {
	clock clockwork.Clock
	log   *slog.Logger
	peers peers
	start time.Time
	// controls returns the peer addresses of all control processes.
	controls func() []string

	mu        sync.Mutex
	table     *directory.Table
	followers map[*link.Conn]*follower
	// alive and relayed are the ids heard here and by other control processes
	// since the last message.
	alive   map[string]bool
	relayed map[string]bool
	// aliveAt is when that was, controlsTold what was told of control processes.
	aliveAt      time.Time
	controlsTold []string
	state        desired.State
	// named holds when each model's versions were first seen; those are missing
	// for which that may have been long after they were named.
	named map[string]Named
}

// NewHub returns a hub without servers.
func NewHub(clock clockwork.Clock, log *slog.Logger, p peers, controls func() []string) *Hub {
	return &Hub{
		clock: clock, log: log, peers: p, start: clock.Now(), controls: controls,
		table: directory.NewTable(), followers: map[*link.Conn]*follower{},
		alive: map[string]bool{}, relayed: map[string]bool{}, named: map[string]Named{},
	}
}

func (h *Hub) now() time.Duration { return h.clock.Since(h.start) }

// Hear takes in a heartbeat that arrived here.
func (h *Hub) Hear(s directory.Server) directory.Outcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	outcome := h.table.Update(s, h.now())
	switch outcome {
	case directory.Changed:
		h.log.Info("server changed", "server", s.ID, "service", s.Service, "address", s.Address,
			"state", s.State.String(), "born", s.Born, "seq", s.Seq, "held", s.Held)
		h.tell(wire.News{Servers: []directory.Server{s}}, true)
	case directory.Renewed:
		h.alive[s.ID] = true
	case directory.Stale:
		h.log.Info("heartbeat ignored", "server", s.ID, "born", s.Born, "seq", s.Seq, "reason", "an older message")
	}
	return outcome
}

// Leave takes in a deregistration that arrived here.
func (h *Hub) Leave(id string, born int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.Deregister(id, born, h.now()) {
		h.log.Info("server left", "server", id, "born", born)
	}
	h.tell(wire.News{Left: []wire.Left{{ID: id, Born: born}}}, true)
}

// tell passes news on to followers, and to the other control processes where
// it is first-hand. The caller holds the lock.
func (h *Hub) tell(news wire.News, firstHand bool) {
	for _, f := range h.followers {
		if firstHand || f.relay {
			_ = f.conn.Notify(wire.KindNews, news) // a lost link is reported by its owner
		}
	}
	if !firstHand {
		return
	}
	for _, c := range h.peers.Conns() {
		_ = c.Notify(wire.KindNews, news)
	}
}

// Engine takes in what an agent told of its engine.
func (h *Hub) Engine(s wire.EngineState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.UpdateEngine(s.Address, s.Loading, s.Held, h.now()) {
		h.log.Info("engine told of by its agent", "address", s.Address, "loading", s.Loading, "held", s.Held)
		h.tell(wire.News{Engines: []wire.EngineState{s}}, true)
	}
}

// Relay takes in news of another control process.
func (h *Hub) Relay(news wire.News) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	var onward wire.News
	for _, s := range news.Servers {
		if h.table.Update(s, now) == directory.Changed {
			onward.Servers = append(onward.Servers, s)
		}
	}
	for _, l := range news.Left {
		if h.table.Deregister(l.ID, l.Born, now) {
			onward.Left = append(onward.Left, l)
		}
	}
	for _, s := range news.Engines {
		if h.table.UpdateEngine(s.Address, s.Loading, s.Held, now) {
			onward.Engines = append(onward.Engines, s)
		}
	}
	for _, id := range news.Alive {
		if e := h.table.Get(id); e != nil {
			e.Heard = now
			h.relayed[id] = true
		}
	}
	if len(onward.Servers)+len(onward.Left)+len(onward.Engines) > 0 {
		h.tell(onward, false)
	}
}

// Follow adds a follower and returns everything that is known.
func (h *Hub) Follow(c *link.Conn, q wire.Follow) wire.News {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.followers[c] = &follower{conn: c, relay: q.Relay}
	return h.everything()
}

// everything returns all that is known. The caller holds the lock.
func (h *Hub) everything() wire.News {
	news := h.desired()
	for _, e := range h.table.All() {
		if e.State == directory.Gone {
			news.Left = append(news.Left, wire.Left{ID: e.ID, Born: e.Born})
			continue
		}
		news.Servers = append(news.Servers, e.Server)
	}
	news.Controls = h.controls()
	return news
}

// Everything returns all that is known, for another control process.
func (h *Hub) Everything() wire.News {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.everything()
}

// Drop removes a follower whose link is lost.
func (h *Hub) Drop(c *link.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.followers, c)
}

// Entries counts the entries that follow.
func (h *Hub) Entries() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entries()
}

func (h *Hub) entries() int {
	n := 0
	for _, f := range h.followers {
		if f.conn.Peer().Role == wire.RoleEntry {
			n++
		}
	}
	return n
}

// Demand takes in what an entry's callers ask for.
func (h *Hub) Demand(c *link.Conn, d wire.Demand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.followers[c]; f != nil {
		f.demand, f.told = d.ByService, h.clock.Now()
	}
}

// Desire takes in what the control state desires and passes it on.
func (h *Hub) Desire(s desired.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Revision <= h.state.Revision {
		return
	}
	for model, version := range s.Weights {
		if version <= h.state.Weights[model] {
			continue
		}
		named := h.named[model]
		if h.now() > settleTime {
			named.hearAge(version, h.clock.Now())
		}
		h.named[model] = named
	}
	h.state = s
	h.log.Info("desired state changed", "revision", s.Revision, "config_version", s.ConfigVersion, "weights", s.Weights)
	news := h.desired()
	for _, f := range h.followers {
		_ = f.conn.Notify(wire.KindNews, news)
	}
}

func (h *Hub) desired() wire.News {
	ages := map[string][]wire.VersionAge{}
	for model, named := range h.named {
		for _, v := range named.versions {
			ages[model] = append(ages[model], wire.VersionAge{Version: v.Version, Age: h.clock.Since(v.Since).Milliseconds()})
		}
	}
	return wire.News{
		Revision: h.state.Revision, ConfigVersion: h.state.ConfigVersion, Weights: h.state.Weights, Ages: ages,
	}
}

// Document returns the configuration document that is in force here.
func (h *Hub) Document() wire.Document {
	h.mu.Lock()
	defer h.mu.Unlock()
	return wire.Document{Version: h.state.ConfigVersion, Content: h.state.Content}
}

// Beat sends the sum of demand, and from time to time signs of life and the
// control processes; those at once when they changed.
func (h *Hub) Beat() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Sweep(h.now())
	var first, relay wire.News
	controls := h.controls()
	now := h.clock.Now()
	due := now.Sub(h.aliveAt) >= AliveInterval
	if due {
		h.aliveAt = now
		first.Alive = ids(h.alive)
		relay.Alive = append(ids(h.relayed), first.Alive...)
		clear(h.alive)
		clear(h.relayed)
	}
	if due || !slices.Equal(controls, h.controlsTold) {
		h.controlsTold = controls
		relay.Controls = controls
	}
	if len(first.Alive) > 0 {
		for _, c := range h.peers.Conns() {
			_ = c.Notify(wire.KindNews, first)
		}
	}
	entry := first
	entry.Controls, entry.Demand, entry.Entries = relay.Controls, h.demand(), h.entries()
	for _, f := range h.followers {
		switch {
		case !f.relay:
			_ = f.conn.Notify(wire.KindNews, entry)
		case len(relay.Alive)+len(relay.Controls) > 0:
			_ = f.conn.Notify(wire.KindNews, relay)
		}
	}
}

func (h *Hub) demand() map[string]float64 {
	sum := map[string]float64{}
	for _, f := range h.followers {
		if h.clock.Since(f.told) > demandAge {
			continue
		}
		for service, d := range f.demand {
			sum[service] += d
		}
	}
	return sum
}

func ids(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for id := range set {
		list = append(list, id)
	}
	return list
}
