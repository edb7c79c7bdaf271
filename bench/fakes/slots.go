package fakes

import (
	"context"
	"sort"
	"sync"
)

// slotQueue hands out an engine's slots, highest rank first.
type slotQueue struct {
	mu      sync.Mutex
	free    int
	limit   int
	waiting []*slotWaiter
}

type slotWaiter struct {
	rank    int
	granted chan struct{}
}

func newSlotQueue(limit int) *slotQueue {
	return &slotQueue{free: limit, limit: limit}
}

func (q *slotQueue) counts() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limit - q.free, len(q.waiting)
}

// acquire waits for a slot and reports whether it got one before ctx ended.
func (q *slotQueue) acquire(ctx context.Context, rank int) bool {
	q.mu.Lock()
	if q.free > 0 {
		q.free--
		q.mu.Unlock()
		return true
	}
	w := &slotWaiter{rank: rank, granted: make(chan struct{})}
	at := sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].rank < rank })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = w
	q.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
		q.abandon(w)
		return false
	}
}

// abandon gives a slot back that was granted while the waiter left.
func (q *slotQueue) abandon(w *slotWaiter) {
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
