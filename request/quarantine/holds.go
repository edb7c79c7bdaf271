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
	default:
		t.setHold(h, at)
	}
	return true
}

// Ends returns the number of servers that may have ended.
func (t *Table) Ends() int { return len(t.ends) }

func (t *Table) setHold(h Hold, at boottime.Instant) {
	if known := t.holds[h.Part]; known != nil {
		known.Hold, known.since = h, at
		return
	}
	if len(t.holds) >= maxHolds {
		t.removeOldestHold()
	}
	t.holds[h.Part] = &hold{Hold: h, since: at}
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
		h := t.holds[c.Part]
		switch {
		case h == nil:
		case now.Before(h.until(t.stagger)):
			return h.until(t.stagger).Sub(now), c.Part, true
		case h.trials > 0 || !t.lastEnd(c.Part).Before(h.until(0)):
			return trialRetryAfter, c.Part, true
		}
	}
	return 0, Part{}, false
}

// Dump returns the suspected parts and the number of ends that are compared, for the
// state dump.
func (t *Table) Dump(now boottime.Instant) any {
	type suspected struct {
		Part     Part
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
			Part: p, Count: h.Count, HeldFor: now.Sub(h.since), HoldLeft: max(h.until(t.stagger).Sub(now), 0), Trials: h.trials,
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
		if h := t.holds[c.Part]; h != nil {
			h.trials++
			trials = append(trials, c.Part)
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
	for _, c := range candidates {
		if t.holds[c.Part] != nil {
			return true
		}
		ends, anyConfirmed := t.endsSinceProof(c.Part)
		if _, moments := countMoments(ends); anyConfirmed && moments >= doubtfulMoments {
			return true
		}
	}
	return false
}
