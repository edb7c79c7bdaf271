// Package feed distributes the desired state and the table of backend servers from
// the control processes to entries and agents.
//
// Each control process has a Hub. It receives heartbeats, forwards changes to its
// followers and to the other control processes immediately, and batches the IDs
// of servers that are alive but unchanged into one message every ten seconds.
// Entries follow all control processes, agents follow one. A follower keeps its
// last state while no control process answers.
//
// Lock order: Hub.mu and Follower.mu are the innermost locks of this package.
// Messages are queued without blocking, also under the lock, so that followers
// see changes in the order in which they were made.
package feed

import (
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/control/desired"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// TickInterval is the interval between calls of Hub.Tick. It bounds the delay
	// after which entries see a change of the total demand.
	TickInterval = 500 * time.Millisecond
	// AliveInterval is the interval between messages that list the servers that are
	// alive but unchanged. Followers remove a server a minute after the last message
	// about it.
	AliveInterval = 10 * time.Second
	// demandTTL is how long an entry's last report of its demand is counted.
	demandTTL = 3 * time.Second
)

// peers provides the links to the other control processes.
type peers interface {
	Conns() []*link.Conn
}

type follower struct {
	conn     *link.Conn
	relay    bool
	demand   map[string]float64
	demandAt time.Time
	// regionDemand is the part of demand that is bound to regions.
	regionDemand []wire.RegionDemand
}

// Hub is the control process's side of the feed. It is safe for concurrent use.
type Hub struct {
	clock clockwork.Clock
	// ageClock is used for the ages of versions, which include suspensions.
	ageClock boottime.Clock
	// oldVersionGrace is how long a version may be used after the next one was
	// published.
	oldVersionGrace time.Duration
	log             *slog.Logger
	peers           peers
	start           time.Time
	// controls returns the peer addresses of all control processes.
	controls func() []string

	mu        sync.Mutex
	table     *directory.Table
	followers map[*link.Conn]*follower
	// aliveLocal and alivePeers are the IDs of servers whose heartbeats arrived here
	// and at other control processes since the last message about them.
	aliveLocal map[string]bool
	alivePeers map[string]bool
	// lastAliveAt is the time of that message; sentControls is the list of control
	// processes that was sent last.
	lastAliveAt  time.Time
	sentControls []string
	state        desired.State
	// currentAt is when the replica was last known to be current.
	currentAt boottime.Instant
	// histories holds when each model's versions were first seen. Versions are
	// missing if they may have been published long before that.
	histories map[string]VersionHistory
	relay     observationRelay
}

// NewHub returns a hub without servers. A version of weights may be used for
// oldVersionGrace after the next one was published.
func NewHub(clock clockwork.Clock, ageClock boottime.Clock, oldVersionGrace time.Duration, log *slog.Logger, p peers, controls func() []string) *Hub {
	return &Hub{
		clock: clock, ageClock: ageClock, oldVersionGrace: oldVersionGrace, log: log, peers: p, start: clock.Now(), controls: controls,
		table: directory.NewTable(), followers: map[*link.Conn]*follower{},
		aliveLocal: map[string]bool{}, alivePeers: map[string]bool{}, histories: map[string]VersionHistory{},
		relay: newObservationRelay(),
	}
}

func (h *Hub) now() time.Duration { return h.clock.Since(h.start) }

// Heartbeat applies a heartbeat that was sent to this process and returns its
// effect on the table.
func (h *Hub) Heartbeat(s directory.Server) directory.Outcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	ended := h.endVerifications(s)
	outcome := h.table.Update(s, h.now())
	if outcome != directory.Changed && len(ended) > 0 {
		h.broadcast(wire.Update{Verified: ended}, true)
	}
	switch outcome {
	case directory.Changed:
		h.log.Info("server changed", "server", s.ID, "service", s.Service, "address", s.Address,
			"state", s.State.String(), "born", s.Born, "seq", s.Seq, "held", s.Held)
		h.broadcast(wire.Update{Servers: []directory.Server{s}, Verified: ended}, true)
	case directory.Renewed:
		h.aliveLocal[s.ID] = true
	case directory.Invalid:
		logInvalidServer(h.log, s)
	case directory.Stale:
		h.log.Info("heartbeat ignored", "server", s.ID, "born", s.Born, "seq", s.Seq, "reason", "older than the known state")
	}
	return outcome
}

