package inflight

import (
	"context"
	"sync"
	"testing"
)

func TestDrainWaitsForAllAndTakesNothingNew(t *testing.T) {
	var c Counter
	const requests = 50
	for range requests {
		if c.Enter(0) != Entered {
			t.Fatal("refused")
		}
	}
	c.StartDrain()
	if c.Enter(0) != Draining {
		t.Error("a new request was taken")
	}
	var group sync.WaitGroup
	for range requests {
		group.Go(c.Leave)
	}
	if err := c.Drain(context.Background()); err != nil || c.Count() != 0 {
		t.Errorf("%v with %d in progress", err, c.Count())
	}
	group.Wait()
}

func TestDrainEndsWithItsContext(t *testing.T) {
	var c Counter
	c.Enter(0)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if c.Drain(ctx) == nil {
		t.Error("drained with a request in progress")
	}
}

func TestLimitIsKept(t *testing.T) {
	var c Counter
	if c.Enter(1) != Entered || c.Enter(1) != Full {
		t.Error("limit of one")
	}
	c.Leave()
	if c.Enter(1) != Entered {
		t.Error("room was not given back")
	}
}
