package stream

import "net/http"

// AllowEarlyAnswer lets a handler write its answer while the request's body
// is still being passed on. Without it the server closes the body at the first
// write; a backend server that answers before it has read the end of the body
// would then see its request fail, and its answer would be cut. Writers that
// can't do it are left as they are.
func AllowEarlyAnswer(w http.ResponseWriter) {
	_ = http.NewResponseController(w).EnableFullDuplex()
}
