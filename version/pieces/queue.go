package pieces

import (
	"context"
	"slices"

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
	// far is set for an agent of another region, from which the piece spreads
	// further.
	far bool
	// turn gets the piece to send once it is this request's turn.
	turn chan int
}

// queue decides which request is answered next, and with which piece. It is
// guarded by the lock of its store.
type queue struct {
	waiting []*waiter
	sending int
}

// pump gives turns to requests that can be answered.
func (q *queue) pump(sets map[Key]*set) {
	for q.sending < sendsAtOnce {
		at, piece := next(q.waiting, sets)
		if at < 0 {
			return
		}
		w := q.waiting[at]
		q.waiting = slices.Delete(q.waiting, at, at+1)
		q.sending++
		sets[w.key].given[piece]++
		w.turn <- piece
	}
}

// next returns the request to be answered next and the piece that it gets, or
// -1: those of other regions first, else in the order in which they came.
func next(waiting []*waiter, sets map[Key]*set) (at, piece int) {
	at = -1
	for i, w := range waiting {
		if at >= 0 && (waiting[at].far || !w.far) {
			continue
		}
		if p := sets[w.key].pick(w.wanted); p >= 0 {
			at, piece = i, p
		}
	}
	return at, piece
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
	s.queue.waiting = append(s.queue.waiting, w)
	s.queue.pump(s.sets)
	s.mu.Unlock()
	select {
	case piece = <-w.turn:
		return piece, s.granted(w.key, piece)
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
	return piece, s.granted(w.key, piece)
}

// granted returns the piece of a turn. The version may have been dropped since.
func (s *Store) granted(k Key, piece int) []byte {
	data := s.Piece(k, piece)
	if data == nil {
		s.release()
	}
	return data
}

// release ends a turn.
func (s *Store) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.sending--
	s.queue.pump(s.sets)
}
