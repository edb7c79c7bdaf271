package admission

import (
	"slices"
	"sync/atomic"
	"time"
)

// waiter is a queued request.
type waiter struct {
	rank     int
	deadline time.Time
	// tryClaim claims a slot at a backend server; see Request.TryClaim.
	tryClaim func() bool
	// decision receives nil if the request is admitted, or its refusal.
	decision chan error
	account  *account
	// resolved is set once the request was admitted, refused or canceled.
	resolved bool
}

// rankQueue holds the waiting requests of one rank, oldest first.
type rankQueue struct {
	rank    int
	waiters []*waiter
}

// account is the queue of one client account at one service.
type account struct {
	name          string
	weight        float64
	maxConcurrent int
	// reach is that of the account's last request.
	reach Reach
	// running counts the account's requests in progress at all services.
	running *atomic.Int64
	// virtualStart is the virtual start time of the account's next request, as in
	// weighted fair queueing.
	virtualStart float64
	// dequeues counts the requests admitted or refused from the head of a queue.
	dequeues int
	waiting  int
	// queues are sorted by descending rank.
	queues []rankQueue
}

// push queues a waiter.
func (a *account) push(w *waiter) {
	i, found := slices.BinarySearchFunc(a.queues, w.rank, func(q rankQueue, rank int) int { return rank - q.rank })
	if !found {
		a.queues = slices.Insert(a.queues, i, rankQueue{rank: w.rank})
	}
	a.queues[i].waiters = append(a.queues[i].waiters, w)
	a.waiting++
}

// waitingAhead returns the number of waiting requests ahead of a new one of the
// given rank.
func (a *account) waitingAhead(rank int) int {
	n := 0
	for i := range a.queues {
		if a.queues[i].rank >= rank {
			n += len(a.queues[i].waiters)
		}
	}
	return n
}

// nextQueue returns the queue that is served next: the highest rank, or the lowest
// on every lowestEvery-th request so that it does not starve. It must not be called
// on an account without waiters.
func (a *account) nextQueue(lowestEvery int) *rankQueue {
	if len(a.queues) > 1 && (a.dequeues+1)%lowestEvery == 0 {
		return &a.queues[len(a.queues)-1]
	}
	return &a.queues[0]
}

// pop removes the first waiter of a queue.
func (a *account) pop(q *rankQueue) {
	q.waiters[0] = nil
	q.waiters = q.waiters[1:]
	a.waiting--
	a.dequeues++
	a.dropEmptyQueues()
}

// remove removes a waiter from its queue.
func (a *account) remove(w *waiter) {
	for i := range a.queues {
		q := &a.queues[i]
		if pos := slices.Index(q.waiters, w); pos >= 0 {
			q.waiters = slices.Delete(q.waiters, pos, pos+1)
			a.waiting--
			break
		}
	}
	a.dropEmptyQueues()
}

// dropEmptyQueues removes queues without waiters.
func (a *account) dropEmptyQueues() {
	a.queues = slices.DeleteFunc(a.queues, func(q rankQueue) bool { return len(q.waiters) == 0 })
}

// atLimit reports whether the account has reached its concurrency limit.
func (a *account) atLimit() bool {
	return a.maxConcurrent > 0 && a.running.Load() >= int64(a.maxConcurrent)
}

// tryStart counts a request as running if the account's concurrency limit permits
// it and tryClaim succeeds.
func (a *account) tryStart(tryClaim func() bool) bool {
	n := a.running.Add(1)
	if (a.maxConcurrent <= 0 || n <= int64(a.maxConcurrent)) && tryClaim() {
		return true
	}
	a.running.Add(-1)
	return false
}
