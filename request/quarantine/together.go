package quarantine

import (
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

// leadOver returns by how many moments s must explain more ends than o to be the cause. A part
// that was proven sound before needs more of them against one that never was.
func (s *support) leadOver(o *support) int {
	if s.proven && !o.proven {
		return 1 + provenLead
	}
	return 1
}

// mayAccompany reports whether o may be the cause of the ends that s explains at least as well.
func (s *support) mayAccompany(o *support) bool {
	lead := s.leadOver(o)
	return s.part.Request == o.part.Request && s.independent-o.independent < lead && s.moments-o.moments < lead && s.total-o.total < lead
}

// tied returns the evidence against the parts that may be the cause of the ends in place of the
// strongest, which is the first of both lists.
func tied(ranked []support) []support {
	var rivals []support
	for i := range ranked {
		if i == 0 || ranked[0].mayAccompany(&ranked[i]) {
			rivals = append(rivals, ranked[i])
		}
	}
	return rivals
}

// inSameEnds returns those of tied parts that were in the same ends as the first, but for so many
// that the first does not lead by enough. Parts that were never proven sound come first.
func inSameEnds(rivals []support) []support {
	best := rivals[0]
	together, common := rivals[:1:1], best.ends
	for _, o := range rivals[1:] {
		shared := slices.DeleteFunc(slices.Clone(common), func(e end) bool { return !has(e, o.part) })
		if _, moments := countMoments(shared); best.moments-moments < best.leadOver(&o) {
			together, common = append(together, o), shared
		}
	}
	slices.SortStableFunc(together, func(a, b support) int { return rankOf(a.proven) - rankOf(b.proven) })
	return together
}

func rankOf(proven bool) int {
	if proven {
		return 1
	}
	return 0
}

// newHold returns the hold of parts that are suspected together, as many as one message has room
// for. It returns false if each of them is suspected already.
func (t *Table) newHold(together []support) (Hold, bool) {
	candidates := make([]Candidate, len(together))
	for i := range together {
		candidates[i].Part = together[i].part
	}
	h, found := Hold{Count: 1}, false
	for _, c := range withinReport(candidates) {
		if !found && t.holds[c.Part] == nil {
			h.Part, found = c.Part, true
		} else {
			h.With = append(h.With, c.Part)
		}
	}
	return h, found
}

// in reports whether a server had all parts of the hold when it ended.
func (h *hold) in(e end) bool {
	return !slices.ContainsFunc(h.parts(), func(p Part) bool { return !has(e, p) })
}

// together reports whether several parts are suspected.
func (h *Hold) together() bool { return len(h.With) > 0 }

// isNarrower reports whether h has some of the parts of another hold and no others.
func (h *Hold) isNarrower(o *Hold) bool {
	parts := o.parts()
	return len(h.With) < len(o.With) && !slices.ContainsFunc(h.parts(), func(p Part) bool { return !slices.Contains(parts, p) })
}

// present returns the parts of a prompt that are among those that are suspected together.
func (h *hold) present(candidates []Candidate) []Part {
	var present []Part
	for _, c := range candidates {
		if h.members[c.Part] {
			present = append(present, c.Part)
		}
	}
	return present
}

// holdsOfSeveral returns the holds of parts that are suspected together, in an order that all
// entries share.
func (t *Table) holdsOfSeveral() []*hold {
	var holds []*hold
	for _, h := range t.holds {
		if h.together() {
			holds = append(holds, h)
		}
	}
	slices.SortFunc(holds, func(a, b *hold) int { return a.Part.compare(b.Part) })
	return holds
}

// isSuspected reports whether a part is suspected, alone or with others.
func (t *Table) isSuspected(p Part, several []*hold) bool {
	return t.holds[p] != nil || slices.ContainsFunc(several, func(h *hold) bool { return h.members[p] })
}

// seemsSound reports whether parts that are suspected together with others were proven sound
// before, and no server has ended with them since.
func (t *Table) seemsSound(h *hold, parts []Part) bool {
	return !slices.ContainsFunc(parts, func(p Part) bool {
		return t.provenAt(p).IsZero() || t.watched[p].lastEnd.After(h.since)
	})
}

// mayTell reports whether a request with some parts of a hold may be sent, which tells these from
// the others. Unless they seem sound, one is sent at a time, and none while the end of a server
// is not judged.
func (t *Table) mayTell(h *hold, parts []Part, now boottime.Instant) bool {
	if t.seemsSound(h, parts) {
		return true
	}
	return h.trials == 0 && !slices.ContainsFunc(parts, func(p Part) bool {
		last := t.watched[p].lastEnd
		return last.After(h.since) && now.Sub(last) < trialRetryAfter
	})
}

// refusedTogether returns for how long a request with all parts of a hold, or with some of them,
// must not be sent.
func (t *Table) refusedTogether(h *hold, candidates []Candidate, now boottime.Instant) (time.Duration, bool) {
	parts := h.present(candidates)
	switch {
	case len(parts) == 0:
		return 0, false
	case len(parts) == len(h.members):
		return t.refusedFor(h, now)
	case !t.mayTell(h, parts, now):
		return trialRetryAfter, true
	default:
		return 0, false
	}
}

// narrow reduces a hold to the parts that are left.
func (t *Table) narrow(h *hold, left []Part, now boottime.Instant) []Decision {
	switch len(left) {
	case len(h.With) + 1:
		return nil
	case 0:
		t.clear(h.Part, now)
		return []Decision{{Action: Cleared, Hold: Hold{Part: h.Part}, At: now}}
	default:
		next := Hold{Part: left[0], Count: h.Count, With: left[1:]}
		t.setHold(next, now)
		return []Decision{{Action: Narrowed, Hold: next, At: now}}
	}
}

// clearWider clears the holds of more parts than those of a hold: it concerns all their requests.
func (t *Table) clearWider(h *Hold, at boottime.Instant) {
	for _, wider := range t.holdsOfSeveral() {
		if h.isNarrower(&wider.Hold) {
			t.clear(wider.Part, at)
		}
	}
}

// hasNarrower reports whether a hold of some of the parts is in force. A decision to hold more of
// them was made without its evidence.
func (t *Table) hasNarrower(h *Hold, at boottime.Instant) bool {
	for _, known := range t.holds {
		if known.isNarrower(h) && at.Before(known.until(0)) {
			return true
		}
	}
	return false
}

// narrowTied drops the parts that explain fewer ends than another one that they were suspected with.
func (t *Table) narrowTied(now boottime.Instant, ends []end) []Decision {
	several := t.holdsOfSeveral()
	if len(several) == 0 {
		return nil
	}
	var decisions []Decision
	evidence := t.collect(ends)
	for _, h := range several {
		if t.holds[h.Part] != h {
			continue // cleared with a narrower one
		}
		lead := tiedLead
		if h.partialMoments(ends) >= tiedLead {
			lead = 1
		}
		decisions = append(decisions, t.narrow(h, strongest(h.parts(), evidence, lead), now)...)
	}
	return decisions
}

// partialMoments counts the moments since the hold began at which servers ended that had some of
// its parts.
func (h *hold) partialMoments(ends []end) int {
	partial := slices.DeleteFunc(slices.Clone(ends), func(e end) bool {
		return !e.at.After(h.since) || h.in(e) || !slices.ContainsFunc(h.parts(), func(p Part) bool { return has(e, p) })
	})
	_, moments := countMoments(partial)
	return moments
}

// strongest returns the parts that no other one leads by enough moments. All are left if there is
// no evidence any more.
func strongest(parts []Part, evidence map[Part]*support, lead int) []Part {
	var best support
	moments := map[Part]int{}
	for _, p := range parts {
		s := evidence[p]
		if s == nil {
			continue
		}
		if _, moments[p] = countMoments(s.ends); moments[p] > best.moments {
			best = *s
			best.moments = moments[p]
		}
	}
	return slices.DeleteFunc(slices.Clone(parts), func(p Part) bool {
		if best.moments == 0 || p == best.part {
			return false
		}
		proven := evidence[p] == nil || evidence[p].proven
		return best.moments-moments[p] >= max(lead+rankOf(best.proven)-rankOf(proven), 1)
	})
}
