package raft

// campaign asks the voters for their votes, as a PreCandidate without raising
// the term, then as a Candidate. A transfer was asked for by the leader.
func (r *Raft) campaign(role Role, transfer bool) {
	r.resetTimer()
	r.role = role
	r.leader = ""
	r.votes = map[string]bool{r.cfg.ID: true}
	kind, term := PreVote, r.term+1
	if role == Candidate {
		r.term++
		r.vote = r.cfg.ID
		kind, term = Vote, r.term
	}
	if r.countVotes() {
		return
	}
	for _, id := range r.Members().Voters() {
		if id != r.cfg.ID {
			r.send(Message{
				Kind: kind, To: id, Term: term,
				Index: r.log.last(), LogTerm: r.log.lastTerm(), Transfer: transfer,
			})
		}
	}
}

// handleVote answers a request for a vote. A voter grants one vote a term, and
// only to a candidate whose log holds all that its own log holds. A learner
// answers too: it may have been promoted without having heard of it.
func (r *Raft) handleVote(m Message) {
	free := r.vote == m.From || (r.vote == "" && r.leader == "")
	if m.Kind == PreVote {
		free = m.Term > r.term
	}
	grant := free && !r.cfg.NeverVote && r.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: VoteReply, To: m.From, Term: r.term, Reject: !grant}
	if m.Kind == PreVote {
		reply.Kind = PreVoteReply
		if grant {
			reply.Term = m.Term
		}
	}
	if grant && m.Kind == Vote {
		r.vote = m.From
		r.elapsed = 0
	}
	r.send(reply)
}

func (r *Raft) handleVoteReply(m Message) {
	wanted := r.role == PreCandidate && m.Kind == PreVoteReply && (m.Reject || m.Term == r.term+1)
	wanted = wanted || (r.role == Candidate && m.Kind == VoteReply)
	if !wanted {
		return
	}
	r.votes[m.From] = !m.Reject
	r.countVotes()
}

// countVotes moves on once the campaign is decided, and reports whether it is.
func (r *Raft) countVotes() bool {
	granted, refused := 0, 0
	for _, id := range r.Members().Voters() {
		yes, answered := r.votes[id]
		switch {
		case answered && yes:
			granted++
		case answered:
			refused++
		}
	}
	quorum := r.Members().Quorum()
	switch {
	case granted >= quorum && r.role == PreCandidate:
		r.campaign(Candidate, false)
	case granted >= quorum:
		r.becomeLeader()
	case refused >= quorum:
		r.becomeFollower(r.term, "")
	default:
		return false
	}
	return true
}

func (r *Raft) becomeLeader() {
	r.role = Leader
	r.leader = r.cfg.ID
	r.votes = nil
	r.elapsed = 0
	r.reads.clear()
	r.progress = map[string]*progress{}
	r.trackMembers()
	r.progress[r.cfg.ID].match = r.log.stable
	// Entries of earlier terms count as committed only beneath one of this
	// term: a majority that merely holds them may still be outvoted.
	r.appendEntry(Entry{Kind: EntryEmpty})
}
