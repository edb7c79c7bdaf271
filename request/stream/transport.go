package stream

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of the connections that NewTransport keeps.
const (
	idleConnsPerHost = 512
	idleConns        = 8192
	idleTimeout      = 30 * time.Second
	dialTimeout      = time.Second
	dialKeepAlive    = 15 * time.Second
	maxHeaderBytes   = 64 << 10
	transportBuffer  = 16 << 10
)

// NewTransport returns a transport with a large pool of idle connections and
// without changes of its own to bodies.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: dialKeepAlive}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConns:           idleConns,
		MaxIdleConnsPerHost:    idleConnsPerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         transportBuffer,
		WriteBufferSize:        transportBuffer,
	}
}

// NewSingleUseTransport returns a transport that opens a connection for each
// request. A kept connection may have been closed by the other side just
// before it is used; whether the request was run would then be unknown.
func NewSingleUseTransport() *http.Transport {
	t := NewTransport()
	t.DisableKeepAlives = true
	return t
}

// Client is the part of an HTTP client that go-kit's transport needs. It
// follows no redirects and keeps no cookies: answers are passed on as they are.
type Client struct{ Transport http.RoundTripper }

// Do sends one request.
func (c Client) Do(r *http.Request) (*http.Response, error) {
	return c.Transport.RoundTrip(r)
}

// onceBody hides a body's type from the transport.
type onceBody struct{ io.ReadCloser }

// SingleUse wraps a body so that net/http's transport never sends the request
// a second time by itself, which it does for requests without a body or with
// an Idempotency-Key when a connection breaks.
func SingleUse(body io.ReadCloser) io.ReadCloser {
	if body == nil {
		body = http.NoBody
	}
	return onceBody{body}
}

// NeverSent reports whether a failed request can't have reached the other
// side because no connection was made.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
