package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/process/deployment"
)

// thenEnd streams events, and ends the response after a pause.
func thenEnd(last int, interval, pause time.Duration) respondFunc {
	return func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		streamSlowly(last, interval)(s, w, r)
		pauseOrLeave(r, pause)
	}
}

// Guards against streams that are cut off after their last event, because the server to which they
// were moved had nothing to add.
func TestStreamThatIsMovedAfterItsLastEventIsComplete(t *testing.T) {
	// The stream is moved after its ninth event.
	const events = 9
	for name, next := range map[string]respondFunc{
		"nothing to add":     streamSlowly(events, 0),
		"nothing to add yet": thenEnd(events, 0, time.Second),
		"refusal":            refuseBusy,
		"broken off":         crash,
		"silent":             hang,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, _ := speedEntryOf(t, true, 20, 60, thenEnd(events, 120*time.Millisecond, 100*time.Millisecond), next, next)
			scope := tally.NewTestScope("", nil)
			e.handler.metrics.movedFromSlow = scope.Counter("moved")
			body, err := e.sendToFirst(t, e.handler.View())
			if err != nil || body != expectedStream(events) {
				t.Errorf("got body %q, error %v", body, err)
			}
			if n := scope.Snapshot().Counters()["moved+"].Value(); n != 1 {
				t.Errorf("the stream was moved %d times, want once", n)
			}
			e.requireIdle(t)
		})
	}
}

func TestStreamOfAServerThatIsSilentBeforeItsEndIsComplete(t *testing.T) {
	const events = 3
	for name, next := range map[string]respondFunc{
		"nothing to add": streamEvents(events, 0),
		"refusal":        refuseBusy,
		"broken off":     crash,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := resumingEntry(t, thenEnd(events, 0, pauseDuration), next)
			_, body, err := e.send(t, nil)
			if err != nil || body != expectedStream(events) {
				t.Errorf("got body %q, error %v", body, err)
			}
			e.requireIdle(t)
		})
	}
}

// A server that has nothing to add does not complete a stream of which another one had more.
func TestMovedStreamIsNotCompletedByAServerThatHasNothingToAdd(t *testing.T) {
	const events = 3
	for name, first := range map[string]respondFunc{
		"breaks off": func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
			thenEnd(events, 0, pauseDuration)(s, w, r)
			panic(http.ErrAbortHandler)
		},
		"goes on": func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
			thenEnd(events, 0, pauseDuration)(s, w, r)
			_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", events+1, events+1)
		},
		"stays silent": thenEnd(events, 0, time.Minute),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := resumingEntry(t, first, streamEvents(events, 0))
			if _, body, err := e.send(t, nil); err == nil {
				t.Errorf("the stream was completed: %q", body)
			}
			e.requireIdle(t)
		})
	}
}

// resumingEntry returns an entry with a server for new streams and one for resumed ones.
func resumingEntry(t *testing.T, first, next respondFunc) *testEntry {
	t.Helper()
	respond := func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			first(s, w, r)
			return
		}
		next(s, w, r)
	}
	config := testConfig(deployment.Stream, 4*time.Second)
	return newTestEntry(t, config, newFakeServer(t, "s1", respond), newFakeServer(t, "s2", respond))
}
