package intake

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

type phase uint8

const (
	// reading connections wait for a request or have sent a part of its header section.
	reading phase = iota
	// serving connections have a request in progress.
	serving
	// hijacked connections are no longer HTTP.
	hijacked
)

// tooLarge answers a header section over the limit: the request has not run.
const tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

var errClosed = errors.New("closed to stay within the intake limits")

// Conn is a connection whose header sections are accounted for while they are read, before
// net/http parses and stores them.
type Conn struct {
	net.Conn
	guard  *Guard
	header *Holder

	// mu guards the fields below.
	mu    sync.Mutex
	phase phase
	// scan is the state of the section that is being read.
	scan scanner
	// carry is the cost of bytes that were read after the end of a section or of a body. They
	// may belong to the next section.
	carry int64
	// since is when the connection was opened or became idle, and served is set after its
	// first request.
	since  time.Time
	served bool
	closed bool
	// writeDeadline is the write deadline that was set for the response, zero for none.
	writeDeadline time.Time
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.record(p[:n]) {
		// net/http answers nothing to errors of this type.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errClosed}
	}
	return n, err
}

func cost(p []byte) int64 { return int64(len(p) + lineCost*bytes.Count(p, []byte{'\n'})) }

// record accounts for bytes that have arrived. It returns false if they must be dropped.
func (c *Conn) record(p []byte) bool {
	sum, why, ok := c.scanRead(p)
	switch {
	case why < reasonCount:
		c.refuse(why)
		return false
	case !ok || sum == 0:
		return ok
	case c.header.Charge(sum, c.guard.clock.Now()):
		return true
	default:
		c.guard.record(closedHeaders)
		return false
	}
}

// maxReadAhead is the size of net/http's read buffer. Longer reads go to the body alone.
const maxReadAhead = 4 << 10

// scanRead returns the cost of those bytes that belong to a header section, and the reason
// if that is over a limit, else reasonCount. It returns false if the connection is closed.
func (c *Conn) scanRead(p []byte) (sum int64, why reason, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return 0, reasonCount, false
	case c.phase == hijacked:
		return 0, reasonCount, true
	case c.phase == serving || c.scan.done:
		c.carry = 0
		if len(p) <= maxReadAhead {
			c.carry = cost(p)
		}
		return 0, reasonCount, true
	}
	own := c.scan.scan(p)
	sum = c.carry + cost(p[:own])
	c.carry = cost(p[own:])
	switch {
	case int64(c.scan.lines) > c.guard.sectionLines.Load():
		why = closedLines
	case int64(c.scan.size) > c.guard.sectionBytes.Load():
		why = closedSection
	default:
		return sum, reasonCount, true
	}
	c.closed = true
	return 0, why, false
}

// refuse answers a section over the limit. The goroutine that reads the section calls it, so
// no response is being written.
func (c *Conn) refuse(why reason) {
	c.header.Release()
	c.guard.record(why)
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = c.Conn.Write([]byte(tooLarge)) // the caller may be gone
}

// setState follows the state of the connection in its HTTP server.
func (c *Conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		if ahead := c.beginRequest(); ahead > 0 {
			c.header.Charge(ahead, c.guard.clock.Now())
		}
		c.header.Settle()
	case http.StateIdle:
		c.mu.Lock()
		c.phase, c.scan, c.since = reading, scanner{}, c.guard.clock.Now()
		c.writeDeadline = time.Time{}
		c.mu.Unlock()
		c.header.Release()
	case http.StateHijacked:
		c.mu.Lock()
		c.phase = hijacked
		c.mu.Unlock()
		c.header.Release()
	}
}

// beginRequest returns the cost of a section that was read ahead with the previous request.
func (c *Conn) beginRequest() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead := int64(0)
	if c.phase == reading && c.scan.size == 0 {
		ahead = c.carry
	}
	c.phase, c.served = serving, true
	return ahead
}

// rank orders connections by how soon they are closed for a new one.
type rank uint8

const (
	// rankClosed connections only discard what still arrives.
	rankClosed rank = iota
	// rankNew connections have not sent a request yet.
	rankNew
	rankIdle
	// rankBusy connections have a request in progress or are no longer HTTP.
	rankBusy
)

// waiting returns the rank of the connection and since when it has waited for a request.
func (c *Conn) waiting() (rank, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return rankClosed, c.since
	case c.phase != reading:
		return rankBusy, c.since
	case c.served:
		return rankIdle, c.since
	default:
		return rankNew, c.since
	}
}

// SetWriteDeadline implements net.Conn. The deadline holds until the response has ended.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetDeadline(t)
}

// limitWrite bounds the next write by writeTimeout, unless an earlier deadline was set.
func (c *Conn) limitWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == hijacked {
		return
	}
	deadline := time.Now().Add(writeTimeout)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
		deadline = c.writeDeadline
	}
	_ = c.Conn.SetWriteDeadline(deadline)
}

// Write implements net.Conn. A write to a caller that reads nothing fails after a time.
func (c *Conn) Write(p []byte) (int, error) {
	c.limitWrite()
	return c.Conn.Write(p)
}

// sendSize is how much of a file is sent before the time for a write begins anew.
const sendSize = 1 << 20

// ReadFrom implements io.ReaderFrom, so that files are sent without a copy in this process.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	to, ok := c.Conn.(io.ReaderFrom)
	file, limited := r.(*io.LimitedReader)
	if !ok || !limited {
		return io.Copy(writerOnly{c}, r)
	}
	sent := int64(0)
	for file.N > 0 {
		part := &io.LimitedReader{R: file.R, N: min(sendSize, file.N)}
		c.limitWrite()
		n, err := to.ReadFrom(part)
		file.N, sent = file.N-n, sent+n
		if err != nil || n == 0 {
			return sent, err
		}
	}
	return sent, nil
}

// writerOnly hides ReadFrom.
type writerOnly struct{ io.Writer }

// CloseWrite closes the write side, which net/http does before it closes a connection with
// unread bytes.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.New("the connection can't be closed by half")
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.markClosed()
	if _, ok := c.Conn.(notifier); !ok {
		c.guard.forget(c)
	}
	return c.Conn.Close()
}

func (c *Conn) markClosed() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.header.Release()
}

// abort closes the connection at once, with what it has not sent.
func (c *Conn) abort() {
	c.markClosed()
	if a, ok := c.Conn.(interface{ Abort() }); ok {
		a.Abort()
	} else {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
	c.guard.forget(c)
}
