package feed

import (
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

// maxVersions is how many versions of a model are kept: several may be published
// within the time in which one has to be loaded everywhere.
const maxVersions = 6

// PublishedVersion is a version of a model's weights and the earliest time of its
// publication that this process knows.
type PublishedVersion struct {
	Version int
	Since   boottime.Instant
	// Bound is set if the version may have been published later than Since.
	Bound bool
}

// VersionHistory holds the latest published versions of a model's weights.
type VersionHistory struct {
	// versions are those with a known time of publication, oldest first.
	versions []PublishedVersion
	// newest is the highest version, even if its time of publication is unknown.
	newest int
	// published lists the latest published versions in ascending order.
	published []int
}

// Newest returns the highest published version, or 0.
func (h VersionHistory) Newest() int { return h.newest }

// Versions returns the versions whose time of publication is known, oldest first.
// The caller must not modify the slice.
func (h VersionHistory) Versions() []PublishedVersion { return h.versions }

// Equal reports whether two histories hold the same versions and times.
func (h VersionHistory) Equal(other VersionHistory) bool {
	return h.newest == other.newest && slices.Equal(h.versions, other.versions) && slices.Equal(h.published, other.published)
}

// UsableUntil returns the time until which a version may be used: grace after the
// next version was published. For the newest version, noExpiry is true. If the next
// version or its time of publication is not known, that may be long ago, and until is
// zero.
func (h VersionHistory) UsableUntil(version int, grace time.Duration) (until boottime.Instant, noExpiry bool) {
	successor, noExpiry := h.Successor(version)
	if successor.Version == 0 {
		return until, noExpiry
	}
	return successor.Since.Add(grace), false
}

// Successor returns the newer version whose time of publication limits the use of a version, or
// the zero value if there is none or its time is not known. For the newest version, newest is true.
func (h VersionHistory) Successor(version int) (successor PublishedVersion, newest bool) {
	if version >= h.newest {
		return successor, true
	}
	next := h.next(version)
	if !h.hasTime(next) {
		return successor, false
	}
	for _, v := range h.versions {
		if v.Bound && v.Version != next {
			// It may have been published after the next one.
			continue
		}
		if v.Version > version && (successor.Version == 0 || v.Since.Before(successor.Since)) {
			successor = v
		}
	}
	return successor, false
}

// next returns the version that was published after an older version. Without a list
// of the published versions, they are taken to be consecutive.
func (h VersionHistory) next(version int) int {
	if n := len(h.published); n > 0 && h.published[n-1] >= h.newest && version >= h.published[0] {
		i, _ := slices.BinarySearch(h.published, version+1)
		return h.published[i]
	}
	return version + 1
}

func (h VersionHistory) hasTime(version int) bool {
	return slices.ContainsFunc(h.versions, func(v PublishedVersion) bool { return v.Version == version })
}

// Record adds a version and its time of publication. It reports whether the
// history changed.
func (h *VersionHistory) Record(version int, since boottime.Instant) bool {
	newest := h.recordNewest(version)
	return h.recordTime(version, since, false) || newest
}

// recordNewest raises the highest version and reports whether it increased.
func (h *VersionHistory) recordNewest(version int) bool {
	if version <= h.newest {
		return false
	}
	h.newest = version
	return true
}

// recordPublished sets the list of published versions, unless the one held is newer,
// and reports whether the history changed.
func (h *VersionHistory) recordPublished(published []int) bool {
	n := len(published)
	if n == 0 || slices.Equal(published, h.published) {
		return false
	}
	if held := len(h.published); held > 0 && (h.published[held-1] > published[n-1] || h.published[0] < published[0] && h.published[held-1] == published[n-1]) {
		return false
	}
	h.published = slices.Clone(published)
	return true
}

// recordTime sets a version's time of publication and reports whether the history
// changed. The earlier of two times holds: a control process that was down sees a
// version late, and updates are delayed. A mere bound is replaced by any time that is
// none, and replaces none.
func (h *VersionHistory) recordTime(version int, since boottime.Instant, bound bool) bool {
	recorded := PublishedVersion{Version: version, Since: since, Bound: bound}
	for i, v := range h.versions {
		if v.Version == version {
			if bound && !v.Bound || bound == v.Bound && !since.Before(v.Since) {
				return false
			}
			h.versions = slices.Clone(h.versions)
			h.versions[i] = recorded
			return true
		}
	}
	next := append(slices.Clone(h.versions), recorded)
	slices.SortFunc(next, func(a, b PublishedVersion) int { return a.Version - b.Version })
	h.versions = next[max(0, len(next)-maxVersions):]
	return true
}
