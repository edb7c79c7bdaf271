// Package forward is an entry's side of a request in a deployment whose backend
// servers are called directly: which route and account it belongs to, whether
// and where it runs, and the passing on of the answer.
//
// # What is promised to callers
//
//   - A request that may not be repeated is sent to a second server only after
//     the first one said that it did not run it.
//   - 429 and 503 mean that the request was not run and will not be. An
//     unknown outcome is told by 502 or 504.
//   - A success is the server's whole answer; one that can't be completed ends
//     with a broken connection.
//   - Events of a stream are passed on whole, in order and once. Where the
//     route allows it, another server goes on after the last one.
//   - When the caller leaves, the server is told by closing its connection.
package forward
