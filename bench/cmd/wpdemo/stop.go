package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
	"github.com/waxwingpost/waxwingpost/bench/fakes"
)

// plannedStop stops an agent gracefully under load: requests in progress complete,
// and no request fails.
func (d *demo) plannedStop(ctx context.Context) error {
	l := d.startLoad(ctx)
	stopped := d.drafting[0]
	start := time.Now()
	err := cluster.Await(ctx, "requests in progress", func(context.Context) error {
		if l.sent.Load() < 2*loadCallers {
			return errors.New("too few requests sent")
		}
		return nil
	})
	if err == nil {
		err = stopped.Terminate()
	}
	if err == nil {
		err = stopped.Wait(ctx)
	}
	elapsed := time.Since(start)
	if loadErr := l.stop(); err == nil {
		err = loadErr
	}
	d.printf("%s was stopped gracefully during %d requests, %d failed", stopped.Name, l.sent.Load(), l.failed.Load())
	d.figure("planned_stop_seconds", elapsed.Seconds(), "s", "")
	d.figure("requests_failed_in_planned_stop", float64(l.failed.Load()), "count", "<=0")
	return err
}

// checkEngines checks the counters of the fake engines for faults that callers
// cannot see.
func (d *demo) checkEngines(ctx context.Context) error {
	var bad, whileLoading, cutByLoad, stale int
	for _, p := range d.engines {
		var s fakes.EngineStats
		if err := d.cluster.Stats(ctx, p, &s); err != nil {
			return err
		}
		bad += s.BadLoads
		whileLoading += s.RequestsWhileNotReady
		cutByLoad += s.CutByLoad
		stale += s.StaleOrders
	}
	d.figure("loads_of_partial_or_mixed_weights", float64(bad), "count", "<=0")
	d.figure("requests_while_loading", float64(whileLoading), "count", "<=0")
	d.figure("requests_cut_by_a_load", float64(cutByLoad), "count", "<=0")
	d.figure("orders_with_old_fences", float64(stale), "count", "<=0")
	if bad+whileLoading+cutByLoad+stale > 0 {
		return errors.New("an engine counted bad loads, requests without ready weights, cut requests or stale orders")
	}
	return nil
}

// stopAll stops all agents, then all entries, gracefully.
func (d *demo) stopAll(ctx context.Context) error {
	d.caller.Client.CloseIdleConnections()
	agents := append(append([]*cluster.Process{d.plainAgent}, d.drafting[1:]...), d.casebook...)
	for _, group := range [][]*cluster.Process{agents, d.cluster.Entries()} {
		for _, p := range group {
			if err := p.Terminate(); err != nil {
				return err
			}
		}
		for _, p := range group {
			if err := p.Wait(ctx); err != nil {
				return errors.Wrapf(err, "%s did not stop cleanly", p.Name)
			}
		}
	}
	d.printf("all agents and entries exited with status 0")
	return nil
}
