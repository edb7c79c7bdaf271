// Package controller assembles a control process of a deployment: a replica of
// the desired state, the operators' API, the heartbeats of backend servers, and
// the feed to entries and agents.
//
// Lock order: no other lock is taken while Controller.mu is held.
package controller

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/mesh"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/control/desired"
	"github.com/waxwingpost/waxwingpost/process/control/node"
	"github.com/waxwingpost/waxwingpost/process/control/wal"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/process/runtime"
)

const (
	// reopenDelay is the wait before a replica whose disk failed is opened again.
	reopenDelay = 500 * time.Millisecond
	// dialDelay is how long a control process waits for another one to dial it if its
	// own address sorts later.
	dialDelay = 300 * time.Millisecond
	// shutdownTimeout bounds the wait for operators' calls in progress at a planned
	// stop.
	shutdownTimeout = 2 * time.Second
)

// Controller is a control process.
type Controller struct {
	*runtime.Runtime
	settings platform.Settings
	self     string
	// fs is the file system of the data folder; nil means the operating system's.
	fs   wal.FS
	hub  *feed.Hub
	mesh *mesh.Mesh
	// replica is nil while the data folder is unusable.
	replica atomic.Pointer[replica]
	// wasMember is set if the last replica was a member when it ended.
	wasMember atomic.Bool
	// replicaOpened receives a value after a replica was opened.
	replicaOpened chan struct{}
	// maxEntries is the highest number of entries that followed at the same time.
	maxEntries atomic.Int64

	// digestsReported receives a value after pendingDigests has grown.
	digestsReported chan struct{}

	// mu guards seeds, the peer addresses of the control processes in the settings, zones,
	// the regions of the zones in the settings, and pendingDigests, the reported digests that
	// are to be recorded.
	mu             sync.Mutex
	seeds          []string
	zones          map[string]string
	pendingDigests []control.PieceDigests
}

// replica is the replica of the desired state that is open on the data folder.
type replica struct {
	node    *node.Node
	machine *desired.Machine
}

// New returns a control process that does nothing until Run.
func New(settings platform.Settings, rt *runtime.Runtime) *Controller {
	c := &Controller{Runtime: rt, settings: settings, self: settings.PeerAddress(settings.IP), seeds: feed.PeerAddresses(&settings), zones: settings.Regions, replicaOpened: make(chan struct{}, 1), digestsReported: make(chan struct{}, 1)}
	dialer := &link.Dialer{Auth: rt.Auth, Self: c.hello, Handler: c, Stats: rt.Stats, Log: rt.Log, Client: runtime.LinkClient()}
	c.mesh = mesh.New(mesh.Config{OnOpen: c.onLinkOpened}, dialer, rt.Log)
	c.hub = feed.NewHub(rt.Clock, rt.AgeClock, settings.Bounds.OldVersionGrace, rt.Log, c.mesh, c.controls)
	rt.Dump.Add("replica", func() any {
		if r := c.replica.Load(); r != nil {
			return r.node.Dump()
		}
		return nil
	})
	rt.Dump.Add("servers", func() any { return c.hub.FullState() })
	return c
}

func (c *Controller) hello() wire.Hello {
	return wire.Hello{
		Name: c.self, Role: wire.RoleControl, Zone: c.settings.Zone, Region: c.settings.Region, Address: c.self,
	}
}

// controls returns the peer addresses of the cluster's members or, while none are
// known, of this process and the processes that it asks to join.
func (c *Controller) controls() []string {
	var names []string
	if r := c.replica.Load(); r != nil {
		names = r.node.MemberNames()
	}
	if len(names) == 0 {
		names = append(c.wantedLinks(), c.self)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (c *Controller) currentSeeds() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.seeds)
}

// SetSeeds applies the seeds and zones of changed settings.
func (c *Controller) SetSeeds(cfg platform.Settings) {
	seeds := feed.PeerAddresses(&cfg)
	c.mu.Lock()
	c.seeds, c.zones = seeds, cfg.Regions
	c.mu.Unlock()
	if r := c.replica.Load(); r != nil {
		r.node.SetPeers(seeds)
	}
}

// Run serves, including metrics, until ctx ends, then stops gracefully.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.ServeMetrics(ctx, c.settings.IP, platform.MetricsPort) })
	group.Go(func() error { return c.run(ctx) })
	return runtime.IgnoreCanceled(group.Wait())
}

