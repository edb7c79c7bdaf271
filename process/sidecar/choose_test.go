package sidecar

import (
	"slices"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

var start = time.Unix(1000, 0)

const (
	testBound = 8 * time.Second
	testExit  = 1700 * time.Millisecond
)

// namedAt returns a model whose versions 2, 3, ... were named at these times.
func namedAt(seconds ...float64) feed.VersionHistory {
	var n feed.VersionHistory
	for i, s := range seconds {
		n.Record(i+2, start.Add(time.Duration(s*float64(time.Second))))
	}
	return n
}

func TestVersionsWorthBringing(t *testing.T) {
	all := func(int) bool { return true }
	none := func(int) bool { return false }
	for name, c := range map[string]struct {
		named feed.VersionHistory
		held  int
		at    float64
		begun func(int) bool
		want  []int
	}{
		"nothing named":                         {held: 1, begun: none, want: nil},
		"empty engine, nothing named":           {held: 0, begun: none, want: []int{1}},
		"one version":                           {named: namedAt(0), held: 1, begun: none, want: []int{2}},
		"held already":                          {named: namedAt(0), held: 2, begun: all, want: nil},
		"the newest comes in time":              {named: namedAt(0, 2), held: 1, at: 2, begun: all, want: []int{3, 2}},
		"the newest comes too late":             {named: namedAt(0, 3), held: 1, at: 3, begun: all, want: []int{2, 3}},
		"too late, but the other has not begun": {named: namedAt(0, 3), held: 1, at: 3, begun: none, want: []int{3, 2}},
		"the other is of no use for long":       {named: namedAt(0, 3), held: 1, at: 8, begun: all, want: []int{3}},
		"empty engine ends what it began":       {named: namedAt(0, 1), held: 0, at: 1, begun: all, want: []int{2, 3}},
	} {
		now := start.Add(time.Duration(c.at * float64(time.Second)))
		o := &outlook{named: c.named, held: c.held, now: now, bound: testBound, exit: testExit, begun: c.begun}
		if got := o.wanted(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func TestStalledTransferGivesWayToAnother(t *testing.T) {
	s := stalls{}
	versions := []int{3, 2}
	var order []int
	for i := range 4 {
		k := s.choose("m", versions)
		order = append(order, k.Version)
		s.note(k, start.Add(time.Duration(i)*time.Second), versions)
	}
	if !slices.Equal(order, []int{3, 2, 3, 2}) {
		t.Errorf("tried %v", order)
	}
	s.note(pieces.Key{Model: "m", Version: 4}, start, []int{4})
	if len(s) != 1 {
		t.Errorf("stalls of versions that nobody wants are kept: %v", s)
	}
}

func TestEnginesLoadOneAfterTheOtherInTheTimeThatIsLeft(t *testing.T) {
	const count, loadTime = 20, 1500 * time.Millisecond
	o := &outlook{named: namedAt(0), held: 1, now: start.Add(3 * time.Second), bound: testBound, exit: testExit}
	var at []time.Time
	for place := range count {
		at = append(at, o.loadAt(2, place, count))
	}
	if last := at[count-1]; last.After(o.end()) {
		t.Errorf("the last engine loads at %v, its weights end at %v", last, o.end())
	}
	for now := at[0]; now.Before(at[count-1]); now = now.Add(50 * time.Millisecond) {
		loading := 0
		for _, began := range at {
			if !began.After(now) && now.Before(began.Add(loadTime)) {
				loading++
			}
		}
		if loading > count*6/10 {
			t.Fatalf("%d of %d engines load at once", loading, count)
		}
	}
}

func TestEngineWithoutWeightsLoadsAtOnce(t *testing.T) {
	o := &outlook{named: namedAt(0), held: 0, now: start, bound: testBound, exit: testExit}
	if at := o.loadAt(2, 19, 20); !at.Equal(start) {
		t.Errorf("it loads %v later", at.Sub(start))
	}
	late := &outlook{named: namedAt(0), held: 1, now: start.Add(testBound), bound: testBound, exit: testExit}
	if at := late.loadAt(2, 19, 20); !at.Equal(late.now) {
		t.Errorf("past the end of its weights it loads %v later", at.Sub(late.now))
	}
}

func TestVersionThatIsOvertakenIsLoadedAtOnce(t *testing.T) {
	o := &outlook{named: namedAt(0, 2), held: 1, now: start.Add(4 * time.Second), bound: testBound, exit: testExit}
	if at := o.loadAt(2, 19, 20); !at.Equal(o.now) {
		t.Errorf("it loads %v later", at.Sub(o.now))
	}
}

func TestTransferStallsWhenNothingComes(t *testing.T) {
	k := pieces.Key{Model: "m", Version: 2}
	var p progress
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, step := range []struct {
		ms, missing int
		want        bool
	}{
		{0, -1, false},
		{1000, -1, false},
		{1900, -1, true}, // the manifest is sought for a while
		{2000, 64, false},
		{2800, 64, false},
		{2950, 64, true},
		{3000, 63, false},
		{3800, 60, false},
		{4750, 60, true},
		{5000, 0, false},
		{9000, 0, false}, // nothing is missing: it waits to be loaded
	} {
		p.note(k, step.missing, at(step.ms))
		if got := p.stalled(at(step.ms)); got != step.want {
			t.Errorf("at %d ms with %d missing: stalled %v", step.ms, step.missing, got)
		}
	}
	p.note(pieces.Key{Model: "m", Version: 3}, -1, at(9100))
	if p.stalled(at(9200)) {
		t.Error("another version counts as stalled at once")
	}
}
