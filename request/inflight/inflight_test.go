package inflight

import (
	"context"
	"sync"
	"testing"
)

func TestDrainWaitsForAllAndRefusesNewRequests(t *testing.T) {
	var c Counter
	const requests = 50
	for range requests {
		if c.Admit(0) != Admitted {
			t.Fatal("refused")
		}
	}
	c.StartDrain()
	if c.Admit(0) != Draining {
		t.Error("a new request was admitted while draining")
	}
	var group sync.WaitGroup
	for range requests {
		group.Go(c.Done)
	}
	if err := c.Drain(context.Background()); err != nil || c.Count() != 0 {
		t.Errorf("Drain returned %v with %d requests in progress", err, c.Count())
	}
	group.Wait()
}

func TestDrainReturnsWhenItsContextEnds(t *testing.T) {
	var c Counter
	c.Admit(0)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if c.Drain(ctx) == nil {
		t.Error("Drain succeeded with a request in progress")
	}
}

func TestAdmitEnforcesLimit(t *testing.T) {
	var c Counter
	if c.Admit(1) != Admitted || c.Admit(1) != Full {
		t.Error("the limit of one was not enforced")
	}
	c.Done()
	if c.Admit(1) != Admitted {
		t.Error("no request was admitted after Done")
	}
}
