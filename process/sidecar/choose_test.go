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
func namedAt(seconds ...float64) feed.Named {
	var n feed.Named
	for i, s := range seconds {
		n.Hear(i+2, start.Add(time.Duration(s*float64(time.Second))))
	}
	return n
}

func TestVersionsWorthBringing(t *testing.T) {
	all := func(int) bool { return true }
	none := func(int) bool { return false }
	for name, c := range map[string]struct {
		named feed.Named
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
		at = append(at, o.loadAt(place, count))
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
	if at := o.loadAt(19, 20); !at.Equal(start) {
		t.Errorf("it loads %v later", at.Sub(start))
	}
	late := &outlook{named: namedAt(0), held: 1, now: start.Add(testBound), bound: testBound, exit: testExit}
	if at := late.loadAt(19, 20); !at.Equal(late.now) {
		t.Errorf("past the end of its weights it loads %v later", at.Sub(late.now))
	}
}
