package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

// streamSlowly streams events with an interval.
func streamSlowly(last int, interval time.Duration) respondFunc {
	return func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		s.startResponse(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
		for id := from + 1; id <= last; id++ {
			if !pauseOrLeave(r, interval) {
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", id, id)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// speedEntry returns an entry with a slow server and a fast one, of which the agent of the slow
// one reports a pace.
func speedEntry(t *testing.T, resumable bool, pace float64, events int) (*testEntry, []*fakeServer) {
	t.Helper()
	fast := streamSlowly(events, 5*time.Millisecond)
	return speedEntryOf(t, resumable, pace, events, streamSlowly(events, 120*time.Millisecond), fast, fast)
}

// speedEntryOf is a speedEntry with servers that respond as given.
func speedEntryOf(t *testing.T, resumable bool, pace float64, events int, responses ...respondFunc) (*testEntry, []*fakeServer) {
	t.Helper()
	config := testConfig(deployment.Stream, 3*time.Second)
	config.Routes[0].Generation, config.Routes[0].Resumable = true, resumable
	config.Services["svc"].Engine = &deployment.Engine{
		Slots: 8, Step: 5 * time.Millisecond, ReadPerSecond: 20000, Stride: 4, UsualAnswer: 4 * events,
	}
	var fakes []*fakeServer
	for i, respond := range responses {
		fakes = append(fakes, newFakeServer(t, fmt.Sprint("s", i), respond))
	}
	e := newTestEntry(t, config, fakes...)
	listed := *e.handler.View()
	listed.Servers = map[string][]directory.Record{"svc": append([]directory.Record(nil), listed.Servers["svc"]...)}
	listed.Servers["svc"][0].Pace = pace
	e.handler.Update(&listed)
	return e, fakes
}

// sendToFirst sends a request while the first server alone has slots.
func (e *testEntry) sendToFirst(t *testing.T, listed *feed.View) (string, error) {
	t.Helper()
	only := *listed
	only.Servers = map[string][]directory.Record{"svc": listed.Servers["svc"][:1]}
	e.handler.Update(&only)
	time.AfterFunc(100*time.Millisecond, func() { e.handler.Update(listed) })
	_, body, err := e.send(t, nil)
	return body, err
}

// Guards against streams that stay on a slow server until their deadline, at which they are
// cut off.
func TestStreamThatWouldNotEndInTimeIsMoved(t *testing.T) {
	const events = 60
	e, fakes := speedEntry(t, true, 20, events)
	body, err := e.sendToFirst(t, e.handler.View())
	if err != nil || body != expectedStream(events) {
		t.Errorf("got body %.60q, error %v", body, err)
	}
	if total := totalRuns(fakes...); total != 2 || fakes[0].runCount() != 1 {
		t.Errorf("%d servers ran the stream, %d the slow one, want 2 and 1", total, fakes[0].runCount())
	}
	e.requireIdle(t)
}

func TestStreamIsNotMovedWithoutNeedOrRight(t *testing.T) {
	for _, c := range []struct {
		name         string
		resumable    bool
		pace         float64
		events       int
		noRetry, cut bool
	}{
		{name: "ends in time", resumable: true, pace: 20, events: 12},
		{name: "not resumable", pace: 20, events: 60, cut: true},
		{name: "server is not known to be slow", resumable: true, events: 60, cut: true},
		{name: "retry budget is spent", resumable: true, pace: 20, events: 60, noRetry: true, cut: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e, fakes := speedEntry(t, c.resumable, c.pace, c.events)
			if c.noRetry {
				e.spendRetryBudget()
			}
			body, err := e.sendToFirst(t, e.handler.View())
			if cut := err != nil || body != expectedStream(c.events); cut != c.cut {
				t.Errorf("cut off: %v, error %v, want %v", cut, err, c.cut)
			}
			if total := totalRuns(fakes...); total != 1 {
				t.Errorf("%d servers ran the stream, want 1", total)
			}
			e.requireIdle(t)
		})
	}
}

// Guards against a slow caller that makes its server seem slow.
func TestEventMeterLeavesOutSlowCallers(t *testing.T) {
	start := time.Unix(1000, 0)
	var m eventMeter
	now := start
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		if least, _ := m.add(now, 1); least > 0 {
			t.Fatal("an interval that a slow caller caused counts")
		}
		m.written(now.Add(300 * time.Millisecond))
		now = now.Add(300 * time.Millisecond)
	}
	m = eventMeter{}
	samples := 0
	for i := range 9 {
		now = now.Add(time.Duration(50+10*(i%2)) * time.Millisecond)
		if least, mean := m.add(now, 1); least > 0 {
			samples++
			if least != 50*time.Millisecond || mean != 55*time.Millisecond {
				t.Errorf("least interval %v and mean %v, want 50 and 55 ms", least, mean)
			}
		}
		m.written(now.Add(time.Millisecond))
	}
	if samples != 2 {
		t.Errorf("%d samples from 8 intervals, want 2", samples)
	}
}

func TestStreamMovesOnce(t *testing.T) {
	e, _ := speedEntry(t, true, 20, 60)
	sc := e.handler.scheduler
	now := sc.clock.Now()
	sc.mu.Lock()
	slow := sc.service("svc", now).pool.TryAcquire(now, placement.Request{Exclude: []string{"s1", "s2"}})
	sc.mu.Unlock()
	cr := &callerRequest{
		service: "svc", config: e.handler.View().Config, route: &e.handler.View().Config.Routes[0], start: now, lastSent: now, deadline: now.Add(2 * time.Second),
		patience: time.Hour, eventsSent: 1, triedServers: []string{"s0"},
	}
	a := &attempt{lease: slow}
	if l := (&relay{h: e.handler, cr: cr, moved: true}).fasterServer(a, 100*time.Millisecond); l != nil {
		t.Error("a stream that was moved moves again")
	}
	if l := (&relay{h: e.handler, cr: cr}).fasterServer(a, 100*time.Millisecond); l == nil {
		t.Error("a stream that was not moved does not move")
	}
}
