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
	"github.com/waxwingpost/waxwingpost/request/placement"
)

// halfClose sends a request, closes the write side of the connection after delay and
// returns the response.
func (e *testEntry) halfClose(t *testing.T, delay time.Duration) (*http.Response, error) {
	t.Helper()
	c, err := net.Dial("tcp", e.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = fmt.Fprintf(c, "POST /p/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: half\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody", testKey)
	time.Sleep(delay)
	_ = c.(*net.TCPConn).CloseWrite()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.ReadAll(resp.Body)
	return resp, err
}

func TestCallerThatClosesItsWriteSideGetsNoEmptySuccess(t *testing.T) {
	for name, c := range map[string]struct {
		kind    deployment.Repeatability
		respond respondFunc
	}{
		"plain at work":  {deployment.Unrepeatable, hang},
		"stream at work": {deployment.Stream, hang},
		"plain waiting":  {deployment.Unrepeatable, nil},
		"stream waiting": {deployment.Stream, nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeServer(t, "s1", c.respond)
			e := newTestEntry(t, testConfig(c.kind, testTimeout), s)
			if c.respond == nil {
				fillSlots(e)
			}
			resp, err := e.halfClose(t, 30*time.Millisecond)
			if err == nil {
				t.Errorf("the caller received status %d, signature %q", resp.StatusCode, resp.Header.Get("Signature"))
			}
		})
	}
}

// fillSlots takes all slots, so that requests wait.
func fillSlots(e *testEntry) {
	now := time.Now()
	sc := e.handler.scheduler
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for sc.service("svc", now).pool.TryAcquire(now, placement.Request{}) != nil {
	}
}
