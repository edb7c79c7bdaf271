package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// uploadBytes is more than the socket buffers hold.
const uploadBytes = 32 << 20

// answerEarly sends a request with a body of a length to a server that reads only its head, writes
// a response with the given fields and ends the connection. It returns the body of the response.
func answerEarly(t *testing.T, length int, fields, body string, end func(*net.TCPConn)) (string, error) {
	t.Helper()
	address, _ := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n%s", req.Header.Get("Request-Id"), fields, body)
		end(c.(*net.TCPConn))
	})
	req := newRequest("1")
	req.Body, req.HeadDeadline = make([]byte, length), time.Now().Add(testHangLimit)
	ex, err := newClient().Do(t.Context(), address, req)
	if err != nil {
		return "", err
	}
	defer ex.Close()
	got, err := io.ReadAll(ex)
	return string(got), err
}

func resetAfter(d time.Duration) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		time.Sleep(d)
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// The operating system may report the reset to the goroutine that writes the request only.
func TestUnframedResponseThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			for i := range 10 {
				if got, err := answerEarly(t, uploadBytes, "", "part", resetAfter(delay)); err == nil {
					t.Errorf("try %d: %q was read as a complete body", i, got)
				}
			}
		})
	}
}

// A server that has answered need not read the rest of the request.
func TestUnframedResponseThatIsClosedDuringTheUploadIsComplete(t *testing.T) {
	for name, afterClose := range map[string]func(*net.TCPConn){
		"and left open":  func(*net.TCPConn) { time.Sleep(time.Second) },
		"and read on":    func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"and then reset": resetAfter(0),
		"and reset late": resetAfter(20 * time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i := range 10 {
				started := time.Now()
				got, err := answerEarly(t, uploadBytes, "", "whole", func(c *net.TCPConn) {
					_ = c.CloseWrite()
					afterClose(c)
				})
				if err != nil || got != "whole" {
					t.Errorf("try %d: got %q, %v", i, got, err)
				}
				if took := time.Since(started); took > testHangLimit/2 {
					t.Errorf("try %d: the end of the response was found after %v", i, took)
				}
			}
		})
	}
}

func TestResponseThatIsResetIsNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		length       int
		fields, body string
	}{
		"unframed, short request": {0, "", "part"},
		"length, short request":   {0, "Content-Length: 5\r\n", "part"},
		"chunks, short request":   {0, "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n"},
		"length, upload":          {uploadBytes, "Content-Length: 5\r\n", "part"},
		"chunks, upload":          {uploadBytes, "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i := range 10 {
				if got, err := answerEarly(t, c.length, c.fields, c.body, resetAfter(time.Millisecond)); err == nil {
					t.Errorf("try %d: %q was read as a complete body", i, got)
				}
			}
		})
	}
}
