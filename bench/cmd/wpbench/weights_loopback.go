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
		Help: "the same transfers by real agents on loopback with limited links, beside the virtual links, and live requests during a push.",
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
	// loopbackPair is what a pair carries of the model in the window, as at
	// the sizes of the virtual runs.
	loopbackPair = 0.7
	// unlimitedBytes is the model's size in the runs without limits.
	unlimitedBytes = 128 << 20
	liveVMs        = 6
	livePerSec     = 8
	liveShare      = 0.5
	liveIdle       = 8 * time.Second
)

func loopbackParams(seed uint64, vms int) virtual.Params {
	p := virtual.DefaultParams(vms)
	p.Seed = seed
	p.Regions, p.Zones = loopbackRegions, loopbackZones
	p.ModelBytes, p.Window = loopbackBytes, loopbackWindow
	// The window is a 25th of the target's; so are the intervals.
	p.HaveInterval /= loopbackScale
	p.QueueWait /= loopbackScale
	p.Planner.BusyPause /= loopbackScale
	p.Planner.SettlePause /= loopbackScale
	p.Planner.StealPause /= loopbackScale
	p.PairBytesPerSecond = int64(loopbackPair * float64(p.ModelBytes) / p.Window.Seconds())
	return p
}

func runWeightsLoopback(ctx context.Context, opts options) error {
	thin := loopbackParams(opts.Seed, loopbackVMs)
	thin.PairBytesPerSecond = noPairs
	if err := compareLoopback(ctx, opts, "time", thin); err != nil {
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
	expected := virtual.Run(p)
	f, err := loopback.Start(p, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	r, err := f.Push(ctx)
	if err != nil {
		return err
	}
	show := func(what string, value float64, unit, target string) {
		figure.Print(opts.Out, "weights_loopback_"+name+"_"+what, value, unit, target)
	}
	real, modeled := ratioOf(r.Duration, p.Bound()), ratioOf(expected.Duration, p.Bound())
	show("time_ratio", real, "of_bound", targetTime)
	show("virtual_time_ratio", modeled, "of_bound", "")
	show("real_of_virtual", real/modeled, "ratio", "")
	show("origin", float64(r.OriginBytes)/float64(p.ModelBytes), "copies", "")
	show("cross", float64(r.CrossBytes)/float64(p.ModelBytes), "copies", "")
	return nil
}

// runUnlimited measures the processor time of a transfer without limits, by
// which pacing and its timers fall away.
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
		figure.Print(opts.Out, name, r.Processor/float64(n)/gib, "s_per_vm_and_gib", "")
	}
	return nil
}

// runLive measures live requests first without and then during a push.
func runLive(ctx context.Context, opts options) error {
	p := loopbackParams(opts.Seed, liveVMs)
	f, err := loopback.Start(p, liveShare)
	if err != nil {
		return err
	}
	defer f.Close()
	idle, err := liveFor(ctx, f, func(ctx context.Context) error {
		select {
		case <-ctx.Done():
		case <-time.After(liveIdle):
		}
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	pushed, err := liveFor(ctx, f, func(ctx context.Context) error {
		r, err := f.Push(ctx)
		figure.Print(opts.Out, "weights_live_push", r.Duration.Seconds(), "s", "")
		return err
	})
	if err != nil {
		return err
	}
	figure.Print(opts.Out, "weights_live_p95_idle", float64(idle.Microseconds())/1000, "ms", "")
	figure.Print(opts.Out, "weights_live_p95_push", float64(pushed.Microseconds())/1000, "ms", "")
	figure.Print(opts.Out, "weights_live_p95_ratio", ratioOf(pushed, idle), "of_idle", "<=1.2")
	return nil
}

// liveFor sends live requests for as long as work runs.
func liveFor(ctx context.Context, f *loopback.Fleet, work func(context.Context) error) (time.Duration, error) {
	liveCtx, stop := context.WithCancel(ctx)
	defer stop()
	failed := make(chan error, 1)
	go func() {
		failed <- work(liveCtx)
		stop()
	}()
	p95, err := f.Live(liveCtx, livePerSec)
	if workErr := <-failed; err == nil {
		err = workErr
	}
	return p95, err
}
