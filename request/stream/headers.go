// Package stream forwards HTTP bodies without buffering them entirely: it
// filters headers, flushes after each read, detects truncated responses and
// parses server-sent events.
package stream

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are headers that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// internalPrefix is the name prefix of the system's own headers.
const internalPrefix = "Waxwingpost-"

// CopyEndToEndHeaders copies src to dst, except for hop-by-hop headers and the
// system's own headers, which each hop sets itself.
func CopyEndToEndHeaders(dst, src http.Header) {
	connection := src.Get("Connection")
	for name, values := range src {
		if strings.HasPrefix(name, internalPrefix) || isHopByHop(name) || isConnectionOption(connection, name) {
			continue
		}
		dst[name] = append(dst[name], values...)
	}
}

func isHopByHop(name string) bool {
	for _, h := range hopByHopHeaders {
		if h == name {
			return true
		}
	}
	return false
}

// isConnectionOption reports whether the Connection header lists a header name.
func isConnectionOption(connection, name string) bool {
	if connection == "" {
		return false
	}
	for _, part := range strings.Split(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(part), name) {
			return true
		}
	}
	return false
}

// IsEventStream reports whether the content type is that of server-sent events.
func IsEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}