// logInvalidServer logs why a report is ignored.
func logInvalidServer(log *slog.Logger, s directory.Server) {
	err := s.Validate()
	log.Warn("server ignored", "code", int(result.CodeOf(err)), "error", err)
}

// Deregister applies a deregistration that was sent to this process.
func (h *Hub) Deregister(id string, born int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.Deregister(id, born, h.now()) {
		h.log.Info("server deregistered", "server", id, "born", born)
	}
	h.broadcast(wire.Update{Left: []wire.Deregistration{{ID: id, Born: born}}}, true)
}

// broadcast sends an update to all followers and control processes if it arrived
// at this process, and else only to followers that need relayed updates. The
// caller holds mu.
func (h *Hub) broadcast(update wire.Update, local bool) {
	h.notifyFollowers(update, local)
	if !local {
		return
	}
	for _, c := range h.peers.Conns() {
		_ = c.Notify(wire.KindUpdate, update)
	}
}

// notifyFollowers sends an update to all followers, or only to those that need relayed
// updates. The caller holds mu.
func (h *Hub) notifyFollowers(update wire.Update, all bool) {
	for _, f := range h.followers {
		if all || f.relay {
			_ = f.conn.Notify(wire.KindUpdate, update) // a lost link is reported by its owner
		}
	}
}

// applyEngine applies an agent's report to a table and reports whether that changed.
func applyEngine(table *directory.Table, s wire.EngineState, now time.Duration) bool {
	if len(s.Unloads) > 0 {
		return false
	}
	verified := len(applyVerifications(table, s.Verifications(), now)) > 0
	return table.UpdateEngine(s.Address, s.Born, s.Loading, s.Held, now) || verified
}

// UpdateEngine applies an agent's report about its engine.
func (h *Hub) UpdateEngine(s wire.EngineState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ended []directory.Verification
	if s.Loading {
		ended = h.table.BeginLoad(s.Address, s.Born, s.Held)
		logEnded(h.log, ended)
	}
	if applyEngine(h.table, s, h.now()) || len(ended) > 0 {
		h.log.Info("engine state changed", "address", s.Address, "born", s.Born, "loading", s.Loading, "held", s.Held, "checked", s.Checked)
		h.broadcast(wire.Update{Engines: []wire.EngineState{s}, Verified: ended}, true)
	}
}

// ApplyPeerUpdate applies another control process's update.
func (h *Hub) ApplyPeerUpdate(update wire.Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	var forwarded wire.Update
	var ended []directory.Verification
	for _, s := range update.Servers {
		ended = append(ended, h.endVerifications(s)...)
		switch h.table.Update(s, now) {
		case directory.Changed:
			forwarded.Servers = append(forwarded.Servers, s)
		case directory.Invalid:
			logInvalidServer(h.log, s)
		}
	}
	for _, l := range update.Left {
		if h.table.Deregister(l.ID, l.Born, now) {
			forwarded.Left = append(forwarded.Left, l)
		}
	}
	h.applyPeerVerifications(update, ended, now)
	for _, s := range update.Engines {
		if applyEngine(h.table, s, now) {
			forwarded.Engines = append(forwarded.Engines, s)
		}
	}
	forwarded.Paces = applyPaces(h.table, update.Paces)
	if h.recordAges(update.Ages) {
		h.sendDesired()
	}
	for _, id := range update.Alive {
		if record := h.table.Get(id); record != nil {
			record.Heard = now
			h.alivePeers[id] = true
		}
	}
	h.applyObservations(update.Observations, false)
	if len(forwarded.Servers)+len(forwarded.Left)+len(forwarded.Engines)+len(forwarded.Paces) > 0 {
		h.broadcast(forwarded, false)
	}
}

// AddFollower adds a follower and returns an update with the desired state, all
// servers and the control processes.
func (h *Hub) AddFollower(c *link.Conn, q wire.FollowRequest) wire.Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.followers[c] = &follower{conn: c, relay: q.Relay}
	update := h.fullState()
	if q.Relay {
		update.Observations = nil // only entries use them
	}
	return update
}

// fullState returns an update with the desired state, all servers, the verifications of
// their weights and the control processes. The caller holds mu.
func (h *Hub) fullState() wire.Update {
	update := h.desiredUpdate()
	for _, record := range h.table.All() {
		if record.State == directory.Gone {
			update.Left = append(update.Left, wire.Deregistration{ID: record.ID, Born: record.Born})
			continue
		}
		update.Servers = append(update.Servers, record.Reported(h.now()))
	}
	update.Verified, update.Paces = h.table.Verifications(), h.table.Paces()
	update.Controls = h.controls()
	update.Observations = h.relay.store.All(h.ageClock.Now())
	return update
}

