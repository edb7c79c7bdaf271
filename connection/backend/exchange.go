package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/httphead"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/intake"
)

// Request is one request to one server.
type Request struct {
	Method string
	// Target is the path and query, written to the request line unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is echoed by the server in the EchoHeader header. Responses with another
	// ID are skipped. An empty ID disables this check.
	ID         string
	EchoHeader string
	// HeadDeadline is the deadline for the response head.
	HeadDeadline time.Time
	// SendDeadline, if not zero, is the deadline for starting to send the request.
	// Opening a connection can take longer than expected: TCP retransmits a lost
	// SYN after one second.
	SendDeadline boottime.Instant
	// MaySend, if not nil, is called once a connection is open. The request is not sent if it
	// returns false.
	MaySend func() bool
	// Times, if not nil, records when the request was sent.
	Times *SendTimes
}

// SendState is how far a failed request got.
type SendState uint8

// Values of SendState.
const (
	// NotSent means that no byte of the request reached the server.
	NotSent SendState = iota
	// MaybeSent means that the server may have executed the request or may still
	// execute it.
	MaybeSent
)

// Error is a failed exchange.
type Error struct {
	Sent SendState
	Err  error
}

// Error returns the message of the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Timeout reports whether the exchange failed because of a timeout.
func (e *Error) Timeout() bool {
	var t net.Error
	return errors.As(e.Err, &t) && t.Timeout()
}

// Exchange is a sent request whose response head has arrived. The caller must
// call Close.
type Exchange struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if the head does not state it.
	Length int64

	client *Client
	conn   *conn
	body   io.Reader
	// stopCancel unregisters the function that closes the connection when the
	// request's context ends. It returns false if that function has started.
	stopCancel func() bool
	// upload is nil if the request was written before the response was read.
	upload *upload
	// complete is set once the body was read to its end.
	complete bool
	// keepAlive is set if the server keeps the connection open after the response.
	keepAlive bool
}

// ErrWithheld is the error of a request that MaySend has stopped.
var ErrWithheld = errors.New("the request was withheld")

// ErrUnwritable is the error of a request with a value that can't be written into its head.
var ErrUnwritable = errors.New("the request can't be written")

var errSendDeadline = errors.New("send deadline passed before the request was sent")

var errOtherResponse = errors.New("response belongs to another request")

const (
	// maxInlineWrite is the size up to which a request is written before the
	// response is read. It fits the smallest socket buffers, so the write does
	// not block on a server that responds before it has read the request.
	maxInlineWrite = 16 << 10
	// maxSkipped is how many responses to other requests are skipped.
	maxSkipped = 2
	// maxHeadBytes limits the response head, interim responses included.
	maxHeadBytes = 64 << 10
	// maxHeadLines limits its lines: in memory, each takes up to 200 bytes more than were sent.
	maxHeadLines = 512
	// maxSkippedBytes limits the body of a skipped response.
	maxSkippedBytes = 1 << 20
)

// Do sends a request once and returns when the response head has arrived. When
// ctx ends the connection is reset, which makes the server cancel the request.
// Errors are of type *Error.
func (c *Client) Do(ctx context.Context, address string, req *Request) (*Exchange, error) {
	if err := req.checkHead(); err != nil {
		return nil, &Error{Sent: NotSent, Err: err}
	}
	k := c.takeIdle(address, req.ID, time.Now())
	if k == nil {
		fresh, err := c.connectBefore(ctx, address, req)
		if err != nil {
			return nil, &Error{Sent: NotSent, Err: errors.Wrap(err, "connect")}
		}
		k = fresh
	}
	if c.tooLate(req) {
		k.close()
		return nil, &Error{Sent: NotSent, Err: errSendDeadline}
	}
	if req.MaySend != nil && !req.MaySend() {
		c.putIdle(k, time.Now())
		return nil, &Error{Sent: NotSent, Err: ErrWithheld}
	}
	ex := &Exchange{client: c, conn: k, stopCancel: context.AfterFunc(ctx, k.reset)}
	_ = k.SetDeadline(req.HeadDeadline)
	if err := ex.roundTrip(req); err != nil {
		ex.resetConn()
		return nil, err
	}
	return ex, nil
}

// tooLate reports whether a request's send deadline has passed.
func (c *Client) tooLate(req *Request) bool {
	return !req.SendDeadline.IsZero() && c.ageClock.Now().After(req.SendDeadline)
}

