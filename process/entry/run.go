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
	"github.com/waxwingpost/waxwingpost/process/base"
	"github.com/waxwingpost/waxwingpost/process/obs"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	shutdownBudget = 5 * time.Second
	barrierTimeout = 2 * time.Second
	barrierRetry   = 200 * time.Millisecond
)

// readiness tells the balancer whether to send callers here.
type readiness struct {
	// keptState is set when the process started with what its disk held.
	keptState bool
	synced    atomic.Bool
	draining  atomic.Bool
}

// holdsFiles reports whether a folder exists and is not empty.
func holdsFiles(dir string) bool {
	entries, err := os.ReadDir(dir)
	return err == nil && len(entries) > 0
}

// mayServe reports whether callers may be served by the configuration at hand:
// one that was read from a quorum, or that this VM had in force before it was
// restarted and possibly cut off.
func (e *Entry) mayServe() bool {
	if e.ready.synced.Load() {
		return true
	}
	_, revision := e.machine.Config()
	return e.ready.keptState && revision > 0
}

// check returns why the entry is not ready, or nil.
func (e *Entry) check() error {
	_, revision := e.machine.Config()
	switch {
	case e.ready.draining.Load():
		return result.New(result.Draining, "stopping")
	case !e.ready.synced.Load():
		return result.New(result.NoQuorum, "the current revision was not yet read from a quorum")
	case !e.node.InQuorum():
		return result.New(result.CutOff, "no quorum was heard of")
	case revision == 0:
		return result.New(result.NotFound, "no configuration was accepted yet")
	default:
		return nil
	}
}

// Run serves until ctx ends, then stops gracefully: readiness fails at once,
// new requests are taken for the grace period, and what is in progress ends.
func (e *Entry) Run(ctx context.Context) error {
	defer e.Close()
	callers, peers, err := e.listen()
	if err != nil {
		return err
	}
	e.Log.Info("entry started", "listen", e.set.Listen, "peer_listen", e.set.PeerListen, "replica", e.hello.Replica, "incarnation", e.hello.Incarnation)
	// The parts outlive ctx: they are needed until the requests have ended.
	partsCtx, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	group, groupCtx := errgroup.WithContext(partsCtx)
	callerSrv := base.NewServer(e.callerMux())
	peerSrv := base.NewServer(e.peerMux())
	group.Go(func() error { return base.Serve(callerSrv, callers) })
	group.Go(func() error { return base.Serve(peerSrv, peers) })
	e.startParts(groupCtx, group)
	select {
	case <-ctx.Done():
		e.drain(callerSrv)
	case <-groupCtx.Done():
	}
	stopParts()
	_ = callerSrv.Close()
	_ = peerSrv.Close()
	err = base.IgnoreCanceled(group.Wait())
	e.Log.Info("entry stopped", "code", int(result.CodeOf(err)))
	return err
}

func (e *Entry) listen() (callers, peers net.Listener, err error) {
	if callers, err = net.Listen("tcp", e.set.Listen); err != nil {
		return nil, nil, err
	}
	if peers, err = net.Listen("tcp", e.set.PeerListen); err != nil {
		_ = callers.Close()
		return nil, nil, err
	}
	return callers, peers, nil
}

func (e *Entry) startParts(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { e.mesh.Run(ctx); return nil })
	group.Go(func() error { return e.node.Run(ctx) })
	group.Go(func() error { e.views.run(ctx); return nil })
	group.Go(func() error { e.runReports(ctx); return nil })
	group.Go(func() error { return e.rollout.Run(ctx) })
	group.Go(func() error { e.syncOnce(ctx); return nil })
	if e.folder != nil {
		group.Go(func() error { return e.folder.Run(ctx) })
	}
}

// syncOnce reads the current state from a quorum before the entry is ready.
func (e *Entry) syncOnce(ctx context.Context) {
	for ctx.Err() == nil {
		barrierCtx, cancel := context.WithTimeout(ctx, barrierTimeout)
		err := e.node.Barrier(barrierCtx)
		cancel()
		if err == nil {
			e.ready.synced.Store(true)
			_, revision := e.machine.Config()
			e.Log.Info("entry synced", "revision", revision, "index", e.machine.Index())
			return
		}
		select {
		case <-ctx.Done():
		case <-e.Clock.After(barrierRetry):
		}
	}
}

func (e *Entry) drain(callers *http.Server) {
	e.ready.draining.Store(true)
	e.Log.Info("entry draining", "grace", e.set.DrainGrace)
	<-e.Clock.After(e.set.DrainGrace)
	ctx, cancel := context.WithTimeout(context.Background(), e.set.DrainLimit)
	defer cancel()
	if err := e.api.Drain(ctx); err != nil {
		e.Log.Error("drain limit reached", "code", int(result.CodeOf(err)), "error", err)
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownBudget)
	defer cancelShutdown()
	_ = callers.Shutdown(shutdownCtx)
}

func (e *Entry) callerMux() http.Handler {
	mux := http.NewServeMux()
	obs.AddHealth(mux, e.check)
	mux.Handle("/", e.api)
	return mux
}

func (e *Entry) peerMux() http.Handler {
	mux := http.NewServeMux()
	acceptor := &link.Acceptor{Auth: e.Auth, Self: e.self, Open: e.open, Handler: e, Stats: e.Stats}
	mux.Handle(link.Path, acceptor)
	e.AddOperatorPaths(mux, e.check, e.explain)
	return mux
}
