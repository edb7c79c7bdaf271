package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// unloadMargin is how long before its weights expire an engine is ordered to unload
	// them. Entries have withdrawn the requests that have not begun by then.
	unloadMargin = 500 * time.Millisecond
	// unloadInterval is the time between two checks of the clock, and between two
	// attempts at an engine that does not answer.
	unloadInterval = 100 * time.Millisecond
)

// unloader keeps the engine from beginning requests on expired weights: a request may
// reach it seconds after an entry has sent it and given it up.
type unloader struct {
	updater *updater
	// unloaded holds, by model, the version below which the engine was seen to hold no
	// weights.
	unloaded map[string]int
}

func newUnloader(u *updater) *unloader { return &unloader{updater: u, unloaded: map[string]int{}} }

// run unloads expired weights until ctx ends. Polling the clock also covers the time for
// which the VM is suspended.
func (l *unloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.updater.sidecar.Clock.After(unloadInterval):
		}
		l.reconcile(ctx)
	}
}

// reconcile orders the engine to unload the weights that expire. The engine is only asked
// for its report if there may be such weights.
func (l *unloader) reconcile(ctx context.Context) {
	s := l.updater.sidecar
	view := s.follower.View()
	engine := l.updater.engineConfig(view)
	if engine == nil || engine.Layers < 2 {
		return
	}
	for _, model := range engine.Models {
		history := view.Weights[model]
		now := s.AgeClock.Now().Add(unloadMargin)
		successor := lastExpiring(history, now, s.settings.Bounds.OldVersionGrace)
		if successor <= l.unloaded[model] {
			continue
		}
		report, err := l.updater.engineReport(ctx)
		if err != nil || report.Busy {
			// An engine that executes an order accepts no requests.
			continue
		}
		held := directory.VersionOf(report.Held, model)
		if held == 0 || held >= successor {
			l.unloaded[model] = successor
			continue
		}
		if until, noExpiry := history.UsableUntil(held, s.settings.Bounds.OldVersionGrace); !noExpiry && !until.IsZero() && !now.Before(until) {
			l.unload(ctx, model, held, engine.Layers, report.Orders)
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

// unload orders the engine to unload a version.
func (l *unloader) unload(ctx context.Context, model string, version, layers int, orders uint64) {
	log := l.updater.sidecar.Log.With("model", model, "version", version)
	body, err := platform.EncodeUnloadOrder(model, version, layers, orders)
	if err == nil {
		_, err = l.updater.callEngine(ctx, http.MethodPost, platform.PathOrder, body)
	}
	if err != nil {
		log.Warn("failed to unload expired weights", "code", int(result.CodeOf(err)), "error", err)
		return
	}
	log.Info("expired weights unloaded")
}
