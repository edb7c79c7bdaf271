// Package httpheadtest supports tests of what reads HTTP/1 responses.
package httpheadtest

import (
	"io"
	"net/http"
)

// RawResponse is a handler that writes these bytes to every request and closes the connection.
type RawResponse string

// ServeHTTP implements http.Handler.
func (raw RawResponse) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, string(raw))
	_ = conn.Close()
}
