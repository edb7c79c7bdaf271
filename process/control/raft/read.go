package raft

// readQueue holds the reads that wait until a majority confirms the leader.
type readQueue struct {
	// round is the number of the latest round of confirmation.
	round uint64
	// deferred holds the tokens of reads requested before an entry of this term
	// was committed. Until then the leader does not know what is committed.
	deferred []uint64
	// pending holds the reads whose round is in progress, oldest first.
	pending []pendingRead
}

type pendingRead struct {
	ReadState
	round uint64
}

// clear drops all reads. The round number is not reset, so that a late reply to
// an old round confirms nothing.
func (q *readQueue) clear() {
	q.deferred, q.pending = nil, nil
}

// ReadIndex requests an index that covers everything committed before the call.
// It fails with ErrNotLeader on replicas that are not the leader. The result is
// returned in a Ready with the same token. It is never returned if the leadership
// is lost, so the owner must fail its reads once Role is not Leader.
func (r *Raft) ReadIndex(token uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if !r.committedInTerm() {
		r.reads.deferred = append(r.reads.deferred, token)
		return nil
	}
	r.startReadRound(token)
	return nil
}

// startReadRound starts a confirmation round for the tokens.
func (r *Raft) startReadRound(tokens ...uint64) {
	r.reads.round++
	for _, token := range tokens {
		r.reads.pending = append(r.reads.pending, pendingRead{
			ReadState: ReadState{Token: token, Index: r.log.committed},
			round:     r.reads.round,
		})
	}
	r.broadcastHeartbeat()
	r.releaseReads()
}

func (r *Raft) startDeferredReads() {
	if tokens := r.reads.deferred; len(tokens) > 0 {
		r.reads.deferred = nil
		r.startReadRound(tokens...)
	}
}

// releaseReads completes the reads whose round was confirmed by a majority.
func (r *Raft) releaseReads() {
	for len(r.reads.pending) > 0 && r.roundConfirmed(r.reads.pending[0].round) {
		r.readyReads = append(r.readyReads, r.reads.pending[0].ReadState)
		r.reads.pending = r.reads.pending[1:]
	}
}

func (r *Raft) roundConfirmed(round uint64) bool {
	return r.hasQuorum(func(id string) bool {
		p := r.progress[id]
		return id == r.cfg.ID || p != nil && p.round >= round
	})
}
