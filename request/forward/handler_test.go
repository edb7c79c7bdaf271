package forward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/process/deployment"
)

const longEnough = 5 * time.Second

func TestAnswerIsPassedOnWithItsSignature(t *testing.T) {
	s := newStandIn(t, "s1", plain)
	e := newEntry(t, route(deployment.Unrepeatable, longEnough), s)
	resp, body, err := e.ask(t, func(r *http.Request) { r.Header.Set("Tenant", "forged") })
	if err != nil || resp.StatusCode != http.StatusOK || body != "body from s1" || resp.Header.Get("Signature") != "signed-by-s1" {
		t.Fatalf("%v %q %v", resp, body, err)
	}
	got := s.seen[0]
	if got.RequestURI != "/p/x?q=1" || got.Host != "h.example" || got.Header.Get("Tenant") != "acc" || got.Header.Get("Authorization") != "" {
		t.Errorf("the server was sent %s %s %v", got.Host, got.RequestURI, got.Header)
	}
	if left, _ := strconv.Atoi(got.Header.Get("Deadline-Ms")); left <= 0 || left > 5000 {
		t.Errorf("the server was given %d ms of 5000", left)
	}
}

func TestRequestsThatTheConfigurationDoesNotAllow(t *testing.T) {
	s := newStandIn(t, "s1", plain)
	e := newEntry(t, route(deployment.Repeatable, longEnough), s)
	for name, c := range map[string]struct {
		change func(r *http.Request)
		want   int
	}{
		"host":  {func(r *http.Request) { r.Host = "other.example" }, http.StatusNotFound},
		"path":  {func(r *http.Request) { r.URL.Path = "/q/" }, http.StatusNotFound},
		"key":   {func(r *http.Request) { r.Header.Set("Authorization", "Bearer nobody") }, http.StatusUnauthorized},
		"no id": {func(r *http.Request) { r.Header.Del("Request-Id") }, http.StatusBadRequest},
	} {
		if resp, _, err := e.ask(t, c.change); err != nil || resp.StatusCode != c.want {
			t.Errorf("%s: %v, %v, want %d", name, resp, err, c.want)
		}
	}
	if s.runs() != 0 {
		t.Error("a server ran a request that is not allowed")
	}
}

func TestWhatMayNotBeRepeatedRunsOnce(t *testing.T) {
	for name, answer := range map[string]answerFunc{"crash": crash, "mute": mute} {
		a, b := newStandIn(t, "s1", answer), newStandIn(t, "s2", answer)
		e := newEntry(t, route(deployment.Unrepeatable, 300*time.Millisecond), a, b)
		resp, _, err := e.ask(t, nil)
		if err != nil || resp.StatusCode < 500 || resp.StatusCode == http.StatusServiceUnavailable {
			t.Errorf("%s: %v, %v: an unknown outcome must not be told as not run", name, resp, err)
		}
		if n := total(a, b); n != 1 {
			t.Errorf("%s: it ran %d times", name, n)
		}
	}
}

func TestRefusalByServersIsNotRun(t *testing.T) {
	a, b := newStandIn(t, "s1", full), newStandIn(t, "s2", full)
	e := newEntry(t, route(deployment.Unrepeatable, longEnough), a, b)
	resp, _, err := e.ask(t, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("%v, %v", resp, err)
	}
}

func TestRequestGoesOnToAServerThatTakesIt(t *testing.T) {
	for name, kind := range map[string]deployment.Repeatability{"unrepeatable": deployment.Unrepeatable, "repeatable": deployment.Repeatable} {
		a, b := newStandIn(t, "s1", full), newStandIn(t, "s2", plain)
		e := newEntry(t, route(kind, longEnough), a, b)
		for range 4 {
			if resp, body, err := e.ask(t, nil); err != nil || body != "body from s2" {
				t.Errorf("%s: %v %q %v", name, resp, body, err)
			}
		}
	}
}

func TestRepeatableRequestIsSentAgainAfterAFailure(t *testing.T) {
	for name, answer := range map[string]answerFunc{"crash": crash, "mute": mute} {
		a, b := newStandIn(t, "s1", answer), newStandIn(t, "s2", plain)
		e := newEntry(t, route(deployment.Repeatable, longEnough), a, b)
		for range 3 {
			if resp, body, err := e.ask(t, nil); err != nil || body != "body from s2" {
				t.Errorf("%s: %v %q %v", name, resp, body, err)
			}
		}
	}
}

func TestSuccessWithoutASignatureIsNoSuccess(t *testing.T) {
	a := newStandIn(t, "s1", func(_ *standIn, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		_, _ = w.Write([]byte("forged"))
	})
	e := newEntry(t, route(deployment.Unrepeatable, longEnough), a)
	if resp, body, err := e.ask(t, nil); err != nil || resp.StatusCode < 500 || strings.Contains(body, "forged") {
		t.Errorf("%v %q %v", resp, body, err)
	}
}

