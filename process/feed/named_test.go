package feed

import (
	"testing"
	"time"
)

func TestVersionsAreUsableForTheNextOnesBound(t *testing.T) {
	start := time.Unix(1000, 0)
	const bound = 8 * time.Second
	var n Named
	n.hearNewest(2)
	n.hearAge(2, start)
	n.hearNewest(3)
	n.hearAge(3, start.Add(3*time.Second))
	for version, want := range map[int]time.Time{0: {}, 1: start.Add(bound), 2: start.Add(3*time.Second + bound)} {
		if until, never := n.UsableUntil(version, bound); never || !until.Equal(want) {
			t.Errorf("version %d is usable until %v, %v, want %v", version, until, never, want)
		}
	}
	if _, never := n.UsableUntil(3, bound); !never {
		t.Error("the newest version has an end")
	}
}

func TestVersionOfUnknownAgeMayBeOld(t *testing.T) {
	now := time.Unix(1000, 0)
	var n Named
	n.hearNewest(4)
	if until, _ := n.UsableUntil(3, time.Second); !until.IsZero() {
		t.Error("older weights are used although the bound may have passed")
	}
	n.hearAge(4, now)
	if until, _ := n.UsableUntil(3, time.Second); !until.Equal(now.Add(time.Second)) {
		t.Error("older weights are not used within the bound")
	}
	if until, _ := n.UsableUntil(2, time.Second); !until.IsZero() {
		t.Error("what came before the first known version may be old as well")
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
	if !n.hearAge(2, now.Add(-5*time.Second)) {
		t.Error("the earlier time was not taken")
	}
	if until, _ := n.UsableUntil(1, 5*time.Second); !until.Equal(now) {
		t.Errorf("version 1 is usable until %v", until)
	}
	if n.hearNewest(1) || n.Newest() != 2 {
		t.Error("an older version is news")
	}
}
