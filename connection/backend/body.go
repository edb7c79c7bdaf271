package backend

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/httphead"
)

// lengthReader reads a body whose length is known. If it is followed by bytes that can't be
// another response, the length was wrong, and the last part of the body is not returned.
type lengthReader struct {
	r         *bufio.Reader
	remaining int64
}

func (l *lengthReader) Read(p []byte) (n int, err error) {
	if l.remaining > 0 {
		n, err = l.r.Read(p[:min(int64(len(p)), l.remaining)])
		l.remaining -= int64(n)
	}
	if l.remaining > 0 {
		return n, toUnexpectedEOF(err)
	}
	if err := l.checkEnd(); err != nil {
		return 0, err
	}
	return n, io.EOF
}

// checkEnd returns an error if the bytes that were read ahead begin no response.
func (l *lengthReader) checkEnd() error {
	ahead, _ := l.r.Peek(l.r.Buffered())
	if !httphead.BeginsResponse(ahead) {
		return httphead.ErrLongerBody
	}
	return nil
}

// chunkedReader decodes a chunked body and discards its trailers.
type chunkedReader struct {
	r *bufio.Reader
	// remaining is the number of unread bytes of the current chunk.
	remaining int64
	// inChunk is set from a chunk's size line until the line end after its data
	// was read.
	inChunk bool
	done    bool
}

const (
	maxChunkLine   = 256
	maxChunkDigits = 15
	maxTrailers    = 64
)

var errMalformedChunk = errors.New("malformed chunked body")

func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	if c.remaining == 0 {
		if err := c.nextChunk(); err != nil {
			return 0, toUnexpectedEOF(err)
		}
		if c.done {
			return 0, io.EOF
		}
	}
	if int64(len(p)) > c.remaining {
		p = p[:c.remaining]
	}
	n, err := c.r.Read(p)
	c.remaining -= int64(n)
	return n, toUnexpectedEOF(err)
}

// toUnexpectedEOF turns an EOF inside the body into io.ErrUnexpectedEOF.
func toUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// nextChunk reads the line end of the previous chunk, if any, and the size line
// of the next one. After the last chunk it reads the trailers.
func (c *chunkedReader) nextChunk() error {
	if c.inChunk {
		if line, err := c.readLine(); err != nil || len(line) > 0 {
			return errors.CombineErrors(err, errMalformedChunk)
		}
		c.inChunk = false
	}
	line, err := c.readLine()
	if err != nil {
		return err
	}
	digits, extensions, _ := bytes.Cut(line, []byte{';'})
	digits = bytes.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(string(digits), 16, 63)
	if err != nil || len(digits) > maxChunkDigits || !httphead.IsText(extensions) {
		return errMalformedChunk
	}
	c.remaining, c.inChunk = int64(size), true
	if size > 0 {
		return nil
	}
	for range maxTrailers {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			c.done = true
			return nil
		}
		if _, _, err := httphead.ParseField(line); err != nil {
			return errMalformedChunk
		}
	}
	return errMalformedChunk
}

// readLine reads a line without its end. The bytes are valid until the next read.
func (c *chunkedReader) readLine() ([]byte, error) {
	line, err := c.r.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	if len(line) > maxChunkLine {
		return nil, errMalformedChunk
	}
	return httphead.TrimLineEnd(line), nil
}
