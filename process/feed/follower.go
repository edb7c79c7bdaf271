package feed

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/mesh"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/observation"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// callTimeout bounds one call to a control process; the platform requires a
	// configuration to be in force within two seconds.
	callTimeout = 700 * time.Millisecond
	// followTimeout bounds the call that begins to follow a control process, whose
	// reply may be large. An entry's other links don't wait for it.
	followTimeout = 2 * time.Second
	// retryInterval is the wait before the configuration is requested again.
	retryInterval = 100 * time.Millisecond
	// controlTTL is how long a control process is dialed after it was last listed:
	// longer than the platform's slowest restart.
	controlTTL = 30 * time.Second
	// maxLinks bounds the control processes that an entry links to.
	maxLinks = 9
	// behindBackoff is how long a relay follower avoids a control process that lacks
	// the configuration: about the time in which a replica with an empty disk
	// catches up.
	behindBackoff = 2 * time.Second
)

// View is an immutable snapshot of a follower's state.
type View struct {
	// Config is nil before the first configuration.
	Config  *deployment.Config
	Weights map[string]VersionHistory
	// Servers lists, by service, the servers that are neither gone nor superseded at
	// their address.
	Servers map[string][]directory.Record
	// Demand is the demand of all entries by service, in seconds of server time per
	// second; Entries is the number of entries.
	Demand  map[string]float64
	Entries int
	// DemandSeq counts the reports of the demand, which may be equal.
	DemandSeq uint64
	// Evacuated holds the evacuated zones. It must not be modified.
	Evacuated map[string]bool
	// RegionDemand is the part of Demand that is bound to regions, by service.
	RegionDemand map[string][]wire.RegionDemand
	// At is the time of the snapshot, on the same clock as directory.Record.Heard.
	At time.Duration
}

// FollowerConfig configures a follower.
type FollowerConfig struct {
	// Seeds are the peer addresses of the control processes to dial first.
	Seeds []string
	// Relay makes the follower link to one control process only, which relays the
	// updates of the others.
	Relay bool
	// SortAddresses sorts addresses by preference; it may be nil.
	SortAddresses func(addresses []string) []string
	// OnChange is called with each new view, not concurrently; it may be nil.
	OnChange func(*View)
	// OnObservations is called with the records of other processes as they arrive, not
	// concurrently; it may be nil.
	OnObservations func([]observation.Record)
	// LazyConfig makes the follower request the configuration only initially and
	// after a new version of weights was published.
	LazyConfig bool
	// EvacuationWait bounds how long no configuration takes effect because no control
	// process that is known to be current has been followed yet; zero means not at all.
	EvacuationWait time.Duration
}

// Follower is an entry's or agent's side of the feed. It is safe for concurrent
// use.
type Follower struct {
	cfg   FollowerConfig
	clock clockwork.Clock
	// ageClock is used for the ages of versions, which include suspensions.
	ageClock boottime.Clock
	log      *slog.Logger
	mesh     *mesh.Mesh
	start    time.Time
	view     atomic.Pointer[View]
	// wake makes Run check the links and the configuration.
	wake chan struct{}
	// linksOpened counts the control processes whose full state was received.
	linksOpened atomic.Uint64
	// publishMu serializes the publication of views; it is taken before mu.
	publishMu sync.Mutex

	mu    sync.Mutex
	table *directory.Table
	// controlSeen holds when each control process was last listed.
	controlSeen map[string]time.Time
	// behindUntil holds until when control processes that lack the configuration are
	// avoided.
	behindUntil map[string]time.Time
	weights     map[string]VersionHistory
	config      *deployment.Config
	// wantedVersion is the highest known configuration version; fetchPending is set
	// until a configuration of that version is in force.
	wantedVersion uint64
	fetchPending  bool
	demand        map[string]float64
	entries       int
	regionDemand  followerRegionDemand
	demandSeq     uint64
	observations  followerObservations
	evacuations   followerEvacuations
}

// NewFollower returns a follower that dials nothing until Run.
func NewFollower(cfg FollowerConfig, dialer *link.Dialer, clock clockwork.Clock, ageClock boottime.Clock, log *slog.Logger) *Follower {
	f := &Follower{
		cfg: cfg, clock: clock, ageClock: ageClock, log: log, start: clock.Now(), wake: make(chan struct{}, 1),
		table: directory.NewTable(), controlSeen: map[string]time.Time{}, behindUntil: map[string]time.Time{}, weights: map[string]VersionHistory{},
	}
	for _, seed := range cfg.Seeds {
		f.controlSeen[seed] = f.start
	}
	f.observations = newFollowerObservations()
	f.view.Store(&View{})
	dialer.Handler = f
	f.mesh = mesh.New(mesh.Config{OnOpen: f.onLinkOpened}, dialer, log)
	return f
}

