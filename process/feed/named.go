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

// Known returns the versions whose age is known, oldest first. They must not be
// changed.
func (n Named) Known() []NamedVersion { return n.versions }

// UsableUntil returns until when a version may be used: for bound after the
// next version was named. It is never for the newest version, and over where
// the age of a newer one is not known: that may be old.
func (n Named) UsableUntil(version int, bound time.Duration) (until time.Time, never bool) {
	if version >= n.newest {
		return time.Time{}, true
	}
	if !n.known(n.newest) || version < n.versions[0].Version-1 {
		return time.Time{}, false
	}
	for _, v := range n.versions {
		if v.Version > version && (until.IsZero() || v.Since.Add(bound).Before(until)) {
			until = v.Since.Add(bound)
		}
	}
	return until, false
}

func (n Named) known(version int) bool {
	return slices.ContainsFunc(n.versions, func(v NamedVersion) bool { return v.Version == version })
}

// Hear takes in that a version was named, and when. It reports whether that is
// news.
func (n *Named) Hear(version int, since time.Time) bool {
	newest := n.hearNewest(version)
	return n.hearAge(version, since) || newest
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
