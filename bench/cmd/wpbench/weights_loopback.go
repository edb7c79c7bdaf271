package main

import (
	"context"
	"fmt"
	"time"

	"github.com/waxwingpost/waxwingpost/bench/figure"
	"github.com/waxwingpost/waxwingpost/bench/loopback"
	"github.com/waxwingpost/waxwingpost/bench/virtual"
	"github.com/waxwingpost/waxwingpost/process/config"
)

func init() {
	register(experiment{
		Name: "weights-loopback",
		Help: "the same transfers by real agents on loopback with limited links, compared with the virtual links, and live requests during a push.",
		Run:  runWeightsLoopback,
	})
}

// Sizes of the runs on loopback.
const (
	loopbackVMs     = 30
	loopbackRegions = 3
	loopbackZones   = 6
	loopbackBytes   = 24 << 20
	loopbackWindow  = 24 * time.Second
	loopbackScale   = 25
	// loopbackPairCopies is how many copies of the model a pair of regions carries
	// in the window, the same ratio as in the virtual runs.
	loopbackPairCopies = 0.7
	// unlimitedBytes is the size of the model in the runs without rate limits.
	unlimitedBytes = 128 << 20
	liveVMs        = 6
	livePerSecond  = 8
	liveShare      = 0.5
	liveIdleTime   = 8 * time.Second
)

func loopbackParams(seed uint64, vms int) virtual.Params {
	p := virtual.DefaultParams(vms)
	p.Seed = seed
	p.Regions, p.Zones = loopbackRegions, loopbackZones
	p.ModelBytes, p.Window = loopbackBytes, loopbackWindow
	// The window is loopbackScale times shorter than that of DefaultParams, so the
	// intervals are scaled by the same factor.
	p.HaveInterval /= loopbackScale
	p.QueueWait /= loopbackScale
	p.Planner.BusyPause /= loopbackScale
	p.Planner.FetcherChangePause /= loopbackScale
	p.Planner.StealPause /= loopbackScale
	p.PairBytesPerSecond = int64(loopbackPairCopies * float64(p.ModelBytes) / p.Window.Seconds())
	return p
}

func runWeightsLoopback(ctx context.Context, opts options) error {
	direct := loopbackParams(opts.Seed, loopbackVMs)
	direct.PairBytesPerSecond = minPairRate
	if err := compareLoopback(ctx, opts, "time", direct); err != nil {
		return err
	}
	relayed := loopbackParams(opts.Seed, loopbackVMs)
	relayed.Objective = config.ObjectiveOriginBytes
	if err := compareLoopback(ctx, opts, "origin_bytes", relayed); err != nil {
		return err
	}
	if err := runUnlimited(ctx, opts); err != nil {
		return err
	}
	return runLive(ctx, opts)
}

// compareLoopback runs the same transfer on loopback and on virtual links.
func compareLoopback(ctx context.Context, opts options, name string, p virtual.Params) error {
	sim := virtual.Run(p)
	f, err := loopback.Start(p, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	r, err := f.Push(ctx)
	if err != nil {
		return err
	}
	printFigure := func(what string, value float64, unit, target string) {
		figure.Print(opts.Out, "weights_loopback_"+name+"_"+what, value, unit, target)
	}
	measured, simulated := durationRatio(r.Duration, p.Bound()), durationRatio(sim.Duration, p.Bound())
	printFigure("time_ratio", measured, "of_bound", targetTime)
	printFigure("virtual_time_ratio", simulated, "of_bound", "")
	printFigure("real_of_virtual", measured/simulated, "ratio", "")
	printFigure("origin", float64(r.OriginBytes)/float64(p.ModelBytes), "copies", "")
	printFigure("cross", float64(r.CrossRegionBytes)/float64(p.ModelBytes), "copies", "")
	return nil
}

// runUnlimited measures the CPU time of a transfer without rate limits, which
// excludes the cost of pacing and its timers.
func runUnlimited(ctx context.Context, opts options) error {
	for _, n := range []int{4, 8, 16} {
		p := loopbackParams(opts.Seed, n)
		p.ModelBytes = unlimitedBytes
		p.VMCopies, p.OriginCopies, p.PairBytesPerSecond = 0, 0, 0
		f, err := loopback.Start(p, 0)
		if err != nil {
			return err
		}
		r, err := f.Push(ctx)
		f.Close()
		if err != nil {
			return err
		}
		gib := float64(p.ModelBytes) / (1 << 30)
		name := fmt.Sprintf("weights_loopback_cpu_n%d", n)
		figure.Print(opts.Out, name, r.CPUSeconds/float64(n)/gib, "s_per_vm_and_gib", "")
	}
	return nil
}

// runLive measures the latency of live requests without and then during a push.
func runLive(ctx context.Context, opts options) error {
	p := loopbackParams(opts.Seed, liveVMs)
	f, err := loopback.Start(p, liveShare)
	if err != nil {
		return err
	}
	defer f.Close()
	idle, err := measureLive(ctx, f, func(ctx context.Context) error {
		select {
		case <-ctx.Done():
		case <-time.After(liveIdleTime):
		}
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	during, err := measureLive(ctx, f, func(ctx context.Context) error {
		r, err := f.Push(ctx)
		figure.Print(opts.Out, "weights_live_push", r.Duration.Seconds(), "s", "")
		return err
	})
	if err != nil {
		return err
	}
	figure.Print(opts.Out, "weights_live_p95_idle", float64(idle.Microseconds())/1000, "ms", "")
	figure.Print(opts.Out, "weights_live_p95_push", float64(during.Microseconds())/1000, "ms", "")
	figure.Print(opts.Out, "weights_live_p95_ratio", durationRatio(during, idle), "of_idle", "<=1.2")
	return nil
}

// measureLive sends live requests while work runs and returns the 95th percentile
// of their latency.
func measureLive(ctx context.Context, f *loopback.Fleet, work func(context.Context) error) (time.Duration, error) {
	liveCtx, stop := context.WithCancel(ctx)
	defer stop()
	failed := make(chan error, 1)
	go func() {
		failed <- work(liveCtx)
		stop()
	}()
	p95, err := f.MeasureLive(liveCtx, livePerSecond)
	if workErr := <-failed; err == nil {
		err = workErr
	}
	return p95, err
}
