package stream

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/process/intake"
)

// Settings of NewTransport.
const (
	idleConnsPerHost = 512
	idleConns        = 8192
	idleTimeout      = 30 * time.Second
	dialTimeout      = time.Second
	dialKeepAlive    = 15 * time.Second
	transportBuffer  = 16 << 10
)

// NewTransport returns a transport with a large pool of idle connections that
// does not compress or decompress bodies, and checks the heads of responses.
func NewTransport() *intake.HeadTransport { return intake.CheckHeads(newTransport()) }

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: dialKeepAlive}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        idleConns,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      transportBuffer,
		WriteBufferSize:     transportBuffer,
	}
}

// NewNoReuseTransport returns a transport that opens a new connection for each
// request. A kept-alive connection may be closed by the other side just before
// it is reused; it would then be unknown whether the request was run.
func NewNoReuseTransport() *intake.HeadTransport {
	t := newTransport()
	t.DisableKeepAlives = true
	return intake.CheckHeads(t)
}

// Client is the HTTP client for go-kit's transport. It does not follow
// redirects or keep cookies: responses are forwarded unchanged.
type Client struct{ Transport http.RoundTripper }

// Do sends one request. The transport may resend a replayable request on its
// own; NeverSent reports whether all of these attempts failed to connect.
func (c Client) Do(r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		intake.BeginHead(info.Conn)
	}}
	resp, err := c.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil && connected.Load() {
		return nil, &maybeSentError{err}
	}
	return resp, err
}

// maybeSentError is the error of a request for which a connection was made.
type maybeSentError struct{ error }

// Unwrap returns the transport's error.
func (e *maybeSentError) Unwrap() error { return e.error }

// nonReplayableBody hides the concrete type of a body from the transport.
type nonReplayableBody struct{ io.ReadCloser }

// NonReplayable wraps a body so that net/http's transport never resends the
// request on its own, which it does when a connection breaks for requests
// without a body or with an Idempotency-Key.
func NonReplayable(body io.ReadCloser) io.ReadCloser {
	if body == nil {
		body = http.NoBody
	}
	return nonReplayableBody{body}
}

// NeverSent reports whether a failed request can't have reached the other side,
// because none of the transport's attempts made a connection.
func NeverSent(err error) bool {
	var sent *maybeSentError
	if errors.As(err, &sent) {
		return false
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
