package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/process/deployment"
)

func TestRequestInProgressIsCutWithoutAnAnswerWhenTheProcessExits(t *testing.T) {
	for name, c := range map[string]struct {
		kind    deployment.Repeatability
		respond respondFunc
		busy    bool
		want    int
	}{
		"unrepeatable at work": {deployment.Unrepeatable, hang, false, http.StatusBadGateway},
		"repeatable at work":   {deployment.Repeatable, hang, false, http.StatusBadGateway},
		"stream without event": {deployment.Stream, hang, false, http.StatusBadGateway},
		"stream waiting":       {deployment.Stream, hang, true, http.StatusServiceUnavailable},
		"stream with an event": {deployment.Stream, pauseWithin(3, 1, 600*time.Millisecond), false, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			s1, s2 := newFakeServer(t, "s1", c.respond), newFakeServer(t, "s2", c.respond)
			config := testConfig(c.kind, testTimeout)
			config.Routes[0].Aim = 2 * time.Second
			e := newTestEntry(t, config, s1, s2)
			if c.busy {
				e.occupySlots()
			}
			time.AfterFunc(200*time.Millisecond, e.handler.EndRequests)
			started := time.Now()
			resp, _, err := e.send(t, nil)
			if took := time.Since(started); err != nil || resp.StatusCode != c.want || took > time.Second {
				t.Errorf("got response %v, error %v after %v, want status %d", resp, err, took, c.want)
			}
			if n := totalRuns(s1, s2); n > 1 {
				t.Errorf("%d servers ran the request", n)
			}
		})
	}
}
