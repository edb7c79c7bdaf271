package obs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBuffered bounds the lines that wait to be written.
	maxBuffered = 256 << 10
	// flushInterval is how long lines wait, so that many are written at once.
	flushInterval = 200 * time.Millisecond
)

// Buffer passes what is written to it on to another writer, joined and without
// blocking its callers. What does not fit is dropped and counted. Safe for
// concurrent use.
type Buffer struct {
	out io.Writer

	mu      sync.Mutex
	lines   []byte
	spare   []byte
	dropped int
	waiting bool
	// writing orders the writes to out; it is taken before mu.
	writing sync.Mutex
}

// NewBuffer returns a buffer before out.
func NewBuffer(out io.Writer) *Buffer { return &Buffer{out: out} }

// Write takes in one line.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.lines)+len(line) > maxBuffered {
		b.dropped++
		return len(line), nil
	}
	b.lines = append(b.lines, line...)
	if !b.waiting {
		b.waiting = true
		time.AfterFunc(flushInterval, b.Flush)
	}
	return len(line), nil
}

// Flush writes what waits.
func (b *Buffer) Flush() {
	b.writing.Lock()
	defer b.writing.Unlock()
	b.mu.Lock()
	lines, dropped := b.lines, b.dropped
	b.lines, b.spare, b.dropped, b.waiting = b.spare[:0], nil, 0, false
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "level=WARN msg=\"log lines dropped\" count=%d\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = b.out.Write(lines) // there is nowhere to report it
	}
	b.mu.Lock()
	b.spare = lines
	b.mu.Unlock()
}
