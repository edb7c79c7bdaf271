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
	// bit identifies the end among those that are compared, and shared has the bits of those
	// that had a request in common with it.
	bit, shared uint64
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
	sortEnds(ends)
	t.markShared(ends)
	return ends
}

// markShared finds the ends that had a request in common which was not proven sound since.
func (t *Table) markShared(ends []end) {
	byRequest := map[Part]uint64{}
	for i := range ends {
		ends[i].bit = 1 << i
		for p := range ends[i].depths {
			if p.Request && ends[i].at.After(t.provenAt(p)) {
				byRequest[p] |= ends[i].bit
			}
		}
	}
	for i := range ends {
		for p := range ends[i].depths {
			if bits := byRequest[p]; bits&ends[i].bit != 0 {
				ends[i].shared |= bits
			}
		}
	}
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

// sortEnds sorts ends by time, earliest first, and those of one time by server: entries that
// know the same decide alike.
func sortEnds(ends []end) {
	slices.SortFunc(ends, func(a, b end) int {
		return cmp.Or(compareInstants(a.at, b.at), cmp.Compare(a.server, b.server))
	})
}

// endsSinceProof returns the possible ends of servers that had a request with a part, since
// one has last proven it sound, earliest first, and whether an end is confirmed. Only their
// times are set.
func (t *Table) endsSinceProof(p Part) (ends []end, anyConfirmed bool) {
	proven := t.provenAt(p)
	for _, e := range t.ends {
		reports, at := e.valid()
		if !at.IsZero() && at.After(proven) && contains(reports, p) {
			ends = append(ends, end{at: at})
			anyConfirmed = anyConfirmed || confirmed(reports)
		}
	}
	sortEnds(ends)
	return ends, anyConfirmed
}

// countMoments counts the moments at which servers ended, earliest first: ends close to each
// other count once. Moments of a part are independent if no request is in two of them: one
// that comes again always has the same parts.
func countMoments(ends []end) (independent, moments int) {
	var counted uint64
	var last boottime.Instant
	for i := range ends {
		e := &ends[i]
		if moments > 0 && e.at.Sub(last) < sameMoment {
			continue
		}
		moments++
		last = e.at
		if e.shared&counted == 0 {
			independent++
			counted |= e.bit
		}
	}
	return independent, moments
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
	decisions = append(decisions, t.narrowTied(now, ends)...)
	for len(ends) >= minMoments && len(t.holds) < maxHolds {
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
	for _, p := range t.heldParts() {
		h := t.holds[p]
		if h == nil {
			continue // cleared with a narrower one
		}
		left := slices.DeleteFunc(h.parts(), func(p Part) bool { return t.provenSince(h, p) })
		decisions = append(decisions, t.narrow(h, left, now)...)
	}
	return decisions
}

// provenSince reports whether a part of a hold was proven sound since the last end that it is
// suspected for.
func (t *Table) provenSince(h *hold, p Part) bool {
	suspectedFor := h.since
	if last := t.watched[p].lastEnd; !last.IsZero() && last.Before(h.since) {
		suspectedFor = last
	}
	return t.provenAt(p).After(suspectedFor)
}

// repeatHolds suspects parts again that were being tried when another server ended.
func (t *Table) repeatHolds(now boottime.Instant, ends []end) []Decision {
	var decisions []Decision
	for _, p := range t.heldParts() {
		h := t.holds[p]
		i := slices.IndexFunc(ends, func(e end) bool { return !e.at.Before(h.until(0)) && h.in(e) })
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

// unexplained returns the ends of servers that had no suspected request and none with a
// suspected part.
func (t *Table) unexplained(ends []end) []end {
	var rest []end
	for _, e := range ends {
		explained := false
		for _, h := range t.holds {
			explained = explained || h.in(e)
		}
		if !explained {
			rest = append(rest, e)
		}
	}
	return rest
}

// support is the evidence against one part.
type support struct {
	part Part
	// proven is set if a server has proven the part sound before.
	proven  bool
	depth   int
	servers []string
	ends    []end
	// moments counts those at which no server had a suspected request or part; total counts
	// all. independent counts moments without those whose server had a request that is in an
	// earlier one.
	independent, moments, total int
}

// suspect suspects the part that explains the most ends, unless another one explains as
// many. Of a request and a part of its prompt the request is taken. Parts that can't be told
// apart for long are suspected together; of two requests the first is taken.
func (t *Table) suspect(now boottime.Instant, ends []end) (Decision, bool) {
	ranked := t.rank(ends)
	if len(ranked) == 0 {
		return Decision{}, false
	}
	best, runnerUp := ranked[0], 0
	required := t.required(best.part, now)
	if best.moments < required || best.independent < minMoments {
		return Decision{}, false
	}
	if len(ranked) > 1 {
		runnerUp = ranked[1].moments
	}
	rivals := tied(ranked)
	if len(rivals) > 1 && best.moments < maxMoments {
		return Decision{}, false
	}
	if best.part.Request {
		rivals = ranked[:1]
	}
	h, found := t.newHold(inSameEnds(rivals))
	if !found {
		return Decision{}, false
	}
	t.setHold(h, now)
	return Decision{Action: Suspected, Hold: h, At: now, Servers: best.servers, Moments: best.moments, Required: required, RunnerUp: runnerUp}, true
}

// collect returns the evidence against the parts since each was last proven sound. It leaves
// out those in fewer ends than are required at least.
func (t *Table) collect(ends []end) map[Part]*support {
	counts := map[Part]int{}
	for _, e := range ends {
		for p := range e.depths {
			counts[p]++
		}
	}
	byPart := map[Part]*support{}
	for _, e := range ends {
		for p, depth := range e.depths {
			if counts[p] < minMoments || !e.at.After(t.provenAt(p)) {
				continue
			}
			s := byPart[p]
			if s == nil {
				s = &support{part: p, proven: !t.provenAt(p).IsZero()}
				byPart[p] = s
			}
			s.depth = max(s.depth, depth)
			s.servers = append(s.servers, e.server)
			s.ends = append(s.ends, e)
		}
	}
	return byPart
}

// required returns the number of moments from which a part is suspected.
func (t *Table) required(p Part, now boottime.Instant) int {
	if p.Request {
		return t.cuts.requiredMoments(maxRequestChance, now)
	}
	return t.cuts.requiredMoments(maxChance, now)
}

// rank returns the evidence from unexplained ends, strongest first. Where it is equal, that
// from all ends decides.
func (t *Table) rank(ends []end) []support {
	all := t.collect(ends)
	unexplained := all
	if len(t.holds) > 0 {
		unexplained = t.collect(t.unexplained(ends))
	}
	ranked := make([]support, 0, len(unexplained))
	for p, s := range unexplained {
		s.independent, s.moments = countMoments(s.ends)
		if p.Request {
			s.independent = s.moments
		}
		_, s.total = countMoments(all[p].ends)
		ranked = append(ranked, *s)
	}
	slices.SortFunc(ranked, func(a, b support) int {
		return cmp.Or(b.independent-a.independent, b.moments-a.moments, b.total-a.total, a.part.width()-b.part.width(),
			len(b.servers)-len(a.servers), b.depth-a.depth, a.part.compare(b.part))
	})
	return ranked
}

// clearExplained clears suspected parts that were only in requests with another one that
// explains more ends.
func (t *Table) clearExplained(now boottime.Instant, ends []end) []Decision {
	if len(t.holds) < 2 {
		return nil
	}
	endsOf := make(map[Part]uint64, len(t.holds))
	for p, h := range t.holds {
		endsOf[p] = endsWith(ends, h)
	}
	var decisions []Decision
	for _, p := range t.heldParts() {
		with := endsOf[p]
		for other := range t.holds {
			if with == 0 || with&endsOf[other] != with || with == endsOf[other] {
				continue
			}
			t.clear(p, now)
			decisions = append(decisions, Decision{Action: Explained, Hold: Hold{Part: p}, At: now})
			break
		}
	}
	return decisions
}

// endsWith returns the bits of the ends of servers that had requests with the parts of a hold.
func endsWith(ends []end, h *hold) (bits uint64) {
	for i := range ends {
		if h.in(ends[i]) {
			bits |= ends[i].bit
		}
	}
	return bits
}
