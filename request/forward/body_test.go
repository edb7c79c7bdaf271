package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/process/deployment"
)

// slowBody sends a request and then its body in parts, with pauses, as long as that
// works. It returns the response and when it came.
func (e *testEntry) slowBody(t *testing.T, encoding string, parts []string, pause time.Duration) (*http.Response, time.Duration, error) {
	t.Helper()
	c, err := net.Dial("tcp", e.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	started := time.Now()
	_ = c.SetDeadline(started.Add(testTimeout))
	_, _ = fmt.Fprintf(c, "POST /p/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: slow\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", testKey, encoding)
	go func() {
		for _, part := range parts {
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, 0, err
	}
	took := time.Since(started)
	_, err = io.ReadAll(resp.Body)
	return resp, took, err
}

func TestBodyThatIsNotCompleteAtTheDeadlineIsRefusedThen(t *testing.T) {
	const timeout = 400 * time.Millisecond
	for name, c := range map[string]struct {
		encoding string
		parts    []string
	}{
		"length": {"Content-Length: 40", []string{"half"}},
		"chunks": {"Transfer-Encoding: chunked", []string{"4\r\nhalf\r\n"}},
	} {
		s := newFakeServer(t, "s1", echo)
		e := newTestEntry(t, testConfig(deployment.Unrepeatable, timeout), s)
		resp, took, err := e.slowBody(t, c.encoding, c.parts, 0)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Errorf("%s: got response %v, error %v", name, resp, err)
		}
		if took > timeout+200*time.Millisecond {
			t.Errorf("%s: response after %v", name, took)
		}
		if n := len(s.received); n != 0 {
			t.Errorf("%s: the server received %d requests", name, n)
		}
	}
}

func TestRefusalIsSentToACallerWhoseBodyStops(t *testing.T) {
	config := testConfig(deployment.Unrepeatable, testTimeout)
	config.Routes[0].Prefix = "/other/"
	e := newTestEntry(t, config, newFakeServer(t, "s1", echo))
	for _, draining := range []bool{false, true} {
		want := http.StatusNotFound
		if draining {
			want = http.StatusServiceUnavailable
			e.handler.StartDrain()
		}
		resp, took, err := e.slowBody(t, "Content-Length: 40", []string{"half"}, 0)
		if err != nil || resp.StatusCode != want || !resp.Close || took > testTimeout/2 {
			t.Errorf("draining %v: got response %v after %v, error %v", draining, resp, took, err)
		}
	}
}

func TestSlowBodyDoesNotEndTheRequestAfterwards(t *testing.T) {
	s := newFakeServer(t, "s1", func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		time.Sleep(700 * time.Millisecond)
		echo(s, w, r)
	})
	e := newTestEntry(t, testConfig(deployment.Unrepeatable, time.Second), s)
	resp, _, err := e.slowBody(t, "Content-Length: 4", []string{"bo", "dy"}, 200*time.Millisecond)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got response %v, error %v", resp, err)
	}
}

func TestSlowCallersDoNotEjectAServer(t *testing.T) {
	s := newFakeServer(t, "s1", echo)
	e := newTestEntry(t, testConfig(deployment.Unrepeatable, 300*time.Millisecond), s)
	for range 3 {
		resp, _, err := e.slowBody(t, "Content-Length: 4", []string{"bo", "dy"}, 350*time.Millisecond)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("got response %v, error %v", resp, err)
		}
	}
	if resp, _, err := e.send(t, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the next request got response %v, error %v", resp, err)
	}
}

func TestCallersWithoutTimeLeftDoNotEjectAServer(t *testing.T) {
	s := newFakeServer(t, "s1", echo)
	e := newTestEntry(t, testConfig(deployment.Unrepeatable, testTimeout), s)
	for _, left := range []string{"1", "10", "40"} {
		resp, _, err := e.send(t, func(r *http.Request) { r.Header.Set("Deadline-Ms", left) })
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("with %s ms left: got response %v, error %v", left, resp, err)
		}
	}
	if resp, _, err := e.send(t, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the next request got response %v, error %v", resp, err)
	}
}
