package forward

import (
	"bytes"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/platform"
)

const (
	// readSize is the size of one read from a source in bytes.
	readSize = 4 << 10
	// maxEvent bounds the size of one event in bytes.
	maxEvent = 1 << 20
)

var (
	errEventTooLong = errors.New("event exceeds the size limit")
	errEventGap     = errors.New("event IDs are not consecutive")
	errEventID      = errors.New("event ID is not a number")
	errNoEvents     = errors.New("a resumed stream ended without an event")
	errMalformed    = errors.New("stream contains text that is no event")
)

// unknownField matches the names of fields of later versions of the platform.
var unknownField = regexp.MustCompile(`^[a-z][A-Za-z0-9_-]*$`)

// source is the response body of one server.
type source interface {
	io.Reader
	// Buffered reports whether more bytes can be read without blocking.
	Buffered() bool
}

// eventReader reads complete events of a stream and skips those that the caller
// already has. Event IDs are consecutive numbers.
type eventReader struct {
	src source
	buf []byte
	// scanned is the number of bytes of buf that hold no end of an event.
	scanned int
	// held accounts for buf; nil if it is not accounted for.
	held *unfinished
	// lastID is the ID of the last event returned, or of the last event that the
	// caller has from an earlier request. hasLastID is unset while there is none.
	lastID    int64
	hasLastID bool
	// resumed is set if the caller has received a part of the stream already.
	resumed bool
	// weights records the versions of weights that events name; nil if they are not recorded.
	weights *versionTrace
	// srcErr is the error with which the source ended.
	srcErr error
}

// position returns the ID after which a server resumes the stream, or an empty string
// for its start. A nil reader has no position.
func (e *eventReader) position() string {
	if e == nil || !e.hasLastID {
		return ""
	}
	return strconv.FormatInt(e.lastID, 10)
}

// reset continues with another source after the last event.
func (e *eventReader) reset(src source, held *unfinished) {
	e.src, e.held, e.buf, e.scanned, e.srcErr = src, held, nil, 0, nil
}

// next returns the bytes of one or more complete events, as many as are
// available without blocking after the first. count is the number of those that
// have an ID. It returns io.EOF only if the stream ended after a complete event; a
// truncated event is discarded.
func (e *eventReader) next() (events []byte, count int, err error) {
	for {
		events, count, err = e.cutEvents()
		if err != nil || count > 0 {
			return events, count, err
		}
		if len(e.buf) > maxEvent {
			return nil, 0, errEventTooLong
		}
		if e.srcErr != nil {
			return nil, 0, e.endError()
		}
		e.srcErr = e.fill()
	}
}

// endError returns the error with which the stream ended. EOF inside an event is
// an unexpected EOF.
func (e *eventReader) endError() error {
	if e.srcErr == io.EOF && len(bytes.TrimSpace(e.buf)) > 0 { //nolint:errorlint // sources return io.EOF itself
		return io.ErrUnexpectedEOF
	}
	return e.srcErr
}

// fill appends the available bytes of the source to the buffer and blocks for the
// first one.
func (e *eventReader) fill() error {
	for {
		if err := e.grow(); err != nil {
			return err
		}
		n := len(e.buf)
		got, err := e.src.Read(e.buf[n : n+readSize])
		e.buf = e.buf[:n+got]
		if err != nil || !e.src.Buffered() || len(e.buf) > maxEvent {
			return err
		}
	}
}

// grow makes room for one read.
func (e *eventReader) grow() error {
	n := len(e.buf)
	if cap(e.buf)-n >= readSize {
		return nil
	}
	size := min(max(2*cap(e.buf), readSize), maxEvent+2*readSize)
	size = max(size, n+readSize)
	if err := e.held.hold(size); err != nil {
		return err
	}
	e.buf = append(make([]byte, 0, size), e.buf...)
	return nil
}

// keep keeps the rest of the buffer after events were cut off.
func (e *eventReader) keep(rest []byte) {
	e.scanned = len(rest)
	if cap(e.buf) <= unaccountedBytes {
		e.buf = e.buf[:copy(e.buf, rest)]
		return
	}
	e.buf = bytes.Clone(rest)
	_ = e.held.hold(cap(e.buf)) // less than before
}

// cutEvents removes the complete events from the buffer and returns those that
// the caller does not have.
func (e *eventReader) cutEvents() ([]byte, int, error) {
	var out []byte
	count := 0
	rest, scanned := e.buf, e.scanned
	for {
		end := eventEnd(rest, scanned)
		switch {
		case end < 0 && len(rest) == len(e.buf):
			e.scanned = len(rest)
			return out, count, nil
		case end < 0:
			e.keep(rest)
			return out, count, nil
		}
		event := rest[:end]
		rest, scanned = rest[end:], 0
		id, hasID, err := eventID(event)
		switch {
		case err != nil:
			return out, count, err
		case !wellFormed(event, hasID):
			return out, count, errMalformed
		}
		if e.weights != nil {
			e.weights.recordEvent(event, id)
		}
		if hasID {
			switch {
			case e.hasLastID && id <= e.lastID:
				continue
			case e.hasLastID && id != e.lastID+1:
				return out, count, errEventGap
			}
			e.lastID, e.hasLastID = id, true
			count++
		}
		out = append(out, event...)
	}
}

// eventEnd returns the index after the empty line that ends the first event, or
// -1 if the event is incomplete. The first scanned bytes are known to hold no such line.
func eventEnd(b []byte, scanned int) int {
	start := max(0, scanned-3)
	lf := bytes.Index(b[start:], []byte("\n\n"))
	crlf := bytes.Index(b[start:], []byte("\r\n\r\n"))
	if lf >= 0 {
		lf += start
	}
	if crlf >= 0 {
		crlf += start
	}
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + 4
	case lf >= 0:
		return lf + 2
	default:
		return -1
	}
}

// wellFormed reports whether a block of lines is an event or a comment. The text of an error
// that a server writes into its stream is neither. Unknown fields are accepted in events with
// an ID only, and if their names begin in lower case, unlike those of HTTP headers.
func wellFormed(event []byte, hasID bool) bool {
	for line := range bytes.Lines(event) {
		name, _, hasColon := strings.Cut(strings.TrimRight(string(line), "\r\n"), ":")
		switch name {
		case "", "id", "data", "event", "retry", platform.FieldWeightsVersion:
			continue
		}
		if !hasID || !hasColon || !unknownField.MatchString(name) {
			return false
		}
	}
	return true
}

// eventID returns the ID of an event; hasID is false if it has none.
func eventID(event []byte) (id int64, hasID bool, err error) {
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
