package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

// ApplyHold applies another entry's decision. It reports whether that changed the
// quarantine of the part.
func (t *Table) ApplyHold(h Hold, at boottime.Instant) bool {
	known := t.holds[h.Part]
	switch {
	case h.Count <= 0:
		if known == nil || !known.since.Before(at) {
			return false
		}
		t.clear(h.Part, at)
	case !at.After(t.cleared[h.Part]) || known != nil && !at.After(known.since):
		return false
	case t.hasNarrower(&h, at):
		return false
	default:
		t.setHold(h, at)
		t.decideUntil(at.Add(settleTime))
	}
	return true
}

// Ends returns the number of servers that may have ended.
func (t *Table) Ends() int { return len(t.ends) }

func (t *Table) setHold(h Hold, at boottime.Instant) {
	t.clearWider(&h, at)
	var members map[Part]bool
	if h.together() {
		members = map[Part]bool{}
		for _, p := range h.parts() {
			members[p] = true
		}
	}
	if known := t.holds[h.Part]; known != nil {
		known.Hold, known.members, known.since = h, members, at
		return
	}
	if len(t.holds) >= maxHolds {
		t.removeOldestHold()
	}
	t.holds[h.Part] = &hold{Hold: h, members: members, since: at}
}

func (t *Table) removeOldestHold() {
	var oldest *hold
	for _, h := range t.holds {
		if oldest == nil || cmp.Or(compareInstants(h.since, oldest.since), h.Part.compare(oldest.Part)) < 0 {
			oldest = h
		}
	}
	delete(t.holds, oldest.Part)
}

// heldParts returns the suspected parts in an order that all entries share.
func (t *Table) heldParts() []Part {
	return slices.SortedFunc(maps.Keys(t.holds), Part.compare)
}

func (t *Table) clear(p Part, at boottime.Instant) {
	delete(t.holds, p)
	if len(t.cleared) >= maxHolds {
		clear(t.cleared)
	}
	t.cleared[p] = at
}

// Refused returns for how long a request with a prompt must not be sent, and the part
// that is the reason. It returns false if the request may be sent.
func (t *Table) Refused(candidates []Candidate, now boottime.Instant) (time.Duration, Part, bool) {
	if len(t.holds) == 0 {
		return 0, Part{}, false
	}
	for _, c := range candidates {
		if h := t.holds[c.Part]; h != nil && !h.together() {
			if wait, refused := t.refusedFor(h, now); refused {
				return wait, c.Part, true
			}
		}
	}
	for _, h := range t.holdsOfSeveral() {
		if wait, refused := t.refusedTogether(h, candidates, now); refused {
			return wait, h.Part, true
		}
	}
	return 0, Part{}, false
}

// refusedFor returns for how long a request with all parts of a hold must not be sent.
func (t *Table) refusedFor(h *hold, now boottime.Instant) (time.Duration, bool) {
	switch {
	case now.Before(h.until(t.stagger)):
		return h.until(t.stagger).Sub(now), true
	case h.trials > 0 || !t.lastEnd(h).Before(h.until(0)):
		return trialRetryAfter, true
	default:
		return 0, false
	}
}

// Dump returns the suspected parts and the number of ends that are compared, for the
// state dump.
func (t *Table) Dump(now boottime.Instant) any {
	type suspected struct {
		Part     Part
		With     []Part
		Count    int
		HeldFor  time.Duration
		HoldLeft time.Duration
		Trials   int
	}
	dump := struct {
		Suspected []suspected
		Ends      int
		// Required and RequiredOfRequest are the numbers of moments that are required now.
		Required, RequiredOfRequest int
	}{Ends: len(t.ends), Required: t.required(Part{}, now), RequiredOfRequest: t.required(Part{Request: true}, now)}
	for _, p := range t.heldParts() {
		h := t.holds[p]
		dump.Suspected = append(dump.Suspected, suspected{
			Part: p, With: h.With, Count: h.Count, HeldFor: now.Sub(h.since), HoldLeft: max(h.until(t.stagger).Sub(now), 0), Trials: h.trials,
		})
	}
	return dump
}

// StartTrial records that a request is sent. If it has a suspected part, that is a
// trial, and the returned parts must be passed to EndTrial.
func (t *Table) StartTrial(candidates []Candidate) []Part {
	if len(t.holds) == 0 {
		return nil
	}
	var trials []Part
	for _, c := range candidates {
		if h := t.holds[c.Part]; h != nil && !h.together() {
			h.trials++
			trials = append(trials, c.Part)
		}
	}
	for _, h := range t.holdsOfSeveral() {
		if parts := h.present(candidates); len(parts) == len(h.members) || len(parts) > 0 && !t.seemsSound(h, parts) {
			h.trials++
			trials = append(trials, h.Part)
		}
	}
	return trials
}

// EndTrial records that a trial has ended.
func (t *Table) EndTrial(trials []Part) {
	for _, p := range trials {
		if h := t.holds[p]; h != nil && h.trials > 0 {
			h.trials--
		}
	}
}

// Doubtful reports whether a request that a server broke off must not be sent to
// another one: a part of its prompt may be the cause.
func (t *Table) Doubtful(candidates []Candidate) bool {
	several := t.holdsOfSeveral()
	for _, c := range candidates {
		if t.isSuspected(c.Part, several) {
			return true
		}
		ends, anyConfirmed := t.endsSinceProof(c.Part)
		if _, moments := countMoments(ends); anyConfirmed && moments >= doubtfulMoments {
			return true
		}
	}
	return false
}
