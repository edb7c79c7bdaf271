package feed

import (
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
)

// minLoggedAgeDifference is the smallest difference between two times of publication
// that is logged.
const minLoggedAgeDifference = 100 * time.Millisecond

// logAges logs what an update from a control process tells about the times of
// publication: those not known so far and earlier ones. In a full state, which is
// sent when a link opens, also a later one of the newest version is logged. logAges
// must be called before the update is applied.
func (f *Follower) logAges(control string, update wire.Update, fullState bool) {
	if len(update.Ages) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.ageClock.Now()
	for model, ages := range update.Ages {
		history := f.weights[model]
		for _, age := range ages {
			told := time.Duration(age.Age) * time.Millisecond
			attrs := []any{"model", model, "version", age.Version, "age", told, "control", control, "revision", update.Revision}
			known, ok := history.timeOf(age.Version)
			apart := now.Add(-told).Sub(known.Since)
			switch {
			case !ok && age.Version+maxVersions > history.newest:
				f.log.Info("weights publication time learned", attrs...)
			case ok && age.Bound && !known.Bound:
			case ok && apart < -minLoggedAgeDifference:
				f.log.Info("weights publication time corrected", append(attrs, "apart", apart)...)
			case fullState && ok && apart > minLoggedAgeDifference && age.Version == history.newest:
				f.log.Info("weights publication time is later here", append(attrs, "apart", apart)...)
			}
		}
	}
}

// timeOf returns the time of a version's publication, if it is known.
func (h VersionHistory) timeOf(version int) (PublishedVersion, bool) {
	for _, v := range h.versions {
		if v.Version == version {
			return v, true
		}
	}
	return PublishedVersion{}, false
}