// FullState returns the update that AddFollower returns, for another control
// process.
func (h *Hub) FullState() wire.Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fullState()
}

// RemoveFollower removes a follower whose link is lost.
func (h *Hub) RemoveFollower(c *link.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.followers, c)
}

// EntryCount returns the number of entries among the followers.
func (h *Hub) EntryCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entryCount()
}

// entryCount is EntryCount for callers that hold mu.
func (h *Hub) entryCount() int {
	n := 0
	for _, f := range h.followers {
		if f.conn.Peer().Role == wire.RoleEntry {
			n++
		}
	}
	return n
}

// SetDemand records the demand that an entry reports.
func (h *Hub) SetDemand(c *link.Conn, d wire.Demand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.followers[c]; f != nil {
		f.demand, f.demandAt = d.ByService, h.clock.Now()
		f.regionDemand = validRegionDemands(d.ByRegion)
	}
}

// ConfigDocument returns the configuration document in force on this process.
func (h *Hub) ConfigDocument() wire.ConfigDocument {
	h.mu.Lock()
	defer h.mu.Unlock()
	return wire.ConfigDocument{Version: h.state.ConfigVersion, Content: h.state.Content, Evacuations: h.evacuations()}
}

// Tick sends the total demand and, every AliveInterval, the servers that are alive
// and the control processes. A changed list of control processes is sent at once.
// While older versions of weights may be in use, the ages of versions are repeated:
// an update may have been delayed, and the greatest of several ages holds.
func (h *Hub) Tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Sweep(h.now())
	h.relay.store.Sweep(h.ageClock.Now())
	peer, entry, relay := h.tickUpdates()
	if len(peer.Alive)+len(peer.Ages) > 0 {
		for _, c := range h.peers.Conns() {
			_ = c.Notify(wire.KindUpdate, peer)
		}
	}
	for _, f := range h.followers {
		switch {
		case !f.relay:
			_ = f.conn.Notify(wire.KindUpdate, entry)
		case len(relay.Alive)+len(relay.Controls)+len(relay.Ages) > 0:
			_ = f.conn.Notify(wire.KindUpdate, relay)
		}
	}
}

// tickUpdates returns the updates of a tick for the other control processes, entries
// and relay followers. The caller holds mu.
func (h *Hub) tickUpdates() (peer, entry, relay wire.Update) {
	controls := h.controls()
	now := h.clock.Now()
	due := now.Sub(h.lastAliveAt) >= AliveInterval
	if due {
		h.lastAliveAt = now
		peer.Alive = ids(h.aliveLocal)
		relay.Alive = append(ids(h.alivePeers), peer.Alive...)
		clear(h.aliveLocal)
		clear(h.alivePeers)
	}
	if due || !slices.Equal(controls, h.sentControls) {
		h.sentControls = controls
		relay.Controls = controls
	}
	peer.Ages = h.ages(2 * h.oldVersionGrace)
	entry = peer
	entry.Weights, entry.Published = h.versionsOf(peer.Ages)
	relay.Ages, relay.Weights, relay.Published = entry.Ages, entry.Weights, entry.Published
	entry.Controls, entry.Demand, entry.Entries = relay.Controls, h.totalDemand(), h.entryCount()
	entry.RegionDemand = h.totalRegionDemand()
	return peer, entry, relay
}

// versionsOf returns the newest and the published versions of each model in ages. The
// caller holds mu.
func (h *Hub) versionsOf(ages map[string][]wire.VersionAge) (newest map[string]int, published map[string][]int) {
	newest, published = make(map[string]int, len(ages)), make(map[string][]int, len(ages))
	for model := range ages {
		newest[model], published[model] = h.state.Weights[model], h.state.Published[model]
	}
	return newest, published
}

// totalDemand sums the demand of all entries by service. The caller holds mu.
func (h *Hub) totalDemand() map[string]float64 {
	sum := map[string]float64{}
	for _, f := range h.followers {
		if h.clock.Since(f.demandAt) > demandTTL {
			continue
		}
		for service, d := range f.demand {
			if d >= 0 && !math.IsInf(d, 0) {
				sum[service] += d
			}
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
