package stream

import (
	"io"
	"net/http"
)

// maxUnreadBody limits how much of a request body is read after the response.
// The server closes connections with a longer unread body, as net/http does by
// itself.
const maxUnreadBody = 256 << 10

// EnableEarlyResponse lets a handler write its response while the request body
// is still being forwarded. Without it, the server closes the body at the
// first write; a request to a backend server that responds before it has read
// the entire body would then fail, and the response would be truncated.
// Writers that do not support full duplex are left unchanged.
//
// The handler must call DrainRequestBody before it returns.
func EnableEarlyResponse(w http.ResponseWriter) {
	_ = http.NewResponseController(w).EnableFullDuplex()
}

// DrainRequestBody reads the unread part of the request body. After
// EnableEarlyResponse the server does not do so in time: it would reach the
// end of the body after the handler returned, and then panic ("invalid
// concurrent Body.Read call") and drop the connection while it waits for the
// next request.
func DrainRequestBody(r *http.Request) {
	_, _ = io.CopyN(io.Discard, r.Body, maxUnreadBody)
}
