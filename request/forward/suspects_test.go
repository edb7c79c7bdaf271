package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/observation"
	"github.com/waxwingpost/waxwingpost/request/quarantine"
)

func TestAnswersOfAnyKindProveTheirPromptsSound(t *testing.T) {
	for name, c := range map[string]struct {
		kind    deployment.Repeatability
		respond respondFunc
	}{"plain": {deployment.Repeatable, echo}, "stream": {deployment.Stream, streamEvents(3, 0)}} {
		config := testConfig(c.kind, testTimeout)
		config.Routes[0].Generation = true
		s := newFakeServer(t, "s1", c.respond)
		e := newTestEntry(t, config, s)
		candidates := quarantine.Candidates("m", []string{"part"})
		now := e.handler.ageClock.Now()
		for server, ago := range map[string]time.Duration{"x": time.Second, "y": 2 * time.Second} {
			for range 2 {
				e.handler.suspects.table.RecordBrokenOff("other", server, candidates, now.Add(-ago))
			}
		}
		if !e.handler.suspects.table.Doubtful(candidates) {
			t.Fatalf("%s: two ends of servers raise no doubt", name)
		}
		_, _, err := e.send(t, func(r *http.Request) {
			r.Header.Set("Model", "m")
			r.Header.Set("Prompt-Prefix", "part:10,own:10")
		})
		if err != nil || e.handler.suspects.table.Doubtful(candidates) {
			t.Errorf("%s: an answer does not prove its prompt; error %v", name, err)
		}
	}
}

func TestTruncatedLongResponseDoesNotProveItsRequest(t *testing.T) {
	s := newFakeServer(t, "s1", func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		s.startResponse(w, r)
		w.Header().Set("Content-Length", fmt.Sprint(2*maxBufferedBody))
		_, _ = w.Write(make([]byte, maxBufferedBody))
		panic(http.ErrAbortHandler)
	})
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), s)
	if _, _, err := e.send(t, nil); err == nil {
		t.Error("a truncated response looks complete")
	}
	suspects := e.handler.suspects
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		suspects.mu.Lock()
		ends := suspects.table.Ends()
		suspects.mu.Unlock()
		if ends == 1 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the broken connection was not recorded")
		}
	}
}

func TestEndOfAServerThatRunsOneRequestAtATimeIsConfirmed(t *testing.T) {
	var s *fakeServer
	s = newFakeServer(t, "s1", func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
		_ = s.Listener.Close()
		crash(s, w, r)
	})
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), s)
	reports := make(chan quarantine.Report, 10)
	e.handler.suspects.observe = func(kind observation.Kind, _ string, body []byte, _ boottime.Instant, _ time.Duration) {
		var r quarantine.Report
		if err := cbor.Unmarshal(body, &r); kind == observation.BrokenOff && err == nil {
			reports <- r
		}
	}
	_, _, _ = e.send(t, nil)
	for refused := false; !refused; {
		select {
		case r := <-reports:
			refused = r.Refused
		case <-time.After(testTimeout):
			t.Fatal("the end of the server is not confirmed")
		}
	}
}

func TestSuspectedPartIsFoundBehindManySharedParts(t *testing.T) {
	config := testConfig(deployment.Repeatable, testTimeout)
	config.Routes[0].Generation = true
	s := newFakeServer(t, "s1", echo)
	e := newTestEntry(t, config, s)
	suspects := e.handler.suspects
	suspects.mu.Lock()
	suspects.table.ApplyHold(quarantine.Hold{Part: quarantine.Part{Model: "m", ID: "bad"}, Count: 1}, e.handler.ageClock.Now())
	suspects.mu.Unlock()
	for _, before := range []int{0, 17, 1000} {
		var prefix strings.Builder
		for i := range before {
			fmt.Fprintf(&prefix, "%x:10,", i)
		}
		resp, _, err := e.send(t, func(r *http.Request) {
			r.Header.Set("Model", "m")
			r.Header.Set("Prompt-Prefix", prefix.String()+"bad:10,own:10")
		})
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("behind %d other parts: response %+v, error %v", before, resp, err)
		}
	}
	if n := s.runCount(); n != 0 {
		t.Errorf("%d requests with a suspected part were run", n)
	}
}
