package raft

// campaign requests the votes of all voters, as a PreCandidate without raising
// the term or as a Candidate in a new term. transfer is set if the leader asked
// for the campaign.
func (r *Raft) campaign(role Role, transfer bool) {
	r.resetTimer()
	r.role = role
	r.leader = ""
	r.votes = map[string]bool{r.cfg.ID: true}
	r.fixLostVoters()
	kind, term := PreVote, r.term+1
	if role == Candidate {
		r.term++
		r.vote = r.cfg.ID
		kind, term = Vote, r.term
	}
	if r.countVotes() {
		return
	}
	for _, m := range r.ElectingVoters() {
		if m.ID != r.cfg.ID {
			r.send(Message{
				Kind: kind, To: m.ID, Term: term,
				Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(), Transfer: transfer,
			})
		}
	}
}

// handleVote replies to a vote request. A voter grants one vote per term, and
// only to a candidate whose log is at least as up to date as its own. A learner
// replies too, because it may have been promoted without knowing it yet.
func (r *Raft) handleVote(m Message) {
	canGrant := r.vote == m.From || (r.vote == "" && r.leader == "")
	if m.Kind == PreVote {
		canGrant = m.Term > r.term
	}
	grant := canGrant && !r.cfg.NeverVote && r.log.isUpToDate(m.Index, m.LogTerm)
	reply := Message{Kind: VoteReply, To: m.From, Term: r.term, Reject: !grant}
	if m.Kind == PreVote {
		reply.Kind = PreVoteReply
		if grant {
			reply.Term = m.Term
		}
	}
	if grant && m.Kind == Vote {
		r.vote = m.From
		r.elapsedTicks = 0
	}
	r.send(reply)
}

func (r *Raft) handleVoteReply(m Message) {
	expected := r.role == PreCandidate && m.Kind == PreVoteReply && (m.Reject || m.Term == r.term+1)
	expected = expected || (r.role == Candidate && m.Kind == VoteReply)
	if !expected {
		return
	}
	r.votes[m.From] = !m.Reject
	r.countVotes()
}

// countVotes reports whether the campaign is decided, and then starts the next
// phase, becomes leader or returns to follower.
func (r *Raft) countVotes() bool {
	granted := func(id string) bool { return r.votes[id] }
	refused := func(id string) bool { yes, answered := r.votes[id]; return answered && !yes }
	switch {
	case r.hasQuorum(granted) && r.role == PreCandidate:
		r.campaign(Candidate, false)
	case r.hasQuorum(granted):
		r.becomeLeader()
	case r.hasQuorum(refused):
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
	r.elapsedTicks = 0
	r.settledFrom = 0
	r.reads.clear()
	r.progress = map[string]*progress{}
	r.updateProgress()
	r.progress[r.cfg.ID].match = r.log.stable
	// Entries of earlier terms are committed only by committing an entry of this
	// term. Even if a majority holds them, a candidate without them could still
	// be elected and overwrite them.
	r.appendAndBroadcast(Entry{Kind: EntryEmpty})
}
