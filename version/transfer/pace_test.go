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

func TestABucketYieldsItsRate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := newBucket(clock, 1<<20)
	var waited time.Duration
	const total = 8 << 20
	for sent := 0; sent < total; sent += readSize {
		delay := b.take(readSize)
		waited += delay
		clock.Advance(delay)
	}
	if want := 8 * time.Second; waited < want-200*time.Millisecond || waited > want {
		t.Errorf("%d bytes took %v, %v expected", total, waited, want)
	}
}

func TestAnIdleBucketKeepsNoMoreThanItsBurst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := newBucket(clock, 1<<20)
	clock.Advance(time.Hour)
	b.take(minBurst)
	if delay := b.take(readSize); delay == 0 {
		t.Error("an idle hour was saved up")
	}
}

func TestAPacedReaderEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b := newBucket(clockwork.NewFakeClock(), 1)
	r := &pacedReader{ctx: ctx, r: strings.NewReader(strings.Repeat("x", 2*minBurst)), buckets: []*bucket{b}}
	if _, err := io.ReadAll(r); err == nil {
		t.Error("read to the end at 1 byte a second")
	}
}

func TestTransfersYieldWhileRequestsAreLive(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.view.VMBytesPerSecond = 1000
	f.view.RegionPairBytesPerSecond = 4000
	f.view.LiveShare = 0.25
	f.order(f.publish("v1", randomContent(1, 10)))
	m := f.agents[0].Manager
	if m.up.rate != 1000 || m.down.rate != 1000 {
		t.Errorf("idle: up %v, down %v", m.up.rate, m.down.rate)
	}
	m.SetLiveRequests(3)
	if m.up.rate != 750 || m.down.rate != 750 {
		t.Errorf("live: up %v, down %v", m.up.rate, m.down.rate)
	}
	m.SetLiveRequests(0)
	if m.up.rate != 1000 {
		t.Errorf("idle again: up %v", m.up.rate)
	}
	// Two agents of the region share three quarters of the pair.
	if got := m.pair("r1").rate; got != 1500 {
		t.Errorf("pair: %v", got)
	}
}

func TestALiveShareOfAllStillLimits(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.view.VMBytesPerSecond = 1000
	f.view.RegionPairBytesPerSecond = 1000
	f.view.LiveShare = 1
	f.order(f.publish("v1", randomContent(1, 10)))
	m := f.agents[0].Manager
	m.SetLiveRequests(1)
	if up, pair := m.up.rate, m.pair("r1").rate; up <= 0 || up > 100 || pair <= 0 || pair > 100 {
		t.Errorf("up %v, pair %v of 1000", up, pair)
	}
	if l := links(&f.view, m.members(&f.view, "v1")); l.RegionPair <= 0 {
		t.Errorf("the estimate takes pairs as unlimited: %+v", l)
	}
}

func TestAnOlderViewIsIgnored(t *testing.T) {
	f := newFleet(t, 1, 1)
	m := f.agents[0].Manager
	view := func(revision, fence uint64) wire.AgentView {
		return wire.AgentView{Revision: revision, Order: &control.Order{Fence: control.Fence{Index: fence}}}
	}
	m.SetView(view(5, 7))
	m.SetView(view(4, 9))
	m.SetView(view(9, 6))
	if v, _ := m.currentView(); v.Revision != 5 || fenceOf(*v) != 7 {
		t.Errorf("view of revision %d and fence %d is in force", v.Revision, fenceOf(*v))
	}
	m.SetView(view(5, 8))
	if v, _ := m.currentView(); fenceOf(*v) != 8 {
		t.Error("a newer view was ignored")
	}
}
