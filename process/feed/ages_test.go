package feed

import (
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/control/desired"
)

type noPeers struct{}

func (noPeers) Conns() []*link.Conn { return nil }

func newTestHub(clock clockwork.Clock, ageClock boottime.Clock) *Hub {
	return NewHub(clock, ageClock, 8*time.Second, slog.New(slog.DiscardHandler), noPeers{}, func() []string { return nil })
}

func TestVersionExpiresWhileTheVMOfAnEntryIsSuspended(t *testing.T) {
	clock := clockwork.NewFakeClock()
	boot := boottime.NewFake(clock)
	f := NewFollower(FollowerConfig{}, &link.Dialer{}, clock, boot, slog.New(slog.DiscardHandler))
	f.apply(wire.Update{Weights: map[string]int{"m": 2}, Ages: map[string][]wire.VersionAge{"m": {{Version: 2, Age: 1000}}}})
	boot.Suspend(7 * time.Second)
	until, noExpiry := f.View().Weights["m"].UsableUntil(1, 8*time.Second)
	if left := until.Sub(boot.Now()); noExpiry || left > 0 {
		t.Errorf("version 1 is usable for another %v, 8s after version 2 was published", left)
	}
}

func TestAgesIncludeTheTimeForWhichAControlProcessIsSuspended(t *testing.T) {
	clock := clockwork.NewFakeClock()
	boot := boottime.NewFake(clock)
	h := newTestHub(clock, boot)
	h.CatchUp(desired.State{})
	h.SetDesired(desired.State{Revision: 1, Weights: map[string]int{"m": 2}})
	clock.Advance(time.Second)
	boot.Suspend(7 * time.Second)
	if ages := h.FullState().Ages["m"]; len(ages) != 1 || ages[0].Age != 8000 {
		t.Errorf("the age of a version published 8s ago is sent as %v", ages)
	}
}

func TestFollowerThatHeardOfAVersionLateLearnsItsAgeFromTheNextTick(t *testing.T) {
	for name, relayed := range map[string]bool{"entry": false, "agent": true} {
		t.Run(name, func(t *testing.T) { testAgeFromNextTick(t, relayed) })
	}
}

func testAgeFromNextTick(t *testing.T, relayed bool) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	boot := boottime.NewFake(clock)
	h := newTestHub(clock, boot)
	f := newTestFollower(clock)
	h.CatchUp(desired.State{})
	h.SetDesired(desired.State{Revision: 1, Weights: map[string]int{"m": 2}})
	published := f.ageClock.Now()
	delayed := h.FullState()
	clock.Advance(6 * time.Second)
	f.apply(delayed)
	_, entry, relay := h.tickUpdates()
	if relayed {
		entry = relay
	}
	f.apply(entry)
	if until, _ := f.View().Weights["m"].UsableUntil(1, 8*time.Second); until != published.Add(8*time.Second) {
		t.Errorf("version 1 is usable until %v after version 2 was published", until.Sub(published))
	}
	clock.Advance(11 * time.Second)
	if peer, entry, relay := h.tickUpdates(); len(peer.Ages)+len(entry.Ages)+len(entry.Weights)+len(relay.Ages)+len(relay.Weights) > 0 {
		t.Error("ages are repeated although no older version is usable")
	}
}

func TestControlProcessThatCatchesUpTakesTheAgeFromTheOthers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	boot := boottime.NewFake(clock)
	state := desired.State{Revision: 1, Weights: map[string]int{"m": 2}}
	leader, behind := newTestHub(clock, boot), newTestHub(clock, boot)
	leader.CatchUp(desired.State{})
	leader.SetDesired(state)
	clock.Advance(6 * time.Second)
	peer, _, _ := leader.tickUpdates()
	behind.ApplyPeerUpdate(peer)
	if ages := behind.FullState().Ages["m"]; len(ages) != 0 {
		t.Errorf("ages of a version that is not applied here are sent: %v", ages)
	}
	behind.SetDesired(state)
	if ages := behind.FullState().Ages["m"]; len(ages) != 1 || ages[0].Age != 6000 {
		t.Errorf("the age of a version published 6s ago is sent as %v", ages)
	}
	restarted := newTestHub(clock, boot)
	restarted.SetDesired(state)
	restarted.ApplyPeerUpdate(leader.FullState())
	if ages := restarted.FullState().Ages["m"]; len(ages) != 1 || ages[0].Age != 6000 {
		t.Errorf("after a restart, the age of a version published 6s ago is sent as %v", ages)
	}
}

