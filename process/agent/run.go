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
	"github.com/waxwingpost/waxwingpost/process/base"
	"github.com/waxwingpost/waxwingpost/process/obs"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	shutdownBudget = 5 * time.Second
	// liveInterval is how often transfers are told of live requests.
	liveInterval = 50 * time.Millisecond
	// floorRetry and floorTimeout pace the question what is in force.
	floorRetry   = 200 * time.Millisecond
	floorTimeout = 4 * time.Second
)

// Run serves until ctx ends, then stops gracefully: the entries are told,
// nothing new is taken, and what is in progress ends.
func (a *Agent) Run(ctx context.Context) error {
	defer a.Close()
	listener, err := net.Listen("tcp", a.set.Listen)
	if err != nil {
		return err
	}
	a.Log.Info("agent started", "listen", a.set.Listen, "service", a.set.Service, "backend", a.set.Backend, "incarnation", a.hello.Incarnation)
	// The parts outlive ctx: they are needed until the requests have ended.
	partsCtx, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	group, groupCtx := errgroup.WithContext(partsCtx)
	srv := base.NewServer(a.mux())
	group.Go(func() error { return base.Serve(srv, listener) })
	group.Go(func() error { a.mesh.Run(groupCtx); return nil })
	group.Go(func() error { return a.loader.Run(groupCtx) })
	group.Go(func() error { a.beatAll(groupCtx); return nil })
	group.Go(func() error { a.tellLive(groupCtx); return nil })
	group.Go(func() error { a.learnFloor(groupCtx); return nil })
	select {
	case <-ctx.Done():
		a.drain(srv)
	case <-groupCtx.Done():
	}
	stopParts()
	_ = srv.Close()
	err = base.IgnoreCanceled(group.Wait())
	a.Log.Info("agent stopped", "code", int(result.CodeOf(err)))
	return err
}

// beatAll keeps heartbeats going on every link as links come and go.
func (a *Agent) beatAll(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	beating := make(map[*link.Conn]bool)
	ticker := a.Clock.NewTicker(linkScan)
	defer ticker.Stop()
	for {
		a.beatNew(ctx, &wg, beating)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// linkScan is how soon a new link gets its first heartbeat.
const linkScan = 50 * time.Millisecond

func (a *Agent) beatNew(ctx context.Context, wg *sync.WaitGroup, beating map[*link.Conn]bool) {
	for c := range beating {
		if isClosed(c.Done()) {
			delete(beating, c)
		}
	}
	for _, c := range a.mesh.Conns() {
		if beating[c] {
			continue
		}
		beating[c] = true
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

// learnFloor asks a quorum what is in force until it is told once.
func (a *Agent) learnFloor(ctx context.Context) {
	ticker := a.Clock.NewTicker(floorRetry)
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

// tellLive lets transfers yield while requests are in progress.
func (a *Agent) tellLive(ctx context.Context) {
	if a.transfer == nil {
		return
	}
	ticker := a.Clock.NewTicker(liveInterval)
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
	a.beat.draining.Store(true)
	a.Log.Info("agent draining")
	for _, c := range a.mesh.Conns() {
		_ = c.Notify(wire.KindLeave, wire.Leave{Reason: "planned stop"})
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.set.DrainLimit)
	defer cancel()
	if err := a.runner.Drain(ctx); err != nil {
		a.Log.Error("drain limit reached", "code", int(result.CodeOf(err)), "error", err)
	}
	if err := a.loader.Close(ctx); err != nil {
		a.Log.Error("loader not closed", "code", int(result.CodeOf(err)), "error", err)
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownBudget)
	defer cancelShutdown()
	_ = srv.Shutdown(shutdownCtx)
}

func (a *Agent) mux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.PathDispatch+"/", a.Auth.Require(a.runner))
	mux.Handle(wire.PathAttempt, a.Auth.Require(a.runner))
	if a.transfer != nil {
		mux.Handle(wire.PathChunks, a.Auth.Require(a.transfer.Handler()))
		mux.Handle(wire.PathHave, a.Auth.Require(a.transfer.Handler()))
	}
	a.AddOperatorPaths(mux, a.check, a.explain)
	return mux
}

// check returns why the agent takes no requests, or nil.
func (a *Agent) check() error {
	if a.beat.draining.Load() {
		return result.New(result.Draining, "stopping")
	}
	if len(a.mesh.Conns()) == 0 {
		return errNoEntry()
	}
	if _, serving, _, _, _ := a.loader.Report(); serving == "" && !a.set.Plain {
		return result.New(result.NoBackend, "the engine serves no verified version")
	}
	return nil
}

func (a *Agent) explain(query string) (any, error) {
	return nil, result.New(result.NotFound, "agents keep no record of %q; ask an entry", query)
}

func (a *Agent) registerDump() {
	a.Dump.Add("process", func() any { return a.hello })
	a.Dump.Add("usage", func() any { return obs.ReadUsage() })
	a.Dump.Add("links", func() any { return a.Stats.Read() })
	a.Dump.Add("status", func() any { return a.status() })
	a.Dump.Add("loader", a.loader.Dump)
	a.Dump.Add("runner", a.runner.Dump)
	if a.transfer != nil {
		a.Dump.Add("transfer", a.transfer.Dump)
	}
}
