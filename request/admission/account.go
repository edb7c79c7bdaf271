package admission

import (
	"slices"
	"sync/atomic"
	"time"
)

// waiter is a request that waits for room.
type waiter struct {
	rank     int
	deadline time.Time
	try      func() bool
	// decided receives nil when the request may go, else its refusal.
	decided chan error
	account *account
	done    bool
}

// rankQueue holds the waiting requests of one priority, the oldest first.
type rankQueue struct {
	rank    int
	waiters []*waiter
}

// account is the queue of one client account at one service.
type account struct {
	name          string
	weight        float64
	maxConcurrent int
	// running counts the account's requests in progress at all services.
	running *atomic.Int64
	// start is the virtual time at which the account's next request is due.
	start float64
	turns int
	count int
	// queues are in descending order of rank.
	queues []rankQueue
}

func (a *account) push(w *waiter) {
	i, found := slices.BinarySearchFunc(a.queues, w.rank, func(q rankQueue, rank int) int { return rank - q.rank })
	if !found {
		a.queues = slices.Insert(a.queues, i, rankQueue{rank: w.rank})
	}
	a.queues[i].waiters = append(a.queues[i].waiters, w)
	a.count++
}

// ahead counts the waiting requests that go before a new one of a rank.
func (a *account) ahead(rank int) int {
	n := 0
	for i := range a.queues {
		if a.queues[i].rank >= rank {
			n += len(a.queues[i].waiters)
		}
	}
	return n
}

// head returns the queue whose turn it is: the highest rank, or now and then
// the lowest. It must not be called on an account without waiters.
func (a *account) head(lowTurn int) *rankQueue {
	if len(a.queues) > 1 && (a.turns+1)%lowTurn == 0 {
		return &a.queues[len(a.queues)-1]
	}
	return &a.queues[0]
}

// pop takes the first waiter off a queue.
func (a *account) pop(q *rankQueue) {
	q.waiters[0] = nil
	q.waiters = q.waiters[1:]
	a.count--
	a.turns++
	a.compact()
}

func (a *account) remove(w *waiter) {
	for i := range a.queues {
		q := &a.queues[i]
		if at := slices.Index(q.waiters, w); at >= 0 {
			q.waiters = slices.Delete(q.waiters, at, at+1)
			a.count--
			break
		}
	}
	a.compact()
}

func (a *account) compact() {
	a.queues = slices.DeleteFunc(a.queues, func(q rankQueue) bool { return len(q.waiters) == 0 })
}

func (a *account) atLimit() bool {
	return a.maxConcurrent > 0 && a.running.Load() >= int64(a.maxConcurrent)
}

// claim counts a request in where the account's limit and try permit it.
func (a *account) claim(try func() bool) bool {
	n := a.running.Add(1)
	if (a.maxConcurrent <= 0 || n <= int64(a.maxConcurrent)) && try() {
		return true
	}
	a.running.Add(-1)
	return false
}
