package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/observation"
)

func TestServerThatSaysItLeavesGetsNoNewRequests(t *testing.T) {
	leaving := func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Leaving", "1")
		echo(s, w, r)
	}
	s1, s2 := newFakeServer(t, "s1", leaving), newFakeServer(t, "s2", echo)
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), s1, s2)
	var told []observation.Record
	e.handler.cfg.Observe = func(kind observation.Kind, key string, body []byte, at boottime.Instant, ttl time.Duration) {
		told = append(told, observation.Record{Kind: kind, Key: key, Body: body, At: at, TTL: ttl.Milliseconds()})
	}
	for range 10 {
		if _, _, err := e.send(t, nil); err != nil {
			t.Fatal(err)
		}
	}
	if n := s1.receivedCount(); n != 1 {
		t.Errorf("the server got %d requests, want 1", n)
	}
	other := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), s1, s2)
	other.handler.ApplyObservations(told)
	for range 4 {
		if _, body, err := other.send(t, nil); err != nil || body != "body from s2" {
			t.Errorf("got body %q, error %v at an entry that was told", body, err)
		}
	}
	if len(told) != 1 {
		t.Errorf("%d records were told, want 1", len(told))
	}
}

func TestServersThatAreGoneAreNotRememberedAsLeaving(t *testing.T) {
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), newFakeServer(t, "s1", echo))
	for i := range 2 * maxLeaving {
		e.handler.ApplyObservations([]observation.Record{{Kind: observation.Leaving, Key: fmt.Sprint("gone", i)}})
	}
	if n := len(e.handler.scheduler.leaving); n > maxLeaving {
		t.Errorf("%d servers are remembered", n)
	}
	e.handler.Update(e.handler.View())
	if n := len(e.handler.scheduler.leaving); n != 0 {
		t.Errorf("%d servers are remembered after an update of the view", n)
	}
}
