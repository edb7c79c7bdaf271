package raft

// HasReady reports whether Ready would return any work.
func (r *Raft) HasReady() bool {
	return r.snapshot != nil || len(r.messages) > 0 || len(r.readyReads) > 0 ||
		r.log.stable < r.log.lastIndex() || r.log.applied < r.log.committed ||
		r.mustSaveHardState()
}

// mustSaveHardState reports whether the term, the vote or that the membership is
// committed has to be saved. After a restart, a replica that does not know the latter
// needs a quorum of the membership before as well. A higher commit index alone need
// not be saved: it is saved together with other state, and a replica that restarts
// learns it again.
func (r *Raft) mustSaveHardState() bool {
	membersIndex := r.members.latest().index
	membersCommitted := membersIndex <= r.log.committed && membersIndex > r.savedHardState.Commit
	return membersCommitted || r.savedHardState.Term != r.term || r.savedHardState.Vote != r.vote
}

// Ready returns the pending work. No other method may be called before Advance.
func (r *Raft) Ready() Ready {
	rd := Ready{
		Snapshot:  r.snapshot,
		Entries:   r.log.slice(r.log.stable+1, r.log.lastIndex()),
		Messages:  r.messages,
		Committed: r.log.slice(r.log.applied+1, r.log.committed),
		Reads:     r.readyReads,
	}
	if r.mustSaveHardState() || len(rd.Entries) > 0 || rd.Snapshot != nil {
		hs := r.hardState()
		rd.HardState = &hs
	}
	return rd
}

// Advance confirms that the work in rd is done.
func (r *Raft) Advance(rd Ready) {
	r.messages, r.readyReads, r.snapshot = nil, nil, nil
	if rd.HardState != nil {
		r.savedHardState = *rd.HardState
	}
	if n := len(rd.Committed); n > 0 {
		r.log.applied = rd.Committed[n-1].Index
	}
	r.log.stable = r.log.lastIndex()
	if r.role != Leader {
		return
	}
	// The leader's own entries count only once they are synced to its disk.
	self := r.progress[r.cfg.ID]
	self.recordAck(r.log.stable)
	self.lastReply = r.tickCount
	if r.maybeCommit() {
		r.broadcastCommit()
	}
	r.stepDownIfRemoved()
}

// stepDownIfRemoved makes the leader step down if it is no longer a voter, once
// that membership change is committed.
func (r *Raft) stepDownIfRemoved() {
	if !r.Members().IsVoter(r.cfg.ID) && r.members.latest().index <= r.log.committed {
		r.becomeFollower(r.term, "")
	}
}

// Compact drops applied entries that a saved snapshot covers. It retains at most
// the last count entries and maxBytes for members that lag a little.
func (r *Raft) Compact(count, maxBytes int) {
	r.log.compact(r.log.compactionIndex(count, maxBytes))
	r.members = r.members.compact(r.log.baseIndex)
}

// Members returns the membership in effect.
func (r *Raft) Members() Members { return r.members.latest().members }

// MembersAt returns the membership in effect at index, which must not be
// compacted.
func (r *Raft) MembersAt(index uint64) Members { return r.members.at(index) }

// TermAt returns the term of the entry at index, or false if the log does not
// contain it.
func (r *Raft) TermAt(index uint64) (uint64, bool) { return r.log.term(index) }

// Status is a snapshot of the core's state for status output and decisions.
type Status struct {
	ID        string       `json:"id"`
	Role      string       `json:"role"`
	Term      uint64       `json:"term"`
	Leader    string       `json:"leader"`
	First     uint64       `json:"first_index"`
	Last      uint64       `json:"last_index"`
	Committed uint64       `json:"committed"`
	Applied   uint64       `json:"applied"`
	Members   Members      `json:"members"`
	Peers     []PeerStatus `json:"peers,omitempty"`
}

// PeerStatus is the leader's view of a member.
type PeerStatus struct {
	ID    string `json:"id"`
	Match uint64 `json:"match"`
	// Active is set if the member replied within the election timeout.
	Active bool `json:"active"`
	// SilentTicks counts the ticks since the member's last reply.
	SilentTicks uint64 `json:"silent_ticks"`
}

// Ticks returns the number of ticks since the start.
func (r *Raft) Ticks() uint64 { return r.tickCount }

// Role returns the replica's current role.
func (r *Raft) Role() Role { return r.role }

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.term }

// LeaderID returns the ID of the current term's leader, or "" if it is unknown.
func (r *Raft) LeaderID() string { return r.leader }

// Applied returns the highest index applied by the owner.
func (r *Raft) Applied() uint64 { return r.log.applied }

// ChangePending reports whether ProposeMembers would currently fail with
// ErrChangePending.
func (r *Raft) ChangePending() bool {
	return r.members.latest().index > r.log.committed || !r.committedInTerm()
}

// TicksSinceContact returns the number of ticks since this leader last heard
// from a majority, or this follower from its leader. It returns false if no
// leader is known.
func (r *Raft) TicksSinceContact() (int, bool) {
	if r.role != Leader {
		return r.elapsedTicks, r.leader != ""
	}
	lastReply := r.quorumValue(func(id string) uint64 {
		switch p := r.progress[id]; {
		case id == r.cfg.ID:
			return r.tickCount
		case p == nil:
			return 0
		default:
			return p.lastReply
		}
	})
	return int(r.tickCount - lastReply), true
}

// Status returns the current status.
func (r *Raft) Status() Status {
	s := Status{
		ID: r.cfg.ID, Role: r.role.String(), Term: r.term, Leader: r.leader,
		First: r.log.baseIndex + 1, Last: r.log.lastIndex(),
		Committed: r.log.committed, Applied: r.log.applied, Members: r.Members(),
	}
	s.Peers = r.Peers()
	return s
}

// Peers returns the leader's view of all members, including itself. It is nil
// on other replicas.
func (r *Raft) Peers() []PeerStatus {
	if r.role != Leader {
		return nil
	}
	var peers []PeerStatus
	for _, m := range r.Members() {
		p := r.progress[m.ID]
		status := PeerStatus{ID: m.ID, Match: p.match, Active: r.active(p), SilentTicks: r.tickCount - p.lastReply}
		if m.ID == r.cfg.ID {
			status.Active, status.SilentTicks = true, 0
		}
		peers = append(peers, status)
	}
	return peers
}
