package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// exchange is one request of a caller and what came back.
type exchange struct {
	id, path, key string
	bodyLength    int
	chunked       bool
	// pieces is the number of parts in which the body is sent, with pauses.
	pieces int
	// half is set if the body is never sent completely, halfClosed if the caller closes
	// its write side after the request.
	half, halfClosed bool
	deadline         time.Duration
	closing          bool

	// reused is set on a connection that carried a request before, pipelined if the
	// request was sent before the answer to the previous one was read.
	reused, pipelined bool
	// closedBefore is set if the previous answer on the connection announced a close.
	closedBefore bool
	started      time.Time
	// sent is when the last byte of the request was sent, zero if that failed.
	sent, ended time.Time
	// answered is set once any byte of the answer came.
	answered bool
	resp     *http.Response
	body     string
	err      error
}

func (x *exchange) String() string {
	status := 0
	if x.resp != nil {
		status = x.resp.StatusCode
	}
	return fmt.Sprintf("%s %s: status %d, error %v, %d of the body, sent after %v, ended %v later (at %s), deadline %v, reused %v, pipelined %v, half closed %v, body %d in %d pieces",
		x.id, x.path, status, x.err, len(x.body), x.sent.Sub(x.started).Round(time.Millisecond), x.ended.Sub(x.sent).Round(time.Millisecond),
		x.ended.Format("05.000"), x.deadline, x.reused, x.pipelined, x.halfClosed, x.bodyLength, x.pieces)
}

// caller sends requests on a connection at a time.
type caller struct {
	address string
	name    string
	// inRotation reports whether the load balancer passes on new connections.
	inRotation func() bool
	rng        *rand.Rand
	n          int
	done       []*exchange
}

var soakPaths = []string{
	"/safe/", "/once/", "/stream/", "/once-stream/", "/moving/", "/timed/", "/timed-stream/", "/coming/", "/leaving/", "/leaving-stream/",
}

// next returns the next request.
func (c *caller) next() *exchange {
	c.n++
	x := &exchange{
		id: fmt.Sprintf("%s-%d", c.name, c.n), path: soakPaths[c.rng.IntN(len(soakPaths))], key: "key1", pieces: 1,
		deadline: time.Duration(1000+c.rng.IntN(2500)) * time.Millisecond,
	}
	switch c.rng.IntN(12) {
	case 0:
		x.key = "key2"
	case 1, 2:
		x.bodyLength, x.chunked = c.rng.IntN(30<<10), true
	case 3, 4:
		x.bodyLength, x.chunked, x.pieces = 1000+c.rng.IntN(20<<10), c.rng.IntN(2) == 0, 2+c.rng.IntN(4)
	case 5:
		x.bodyLength, x.chunked = 100<<10+c.rng.IntN(600<<10), c.rng.IntN(2) == 0
	case 6:
		x.bodyLength, x.half, x.chunked, x.pieces = 2000, true, c.rng.IntN(2) == 0, 2
	case 7:
		x.halfClosed = true
	case 8:
		x.closing = true
	default:
		x.bodyLength = c.rng.IntN(3000)
	}
	return x
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.inRotation() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		raw, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if c.rng.IntN(6) == 0 {
			time.Sleep(time.Duration(c.rng.IntN(1500)) * time.Millisecond)
		}
		c.useConn(ctx, raw)
		_ = raw.Close()
	}
}

// useConn sends requests on one connection until it closes.
func (c *caller) useConn(ctx context.Context, raw net.Conn) {
	r := bufio.NewReader(raw)
	reused := false
	for ctx.Err() == nil {
		batch := []*exchange{c.next()}
		if first := batch[0]; c.rng.IntN(10) == 0 && !first.half && !first.halfClosed && !first.closing {
			second := c.next()
			second.pieces, second.half, second.halfClosed, second.pipelined = 1, false, false, true
			batch = append(batch, second)
		}
		for _, x := range batch {
			x.reused = reused
			reused = true
			c.write(raw, x)
		}
		open := true
		for _, x := range batch {
			x.closedBefore = !open
			x.read(raw, r)
			c.done = append(c.done, x)
			open = open && x.err == nil && !x.resp.Close && !x.half && !x.halfClosed
		}
		if !open {
			return
		}
		if c.rng.IntN(2) == 0 {
			time.Sleep(time.Duration(c.rng.IntN(300)) * time.Millisecond)
		}
	}
}

// write sends the request. sent remains zero if that fails, or if the body is half.
func (c *caller) write(raw net.Conn, x *exchange) {
	x.started = time.Now()
	_ = raw.SetDeadline(x.started.Add(6 * time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "POST %sx HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\n",
		x.path, x.id, x.key, x.deadline.Milliseconds())
	if x.closing {
		b.WriteString("Connection: close\r\n")
	}
	if x.chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", x.bodyLength)
	}
	parts := x.bodyParts()
	if x.half {
		parts = parts[:len(parts)-1]
	}
	for i, part := range parts {
		b.WriteString(part)
		if i < len(parts)-1 && x.pieces > 1 {
			if _, x.err = io.WriteString(raw, b.String()); x.err != nil {
				return
			}
			b.Reset()
			time.Sleep(time.Duration(c.rng.IntN(150)) * time.Millisecond)
		}
	}
	if _, x.err = io.WriteString(raw, b.String()); x.err != nil || x.half {
		return
	}
	x.sent = time.Now()
	if x.halfClosed {
		_ = raw.(*net.TCPConn).CloseWrite()
	}
}

// bodyParts returns the encoded body in parts; without the last one it is incomplete.
func (x *exchange) bodyParts() []string {
	n := max(x.pieces, 2)
	var parts []string
	for i := range n {
		size := x.bodyLength/n + x.bodyLength%n*(i/(n-1))
		part := strings.Repeat("b", size)
		if x.chunked && size > 0 {
			part = fmt.Sprintf("%x\r\n%s\r\n", size, part)
		}
		parts = append(parts, part)
	}
	if x.chunked {
		parts[n-1] += "0\r\n\r\n"
	}
	return parts
}

// read reads the answer.
func (x *exchange) read(raw net.Conn, r *bufio.Reader) {
	defer func() { x.ended = time.Now() }()
	if x.half {
		_ = raw.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	}
	if _, err := r.Peek(1); err != nil {
		x.err = err
		return
	}
	x.answered = true
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		x.err = err
		return
	}
	x.resp = resp
	body, err := io.ReadAll(resp.Body)
	x.body, x.err = string(body), err
}