func TestVersionsThatAreAppliedTogetherAllGetAnAge(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := newTestHub(clock, boottime.NewFake(clock))
	f := newTestFollower(clock)
	h.CatchUp(desired.State{})
	h.SetDesired(desired.State{Revision: 1, Weights: map[string]int{"m": 2}, Published: map[string][]int{"m": {2}}})
	clock.Advance(time.Second)
	h.SetDesired(desired.State{Revision: 3, Weights: map[string]int{"m": 4}, Published: map[string][]int{"m": {2, 3, 4}}})
	f.apply(h.FullState())
	history := f.View().Weights["m"]
	for _, version := range []int{2, 3} {
		if until, _ := history.UsableUntil(version, 8*time.Second); until != f.ageClock.Now().Add(8*time.Second) {
			t.Errorf("version %d is usable for %v", version, until.Sub(f.ageClock.Now()))
		}
	}
}

func TestControlProcessThatWasBehindTakesAnOldVersionForANewOne(t *testing.T) {
	state := func(version int) desired.State {
		return desired.State{Revision: uint64(version), Weights: map[string]int{"m": version}}
	}
	for name, c := range map[string]struct {
		// minAge is the time since the replica was current, zero if it never was.
		minAge time.Duration
		behind func(h *Hub, clock *clockwork.FakeClock, boot *boottime.Fake)
	}{
		"slow start": {0, func(_ *Hub, clock *clockwork.FakeClock, _ *boottime.Fake) { clock.Advance(time.Minute) }},
		"cut off": {currentTTL + time.Second, func(h *Hub, clock *clockwork.FakeClock, _ *boottime.Fake) {
			h.CatchUp(desired.State{})
			clock.Advance(currentTTL + time.Second)
		}},
		"suspended": {4 * time.Second, func(h *Hub, _ *clockwork.FakeClock, boot *boottime.Fake) {
			h.CatchUp(desired.State{})
			boot.Suspend(4 * time.Second)
		}},
		"confirmed too late": {4 * time.Second, func(h *Hub, _ *clockwork.FakeClock, boot *boottime.Fake) {
			h.CatchUp(desired.State{})
			boot.Suspend(4 * time.Second)
			if h.ConfirmCurrent() {
				t.Error("a replica that was suspended is current")
			}
		}},
		"catching up": {0, func(h *Hub, _ *clockwork.FakeClock, _ *boottime.Fake) { h.CatchUp(state(2)) }},
	} {
		clock := clockwork.NewFakeClock()
		boot := boottime.NewFake(clock)
		h := newTestHub(clock, boot)
		c.behind(h, clock, boot)
		h.SetDesired(state(2))
		ages := h.FullState().Ages["m"]
		if c.minAge == 0 && len(ages) > 0 || len(ages) > 0 && time.Duration(ages[0].Age)*time.Millisecond < c.minAge {
			t.Errorf("%s: ages %v of a version that may have been published %v ago", name, ages, c.minAge)
		}
		if c.minAge > 0 && len(ages) == 0 {
			t.Errorf("%s: no age of a version that was published at most %v ago", name, c.minAge)
		}
		h.CatchUp(state(2))
		for range 5 {
			clock.Advance(currentTTL)
			if !h.ConfirmCurrent() {
				t.Errorf("%s: the replica is not current", name)
			}
		}
		h.SetDesired(state(3))
		ages = h.FullState().Ages["m"]
		if len(ages) == 0 || ages[len(ages)-1] != (wire.VersionAge{Version: 3}) {
			t.Errorf("%s: ages %v of a version that was published just now", name, ages)
		}
	}
}

