package feed

import (
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

func TestVersionIsUsableForGracePeriodAfterNextOne(t *testing.T) {
	start := boottime.Instant{}.Add(1000 * time.Second)
	const grace = 8 * time.Second
	var h VersionHistory
	h.recordNewest(2)
	h.recordTime(2, start, false)
	h.recordNewest(3)
	h.recordTime(3, start.Add(3*time.Second), false)
	for version, want := range map[int]boottime.Instant{0: {}, 1: start.Add(grace), 2: start.Add(3*time.Second + grace)} {
		if until, noExpiry := h.UsableUntil(version, grace); noExpiry || until != want {
			t.Errorf("version %d is usable until %v, %v, want %v", version, until, noExpiry, want)
		}
	}
	if _, noExpiry := h.UsableUntil(3, grace); !noExpiry {
		t.Error("the newest version expires")
	}
}

func TestVersionIsUnusableWhenNewerTimeIsUnknown(t *testing.T) {
	now := boottime.Instant{}.Add(1000 * time.Second)
	var h VersionHistory
	h.recordNewest(4)
	if until, _ := h.UsableUntil(3, time.Second); !until.IsZero() {
		t.Error("older weights are usable although the grace period may have passed")
	}
	h.recordTime(4, now, false)
	if until, _ := h.UsableUntil(3, time.Second); until != now.Add(time.Second) {
		t.Error("older weights are not usable within the grace period")
	}
	if until, _ := h.UsableUntil(2, time.Second); !until.IsZero() {
		t.Error("a version before the oldest one with a known time is usable")
	}
}

func TestEarlierTimeOfPublicationHolds(t *testing.T) {
	now := boottime.Instant{}.Add(1000 * time.Second)
	var h VersionHistory
	h.recordNewest(2)
	h.recordTime(2, now, false)
	if h.recordTime(2, now.Add(time.Second), false) {
		t.Error("a later time replaced the time of publication")
	}
	if !h.recordTime(2, now.Add(-5*time.Second), false) {
		t.Error("an earlier time was not applied")
	}
	if until, _ := h.UsableUntil(1, 5*time.Second); until != now {
		t.Errorf("version 1 is usable until %v", until)
	}
	if h.recordNewest(1) || h.Newest() != 2 {
		t.Error("an older version changed the history")
	}
}

func TestVersionIsUnusableWhenTheTimeOfTheNextOneIsUnknown(t *testing.T) {
	const grace = 8 * time.Second
	now := boottime.Instant{}.Add(1000 * time.Second)
	var h VersionHistory
	h.Record(2, now)
	h.Record(4, now.Add(7*time.Second))
	for name, published := range map[string][]int{"without a list": nil, "with a list": {2, 3, 4}} {
		h.recordPublished(published)
		if until, _ := h.UsableUntil(2, grace); !until.IsZero() {
			t.Errorf("%s: version 2 is usable until %v, although version 3 was published at an unknown time", name, until)
		}
	}
	h.recordTime(3, now.Add(time.Second), false)
	if until, _ := h.UsableUntil(2, grace); until != now.Add(time.Second+grace) {
		t.Errorf("version 2 is usable until %v", until)
	}
}

func TestSkippedVersionNumberDoesNotEndTheGracePeriod(t *testing.T) {
	const grace = 8 * time.Second
	now := boottime.Instant{}.Add(1000 * time.Second)
	var h VersionHistory
	h.Record(2, now)
	h.Record(4, now.Add(7*time.Second))
	h.recordPublished([]int{2, 4})
	h.recordPublished([]int{2})
	if until, _ := h.UsableUntil(2, grace); until != now.Add(7*time.Second+grace) {
		t.Errorf("version 2 is usable until %v, although the next version is 4", until)
	}
}

func TestBoundOfALaterVersionEndsTheUseOfAnOlderOneEarly(t *testing.T) {
	const grace = 8 * time.Second
	published := boottime.Instant{}.Add(1000 * time.Second)
	var h VersionHistory
	h.recordNewest(3)
	h.recordTime(2, published, false)
	h.recordTime(3, published.Add(-5*time.Second), true)
	if until, _ := h.UsableUntil(1, grace); until != published.Add(grace) {
		t.Errorf("version 1 is usable until %v after version 2 was published", until.Sub(published))
	}
	h.recordTime(3, published.Add(-time.Second), false)
	if until, _ := h.UsableUntil(1, grace); until != published.Add(grace-time.Second) {
		t.Errorf("version 1 is usable until %v after a time of version 2 that is late", until.Sub(published))
	}
}
