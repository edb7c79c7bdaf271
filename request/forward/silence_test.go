package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

// pauseDuration is longer than an entry waits before it looks for another server.
const pauseDuration = stallTimeout + 700*time.Millisecond

// pauseOrLeave sleeps and reports false if the request was canceled meanwhile.
func pauseOrLeave(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// pauseBefore lets the server pause before it responds.
func pauseBefore(d time.Duration, respond respondFunc) respondFunc {
	return func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if !pauseOrLeave(r, d) {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		respond(s, w, r)
	}
}

// pauseWithin streams events and pauses after one of them; 0 pauses between the
// header and the first event.
func pauseWithin(last, after int, d time.Duration) respondFunc {
	return func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		s.startResponse(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
		for id := from; id <= last; id++ {
			if id > from {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", id, id)
			}
			_ = http.NewResponseController(w).Flush()
			if id == after && !pauseOrLeave(r, d) {
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// occupySlots takes all free slots of the servers except those listed, and returns
// their leases.
func (e *testEntry) occupySlots(exclude ...string) []*placement.Lease {
	sc := e.handler.scheduler
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	var leases []*placement.Lease
	for {
		l := sc.service("svc", now).pool.TryAcquire(now, placement.Request{Exclude: exclude})
		if l == nil {
			return leases
		}
		leases = append(leases, l)
	}
}

// releaseSlots returns the slots of leases.
func (e *testEntry) releaseSlots(leases []*placement.Lease) {
	for _, l := range leases {
		e.handler.scheduler.release("svc", l, placement.Served)
	}
}

// spendRetryBudget takes all retries that the service has left.
func (e *testEntry) spendRetryBudget() {
	for e.handler.scheduler.tryRetry("svc") {
	}
}

// requireIdle fails the test unless all slots are returned soon.
func (e *testEntry) requireIdle(t *testing.T) {
	t.Helper()
	sc := e.handler.scheduler
	var inFlight, waiting int
	for range 200 {
		sc.mu.Lock()
		pool := sc.service("svc", sc.clock.Now()).pool
		inFlight, _ = pool.Load()
		waiting = pool.Waiting()
		sc.mu.Unlock()
		if inFlight == 0 && waiting == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("%d slots in use and %d requests queued after the last request", inFlight, waiting)
}

// requireStream fails the test unless the caller receives the complete stream.
func (e *testEntry) requireStream(t *testing.T, last int) {
	t.Helper()
	resp, body, err := e.send(t, nil)
	if err != nil || resp.StatusCode != http.StatusOK || body != expectedStream(last) {
		t.Errorf("got response %v, body %q, error %v", resp, body, err)
	}
	e.requireIdle(t)
}

func TestStreamIsCutWhenItsOnlyServerPauses(t *testing.T) {
	t.Parallel()
	s := newFakeServer(t, "s1", pauseWithin(5, 3, pauseDuration))
	e := newTestEntry(t, testConfig(deployment.Stream, testTimeout), s)
	e.requireStream(t, 5)
	if n := s.runCount(); n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
}

func TestStreamFailsWhenItsOnlyServerPausesBeforeTheFirstEvent(t *testing.T) {
	t.Parallel()
	for name, respond := range map[string]respondFunc{
		"before the header": pauseBefore(pauseDuration, streamEvents(5, 0)),
		"after the header":  pauseWithin(5, 0, pauseDuration),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newTestEntry(t, testConfig(deployment.Stream, testTimeout), newFakeServer(t, "s1", respond))
			e.requireStream(t, 5)
		})
	}
}

func TestStreamIsCutByAPauseWhileOtherServersAreBusy(t *testing.T) {
	t.Parallel()
	a, b := newFakeServer(t, "s1", pauseWithin(5, 3, pauseDuration)), newFakeServer(t, "s2", streamEvents(5, 0))
	e := newTestEntry(t, testConfig(deployment.Stream, testTimeout), a, b)
	leases := e.occupySlots("s1")
	resp, body, err := e.send(t, nil)
	if err != nil || resp.StatusCode != http.StatusOK || body != expectedStream(5) {
		t.Errorf("got response %v, body %q, error %v", resp, body, err)
	}
	if n := b.runCount(); n != 0 {
		t.Errorf("%d requests ran on a server without a free slot", n)
	}
	e.releaseSlots(leases)
	e.requireIdle(t)
}

func TestStreamIsCutByAPauseWhenTheRetryBudgetIsSpent(t *testing.T) {
	t.Parallel()
	a, b := newFakeServer(t, "s1", pauseWithin(5, 3, pauseDuration)), newFakeServer(t, "s2", pauseWithin(5, 3, pauseDuration))
	e := newTestEntry(t, testConfig(deployment.Stream, testTimeout), a, b)
	e.spendRetryBudget()
	e.requireStream(t, 5)
	if n := totalRuns(a, b); n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
}

func TestStreamIsCutByAPauseWhenItsRouteAllowsOneServer(t *testing.T) {
	t.Parallel()
	a, b := newFakeServer(t, "s1", pauseWithin(5, 3, pauseDuration)), newFakeServer(t, "s2", pauseWithin(5, 3, pauseDuration))
	config := testConfig(deployment.Stream, testTimeout)
	config.Routes[0].MaxServers = 1
	e := newTestEntry(t, config, a, b)
	e.requireStream(t, 5)
	if n := totalRuns(a, b); n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
}

func TestRepeatableRequestFailsWhenItsOnlyServerPauses(t *testing.T) {
	t.Parallel()
	for name, respond := range map[string]respondFunc{
		"before the header": pauseBefore(pauseDuration, echo),
		"within the body": func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
			s.startResponse(w, r)
			_, _ = w.Write([]byte("body "))
			_ = http.NewResponseController(w).Flush()
			if pauseOrLeave(r, pauseDuration) {
				_, _ = w.Write([]byte("from s1"))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFakeServer(t, "s1", respond)
			e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), s)
			if resp, body, err := e.send(t, nil); err != nil || body != "body from s1" {
				t.Errorf("got response %v, body %q, error %v", resp, body, err)
			}
			e.requireIdle(t)
		})
	}
}

func TestRepeatableRequestFailsInAPauseWhileOtherServersAreBusy(t *testing.T) {
	t.Parallel()
	a, b := newFakeServer(t, "s1", pauseBefore(pauseDuration, echo)), newFakeServer(t, "s2", echo)
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), a, b)
	leases := e.occupySlots("s1")
	if resp, body, err := e.send(t, nil); err != nil || body != "body from s1" {
		t.Errorf("got response %v, body %q, error %v", resp, body, err)
	}
	e.releaseSlots(leases)
	e.requireIdle(t)
}

