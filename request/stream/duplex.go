package stream

import (
	"io"
	"net/http"
)

// maxLeftover is how much of a request's body is read after its answer. The
// server closes connections with more left, as it does by itself.
const maxLeftover = 256 << 10

// AllowEarlyAnswer lets a handler write its answer while the request's body
// is still being passed on. Without it the server closes the body at the first
// write; a backend server that answers before it has read the end of the body
// would then see its request fail, and its answer would be cut. Writers that
// can't do it are left as they are.
//
// The handler must call FinishRequest before it returns.
func AllowEarlyAnswer(w http.ResponseWriter) {
	_ = http.NewResponseController(w).EnableFullDuplex()
}

// FinishRequest reads what the handler left of the request's body. After
// AllowEarlyAnswer the server does not do so in time: it would reach the end
// of the body after the handler returned, and then panic ("invalid concurrent
// Body.Read call") and drop the connection when it waits for the next request.
func FinishRequest(r *http.Request) {
	_, _ = io.CopyN(io.Discard, r.Body, maxLeftover)
}
