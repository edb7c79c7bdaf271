package virtual

import (
	"math"
	"time"
)

// link has a rate in bytes per second, which its flows share equally.
type link struct {
	rate  float64
	flows []*flow
	// bytes counts the bytes transferred.
	bytes float64
}

// flow transfers bytes over several links, at the smallest of its shares of them.
type flow struct {
	clock *clock
	links []*link
	// limit is the maximum rate; zero means that only the links limit it.
	limit      float64
	remaining  float64
	rate       float64
	updatedAt  time.Duration
	completion *event
	done       func()
}

const never = time.Duration(math.MaxInt64)

// startFlow starts to transfer bytes over the links. It calls done when all bytes are
// transferred.
func startFlow(c *clock, bytes int64, limit float64, done func(), links ...*link) *flow {
	f := &flow{clock: c, links: links, limit: limit, remaining: float64(bytes), updatedAt: c.now, done: done}
	f.completion = &event{at: never, run: f.finish, index: -1}
	c.seq++
	f.completion.seq = c.seq
	for _, l := range links {
		l.flows = append(l.flows, f)
	}
	f.rebalance()
	return f
}

// rebalance updates the rates of all flows that share a link with f.
func (f *flow) rebalance() {
	for _, l := range f.links {
		l.rebalance()
	}
}

func (l *link) rebalance() {
	for _, f := range l.flows {
		f.updateRate()
	}
}

func (l *link) setRate(rate float64) {
	l.rate = rate
	l.rebalance()
}

func (f *flow) updateRate() {
	rate := math.Inf(1)
	if f.limit > 0 {
		rate = f.limit
	}
	for _, l := range f.links {
		rate = min(rate, l.rate/float64(len(l.flows)))
	}
	if rate == f.rate {
		return
	}
	f.advance()
	f.rate = rate
	if rate <= 0 {
		f.clock.cancel(f.completion)
		return
	}
	f.clock.reschedule(f.completion, f.clock.now+time.Duration(math.Ceil(f.remaining/rate*float64(time.Second))))
}

func (f *flow) advance() {
	moved := min(f.remaining, f.rate*(f.clock.now-f.updatedAt).Seconds())
	f.remaining -= moved
	f.updatedAt = f.clock.now
	for _, l := range f.links {
		l.bytes += moved
	}
}

func (f *flow) finish() {
	f.advance()
	f.detach()
	f.done()
}

// abort ends the flow before all bytes are transferred. It does not call done.
func (f *flow) abort() {
	f.advance()
	f.clock.cancel(f.completion)
	f.detach()
}

func (f *flow) detach() {
	links := f.links
	f.links = nil
	for _, l := range links {
		for i, other := range l.flows {
			if other == f {
				last := len(l.flows) - 1
				l.flows[i] = l.flows[last]
				l.flows = l.flows[:last]
				break
			}
		}
		l.rebalance()
	}
}
