package forward

import (
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	readSize = 4 << 10
	// maxEvent bounds one event.
	maxEvent = 1 << 20
)

var (
	errEventTooLong = errors.New("an event is too long")
	errEventGap     = errors.New("an event is missing")
	errEventID      = errors.New("an event has no usable id")
)

// source is where events come from.
type source interface {
	io.Reader
	Buffered() bool
}

// eventReader reads whole events of a stream and drops those that the caller
// has already. Event ids are numbers that rise by one.
type eventReader struct {
	src source
	buf []byte
	// last is the id of the last event that was returned; known is unset while
	// there is none.
	last  int64
	known bool
	// ended is why the source gives no more.
	ended error
}

// from begins to read from another source.
func (e *eventReader) from(src source) { e.src, e.buf, e.ended = src, nil, nil }

// next returns the bytes of one or more whole events, as many as are at hand.
// It returns io.EOF at the stream's true end. What was read of an event that
// broke off is dropped.
func (e *eventReader) next() (events []byte, count int, err error) {
	for {
		events, count, err = e.take()
		if err != nil || count > 0 {
			return events, count, err
		}
		if len(e.buf) > maxEvent {
			return nil, 0, errEventTooLong
		}
		if e.ended != nil {
			return nil, 0, e.end()
		}
		e.ended = e.fill()
	}
}

// end returns why the stream ended; one that ends inside an event broke off.
func (e *eventReader) end() error {
	if e.ended == io.EOF && len(bytes.TrimSpace(e.buf)) > 0 { //nolint:errorlint // sources return io.EOF itself
		return io.ErrUnexpectedEOF
	}
	return e.ended
}

func (e *eventReader) fill() error {
	for {
		n := len(e.buf)
		e.buf = append(e.buf, make([]byte, readSize)...)
		got, err := e.src.Read(e.buf[n:])
		e.buf = e.buf[:n+got]
		if err != nil || !e.src.Buffered() || len(e.buf) > maxEvent {
			return err
		}
	}
}

// take cuts whole events off the buffer.
func (e *eventReader) take() ([]byte, int, error) {
	var out []byte
	count := 0
	for {
		end := eventEnd(e.buf)
		if end < 0 {
			e.buf = bytes.Clone(e.buf)
			return out, count, nil
		}
		event := e.buf[:end]
		e.buf = e.buf[end:]
		id, has, err := eventID(event)
		if err != nil {
			return out, count, err
		}
		if has {
			switch {
			case e.known && id <= e.last:
				continue
			case e.known && id != e.last+1:
				return out, count, errEventGap
			}
			e.last, e.known = id, true
			count++
		}
		out = append(out, event...)
	}
}

// eventEnd returns the index behind the empty line that ends the first event,
// or -1.
func eventEnd(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + 4
	case lf >= 0:
		return lf + 2
	default:
		return -1
	}
}

// eventID returns the id of an event; has is unset where it has none.
func eventID(event []byte) (id int64, has bool, err error) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(strings.TrimSpace(string(value)), 10, 64)
		if err != nil {
			return 0, false, errEventID
		}
		return id, true, nil
	}
	return 0, false, nil
}
