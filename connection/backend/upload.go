package backend

import (
	"bufio"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// upload is a request that is written in the background.
type upload struct {
	conn net.Conn
	// done is closed at the end of the upload, which sets err.
	done chan struct{}
	err  error
}

// startUpload writes data to a connection and then calls ended with the error.
func startUpload(conn net.Conn, data net.Buffers, ended func(error)) *upload {
	u := &upload{conn: conn, done: make(chan struct{})}
	go func() {
		defer close(u.done)
		// Buffers are written without a copy; a body may have megabytes.
		_, u.err = data.WriteTo(conn)
		ended(u.err)
	}()
	return u
}

// written reports whether the whole request has been written. It does not wait.
func (u *upload) written() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// connectionError stops the upload and returns the error that broke its connection, or nil
// if the server closed it. The operating system reports a broken connection to the first of
// the reader and the writer that asks; the other one gets io.EOF or EPIPE. If the reader got
// io.EOF, the writer therefore knows which it was.
func (u *upload) connectionError() error {
	_ = u.conn.SetWriteDeadline(time.Unix(1, 0)) // wakes the writer
	<-u.done
	if errors.Is(u.err, syscall.EPIPE) || errors.Is(u.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return u.err
}

// closeReader reads a body that ends with its connection.
type closeReader struct {
	r *bufio.Reader
	// upload is nil if the request was written before the response was read.
	upload *upload
}

func (c *closeReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if err == io.EOF && c.upload != nil {
		if broken := c.upload.connectionError(); broken != nil {
			return n, errors.Wrap(broken, "read until close")
		}
	}
	return n, err
}
