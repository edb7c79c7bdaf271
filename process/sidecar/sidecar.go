// Package sidecar assembles the agent process on the VM of a model engine in a
// deployment: it transfers the newest weights to its engine and serves their
// pieces to other agents.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/process/runtime"
	"github.com/waxwingpost/waxwingpost/version/pieces"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

// transferShare is the share of the VM's link that transfers of weights may use. The
// events of a fully loaded engine's streams use 6 to 8 percent of the platform's
// low-bandwidth links.
const transferShare = 0.9

// Sidecar is the agent process on the VM of a model engine.
type Sidecar struct {
	*runtime.Runtime
	settings platform.Settings
	follower *feed.Follower
	client   *backend.Client
	store    *pieces.Store
	updater  *updater
}

// New returns a process that does nothing until Run.
func New(settings platform.Settings, rt *runtime.Runtime) *Sidecar {
	s := &Sidecar{Runtime: rt, settings: settings, store: pieces.NewStore(transferShare * settings.LinkBytesPerSecond)}
	s.client = backend.New(backend.Config{UnackedTimeout: runtime.UnackedTimeout, AgeClock: rt.AgeClock, Scope: rt.Scope})
	dialer := &link.Dialer{Auth: rt.Auth, Self: s.hello, Stats: rt.Stats, Log: rt.Log, Client: runtime.LinkClient()}
	s.follower = feed.NewFollower(feed.FollowerConfig{
		Seeds: feed.PeerAddresses(&settings), Relay: true, LazyConfig: true, SortAddresses: feed.RendezvousOrder(settings.IP),
		OnChange: func(*feed.View) {
			s.updater.wakeUp()
		},
	}, dialer, rt.Clock, rt.AgeClock, rt.Log)
	s.updater = newUpdater(s)
	rt.Dump.Add("weights", s.updater.dump)
	return s
}

func (s *Sidecar) hello() wire.Hello {
	return wire.Hello{
		Name: s.settings.VM, Role: wire.RoleAgent, Zone: s.settings.Zone, Region: s.settings.Region,
		Address: s.settings.PeerAddress(s.settings.IP), Service: s.settings.BackendService,
	}
}

func (s *Sidecar) node() planner.Node {
	return planner.Node{Name: s.settings.IP, Zone: s.settings.Zone, Region: s.settings.Region}
}

// Run serves until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", s.settings.PeerAddress(s.settings.IP))
	if err != nil {
		return err
	}
	s.Log.Info("sidecar started", "listen", l.Addr().String(), "backend", s.settings.BackendAddress, "service", s.settings.BackendService)
	mux := http.NewServeMux()
	mux.Handle(pieces.PathPrefix, s.store)
	s.AddOperatorPaths(mux, func() error { return nil }, runtime.ExplainUnsupported)
	srv := runtime.NewServer(mux)
	l = s.Guard(srv, l)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { s.follower.Run(groupCtx); return nil })
	group.Go(func() error { return s.ServeMetrics(groupCtx, s.settings.IP, platform.MetricsPort) })
	group.Go(func() error { return serveDuring(groupCtx, srv, l, s.updater.run, newUnloader(s.updater).run) })
	err = runtime.IgnoreCanceled(group.Wait())
	s.Log.Info("sidecar stopped", "code", int(result.CodeOf(err)))
	return err
}

// serveDuring serves connections from l while the given functions run, which return after
// ctx has ended. Another agent of the same engine can't start as long as l is open, so l is
// closed only when none of them calls the engine any more.
func serveDuring(ctx context.Context, srv *http.Server, l net.Listener, run ...func(context.Context)) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runtime.Serve(srv, l) })
	var calls sync.WaitGroup
	for _, f := range run {
		calls.Go(func() { f(ctx) })
	}
	calls.Wait()
	_ = srv.Close()
	return group.Wait()
}

// SetSeeds applies the seeds of changed settings.
func (s *Sidecar) SetSeeds(cfg platform.Settings) { s.follower.AddControls(feed.PeerAddresses(&cfg)) }
