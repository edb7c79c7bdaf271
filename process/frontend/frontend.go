// Package frontend assembles the process that takes callers' requests in a
// deployment and sends them to backend servers directly.
package frontend

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/base"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/forward"
)

const (
	// tellInterval is the pause between two messages about demand.
	tellInterval = 500 * time.Millisecond
	// pumpInterval is the pause between two looks at servers whose rest ended.
	pumpInterval = 50 * time.Millisecond
	// leaveRotation is how long the balancer needs to send nothing new: it asks
	// each second and acts after two misses.
	leaveRotation = 2800 * time.Millisecond
	// stopMargin is the part of the grace that is left for the exit.
	stopMargin = 600 * time.Millisecond
	// maxHeaderBytes bounds a request's headers; the platform's callers send
	// 16 KiB at most.
	maxHeaderBytes = 64 << 10
	// idleTimeout is how long a caller's connection may be idle: above the 15 s
	// that the platform's callers are told.
	idleTimeout = 30 * time.Second
	// cutOffAfter is how long no control process may be linked before the
	// process is not ready.
	cutOffAfter = 4 * time.Second
)

// Frontend is the process that callers reach.
type Frontend struct {
	*base.Base
	set      platform.Settings
	follower *feed.Follower
	client   *backend.Client
	handler  *forward.Handler
	stopping atomic.Bool
	// linked is when a control process was last seen linked, in Unix
	// nanoseconds.
	linked atomic.Int64
}

// New returns a process that does nothing until Run.
func New(set platform.Settings, b *base.Base) *Frontend {
	f := &Frontend{Base: b, set: set}
	f.client = backend.New(backend.Config{UnackedLimit: base.UnackedLimit, Scope: b.Scope})
	dialer := &link.Dialer{Auth: b.Auth, Self: f.hello, Stats: b.Stats, Client: base.LinkClient()}
	f.follower = feed.NewFollower(feed.FollowerConfig{
		Seeds: feed.PeerAddresses(&set), SortAddresses: feed.RendezvousOrder(set.IP),
		OnChange: func(v *feed.View) { f.handler.Update(v) },
	}, dialer, b.Clock, b.Log)
	f.handler = forward.New(forward.Config{
		Zone: set.Zone, VersionWithin: set.Bounds.VersionWithin, RetryShare: set.Bounds.RetryShare,
		RetryAllowance: set.Bounds.RetryAllowance, RetryWindow: set.Bounds.RetryWindow,
	}, f.follower.View, f.client, b.Clock, b.Log, b.Scope)
	b.Dump.Add("pools", f.handler.Dump)
	b.Dump.Add("view", func() any { return f.follower.View() })
	return f
}

func (f *Frontend) hello() wire.Hello {
	return wire.Hello{
		Name: f.set.VM, Role: wire.RoleEntry, Zone: f.set.Zone, Region: f.set.Region,
		Address: f.set.PeerAddress(f.set.IP),
	}
}

// check returns why the process is not ready, or nil.
func (f *Frontend) check() error {
	switch {
	case f.stopping.Load():
		return result.New(result.Draining, "stopping")
	case f.follower.View().Config == nil:
		return result.New(result.NotFound, "no configuration is known yet")
	case f.follower.Links() == 0 && f.Clock.Now().UnixNano()-f.linked.Load() > int64(cutOffAfter):
		return result.New(result.CutOff, "no control process is linked")
	default:
		return nil
	}
}

// Run serves until ctx ends, then stops gracefully: readiness fails at once,
// requests are taken until the balancer sends none, and what is in progress
// ends.
func (f *Frontend) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", f.set.CallerAddress)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", f.set.ReadyAddress)
	if err != nil {
		_ = callers.Close()
		return err
	}
	f.Log.Info("frontend started", "callers", f.set.CallerAddress, "ready", f.set.ReadyAddress)
	partsCtx, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	group, groupCtx := errgroup.WithContext(partsCtx)
	callerServer := &http.Server{
		Handler: f.handler, ReadHeaderTimeout: idleTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(f.Log.Handler(), slog.LevelDebug),
	}
	readyServer := base.NewServer(f.readyMux())
	group.Go(func() error { return base.Serve(callerServer, callers) })
	group.Go(func() error { return base.Serve(readyServer, ready) })
	group.Go(func() error { f.follower.Run(groupCtx); return nil })
	group.Go(func() error { f.runTimers(groupCtx); return nil })
	group.Go(func() error { return f.ServeMetrics(groupCtx, f.set.IP, platform.MetricsPort) })
	select {
	case <-ctx.Done():
		f.drain(callerServer)
	case <-groupCtx.Done():
	}
	stopParts()
	_ = callerServer.Close()
	_ = readyServer.Close()
	err = base.IgnoreCanceled(group.Wait())
	f.Log.Info("frontend stopped", "code", int(result.CodeOf(err)))
	return err
}

func (f *Frontend) drain(callers *http.Server) {
	deadline := f.Clock.Now().Add(f.set.Bounds.StopGrace - stopMargin)
	f.stopping.Store(true)
	f.handler.StopKeeping()
	f.Log.Info("frontend draining", "grace", f.set.Bounds.StopGrace)
	<-f.Clock.After(min(leaveRotation, f.set.Bounds.StopGrace/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		f.Log.Error("requests were cut at the end of the grace", "code", int(result.Draining), "error", err)
	}
}

func (f *Frontend) readyMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if err := f.check(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// runTimers tells demand, wakes waiting requests and closes idle connections.
func (f *Frontend) runTimers(ctx context.Context) {
	tell := f.Clock.NewTicker(tellInterval)
	defer tell.Stop()
	pump := f.Clock.NewTicker(pumpInterval)
	defer pump.Stop()
	wasReady := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-pump.Chan():
			f.handler.Pump()
			continue
		case <-tell.Chan():
		}
		now := f.Clock.Now()
		if f.follower.Links() > 0 {
			f.linked.Store(now.UnixNano())
		}
		f.follower.Broadcast(wire.KindDemand, wire.Demand{ByService: f.handler.Demand()})
		f.client.Sweep(now, f.inUse())
		if err := f.check(); (err == nil) != wasReady {
			wasReady = err == nil
			f.Log.Info("readiness changed", "ready", wasReady, "code", int(result.CodeOf(err)), "reason", err)
		}
	}
}

// inUse returns whether a server at an address is in use.
func (f *Frontend) inUse() func(address string) bool {
	known := map[string]bool{}
	for _, servers := range f.follower.View().Servers {
		for _, s := range servers {
			known[s.Address] = true
		}
	}
	return func(address string) bool { return known[address] }
}

// Seeds takes in the seeds of changed settings.
func (f *Frontend) Seeds(set platform.Settings) { f.follower.AddControls(feed.PeerAddresses(&set)) }
