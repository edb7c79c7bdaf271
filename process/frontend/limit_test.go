package frontend

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// mostWithin returns the greatest number of times within a window that begins after a
// limit.
func mostWithin(times []time.Time, after time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for times[first].Before(after) || at.Sub(times[first]) > window {
			if first++; first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	return most
}

// setLimit lets an engine name a limit of requests per second; an empty one names none.
func (e *fleetEngine) setLimit(limit string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

func (e *fleetEngine) arrivalsSince(since time.Time) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	var late []time.Time
	for _, at := range e.all {
		if at.After(since) {
			late = append(late, at)
		}
	}
	return late
}

func TestServerGetsNoMoreRequestsThanItsNamedLimitFromAllEntries(t *testing.T) {
	const window = 4 * time.Second
	f := newFleet(t, 60, 3, 5, engineBehavior{})
	limits := map[int]float64{0: 1.5, 1: 3, 2: 0}
	var sent, served atomic.Int64
	var senders sync.WaitGroup
	stop := make(chan struct{})
	for i := range 12 {
		rng := rand.New(rand.NewPCG(3, uint64(i)))
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rng.IntN(100)) * time.Millisecond):
				}
				// The first entry gets most of the traffic.
				entry := f.entries[max(rng.IntN(5)-2, 0)]
				sent.Add(1)
				if entry.send("system") == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	time.Sleep(time.Second)
	for i, limit := range limits {
		f.engines[i].setLimit(strconv.FormatFloat(limit, 'f', -1, 64))
	}
	named := time.Now()
	time.Sleep(contactTime + 2*window)
	for i, limit := range limits {
		arrivals := f.engines[i].arrivalsSince(named)
		allowed := int(1.5*limit*window.Seconds() + 5)
		n := mostWithin(arrivals, named.Add(contactTime), window)
		t.Logf("limit %v a second: at most %d in %v, allowed %d; %d in all", limit, n, window, allowed, len(arrivals))
		if n > allowed {
			t.Errorf("a server with a limit of %v a second got %d requests in %v, allowed %d", limit, n, window, allowed)
		}
		if late := len(f.engines[i].arrivalsSince(named.Add(contactTime))); float64(late) < limit*window.Seconds()/2 {
			t.Errorf("a server with a limit of %v a second got %d requests in %v", limit, late, 2*window)
		}
		f.engines[i].setLimit("")
	}
	ended := time.Now()
	time.Sleep(2*window + contactTime)
	for i := range limits {
		if n := len(f.engines[i].arrivalsSince(ended.Add(contactTime))); n < 20 {
			t.Errorf("a server whose limit has ended got %d requests in %v", n, 2*window)
		}
	}
	close(stop)
	senders.Wait()
	if n, ok := sent.Load(), served.Load(); ok < n*9/10 {
		t.Errorf("%d of %d requests were served", ok, n)
	}
}
