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

const testTimeout = 5 * time.Second

func TestResponseIsForwardedWithItsSignature(t *testing.T) {
	s := newFakeServer(t, "s1", echo)
	e := newTestEntry(t, testConfig(deployment.Unrepeatable, testTimeout), s)
	resp, body, err := e.send(t, func(r *http.Request) { r.Header.Set("Tenant", "forged") })
	if err != nil || resp.StatusCode != http.StatusOK || body != "body from s1" || resp.Header.Get("Signature") != "signed-by-s1" {
		t.Fatalf("got response %v, body %q, error %v", resp, body, err)
	}
	got := s.received[0]
	if got.RequestURI != "/p/x?q=1" || got.Host != "h.example" || got.Header.Get("Tenant") != "acc" || got.Header.Get("Authorization") != "" {
		t.Errorf("the server received %s %s %v", got.Host, got.RequestURI, got.Header)
	}
	if remaining, _ := strconv.Atoi(got.Header.Get("Deadline-Ms")); remaining <= 0 || remaining > 5000 {
		t.Errorf("the server's deadline is %d ms, want 1 to 5000", remaining)
	}
}

func TestDisallowedRequestsAreRejected(t *testing.T) {
	s := newFakeServer(t, "s1", echo)
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), s)
	for name, c := range map[string]struct {
		modify func(r *http.Request)
		want   int
	}{
		"host":  {func(r *http.Request) { r.Host = "other.example" }, http.StatusNotFound},
		"path":  {func(r *http.Request) { r.URL.Path = "/q/" }, http.StatusNotFound},
		"key":   {func(r *http.Request) { r.Header.Set("Authorization", "Bearer nobody") }, http.StatusUnauthorized},
		"no ID": {func(r *http.Request) { r.Header.Del("Request-Id") }, http.StatusBadRequest},
	} {
		if resp, _, err := e.send(t, c.modify); err != nil || resp.StatusCode != c.want {
			t.Errorf("%s: got response %v, error %v, want status %d", name, resp, err, c.want)
		}
	}
	if s.runCount() != 0 {
		t.Error("a server ran a disallowed request")
	}
}

func TestUnrepeatableRequestRunsAtMostOnce(t *testing.T) {
	for name, respond := range map[string]respondFunc{"crash": crash, "mute": hang} {
		a, b := newFakeServer(t, "s1", respond), newFakeServer(t, "s2", respond)
		e := newTestEntry(t, testConfig(deployment.Unrepeatable, 300*time.Millisecond), a, b)
		resp, _, err := e.send(t, nil)
		if err != nil || resp.StatusCode < 500 || resp.StatusCode == http.StatusServiceUnavailable {
			t.Errorf("%s: got response %v, error %v: an unknown outcome must not be reported as not run", name, resp, err)
		}
		if n := totalRuns(a, b); n != 1 {
			t.Errorf("%s: the request ran %d times, want 1", name, n)
		}
	}
}

func TestRefusalByAllServersReturns503(t *testing.T) {
	a, b := newFakeServer(t, "s1", refuseBusy), newFakeServer(t, "s2", refuseBusy)
	e := newTestEntry(t, testConfig(deployment.Unrepeatable, testTimeout), a, b)
	resp, _, err := e.send(t, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got response %v, error %v", resp, err)
	}
}

func TestRefusedRequestIsSentToAnotherServer(t *testing.T) {
	for name, kind := range map[string]deployment.Repeatability{"unrepeatable": deployment.Unrepeatable, "repeatable": deployment.Repeatable} {
		a, b := newFakeServer(t, "s1", refuseBusy), newFakeServer(t, "s2", echo)
		e := newTestEntry(t, testConfig(kind, testTimeout), a, b)
		for range 4 {
			if resp, body, err := e.send(t, nil); err != nil || body != "body from s2" {
				t.Errorf("%s: got response %v, body %q, error %v", name, resp, body, err)
			}
		}
	}
}

func TestRepeatableRequestIsRetriedAfterFailure(t *testing.T) {
	for name, respond := range map[string]respondFunc{"crash": crash, "mute": hang} {
		a, b := newFakeServer(t, "s1", respond), newFakeServer(t, "s2", echo)
		e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), a, b)
		for range 3 {
			if resp, body, err := e.send(t, nil); err != nil || body != "body from s2" {
				t.Errorf("%s: got response %v, body %q, error %v", name, resp, body, err)
			}
		}
	}
}

func TestUnsignedSuccessIsNotForwarded(t *testing.T) {
	a := newFakeServer(t, "s1", func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		_, _ = w.Write([]byte("forged"))
	})
	e := newTestEntry(t, testConfig(deployment.Unrepeatable, testTimeout), a)
	if resp, body, err := e.send(t, nil); err != nil || resp.StatusCode < 500 || strings.Contains(body, "forged") {
		t.Errorf("got response %v, body %q, error %v", resp, body, err)
	}
}

