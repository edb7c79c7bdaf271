// Package backend sends requests to backend servers over persistent HTTP/1.1
// connections, one request at a time on each.
//
// It sends each request once. After a failure, Error.Sent says whether the server
// may have executed the request; retries are up to the caller. A connection is
// reused only after a complete response to its own request with no bytes after
// it. Before reuse it is checked for a close by the server and for unread bytes.
//
// A Client is safe for concurrent use. An Exchange must be used by one goroutine
// at a time, except for Close.
package backend
