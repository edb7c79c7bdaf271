package transfer

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control"
)

func TestBucketLimitsRate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := newBucket(clock, 1<<20)
	var waited time.Duration
	const total = 8 << 20
	for sent := 0; sent < total; sent += maxPacedRead {
		delay := b.reserve(maxPacedRead)
		waited += delay
		clock.Advance(delay)
	}
	if want := 8 * time.Second; waited < want-200*time.Millisecond || waited > want {
		t.Errorf("%d bytes took %v, want %v", total, waited, want)
	}
}

func TestIdleBucketIsCappedAtBurst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := newBucket(clock, 1<<20)
	clock.Advance(time.Hour)
	b.reserve(minBurst)
	if delay := b.reserve(maxPacedRead); delay == 0 {
		t.Error("the bucket kept tokens beyond its burst")
	}
}

func TestPacedReaderStopsWhenContextIsCanceled(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b := newBucket(clockwork.NewFakeClock(), 1)
	r := &pacedReader{ctx: ctx, r: strings.NewReader(strings.Repeat("x", 2*minBurst)), buckets: []*bucket{b}}
	if _, err := io.ReadAll(r); err == nil {
		t.Error("the read succeeded although the context was canceled")
	}
}

func TestTransfersYieldWhileRequestsAreLive(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.view.VMBytesPerSecond = 1000
	f.view.RegionPairBytesPerSecond = 4000
	f.view.LiveShare = 0.25
	f.setOrder(f.publish("v1", randomContent(1, 10)))
	m := f.agents[0].Manager
	if m.uploadBucket.rate != 1000 || m.downloadBucket.rate != 1000 {
		t.Errorf("idle: up %v, down %v", m.uploadBucket.rate, m.downloadBucket.rate)
	}
	m.SetLiveRequests(3)
	if m.uploadBucket.rate != 750 || m.downloadBucket.rate != 750 {
		t.Errorf("live: up %v, down %v", m.uploadBucket.rate, m.downloadBucket.rate)
	}
	m.SetLiveRequests(0)
	if m.uploadBucket.rate != 1000 {
		t.Errorf("idle again: up %v", m.uploadBucket.rate)
	}
	// Two agents of the region share three quarters of the rate of the pair.
	if pairRate := m.pairBucket("r1").rate; pairRate != 1500 {
		t.Errorf("pair: %v", pairRate)
	}
}

func TestFullLiveShareKeepsTransfersLimited(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.view.VMBytesPerSecond = 1000
	f.view.RegionPairBytesPerSecond = 1000
	f.view.LiveShare = 1
	f.setOrder(f.publish("v1", randomContent(1, 10)))
	m := f.agents[0].Manager
	m.SetLiveRequests(1)
	if up, pair := m.uploadBucket.rate, m.pairBucket("r1").rate; up <= 0 || up > 100 || pair <= 0 || pair > 100 {
		t.Errorf("up %v, pair %v of 1000", up, pair)
	}
	if l := memberLinks(&f.view, m.members(&f.view, "v1")); l.RegionPair <= 0 {
		t.Errorf("the region pair counts as unlimited: %+v", l)
	}
}

func TestOlderViewIsIgnored(t *testing.T) {
	f := newFleet(t, 1, 1)
	m := f.agents[0].Manager
	view := func(revision, fence uint64) wire.AgentView {
		return wire.AgentView{Revision: revision, Order: &control.Order{Fence: control.Fence{Index: fence}}}
	}
	m.SetView(view(5, 7))
	m.SetView(view(4, 9))
	m.SetView(view(9, 6))
	if v, _ := m.currentView(); v.Revision != 5 || fenceIndex(*v) != 7 {
		t.Errorf("current view has revision %d and fence %d", v.Revision, fenceIndex(*v))
	}
	m.SetView(view(5, 8))
	if v, _ := m.currentView(); fenceIndex(*v) != 8 {
		t.Error("a newer view was ignored")
	}
}
