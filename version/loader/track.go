package loader

import (
	"maps"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// tracker follows an engine's reports, which may lag behind.
type tracker struct {
	last     engine.Report
	readable bool
	// since is when the report last changed or became readable again.
	since time.Time
	// failures counts the readings in a row that failed.
	failures int
}

func (t *tracker) observe(report engine.Report, err error, now time.Time) {
	if err != nil {
		t.readable = false
		t.failures++
		return
	}
	if !t.readable || !sameWeights(t.last, report) {
		t.since = now
	}
	t.last, t.readable, t.failures = report, true, 0
}

// settled reports whether the engine is at rest: not loading, and telling the
// same for at least d.
func (t *tracker) settled(now time.Time, d time.Duration) bool {
	return t.readable && t.last.State != engine.StateLoading && now.Sub(t.since) >= d
}

func sameWeights(a, b engine.Report) bool {
	return a.Version == b.Version && a.Digest == b.Digest && a.State == b.State &&
		maps.Equal(a.Adapters, b.Adapters)
}

// target is a version with its adapters as an engine has to report them.
type target struct {
	version  string
	digest   manifest.Digest
	adapters []adapter
}

type adapter struct {
	name   string
	digest manifest.Digest
}

// matches reports whether the engine serves the target whole.
func (t target) matches(r engine.Report) bool {
	if !t.baseMatches(r) {
		return false
	}
	return t.missingAdapter(r) == nil
}

func (t target) baseMatches(r engine.Report) bool {
	if t.version == "" {
		return r.State == engine.StateEmpty && r.Version == ""
	}
	return r.State == engine.StateReady && r.Version == t.version && r.Digest == t.digest
}

// missingAdapter returns the first adapter that the report lacks.
func (t target) missingAdapter(r engine.Report) *adapter {
	for i := range t.adapters {
		if r.Adapters[t.adapters[i].name] != t.adapters[i].digest {
			return &t.adapters[i]
		}
	}
	return nil
}
