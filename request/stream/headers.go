// Package stream passes bodies on without holding them whole: it filters
// headers, copies with a flush for each piece that arrives, notices answers
// that end early, and reads server-sent events one by one.
package stream

import (
	"net/http"
	"strings"
)

// hopHeaders are meant for one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// internalPrefix starts the names of the system's own headers.
const internalPrefix = "Waxwingpost-"

// CopyHeader copies src to dst but for headers that concern one connection
// and the system's own, which each hop sets itself.
func CopyHeader(dst, src http.Header) {
	listed := src.Get("Connection")
	for name, values := range src {
		if strings.HasPrefix(name, internalPrefix) || isHop(name) || isListed(listed, name) {
			continue
		}
		dst[name] = append(dst[name], values...)
	}
}

func isHop(name string) bool {
	for _, h := range hopHeaders {
		if h == name {
			return true
		}
	}
	return false
}

// isListed reports whether the Connection header names another header.
func isListed(listed, name string) bool {
	if listed == "" {
		return false
	}
	for _, part := range strings.Split(listed, ",") {
		if strings.EqualFold(strings.TrimSpace(part), name) {
			return true
		}
	}
	return false
}

// IsEvents reports whether the header announces server-sent events.
func IsEvents(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// IsDelimited reports whether the end of a response's body can be told from
// a connection that broke.
func IsDelimited(resp *http.Response) bool {
	if resp.ContentLength >= 0 || resp.ProtoMajor >= 2 {
		return true
	}
	return len(resp.TransferEncoding) > 0
}
