package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes limits the size of the lines that wait to be written.
	maxBufferedBytes = 256 << 10
	// flushInterval is how long lines are buffered, so that they are written in
	// batches.
	flushInterval = 200 * time.Millisecond
)

// Buffer is a writer that batches log lines for another writer without blocking
// its callers. Lines that do not fit are dropped and counted. It is safe for
// concurrent use.
type Buffer struct {
	out io.Writer

	mu             sync.Mutex
	pending        []byte
	spare          []byte
	dropped        int
	flushScheduled bool
	// flushMu serializes the writes to out. It is acquired before mu.
	flushMu sync.Mutex
}

// NewBuffer returns a buffer that writes to out.
func NewBuffer(out io.Writer) *Buffer { return &Buffer{out: out} }

// Write buffers one line. It never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(line) > maxBufferedBytes {
		b.dropped++
		return len(line), nil
	}
	b.pending = append(b.pending, line...)
	if !b.flushScheduled {
		b.flushScheduled = true
		time.AfterFunc(flushInterval, b.Flush)
	}
	return len(line), nil
}

// Flush writes the buffered lines and the number of dropped ones.
func (b *Buffer) Flush() {
	b.flushMu.Lock()
	defer b.flushMu.Unlock()
	b.mu.Lock()
	lines, dropped := b.pending, b.dropped
	b.pending, b.spare, b.dropped, b.flushScheduled = b.spare[:0], nil, 0, false
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "level=WARN msg=\"log lines dropped\" count=%d\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = b.out.Write(lines) // a failure of the log output can't be logged
	}
	b.mu.Lock()
	b.spare = lines
	b.mu.Unlock()
}
