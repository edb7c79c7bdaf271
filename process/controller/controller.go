// Package controller assembles a control process of a deployment: a replica of
// what is desired, the calls of operators, the heartbeats of backend servers,
// and the feed to entries and agents.
//
// Lock order: Controller.mu is a leaf.
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
	"github.com/waxwingpost/waxwingpost/process/base"
	"github.com/waxwingpost/waxwingpost/process/control/desired"
	"github.com/waxwingpost/waxwingpost/process/control/node"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// reopenPause is the wait before a replica whose disk failed is opened again.
	reopenPause = 500 * time.Millisecond
	// dialPatience is how long the process whose address sorts later waits for
	// the other to dial.
	dialPatience = 300 * time.Millisecond
	// stopBudget bounds the end of calls in progress at a planned stop.
	stopBudget = 2 * time.Second
)

// Controller is the control process.
type Controller struct {
	*base.Base
	set  platform.Settings
	self string
	hub  *feed.Hub
	mesh *mesh.Mesh
	// replica is nil while the data folder can't be used.
	replica atomic.Pointer[replica]
	// reopened is sent to when a replica was opened.
	reopened chan struct{}
	// entriesSeen is the highest number of entries that followed at once.
	entriesSeen atomic.Int64

	// mu guards seeds, the peer addresses of the control processes that the
	// settings name.
	mu    sync.Mutex
	seeds []string
}

// replica is one opening of the data folder.
type replica struct {
	node    *node.Node
	machine *desired.Machine
}

// New returns a control process that does nothing until Run.
func New(set platform.Settings, b *base.Base) *Controller {
	c := &Controller{Base: b, set: set, self: set.PeerAddress(set.IP), seeds: feed.PeerAddresses(&set), reopened: make(chan struct{}, 1)}
	dialer := &link.Dialer{Auth: b.Auth, Self: c.hello, Handler: c, Stats: b.Stats, Client: base.LinkClient()}
	c.mesh = mesh.New(mesh.Config{Opened: c.opened}, dialer, b.Log)
	c.hub = feed.NewHub(b.Clock, b.Log, c.mesh, c.controls)
	b.Dump.Add("replica", func() any {
		if r := c.replica.Load(); r != nil {
			return r.node.Dump()
		}
		return nil
	})
	b.Dump.Add("servers", func() any { return c.hub.FullState() })
	return c
}

func (c *Controller) hello() wire.Hello {
	return wire.Hello{
		Name: c.self, Role: wire.RoleControl, Zone: c.set.Zone, Region: c.set.Region, Address: c.self,
	}
}

// controls returns the peer addresses of the control processes that are known.
func (c *Controller) controls() []string {
	var names []string
	if r := c.replica.Load(); r != nil {
		names = r.node.MemberNames()
	}
	if len(names) == 0 {
		names = append(c.currentSeeds(), c.self)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (c *Controller) currentSeeds() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.seeds)
}

// Seeds takes in the seeds of changed settings. A replica that is not in a
// cluster yet goes on asking those that it started with.
func (c *Controller) Seeds(set platform.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = feed.PeerAddresses(&set)
}

// Run serves until ctx ends, then stops gracefully. Its metrics are served
// besides.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.ServeMetrics(ctx, c.set.IP, platform.MetricsPort) })
	group.Go(func() error { return c.run(ctx) })
	return base.IgnoreCanceled(group.Wait())
}

func (c *Controller) run(ctx context.Context) error {
	operators, err := net.Listen("tcp", c.set.OperatorAddress)
	if err != nil {
		return err
	}
	links, err := net.Listen("tcp", c.self)
	if err != nil {
		_ = operators.Close()
		return err
	}
	c.Log.Info("control process started", "operators", c.set.OperatorAddress, "links", c.self, "first_start", c.set.FirstStart)
	group, groupCtx := errgroup.WithContext(ctx)
	operatorServer := base.NewServer(c.operatorMux())
	linkServer := base.NewServer(c.linkMux())
	group.Go(func() error { return base.Serve(operatorServer, operators) })
	group.Go(func() error { return base.Serve(linkServer, links) })
	group.Go(func() error { c.runReplica(groupCtx); return nil })
	group.Go(func() error { c.runFeed(groupCtx); return nil })
	<-groupCtx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopBudget)
	defer cancel()
	_ = operatorServer.Shutdown(stopCtx)
	_ = linkServer.Close()
	err = base.IgnoreCanceled(group.Wait())
	c.Log.Info("control process stopped", "code", int(result.CodeOf(err)))
	return err
}

// runReplica keeps a replica open. A disk that fails or is full stops it; it
// is opened again until that works.
func (c *Controller) runReplica(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.runReplicaOnce(ctx)
		c.replica.Store(nil)
		if ctx.Err() != nil {
			return
		}
		c.Log.Error("replica lost", "code", int(result.CodeOf(err)), "error", err)
		select {
		case <-ctx.Done():
		case <-c.Clock.After(reopenPause):
		}
	}
}

func (c *Controller) runReplicaOnce(ctx context.Context) error {
	cfg := node.Config{
		Name: c.self, DataDir: c.set.DataDir, Peers: c.currentSeeds(), Tolerance: c.set.Tolerance,
	}
	if c.set.FirstStart {
		cfg.Bootstrap = feed.PeerAddresses(&c.set)
	}
	machine := desired.New()
	n, err := node.New(cfg, machine, c.mesh, c.Clock, base.NewRand(), c.Log, c.Scope)
	if err != nil {
		return err
	}
	c.replica.Store(&replica{node: n, machine: machine})
	select {
	case c.reopened <- struct{}{}:
	default:
	}
	return n.Run(ctx)
}

// runFeed passes what is desired to the hub and keeps the links.
func (c *Controller) runFeed(ctx context.Context) {
	ticker := c.Clock.NewTicker(feed.TickInterval)
	defer ticker.Stop()
	links := c.mesh.NewGroup()
	defer links.Close()
	var changed <-chan struct{}
	for {
		links.Set(ctx, c.wantedLinks(), c.patience)
		if r := c.replica.Load(); r != nil {
			var s desired.State
			s, changed = r.machine.Current()
			c.hub.SetDesired(s)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-c.reopened:
		case <-ticker.Chan():
			c.hub.Tick()
		}
	}
}

// wantedLinks returns the control processes to be linked to: the members, and the
// seeds where there are no links.
func (c *Controller) wantedLinks() []string {
	wanted := c.controls()
	if len(c.mesh.Conns()) == 0 {
		wanted = append(wanted, c.currentSeeds()...)
	}
	return slices.DeleteFunc(wanted, func(address string) bool { return address == c.self })
}

// patience lets the process whose address sorts first dial.
func (c *Controller) patience(address string) time.Duration {
	if c.self > address {
		return dialPatience
	}
	return 0
}

func (c *Controller) linkMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(link.Path, &link.Acceptor{Auth: c.Auth, Self: c.hello, Open: c.open, Handler: c, Stats: c.Stats})
	c.AddOperatorPaths(mux, c.check, base.ExplainNothing)
	return mux
}

// check returns why the process can't serve operators, or nil.
func (c *Controller) check() error {
	r := c.replica.Load()
	if r == nil || !r.node.InQuorum() {
		return result.New(result.NoQuorum, "no quorum was heard of")
	}
	return nil
}
