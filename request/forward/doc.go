// Package forward handles caller requests at an entry, in deployments whose
// backend servers are called directly. It resolves the route and account of a
// request, decides whether and on which server it runs, and forwards the
// response.
//
// # Guarantees to callers
//
//   - An unrepeatable request is sent to a second server only if the first one
//     did not run it and will not.
//   - 429 and 503 mean that the request was not run and will not be. If the
//     outcome is unknown, the status is 502 or 504.
//   - A success is the server's complete response. If it can't be completed, the
//     connection is aborted.
//   - Events of a stream are forwarded complete, in order and exactly once. If the
//     route allows it, another server resumes the stream after the last event.
//   - A server that sends nothing keeps its request until another one has a slot for
//     it, until its weights are about to expire, or until the deadline. Only a response
//     that breaks off or is invalid ends the request at that server earlier. A stream
//     without events is answered before its caller abandons it.
//   - When the caller leaves, the connection to the server is reset, which
//     cancels the request there.
package forward
