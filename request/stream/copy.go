package stream

import (
	"io"
	"net/http"
	"sync"
)

const copyBytes = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBytes); return &b }}

// ReadError is a failure to read an answer; the reader of the copy is sound.
type ReadError struct{ Err error }

// Error implements error.
func (e *ReadError) Error() string { return "read answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// Copy passes src on to w and flushes after each piece. It returns the bytes
// written; a failure on src's side is a *ReadError. A slow reader holds the
// copy back, and by that the sender: nothing is queued.
func Copy(w http.ResponseWriter, src io.Reader) (int64, error) {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
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
