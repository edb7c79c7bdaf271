package pieces

import (
	"context"
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/version/planner"
)

// sendsAtOnce is how many pieces are sent at once: an agent that takes nothing
// must not hold up the others, and halves of many pieces are of no use to
// anybody.
const sendsAtOnce = 2

// waiter is a request of another agent for any of some pieces.
type waiter struct {
	key    Key
	wanted planner.Bits
	// from is the address that the request came from.
	from string
	// far is set for an agent of another region, from which the piece spreads
	// further; slow for one that took long to receive its last piece.
	far, slow bool
	// turn gets the piece to send once it is this request's turn.
	turn chan int
}

// queue decides which request is answered next, and with which piece. It is
// guarded by the lock of its store.
type queue struct {
	waiting []*waiter
	// sending counts pieces that are being sent, slow those of them that go to
	// slow agents.
	sending, slow int
	// took holds how long agents, by address, took to receive their last piece.
	took timings
}

// pump gives turns to requests that can be answered.
func (q *queue) pump(sets map[Key]*set) {
	for q.sending < sendsAtOnce {
		at, piece := next(q.waiting, sets, q.slow == 0)
		if at < 0 {
			return
		}
		w := q.waiting[at]
		q.waiting = slices.Delete(q.waiting, at, at+1)
		q.sending++
		if w.slow {
			q.slow++
		}
		sets[w.key].given[piece]++
		w.turn <- piece
	}
}

// next returns the request to be answered next and the piece that it gets, or
// -1: slow agents last, and only where slow is set; those of other regions first;
// else in the order in which they came.
func next(waiting []*waiter, sets map[Key]*set, slow bool) (at, piece int) {
	at = -1
	for i, w := range waiting {
		if w.slow && !slow || at >= 0 && !w.beats(waiting[at]) {
			continue
		}
		if p := sets[w.key].pick(w.wanted); p >= 0 {
			at, piece = i, p
		}
	}
	return at, piece
}

// beats reports whether w, which came later, goes before o.
func (w *waiter) beats(o *waiter) bool {
	if w.slow != o.slow {
		return o.slow
	}
	return w.far && !o.far
}

// pick returns the wanted piece that is held and was given least often, or -1.
func (s *set) pick(wanted planner.Bits) int {
	best := -1
	if s == nil {
		return best
	}
	for i, data := range s.pieces {
		if data != nil && wanted.Has(i) && (best < 0 || s.given[i] < s.given[best]) {
			best = i
		}
	}
	return best
}

// take waits until one of the wanted pieces is held, if wait is set, and it is
// the request's turn to be answered. It returns no data when ctx ends before.
// Otherwise release must be called after the piece was sent.
func (s *Store) take(ctx context.Context, w *waiter, wait bool) (piece int, data []byte) {
	w.turn = make(chan int, 1)
	s.mu.Lock()
	if !wait && s.sets[w.key].pick(w.wanted) < 0 {
		s.mu.Unlock()
		return 0, nil
	}
	w.slow = s.queue.took.slow()[w.from]
	s.queue.waiting = append(s.queue.waiting, w)
	s.queue.pump(s.sets)
	s.mu.Unlock()
	select {
	case piece = <-w.turn:
		return piece, s.granted(w, piece)
	case <-ctx.Done():
	}
	s.mu.Lock()
	if at := slices.Index(s.queue.waiting, w); at >= 0 {
		s.queue.waiting = slices.Delete(s.queue.waiting, at, at+1)
		s.mu.Unlock()
		return 0, nil
	}
	s.mu.Unlock()
	piece = <-w.turn
	return piece, s.granted(w, piece)
}

// granted returns the piece of a turn. The version may have been dropped since.
func (s *Store) granted(w *waiter, piece int) []byte {
	data := s.Piece(w.key, piece)
	if data == nil {
		s.release(w, 0)
	}
	return data
}

// release ends a turn. took is how long the agent took to receive the piece.
func (s *Store) release(w *waiter, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.sending--
	if w.slow {
		s.queue.slow--
	}
	if took > 0 {
		s.queue.took[w.from] = took
	}
	s.queue.pump(s.sets)
}
