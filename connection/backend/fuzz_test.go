package backend

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// scriptedConn is a connection whose peer sends fixed bytes and then closes.
type scriptedConn struct {
	net.Conn
	r io.Reader
}

func (c *scriptedConn) Read(p []byte) (int, error)       { return c.r.Read(p) }
func (c *scriptedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *scriptedConn) Close() error                     { return nil }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// maxFuzzBody is the limit of the bodies that the fuzz target reads, in bytes.
const maxFuzzBody = 4 << 10

// exchangeOver sends a request over a connection and returns its response and whether the
// body is complete. It returns nil if there is none.
func exchangeOver(k *conn, id string) (ex *Exchange, body []byte, complete bool) {
	ex = &Exchange{client: New(Config{Scope: tally.NoopScope}), conn: k, stopCancel: func() bool { return true }}
	req := newRequest(id)
	if ex.roundTrip(req) != nil {
		return nil, nil, false
	}
	body, err := ex.ReadAll(maxFuzzBody)
	return ex, body, err == nil
}

// firstHead matches a head as RFC 9112 defines its lines.
var firstHead = regexp.MustCompile("^HTTP/1\\.[01] [1-5][0-9][0-9]( [\\t\\x20-\\x7e\\x80-\\xff]*)?\\r?\\n([!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[\\t\\x20-\\x7e\\x80-\\xff]*\\r?\\n)*\\r?\\n")

// latin1 returns the bytes as characters, which a regular expression needs to match single
// bytes.
func latin1(data []byte) string {
	chars := make([]rune, len(data))
	for i, b := range data {
		chars[i] = rune(b)
	}
	return string(chars)
}

// FuzzResponse passes a server's bytes to an exchange. It must accept only strict heads, and
// net/http must see the same response.
func FuzzResponse(f *testing.F) {
	const id = "r-1"
	for _, text := range []string{
		response(id, "hello"),
		response("r-0", "late") + response(id, "hello"),
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + response(id, "hello") + "rest",
		"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nTrailer: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\nhello",
		"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n\r\nuntil the end",
		"HTTP/1.1 204 No Content\r\nRequest-Id: r-1\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r-1\r\nContent-Length: 99999999999\r\n\r\n",
		"HTTP/1.0 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\nRequest-Id: r-1\nContent-Length: +2\n\nok",
		"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length : 5\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent Length: 5\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n Content-Length: 5\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\n" + response(id, "hello"),
		"HTTP/1.12 +200 O\x01K\r\nRequest-Id: r-1\r\n\r\nok",
		"HTTP/1.0 200 \nRequest-Id: r-1\nTransfer-Encoding: chunked\n\n000\n\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		// Each read ends after one byte, as with the smallest packets, or after all.
		for _, r := range []io.Reader{bytes.NewReader(data), oneByteReader{bytes.NewReader(data)}} {
			ex, body, complete := exchangeOver(newConn(&scriptedConn{r: r}, "a"), id)
			if ex == nil {
				continue
			}
			if !firstHead.MatchString(latin1(data)) {
				t.Fatal("a spoilt head was accepted")
			}
			if got := ex.Header.Get("Request-Id"); got != id || ex.Status < 200 || ex.Status > 599 {
				t.Fatalf("status %d to request %q was accepted", ex.Status, got)
			}
			if len(body) > maxFuzzBody {
				t.Fatalf("a body of %d bytes was read", len(body))
			}
			if complete {
				requireSameBody(t, data, id, body)
			}
		}
	})
}

// oneByteReader reads one byte at a time.
type oneByteReader struct{ r io.Reader }

func (o oneByteReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return o.r.Read(p[:1])
}

// requireSameBody reports an error if net/http reads another body of the response to a
// request. It makes no statement about responses that net/http refuses.
func requireSameBody(t *testing.T, data []byte, id string, body []byte) {
	t.Helper()
	r := bufio.NewReader(bytes.NewReader(data))
	for range maxSkipped + 8 {
		resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
		if err != nil {
			return
		}
		want, err := io.ReadAll(resp.Body)
		switch {
		case resp.StatusCode < 200:
			continue
		case err != nil:
			return
		case resp.Header.Get("Request-Id") != id:
			continue
		case !bytes.Equal(want, body):
			t.Fatalf("read %q, net/http reads %q", body, want)
		}
		return
	}
}
