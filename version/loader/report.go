package loader

import (
	"maps"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// reportTracker keeps an engine's last report, which may lag behind the engine.
type reportTracker struct {
	last     engine.Report
	readable bool
	// changedAt is when the report last changed or became readable again.
	changedAt time.Time
	// readFailures counts the consecutive failed reads.
	readFailures int
}

func (t *reportTracker) observe(report engine.Report, err error, now time.Time) {
	if err != nil {
		t.readable = false
		t.readFailures++
		return
	}
	if !t.readable || !sameWeights(t.last, report) {
		t.changedAt = now
	}
	t.last, t.readable, t.readFailures = report, true, 0
}

// settled reports whether the engine is not loading and its report has stayed
// unchanged for at least settleTime.
func (t *reportTracker) settled(now time.Time, settleTime time.Duration) bool {
	return t.readable && t.last.State != engine.StateLoading && now.Sub(t.changedAt) >= settleTime
}

// sameWeights reports whether two reports agree on weights and state. Load
// figures are ignored.
func sameWeights(a, b engine.Report) bool {
	return a.Version == b.Version && a.Digest == b.Digest && a.State == b.State &&
		maps.Equal(a.Adapters, b.Adapters)
}

// target is a version and its adapters as an engine must report them. The zero
// target is an engine without weights.
type target struct {
	version  string
	digest   manifest.Digest
	adapters []adapter
}

type adapter struct {
	name   string
	digest manifest.Digest
}

// matches reports whether the report shows the version and all adapters.
func (t target) matches(r engine.Report) bool {
	if !t.matchesBase(r) {
		return false
	}
	return t.missingAdapter(r) == nil
}

// matchesBase is matches without the adapters.
func (t target) matchesBase(r engine.Report) bool {
	if t.version == "" {
		return r.State == engine.StateEmpty && r.Version == ""
	}
	return r.State == engine.StateReady && r.Version == t.version && r.Digest == t.digest
}

// missingAdapter returns the first adapter that the report lacks, or nil.
func (t target) missingAdapter(r engine.Report) *adapter {
	for i := range t.adapters {
		if r.Adapters[t.adapters[i].name] != t.adapters[i].digest {
			return &t.adapters[i]
		}
	}
	return nil
}
