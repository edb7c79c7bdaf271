// Package virtual simulates transfers to many VMs within seconds. It runs the
// planner's tables on simulated links and a virtual clock.
//
// It models the rates of the origin, of VM links and of pairs of regions, equal
// sharing of a link among its flows, latency, upload slots, updates between
// neighbors, corrupt chunks, failed and slow VMs and stalled links. It does not model
// TCP, disks, hashing, header overhead, live requests, entries and the propagation
// of views. Capacity that one flow cannot use is not given to the other flows of a
// link. A simulation is deterministic for a seed, except for Result.PlanTime, and must
// be used by one goroutine at a time.
package virtual

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time.
type event struct {
	at    time.Duration
	seq   uint64
	run   func()
	index int
}

// clock is a virtual clock with a queue of events. Events of the same time run in the
// order of seq.
type clock struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

func (c *clock) schedule(d time.Duration, run func()) *event {
	c.seq++
	e := &event{at: c.now + d, seq: c.seq, run: run}
	heap.Push(&c.events, e)
	return e
}

// reschedule changes the time of an event, and queues the event if necessary.
func (c *clock) reschedule(e *event, at time.Duration) {
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

// step runs the next event. It returns false when there is none.
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
