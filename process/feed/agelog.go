package feed

import (
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
)

// logAges logs what an update from a control process tells about the times of
// publication: those not known so far, earlier ones, and a later one of the newest
// version. It must be called before the update is applied.
func (f *Follower) logAges(control string, update wire.Update) {
	if len(update.Ages) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for model, ages := range update.Ages {
		history := f.weights[model]
		for _, age := range ages {
			told := time.Duration(age.Age) * time.Millisecond
			attrs := []any{"model", model, "version", age.Version, "age", told, "control", control, "revision", update.Revision}
			known, ok := history.timeOf(age.Version)
			apart := now.Add(-told).Sub(known)
			switch {
			case !ok && age.Version+maxVersions > history.newest:
				f.log.Info("weights publication time learned", attrs...)
			case ok && apart < -ageTolerance:
				f.log.Info("weights publication time corrected", append(attrs, "apart", apart)...)
			case ok && apart > ageTolerance && age.Version == history.newest:
				f.log.Info("weights publication time is later here", append(attrs, "apart", apart)...)
			}
		}
	}
}

// timeOf returns the time of a version's publication, if it is known.
func (h VersionHistory) timeOf(version int) (time.Time, bool) {
	for _, v := range h.versions {
		if v.Version == version {
			return v.Since, true
		}
	}
	return time.Time{}, false
}
