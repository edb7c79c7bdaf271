package fakes

import (
	"context"
	"sort"
	"sync"
)

// slotQueue grants an engine's slots in the order of rank, highest first.
type slotQueue struct {
	mu       sync.Mutex
	free     int
	capacity int
	waiting  []*slotWaiter
}

type slotWaiter struct {
	rank    int
	granted chan struct{}
}

func newSlotQueue(limit int) *slotQueue {
	return &slotQueue{free: limit, capacity: limit}
}

func (q *slotQueue) counts() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.capacity - q.free, len(q.waiting)
}

// acquire waits for a slot and returns false when ctx is done before it gets one.
func (q *slotQueue) acquire(ctx context.Context, rank int) bool {
	q.mu.Lock()
	if q.free > 0 {
		q.free--
		q.mu.Unlock()
		return true
	}
	w := &slotWaiter{rank: rank, granted: make(chan struct{})}
	pos := sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].rank < rank })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[pos+1:], q.waiting[pos:])
	q.waiting[pos] = w
	q.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
		q.cancelWait(w)
		return false
	}
}

// cancelWait removes a waiter from the queue. If the waiter was granted a slot in
// the meantime, it releases the slot.
func (q *slotQueue) cancelWait(w *slotWaiter) {
	q.mu.Lock()
	for i := range q.waiting {
		if q.waiting[i] == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			q.mu.Unlock()
			return
		}
	}
	q.mu.Unlock()
	q.release()
}

func (q *slotQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.free++
		return
	}
	w := q.waiting[0]
	q.waiting = q.waiting[1:]
	close(w.granted)
}
