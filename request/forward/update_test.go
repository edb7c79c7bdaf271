package forward

import (
	"net/http"
	"sync"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/process/deployment"
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
