package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/deployment"
)

// newRawServer returns a server that passes each request to answer once its head was read, and
// then closes the connection.
func newRawServer(t *testing.T, id string, answer func(c *net.TCPConn, r *http.Request)) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &fakeServer{Server: &httptest.Server{Listener: l}, id: id}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					s.mu.Lock()
					s.executed = append(s.executed, r.Header.Get(platform.HeaderRequestID))
					s.mu.Unlock()
					answer(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return s
}

// longBody is the longest body that the entry takes.
var longBody = bytes.Repeat([]byte{'x'}, defaultBodyBytes)

func withLongBody(r *http.Request) {
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(longBody)), int64(len(longBody))
}

// requireNoPart requires of a request that a server of broken responses got, as its run count
// shows, a whole response of another server, a status that does not say that it was not run, or
// none at all.
func requireNoPart(t *testing.T, ran bool, whole string, resp *http.Response, body string, err error) {
	t.Helper()
	switch {
	case err != nil || !ran:
	case resp.StatusCode < 300 && body != whole:
		t.Errorf("status %d with body %q", resp.StatusCode, body)
	case resp.StatusCode >= 300 && resp.StatusCode != http.StatusBadGateway && resp.StatusCode != http.StatusGatewayTimeout:
		t.Errorf("status %d of a request that a server got", resp.StatusCode)
	}
}

// A part of a response without framing must not reach the caller as a whole one.
func TestUnframedResponseThatIsResetDuringTheUploadIsNotForwarded(t *testing.T) {
	for kind, c := range map[deployment.Repeatability]struct{ contentType, part, whole string }{
		deployment.Repeatable:   {"text/plain", "part", "whole"},
		deployment.Unrepeatable: {"text/plain", "part", "whole"},
		deployment.Stream:       {"text/event-stream", expectedStream(2), expectedStream(4)},
	} {
		for _, delay := range []time.Duration{0, 100 * time.Millisecond} {
			t.Run(fmt.Sprintf("kind %d, reset after %v", kind, delay), func(t *testing.T) {
				t.Parallel()
				broken := newRawServer(t, "s1", func(conn *net.TCPConn, r *http.Request) {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Type: %s\r\n\r\n%s",
						r.Header.Get(platform.HeaderRequestID), c.contentType, c.part)
					time.Sleep(delay)
					_ = conn.SetLinger(0)
				})
				sound := newFakeServer(t, "s2", respondWith(http.StatusOK, c.contentType, c.whole))
				e := newTestEntry(t, testConfig(kind, testTimeout), broken, sound)
				for range 12 {
					before := broken.runCount()
					resp, body, err := e.send(t, withLongBody)
					requireNoPart(t, broken.runCount() > before, c.whole, resp, body, err)
				}
				if broken.runCount() == 0 {
					t.Error("no request reached the server of broken responses")
				}
			})
		}
	}
}

// A server may answer before it has read a long body, without framing, and close its side.
func TestUnframedResponseThatIsClosedDuringTheUploadIsForwarded(t *testing.T) {
	for kind, c := range map[deployment.Repeatability]struct{ contentType, whole string }{
		deployment.Repeatable:   {"text/plain", "whole"},
		deployment.Unrepeatable: {"text/plain", "whole"},
		deployment.Stream:       {"text/event-stream", expectedStream(4)},
	} {
		s := newRawServer(t, "s1", func(conn *net.TCPConn, r *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Type: %s\r\n\r\n%s",
				r.Header.Get(platform.HeaderRequestID), c.contentType, c.whole)
			_ = conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
		})
		e := newTestEntry(t, testConfig(kind, testTimeout), s)
		for i := range 6 {
			if resp, body, err := e.send(t, withLongBody); err != nil || resp.StatusCode != http.StatusOK || body != c.whole {
				t.Errorf("kind %d, try %d: response %v, body %q, error %v", kind, i, resp, body, err)
			}
		}
	}
}