func (c *Controller) run(ctx context.Context) error {
	operators, err := net.Listen("tcp", c.settings.OperatorAddress)
	if err != nil {
		return err
	}
	links, err := net.Listen("tcp", c.self)
	if err != nil {
		_ = operators.Close()
		return err
	}
	c.Log.Info("control process started", "operators", c.settings.OperatorAddress, "links", c.self, "first_start", c.settings.FirstStart)
	group, groupCtx := errgroup.WithContext(ctx)
	// The replica needs its links until it has stopped.
	linkCtx, closeLinks := context.WithCancel(context.WithoutCancel(ctx))
	defer closeLinks()
	operatorServer := runtime.NewServer(c.LimitBodies(c.operatorMux()))
	linkServer := runtime.NewLinkServer(linkCtx, c.linkMux())
	operators, links = c.Guard(operatorServer, operators), c.Guard(linkServer, links)
	replicaStopped := make(chan struct{})
	group.Go(func() error { return runtime.Serve(operatorServer, operators) })
	group.Go(func() error { return runtime.Serve(linkServer, links) })
	group.Go(func() error { defer close(replicaStopped); c.runReplica(groupCtx); return nil })
	group.Go(func() error { c.runFeed(linkCtx); return nil })
	group.Go(func() error { c.confirmCurrent(groupCtx); return nil })
	group.Go(func() error { c.recordDigests(groupCtx); return nil })
	<-groupCtx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	_ = operatorServer.Shutdown(stopCtx)
	<-replicaStopped
	closeLinks()
	_ = linkServer.Close()
	err = runtime.IgnoreCanceled(group.Wait())
	c.Log.Info("control process stopped", "code", int(result.CodeOf(err)))
	return err
}

// runReplica runs a replica and reopens it after a failure, such as a failed or
// full disk, until ctx ends.
func (c *Controller) runReplica(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.runReplicaOnce(ctx)
		c.replica.Store(nil)
		if ctx.Err() != nil {
			return
		}
		c.Log.Error("replica failed", "code", int(result.CodeOf(err)), "error", err)
		select {
		case <-ctx.Done():
		case <-c.Clock.After(reopenDelay):
		}
	}
}

func (c *Controller) runReplicaOnce(ctx context.Context) error {
	cfg := node.Config{
		Name: c.self, DataDir: c.settings.DataDir, Peers: c.currentSeeds(), FaultTolerance: c.settings.FaultTolerance,
		FS: c.fs,
	}
	if c.settings.FirstStart {
		cfg.Bootstrap = feed.PeerAddresses(&c.settings)
	}
	machine := desired.New()
	n, err := node.New(cfg, machine, c.mesh, c.Clock, runtime.NewRand(), c.Log, c.Scope)
	if err != nil {
		return err
	}
	c.replica.Store(&replica{node: n, machine: machine})
	n.SetPeers(c.currentSeeds())
	select {
	case c.replicaOpened <- struct{}{}:
	default:
	}
	err = n.Run(ctx)
	c.wasMember.Store(n.IsMember())
	return err
}

// runFeed passes the desired state to the hub and maintains the links to the other
// control processes.
func (c *Controller) runFeed(ctx context.Context) {
	ticker := c.Clock.NewTicker(feed.TickInterval)
	defer ticker.Stop()
	links := c.mesh.NewGroup()
	defer links.Close()
	var changed, contactsChanged <-chan struct{}
	for {
		links.Set(ctx, c.wantedLinks(), c.dialDelayFor)
		if r := c.replica.Load(); r != nil {
			contactsChanged = r.node.ContactsChanged()
			var s desired.State
			s, changed = r.machine.Current()
			c.hub.SetDesired(s)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-contactsChanged:
		case <-c.replicaOpened:
		case <-ticker.Chan():
			c.hub.Tick()
		}
	}
}

// confirmCurrent tells the hub regularly whether the replica is current. After a start
// or a loss of contact with the leader, a quorum round determines that.
func (c *Controller) confirmCurrent(ctx context.Context) {
	ticker := c.Clock.NewTicker(feed.ConfirmInterval)
	defer ticker.Stop()
	for {
		if r := c.replica.Load(); r != nil && r.node.InQuorum() && !c.hub.ConfirmCurrent() {
			barrierCtx, cancel := context.WithTimeout(ctx, readTimeout)
			err := r.node.Barrier(barrierCtx)
			cancel()
			if err == nil {
				s, _ := r.machine.Current()
				c.hub.CatchUp(s)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// wantedLinks returns the other control processes to link to: the members and, while
// the replica has no contact with a leader, all that it asks to join.
func (c *Controller) wantedLinks() []string {
	if r := c.replica.Load(); r != nil {
		return r.node.ContactNames()
	}
	return slices.DeleteFunc(c.currentSeeds(), func(address string) bool { return address == c.self })
}

// dialDelayFor lets the process whose address sorts first dial, so that two
// processes don't dial each other at the same time.
func (c *Controller) dialDelayFor(address string) time.Duration {
	if c.self > address {
		return dialDelay
	}
	return 0
}

func (c *Controller) linkMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(link.Path, &link.Acceptor{Auth: c.Auth, Self: c.hello, Open: c.acceptLink, Handler: c, Stats: c.Stats, Log: c.Log})
	c.AddOperatorPaths(mux, c.checkReady, runtime.ExplainUnsupported)
	return mux
}

// checkReady returns why the process can't serve operators, or nil.
func (c *Controller) checkReady() error {
	r := c.replica.Load()
	if r == nil || !r.node.InQuorum() {
		return result.New(result.NoQuorum, "no contact with a quorum")
	}
	return nil
}
