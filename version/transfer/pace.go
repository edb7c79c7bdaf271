package transfer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// burstWindow is how much unused rate a bucket keeps.
	burstWindow = 50 * time.Millisecond
	// minBurst lets one read of a copy buffer pass at any rate.
	minBurst = 64 << 10
	// readSize is the most that a paced reader takes at once.
	readSize = 32 << 10
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

// take removes n tokens and returns how long to wait before using them.
func (b *bucket) take(n int) time.Duration {
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

// wait takes n tokens and waits until they are due.
func (b *bucket) wait(ctx context.Context, n int) error {
	delay := b.take(n)
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

// pacedReader passes what it reads through buckets and tells its progress.
type pacedReader struct {
	ctx      context.Context
	r        io.Reader
	buckets  []*bucket
	progress func(n int)
}

// Read implements io.Reader.
func (p *pacedReader) Read(buf []byte) (int, error) {
	n, err := p.r.Read(buf[:min(len(buf), readSize)])
	for _, b := range p.buckets {
		if waitErr := b.wait(p.ctx, n); waitErr != nil {
			return 0, waitErr
		}
	}
	if n > 0 && p.progress != nil {
		p.progress(n)
	}
	return n, err
}
