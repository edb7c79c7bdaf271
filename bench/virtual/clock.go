// Package virtual drives the planner's tables over virtual links and a virtual
// clock, to measure transfers to many VMs in seconds.
//
// What it models: rates of the origin, of VM links and of pairs of regions,
// equal shares among the flows of a link, latency, upload slots, news between
// neighbors, corrupt chunks, dead and slow VMs and stalled links. What it
// leaves out: TCP, disks, hashing, the cost of headers, live requests, entries
// and the spreading of views, and that capacity which one flow can't use
// passes to the others of a link. It is deterministic for a seed and used by
// one goroutine at a time.
package virtual

import (
	"container/heap"
	"time"
)

// event is a function that is due at a time.
type event struct {
	at    time.Duration
	seq   uint64
	run   func()
	index int
}

// clock is a queue of events; seq keeps those of one instant in order.
type clock struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

func (c *clock) after(d time.Duration, run func()) *event {
	c.seq++
	e := &event{at: c.now + d, seq: c.seq, run: run}
	heap.Push(&c.events, e)
	return e
}

// move changes when a queued event is due, queueing it if it is not.
func (c *clock) move(e *event, at time.Duration) {
	e.at = at
	if e.index < 0 {
		heap.Push(&c.events, e)
		return
	}
	heap.Fix(&c.events, e.index)
}

func (c *clock) cancel(e *event) {
	if e.index >= 0 {
		heap.Remove(&c.events, e.index)
	}
}

// step runs the next event; it reports false when there is none.
func (c *clock) step() bool {
	if len(c.events) == 0 {
		return false
	}
	e := heap.Pop(&c.events).(*event)
	c.now = e.at
	e.run()
	return true
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	e := x.(*event)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.index = -1
	return e
}
