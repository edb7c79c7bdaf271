package backend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// refusalHeaders are those of an earlier refusal that must not be applied to the next
// request.
const refusalHeaders = "Not-Executed: 1\r\nRetry-After: 30\r\nServer-Leaving: 1\r\nServer-Limit: 0.1\r\n"

// refusal is a response that refuses a request. An empty ID is not echoed.
func refusal(status int, id string) string {
	echo := ""
	if id != "" {
		echo = "Request-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Refused\r\n%s%sContent-Length: 4\r\n\r\nbusy", status, echo, refusalHeaders)
}

// answerToSecond is what a server writes for the second request of a connection: parts
// before and after its own answer, which may be missing.
type answerToSecond struct {
	before, after string
	missing       bool
	chunked       bool
}

// sendTwice refuses the first request of the first connection and runs the second one, and
// answers on other connections. It returns the outcome of a second request with the given ID.
func sendTwice(t *testing.T, status int, second string, a answerToSecond) (ex *Exchange, body string, err error) {
	t.Helper()
	served := make(chan struct{}, 2)
	address, _ := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		id, _, err := readRequest(r)
		if err != nil {
			return
		}
		if len(served) > 0 {
			_, _ = io.WriteString(c, response(id, "right"))
			return
		}
		served <- struct{}{}
		_, _ = io.WriteString(c, refusal(status, id))
		if id, _, err = readRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, a.before)
		switch {
		case a.missing:
			_, _ = r.ReadByte()
			return
		case a.chunked:
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nrig\r\n%s2\r\nht\r\n0\r\n\r\n", id, a.after)
		default:
			_, _ = io.WriteString(c, response(id, "right")+a.after)
		}
		_, _ = r.ReadByte()
	})
	c := newClient()
	first, err := c.Do(t.Context(), address, newRequest("1"))
	if err != nil || first.Status != status {
		t.Fatalf("first request: %v, %v", first, err)
	}
	_, _ = io.ReadAll(first)
	first.Close()
	req := newRequest(second)
	req.HeadDeadline = time.Now().Add(300 * time.Millisecond)
	ex, err = c.Do(t.Context(), address, req)
	if err != nil {
		return nil, "", err
	}
	t.Cleanup(ex.Close)
	ex.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	data, err := io.ReadAll(ex)
	return ex, string(data), err
}

// A server that writes an earlier refusal once more on a kept connection must not make the
// next request, which it runs, look like one that was not run.
func TestRepeatedRefusalIsNotTheResponseToTheNextRequest(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusTooManyRequests} {
		for name, c := range map[string]struct {
			second string
			answer answerToSecond
			// fails is set if the response can't be read.
			fails bool
		}{
			"before the answer":              {"2", answerToSecond{before: refusal(status, "1")}, false},
			"twice before the answer":        {"2", answerToSecond{before: refusal(status, "1") + refusal(status, "1")}, false},
			"without an ID":                  {"2", answerToSecond{before: refusal(status, "")}, false},
			"without an answer":              {"2", answerToSecond{before: refusal(status, "1"), missing: true}, true},
			"without an ID or an answer":     {"2", answerToSecond{before: refusal(status, ""), missing: true}, true},
			"within the answer":              {"2", answerToSecond{after: refusal(status, "1"), chunked: true}, true},
			"after the answer":               {"2", answerToSecond{after: refusal(status, "1")}, false},
			"before the answer, the same ID": {"1", answerToSecond{before: refusal(status, "1")}, false},
			"without an answer, the same ID": {"1", answerToSecond{before: refusal(status, "1"), missing: true}, false},
			"after the answer, and same ID":  {"1", answerToSecond{after: refusal(status, "1")}, false},
			"a refusal of neither request":   {"2", answerToSecond{before: refusal(status, "0")}, false},
		} {
			t.Run(fmt.Sprintf("%d %s", status, name), func(t *testing.T) {
				t.Parallel()
				ex, body, err := sendTwice(t, status, c.second, c.answer)
				if ex != nil && (ex.Status != http.StatusOK || ex.Header.Get("Not-Executed")+ex.Header.Get("Retry-After")+ex.Header.Get("Server-Leaving")+ex.Header.Get("Server-Limit") != "") {
					t.Errorf("the response has status %d and header %v", ex.Status, ex.Header)
				}
				var failure *Error
				if errors.As(err, &failure) && failure.Sent != MaybeSent {
					t.Errorf("the error says that the request was not sent: %v", err)
				}
				if failed := err != nil; failed != c.fails || !failed && body != "right" {
					t.Errorf("body %q, error %v", body, err)
				}
			})
		}
	}
}

// A refusal that is written once more before the next request is sent must keep the
// connection from being used.
func TestConnectionWithRepeatedRefusalIsNotReused(t *testing.T) {
	written := make(chan struct{})
	address, conns := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			if id != "1" {
				_, _ = io.WriteString(c, response(id, "right"))
				continue
			}
			_, _ = io.WriteString(c, refusal(http.StatusServiceUnavailable, id))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, refusal(http.StatusServiceUnavailable, id))
			close(written)
		}
	})
	c := newClient()
	if _, err := get(t, c, address, "1"); err != nil {
		t.Fatal(err)
	}
	<-written
	time.Sleep(20 * time.Millisecond) // time for the bytes to arrive
	if body, err := get(t, c, address, "2"); err != nil || body != "right" {
		t.Errorf("got %q, %v", body, err)
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections opened, want 2", n)
	}
}

func TestConnectionIsNotReusedAfterManyRefusals(t *testing.T) {
	address, conns := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, refusal(http.StatusServiceUnavailable, id))
		}
	})
	c := newClient()
	for i := range 2 * maxRefused {
		if _, err := get(t, c, address, fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections opened for %d refusals, want 2", n, 2*maxRefused)
	}
}