func TestServersOwnFailureIsPassedOn(t *testing.T) {
	a := newStandIn(t, "s1", func(s *standIn, w http.ResponseWriter, r *http.Request) {
		s.run(w, r)
		w.WriteHeader(http.StatusInternalServerError)
	})
	e := newEntry(t, route(deployment.Unrepeatable, longEnough), a)
	if resp, _, err := e.ask(t, nil); err != nil || resp.StatusCode != http.StatusInternalServerError || resp.Header.Get("Signature") == "" {
		t.Errorf("%v %v", resp, err)
	}
}

func TestServersOwnFailureIsPassedOnWhereNoOtherCanBeAsked(t *testing.T) {
	a := newStandIn(t, "s1", func(s *standIn, w http.ResponseWriter, r *http.Request) {
		s.run(w, r)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte("why"))
	})
	e := newEntry(t, route(deployment.Repeatable, longEnough), a)
	if resp, body, err := e.ask(t, nil); err != nil || resp.StatusCode != http.StatusInternalServerError || body != "why" {
		t.Errorf("%v %q %v", resp, body, err)
	}
}

func TestTimeoutIsAnsweredInTime(t *testing.T) {
	e := newEntry(t, route(deployment.Unrepeatable, 400*time.Millisecond), newStandIn(t, "s1", mute))
	started := time.Now()
	resp, _, err := e.ask(t, nil)
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("%v %v", resp, err)
	}
	if took := time.Since(started); took > 900*time.Millisecond {
		t.Errorf("answered after %v", took)
	}
}

func TestStreamIsPassedOnWhole(t *testing.T) {
	e := newEntry(t, route(deployment.Stream, longEnough), newStandIn(t, "s1", events(5, 0)))
	if resp, body, err := e.ask(t, nil); err != nil || body != wholeStream(5) || resp.Header.Get("Signature") == "" {
		t.Errorf("%v %q %v", resp, body, err)
	}
}

func TestAnotherServerGoesOnWithAStream(t *testing.T) {
	a, b := newStandIn(t, "s1", events(6, 2)), newStandIn(t, "s2", events(6, 2))
	e := newEntry(t, route(deployment.Stream, longEnough), a, b)
	// Both break off after two events; the second goes on where the first ended.
	b.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { events(6, 0)(b, w, r) })
	a.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			events(6, 2)(a, w, r)
			return
		}
		events(6, 0)(a, w, r)
	})
	for range 3 {
		if _, body, err := e.ask(t, nil); err != nil || body != wholeStream(6) {
			t.Errorf("%q %v", body, err)
		}
	}
}

func TestStreamThatNoServerCompletesIsBroken(t *testing.T) {
	e := newEntry(t, route(deployment.Stream, longEnough), newStandIn(t, "s1", events(6, 3)))
	_, body, err := e.ask(t, nil)
	if err == nil {
		t.Error("a stream that broke off looks complete")
	}
	if body != wholeStream(3) {
		t.Errorf("the caller got %q", body)
	}
}

func TestServerIsToldWhenTheCallerLeaves(t *testing.T) {
	left := make(chan struct{})
	s := newStandIn(t, "s1", func(s *standIn, w http.ResponseWriter, r *http.Request) {
		s.run(w, r)
		<-r.Context().Done()
		close(left)
	})
	e := newEntry(t, route(deployment.Repeatable, longEnough), s)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, _, err := e.ask(t, func(r *http.Request) { *r = *r.WithContext(ctx) })
	if err == nil {
		t.Fatal("the caller did not leave")
	}
	select {
	case <-left:
	case <-time.After(longEnough):
		t.Error("the server works on")
	}
}

func TestRequestsAreRefusedWhileTheProcessStops(t *testing.T) {
	e := newEntry(t, route(deployment.Repeatable, longEnough), newStandIn(t, "s1", plain))
	e.handler.StopKeeping()
	if resp, _, err := e.ask(t, nil); err != nil || !resp.Close {
		t.Errorf("the connection is kept: %v %v", resp, err)
	}
	if err := e.handler.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if resp, _, err := e.ask(t, nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%v %v", resp, err)
	}
}

func TestEntryWithoutAConfigurationDeniesNothing(t *testing.T) {
	e := newEntry(t, route(deployment.Repeatable, longEnough))
	e.handler.view().Config = nil
	resp, _, err := e.ask(t, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("%v %v", resp, err)
	}
}

func TestRequestWithoutAServerIsRefusedAtOnce(t *testing.T) {
	e := newEntry(t, route(deployment.Stream, longEnough))
	started := time.Now()
	resp, _, err := e.ask(t, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("%v %v", resp, err)
	}
	if took := time.Since(started); took > longEnough/2 {
		t.Errorf("refused after %v", took)
	}
}
