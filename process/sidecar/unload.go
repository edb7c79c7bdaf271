package sidecar

import (
	"context"
	"time"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
)

const (
	// unloadInterval is the time between the beginnings of two checks of the clock, and of two
	// attempts at an engine that does not answer.
	unloadInterval = 100 * time.Millisecond
	// unloadMargin is how long before the expiry the check must find that weights are to be
	// unloaded, so that the order is sent directory.WithdrawMargin before.
	unloadMargin = directory.WithdrawMargin + unloadInterval
)

// unloader keeps the engine from beginning requests on expired weights: a request may
// reach it seconds after an entry has sent it and given it up.
type unloader struct {
	updater *updater
	// unloaded holds, by model, the version below which the engine was seen to hold no
	// weights.
	unloaded map[string]int
	// delayed is the version below which weights were to be unloaded when a delay was last
	// logged.
	delayed map[string]int
}

func newUnloader(u *updater) *unloader {
	return &unloader{updater: u, unloaded: map[string]int{}, delayed: map[string]int{}}
}

// run unloads expired weights until ctx ends. Polling the clock also covers the time for
// which the VM is suspended.
func (l *unloader) run(ctx context.Context) {
	clock := l.updater.sidecar.Clock
	pause := unloadInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.After(pause):
		}
		started := clock.Now()
		l.reconcile(ctx)
		pause = max(unloadInterval-clock.Since(started), 0)
	}
}

// reconcile orders the engine to unload the weights that expire. The engine is only asked for
// its report if there may be such weights.
func (l *unloader) reconcile(ctx context.Context) {
	s := l.updater.sidecar
	view := s.follower.View()
	engine := l.updater.engineConfig(view)
	if engine == nil || engine.Layers < 2 {
		return
	}
	for _, model := range engine.Models {
		history := view.Weights[model]
		now := s.AgeClock.Now()
		grace := s.settings.Bounds.OldVersionGrace
		due := lastExpiring(history, now.Add(unloadMargin), grace)
		if due <= l.unloaded[model] {
			continue
		}
		report, err := l.updater.engineReport(ctx)
		if err != nil || report.Busy {
			// An engine that executes an order accepts no requests.
			l.recordDelay(model, due, report, err)
			continue
		}
		held := directory.VersionOf(report.Held, model)
		if held == 0 || held >= due {
			l.unloaded[model] = due
			continue
		}
		until, _ := history.UsableUntil(held, grace)
		// Without the time of a publication, entries don't use the weights.
		if !until.IsZero() && !now.Add(unloadMargin).Before(until) {
			l.unload(ctx, model, engine.Layers, report, until)
		}
	}
}

// lastExpiring returns the newest version whose predecessors have expired at a time, or 0.
func lastExpiring(history feed.VersionHistory, at boottime.Instant, grace time.Duration) int {
	newest := 0
	for _, v := range history.Versions() {
		if !at.Before(v.Since.Add(grace)) {
			newest = v.Version
		}
	}
	return newest
}

// unload orders the engine to unload the version of a model that it reports, which expires at
// until.
func (l *unloader) unload(ctx context.Context, model string, layers int, report platform.EngineReport, until boottime.Instant) {
	version := directory.VersionOf(report.Held, model)
	ordered := l.updater.sidecar.AgeClock.Now()
	body, err := platform.EncodeLayersOrder(model, version, layers-1, layers, report.Orders)
	if err == nil {
		err = l.updater.postOrder(ctx, report.Born, body)
	}
	l.recordOrder(model, report, ordered, until, err)
}
