package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is one request to one server.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is echoed by the server as EchoHeader; answers with another id are
	// skipped. An empty ID is not checked.
	ID         string
	EchoHeader string
	// HeadBy is when the head of the answer must be in.
	HeadBy time.Time
	// SendBy, where not zero, is when the request must be on its way: a lost
	// packet of a new connection is sent again after a second.
	SendBy time.Time
}

// Sent says what is known of a request that failed.
type Sent uint8

// Values of Sent.
const (
	// NotSent means that no byte of the request reached the server.
	NotSent Sent = iota
	// MaybeRun means that the server may have run the request, or still will.
	MaybeRun
)

// Error is a failed exchange.
type Error struct {
	Sent Sent
	Err  error
}

// Error returns the text of the failure.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Timeout reports whether a time limit ended the exchange.
func (e *Error) Timeout() bool {
	var t net.Error
	return errors.As(e.Err, &t) && t.Timeout()
}

// Exchange is a request whose answer's head has arrived. Close must be called.
type Exchange struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 where the head does not tell.
	Length int64

	client *Client
	conn   *conn
	body   io.Reader
	stop   func() bool
	// writing is closed once the request was written; nil where it was
	// written at once.
	writing chan error
	// whole is set once the body was read to its end.
	whole bool
	keep  bool
}

var errOverdue = errors.New("the connection was opened too late for the request")

var errBodyTooLong = errors.New("the body is too long")

var errForeignAnswer = errors.New("the answer belongs to another request")

const (
	// writeInline is the size up to which a request is written before the
	// answer is read; it fits the smallest socket buffers.
	writeInline = 16 << 10
	// maxForeign is how many answers of other requests are skipped.
	maxForeign = 2
	// maxForeignBytes bounds the body of an answer that is skipped.
	maxForeignBytes = 1 << 20
)

// Do sends a request once and returns after the head of its answer. When ctx
// ends the connection is closed, which makes the server stop. Failures are of
// type *Error.
func (c *Client) Do(ctx context.Context, address string, req *Request) (*Exchange, error) {
	k := c.take(address, time.Now())
	if k == nil {
		fresh, err := c.connectBy(ctx, address, req)
		if err != nil {
			return nil, &Error{Sent: NotSent, Err: errors.Wrap(err, "connect")}
		}
		k = fresh
	}
	if req.overdue() {
		k.close()
		return nil, &Error{Sent: NotSent, Err: errOverdue}
	}
	ex := &Exchange{client: c, conn: k, stop: context.AfterFunc(ctx, k.close)}
	_ = k.SetDeadline(req.HeadBy)
	if err := ex.exchange(req); err != nil {
		ex.abandon()
		return nil, err
	}
	return ex, nil
}

// overdue reports whether it is too late to send the request.
func (r *Request) overdue() bool { return !r.SendBy.IsZero() && time.Now().After(r.SendBy) }

// connectBy opens a connection within the request's limits.
func (c *Client) connectBy(ctx context.Context, address string, req *Request) (*conn, error) {
	by := req.HeadBy
	if !req.SendBy.IsZero() && req.SendBy.Before(by) {
		by = req.SendBy
	}
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	return c.connect(ctx, address)
}

func (ex *Exchange) exchange(req *Request) *Error {
	if err := ex.write(req); err != nil {
		return err
	}
	for range maxForeign + 1 {
		if err := ex.readHead(req.Method); err != nil {
			return &Error{Sent: MaybeRun, Err: err}
		}
		if req.ID == "" || ex.Header.Get(req.EchoHeader) == req.ID {
			return nil
		}
		ex.client.stray.Inc(1)
		if !ex.skip() {
			break
		}
	}
	return &Error{Sent: MaybeRun, Err: errForeignAnswer}
}

// skip reads an answer that belongs to another request to its end.
func (ex *Exchange) skip() bool {
	if ex.Length < 0 && !ex.keep {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(ex, maxForeignBytes))
	return err == nil && n < maxForeignBytes && ex.whole
}

func (ex *Exchange) write(req *Request) *Error {
	head := appendHead(make([]byte, 0, 1024+len(req.Body)), req)
	if len(head)+len(req.Body) <= writeInline {
		n, err := ex.conn.Write(append(head, req.Body...))
		return writeError(n, err)
	}
	ex.writing = make(chan error, 1)
	go func() {
		_, err := ex.conn.Write(append(head, req.Body...))
		ex.writing <- err
	}()
	return nil
}

func writeError(n int, err error) *Error {
	switch {
	case err == nil:
		return nil
	case n == 0:
		return &Error{Sent: NotSent, Err: errors.Wrap(err, "write")}
	default:
		return &Error{Sent: MaybeRun, Err: errors.Wrap(err, "write")}
	}
}

