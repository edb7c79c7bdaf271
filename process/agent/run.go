package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/process/runtime"
	"github.com/waxwingpost/waxwingpost/process/telemetry"
)

const (
	shutdownTimeout = 5 * time.Second
	// liveRequestsInterval is the interval at which the number of live requests is
	// reported to transfers.
	liveRequestsInterval = 50 * time.Millisecond
	// floorRetryInterval and floorTimeout apply to the initial fence query.
	floorRetryInterval = 200 * time.Millisecond
	floorTimeout       = 4 * time.Second
)

// Run serves until ctx ends, then stops gracefully: the entries are notified, no new
// requests are accepted, and requests in progress may finish within the drain limit.
func (a *Agent) Run(ctx context.Context) error {
	defer a.Close()
	listener, err := net.Listen("tcp", a.settings.Listen)
	if err != nil {
		return err
	}
	a.Log.Info("agent started", "listen", a.settings.Listen, "service", a.settings.Service, "backend", a.settings.Backend, "incarnation", a.hello.Incarnation)
	// The components outlive ctx: requests in progress need them.
	componentsCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	group, groupCtx := errgroup.WithContext(componentsCtx)
	srv := runtime.NewServer(a.mux())
	listener = a.Guard(srv, listener)
	group.Go(func() error { return runtime.Serve(srv, listener) })
	group.Go(func() error { a.mesh.Run(groupCtx); return nil })
	group.Go(func() error { return a.loader.Run(groupCtx) })
	group.Go(func() error { a.runAllHeartbeats(groupCtx); return nil })
	group.Go(func() error { a.reportLiveRequests(groupCtx); return nil })
	group.Go(func() error { a.fetchFloor(groupCtx); return nil })
	select {
	case <-ctx.Done():
		a.drain(srv)
	case <-groupCtx.Done():
	}
	stopComponents()
	_ = srv.Close()
	err = runtime.IgnoreCanceled(group.Wait())
	a.Log.Info("agent stopped", "code", int(result.CodeOf(err)))
	return err
}

// runAllHeartbeats runs heartbeats on every open link until ctx ends.
func (a *Agent) runAllHeartbeats(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	active := make(map[*link.Conn]bool)
	ticker := a.Clock.NewTicker(linkScanInterval)
	defer ticker.Stop()
	for {
		a.startHeartbeats(ctx, &wg, active)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// linkScanInterval bounds the delay of the first heartbeat on a new link.
const linkScanInterval = 50 * time.Millisecond

// startHeartbeats starts heartbeats on the links that are not yet active.
func (a *Agent) startHeartbeats(ctx context.Context, wg *sync.WaitGroup, active map[*link.Conn]bool) {
	for c := range active {
		if isClosed(c.Done()) {
			delete(active, c)
		}
	}
	for _, c := range a.mesh.Conns() {
		if active[c] {
			continue
		}
		active[c] = true
		wg.Go(func() { a.runHeartbeats(ctx, c) })
	}
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// fetchFloor queries the fence until a quorum answers once, which sets the floor of
// the view merger.
func (a *Agent) fetchFloor(ctx context.Context) {
	ticker := a.Clock.NewTicker(floorRetryInterval)
	defer ticker.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, floorTimeout)
		_, err := a.Fence(callCtx)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// reportLiveRequests reports the number of requests in progress to transfers, which
// yield to them.
func (a *Agent) reportLiveRequests(ctx context.Context) {
	if a.transfer == nil {
		return
	}
	ticker := a.Clock.NewTicker(liveRequestsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			a.transfer.SetLiveRequests(a.runner.InFlight())
		}
	}
}

func (a *Agent) drain(srv *http.Server) {
	a.heartbeats.draining.Store(true)
	a.Log.Info("agent draining")
	for _, c := range a.mesh.Conns() {
		_ = c.Notify(wire.KindLeave, wire.Leave{Reason: "planned stop"})
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.settings.DrainLimit)
	defer cancel()
	if err := a.runner.Drain(ctx); err != nil {
		a.Log.Error("drain limit reached", "code", int(result.CodeOf(err)), "error", err)
	}
	if err := a.loader.Close(ctx); err != nil {
		a.Log.Error("failed to close loader", "code", int(result.CodeOf(err)), "error", err)
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	_ = srv.Shutdown(shutdownCtx)
}

func (a *Agent) mux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.PathDispatch+"/", a.Auth.Require(a.runner))
	mux.Handle(wire.PathAttempt, a.Auth.Require(a.runner))
	if a.transfer != nil {
		mux.Handle(wire.PathChunks, a.Auth.Require(a.transfer.Handler()))
		mux.Handle(wire.PathHeldChunks, a.Auth.Require(a.transfer.Handler()))
	}
	a.AddOperatorPaths(mux, a.checkReady, a.explain)
	return mux
}

// checkReady returns why the agent accepts no requests, or nil.
func (a *Agent) checkReady() error {
	if a.heartbeats.draining.Load() {
		return result.New(result.Draining, "stopping")
	}
	if len(a.mesh.Conns()) == 0 {
		return errNoEntry()
	}
	if _, serving, _, _, _ := a.loader.Report(); serving == "" && !a.settings.Plain {
		return result.New(result.NoBackend, "the engine serves no verified version")
	}
	return nil
}

func (a *Agent) explain(query string) (any, error) {
	return nil, result.New(result.NotFound, "agents have no record of %q; query an entry", query)
}

func (a *Agent) registerDump() {
	a.Dump.Add("process", func() any { return a.hello })
	a.Dump.Add("usage", func() any { return telemetry.ReadUsage() })
	a.Dump.Add("links", func() any { return a.Stats.Read() })
	a.Dump.Add("status", func() any { return a.status() })
	a.Dump.Add("loader", a.loader.Dump)
	a.Dump.Add("runner", a.runner.Dump)
	if a.transfer != nil {
		a.Dump.Add("transfer", a.transfer.Dump)
	}
}
