package placement

import (
	"testing"
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
