package quarantine

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

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

// union returns the candidates of two lists for the end of a server. If there are too many parts or
// requests, those stay that most servers ended with since they were last proven sound, and of
// the others those that never were.
func (t *Table) union(server string, a, b []Candidate) []Candidate {
	var all []Candidate
	known := make(map[Part]bool, len(a)+len(b))
	for _, c := range slices.Concat(a, b) {
		if !known[c.Part] {
			known[c.Part] = true
			all = append(all, c)
		}
	}
	if fitting := withinReport(all); len(fitting) == len(all) {
		return fitting
	}
	return withinReport(t.mostDoubtful(server, all))
}

// withinReport returns the candidates for which one report has room, the first ones of a list.
func withinReport(all []Candidate) []Candidate {
	var kept []Candidate
	var counts, bytes [2]int
	for i := range all {
		kind := all[i].Part.width()
		if counts[kind] < maxParts && bytes[kind]+all[i].size() <= maxCandidateBytes {
			counts[kind]++
			bytes[kind] += all[i].size()
			kept = append(kept, all[i])
		}
	}
	return kept
}

// mostDoubtful returns the candidates for the end of a server with the most doubtful ones first. The
// order of those between which nothing distinguishes varies from server to server, so that a flood
// of parts that come once does not leave out the same one each time.
func (t *Table) mostDoubtful(server string, all []Candidate) []Candidate {
	type doubt struct {
		Candidate
		otherEnds, proofs int
		order             uint64
	}
	doubts := make([]doubt, len(all))
	for i, c := range all {
		doubts[i] = doubt{Candidate: c, otherEnds: t.otherEnds(server, c.Part), order: xxhash.Sum64String(server + c.Part.ID)}
		if !t.provenAt(c.Part).IsZero() {
			doubts[i].proofs = 1
		}
	}
	slices.SortFunc(doubts, func(a, b doubt) int {
		return cmp.Or(b.otherEnds-a.otherEnds, a.proofs-b.proofs, cmp.Compare(a.order, b.order))
	})
	sorted := make([]Candidate, len(doubts))
	for i := range doubts {
		sorted[i] = doubts[i].Candidate
	}
	return sorted
}

// otherEnds returns how many servers but this one have ended with a part since it was last
// proven sound.
func (t *Table) otherEnds(server string, p Part) int {
	w, isWatched := t.watched[p]
	switch {
	case !isWatched || t.provenAt(p).After(w.lastEnd):
		return 0
	case w.server == server:
		return w.ends - 1
	default:
		return w.ends
	}
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