// connectBefore opens a connection before the request's deadlines.
func (c *Client) connectBefore(ctx context.Context, address string, req *Request) (*conn, error) {
	deadline := req.HeadDeadline
	if !req.SendDeadline.IsZero() {
		if sendBy := time.Now().Add(req.SendDeadline.Sub(c.ageClock.Now())); sendBy.Before(deadline) {
			deadline = sendBy
		}
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return c.connect(ctx, address)
}

// roundTrip sends the request and reads the head of its response.
func (ex *Exchange) roundTrip(req *Request) *Error {
	if err := ex.writeRequest(req); err != nil {
		return err
	}
	for range maxSkipped + 1 {
		if err := ex.readHead(req.Method); err != nil {
			return &Error{Sent: MaybeSent, Err: err}
		}
		if req.ID == "" || ex.Header.Get(req.EchoHeader) == req.ID {
			if req.ID != "" && ex.Status >= http.StatusMultipleChoices {
				ex.conn.refusedIDs = append(ex.conn.refusedIDs, req.ID)
			}
			return nil
		}
		ex.client.strayResponses.Inc(1)
		if !ex.skipResponse() {
			break
		}
	}
	return &Error{Sent: MaybeSent, Err: errOtherResponse}
}

// skipResponse discards a response that belongs to another request. It reports
// whether the connection can be read further.
func (ex *Exchange) skipResponse() bool {
	if ex.Length < 0 && !ex.keepAlive {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(ex, maxSkippedBytes))
	return err == nil && n < maxSkippedBytes && ex.complete
}

// writeRequest writes a small request at once and a large one in the background.
func (ex *Exchange) writeRequest(req *Request) *Error {
	size := 1024
	if len(req.Body) <= maxInlineWrite {
		size += len(req.Body)
	}
	head := appendHead(make([]byte, 0, size), req)
	clock := ex.client.ageClock
	req.Times.begin(clock)
	if len(head)+len(req.Body) <= maxInlineWrite {
		n, err := ex.conn.Write(append(head, req.Body...))
		req.Times.end(clock, err)
		return writeError(n, err)
	}
	ex.upload = startUpload(ex.conn.Conn, net.Buffers{head, req.Body}, func(err error) { req.Times.end(clock, err) })
	return nil
}

func writeError(n int, err error) *Error {
	switch {
	case err == nil:
		return nil
	case n == 0:
		return &Error{Sent: NotSent, Err: errors.Wrap(err, "write")}
	default:
		return &Error{Sent: MaybeSent, Err: errors.Wrap(err, "write")}
	}
}

// checkHead returns an error if a server would not read the request line and headers as they are:
// a line end in one of them ends the head, or begins another field.
func (r *Request) checkHead() error {
	if !httphead.IsToken(r.Method) || !httphead.IsUnbroken(r.Target) || !httphead.IsFieldValue(r.Host) {
		return errors.Wrapf(ErrUnwritable, "request line %q %q for host %q", r.Method, r.Target, r.Host)
	}
	for name, values := range r.Header {
		for _, v := range values {
			if !httphead.IsToken(name) || !httphead.IsFieldValue(v) {
				return errors.Wrapf(ErrUnwritable, "header %q: %q", name, v)
			}
		}
	}
	return nil
}

// appendHead appends the request line and headers to b, which checkHead must have accepted.
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

// readHead reads the status line and headers and prepares reading the body. It
// skips interim (1xx) responses.
func (ex *Exchange) readHead(method string) error {
	ex.conn.limit.remaining, ex.conn.limit.lines = maxHeadBytes, maxHeadLines
	defer func() { ex.conn.limit.remaining = unlimited }()
	for {
		line, err := readLine(ex.conn.r)
		if err != nil {
			return errors.Wrap(err, "read status")
		}
		proto, status, err := httphead.ParseStatusLine(line)
		if err != nil {
			return err
		}
		header, err := readFields(ex.conn.r)
		if err != nil {
			return errors.Wrap(err, "read headers")
		}
		if status < http.StatusOK {
			continue
		}
		ex.Status, ex.Header = status, header
		return ex.setFraming(method, proto)
	}
}

// setFraming determines from the head how the end of the body is marked.
func (ex *Exchange) setFraming(method, proto string) error {
	ex.Length, ex.complete = -1, false
	ex.keepAlive = proto == httphead.HTTP11 && !hasToken(ex.Header["Connection"], "close")
	encodings := ex.Header["Transfer-Encoding"]
	lengths := ex.Header["Content-Length"]
	if len(lengths) > 0 {
		n, err := httphead.ParseLength(lengths)
		if err != nil {
			return err
		}
		ex.Length = n
	}
	switch {
	case method == http.MethodHead || ex.Status == http.StatusNoContent || ex.Status == http.StatusNotModified:
		ex.Length, ex.body, ex.complete = 0, http.NoBody, true
	case len(encodings) > 0:
		// HTTP/1.0 has no chunks: an intermediary may have added the header or decoded the body.
		if len(encodings) > 1 || !strings.EqualFold(encodings[0], "chunked") || len(lengths) > 0 || proto == httphead.HTTP10 {
			return errors.Newf("unsupported transfer encoding %q with content length %q in %s", encodings, lengths, proto)
		}
		ex.body = &chunkedReader{r: ex.conn.r}
	case len(lengths) > 0:
		body := &lengthReader{r: ex.conn.r, remaining: ex.Length}
		ex.body, ex.complete = body, ex.Length == 0 && body.checkEnd() == nil
	default:
		ex.keepAlive = false
		ex.body = &closeReader{r: ex.conn.r, upload: ex.upload}
	}
	return nil
}

// hasToken reports whether a comma-separated header contains a token.
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

// Framed reports whether the response states where its body ends. If it does not,
// a complete body can't be distinguished from one that was cut off.
func (ex *Exchange) Framed() bool {
	return ex.keepAlive || ex.Length >= 0 || hasToken(ex.Header["Transfer-Encoding"], "chunked")
}

// Read reads the body. It returns io.EOF only at the end of the body; a body that
// is cut off causes another error. If Framed is false, that holds only for a connection
// that breaks, not for one that the server closes too early.
func (ex *Exchange) Read(p []byte) (int, error) {
	if ex.complete {
		return 0, io.EOF
	}
	n, err := ex.body.Read(p)
	if err == io.EOF {
		ex.complete = true
	}
	return n, err
}

// ReadAll reads the rest of the body, which fails if it exceeds limit bytes. It holds no more
// than has arrived, whatever length the server states.
func (ex *Exchange) ReadAll(limit int64) ([]byte, error) {
	return intake.ReadBody(ex, ex.Length, limit)
}

// chunkFramingBytes is the size of a chunk's line end and the next size line.
const chunkFramingBytes = 8

// Buffered reports whether Read returns data without waiting for the server.
func (ex *Exchange) Buffered() bool { return !ex.complete && ex.conn.r.Buffered() > chunkFramingBytes }

// SetReadDeadline sets the deadline for reading the body; the zero time means none.
func (ex *Exchange) SetReadDeadline(t time.Time) { _ = ex.conn.SetReadDeadline(t) }

// Close ends the exchange. The connection is reused if the complete response was
// read and the server keeps it open too. It is reset if the exchange is incomplete,
// which makes the server cancel the request.
func (ex *Exchange) Close() {
	if ex.conn == nil {
		return
	}
	// A server that responded before it read the whole request would take the rest for
	// the next one, so the connection can't be reused.
	if !ex.complete || ex.upload != nil && !ex.upload.written() {
		ex.resetConn()
		return
	}
	if !ex.stopCancel() || !ex.keepAlive || ex.conn.r.Buffered() > 0 || len(ex.conn.refusedIDs) >= maxRefused {
		ex.conn.close()
		ex.conn = nil
		return
	}
	_ = ex.conn.SetDeadline(time.Time{})
	ex.conn.idleTimeout = parseKeepAlive(ex.Header.Get("Keep-Alive"))
	if ex.conn.idleTimeout > 0 {
		ex.client.putIdle(ex.conn, time.Now())
	} else {
		ex.conn.close()
	}
	ex.conn = nil
}

// resetConn ends an incomplete exchange.
func (ex *Exchange) resetConn() {
	if ex.conn == nil {
		return
	}
	ex.stopCancel()
	ex.conn.reset()
	ex.conn = nil
}

// parseKeepAlive returns how long a connection may stay idle, from the timeout in
// whole seconds of a Keep-Alive header.
func parseKeepAlive(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout - idleMargin
}
