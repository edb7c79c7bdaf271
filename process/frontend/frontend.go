// Package frontend assembles the entry process of a deployment, which forwards
// callers' requests directly to backend servers.
package frontend

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/process/intake"
	"github.com/waxwingpost/waxwingpost/process/observation"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/process/runtime"
	"github.com/waxwingpost/waxwingpost/request/forward"
)

const (
	// demandInterval is the interval between reports of the demand to the control
	// processes.
	demandInterval = 500 * time.Millisecond
	// queueInterval is the interval at which queued requests are offered to servers
	// whose backoff has ended.
	queueInterval = 50 * time.Millisecond
	// maxHeaderBytes bounds a request's headers, whatever the configuration allows. The
	// guard holds callers to the configuration's limit, 16 KiB on the platform.
	maxHeaderBytes = 64 << 10
	// idleTimeout is how long a caller's connection may be idle: longer than the
	// 15 s that the platform's callers are promised.
	idleTimeout = 30 * time.Second
	// cutOffDelay is how long the process stays ready without a link to a control
	// process.
	cutOffDelay = 4 * time.Second
	// evacuationWait bounds how long a process that has just started serves nobody because no
	// control process is known to be current. On a busy machine the first election after a
	// restart of all processes took more than 3 s, and requests reached an evacuated zone.
	evacuationWait = 8 * time.Second
)

// Frontend is the entry process that callers connect to.
type Frontend struct {
	*runtime.Runtime
	settings platform.Settings
	follower *feed.Follower
	client   *backend.Client
	handler  *forward.Handler
	stopping atomic.Bool
	// lastLinked is when a link to a control process was last open, in Unix
	// nanoseconds.
	lastLinked atomic.Int64
}

// New returns a process that does nothing until Run.
func New(settings platform.Settings, rt *runtime.Runtime) *Frontend {
	f := &Frontend{Runtime: rt, settings: settings}
	f.client = backend.New(backend.Config{UnackedTimeout: runtime.UnackedTimeout, AgeClock: rt.AgeClock, Scope: rt.Scope})
	dialer := &link.Dialer{Auth: rt.Auth, Self: f.hello, Stats: rt.Stats, Log: rt.Log, Client: runtime.LinkClient()}
	f.follower = feed.NewFollower(feed.FollowerConfig{
		Seeds: feed.PeerAddresses(&settings), SortAddresses: feed.RendezvousOrder(settings.IP), EvacuationWait: evacuationWaitFor(settings.Bounds),
		OnChange:       f.update,
		OnObservations: func(records []observation.Record) { f.handler.ApplyObservations(records) },
	}, dialer, rt.Clock, rt.AgeClock, rt.Log)
	streams, slowReader := f.streamLimit()
	responses, recordUnfinished := f.responseLimit()
	f.handler = forward.New(forward.Config{
		Responses: responses, Unfinished: recordUnfinished, Streams: streams, SlowReader: slowReader, Unsent: unsent,
		Zone: settings.Zone, Regions: settings.Regions, OldVersionGrace: settings.Bounds.OldVersionGrace, RetryShare: settings.Bounds.RetryShare,
		RetryAllowance: settings.Bounds.RetryAllowance, RetryWindow: settings.Bounds.RetryWindow, Observe: f.follower.Observe, Waited: waited,
		ColdOverrun: settings.Bounds.ColdOverrun, ColdExtra: settings.Bounds.ColdExtra, HedgeShare: settings.HedgeShare,
	}, f.client, rt.Clock, rt.AgeClock, rt.Log, rt.Scope)
	rt.Dump.Add("pools", f.handler.Dump)
	rt.Dump.Add("limits", f.handler.DumpLimits)
	rt.Dump.Add("quarantine", f.handler.DumpQuarantine)
	rt.Dump.Add("turned_away", f.handler.DumpTurnedAway)
	rt.Dump.Add("hedges", f.handler.DumpHedges)
	rt.OperatorPaths["GET "+wire.PathPlacement] = http.HandlerFunc(f.explainPlacement)
	rt.Dump.Add("cold", f.handler.DumpCold)
	rt.Dump.Add("view", func() any { return f.follower.View() })
	return f
}

// evacuationWaitFor returns for how long the first configuration waits for the evacuated zones.
// Deployments without evacuations need not wait.
func evacuationWaitFor(b platform.Bounds) time.Duration {
	if b.MaxEvacuationDelay <= 0 {
		return 0
	}
	return evacuationWait
}

// streamLimit returns the ledger of the events of slow readers and the function that counts
// the streams that are ended, or nil without limits.
func (f *Frontend) streamLimit() (*intake.Ledger, func()) {
	if f.Intake == nil {
		return nil, nil
	}
	return f.Intake.Streams(), f.Intake.RecordSlowReader
}

// responseLimit returns the ledger of the responses that servers have not finished and the
// function that counts those that are ended, or nil without limits.
func (f *Frontend) responseLimit() (*intake.Ledger, func()) {
	if f.Intake == nil {
		return nil, nil
	}
	return f.Intake.Responses(), f.Intake.RecordUnfinished
}

