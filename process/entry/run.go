package entry

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/process/runtime"
	"github.com/waxwingpost/waxwingpost/process/telemetry"
)

const (
	shutdownTimeout      = 5 * time.Second
	barrierTimeout       = 2 * time.Second
	barrierRetryInterval = 200 * time.Millisecond
)

// readiness is the state that decides whether the entry may serve callers.
type readiness struct {
	// hadState is set if the data folder was not empty at the start.
	hadState bool
	// synced is set once the state was read from a quorum.
	synced   atomic.Bool
	draining atomic.Bool
}

// hasFiles reports whether a folder exists and is not empty.
func hasFiles(dir string) bool {
	entries, err := os.ReadDir(dir)
	return err == nil && len(entries) > 0
}

// canServe reports whether callers may be served with the current configuration:
// one that was read from a quorum, or the one that was in force on this VM before a
// restart, since the VM may now be cut off from a quorum.
func (e *Entry) canServe() bool {
	if e.ready.synced.Load() {
		return true
	}
	_, revision := e.machine.Config()
	return e.ready.hadState && revision > 0
}

// checkReady returns why the entry is not ready, or nil.
func (e *Entry) checkReady() error {
	_, revision := e.machine.Config()
	switch {
	case e.ready.draining.Load():
		return result.New(result.Draining, "stopping")
	case !e.ready.synced.Load():
		return result.New(result.NoQuorum, "the current revision has not been read from a quorum yet")
	case !e.node.InQuorum():
		return result.New(result.CutOff, "no contact with a quorum")
	case revision == 0:
		return result.New(result.NotFound, "no configuration accepted yet")
	default:
		return nil
	}
}

// Run serves until ctx ends, then stops gracefully: readiness fails at once, new
// requests are served for the grace period, and requests in progress may finish
// within the drain limit.
func (e *Entry) Run(ctx context.Context) error {
	defer e.Close()
	callers, peers, err := e.listen()
	if err != nil {
		return err
	}
	e.Log.Info("entry started", "listen", e.settings.Listen, "peer_listen", e.settings.PeerListen, "replica", e.hello.Replica, "incarnation", e.hello.Incarnation)
	// The components outlive ctx: requests in progress need them.
	componentsCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	group, groupCtx := errgroup.WithContext(componentsCtx)
	callerServer := runtime.NewServer(e.Intake.LimitHeldBodies(e.callerMux()))
	peerServer := runtime.NewLinkServer(groupCtx, e.peerMux())
	callers, peers = e.Guard(callerServer, callers), e.Guard(peerServer, peers)
	group.Go(func() error { return runtime.Serve(callerServer, callers) })
	group.Go(func() error { return runtime.Serve(peerServer, peers) })
	e.startComponents(groupCtx, group)
	select {
	case <-ctx.Done():
		e.drain(callerServer)
	case <-groupCtx.Done():
	}
	stopComponents()
	_ = callerServer.Close()
	_ = peerServer.Close()
	err = runtime.IgnoreCanceled(group.Wait())
	e.Log.Info("entry stopped", "code", int(result.CodeOf(err)))
	return err
}

func (e *Entry) listen() (callers, peers net.Listener, err error) {
	if callers, err = net.Listen("tcp", e.settings.Listen); err != nil {
		return nil, nil, err
	}
	if peers, err = net.Listen("tcp", e.settings.PeerListen); err != nil {
		_ = callers.Close()
		return nil, nil, err
	}
	return callers, peers, nil
}

func (e *Entry) startComponents(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { e.mesh.Run(ctx); return nil })
	group.Go(func() error { return e.node.Run(ctx) })
	group.Go(func() error { e.views.run(ctx); return nil })
	group.Go(func() error { e.runReports(ctx); return nil })
	group.Go(func() error { return e.rollout.Run(ctx) })
	group.Go(func() error { e.syncState(ctx); return nil })
	if e.folder != nil {
		group.Go(func() error { return e.folder.Run(ctx) })
	}
}

// syncState retries a quorum round until the replica has the current state; the
// entry is not ready before.
func (e *Entry) syncState(ctx context.Context) {
	for ctx.Err() == nil {
		barrierCtx, cancel := context.WithTimeout(ctx, barrierTimeout)
		err := e.node.Barrier(barrierCtx)
		cancel()
		if err == nil {
			e.ready.synced.Store(true)
			_, revision := e.machine.Config()
			e.Log.Info("entry synced", "revision", revision, "index", e.machine.AppliedIndex())
			return
		}
		select {
		case <-ctx.Done():
		case <-e.Clock.After(barrierRetryInterval):
		}
	}
}

// drain waits for the grace period, then for requests in progress.
func (e *Entry) drain(callers *http.Server) {
	e.ready.draining.Store(true)
	e.Log.Info("entry draining", "grace", e.settings.DrainGrace)
	<-e.Clock.After(e.settings.DrainGrace)
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.DrainLimit)
	defer cancel()
	if err := e.api.Drain(ctx); err != nil {
		e.Log.Error("drain limit reached", "code", int(result.CodeOf(err)), "error", err)
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	_ = callers.Shutdown(shutdownCtx)
}

func (e *Entry) callerMux() http.Handler {
	mux := http.NewServeMux()
	telemetry.AddHealth(mux, e.checkReady)
	mux.Handle("/", e.api)
	return mux
}

func (e *Entry) peerMux() http.Handler {
	mux := http.NewServeMux()
	acceptor := &link.Acceptor{Auth: e.Auth, Self: e.self, Open: e.acceptLink, Handler: e, Stats: e.Stats, Log: e.Log}
	mux.Handle(link.Path, acceptor)
	e.AddOperatorPaths(mux, e.checkReady, e.explain)
	return mux
}