func TestSilentStreamMovesToAServerWhoseSlotBecomesFree(t *testing.T) {
	t.Parallel()
	silent := func(s *fakeServer, w http.ResponseWriter, r *http.Request) { pauseWithin(5, 3, time.Minute)(s, w, r) }
	a, b := newFakeServer(t, "s1", silent), newFakeServer(t, "s2", streamEvents(5, 0))
	e := newTestEntry(t, testConfig(deployment.Stream, testTimeout), a, b)
	leases := e.occupySlots("s1")
	timer := time.AfterFunc(stallTimeout+700*time.Millisecond, func() { e.releaseSlots(leases) })
	defer timer.Stop()
	e.requireStream(t, 5)
	if n := totalRuns(a, b); n != 2 {
		t.Errorf("the request ran %d times, want 2", n)
	}
}

func TestSilentServerIsAskedForMoreThanTheRouteAllows(t *testing.T) {
	t.Parallel()
	var fakes []*fakeServer
	for i := range 4 {
		fakes = append(fakes, newFakeServer(t, fmt.Sprintf("s%d", i), hang))
	}
	e := newTestEntry(t, testConfig(deployment.Repeatable, 3*time.Second), fakes...)
	started := time.Now()
	resp, _, err := e.send(t, func(r *http.Request) { r.Header.Set(platform.HeaderDeadline, "3000") })
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got response %v, error %v", resp, err)
	}
	if took := time.Since(started); took < 2900*time.Millisecond || took > 3200*time.Millisecond {
		t.Errorf("response after %v, want it just before the deadline", took)
	}
	if n := totalRuns(fakes...); n != 2 {
		t.Errorf("the request ran %d times, want 2", n)
	}
	e.requireIdle(t)
}

func TestDeadlineOfOneRequestEjectsTheServerOfTheNext(t *testing.T) {
	t.Parallel()
	for name, kind := range map[string]deployment.Repeatability{"unrepeatable": deployment.Unrepeatable, "repeatable": deployment.Repeatable} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newTestEntry(t, testConfig(kind, testTimeout), newFakeServer(t, "s1", pauseBefore(400*time.Millisecond, echo)))
			resp, _, err := e.send(t, func(r *http.Request) { r.Header.Set(platform.HeaderDeadline, "300") })
			if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
				t.Errorf("got response %v, error %v, want a timeout", resp, err)
			}
			if resp, body, err := e.send(t, nil); err != nil || body != "body from s1" {
				t.Errorf("got response %v, body %q, error %v", resp, body, err)
			}
		})
	}
}

