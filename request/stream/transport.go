package stream

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
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

// Do sends one request. The transport may send a request that can be repeated
// a second time by itself; an error tells whether any of the tries had a
// connection.
func (c Client) Do(r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil && connected.Load() {
		return nil, &maybeSentError{err}
	}
	return resp, err
}

// maybeSentError is the error of a request that had a connection.
type maybeSentError struct{ error }

// Unwrap returns the transport's error.
func (e *maybeSentError) Unwrap() error { return e.error }

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
// side because no connection was made, in any of the transport's tries.
func NeverSent(err error) bool {
	var sent *maybeSentError
	if errors.As(err, &sent) {
		return false
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
