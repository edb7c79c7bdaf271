package pieces

import (
	"context"
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/version/planner"
)

// maxConcurrentSends limits the pieces sent at once. With one, a stalled receiver
// would delay the others; with many, pieces would stay incomplete, and thus
// useless to their receivers, for longer.
const maxConcurrentSends = 2

// uploadRequest is a request of another agent for any one of a set of pieces.
type uploadRequest struct {
	key    Key
	wanted planner.Bits
	// from is the IP address of the requesting agent.
	from string
	// far is set for an agent of another region, which passes the piece on there;
	// slow for one that took long to receive its last piece.
	far, slow bool
	// wave is the position of the requesting agent's wave; see Plan.wave.
	wave int
	// assigned receives the piece to send when the request leaves the queue.
	assigned chan int
}

// queue decides which request is answered next and with which piece. It is
// guarded by the mutex of its store.
type queue struct {
	waiting []*uploadRequest
	// activeSends counts the pieces being sent, slowSends those of them that go
	// to slow agents.
	activeSends, slowSends int
	// sendTimes holds, by agent address, how long the last piece took to send.
	sendTimes transferTimes
}

// dispatch assigns pieces to waiting requests while send slots are free.
func (q *queue) dispatch(versions map[Key]*versionPieces) {
	for q.activeSends < maxConcurrentSends {
		i, piece := selectNext(q.waiting, versions, q.slowSends == 0)
		if i < 0 {
			return
		}
		r := q.waiting[i]
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.activeSends++
		if r.slow {
			q.slowSends++
		}
		versions[r.key].sendCounts[piece]++
		r.assigned <- piece
	}
}

// selectNext returns the index of the request to answer next and the piece to
// send, or index -1 if there is none. Agents of other regions come first, slow
// agents last and only if allowSlow is set; the others in the order of their waves,
// and within a wave in that of arrival.
func selectNext(waiting []*uploadRequest, versions map[Key]*versionPieces, allowSlow bool) (index, piece int) {
	index = -1
	for i, r := range waiting {
		if r.slow && !allowSlow || index >= 0 && !r.precedes(waiting[index]) {
			continue
		}
		if p := versions[r.key].leastSent(r.wanted); p >= 0 {
			index, piece = i, p
		}
	}
	return index, piece
}

// precedes reports whether r, which arrived later, is answered before other.
func (r *uploadRequest) precedes(other *uploadRequest) bool {
	if r.slow != other.slow {
		return other.slow
	}
	if r.far != other.far {
		return r.far
	}
	return r.wave < other.wave
}

// leastSent returns the held piece among the wanted ones that was sent least
// often, or -1.
func (v *versionPieces) leastSent(wanted planner.Bits) int {
	best := -1
	if v == nil {
		return best
	}
	for i, data := range v.pieces {
		if data != nil && wanted.Has(i) && (best < 0 || v.sendCounts[i] < v.sendCounts[best]) {
			best = i
		}
	}
	return best
}

// acquire waits until the request gets a send slot and returns the piece to
// send. If wait is set it also waits until one of the wanted pieces is held;
// otherwise it returns no data if none is. It returns no data if ctx ends first.
// If it returns data, release must be called after the piece was sent.
func (s *Store) acquire(ctx context.Context, r *uploadRequest, wait bool) (piece int, data []byte) {
	r.assigned = make(chan int, 1)
	s.mu.Lock()
	if !wait && s.versions[r.key].leastSent(r.wanted) < 0 {
		s.mu.Unlock()
		return 0, nil
	}
	r.slow = s.queue.sendTimes.slowAgents()[r.from]
	s.queue.waiting = append(s.queue.waiting, r)
	s.queue.dispatch(s.versions)
	s.mu.Unlock()
	select {
	case piece = <-r.assigned:
		return piece, s.assignedPiece(r, piece)
	case <-ctx.Done():
	}
	s.mu.Lock()
	if i := slices.Index(s.queue.waiting, r); i >= 0 {
		s.queue.waiting = slices.Delete(s.queue.waiting, i, i+1)
		s.mu.Unlock()
		return 0, nil
	}
	s.mu.Unlock()
	piece = <-r.assigned
	return piece, s.assignedPiece(r, piece)
}

// assignedPiece returns the data of the assigned piece. It returns nil, and
// frees the slot, if the version was dropped in the meantime.
func (s *Store) assignedPiece(r *uploadRequest, piece int) []byte {
	data := s.Piece(r.key, piece)
	if data == nil {
		s.release(r, 0)
	}
	return data
}

// release frees a send slot. sendTime is how long sending the piece took, 0 if
// it was not sent.
func (s *Store) release(r *uploadRequest, sendTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.activeSends--
	if r.slow {
		s.queue.slowSends--
	}
	if sendTime > 0 {
		s.queue.sendTimes[r.from] = sendTime
	}
	s.queue.dispatch(s.versions)
}
