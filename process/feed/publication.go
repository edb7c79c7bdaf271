package feed

import (
	"math"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/control/desired"
)

const (
	// currentTTL is how long after the replica was last known to be current a version
	// that it applies gets a time of publication. A replica that was cut off, stopped or
	// restarted applies versions that may be old.
	currentTTL = time.Second
	// ConfirmInterval is the interval between calls of ConfirmCurrent.
	ConfirmInterval = currentTTL / 4
)

// SetDesired records the desired state of the control state machine and sends it to
// the followers.
func (h *Hub) SetDesired(s desired.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Revision <= h.state.Revision {
		return
	}
	h.applyDesired(s)
}

// CatchUp records the desired state of a replica that has just become current, and
// sends it to the followers.
func (h *Hub) CatchUp(s desired.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Revision > h.state.Revision {
		h.applyDesired(s)
	}
	h.currentAt = h.ageClock.Now()
	h.confirmEvacuations()
}

// ConfirmCurrent records that the replica is in contact with its leader. It returns
// false if that was not confirmed for so long that the replica must first become
// current again.
func (h *Hub) ConfirmCurrent() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isCurrent() {
		return false
	}
	h.currentAt = h.ageClock.Now()
	return true
}

// isCurrent reports whether the replica is known to be current. The caller holds mu.
func (h *Hub) isCurrent() bool {
	return !h.currentAt.IsZero() && h.ageClock.Now().Sub(h.currentAt) <= currentTTL
}

// RecordPublished records that a version was published at a time or later, by a change
// that this process has acknowledged.
func (h *Hub) RecordPublished(model string, version int, at boottime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	history := h.histories[model]
	known, ok := history.timeOf(version)
	history.recordTime(version, at, false)
	h.histories[model] = history
	if ok && !known.Bound || version > h.state.Weights[model] {
		return
	}
	// The version was sent without its age, or with a bound.
	h.sendDesired()
}

// applyDesired replaces the desired state, records the times of publication of new
// versions and sends all to the followers. The caller holds mu.
func (h *Hub) applyDesired(s desired.State) {
	at, bound := h.publicationTime()
	for model, version := range s.Weights {
		if version <= h.state.Weights[model] {
			continue
		}
		if !at.IsZero() {
			h.recordPublication(model, s.Published[model], PublishedVersion{Version: version, Since: at, Bound: bound})
		}
		h.log.Info("weights version seen", "model", model, "version", version, "before", h.state.Weights[model],
			"revision", s.Revision, "stamped", !at.IsZero(), "current", !bound)
	}
	h.state = s
	h.log.Info("desired state changed", "revision", s.Revision, "config_version", s.ConfigVersion, "weights", s.Weights, "evacuated", s.Evacuated())
	h.sendDesired()
}

// sendDesired sends the desired state to the followers. The caller holds mu.
func (h *Hub) sendDesired() {
	update := h.desiredUpdate()
	for _, f := range h.followers {
		_ = f.conn.Notify(wire.KindUpdate, update)
	}
}

// publicationTime returns the earliest time at which a version that the replica applies
// now can have been published: now if the replica is current, else before the time at
// which it was current last, which is only a bound. It is zero if the replica was never
// known to be current. The caller holds mu.
func (h *Hub) publicationTime() (at boottime.Instant, bound bool) {
	switch {
	case h.isCurrent():
		return h.ageClock.Now(), false
	case h.currentAt.IsZero():
		return boottime.Instant{}, true
	default:
		return h.currentAt.Add(-currentTTL), true
	}
}

// recordPublication records that the versions of a model after the last known one
// were published when the newest one was. Several versions may be applied between two
// calls of SetDesired. The caller holds mu.
func (h *Hub) recordPublication(model string, published []int, newest PublishedVersion) {
	history := h.histories[model]
	for _, v := range published {
		if v > h.state.Weights[model] {
			history.recordTime(v, newest.Since, newest.Bound)
		}
	}
	history.recordTime(newest.Version, newest.Since, newest.Bound)
	h.histories[model] = history
}

// desiredUpdate returns an update with the desired state. The caller holds mu.
func (h *Hub) desiredUpdate() wire.Update {
	return wire.Update{
		Revision: h.state.Revision, ConfigVersion: h.state.ConfigVersion, Weights: h.state.Weights,
		Published: h.state.Published, Ages: h.ages(math.MaxInt64), Evacuations: h.evacuations(),
	}
}

// ages returns the ages of the versions of each model that has a version younger
// than limit. The caller holds mu.
func (h *Hub) ages(limit time.Duration) map[string][]wire.VersionAge {
	now := h.ageClock.Now()
	ages := map[string][]wire.VersionAge{}
	for model, history := range h.histories {
		var list []wire.VersionAge
		young := false
		for _, v := range history.versions {
			if v.Version > h.state.Weights[model] {
				// Known from another control process, but not applied here yet.
				continue
			}
			age := now.Sub(v.Since)
			young = young || age < limit
			list = append(list, wire.VersionAge{Version: v.Version, Age: ageMilliseconds(age), Bound: v.Bound})
		}
		if young {
			ages[model] = list
		}
	}
	return ages
}

// recordAges records the ages that another control process sent. It reports whether the
// followers know one of the versions without its age, or only a bound. The caller holds mu.
func (h *Hub) recordAges(ages map[string][]wire.VersionAge) bool {
	now := h.ageClock.Now()
	missing := false
	for model, list := range ages {
		history := h.histories[model]
		for _, age := range list {
			at := now.Add(-time.Duration(age.Age) * time.Millisecond)
			known, ok := history.timeOf(age.Version)
			if ok && known.Bound == age.Bound && known.Since.Sub(at) < time.Millisecond {
				// Ages that go back and forth would grow by their rounding.
				continue
			}
			history.recordTime(age.Version, at, age.Bound)
			missing = missing || (!ok || known.Bound && !age.Bound) && history.hasTime(age.Version) && age.Version <= h.state.Weights[model]
		}
		h.histories[model] = history
	}
	return missing
}

// ageMilliseconds rounds an age up: a version that seems older than it is expires
// early, never late.
func ageMilliseconds(age time.Duration) int64 {
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}
