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
	for name, header := range map[string]string{"not run": "Not-Executed", "unsigned": "X-None"} {
		t.Run(name, func(t *testing.T) {
			s1 := newFakeServer(t, "s1", func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.Header().Set(header, "1")
				w.Header().Set("Retry-After", "1.5")
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			s2 := newFakeServer(t, "s2", echo)
			e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), s1, s2)
			started := time.Now()
			for time.Since(started) < time.Second {
				if _, body, err := e.send(t, nil); err != nil || body != "body from s2" {
					t.Fatalf("got body %q, error %v", body, err)
				}
				time.Sleep(10 * time.Millisecond)
			}
			if n := s1.receivedCount(); n != 1 {
				t.Errorf("the server got %d requests within a second, want 1", n)
			}
			time.Sleep(700 * time.Millisecond)
			for range 4 {
				_, _, _ = e.send(t, nil)
			}
			if n := s1.receivedCount(); n != 2 {
				t.Errorf("the server got %d requests after its time, want 2", n)
			}
		})
	}
}

func TestRequestsAreRefusedAtOnceWhileAllServersTurnThemAway(t *testing.T) {
	s := newFakeServer(t, "s1", func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), s)
	_, _, _ = e.send(t, nil)
	started := time.Now()
	resp, _, err := e.send(t, nil)
	if took := time.Since(started); err != nil || resp.StatusCode != http.StatusServiceUnavailable || took > 100*time.Millisecond {
		t.Fatalf("got response %v, error %v after %v", resp, err, took)
	}
	if after, _ := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); after < 1500*time.Millisecond {
		t.Errorf("Retry-After is %v, want the time that the server named", after)
	}
	if n := s.receivedCount(); n != 1 {
		t.Errorf("the server got %d requests, want 1", n)
	}
}