func TestUnrepeatableRequestsGoToASilentServer(t *testing.T) {
	t.Parallel()
	e := newTestEntry(t, testConfig(deployment.Unrepeatable, testTimeout), newFakeServer(t, "s1", pauseBefore(pauseDuration, echo)))
	done := make(chan struct{})
	go func() {
		defer close(done)
		if resp, body, err := e.send(t, nil); err != nil || body != "body from s1" {
			t.Errorf("got response %v, body %q, error %v", resp, body, err)
		}
	}()
	time.Sleep(max(silenceTargets*400*time.Millisecond, minSilence) + 100*time.Millisecond)
	if resp, _, err := e.send(t, nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got response %v, error %v, want a refusal while the server is silent", resp, err)
	}
	<-done
	if resp, body, err := e.send(t, nil); err != nil || body != "body from s1" {
		t.Errorf("got response %v, body %q, error %v after the server had gone on", resp, body, err)
	}
}

func TestPanicOfAnAttemptKeepsItsSlot(t *testing.T) {
	for name, kind := range map[string]deployment.Repeatability{"stream": deployment.Stream, "plain": deployment.Repeatable} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry(t, testConfig(kind, testTimeout), newFakeServer(t, "s1", echo))
			logged, scope := e.observe()
			e.handler.client = nil
			if _, _, err := e.send(t, nil); err == nil {
				t.Error("the request was answered")
			}
			requireOutcomes(t, scope, map[string]int64{"aborted": 1})
			if line := logged.String(); !strings.Contains(line, "request handler panicked") || !strings.Contains(line, "attempt.go") {
				t.Errorf("logged %q", line)
			}
			e.requireIdle(t)
		})
	}
}

func TestCallerLeavesAStreamWithoutEventsBeforeItIsAnswered(t *testing.T) {
	for name, respond := range map[string]respondFunc{"before the header": hang, "after the header": pauseWithin(3, 0, testTimeout)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newTestEntry(t, testConfig(deployment.Stream, testTimeout), newFakeServer(t, "s1", respond))
			started := time.Now()
			resp, _, err := e.send(t, nil)
			patience := callerPatience(&e.handler.View().Config.Routes[0])
			if took := time.Since(started); err != nil || resp.StatusCode != http.StatusBadGateway || took > patience {
				t.Errorf("got response %v, error %v after %v; the caller waits for %v", resp, err, took, patience)
			}
		})
	}
}

func TestLongResponseThatEndsWithItsCallerEjectsTheServer(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		deadline, leaveAfter time.Duration
		wantOutcome          string
	}{
		"the caller leaves":   {testTimeout, 150 * time.Millisecond, "callers_gone"},
		"the deadline passes": {200 * time.Millisecond, testTimeout, "aborted"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), newFakeServer(t, "s1", func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
				s.startResponse(w, r)
				w.Header().Set("Content-Length", "4194304")
				_, _ = w.Write(make([]byte, 300<<10))
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			}))
			_, scope := e.observe()
			for range 3 {
				ctx, cancel := context.WithTimeout(t.Context(), c.leaveAfter)
				_, _, err := e.send(t, func(r *http.Request) {
					*r = *r.WithContext(ctx)
					r.Header.Set("Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
				})
				cancel()
				if err == nil {
					t.Error("the truncated response seems complete")
				}
				e.requireIdle(t)
			}
			leases := e.occupySlots()
			if len(leases) == 0 {
				t.Error("the server is ejected")
			}
			e.releaseSlots(leases)
			requireOutcomes(t, scope, map[string]int64{c.wantOutcome: 3})
		})
	}
}

func TestSearchForAnotherServerEndsBeforeTheCallerLeaves(t *testing.T) {
	t.Parallel()
	a := newFakeServer(t, "s1", pauseWithin(5, 3, 4*time.Second))
	b := newFakeServer(t, "s2", streamEvents(5, 0))
	e := newTestEntry(t, testConfig(deployment.Stream, testTimeout), a, b)
	leases := e.occupySlots("s1")
	patience := callerPatience(&testConfig(deployment.Stream, testTimeout).Routes[0])
	timer := time.AfterFunc(patience-resumeMargin/2, func() { e.releaseSlots(leases) })
	defer timer.Stop()
	e.requireStream(t, 5)
	if n := b.runCount(); n != 0 {
		t.Errorf("the request was sent to another server %d times although its caller was about to leave", n)
	}
}
