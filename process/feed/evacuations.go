package feed

import (
	"maps"
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/deployment"
)

// followerEvacuations holds what a follower knows of evacuations. Follower.mu guards it.
type followerEvacuations struct {
	// zones holds the evacuated zones as of revision. The map is replaced on each change.
	zones    map[string]bool
	revision uint64
	// complete is set once the zones of a control process that is current are known, or
	// need not be waited for any more.
	complete bool
	// waitingSince is when the first configuration was received while complete was not set.
	waitingSince time.Time
}

// evacuations returns the evacuated zones for followers. The caller holds mu.
func (h *Hub) evacuations() *wire.Evacuations {
	return &wire.Evacuations{Revision: h.state.Revision, Zones: h.state.Evacuated(), Current: h.isCurrent()}
}

// confirmEvacuations confirms to the followers that their evacuated zones are those of a current
// replica. The caller holds mu.
func (h *Hub) confirmEvacuations() {
	h.notifyFollowers(wire.Update{Evacuations: h.evacuations()}, true)
}

// applyEvacuations applies the evacuated zones of a control process and reports whether
// the view changes. Those of the highest revision hold: another control process may be
// behind. The caller holds mu.
func (f *Follower) applyEvacuations(e *wire.Evacuations) bool {
	if e == nil {
		return false
	}
	known := &f.evacuations
	changed := false
	if e.Revision > known.revision {
		zones := make(map[string]bool, len(e.Zones))
		for _, zone := range e.Zones {
			zones[zone] = true
		}
		if changed = !maps.Equal(zones, known.zones); changed {
			f.log.Info("evacuated zones changed", "zones", e.Zones, "before", slices.Sorted(maps.Keys(known.zones)), "revision", e.Revision)
		}
		known.zones, known.revision = zones, e.Revision
	}
	// A process that is current has at least the revision of any acknowledged call.
	return e.Current && f.completeEvacuations("") || changed
}

// completeEvacuations puts the configuration in force that waited for the evacuated zones, and
// reports whether that changes the view. reason is why the zones of no current control process
// were waited for, or "". The caller holds mu.
func (f *Follower) completeEvacuations(reason string) bool {
	if f.evacuations.complete {
		return false
	}
	f.evacuations.complete = true
	if reason != "" && f.cfg.EvacuationWait > 0 {
		f.log.Warn("evacuated zones may be unknown", "reason", reason)
	}
	return f.config != nil
}

// configInForce returns the configuration, or nil while it waits for the evacuated zones: a
// process that has just started must not send requests to an evacuated zone because the first
// control process that it follows is behind. The caller holds mu.
func (f *Follower) configInForce() *deployment.Config {
	if f.cfg.EvacuationWait <= 0 || f.evacuations.complete {
		return f.config
	}
	if f.config != nil && f.evacuations.waitingSince.IsZero() {
		f.evacuations.waitingSince = f.clock.Now()
	}
	return nil
}

// endEvacuationWait puts the configuration in force if it has waited for EvacuationWait.
// Without a quorum, no control process is current, but callers must be served.
func (f *Follower) endEvacuationWait() {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	f.mu.Lock()
	since := f.evacuations.waitingSince
	var view *View
	if !since.IsZero() && f.clock.Now().Sub(since) >= f.cfg.EvacuationWait && f.completeEvacuations("no control process is current") {
		view = f.buildView(false)
	}
	f.mu.Unlock()
	f.publishView(view)
}

// noteEarlierRelease ends the wait for evacuated zones if the full state of a control process
// does not contain them: its release has no evacuations.
func (f *Follower) noteEarlierRelease(control string, update wire.Update) {
	if update.Evacuations != nil || update.Revision == 0 {
		return
	}
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	f.mu.Lock()
	var view *View
	if f.completeEvacuations("control process " + control + " is of an earlier release") {
		view = f.buildView(false)
	}
	f.mu.Unlock()
	f.publishView(view)
}
