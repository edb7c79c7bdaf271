package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// traceOf plays a seed and returns what happened.
func traceOf(t *testing.T, seed uint64) []string {
	var trace []string
	s := newSim(t, seed)
	s.trace = func(format string, args ...any) { trace = append(trace, fmt.Sprintf(format, args...)) }
	s.play()
	return trace
}

// Ends at one time were compared, and evicted, in the order of a map: no failure could be repeated.
func TestSeedIsPlayedTheSameAgain(t *testing.T) {
	for _, seed := range []uint64{28, 31} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			first, again := traceOf(t, seed), traceOf(t, seed)
			for i := range min(len(first), len(again)) {
				if first[i] != again[i] {
					t.Fatalf("line %d of %d: first %s, again %s", i, len(first), first[i], again[i])
				}
			}
			if len(first) != len(again) {
				t.Fatalf("%d lines at first, then %d", len(first), len(again))
			}
		})
	}
}

// Holds were evicted and cleared in the order of a map.
func TestEntriesThatKnowTheSameDecideAlike(t *testing.T) {
	play := func() (held []Part, decisions []string) {
		r := newRig(t)
		var candidates []Candidate
		for i := range maxHolds + 3 {
			part := Part{Model: "m", ID: fmt.Sprint("part", i)}
			candidates = append(candidates, Candidate{Part: part})
			r.table.ApplyHold(Hold{Part: part, Count: 1}, r.age.Now())
		}
		held = r.table.heldParts()
		r.clock.Advance(time.Second)
		r.table.RecordProven(candidates, r.age.Now())
		for _, d := range r.table.Decide(r.age.Now()) {
			decisions = append(decisions, fmt.Sprint(d.Action, d.Hold))
		}
		return held, decisions
	}
	held, decisions := play()
	heldAgain, decisionsAgain := play()
	if len(decisions) != maxHolds || !slices.Equal(held, heldAgain) || !slices.Equal(decisions, decisionsAgain) {
		t.Errorf("held %v, decided %v; again held %v, decided %v", held, decisions, heldAgain, decisionsAgain)
	}
}