// AddControls adds the peer addresses of control processes.
func (f *Follower) AddControls(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateControls(addresses)
}

// View returns the latest snapshot.
func (f *Follower) View() *View { return f.view.Load() }

// Links returns the number of open links to control processes.
func (f *Follower) Links() int { return len(f.mesh.Conns()) }

// Broadcast sends a message to every linked control process.
func (f *Follower) Broadcast(kind wire.Kind, msg any) {
	for _, c := range f.mesh.Conns() {
		_ = c.Notify(kind, msg) // a lost link is reported by the mesh
	}
}

// Run maintains the links and fetches the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	links := f.mesh.NewGroup()
	defer links.Close()
	var monitor boottime.Monitor
	for ctx.Err() == nil {
		logSuspension(f.log, monitor.Suspended(f.clock.Now(), f.ageClock.Now()))
		links.Set(ctx, f.linkTargets(links), nil)
		pause := time.Second
		if !f.fetchPendingConfig(ctx) {
			pause = retryInterval
		}
		f.endEvacuationWait()
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-f.clock.After(pause):
		}
	}
}

// linkTargets returns the addresses to link to. A relay follower keeps an open link
// to a control process that is not behind, and dials all others if it has none.
func (f *Follower) linkTargets(links *mesh.Group) []string {
	all := f.controlsByPreference()
	if !f.cfg.Relay {
		return all[:min(len(all), maxLinks)]
	}
	if current := slices.DeleteFunc(slices.Clone(all), f.isBehind); len(current) > 0 {
		all = current
	}
	for _, address := range all {
		if links.Contains(address) && f.mesh.Conn(address) != nil {
			return []string{address}
		}
	}
	return all
}

func (f *Follower) isBehind(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now().Before(f.behindUntil[address])
}

// markBehind records that a control process lacks the configuration.
func (f *Follower) markBehind(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behindUntil[address] = f.clock.Now().Add(behindBackoff)
}

// controlsByPreference returns the known control processes, preferred ones first.
func (f *Follower) controlsByPreference() []string {
	f.mu.Lock()
	all := slices.Sorted(maps.Keys(f.controlSeen))
	f.mu.Unlock()
	if f.cfg.SortAddresses != nil {
		all = f.cfg.SortAddresses(all)
	}
	return all
}

func (f *Follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// onLinkOpened requests the full state and further updates from a control process.
func (f *Follower) onLinkOpened(c *link.Conn) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), followTimeout)
		defer cancel()
		var update wire.Update
		called := f.ageClock.Now()
		if err := c.Call(ctx, wire.KindFollow, wire.FollowRequest{Relay: f.cfg.Relay}, &update); err != nil {
			f.log.Warn("failed to follow control process", "control", c.Peer().Name, "code", int(result.CodeOf(err)), "error", err)
			c.Close()
			return
		}
		if update.ConfigVersion == 0 {
			f.markBehind(c.Peer().Name)
			f.wakeUp()
		}
		update.AddToAges(f.ageClock.Now().Sub(called))
		f.logAges(c.Peer().Name, update, true)
		f.noteEarlierRelease(c.Peer().Name, update)
		f.apply(update)
		f.linksOpened.Add(1)
		f.sendOwnObservations(c)
	}()
}

// Notify implements link.Handler.
func (f *Follower) Notify(c *link.Conn, kind wire.Kind, body cbor.RawMessage) {
	var update wire.Update
	if kind != wire.KindUpdate {
		return
	}
	if err := wire.Decode(body, &update); err != nil {
		f.log.Warn("failed to decode update", "control", c.Peer().Name, "code", int(result.BadMessage), "error", err)
		return
	}
	f.logAges(c.Peer().Name, update, false)
	f.apply(update)
}

// Call implements link.Handler. Control processes make no calls to followers.
func (f *Follower) Call(context.Context, *link.Conn, wire.Kind, cbor.RawMessage) (any, error) {
	return nil, result.New(result.BadMessage, "followers accept no calls")
}

// apply applies an update and publishes a new view if something changed.
func (f *Follower) apply(update wire.Update) {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	f.applyObservations(update.Observations)
	f.publishView(f.applyToState(update))
}

// applyToState applies an update and returns the new view, or nil if nothing changed. The
// caller holds publishMu.
func (f *Follower) applyToState(update wire.Update) *View {
	f.mu.Lock()
	defer f.mu.Unlock()
	serversChanged := f.applyServers(update)
	changed := serversChanged
	if f.applyDesired(update) {
		changed = true
	}
	if f.applyEvacuations(update.Evacuations) {
		changed = true
	}
	if len(update.Controls) > 0 {
		f.updateControls(update.Controls)
	}
	if update.Demand != nil {
		f.demand, f.entries, changed = update.Demand, update.Entries, true
		f.regionDemand.apply(update.RegionDemand, f.clock.Now())
		f.demandSeq++
	}
	if !changed {
		return nil
	}
	return f.buildView(serversChanged)
}

