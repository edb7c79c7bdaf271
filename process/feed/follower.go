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
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/control/desired"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// callTimeout bounds one question to a control process; the platform wants
	// a configuration in force within two seconds.
	callTimeout = 700 * time.Millisecond
	// retryPause is the wait before another control process is asked.
	retryPause = 100 * time.Millisecond
	// forgetControl is how long a control process that nobody names is dialed:
	// longer than the platform's slowest restart.
	forgetControl = 30 * time.Second
	// maxLinks bounds the control processes that an entry follows.
	maxLinks = 9
	// leaveBehind is how long a control process is not linked to that lacks the
	// configuration, by a follower of one: about the time in which a replica with
	// an empty disk catches up.
	leaveBehind = 2 * time.Second
)

// View is what a follower knows at one moment. It must not be changed.
type View struct {
	// Config is nil before the first configuration.
	Config  *deployment.Config
	Weights map[string]Named
	// Servers lists the servers that are in use, by service: neither gone nor
	// replaced at their address.
	Servers map[string][]directory.Entry
	// Demand is the sum over all entries, by service; Entries counts them.
	Demand  map[string]float64
	Entries int
	// At is when the view was made, on the clock of the servers' times.
	At time.Duration
}

// FollowerConfig describes a follower.
type FollowerConfig struct {
	// Seeds are the peer addresses of some control processes.
	Seeds []string
	// Relay is set for a follower that links to one control process only.
	Relay bool
	// Order sorts addresses by preference; it may be nil.
	Order func(addresses []string) []string
	// Changed is called after each new view, not concurrently; it may be nil.
	Changed func(*View)
	// Lazy asks for a configuration only at first and when weights were named.
	Lazy bool
}

// Follower is an entry's or agent's end of the feed. Safe for concurrent use.
type Follower struct {
	cfg   FollowerConfig
	clock clockwork.Clock
	log   *slog.Logger
	mesh  *mesh.Mesh
	start time.Time
	view  atomic.Pointer[View]
	// wake asks the goroutine of Run to look at the links and the document.
	wake chan struct{}
	// publish orders views; it is taken before mu.
	publish sync.Mutex

	mu    sync.Mutex
	table *directory.Table
	// controls holds when each control process was last told of.
	controls map[string]time.Time
	// behind holds until when control processes are left that lack the
	// configuration.
	behind  map[string]time.Time
	weights map[string]Named
	config  *deployment.Config
	// wanted is the highest configuration version heard of.
	wanted  uint64
	fetch   bool
	demand  map[string]float64
	entries int
}

// NewFollower returns a follower that dials nothing until Run.
func NewFollower(cfg FollowerConfig, dialer *link.Dialer, clock clockwork.Clock, log *slog.Logger) *Follower {
	f := &Follower{
		cfg: cfg, clock: clock, log: log, start: clock.Now(), wake: make(chan struct{}, 1),
		table: directory.NewTable(), controls: map[string]time.Time{}, behind: map[string]time.Time{}, weights: map[string]Named{},
	}
	for _, seed := range cfg.Seeds {
		f.controls[seed] = f.start
	}
	f.view.Store(&View{})
	dialer.Handler = f
	f.mesh = mesh.New(mesh.Config{Opened: f.opened}, dialer, log)
	return f
}

// AddControls takes in further control processes.
func (f *Follower) AddControls(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hearControls(addresses)
}

// View returns what is known now.
func (f *Follower) View() *View { return f.view.Load() }

// Links counts the open links to control processes.
func (f *Follower) Links() int { return len(f.mesh.Conns()) }

// Tell sends a message to every linked control process.
func (f *Follower) Tell(kind wire.Kind, msg any) {
	for _, c := range f.mesh.Conns() {
		_ = c.Notify(kind, msg) // a lost link is reported by the mesh
	}
}

// Run keeps the links and the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	links := f.mesh.NewGroup()
	defer links.Close()
	for ctx.Err() == nil {
		links.Set(ctx, f.targets(links), nil)
		pause := time.Second
		if !f.fetchDocument(ctx) {
			pause = retryPause
		}
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-f.clock.After(pause):
		}
	}
}

