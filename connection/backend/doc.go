// Package backend sends requests to backend servers over kept HTTP/1.1
// connections, one request at a time on each.
//
// It sends each request once: what a failure says of the request is told by
// Error.Sent, and sending again is the caller's decision. A connection is kept
// only after a whole answer to its own request with nothing behind it; it is
// checked for closing and stray bytes before it is used again.
//
// A Client is safe for concurrent use; an Exchange belongs to one goroutine,
// but for Close.
package backend