// appendHead appends the request line and headers.
func appendHead(b []byte, req *Request) []byte {
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	for name, values := range req.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// readHead reads the status line and headers and prepares the body.
func (ex *Exchange) readHead(method string) error {
	tp := textproto.NewReader(ex.conn.r)
	for {
		line, err := tp.ReadLine()
		if err != nil {
			return errors.Wrap(err, "read status")
		}
		proto, rest, _ := strings.Cut(line, " ")
		text, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(text)
		if err != nil || !strings.HasPrefix(proto, "HTTP/1.") || status < 100 || status > 599 {
			return errors.Newf("status line %.60q", line)
		}
		header, err := tp.ReadMIMEHeader()
		if err != nil {
			return errors.Wrap(err, "read headers")
		}
		if status < http.StatusOK {
			continue
		}
		ex.Status, ex.Header = status, http.Header(header)
		return ex.frame(method, proto)
	}
}

// frame finds out where the body ends.
func (ex *Exchange) frame(method, proto string) error {
	ex.Length, ex.whole = -1, false
	ex.keep = proto == "HTTP/1.1" && !hasToken(ex.Header["Connection"], "close")
	encodings := ex.Header["Transfer-Encoding"]
	lengths := ex.Header["Content-Length"]
	switch {
	case method == http.MethodHead || ex.Status == http.StatusNoContent || ex.Status == http.StatusNotModified:
		ex.Length, ex.body, ex.whole = 0, http.NoBody, true
	case len(encodings) > 0:
		if len(encodings) > 1 || !strings.EqualFold(encodings[0], "chunked") || len(lengths) > 0 {
			return errors.Newf("transfer encoding %q with length %q", encodings, lengths)
		}
		ex.body = &chunkedReader{r: ex.conn.r}
	case len(lengths) > 0:
		n, err := strconv.ParseInt(lengths[0], 10, 64)
		if err != nil || n < 0 || len(lengths) > 1 {
			return errors.Newf("content length %q", lengths)
		}
		ex.Length = n
		ex.body = &lengthReader{r: ex.conn.r, left: n}
		ex.whole = n == 0
	default:
		ex.keep = false
		ex.body = ex.conn.r
	}
	return nil
}

func hasToken(values []string, token string) bool {
	for _, v := range values {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// Framed reports whether the answer tells where it ends. One that ends with
// its connection can't be told from one that broke off.
func (ex *Exchange) Framed() bool {
	return ex.keep || ex.Length >= 0 || hasToken(ex.Header["Transfer-Encoding"], "chunked")
}

// Read reads the body. It returns io.EOF only at its true end.
func (ex *Exchange) Read(p []byte) (int, error) {
	if ex.whole {
		return 0, io.EOF
	}
	n, err := ex.body.Read(p)
	if err == io.EOF {
		ex.whole = true
	}
	return n, err
}

// ReadAll reads the body, of at most so many bytes, to its end.
func (ex *Exchange) ReadAll(most int64) ([]byte, error) {
	if ex.Length > most {
		return nil, errBodyTooLong
	}
	if ex.Length >= 0 {
		body := make([]byte, ex.Length)
		_, err := io.ReadFull(ex, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(ex, most+1))
	if err == nil && int64(len(body)) > most {
		err = errBodyTooLong
	}
	return body, err
}

// frameBytes is what the end of one chunk and the line of the next take.
const frameBytes = 8

// Buffered reports whether a Read returns without waiting for the server.
func (ex *Exchange) Buffered() bool { return !ex.whole && ex.conn.r.Buffered() > frameBytes }

// ReadBy sets the time at which reading fails; zero is never.
func (ex *Exchange) ReadBy(t time.Time) { _ = ex.conn.SetReadDeadline(t) }

// Close ends the exchange. The connection is kept if the whole answer was read
// and the server keeps it as well; else it is closed, which makes the server
// stop.
func (ex *Exchange) Close() {
	if ex.conn == nil {
		return
	}
	written := true
	if ex.writing != nil {
		select {
		case err := <-ex.writing:
			written = err == nil
		default:
			// The server answered before it read the request: what is left of it
			// must not be taken for the next one.
			written = false
		}
	}
	if !ex.whole || !ex.keep || !written || !ex.stop() || ex.conn.r.Buffered() > 0 {
		ex.abandon()
		return
	}
	_ = ex.conn.SetDeadline(time.Time{})
	ex.conn.idleLimit = idleLimit(ex.Header.Get("Keep-Alive"))
	if ex.conn.idleLimit > 0 {
		ex.client.keep(ex.conn, time.Now())
	} else {
		ex.conn.close()
	}
	ex.conn = nil
}

func (ex *Exchange) abandon() {
	if ex.conn == nil {
		return
	}
	ex.stop()
	ex.conn.close()
	ex.conn = nil
}

// idleLimit returns how long a connection may be kept, from a Keep-Alive
// header in whole seconds.
func idleLimit(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return defaultIdle - idleMargin
}
