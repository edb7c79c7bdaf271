package stream

import (
	"io"
	"net/http"
	"sync"
)

// copyBytes is the size of the pooled copy buffers.
const copyBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBytes); return &b }}

// ReadError is a failure to read a response, as opposed to a failure to write
// it.
type ReadError struct{ Err error }

// Error implements error.
func (e *ReadError) Error() string { return "read response: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// Copy copies src to w and flushes after each read. It returns the number of
// bytes written; a failure to read src is a *ReadError. Nothing is queued: a
// slow reader of w applies backpressure to the sender of src.
func Copy(w http.ResponseWriter, src io.Reader) (int64, error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	flusher, _ := w.(http.Flusher)
	var total int64
	for {
		n, err := src.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return total, werr
			}
			total += int64(n)
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, &ReadError{Err: err}
		}
		if flusher != nil {
			flusher.Flush()
		}
	}
}
