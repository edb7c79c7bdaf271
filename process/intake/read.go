package intake

import (
	"bytes"
	"io"
	"sync"
)

const (
	// firstChunk and maxChunk bound the buffers into which a body is read: a caller that sends
	// little makes the process hold little.
	firstChunk = 4 << 10
	maxChunk   = 64 << 10
)

// chunks holds buffers of maxChunk bytes for reuse: bodies that are refused halfway would
// otherwise leave garbage faster than it is collected.
var chunks = sync.Pool{New: func() any { return new([maxChunk]byte) }}

// ReadBody reads a body to its end, but at most limit bytes and one more, which tells that
// there are more. What it holds grows with what has arrived, whatever length was declared; a
// negative one is unknown. A long body is copied once at the end.
func ReadBody(r io.Reader, declared, limit int64) ([]byte, error) {
	var b buffer
	defer b.release()
	for {
		part := b.next(declared, limit+1)
		if len(part) == 0 {
			return b.join(), nil
		}
		n, err := r.Read(part)
		b.fill(n)
		if err == io.EOF {
			return b.join(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// buffer holds a body in parts, the last of which is filled up to used.
type buffer struct {
	parts  [][]byte
	used   int
	total  int64
	pooled []*[maxChunk]byte
}

// next returns room for bytes; it is empty if the body has limit bytes.
func (b *buffer) next(declared, limit int64) []byte {
	if b.total >= limit {
		return nil
	}
	if len(b.parts) == 0 || b.used == len(b.parts[len(b.parts)-1]) {
		b.parts, b.used = append(b.parts, b.allocate(declared)), 0
	}
	last := b.parts[len(b.parts)-1]
	return last[b.used:min(int64(len(last)), int64(b.used)+limit-b.total)]
}

func (b *buffer) allocate(declared int64) []byte {
	switch {
	case b.total == 0 && declared > 0 && declared <= bodyFloor/bodyCost:
		return make([]byte, declared)
	case b.total < maxChunk:
		return make([]byte, max(firstChunk, b.total))
	default:
		c := chunks.Get().(*[maxChunk]byte)
		b.pooled = append(b.pooled, c)
		return c[:]
	}
}

func (b *buffer) fill(n int) {
	b.used += n
	b.total += int64(n)
}

// join returns the body.
func (b *buffer) join() []byte {
	if len(b.parts) == 0 {
		return nil
	}
	last := len(b.parts) - 1
	b.parts[last] = b.parts[last][:b.used]
	if last == 0 {
		return b.parts[0]
	}
	return bytes.Join(b.parts, nil)
}

func (b *buffer) release() {
	for _, c := range b.pooled {
		chunks.Put(c)
	}
}