// publishView stores a view, unless it is nil. The caller holds publishMu.
func (f *Follower) publishView(view *View) {
	if view == nil {
		return
	}
	f.view.Store(view)
	if f.cfg.OnChange != nil {
		f.cfg.OnChange(view)
	}
}

// applyServers updates the table and reports whether it changed. The caller holds
// mu.
func (f *Follower) applyServers(update wire.Update) bool {
	now := f.clock.Since(f.start)
	changed := false
	for _, s := range update.Servers {
		switch f.table.Update(s, now) {
		case directory.Changed:
			changed = true
			f.log.Info("server changed", "server", s.ID, "service", s.Service, "address", s.Address,
				"state", s.State.String(), "born", s.Born, "seq", s.Seq, "held", s.Held)
		case directory.Invalid:
			logInvalidServer(f.log, s)
		}
	}
	for _, l := range update.Left {
		if f.table.Deregister(l.ID, l.Born, now) {
			changed = true
			f.log.Info("server deregistered", "server", l.ID, "born", l.Born)
		}
	}
	for _, s := range update.Engines {
		if applyEngine(f.table, s, now) {
			changed = true
			f.log.Info("engine state changed", "address", s.Address, "born", s.Born, "loading", s.Loading, "held", s.Held)
		}
	}
	if verified := applyVerifications(f.table, update.Verified, now); len(verified) > 0 {
		changed = true
		f.log.Info("verified weights changed", "verified", verified)
	}
	for _, id := range update.Alive {
		if record := f.table.Get(id); record != nil {
			record.Heard = now
		}
	}
	return f.applyPaces(update.Paces, f.table.Sweep(now) || changed)
}

// applyDesired applies the desired state and reports whether the versions of weights
// changed. The caller holds mu.
func (f *Follower) applyDesired(update wire.Update) bool {
	changed := false
	now := f.ageClock.Now()
	for model, version := range update.Weights {
		history := f.weights[model]
		if history.recordNewest(version) {
			f.fetchPending = true
			changed = true
			f.log.Info("weights version published", "model", model, "version", version, "revision", update.Revision, "ages", update.Ages[model])
		}
		if history.recordPublished(update.Published[model]) {
			changed = true
		}
		for _, age := range update.Ages[model] {
			if history.recordTime(age.Version, now.Add(-time.Duration(age.Age)*time.Millisecond), age.Bound) {
				changed = true
			}
		}
		f.weights[model] = history
	}
	if update.ConfigVersion > f.wantedVersion {
		f.wantedVersion = update.ConfigVersion
		f.fetchPending = f.fetchPending || !f.cfg.LazyConfig || f.config == nil
		f.wakeUp()
	}
	return changed
}

// updateControls adds control processes and removes those that are not linked and
// have not been listed for controlTTL. The caller holds mu.
func (f *Follower) updateControls(controls []string) {
	now := f.clock.Now()
	before := len(f.controlSeen)
	added := false
	for _, c := range controls {
		if _, exists := f.controlSeen[c]; !exists {
			added = true
		}
		f.controlSeen[c] = now
	}
	for c, seen := range f.controlSeen {
		if now.Sub(seen) > controlTTL && f.mesh.Conn(c) == nil {
			delete(f.controlSeen, c)
		}
	}
	if added || len(f.controlSeen) != before {
		f.log.Info("control processes changed", "controls", slices.Sorted(maps.Keys(f.controlSeen)))
		f.wakeUp()
	}
}

// buildView builds a view. Most updates don't concern the servers, of which there
// may be thousands: their lists are rebuilt only if they changed. The caller holds
// publishMu and mu.
func (f *Follower) buildView(serversChanged bool) *View {
	v := &View{
		Config: f.configInForce(), Evacuated: f.evacuations.zones, Weights: maps.Clone(f.weights), Servers: f.view.Load().Servers,
		Demand: f.demand, Entries: f.entries, DemandSeq: f.demandSeq, RegionDemand: f.regionDemand.byService, At: f.clock.Since(f.start),
	}
	if !serversChanged {
		return v
	}
	v.Servers = map[string][]directory.Record{}
	for _, record := range f.table.All() {
		if record.State != directory.Gone && !f.table.Superseded(record) {
			v.Servers[record.Service] = append(v.Servers[record.Service], f.table.Snapshot(record))
		}
	}
	return v
}
