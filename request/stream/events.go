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
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
)

var (
	doneData        = []byte("data: [DONE]")
	doneDataNoSpace = []byte("data:[DONE]")
	idPrefix        = []byte("id:")
	noEventID       = -1
	lineEnding      = []byte("\n")
)

// Event is a server-sent event in raw form, including the terminating blank
// line.
type Event struct {
	Raw []byte
	// ID is the numeric event ID, or -1 if there is none.
	ID int
	// Done is set on the final event of a stream.
	Done bool
}

// EventReader reads server-sent events from a body. Not safe for concurrent
// use.
type EventReader struct {
	r   *bufio.Reader
	buf []byte
}

var eventReaders = sync.Pool{New: func() any {
	return &EventReader{r: bufio.NewReaderSize(nil, eventBufferBytes)}
}}

// NewEventReader returns a reader of events from r. The caller must call
// Release when done.
func NewEventReader(r io.Reader) *EventReader {
	e := eventReaders.Get().(*EventReader)
	e.r.Reset(r)
	return e
}

// Release returns the reader's buffers to the pool; neither the reader nor the
// last event may be used afterwards.
func (e *EventReader) Release() {
	e.r.Reset(nil)
	if cap(e.buf) > eventBufferBytes {
		e.buf = nil
	}
	eventReaders.Put(e)
}

// Next returns the next complete event; its Raw is valid until the next call.
// A body that ends within an event yields io.ErrUnexpectedEOF.
func (e *EventReader) Next() (Event, error) {
	e.buf = e.buf[:0]
	ev := Event{ID: noEventID}
	for {
		start := len(e.buf)
		if err := e.readLine(); err != nil {
			return ev, e.endError(err)
		}
		line := bytes.TrimRight(e.buf[start:], "\r\n")
		if len(line) == 0 {
			ev.Raw = e.buf
			return ev, nil
		}
		parseField(&ev, line)
	}
}

func (e *EventReader) readLine() error {
	for {
		part, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, part...)
		if len(e.buf) > maxEventBytes {
			return result.New(result.BackendFailed, "an event exceeds %d bytes", maxEventBytes)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// endError distinguishes a body that ended between events from one that ended
// within an event.
func (e *EventReader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(e.buf) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

func parseField(ev *Event, line []byte) {
	switch {
	case bytes.Equal(line, doneData), bytes.Equal(line, doneDataNoSpace):
		ev.Done = true
	case bytes.HasPrefix(line, idPrefix):
		id, err := strconv.Atoi(string(bytes.TrimSpace(line[len(idPrefix):])))
		if err == nil {
			ev.ID = id
		}
	}
}

// ErrorEvent returns the event that ends a stream which can't be completed.
func ErrorEvent(err *result.Error) []byte {
	body := AppendErrorJSON([]byte("event: error\ndata: "), err)
	body = append(body, lineEnding...)
	return append(body, lineEnding...)
}

// BufferEmpty reports whether no further data is buffered. The caller should
// then flush the events that it has forwarded.
func (e *EventReader) BufferEmpty() bool { return e.r.Buffered() == 0 }

// DiscardTrailing reads and discards what follows the final event, so that the
// connection can be reused.
func (e *EventReader) DiscardTrailing() {
	_, _ = io.CopyN(io.Discard, e.r, maxTrailingBytes)
}

// maxTrailingBytes limits how much is read after the final event.
const maxTrailingBytes = 4 << 10
