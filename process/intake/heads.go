package intake

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/httphead"
)

const (
	// maxHeadBytes bounds the head of a response, and maxHeadLines its lines, interim responses
	// included: in memory, a line takes up to 200 bytes more than were sent.
	maxHeadBytes = 64 << 10
	maxHeadLines = 512
)

var errHeadTooLong = errors.New("response head too long")

// CheckHeads makes a transport fail for responses whose heads are too long, or contain lines that
// net/http accepts although they are no fields. The transport must not be used otherwise any
// more.
func CheckHeads(t *http.Transport) *HeadTransport {
	t.MaxResponseHeaderBytes = maxHeadBytes
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &headConn{Conn: c, active: true}, nil
	}
	return &HeadTransport{t}
}

// HeadTransport is a transport that checks heads.
type HeadTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper. A caller with a trace of its own must call BeginHead
// when it gets a connection.
func (t *HeadTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if httptrace.ContextClientTrace(r.Context()) == nil {
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { BeginHead(info.Conn) }}
		r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	}
	return t.Transport.RoundTrip(r)
}

// BeginHead tells a connection of a transport that checks heads that a request is sent on it.
func BeginHead(c net.Conn) {
	if own, ok := c.(*headConn); ok {
		own.begin()
	}
}

// headConn checks response heads.
type headConn struct {
	net.Conn

	// mu guards the fields below; it is a leaf lock.
	mu sync.Mutex
	// failed is the error of a response that was spoilt; nothing is read after it.
	failed error
	// active is set until the end of a head.
	active bool
	// line is the beginning of the current line, and lines counts the lines of the head and of
	// the interim responses before it.
	line  []byte
	lines int
	// status is that of the current head, 0 before its status line. counted is set if it states
	// a length, and encoded if the body has another framing.
	status           int
	counted, encoded bool
	// left is the number of bytes that are left of a counted body.
	left int64
}

func (c *headConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.line, c.lines, c.status, c.counted, c.encoded = true, nil, 0, 0, false, false
}

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if keep, failed := c.check(p[:n]); failed != nil {
		return keep, failed
	}
	return n, err
}

func (c *headConn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// check follows the response in the bytes that were read. If that is spoilt, it returns an error
// and how many bytes the transport may have, with which the response is not complete.
func (c *headConn) check(p []byte) (keep int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() {
		if err != nil {
			c.failed = err
		}
	}()
	body, err := c.checkHead(p)
	if err != nil {
		// The transport repeats some requests if no byte of a response has come.
		return bytes.IndexByte(p, '\n') + 1, err
	}
	if c.active || !c.counted {
		return 0, nil
	}
	after := body[min(c.left, int64(len(body))):]
	c.left -= int64(len(body) - len(after))
	if !httphead.BeginsResponse(after) {
		return max(len(p)-len(after)-1, 0), httphead.ErrLongerBody
	}
	return 0, nil
}

// checkHead checks the bytes that belong to the head and returns the rest. It is called with mu
// held.
func (c *headConn) checkHead(p []byte) (rest []byte, err error) {
	for c.active && len(p) > 0 {
		line, rest, ended := bytes.Cut(p, []byte{'\n'})
		if !ended || len(c.line) > 0 {
			c.line = append(c.line, line...)
			line = c.line
		}
		switch {
		case len(line) > maxHeadBytes:
			return nil, errHeadTooLong
		case !ended:
			return nil, nil
		}
		if err := c.checkLine(httphead.TrimLineEnd(line)); err != nil {
			return nil, err
		}
		c.line, p = nil, rest
	}
	return p, nil
}

// checkLine checks a line of a head. It is called with mu held.
func (c *headConn) checkLine(line []byte) (err error) {
	if c.lines++; c.lines > maxHeadLines {
		return errHeadTooLong
	}
	switch {
	case c.status == 0:
		_, c.status, err = httphead.ParseStatusLine(line)
	case len(line) > 0:
		err = c.checkField(line)
	default:
		c.endHead()
	}
	return err
}

// checkField checks a field and notes the framing of the body, which net/http checks.
func (c *headConn) checkField(line []byte) error {
	name, value, err := httphead.ParseField(line)
	switch {
	case err != nil:
		return err
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		c.encoded = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		c.counted = true
		c.left, err = httphead.ParseLength([]string{string(value)})
	}
	return err
}

// endHead ends a head. Another one follows an interim response.
func (c *headConn) endHead() {
	c.active = c.status < http.StatusOK && c.status != http.StatusSwitchingProtocols
	if c.encoded || c.status < http.StatusOK || c.status == http.StatusNoContent || c.status == http.StatusNotModified {
		c.counted = false
	}
	c.status, c.encoded = 0, false
}
