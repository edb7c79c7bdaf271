package backend

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// lengthReader reads a body of a known length.
type lengthReader struct {
	r    *bufio.Reader
	left int64
}

func (l *lengthReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	l.left -= int64(n)
	switch {
	case l.left == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	default:
		return n, err
	}
}

// chunkedReader reads a body in chunks, and its trailers, which are dropped.
type chunkedReader struct {
	r *bufio.Reader
	// left is what remains of the current chunk.
	left int64
	// open is set once a chunk was begun: its end is still to be read.
	open bool
	done bool
}

const (
	maxChunkLine   = 256
	maxChunkDigits = 15
	maxTrailers    = 64
)

var errChunk = errors.New("the chunked body is malformed")

func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	if c.left == 0 {
		if err := c.next(); err != nil {
			return 0, unexpected(err)
		}
		if c.done {
			return 0, io.EOF
		}
	}
	if int64(len(p)) > c.left {
		p = p[:c.left]
	}
	n, err := c.r.Read(p)
	c.left -= int64(n)
	return n, unexpected(err)
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// next reads the line that begins a chunk, and the end of the one before.
func (c *chunkedReader) next() error {
	if c.open {
		if line, err := c.line(); err != nil || line != "" {
			return errors.CombineErrors(err, errChunk)
		}
		c.open = false
	}
	line, err := c.line()
	if err != nil {
		return err
	}
	digits, _, _ := strings.Cut(line, ";")
	digits = strings.TrimSpace(digits)
	size, err := strconv.ParseUint(digits, 16, 63)
	if err != nil || len(digits) > maxChunkDigits {
		return errChunk
	}
	c.left, c.open = int64(size), true
	if size > 0 {
		return nil
	}
	for range maxTrailers {
		line, err := c.line()
		if err != nil {
			return err
		}
		if line == "" {
			c.done = true
			return nil
		}
	}
	return errChunk
}

func (c *chunkedReader) line() (string, error) {
	line, err := c.r.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	if len(line) > maxChunkLine {
		return "", errChunk
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}