// targets returns the addresses to link to. A relaying follower stays with a
// link that works, to a control process that is not behind, and tries all others
// where it has none.
func (f *Follower) targets(links *mesh.Group) []string {
	all := f.preferred()
	if !f.cfg.Relay {
		return all[:min(len(all), maxLinks)]
	}
	if current := slices.DeleteFunc(slices.Clone(all), f.isBehind); len(current) > 0 {
		all = current
	}
	for _, address := range all {
		if links.Keeps(address) && f.mesh.Conn(address) != nil {
			return []string{address}
		}
	}
	return all
}

func (f *Follower) isBehind(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now().Before(f.behind[address])
}

// noteBehind takes in that a control process lacks the configuration.
func (f *Follower) noteBehind(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behind[address] = f.clock.Now().Add(leaveBehind)
}

// preferred returns the control processes that are known, preferred ones first.
func (f *Follower) preferred() []string {
	f.mu.Lock()
	all := slices.Sorted(maps.Keys(f.controls))
	f.mu.Unlock()
	if f.cfg.Order != nil {
		all = f.cfg.Order(all)
	}
	return all
}

func (f *Follower) poke() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// opened asks a control process for everything it knows.
func (f *Follower) opened(c *link.Conn) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var news wire.News
		if err := c.Call(ctx, wire.KindFollow, wire.Follow{Relay: f.cfg.Relay}, &news); err != nil {
			f.log.Warn("control process does not answer", "control", c.Peer().Name, "code", int(result.CodeOf(err)), "error", err)
			c.Close()
			return
		}
		if news.ConfigVersion == 0 {
			f.noteBehind(c.Peer().Name)
			f.poke()
		}
		f.hear(news)
	}()
}

// Notify implements link.Handler.
func (f *Follower) Notify(c *link.Conn, kind wire.Kind, body cbor.RawMessage) {
	var news wire.News
	if kind != wire.KindNews {
		return
	}
	if err := cbor.Unmarshal(body, &news); err != nil {
		f.log.Warn("news unreadable", "control", c.Peer().Name, "code", int(result.BadMessage), "error", err)
		return
	}
	f.hear(news)
}

// Call implements link.Handler: control processes ask nothing.
func (f *Follower) Call(context.Context, *link.Conn, wire.Kind, cbor.RawMessage) (any, error) {
	return nil, result.New(result.BadMessage, "a follower serves no calls")
}

// hear takes in news and publishes a new view where something changed.
func (f *Follower) hear(news wire.News) {
	f.publish.Lock()
	defer f.publish.Unlock()
	f.mu.Lock()
	servers := f.hearServers(news)
	changed := servers
	if f.hearDesired(news) {
		changed = true
	}
	if len(news.Controls) > 0 {
		f.hearControls(news.Controls)
	}
	if news.Demand != nil {
		f.demand, f.entries, changed = news.Demand, news.Entries, true
	}
	var view *View
	if changed {
		view = f.build(servers)
	}
	f.mu.Unlock()
	f.show(view)
}

func (f *Follower) show(view *View) {
	if view == nil {
		return
	}
	f.view.Store(view)
	if f.cfg.Changed != nil {
		f.cfg.Changed(view)
	}
}

func (f *Follower) hearServers(news wire.News) bool {
	now := f.clock.Since(f.start)
	changed := false
	for _, s := range news.Servers {
		if f.table.Update(s, now) == directory.Changed {
			changed = true
			f.log.Info("server changed", "server", s.ID, "service", s.Service, "address", s.Address,
				"state", s.State.String(), "born", s.Born, "seq", s.Seq, "held", s.Held)
		}
	}
	for _, l := range news.Left {
		if f.table.Deregister(l.ID, l.Born, now) {
			changed = true
			f.log.Info("server left", "server", l.ID, "born", l.Born)
		}
	}
	for _, s := range news.Engines {
		if f.table.UpdateEngine(s.Address, s.Loading, s.Held, now) {
			changed = true
			f.log.Info("engine told of by its agent", "address", s.Address, "loading", s.Loading, "held", s.Held)
		}
	}
	for _, id := range news.Alive {
		if e := f.table.Get(id); e != nil {
			e.Heard = now
		}
	}
	return f.table.Sweep(now) || changed
}

