package forward

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
)

// turnAway refuses a request and wants none for a time in seconds.
func turnAway(seconds ...string) respondFunc {
	return func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "1")
		w.Header()["Retry-After"] = seconds
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func TestServerThatTurnsRequestsAwayStaysClosedWhenItIsListedAgain(t *testing.T) {
	s1 := newFakeServer(t, "s1", turnAway("30"))
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), s1, newFakeServer(t, "s2", echo))
	e.relistFirst(t, 5)
	if n := s1.receivedCount(); n != 1 {
		t.Errorf("the server got %d requests in its time, want 1", n)
	}
}

func TestServerThatTurnsRequestsAwayIsClosedToAllServices(t *testing.T) {
	s1 := newFakeServer(t, "s1", turnAway("30"))
	config := testConfig(deployment.Repeatable, testTimeout)
	other := config.Routes[0]
	other.Name, other.Prefix, other.Shares = "other", "/other/", []deployment.Share{{Service: "other", Weight: 1}}
	config.Routes = append(config.Routes, other)
	config.Services["other"] = &deployment.Service{Name: "other"}
	e := newTestEntry(t, config, s1)
	view := *e.handler.View()
	view.Servers = map[string][]directory.Record{"svc": view.Servers["svc"], "other": view.Servers["svc"]}
	e.handler.Update(&view)
	for _, path := range []string{"/p/x", "/other/x", "/p/x", "/other/x"} {
		_, _, _ = e.send(t, func(r *http.Request) { r.URL.Path = path })
	}
	if n := s1.receivedCount(); n != 1 {
		t.Errorf("the server got %d requests in its time, want 1", n)
	}
}

func TestServerGetsOneRequestFirstAfterTheTimeThatItNamed(t *testing.T) {
	var open atomic.Bool
	var concurrent, most atomic.Int64
	s := newFakeServer(t, "s1", func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		most.Store(max(most.Load(), concurrent.Add(1)))
		defer concurrent.Add(-1)
		time.Sleep(50 * time.Millisecond)
		if open.Load() {
			echo(s, w, r)
			return
		}
		turnAway("0.5")(s, w, r)
	})
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), s)
	_, _, _ = e.send(t, nil)
	most.Store(0)
	end := time.Now().Add(2 * time.Second)
	var senders sync.WaitGroup
	for range 6 {
		senders.Go(func() {
			for time.Now().Before(end) {
				_, _, _ = e.send(t, nil)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	senders.Wait()
	if n := most.Load(); n > 1 {
		t.Errorf("%d requests at a time reached the server after its time, want 1", n)
	}
	open.Store(true)
	time.Sleep(600 * time.Millisecond)
	for range 4 {
		senders.Go(func() { _, _, _ = e.send(t, nil) })
	}
	senders.Wait()
	if resp, body, err := e.send(t, nil); err != nil || body != "body from s1" {
		t.Errorf("after the server opened: response %v, body %q, error %v", resp, body, err)
	}
}

func TestRetryAfterOfAServerIsReadInAllItsForms(t *testing.T) {
	for name, c := range map[string]struct {
		header []string
		closed bool
	}{
		"date":        {[]string{time.Now().Add(time.Minute).UTC().Format(http.TimeFormat)}, true},
		"date before": {[]string{time.Now().Add(-time.Minute).UTC().Format(http.TimeFormat)}, false},
		"day":         {[]string{"86400"}, true}, "zero": {[]string{"0"}, false}, "negative": {[]string{"-3"}, false},
		"not a number": {[]string{"NaN"}, false}, "infinite": {[]string{"+Inf"}, true}, "twice": {[]string{"0", "30"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s1 := newFakeServer(t, "s1", turnAway(c.header...))
			e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), s1, newFakeServer(t, "s2", echo))
			for range 30 {
				if _, body, err := e.send(t, nil); err != nil || body != "body from s2" {
					t.Fatalf("got body %q, error %v", body, err)
				}
				time.Sleep(15 * time.Millisecond)
			}
			if n := s1.receivedCount(); (n == 1) != c.closed {
				t.Errorf("the server got %d requests, closed %v", n, c.closed)
			}
		})
	}
}
