package feed

import (
	"testing"
	"time"
)

func TestFloorFollowsEachVersionsOwnBound(t *testing.T) {
	start := time.Unix(1000, 0)
	const bound = 8 * time.Second
	sec := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var n Named
	n.hearNewest(2)
	n.hearAge(2, sec(0))
	n.hearNewest(3)
	n.hearAge(3, sec(3))
	for at, want := range map[float64]int{1: 1, 7.9: 1, 8: 2, 10.9: 2, 11: 3, 100: 3} {
		if got := n.Floor(sec(at), bound); got != want {
			t.Errorf("after %v s the floor is %d, want %d", at, got, want)
		}
	}
}

func TestVersionOfUnknownAgeMayBeOld(t *testing.T) {
	now := time.Unix(1000, 0)
	var n Named
	n.hearNewest(4)
	if got := n.Floor(now, time.Second); got != 4 {
		t.Errorf("floor %d: older weights are used although the bound may have passed", got)
	}
	n.hearAge(4, now)
	if got := n.Floor(now, time.Second); got != 3 {
		t.Errorf("floor %d: what came before the first known version may be old as well", got)
	}
}

func TestEarlierTimeHolds(t *testing.T) {
	now := time.Unix(1000, 0)
	var n Named
	n.hearNewest(2)
	n.hearAge(2, now)
	if n.hearAge(2, now.Add(time.Second)) {
		t.Error("a control process that learned later made the version younger")
	}
	if !n.hearAge(2, now.Add(-5*time.Second)) || n.Floor(now, 5*time.Second) != 2 {
		t.Error("the earlier time was not taken")
	}
	if n.hearNewest(1) || n.Newest() != 2 {
		t.Error("an older version is news")
	}
}
