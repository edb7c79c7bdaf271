package raft

import "slices"

// HasReady reports whether Ready would return any work.
func (r *Raft) HasReady() bool {
	return r.snapshot != nil || len(r.messages) > 0 || len(r.answered) > 0 ||
		r.log.stable < r.log.last() || r.log.applied < r.log.committed ||
		r.mustSaveHardState()
}

// mustSaveHardState leaves out a mere rise of the commit index: it is saved
// along with what else is saved, and learned again otherwise.
func (r *Raft) mustSaveHardState() bool {
	return r.saved.Term != r.term || r.saved.Vote != r.vote
}

// Ready returns the work that has gathered. The core must not be called again
// before Advance.
func (r *Raft) Ready() Ready {
	rd := Ready{
		Snapshot:  r.snapshot,
		Entries:   r.log.slice(r.log.stable+1, r.log.last()),
		Messages:  r.messages,
		Committed: r.log.slice(r.log.applied+1, r.log.committed),
		Reads:     r.answered,
	}
	if r.mustSaveHardState() || len(rd.Entries) > 0 || rd.Snapshot != nil {
		hs := r.hardState()
		rd.HardState = &hs
	}
	return rd
}

// Advance tells that the work of rd is done.
func (r *Raft) Advance(rd Ready) {
	r.messages, r.answered, r.snapshot = nil, nil, nil
	if rd.HardState != nil {
		r.saved = *rd.HardState
	}
	if n := len(rd.Committed); n > 0 {
		r.log.applied = rd.Committed[n-1].Index
	}
	r.log.stable = r.log.last()
	if r.role != Leader {
		return
	}
	// The leader's own disk counts like any other: only once it is synced.
	self := r.progress[r.cfg.ID]
	self.acked(r.log.stable)
	self.heard = r.now
	if r.maybeCommit() {
		r.announceCommit()
	}
	r.stepDownIfRemoved()
}

// stepDownIfRemoved ends the leadership of a replica that is no voter anymore,
// once the change that says so is committed.
func (r *Raft) stepDownIfRemoved() {
	if !r.Members().IsVoter(r.cfg.ID) && r.members.latest().index <= r.log.committed {
		r.becomeFollower(r.term, "")
	}
}

// Compact drops applied entries that a saved snapshot holds, but for the last
// ones: count entries and maxBytes at most stay for members that lag a little.
func (r *Raft) Compact(count, maxBytes int) {
	r.log.compact(r.log.retained(count, maxBytes))
	r.members = r.members.compact(r.log.baseIndex)
}

// Members returns the membership in effect.
func (r *Raft) Members() Members { return r.members.latest().members }

// MembersAt returns the membership that was in effect at a held index.
func (r *Raft) MembersAt(index uint64) Members { return r.members.at(index) }

// TermAt returns the term of the entry at index; false when it is not held.
func (r *Raft) TermAt(index uint64) (uint64, bool) { return r.log.term(index) }

// Status is what the core tells of itself.
type Status struct {
	ID        string    `json:"id"`
	Role      string    `json:"role"`
	Term      uint64    `json:"term"`
	Leader    string    `json:"leader"`
	First     uint64    `json:"first_index"`
	Last      uint64    `json:"last_index"`
	Committed uint64    `json:"committed"`
	Applied   uint64    `json:"applied"`
	Members   Members   `json:"members"`
	Peers     []PeerLag `json:"peers,omitempty"`
}

// PeerLag is what a leader knows of a member.
type PeerLag struct {
	ID    string `json:"id"`
	Match uint64 `json:"match"`
	// Active is set when the member answered within the election timeout.
	Active bool `json:"active"`
	// Silent counts the ticks since the member last answered.
	Silent uint64 `json:"silent_ticks"`
}

// Role returns what the replica currently is.
func (r *Raft) Role() Role { return r.role }

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.term }

// LeaderID returns the leader of the current term; empty when not known.
func (r *Raft) LeaderID() string { return r.leader }

// Applied returns the highest index handed out in a Ready.
func (r *Raft) Applied() uint64 { return r.log.applied }

// ChangePending reports whether a membership change would be refused for now.
func (r *Raft) ChangePending() bool {
	return r.members.latest().index > r.log.committed || !r.committedInTerm()
}

// SilentTicks returns how many ticks ago this leader last heard from a
// majority, or this follower from its leader; false when there is no leader.
func (r *Raft) SilentTicks() (int, bool) {
	if r.role != Leader {
		return r.elapsed, r.leader != ""
	}
	var silent []int
	for _, id := range r.Members().Voters() {
		ticks := 0
		if id != r.cfg.ID {
			ticks = int(r.now - r.progress[id].heard)
		}
		silent = append(silent, ticks)
	}
	slices.Sort(silent)
	return silent[r.Members().Quorum()-1], true
}

// Status returns a copy of the core's state for dumps and decisions.
func (r *Raft) Status() Status {
	s := Status{
		ID: r.cfg.ID, Role: r.role.String(), Term: r.term, Leader: r.leader,
		First: r.log.baseIndex + 1, Last: r.log.last(),
		Committed: r.log.committed, Applied: r.log.applied, Members: r.Members(),
	}
	s.Peers = r.Peers()
	return s
}

// Peers returns what a leader knows of the members, itself included.
func (r *Raft) Peers() []PeerLag {
	if r.role != Leader {
		return nil
	}
	var peers []PeerLag
	for _, m := range r.Members() {
		p := r.progress[m.ID]
		lag := PeerLag{ID: m.ID, Match: p.match, Active: r.active(p), Silent: r.now - p.heard}
		if m.ID == r.cfg.ID {
			lag.Active, lag.Silent = true, 0
		}
		peers = append(peers, lag)
	}
	return peers
}
