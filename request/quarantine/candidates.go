package quarantine

import (
	"slices"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

const (
	// maxCandidateBytes bounds the parts, and the requests, of one report. A record of package
	// observation has room for both.
	maxCandidateBytes = 7500
	// candidateOverhead is the encoded size of a candidate without its names.
	candidateOverhead = 14
)

func (c *Candidate) size() int { return len(c.Part.Model) + len(c.Part.ID) + candidateOverhead }

// union returns the candidates of two lists. If there are too many parts or requests, those
// that are in other ends stay: callers may send any number of them once.
func (t *Table) union(a, b []Candidate) []Candidate {
	all := slices.Clone(a)
	for _, c := range b {
		if !slices.ContainsFunc(all, func(o Candidate) bool { return o.Part == c.Part }) {
			all = t.add(all, c)
		}
	}
	return all
}

// add adds a candidate if there is room, or if it is in another end and one of its kind that
// is in none can make room.
func (t *Table) add(all []Candidate, c Candidate) []Candidate {
	count, bytes, replaceable := 0, c.size(), -1
	for i := range all {
		if all[i].Part.Request != c.Part.Request {
			continue
		}
		count++
		bytes += all[i].size()
		if _, isWatched := t.watched[all[i].Part]; !isWatched && replaceable < 0 && all[i].size() >= c.size() {
			replaceable = i
		}
	}
	_, isWatched := t.watched[c.Part]
	switch {
	case count < maxParts && bytes <= maxCandidateBytes:
		return append(all, c)
	case isWatched && replaceable >= 0:
		all[replaceable] = c
	}
	return all
}

// proofs holds when parts were last proven sound. The earlier ones of two generations are
// forgotten together. The zero value is ready for use.
type proofs struct {
	recent, older map[Part]boottime.Instant
}

func (s *proofs) record(p Part, at boottime.Instant) {
	if s.recent == nil || len(s.recent) >= maxProven {
		s.older, s.recent = s.recent, map[Part]boottime.Instant{}
	}
	s.recent[p] = at
}

func (s *proofs) at(p Part) boottime.Instant {
	if at, ok := s.recent[p]; ok {
		return at
	}
	return s.older[p]
}
