package raft

// SurvivesLosses reports whether this leader knows that an entry, which was appended at a tick,
// remains readable if as many voters lose their disks as the fault tolerance allows: those that
// are left then elect a leader, and one of them holds the entry.
//
// A voter that neither holds the entry nor has replied since may be gone for good. Its VM was
// replaced if there are more than 2*faultTolerance+1 voters and standbys, which are learners that
// are ready to vote. It is not one of the losses then, and takes up a vote until it is removed.
func (r *Raft) SurvivesLosses(index, appendedAt uint64, faultTolerance, standbys int) bool {
	if r.role != Leader || max(index, r.settledFrom) > r.log.committed {
		return false
	}
	for _, members := range r.quorumMemberships() {
		voters := members.Voters()
		present, lost := 0, 0
		for _, id := range voters {
			p := r.progress[id]
			switch {
			case r.lost[id]:
				lost++
			case id == r.cfg.ID, p != nil && (p.match >= index || p.lastReply > appendedAt):
				present++
			}
		}
		if !quorumSurvives(len(voters), present, lost, faultTolerance, standbys) {
			return false
		}
	}
	return true
}

// quorumSurvives reports whether a quorum of some voters remains after the losses that are still to
// be borne. present voters are known to run and lost ones to be lost for good.
func quorumSurvives(voters, present, lost, faultTolerance, standbys int) bool {
	replaced := voters + standbys - (2*faultTolerance + 1)
	if replaced <= 0 {
		// The membership does not get better than it is.
		return true
	}
	gone := max(0, voters-present-lost-replaced)
	losses := max(0, faultTolerance-lost-gone)
	return present-losses >= quorumSize(voters, losses+lost > 0)
}
