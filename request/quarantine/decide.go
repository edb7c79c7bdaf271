package quarantine

import (
	"cmp"
	"slices"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

// end is the end of a server with the candidates of all entries.
type end struct {
	server string
	at     boottime.Instant
	// depths holds the candidates and their greatest position in a prompt.
	depths map[Part]int
}

// validEnds returns the confirmed ends up to a time, earliest first.
func (t *Table) validEnds(until boottime.Instant) []end {
	var ends []end
	for server, e := range t.ends {
		reports, at := e.valid()
		if at.IsZero() || at.After(until) || !confirmed(reports) {
			continue
		}
		depths := map[Part]int{}
		for _, r := range reports {
			for _, c := range r.Candidates {
				depths[c.Part] = max(depths[c.Part], c.Depth)
			}
		}
		ends = append(ends, end{server: server, at: at, depths: depths})
	}
	slices.SortFunc(ends, func(a, b end) int { return compareInstants(a.at, b.at) })
	return ends
}

func compareInstants(a, b boottime.Instant) int {
	switch {
	case a.Before(b):
		return -1
	case b.Before(a):
		return 1
	default:
		return 0
	}
}

// endsSinceProof returns when servers may have ended that had a request with a part,
// since one has last proven it sound, and whether an end is confirmed.
func (t *Table) endsSinceProof(p Part) (times []boottime.Instant, anyConfirmed bool) {
	proven := t.provenAt(p)
	for _, e := range t.ends {
		reports, at := e.valid()
		if !at.IsZero() && at.After(proven) && contains(reports, p) {
			times = append(times, at)
			anyConfirmed = anyConfirmed || confirmed(reports)
		}
	}
	slices.SortFunc(times, compareInstants)
	return times, anyConfirmed
}

// countMoments counts times in ascending order; times close to each other count once.
func countMoments(times []boottime.Instant) int {
	n := 0
	var last boottime.Instant
	for _, at := range times {
		if n == 0 || at.Sub(last) >= sameMoment {
			n++
			last = at
		}
	}
	return n
}

// Decide removes what is too old and returns the changes of quarantines that follow from
// what is known. They are in force, and must be told to the other entries.
func (t *Table) Decide(now boottime.Instant) []Decision {
	if len(t.ends)+len(t.holds) == 0 {
		return nil
	}
	if now.Sub(t.swept) >= sweepInterval {
		t.swept = now
		t.expire(now)
	}
	if t.dueUntil.IsZero() {
		return nil
	}
	if now.After(t.dueUntil) {
		t.dueUntil = boottime.Instant{}
	}
	ends := t.validEnds(now.Add(-settleTime))
	decisions := t.clearProven(now)
	decisions = append(decisions, t.repeatHolds(now, ends)...)
	for len(t.holds) < maxHolds {
		d, found := t.suspect(now, ends)
		if !found {
			break
		}
		decisions = append(decisions, d)
	}
	return append(decisions, t.clearExplained(now, ends)...)
}

// expire removes what is too old.
func (t *Table) expire(now boottime.Instant) {
	for server, e := range t.ends {
		if now.Sub(e.latest()) > window && now.Sub(e.aliveAt) > window {
			delete(t.ends, server)
		}
	}
	for p, h := range t.holds {
		if now.Sub(h.since) > h.TTL() {
			delete(t.holds, p)
		}
	}
	if len(t.ends) == 0 && len(t.holds) == 0 {
		clear(t.watched)
	}
	if len(t.watched) > maxEnds*maxParts {
		t.dropUnwatched()
	}
}

// dropUnwatched removes the watched parts that are in no end.
func (t *Table) dropUnwatched() {
	current := map[Part]bool{}
	for _, e := range t.ends {
		for _, r := range e.reports {
			for _, c := range r.Candidates {
				current[c.Part] = true
			}
		}
	}
	for p := range t.watched {
		if !current[p] {
			delete(t.watched, p)
		}
	}
}

// clearProven clears the parts that were proven sound since the last end that they were
// suspected for. Another entry's proof may arrive after the decision.
func (t *Table) clearProven(now boottime.Instant) []Decision {
	var decisions []Decision
	for p, h := range t.holds {
		suspectedFor := h.since
		if last := t.watched[p].lastEnd; !last.IsZero() && last.Before(h.since) {
			suspectedFor = last
		}
		if t.provenAt(p).After(suspectedFor) {
			t.clear(p, now)
			decisions = append(decisions, Decision{Action: Cleared, Hold: Hold{Part: p}, At: now})
		}
	}
	return decisions
}

// repeatHolds suspects parts again that were being tried when another server ended.
func (t *Table) repeatHolds(now boottime.Instant, ends []end) []Decision {
	var decisions []Decision
	for p, h := range t.holds {
		i := slices.IndexFunc(ends, func(e end) bool { return e.at.After(h.until(0)) && has(e, p) })
		if i < 0 {
			continue
		}
		h.Count++
		h.since = now
		decisions = append(decisions, Decision{Action: Suspected, Hold: h.Hold, At: now, Servers: []string{ends[i].server}, Moments: 1})
	}
	return decisions
}

func has(e end, p Part) bool {
	_, ok := e.depths[p]
	return ok
}

// unexplained returns the ends of servers that had no request with a suspected part.
func (t *Table) unexplained(ends []end) []end {
	var rest []end
	for _, e := range ends {
		explained := false
		for p := range t.holds {
			explained = explained || has(e, p)
		}
		if !explained {
			rest = append(rest, e)
		}
	}
	return rest
}

// support is the evidence against one part.
type support struct {
	part    Part
	depth   int
	servers []string
	times   []boottime.Instant
	// moments counts those at which no server had a request with a suspected part; total
	// counts all.
	moments, total int
}

// suspect suspects the part that explains the most ends, unless another one explains as
// many. Of two that can't be told apart for long, the one later in the prompt is taken:
// requests share their first parts most widely.
func (t *Table) suspect(now boottime.Instant, ends []end) (Decision, bool) {
	all := t.collect(ends)
	ranked := rank(t.collect(t.unexplained(ends)), all)
	required := t.cuts.requiredMoments()
	if len(ranked) == 0 || ranked[0].moments < required {
		return Decision{}, false
	}
	best, runnerUp := ranked[0], 0
	if len(ranked) > 1 {
		runnerUp = ranked[1].moments
	}
	if runnerUp == best.moments && ranked[1].total == best.total && best.moments < maxMoments {
		return Decision{}, false
	}
	h := Hold{Part: best.part, Count: 1}
	t.setHold(h, now)
	return Decision{Action: Suspected, Hold: h, At: now, Servers: best.servers, Moments: best.moments, Required: required, RunnerUp: runnerUp}, true
}

// collect returns the evidence against the parts since each was last proven sound.
func (t *Table) collect(ends []end) map[Part]*support {
	byPart := map[Part]*support{}
	for _, e := range ends {
		for p, depth := range e.depths {
			if !e.at.After(t.provenAt(p)) {
				continue
			}
			s := byPart[p]
			if s == nil {
				s = &support{part: p}
				byPart[p] = s
			}
			s.depth = max(s.depth, depth)
			s.servers = append(s.servers, e.server)
			s.times = append(s.times, e.at)
		}
	}
	return byPart
}

// rank returns the evidence from unexplained ends, strongest first. Where it is equal, that
// from all ends decides.
func rank(unexplained, all map[Part]*support) []support {
	ranked := make([]support, 0, len(unexplained))
	for p, s := range unexplained {
		s.moments, s.total = countMoments(s.times), countMoments(all[p].times)
		ranked = append(ranked, *s)
	}
	slices.SortFunc(ranked, func(a, b support) int {
		return cmp.Or(b.moments-a.moments, b.total-a.total, len(b.servers)-len(a.servers), b.depth-a.depth, a.part.compare(b.part))
	})
	return ranked
}

// clearExplained clears suspected parts that were only in requests with another one that
// explains more ends.
func (t *Table) clearExplained(now boottime.Instant, ends []end) []Decision {
	if len(t.holds) < 2 {
		return nil
	}
	var decisions []Decision
	for p := range t.holds {
		with := endsWith(ends, p)
		for other := range t.holds {
			if other == p || len(with) == 0 || len(endsWith(with, other)) < len(with) || len(endsWith(ends, other)) == len(with) {
				continue
			}
			t.clear(p, now)
			decisions = append(decisions, Decision{Action: Explained, Hold: Hold{Part: p}, At: now})
			break
		}
	}
	return decisions
}

// endsWith returns the ends of servers that had a request with a part.
func endsWith(ends []end, p Part) []end {
	return slices.DeleteFunc(slices.Clone(ends), func(e end) bool { return !has(e, p) })
}