func (f *Frontend) update(v *feed.View) {
	if v.Config != nil && f.Intake != nil {
		f.Intake.AllowSections(min(v.Config.Limits.HeaderBytes, maxHeaderBytes))
	}
	f.handler.Update(v)
}

func (f *Frontend) hello() wire.Hello {
	return wire.Hello{
		Name: f.settings.VM, Role: wire.RoleEntry, Zone: f.settings.Zone, Region: f.settings.Region,
		Address: f.settings.PeerAddress(f.settings.IP),
	}
}

// checkReady returns why the process is not ready, or nil.
func (f *Frontend) checkReady() error {
	switch {
	case f.stopping.Load():
		return result.New(result.Draining, "stopping")
	case f.follower.View().Config == nil:
		return result.New(result.NotFound, "no configuration received yet")
	case f.follower.Links() == 0 && f.Clock.Now().UnixNano()-f.lastLinked.Load() > int64(cutOffDelay):
		return result.New(result.CutOff, "no link to a control process")
	default:
		return nil
	}
}

// Run serves until ctx ends, then stops gracefully: readiness fails at once, new
// requests are served until the load balancer sends none, and requests in progress
// may finish within the grace period.
func (f *Frontend) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", f.settings.CallerAddress)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", f.settings.ReadyAddress)
	if err != nil {
		_ = callers.Close()
		return err
	}
	f.Log.Info("frontend started", "callers", f.settings.CallerAddress, "ready", f.settings.ReadyAddress)
	componentsCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	group, groupCtx := errgroup.WithContext(componentsCtx)
	conns := newConnStats(f.Scope)
	callerServer := newCallerServer(f.LimitBodies(f.handler), callers, conns, f.Clock, f.Log)
	callerServer.guard = f.Guard
	readyServer := runtime.NewServer(f.readyMux())
	ready = f.Guard(readyServer, ready)
	group.Go(func() error { return callerServer.serve() })
	group.Go(func() error { return runtime.Serve(readyServer, ready) })
	group.Go(func() error { f.follower.Run(groupCtx); return nil })
	group.Go(func() error { f.runTimers(groupCtx); return nil })
	group.Go(func() error { return f.ServeMetrics(groupCtx, f.settings.IP, platform.MetricsPort) })
	select {
	case <-ctx.Done():
		f.drain(callerServer)
	case <-groupCtx.Done():
	}
	stopComponents()
	callerServer.close()
	_ = readyServer.Close()
	err = runtime.IgnoreCanceled(group.Wait())
	f.Log.Info("frontend stopped", "code", int(result.CodeOf(err)), "connections_closed", conns)
	return err
}

func (f *Frontend) drain(callers *callerServer) {
	started, times := f.Clock.Now(), drainTimesFor(f.settings.Bounds.StopGrace)
	f.stopping.Store(true)
	f.handler.DisableKeepAlives()
	f.Log.Info("frontend draining", "grace", f.settings.Bounds.StopGrace)
	<-f.Clock.After(times.refuse)
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(times.exit))
	defer cancel()
	f.handler.StartDrain()
	end := f.Clock.AfterFunc(f.Clock.Until(started.Add(times.answer)), f.handler.EndRequests)
	defer end.Stop()
	if err := callers.shutdown(ctx); err != nil {
		f.Log.Error("requests aborted at the end of the grace period", "code", int(result.Draining), "error", err)
	}
}

func (f *Frontend) readyMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if err := f.checkReady(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// runTimers dispatches queued requests, reports the demand, closes connections that
// are idle for too long or to servers that are gone, and logs changes of readiness.
func (f *Frontend) runTimers(ctx context.Context) {
	demandTicker := f.Clock.NewTicker(demandInterval)
	defer demandTicker.Stop()
	queueTicker := f.Clock.NewTicker(queueInterval)
	defer queueTicker.Stop()
	wasReady := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-queueTicker.Chan():
			f.handler.Decide()
			f.handler.DispatchWaiting()
			continue
		case <-demandTicker.Chan():
		}
		now := f.Clock.Now()
		if f.follower.Links() > 0 {
			f.lastLinked.Store(now.UnixNano())
		}
		f.follower.Broadcast(wire.KindDemand, f.handler.SampleDemand())
		f.client.Sweep(now, f.inUse())
		if err := f.checkReady(); (err == nil) != wasReady {
			wasReady = err == nil
			f.Log.Info("readiness changed", "ready", wasReady, "code", int(result.CodeOf(err)), "reason", err)
		}
	}
}

// inUse returns a function that reports whether an address is that of a server in
// the view.
func (f *Frontend) inUse() func(address string) bool {
	addresses := map[string]bool{}
	for _, servers := range f.handler.View().Servers {
		for _, s := range servers {
			addresses[s.Address] = true
		}
	}
	return func(address string) bool { return addresses[address] }
}

// SetSeeds applies the seeds of changed settings.
func (f *Frontend) SetSeeds(cfg platform.Settings) { f.follower.AddControls(feed.PeerAddresses(&cfg)) }
