package forward

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
)

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// observe makes the entry log to the returned buffer and count in the returned
// scope.
func (e *testEntry) observe() (*syncBuffer, tally.TestScope) {
	scope := tally.NewTestScope("", nil)
	logged := &syncBuffer{}
	old := e.handler
	h := New(old.cfg, old.client, old.clock, old.ageClock, slog.New(slog.NewTextHandler(logged, nil)), scope)
	h.Update(old.View())
	e.handler, e.Config.Handler = h, h
	return logged, scope
}

// requireOutcomes waits until the counters of outcomes have the wanted values and
// requires that they add up to the requests received.
func requireOutcomes(t *testing.T, scope tally.TestScope, want map[string]int64) {
	t.Helper()
	var got map[string]int64
	for range 200 {
		counters := scope.Snapshot().Counters()
		got = map[string]int64{}
		sum := int64(0)
		for _, name := range []string{"served", "refused", "failed", "callers_gone", "aborted", "unanswered"} {
			if n := counters["requests."+name+"+"].Value(); n > 0 {
				got[name] = n
				sum += n
			}
		}
		if fmt.Sprint(got) == fmt.Sprint(want) && sum == counters["requests.received+"].Value() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("outcomes: got %v, want %v", got, want)
}

func TestEachRequestIsCountedUnderOneOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		kind    deployment.Repeatability
		respond respondFunc
		modify  func(r *http.Request)
		want    string
	}{
		"served":           {deployment.Stream, streamEvents(3, 0), nil, "served"},
		"plain":            {deployment.Repeatable, echo, nil, "served"},
		"refused":          {deployment.Unrepeatable, refuseBusy, nil, "refused"},
		"unknown route":    {deployment.Unrepeatable, echo, func(r *http.Request) { r.Host = "other.example" }, "failed"},
		"crash":            {deployment.Unrepeatable, crash, nil, "failed"},
		"truncated stream": {deployment.Stream, streamEvents(6, 3), nil, "aborted"},
		"caller leaves": {deployment.Repeatable, hang, func(r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), 100*time.Millisecond)
			context.AfterFunc(ctx, cancel)
			*r = *r.WithContext(ctx)
		}, "callers_gone"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry(t, testConfig(c.kind, testTimeout), newFakeServer(t, "s1", c.respond))
			_, scope := e.observe()
			_, _, _ = e.send(t, c.modify)
			requireOutcomes(t, scope, map[string]int64{c.want: 1})
		})
	}
}

func TestPanicInTheHandlerIsLoggedWithTheRequestID(t *testing.T) {
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), newFakeServer(t, "s1", echo))
	logged, scope := e.observe()
	e.handler.client = nil
	if _, _, err := e.send(t, nil); err == nil {
		t.Error("the request was answered")
	}
	requireOutcomes(t, scope, map[string]int64{"aborted": 1})
	if n := scope.Snapshot().Counters()["requests.panics+"].Value(); n != 1 {
		t.Errorf("%d panics counted, want 1", n)
	}
	if line := logged.String(); !strings.Contains(line, "level=ERROR") || !strings.Contains(line, "id=id-1") || !strings.Contains(line, "nil pointer dereference") {
		t.Errorf("logged %q", line)
	}
}

func TestFirstEventAfterTheExpiryOfWeightsIsCounted(t *testing.T) {
	for name, c := range map[string]struct {
		suspended time.Duration
		wantLate  int64
	}{"in time": {0, 0}, "late": {3 * time.Second, 1}} {
		t.Run(name, func(t *testing.T) {
			boot := boottime.NewFake(clockwork.NewRealClock())
			s := newFakeServer(t, "s1", func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
				time.Sleep(50 * time.Millisecond)
				boot.Suspend(c.suspended)
				streamEvents(3, 0)(s, w, r)
			})
			config := testConfig(deployment.Stream, testTimeout)
			// No other server may run the request instead.
			config.Routes[0].MaxServers = 1
			config.Services["svc"].Engine = &deployment.Engine{Models: []string{"m"}, Slots: 4, ReadPerSecond: 1000, Step: time.Millisecond}
			e := newTestEntry(t, config, s)
			e.useAgeClock(boot)
			logged, scope := e.observe()
			view := *e.handler.View()
			view.Servers["svc"][0].Held = []directory.ModelVersion{{Model: "m", Version: 1}}
			var history feed.VersionHistory
			// Version 1 remains usable for 2.4 s.
			history.Record(2, boot.Now().Add(2400*time.Millisecond-e.handler.cfg.OldVersionGrace))
			view.Weights = map[string]feed.VersionHistory{"m": history}
			e.handler.Update(&view)
			if _, body, err := e.send(t, nil); err != nil || body != expectedStream(3) {
				t.Fatalf("got body %q, error %v", body, err)
			}
			requireOutcomes(t, scope, map[string]int64{"served": 1})
			if n := scope.Snapshot().Counters()["requests.first_event_after_expiry+"].Value(); n != c.wantLate {
				t.Errorf("%d first events after the expiry, want %d", n, c.wantLate)
			}
			if line := logged.String(); !strings.Contains(line, "weights=1 ") || !strings.Contains(line, "usable_first_ms=") {
				t.Errorf("logged %q", line)
			}
		})
	}
}

func TestSilenceOfAServerIsLogged(t *testing.T) {
	s := newFakeServer(t, "s1", func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		time.Sleep(silenceLogged + 100*time.Millisecond)
		streamEvents(3, 0)(s, w, r)
	})
	e := newTestEntry(t, testConfig(deployment.Stream, testTimeout), s)
	logged, scope := e.observe()
	if _, body, err := e.send(t, nil); err != nil || body != expectedStream(3) {
		t.Fatalf("got body %q, error %v", body, err)
	}
	requireOutcomes(t, scope, map[string]int64{"served": 1})
	if line := logged.String(); !strings.Contains(line, `msg="server was silent" id=id-1 server=s1 `) || !strings.Contains(line, "ended_by=response") {
		t.Errorf("logged %q", line)
	}
}