func TestServerErrorIsForwarded(t *testing.T) {
	a := newFakeServer(t, "s1", func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		s.startResponse(w, r)
		w.WriteHeader(http.StatusInternalServerError)
	})
	e := newTestEntry(t, testConfig(deployment.Unrepeatable, testTimeout), a)
	if resp, _, err := e.send(t, nil); err != nil || resp.StatusCode != http.StatusInternalServerError || resp.Header.Get("Signature") == "" {
		t.Errorf("got response %v, error %v", resp, err)
	}
}

func TestServerErrorIsForwardedWhenNoOtherServerIsAvailable(t *testing.T) {
	a := newFakeServer(t, "s1", func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		s.startResponse(w, r)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte("why"))
	})
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), a)
	if resp, body, err := e.send(t, nil); err != nil || resp.StatusCode != http.StatusInternalServerError || body != "why" {
		t.Errorf("got response %v, body %q, error %v", resp, body, err)
	}
}

func TestTimeoutIsAnsweredBeforeTheDeadline(t *testing.T) {
	e := newTestEntry(t, testConfig(deployment.Unrepeatable, 400*time.Millisecond), newFakeServer(t, "s1", hang))
	started := time.Now()
	resp, _, err := e.send(t, nil)
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got response %v, error %v", resp, err)
	}
	if took := time.Since(started); took > 900*time.Millisecond {
		t.Errorf("response after %v, want at most 900ms", took)
	}
}

func TestStreamIsForwardedCompletely(t *testing.T) {
	e := newTestEntry(t, testConfig(deployment.Stream, testTimeout), newFakeServer(t, "s1", streamEvents(5, 0)))
	if resp, body, err := e.send(t, nil); err != nil || body != expectedStream(5) || resp.Header.Get("Signature") == "" {
		t.Errorf("got response %v, body %q, error %v", resp, body, err)
	}
}

func TestBrokenStreamIsResumedOnAnotherServer(t *testing.T) {
	a, b := newFakeServer(t, "s1", streamEvents(6, 2)), newFakeServer(t, "s2", streamEvents(6, 2))
	e := newTestEntry(t, testConfig(deployment.Stream, testTimeout), a, b)
	// s1 truncates a new stream after two events and completes a resumed one; s2
	// completes every stream.
	b.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { streamEvents(6, 0)(b, w, r) })
	a.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			streamEvents(6, 2)(a, w, r)
			return
		}
		streamEvents(6, 0)(a, w, r)
	})
	for range 3 {
		if _, body, err := e.send(t, nil); err != nil || body != expectedStream(6) {
			t.Errorf("got body %q, error %v", body, err)
		}
	}
}

func TestIncompleteStreamAbortsTheConnection(t *testing.T) {
	e := newTestEntry(t, testConfig(deployment.Stream, testTimeout), newFakeServer(t, "s1", streamEvents(6, 3)))
	_, body, err := e.send(t, nil)
	if err == nil {
		t.Error("a truncated stream ended without an error")
	}
	if body != expectedStream(3) {
		t.Errorf("the caller received %q", body)
	}
}

func TestServerRequestIsCanceledWhenTheCallerLeaves(t *testing.T) {
	canceled := make(chan struct{})
	s := newFakeServer(t, "s1", func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		s.startResponse(w, r)
		<-r.Context().Done()
		close(canceled)
	})
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), s)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, _, err := e.send(t, func(r *http.Request) { *r = *r.WithContext(ctx) })
	if err == nil {
		t.Fatal("the request ended without an error although its context was canceled")
	}
	select {
	case <-canceled:
	case <-time.After(testTimeout):
		t.Error("the request at the server was not canceled")
	}
}

func TestRequestsAreRefusedWhileDraining(t *testing.T) {
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), newFakeServer(t, "s1", echo))
	e.handler.DisableKeepAlives()
	if resp, _, err := e.send(t, nil); err != nil || !resp.Close {
		t.Errorf("the connection is kept open: %v %v", resp, err)
	}
	if err := e.handler.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if resp, _, err := e.send(t, nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got response %v, error %v", resp, err)
	}
}

func TestRequestsWithoutConfigurationReturn503(t *testing.T) {
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout))
	e.handler.View().Config = nil
	resp, _, err := e.send(t, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got response %v, error %v", resp, err)
	}
}

func TestRequestWithoutServersIsRefusedAtOnce(t *testing.T) {
	e := newTestEntry(t, testConfig(deployment.Stream, testTimeout))
	started := time.Now()
	resp, _, err := e.send(t, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got response %v, error %v", resp, err)
	}
	if took := time.Since(started); took > testTimeout/2 {
		t.Errorf("refused after %v", took)
	}
}
