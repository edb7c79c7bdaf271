package stream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	eventBufferBytes = 8 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var (
	doneData   = []byte("data: [DONE]")
	doneTight  = []byte("data:[DONE]")
	idPrefix   = []byte("id:")
	noEventID  = -1
	lineEnding = []byte("\n")
)

// Event is one server-sent event in its raw form, with its blank line.
type Event struct {
	Raw []byte
	// ID is the event's number, or -1 where it has none.
	ID int
	// Done is set on the event that ends an answer.
	Done bool
}

// EventReader splits a body into events. Not safe for concurrent use.
type EventReader struct {
	r   *bufio.Reader
	buf []byte
}

var eventReaders = sync.Pool{New: func() any {
	return &EventReader{r: bufio.NewReaderSize(nil, eventBufferBytes)}
}}

// NewEventReader reads events from r. Its Release is called at the end.
func NewEventReader(r io.Reader) *EventReader {
	e := eventReaders.Get().(*EventReader)
	e.r.Reset(r)
	return e
}

// Release gives the reader's buffers back; neither the reader nor the last
// event may be used afterwards.
func (e *EventReader) Release() {
	e.r.Reset(nil)
	if cap(e.buf) > eventBufferBytes {
		e.buf = nil
	}
	eventReaders.Put(e)
}

// Next returns the next whole event; its Raw is valid until the call after.
// A body that ends within an event yields io.ErrUnexpectedEOF.
func (e *EventReader) Next() (Event, error) {
	e.buf = e.buf[:0]
	ev := Event{ID: noEventID}
	for {
		start := len(e.buf)
		if err := e.readLine(); err != nil {
			return ev, e.ended(err)
		}
		line := bytes.TrimRight(e.buf[start:], "\r\n")
		if len(line) == 0 {
			ev.Raw = e.buf
			return ev, nil
		}
		readField(&ev, line)
	}
}

func (e *EventReader) readLine() error {
	for {
		piece, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, piece...)
		if len(e.buf) > maxEventBytes {
			return result.New(result.BackendFailed, "an event exceeds %d bytes", maxEventBytes)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// ended tells a body that ended between events from one that ended within.
func (e *EventReader) ended(err error) error {
	if errors.Is(err, io.EOF) && len(e.buf) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readField(ev *Event, line []byte) {
	switch {
	case bytes.Equal(line, doneData), bytes.Equal(line, doneTight):
		ev.Done = true
	case bytes.HasPrefix(line, idPrefix):
		id, err := strconv.Atoi(string(bytes.TrimSpace(line[len(idPrefix):])))
		if err == nil {
			ev.ID = id
		}
	}
}

// ErrorEvent returns the event that ends an answer which can't be completed.
func ErrorEvent(err *result.Error) []byte {
	body := AppendErrorJSON([]byte("event: error\ndata: "), err)
	body = append(body, lineEnding...)
	return append(body, lineEnding...)
}

// Drained reports whether the next event has not arrived yet, so that it is
// worth flushing what was passed on.
func (e *EventReader) Drained() bool { return e.r.Buffered() == 0 }

// Finish reads what follows the last event, so that the connection can be
// used again.
func (e *EventReader) Finish() {
	_, _ = io.CopyN(io.Discard, e.r, maxTrailingBytes)
}

// maxTrailingBytes bounds what is read after the last event.
const maxTrailingBytes = 4 << 10
