package transfer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// burstWindow is the time for which a bucket accumulates unused tokens.
	burstWindow = 50 * time.Millisecond
	// minBurst lets one read of a copy buffer pass at any rate, in bytes.
	minBurst = 64 << 10
	// maxPacedRead limits a single read of a paced reader, in bytes.
	maxPacedRead = 32 << 10
)

// bucket is a token bucket over bytes. Safe for concurrent use.
type bucket struct {
	clock clockwork.Clock

	mu sync.Mutex
	// rate is in bytes per second; zero means unlimited.
	rate   float64
	tokens float64
	last   time.Time
}

func newBucket(clock clockwork.Clock, rate float64) *bucket {
	return &bucket{clock: clock, rate: rate, last: clock.Now()}
}

// setRate changes the rate from now on.
func (b *bucket) setRate(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.rate = rate
}

func (b *bucket) refill() {
	now := b.clock.Now()
	burst := max(minBurst, b.rate*burstWindow.Seconds())
	b.tokens = min(burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
}

// reserve removes n tokens and returns how long to wait before using them.
func (b *bucket) reserve(n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate <= 0 {
		return 0
	}
	b.refill()
	b.tokens -= float64(n)
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

// wait reserves n tokens and waits until they are available.
func (b *bucket) wait(ctx context.Context, n int) error {
	delay := b.reserve(n)
	if delay <= 0 {
		return ctx.Err()
	}
	timer := b.clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pacedReader limits the rate of its reads with buckets. It calls onRead, if set,
// with the size of each read.
type pacedReader struct {
	ctx     context.Context
	r       io.Reader
	buckets []*bucket
	onRead  func(n int)
}

// Read implements io.Reader.
func (p *pacedReader) Read(buf []byte) (int, error) {
	n, err := p.r.Read(buf[:min(len(buf), maxPacedRead)])
	for _, b := range p.buckets {
		if waitErr := b.wait(p.ctx, n); waitErr != nil {
			return 0, waitErr
		}
	}
	if n > 0 && p.onRead != nil {
		p.onRead(n)
	}
	return n, err
}