func (f *Follower) hearDesired(news wire.News) bool {
	changed := false
	for model, version := range news.Weights {
		named := f.weights[model]
		if named.hearNewest(version) {
			f.fetch = true
			changed = true
			f.log.Info("weights named", "model", model, "version", version, "revision", news.Revision, "ages", news.Ages[model])
		}
		for _, age := range news.Ages[model] {
			if named.hearAge(age.Version, f.clock.Now().Add(-time.Duration(age.Age)*time.Millisecond)) {
				changed = true
			}
		}
		f.weights[model] = named
	}
	if news.ConfigVersion > f.wanted {
		f.wanted = news.ConfigVersion
		f.fetch = f.fetch || !f.cfg.Lazy || f.config == nil
		f.poke()
	}
	return changed
}

// hearControls adds control processes and forgets those that were neither told
// of nor linked for long.
func (f *Follower) hearControls(controls []string) {
	now := f.clock.Now()
	before := len(f.controls)
	added := false
	for _, c := range controls {
		if _, known := f.controls[c]; !known {
			added = true
		}
		f.controls[c] = now
	}
	for c, told := range f.controls {
		if now.Sub(told) > forgetControl && f.mesh.Conn(c) == nil {
			delete(f.controls, c)
		}
	}
	if added || len(f.controls) != before {
		f.log.Info("control processes changed", "controls", slices.Sorted(maps.Keys(f.controls)))
		f.poke()
	}
}

// build makes a view. Most news is about other things than servers, of which
// there may be thousands: their lists are made anew only where they changed. The
// caller holds f.publish and f.mu.
func (f *Follower) build(servers bool) *View {
	v := &View{
		Config: f.config, Weights: maps.Clone(f.weights), Servers: f.view.Load().Servers,
		Demand: f.demand, Entries: f.entries, At: f.clock.Since(f.start),
	}
	if !servers {
		return v
	}
	v.Servers = map[string][]directory.Entry{}
	for _, e := range f.table.All() {
		if e.State != directory.Gone && !f.table.Superseded(e) {
			v.Servers[e.Service] = append(v.Servers[e.Service], *e)
		}
	}
	return v
}

// fetchDocument asks the linked control processes for the configuration, where a
// newer one is wanted. It reports whether nothing is left to fetch.
func (f *Follower) fetchDocument(ctx context.Context) bool {
	f.mu.Lock()
	due := f.fetch && (f.config == nil || f.config.Version < f.wanted)
	wanted := f.wanted
	if !due {
		f.fetch = false
	}
	f.mu.Unlock()
	return !due || f.askDocument(ctx, wanted)
}

// askDocument asks each linked control process in turn, preferred ones first.
func (f *Follower) askDocument(ctx context.Context, wanted uint64) bool {
	for _, address := range f.preferred() {
		c := f.mesh.Conn(address)
		if c == nil {
			continue
		}
		var doc wire.Document
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.Call(callCtx, wire.KindDocument, wire.DocumentQuery{Version: wanted}, &doc)
		cancel()
		if err != nil || doc.Version < wanted {
			f.log.Info("configuration not had", "control", address, "wanted", wanted, "had", doc.Version, "error", err)
			f.noteBehind(address)
			continue
		}
		return f.takeDocument(doc)
	}
	return false
}

func (f *Follower) takeDocument(doc wire.Document) bool {
	document, err := desired.Expand(doc.Content)
	var config *deployment.Config
	if err == nil {
		config, err = ReadConfig(document)
	}
	if err != nil {
		f.log.Error("configuration unreadable", "version", doc.Version, "code", int(result.CodeOf(err)), "error", err)
		return true
	}
	f.publish.Lock()
	defer f.publish.Unlock()
	f.mu.Lock()
	if f.config != nil && f.config.Version >= config.Version {
		f.mu.Unlock()
		return true
	}
	f.config = config
	view := f.build(false)
	f.mu.Unlock()
	f.log.Info("configuration in force", "version", config.Version, "routes", len(config.Routes), "accounts", len(config.Accounts))
	f.show(view)
	return true
}

// ReadConfig decodes and validates a configuration document.
func ReadConfig(document []byte) (*deployment.Config, error) {
	config, err := platform.DecodeConfig(document)
	if err != nil {
		return nil, err
	}
	return config, config.Validate()
}