func TestAgesThatControlProcessesExchangeGrowByTheirRounding(t *testing.T) {
	clock := clockwork.NewFakeClock()
	boot := boottime.NewFake(clock)
	hubs := []*Hub{newTestHub(clock, boot), newTestHub(clock, boot)}
	for _, h := range hubs {
		h.CatchUp(desired.State{})
		h.SetDesired(desired.State{Revision: 1, Weights: map[string]int{"m": 2}})
	}
	published := boot.Now()
	for i := range 100 {
		clock.Advance(100*time.Millisecond + time.Microsecond)
		peer, _, _ := hubs[i%2].tickUpdates()
		hubs[1-i%2].ApplyPeerUpdate(peer)
	}
	if known, _ := hubs[0].histories["m"].timeOf(2); known.Since != published {
		t.Errorf("the version seems to be published %v early", published.Sub(known.Since))
	}
}

func TestAcknowledgedVersionHasAnAgeAlthoughTheReplicaIsNotCurrent(t *testing.T) {
	clock := clockwork.NewFakeClock()
	boot := boottime.NewFake(clock)
	h := newTestHub(clock, boot)
	received := boot.Now()
	clock.Advance(300 * time.Millisecond)
	h.SetDesired(desired.State{Revision: 1, Weights: map[string]int{"m": 2}})
	h.RecordPublished("m", 2, received)
	if ages := h.FullState().Ages["m"]; len(ages) != 1 || ages[0].Age != 300 {
		t.Errorf("ages %v, want 300 ms", ages)
	}
}

func TestAgentsAreToldAnAgeThatTheirControlProcessLearnsLate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := newTestHub(clock, boottime.NewFake(clock))
	h.SetDesired(desired.State{Revision: 1, Weights: map[string]int{"m": 2}})
	ages := map[string][]wire.VersionAge{"m": {{Version: 2, Age: 500}, {Version: 3, Age: 0}}}
	if !h.recordAges(ages) {
		t.Error("followers know version 2 without its age, and are not told")
	}
	if h.recordAges(ages) {
		t.Error("followers are told a known age again")
	}
}

func TestControlProcessThatWasBehindMakesAVersionOlderThanTheOthersKnowItToBe(t *testing.T) {
	clock := clockwork.NewFakeClock()
	boot := boottime.NewFake(clock)
	state := desired.State{Revision: 1, Weights: map[string]int{"m": 2}}
	leader, behind := newTestHub(clock, boot), newTestHub(clock, boot)
	leader.CatchUp(desired.State{})
	behind.CatchUp(desired.State{})
	for range 5 {
		clock.Advance(currentTTL)
		leader.ConfirmCurrent()
	}
	leader.SetDesired(state)
	behind.SetDesired(state)
	bound, known := behind.FullState(), leader.FullState()
	published := boot.Now()
	for name, updates := range map[string][]wire.Update{"bound first": {bound, known}, "bound last": {known, bound}} {
		f := newTestFollower(clock)
		for _, update := range updates {
			f.apply(update)
		}
		until, _ := f.View().Weights["m"].UsableUntil(1, 8*time.Second)
		if left := until.Sub(f.ageClock.Now()); left != 8*time.Second {
			t.Errorf("%s: version 1 is usable for %v after version 2 was published", name, left)
		}
	}
	behind.ApplyPeerUpdate(known)
	leader.ApplyPeerUpdate(bound)
	for _, h := range []*Hub{leader, behind} {
		if known, _ := h.histories["m"].timeOf(2); known.Since != published {
			t.Errorf("a control process takes version 2 for %v older than it is", published.Sub(known.Since))
		}
	}
}
