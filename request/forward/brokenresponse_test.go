package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
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

// responseKind is a kind of request and the response that its server would give.
type responseKind struct {
	kind              deployment.Repeatability
	contentType, body string
	long              bool
}

var responseKinds = map[string]responseKind{
	"repeatable":   {deployment.Repeatable, "text/plain", "the whole body", false},
	"unrepeatable": {deployment.Unrepeatable, "text/plain", "the whole body", false},
	"upload":       {deployment.Unrepeatable, "text/plain", "the whole body", true},
	"stream":       {deployment.Stream, "text/event-stream", expectedStream(4), false},
	"long stream":  {deployment.Stream, "text/event-stream", expectedStream(4), true},
}

// sendTo sends a request of a kind to an entry with one server, whose response is the template.
// In it, ID, TYPE, LENGTH, PART and WHOLE stand for the request's ID, the type, the length, the
// first half and the whole of the body.
func (k responseKind) sendTo(t *testing.T, template string) (*http.Response, string, error) {
	t.Helper()
	s := newRawServer(t, "s1", func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		text := strings.NewReplacer("ID", r.Header.Get(platform.HeaderRequestID), "TYPE", k.contentType, "LENGTH", fmt.Sprint(len(k.body)),
			"PART", k.body[:len(k.body)/2], "WHOLE", k.body).Replace(template)
		_, _ = io.WriteString(c, text) // in one packet
	})
	e := newTestEntry(t, testConfig(k.kind, testTimeout), s)
	defer e.Close()
	for range maxUnreached {
		resp, body, err := e.send(t, func(r *http.Request) {
			if k.long {
				withLongBody(r)
			}
		})
		switch runs := s.runCount(); {
		case runs > 1:
			t.Errorf("the server got %d requests", runs)
		case runs == 0 && err == nil && resp.StatusCode == http.StatusServiceUnavailable:
			continue // the entry had no slot in time, and did not send the request
		}
		return resp, body, err
	}
	t.Errorf("%d requests did not reach the server", maxUnreached)
	return nil, "", io.ErrNoProgress
}

// maxUnreached bounds the requests that do not reach the server.
const maxUnreached = 10

const (
	signedFields  = "Request-Id: ID\r\nSignature: s\r\nContent-Type: TYPE\r\n"
	signedHead    = "HTTP/1.1 200 OK\r\n" + signedFields
	refusalFields = "Request-Id: ID\r\nNot-Executed: 1\r\n"
)

// spoiltHeads are responses whose heads contain a line that is none, or that are no answers.
var spoiltHeads = []string{
	signedHead + "Content-Length : LENGTH\r\n\r\nPART",
	signedHead + "Content Length: LENGTH\r\n\r\nPART",
	signedHead + "X-A: b\r\n Content-Length: LENGTH\r\n\r\nPART",
	signedHead + "Content-Length LENGTH\r\n\r\nPART",
	signedHead + "Content-Length: -0\r\n\r\nWHOLE",
	signedHead + "Content-Length: +LENGTH\r\n\r\nWHOLE",
	signedHead + "Content-Length: 0\r\n\r\nWHOLE",
	signedHead + "Content-Length: 10\r\n\r\nWHOLE",
	signedHead + "Transfer-Encoding : chunked\r\n\r\n4\r\nPART\r\n0\r\n\r\n",
	signedHead + "Transfer Encoding: chunked\r\n\r\n4\r\nPART\r\n0\r\n\r\n",
	signedHead + "X-A: b\r\n\tTransfer-Encoding: chunked\r\n\r\n4\r\nPART\r\n0\r\n\r\n",
	signedHead + "A name: b\r\nContent-Length: LENGTH\r\n\r\nWHOLE",
	signedHead + "A\x01name: b\r\nContent-Length: LENGTH\r\n\r\nWHOLE",
	signedHead + "X-A: \x00\r\nContent-Length: LENGTH\r\n\r\nWHOLE",
	signedHead + "X-A: b\r\r\nContent-Length: LENGTH\r\n\r\nWHOLE",
	signedHead + "no field\r\nContent-Length: LENGTH\r\n\r\nWHOLE",
	signedHead + ": b\r\nContent-Length: LENGTH\r\n\r\nWHOLE",
	"HTTP/1.1 200 OK\r\n folded\r\n" + signedFields + "Content-Length: LENGTH\r\n\r\nWHOLE",
	"HTTP/1.1 000 OK\r\n" + signedFields + "Content-Length: LENGTH\r\n\r\nWHOLE",
	"HTTP/1.1 99 OK\r\n" + signedFields + "Content-Length: LENGTH\r\n\r\nWHOLE",
	"HTTP/1.1 600 OK\r\n" + signedFields + "Content-Length: LENGTH\r\n\r\nWHOLE",
	"HTTP/1.1 2000 OK\r\n" + signedFields + "Content-Length: LENGTH\r\n\r\nWHOLE",
	"HTTP/1.1 101 Switching Protocols\r\n" + signedFields + "Content-Length: LENGTH\r\n\r\nWHOLE",
	"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSignature:\r\nContent-Type: TYPE\r\nContent-Length: LENGTH\r\n\r\nWHOLE",
	"HTTP/1.1 +200 OK\r\n" + signedFields + "Content-Length: LENGTH\r\n\r\nWHOLE",
	"HTTP/1.1 0200 OK\r\n" + signedFields + "Content-Length: LENGTH\r\n\r\nWHOLE",
	"HTTP/1.12 200 OK\r\n" + signedFields + "Content-Length: LENGTH\r\n\r\nWHOLE",
	"HTTP/1.1 200 O\x01K\r\n" + signedFields + "Content-Length: LENGTH\r\n\r\nWHOLE",
	"HTTP/1.1 503 Busy\r\n" + refusalFields + "A name: b\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 421 Misdirected\r\n" + refusalFields + "Content-Length : 0\r\n\r\n",
}

// The server got the request, so that its caller gets neither a success nor a promise that the
// request was not run.
func TestResponseWithASpoiltHeadIsAnsweredAsBadGateway(t *testing.T) {
	for name, kind := range responseKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var cases sync.WaitGroup
			for _, template := range spoiltHeads {
				cases.Go(func() {
					resp, body, err := kind.sendTo(t, template)
					if err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get(platform.HeaderNotRun) != "" {
						t.Errorf("%.120q: response %v, body %q, error %v", template, resp, body, err)
					}
				})
			}
			cases.Wait()
		})
	}
}
