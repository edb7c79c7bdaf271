package quarantine

import (
	"fmt"
	"slices"
	"testing"
)

// longPrompt returns a prompt with as many shared parts as a header holds, and a part among them.
func longPrompt(part string, at int) []string {
	var ids []string
	for i := range 1200 {
		ids = append(ids, fmt.Sprintf("%08x", i))
	}
	return slices.Insert(ids, at, part)
}

func TestCrashingPartIsFoundAnywhereInALongPrompt(t *testing.T) {
	for _, at := range []int{0, 17, 600, 1200} {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.prove()
			for range maxMoments {
				r.table.RecordProven(Candidates("m", longPrompt("sound", at)), r.age.Now())
				r.end(longPrompt("sound", at), longPrompt("bad", at))
				r.table.Decide(r.age.Now())
			}
			if !r.refused("bad") || r.refused(longPrompt("sound", at)...) {
				t.Errorf("bad part refused: %v, sound prompt refused: %v", r.refused("bad"), r.refused(longPrompt("sound", at)...))
			}
		})
	}
}

// Parts of one request, never seen before, filled the report before the next request was recorded.
func TestLongPromptsThatComeOnceDoNotDisplaceACrashingPart(t *testing.T) {
	r := newRig(t)
	r.suspect("known")
	for i := range 6 * maxMoments {
		var once []string
		for j := range 1200 {
			once = append(once, fmt.Sprintf("%d-%08x", i, j))
		}
		r.end(once, []string{"first", "bad"})
		r.table.RecordProven(Candidates("m", []string{"first"}), r.age.Now())
		r.table.Decide(r.age.Now())
	}
	if !r.refused("first", "bad") {
		t.Errorf("after %d ends: %+v", r.ended, r.table.Dump(r.age.Now()))
	}
}
