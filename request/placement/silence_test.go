package placement

import (
	"math"
	"testing"
	"time"
)

func TestRequestThatExcludesTheFreeServerHoldsUpTheQueue(t *testing.T) {
	p := newPool(engines, makeServers(2, 1), 1)
	leases := takeAllSlots(p, at(0), Request{})
	if len(leases) != 2 {
		t.Fatalf("got %d leases, want 2", len(leases))
	}
	var granted []string
	wait := func(name string, req Request) {
		req.WaitUntil = at(5000)
		if !p.Enqueue(at(0), &Waiter{Request: req, Grant: func(*Lease) { granted = append(granted, name) }}) {
			t.Fatalf("%s was not queued", name)
		}
	}
	wait("resumed", Request{Started: true, Exclude: []string{leases[0].Server.ID}})
	wait("new", Request{})
	p.Release(at(10), leases[0], Served)
	if len(granted) != 1 || granted[0] != "new" {
		t.Errorf("the free slot went to %v, want the new request", granted)
	}
	p.Release(at(20), leases[1], Served)
	if len(granted) != 2 || granted[1] != "resumed" {
		t.Errorf("the slots went to %v, want the second one for the resumed request", granted)
	}
}

func TestServerThatWentOnAfterASilenceStaysEjected(t *testing.T) {
	p := newPool(engines, makeServers(1, 4), 1)
	l := p.TryAcquire(at(0), Request{})
	p.OnSilent(at(1500), l)
	p.OnSilent(at(1600), l)
	if p.TryAcquire(at(1600), Request{}) != nil {
		t.Error("a silent server got a new request")
	}
	p.OnResumed(at(2000), l)
	for i := range 3 {
		if p.TryAcquire(at(2000), Request{}) == nil {
			t.Errorf("request %d found no slot after the server had gone on", i)
		}
	}
	p.Release(at(2500), l, Served)
}

func TestCallerThatLeavesASilentServerMakesItAvailable(t *testing.T) {
	p := newPool(engines, makeServers(1, 4), 1)
	l := p.TryAcquire(at(0), Request{})
	p.OnSilent(at(1500), l)
	p.Release(at(1600), l, Canceled)
	if p.TryAcquire(at(1601), Request{}) != nil {
		t.Error("a server that was silent until its caller left got a new request at once")
	}
	now := at(1500).Add(minEjectTime)
	if p.TryAcquire(now, Request{}) == nil {
		t.Error("the server was not probed after its ejection")
	}
	if p.TryAcquire(now, Request{}) != nil {
		t.Error("the server got a second request before its probe ended")
	}
}

func TestSlotLimitKeepsARequestOnItsSilentServer(t *testing.T) {
	// Each server has two slots for this entry, but both together only two.
	p := newPool(engines, makeServers(2, 3), 0.34)
	first := p.TryAcquire(at(0), Request{})
	second := p.TryAcquire(at(0), Request{})
	if first == nil || second == nil || p.TryAcquire(at(0), Request{}) != nil {
		t.Fatal("the entry's limit is not two requests")
	}
	req := Request{Replaces: true, Exclude: []string{first.Server.ID}}
	other := p.TryAcquire(at(0), req)
	if other == nil {
		t.Fatal("a request that gives its slot back got no other one")
	}
	if p.TryAcquire(at(0), req) != nil {
		t.Error("the limit was exceeded by two")
	}
	p.Release(at(10), other, Unused)
	p.Release(at(10), first, Served)
	p.Release(at(10).Add(time.Millisecond), second, Served)
	if n, _ := p.Load(); n != 0 {
		t.Errorf("%d slots in use, want 0", n)
	}
}

// dispatchTime returns the shortest time of several dispatches with n queued requests
// that no free slot fits.
func dispatchTime(t *testing.T, n int) time.Duration {
	t.Helper()
	p := NewPool(engines, &manualClock{now: ageAt(0)})
	p.Update(at(0), engines, makeServers(2, 8), 1)
	for p.TryAcquire(at(0), Request{}) != nil {
	}
	for range n {
		w := &Waiter{Request: Request{WaitUntil: at(5000), Started: true, Exclude: []string{"s0"}}, Grant: func(*Lease) {}}
		if !p.Enqueue(at(0), w) {
			t.Fatal("the queue is too long")
		}
	}
	shortest := time.Duration(math.MaxInt64)
	for range 5 {
		start := time.Now()
		p.DispatchWaiting(at(0))
		shortest = min(shortest, time.Since(start))
	}
	return shortest
}

func TestDispatchTimeGrowsWithTheCubeOfTheResumedRequests(t *testing.T) {
	if few, many := dispatchTime(t, 100), dispatchTime(t, 1000); many > 200*few {
		t.Errorf("a dispatch takes %v with 100 queued requests and %v with 1000", few, many)
	}
}
