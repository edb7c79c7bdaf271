package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/process/deployment"
)

// received returns the number of requests that the server received.
func (s *fakeServer) receivedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.received)
}

func TestServerThatTurnsRequestsAwayGetsNoneForTheTimeThatItNames(t *testing.T) {
	const wait = 1500 * time.Millisecond
	for name, header := range map[string]string{"not run": "Not-Executed", "unsigned": "X-None"} {
		t.Run(name, func(t *testing.T) {
			arrivals := make(chan time.Time, 100)
			s1 := newFakeServer(t, "s1", func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
				arrivals <- time.Now()
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.Header().Set(header, "1")
				w.Header().Set("Retry-After", "1.5")
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			s2 := newFakeServer(t, "s2", echo)
			e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), s1, s2)
			for started := time.Now(); len(arrivals) < 2 && time.Since(started) < testTimeout; time.Sleep(10 * time.Millisecond) {
				if _, body, err := e.send(t, nil); err != nil || body != "body from s2" {
					t.Fatalf("got body %q, error %v", body, err)
				}
			}
			if len(arrivals) != 2 {
				t.Fatalf("the server got %d requests in %v, want 2", len(arrivals), testTimeout)
			}
			first, second := <-arrivals, <-arrivals
			if apart := second.Sub(first); apart < wait {
				t.Errorf("the second request came %v after the first, want %v or more", apart, wait)
			}
		})
	}
}

func TestRequestsAreRefusedAtOnceWhileAllServersTurnThemAway(t *testing.T) {
	s := newFakeServer(t, "s1", func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", "4")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	config := testConfig(deployment.Repeatable, testTimeout)
	// A request may wait for a slot for half of that.
	config.Routes[0].Aim = 3 * time.Second
	e := newTestEntry(t, config, s)
	_, _, _ = e.send(t, nil)
	started := time.Now()
	resp, _, err := e.send(t, nil)
	if took := time.Since(started); err != nil || resp.StatusCode != http.StatusServiceUnavailable || took > time.Second {
		t.Fatalf("got response %v, error %v after %v", resp, err, took)
	}
	if after, _ := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); after < 3*time.Second {
		t.Errorf("Retry-After is %v, want the time that the server named", after)
	}
	if n := s.receivedCount(); n != 1 {
		t.Errorf("the server got %d requests, want 1", n)
	}
}
