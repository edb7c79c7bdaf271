package sidecar

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

// loadMargin is how long before entries stop using the held version the last engine begins to
// load: the time to read the staged pieces back and to report the load.
const loadMargin = 200 * time.Millisecond

// loadWaitBuckets are the buckets of the time that an engine waits for its turn.
var loadWaitBuckets = tally.DurationBuckets{
	100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second, 12 * time.Second,
}

// An engine accepts nothing for about two seconds while it changes version: its streams end,
// and then it loads. The engines therefore change one after the other, from the first complete
// copy until entries stop using the old version: a constant rate over all of that time leaves
// the fewest engines out of service at any moment, whatever the load. All agents compute the
// same order, and see in the view which engines have begun.

// earliestTurn is the earliest turn that was computed for a load. A later one is ignored: the
// engines before this one may never begin.
type earliestTurn struct {
	at    boottime.Instant
	known bool
}

// update takes a computed turn into account and returns the earliest one.
func (e *earliestTurn) update(next boottime.Instant) boottime.Instant {
	if !e.known || next.Before(e.at) {
		e.at, e.known = next, true
	}
	return e.at
}

// waitingAgents returns the agents of the engines that hold an older version than key and have
// not begun to load, in the order in which they are to.
func (u *updater) waitingAgents(view *feed.View, key pieces.Key) []string {
	self := u.sidecar.settings.IP
	waits := map[string]bool{self: true}
	for _, record := range view.Servers[u.sidecar.settings.BackendService] {
		host, _, err := net.SplitHostPort(record.Address)
		held := record.HeldVersion(key.Model)
		if err == nil && held > 0 && held < key.Version && record.LoadingUntil == 0 {
			waits[host] = true
		}
	}
	spec := u.fetchSpec(view, key)
	nodes := spec.Nodes
	if spec.Peers[self] == "" {
		nodes = append(nodes, u.sidecar.node())
	}
	return slices.DeleteFunc(pieces.LoadOrder(nodes, key), func(name string) bool { return !waits[name] })
}

// waitLoadTime waits for the turn of this engine to load a version that is staged. The wait
// ends once the engine no longer holds weights that entries use.
func (u *updater) waitLoadTime(ctx context.Context, key pieces.Key) error {
	started, checked := u.sidecar.AgeClock.Now(), u.sidecar.Clock.Now()
	var turn earliestTurn
	var lastView *feed.View
	var waiting []string
	for first := true; ; first = false {
		view := u.sidecar.follower.View()
		selector := u.selector(view, key.Model)
		if view != lastView {
			lastView, waiting = view, u.waitingAgents(view, key)
		}
		next := selector.loadTurn(key.Version, waiting, u.sidecar.settings.IP)
		if first {
			u.sidecar.Log.Info("load scheduled", u.appendUsable([]any{
				"model", key.Model, "version", key.Version, "wait", next.Sub(selector.now),
				"before", max(slices.Index(waiting, u.sidecar.settings.IP), 0), "waiting", len(waiting),
			}, key.Model, selector.heldVersion, "usable_turn_ms", next)...)
		}
		left := turn.update(next).Sub(selector.now)
		if left <= 0 {
			u.scope.Counter("loads_scheduled").Inc(1)
			u.scope.Histogram("load_wait", loadWaitBuckets).RecordDuration(selector.now.Sub(started))
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-u.sidecar.Clock.After(min(left, pendingPollInterval)):
		}
		if now := u.sidecar.Clock.Now(); now.Sub(checked) >= settledPollInterval {
			checked = now
			// An engine that has restarted may hold nothing that entries use. One that does
			// not answer is seen when its load begins.
			if report, err := u.engineReport(ctx); err == nil {
				u.recordHeld(key.Model, report)
			}
		}
	}
}

// releaseExpired frees the pieces of versions that entries don't use any more, once the engine
// holds the newest one: no agent needs them.
func (u *updater) releaseExpired(view *feed.View, newest pieces.Key) {
	history, now := view.Weights[newest.Model], u.sidecar.AgeClock.Now()
	freed := u.sidecar.store.ReleaseExpired(newest.Model, func(version int) bool {
		until, noExpiry := history.UsableUntil(version, u.sidecar.settings.Bounds.OldVersionGrace)
		return version < newest.Version && !noExpiry && !until.IsZero() && now.After(until)
	})
	if freed > 0 {
		u.sidecar.Log.Info("pieces of expired versions released", "model", newest.Model, "newest", newest.Version, "pieces", freed)
	}
}
