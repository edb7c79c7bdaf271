package forward

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/process/deployment"
)

// respondUnframed sends a signed response with neither a length nor chunks, which ends with
// its connection. With ends, the server closes its address before that.
func respondUnframed(contentType, body string, ends bool) respondFunc {
	return func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		s.startResponse(w, r)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: signed-by-%s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n%s",
			r.Header.Get("Request-Id"), s.id, contentType, body)
		if ends {
			_ = s.Listener.Close()
		}
	}
}

func TestUnframedStreamThatEndsAfterAnEventIsComplete(t *testing.T) {
	s1 := newFakeServer(t, "s1", respondUnframed("text/event-stream", expectedStream(3), false))
	s2 := newFakeServer(t, "s2", respondUnframed("text/event-stream", expectedStream(3), false))
	e := newTestEntry(t, testConfig(deployment.Stream, testTimeout), s1, s2)
	resp, body, err := e.send(t, nil)
	if err != nil || resp.StatusCode != http.StatusOK || body != expectedStream(3) {
		t.Fatalf("got response %v, body %q, error %v", resp, body, err)
	}
	if n := totalRuns(s1, s2); n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
}

func TestUnframedStreamThatIsBrokenOffIsResumed(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		ends bool
	}{
		"inside an event":              {expectedStream(2) + "id: 3\nda", false},
		"before the first event":       {"", false},
		"after an event by a crash":    {expectedStream(2), true},
		"before the first, by a crash": {"", true},
	} {
		t.Run(name, func(t *testing.T) {
			s1 := newFakeServer(t, "s1", respondUnframed("text/event-stream", c.body, c.ends))
			s2 := newFakeServer(t, "s2", streamEvents(4, 0))
			e := newTestEntry(t, testConfig(deployment.Stream, testTimeout), s1, s2)
			for range 3 {
				if resp, body, err := e.send(t, nil); err != nil || resp.StatusCode != http.StatusOK || body != expectedStream(4) {
					t.Fatalf("got response %v, body %q, error %v", resp, body, err)
				}
			}
		})
	}
}

func TestUnframedAnswerOfAServerThatEndedIsNotForwarded(t *testing.T) {
	for name, c := range map[string]struct {
		ends bool
		want string
	}{"alive": {false, "from s1"}, "ended": {true, "body from s2"}} {
		t.Run(name, func(t *testing.T) {
			s1 := newFakeServer(t, "s1", respondUnframed("text/plain", "from s1", c.ends))
			s2 := newFakeServer(t, "s2", echo)
			e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), s1, s2)
			got := map[string]bool{}
			for range 4 {
				_, body, err := e.send(t, nil)
				if err != nil || body != "from s1" && body != "body from s2" || c.ends && strings.HasPrefix(body, "from") {
					t.Fatalf("got body %q, error %v", body, err)
				}
				got[body] = true
			}
			if !got[c.want] {
				t.Errorf("got %v, want %q among them", got, c.want)
			}
		})
	}
}

func TestUnframedAnswerIsForwardedIfTheCheckOfItsServerIsLost(t *testing.T) {
	s1 := newFakeServer(t, "s1", respondUnframed("text/plain", "from s1", false))
	e := newTestEntry(t, testConfig(deployment.Unrepeatable, testTimeout), s1)
	connections := 0
	e.handler.client = backend.New(backend.Config{Scope: tally.NoopScope, Control: func(string, string, syscall.RawConn) error {
		if connections++; connections > 1 {
			return os.ErrDeadlineExceeded
		}
		return nil
	}})
	if resp, body, err := e.send(t, nil); err != nil || body != "from s1" {
		t.Errorf("got response %v, body %q, error %v", resp, body, err)
	}
}
