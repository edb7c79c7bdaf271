// Package sidecar assembles the process beside a model engine of a deployment:
// it brings the newest weights to its engine, and hands their pieces to others.
package sidecar

import (
	"context"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/base"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/pieces"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

// transferShare is the part of the VM's link that weights may take. The events
// of a full engine's streams take 6 to 8 in 100 of the platform's narrow links.
const transferShare = 0.9

// Sidecar is the process beside a model engine.
type Sidecar struct {
	*base.Base
	set      platform.Settings
	follower *feed.Follower
	client   *backend.Client
	store    *pieces.Store
	keeper   *keeper
}

// New returns a process that does nothing until Run.
func New(set platform.Settings, b *base.Base) *Sidecar {
	s := &Sidecar{Base: b, set: set, store: pieces.NewStore(transferShare * set.LinkBytesPerSecond)}
	s.client = backend.New(backend.Config{UnackedLimit: base.UnackedLimit, Scope: b.Scope})
	dialer := &link.Dialer{Auth: b.Auth, Self: s.hello, Stats: b.Stats, Client: base.LinkClient()}
	s.follower = feed.NewFollower(feed.FollowerConfig{
		Seeds: feed.PeerAddresses(&set), Relay: true, LazyConfig: true, SortAddresses: feed.RendezvousOrder(set.IP),
		OnChange: func(*feed.View) {
			s.keeper.poke()
		},
	}, dialer, b.Clock, b.Log)
	s.keeper = newKeeper(s)
	b.Dump.Add("weights", s.keeper.dump)
	return s
}

func (s *Sidecar) hello() wire.Hello {
	return wire.Hello{
		Name: s.set.VM, Role: wire.RoleAgent, Zone: s.set.Zone, Region: s.set.Region,
		Address: s.set.PeerAddress(s.set.IP), Service: s.set.BackendService,
	}
}

func (s *Sidecar) node() planner.Node {
	return planner.Node{Name: s.set.IP, Zone: s.set.Zone, Region: s.set.Region}
}

// Run serves until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", s.set.PeerAddress(s.set.IP))
	if err != nil {
		return err
	}
	s.Log.Info("sidecar started", "listen", l.Addr().String(), "backend", s.set.BackendAddress, "service", s.set.BackendService)
	mux := http.NewServeMux()
	mux.Handle(pieces.Prefix, s.store)
	s.AddOperatorPaths(mux, func() error { return nil }, base.ExplainNothing)
	srv := base.NewServer(mux)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return base.Serve(srv, l) })
	group.Go(func() error { s.follower.Run(groupCtx); return nil })
	group.Go(func() error { s.keeper.run(groupCtx); return nil })
	group.Go(func() error { return s.ServeMetrics(groupCtx, s.set.IP, platform.MetricsPort) })
	<-groupCtx.Done()
	_ = srv.Close()
	err = base.IgnoreCanceled(group.Wait())
	s.Log.Info("sidecar stopped", "code", int(result.CodeOf(err)))
	return err
}

// Seeds takes in the seeds of changed settings.
func (s *Sidecar) Seeds(set platform.Settings) { s.follower.AddControls(feed.PeerAddresses(&set)) }
