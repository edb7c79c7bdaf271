package raft

import (
	"maps"
	"slices"
)

// MarkReplaced records that the voter with this ID is lost for good: a later replica runs on
// its VM, so it can't vote or acknowledge anything any more. Silence is no evidence of that.
// The quorums of a term that has begun don't change; later campaigns of this replica use it.
func (r *Raft) MarkReplaced(id string) {
	voters := r.ElectingVoters()
	if !voters.IsVoter(id) || id == r.cfg.ID {
		return
	}
	if r.replaced == nil {
		r.replaced = map[string]bool{}
	}
	r.replaced[id] = true
	maps.DeleteFunc(r.replaced, func(id string, _ bool) bool { return !voters.IsVoter(id) })
}

// Replaced reports whether the voter with this ID is known to be lost for good.
func (r *Raft) Replaced(id string) bool { return r.replaced[id] }

// fixLostVoters fixes the replicas that the campaign or term that now begins counts as lost.
// All of them were lost before its first message is sent; safety depends on that.
func (r *Raft) fixLostVoters() { r.lost = maps.Clone(r.replaced) }

// quorumMemberships returns the memberships of which each must have a quorum: the latest one,
// and until that is known to be committed the one before it as well.
func (r *Raft) quorumMemberships() []Members {
	memberships := []Members{r.Members()}
	if n := len(r.members); n > 1 && r.members.latest().index > r.log.committed {
		memberships = append(memberships, r.members[n-2].members)
	}
	return memberships
}

// ElectingVoters returns the voters of all these memberships.
func (r *Raft) ElectingVoters() Members {
	var voters Members
	for _, members := range r.quorumMemberships() {
		for _, m := range members {
			if _, known := voters.Get(m.ID); m.Voter && !known {
				voters = append(voters, m)
			}
		}
	}
	return voters
}

// quorumOf returns how many voters are a quorum of a membership in the current campaign or term.
func (r *Raft) quorumOf(members Members) int {
	voters := members.Voters()
	return quorumSize(len(voters), slices.ContainsFunc(voters, func(id string) bool { return r.lost[id] }))
}

// quorumSize returns how many of some voters are a quorum. That is a majority. Half of an even
// number is enough if a voter is known to be lost: two halves without that voter have a voter in
// common, and each half has one in common with each majority.
func quorumSize(voters int, lost bool) int {
	if lost && voters%2 == 0 {
		return voters / 2
	}
	return voters/2 + 1
}

// hasQuorum reports whether the voters for which counts returns true are a quorum of each membership
// that must have one. Lost voters don't count.
func (r *Raft) hasQuorum(counts func(id string) bool) bool {
	for _, members := range r.quorumMemberships() {
		count := 0
		for _, id := range members.Voters() {
			if !r.lost[id] && counts(id) {
				count++
			}
		}
		if count < r.quorumOf(members) {
			return false
		}
	}
	return true
}

// quorumValue returns the highest value that a quorum of each membership has or exceeds, 0 if
// too few voters are left for a quorum. Lost voters don't count.
func (r *Raft) quorumValue(value func(id string) uint64) uint64 {
	result := ^uint64(0)
	for _, members := range r.quorumMemberships() {
		values := make([]uint64, 0, len(members))
		for _, id := range members.Voters() {
			if !r.lost[id] {
				values = append(values, value(id))
			}
		}
		quorum := r.quorumOf(members)
		if len(values) < quorum {
			return 0
		}
		slices.Sort(values)
		result = min(result, values[len(values)-quorum])
	}
	return result
}
