package virtual

import (
	"math"
	"time"
)

// link is a capacity in bytes per second that its flows share equally.
type link struct {
	rate  float64
	flows []*flow
	// bytes counts what passed.
	bytes float64
}

// flow moves bytes over links at the least of its equal shares.
type flow struct {
	sim   *clock
	links []*link
	// limit bounds the rate; zero means that only the links do.
	limit float64
	left  float64
	rate  float64
	since time.Duration
	due   *event
	done  func()
}

const never = time.Duration(math.MaxInt64)

// startFlow begins to move bytes; done runs when all have passed.
func startFlow(c *clock, bytes int64, limit float64, done func(), links ...*link) *flow {
	f := &flow{sim: c, links: links, limit: limit, left: float64(bytes), since: c.now, done: done}
	f.due = &event{at: never, run: f.finish, index: -1}
	c.seq++
	f.due.seq = c.seq
	for _, l := range links {
		l.flows = append(l.flows, f)
	}
	f.share()
	return f
}

// share sets the rates of all flows that share a link with f.
func (f *flow) share() {
	for _, l := range f.links {
		l.share()
	}
}

func (l *link) share() {
	for _, f := range l.flows {
		f.update()
	}
}

func (l *link) setRate(rate float64) {
	l.rate = rate
	l.share()
}

func (f *flow) update() {
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
	f.settle()
	f.rate = rate
	if rate <= 0 {
		f.sim.cancel(f.due)
		return
	}
	f.sim.move(f.due, f.sim.now+time.Duration(math.Ceil(f.left/rate*float64(time.Second))))
}

func (f *flow) settle() {
	moved := min(f.left, f.rate*(f.sim.now-f.since).Seconds())
	f.left -= moved
	f.since = f.sim.now
	for _, l := range f.links {
		l.bytes += moved
	}
}

func (f *flow) finish() {
	f.settle()
	f.detach()
	f.done()
}

// stop ends the flow before its time.
func (f *flow) stop() {
	f.settle()
	f.sim.cancel(f.due)
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
		l.share()
	}
}
