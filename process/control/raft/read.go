package raft

// readQueue holds the reads that wait for a majority to confirm the leader.
type readQueue struct {
	// round is the number of the latest round of confirmation.
	round uint64
	// waiting holds tokens that came before an entry of this term was
	// committed: until then the leader does not know what is committed.
	waiting []uint64
	// pending holds reads whose round is under way, oldest first.
	pending []pendingRead
}

type pendingRead struct {
	Read
	round uint64
}

// clear drops all reads. Rounds go on counting, so that a late answer to an
// old round confirms nothing.
func (q *readQueue) clear() {
	q.waiting, q.pending = nil, nil
}

// ReadIndex asks for an index that holds all that was committed before the
// call. The answer comes in a Ready under the same token. It never comes when
// the leadership is lost: the owner fails its reads once Role is not Leader.
func (r *Raft) ReadIndex(token uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if !r.committedInTerm() {
		r.reads.waiting = append(r.reads.waiting, token)
		return nil
	}
	r.startReads(token)
	return nil
}

// startReads begins a round of confirmation for the tokens.
func (r *Raft) startReads(tokens ...uint64) {
	r.reads.round++
	for _, token := range tokens {
		r.reads.pending = append(r.reads.pending, pendingRead{
			Read:  Read{Token: token, Index: r.log.committed},
			round: r.reads.round,
		})
	}
	r.broadcastHeartbeat()
	r.releaseReads()
}

func (r *Raft) startWaitingReads() {
	if tokens := r.reads.waiting; len(tokens) > 0 {
		r.reads.waiting = nil
		r.startReads(tokens...)
	}
}

// releaseReads answers the reads whose round a majority confirmed.
func (r *Raft) releaseReads() {
	for len(r.reads.pending) > 0 && r.confirmed(r.reads.pending[0].round) {
		r.answered = append(r.answered, r.reads.pending[0].Read)
		r.reads.pending = r.reads.pending[1:]
	}
}

func (r *Raft) confirmed(round uint64) bool {
	count := 0
	for _, id := range r.Members().Voters() {
		if id == r.cfg.ID || r.progress[id].round >= round {
			count++
		}
	}
	return count >= r.Members().Quorum()
}
