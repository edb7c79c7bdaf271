package forward

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
)

// A view is published to the scheduler and to the resolution of requests in turn.
func TestRequestDuringTheFirstUpdateIsAnswered(t *testing.T) {
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), newFakeServer(t, "s1", echo))
	view := e.handler.View()
	for range 20 {
		h := New(e.handler.cfg, e.handler.client, e.handler.clock, e.handler.ageClock, e.handler.log, tally.NoopScope)
		e.Config.Handler = h
		h.scheduler.mu.Lock() // holds the update between its steps
		var updates sync.WaitGroup
		updates.Go(func() { h.Update(view) })
		updates.Go(func() {
			if resp, _, err := e.send(t, nil); err != nil || resp.StatusCode >= 400 && resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("got response %v, error %v", resp, err)
			}
		})
		h.scheduler.mu.Unlock()
		updates.Wait()
	}
}

func TestRequestOfARemovedServiceIsNotResumedOnADrainingServer(t *testing.T) {
	broken := make(chan struct{})
	a := newFakeServer(t, "s1", func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		streamEvents(2, 0)(s, w, r)
		<-broken
		panic(http.ErrAbortHandler)
	})
	b := newFakeServer(t, "s2", streamEvents(6, 0))
	e := newTestEntry(t, testConfig(deployment.Stream, testTimeout), a, b)
	old := e.handler.View()
	fresh := *old
	fresh.Servers = map[string][]directory.Record{"svc": {old.Servers["svc"][1]}}
	fresh.Servers["svc"][0].State = directory.Draining
	other := testConfig(deployment.Stream, testTimeout)
	other.Version, other.Routes, other.Services = 2, nil, nil
	if err := other.Validate(); err != nil {
		t.Fatal(err)
	}
	fresh.Config = other
	// Only s1 is used at first.
	only := *old
	only.Servers = map[string][]directory.Record{"svc": {old.Servers["svc"][0]}}
	e.handler.Update(&only)
	time.AfterFunc(100*time.Millisecond, func() {
		e.handler.Update(old)
		e.handler.Update(&fresh)
		close(broken)
	})
	_, body, err := e.send(t, nil)
	if err == nil || b.runCount() > 0 {
		t.Errorf("got body %q, error %v; the draining server ran %d requests", body, err, b.runCount())
	}
}
