package feed

import (
	"slices"
	"time"
)

const (
	// ageTolerance is the difference of two ages that is not news.
	ageTolerance = 100 * time.Millisecond
	// keptVersions is how many versions of a model are remembered: several may
	// be named within the time that one has to be in place.
	keptVersions = 6
)

// NamedVersion is a version of a model's weights and when it was named, as far
// as this process knows.
type NamedVersion struct {
	Version int
	Since   time.Time
}

// Named holds the latest versions of a model's weights, oldest first.
type Named struct {
	versions []NamedVersion
	// newest is the highest version, also where its age is not known.
	newest int
}

// Newest returns the highest version that was named, or 0.
func (n Named) Newest() int { return n.newest }

// Floor returns the lowest version that may still be used: the highest one that
// was named at least bound ago. Where the age of the newest version is not
// known, it may be old.
func (n Named) Floor(now time.Time, bound time.Duration) int {
	if !n.known(n.newest) {
		return n.newest
	}
	// What came before the oldest remembered version may be old as well.
	floor := 0
	if len(n.versions) > 0 {
		floor = n.versions[0].Version - 1
	}
	for _, v := range n.versions {
		if now.Sub(v.Since) >= bound {
			floor = max(floor, v.Version)
		}
	}
	return floor
}

func (n Named) known(version int) bool {
	return slices.ContainsFunc(n.versions, func(v NamedVersion) bool { return v.Version == version })
}

// hearNewest takes in the highest version and reports whether that is news.
func (n *Named) hearNewest(version int) bool {
	if version <= n.newest {
		return false
	}
	n.newest = version
	return true
}

// hearAge takes in when a version was named, and reports whether that is news.
// Of two times the earlier one holds: a control process that was down learns
// late.
func (n *Named) hearAge(version int, since time.Time) bool {
	for i, v := range n.versions {
		if v.Version == version {
			if !since.Before(v.Since.Add(-ageTolerance)) {
				return false
			}
			n.versions = slices.Clone(n.versions)
			n.versions[i].Since = since
			return true
		}
	}
	next := append(slices.Clone(n.versions), NamedVersion{Version: version, Since: since})
	slices.SortFunc(next, func(a, b NamedVersion) int { return a.Version - b.Version })
	n.versions = next[max(0, len(next)-keptVersions):]
	return true
}
