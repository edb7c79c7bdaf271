package node

import (
	"slices"

	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// maxVoters bounds the voters, since every change is sent to each of them. A higher
	// fault tolerance raises the bound.
	maxVoters = 7
	// maxPromotionLag is the number of committed entries by which a learner may
	// lag when it is promoted.
	maxPromotionLag = 64
)

// membershipPolicy decides the membership changes that the leader proposes.
//
// With a fault tolerance f, its invariant is: of the voters whose disks are not lost for
// good, a quorum remains after f more disks are lost, those that are currently lost
// included. Then a leader can be elected once the others are back, and it has every
// acknowledged record, as more than f voters hold each one.
//
// A silent voter may be gone for good or may come back with its disk, and the leader can't
// tell. With n voters of which g are gone, the invariant is n-g-f >= n/2+1. Promoting a
// responsive learner and removing a voter that is gone never break it. Removing a voter that
// would have come back does not either, as long as 2f+1 voters remain and none of them is
// gone; if one is, it is silent as well and is removed next.
//
// Until then a voter that is gone without notice takes up one of the losses. The consensus core
// makes up for it: half of an even number of voters elect a leader once one of the VMs that lost
// their disks has returned with an empty one.
type membershipPolicy struct {
	self      string
	members   raft.Members
	peers     map[string]raft.PeerStatus
	committed uint64
	// desiredVoters are the names of the VMs whose replicas should be voters.
	desiredVoters []string
	// The fields below are settings of Config, with the timeouts in ticks.
	volatileRemovalTicks uint64
	replicaRemovalTicks  uint64
	faultTolerance       int
	voterRemovalTicks    uint64
}

// nextChange returns the membership that the leader should propose next, or
// false if no change is needed. At most one voter changes, and a majority of
// the new voters must be responsive.
func (p *membershipPolicy) nextChange() (raft.Members, bool) {
	p.defaultDesiredVoters()
	for _, rule := range []func() (raft.Members, bool){p.removeReplacedVoter, p.promote, p.removeSilentVoter, p.demote, p.removeSilentLearner} {
		if next, ok := rule(); ok {
			return next, true
		}
	}
	return nil, false
}

// defaultDesiredVoters sets the desired voters if none are listed.
func (p *membershipPolicy) defaultDesiredVoters() {
	if len(p.desiredVoters) == 0 {
		p.desiredVoters = p.currentAndPendingVoters()
	}
}

// standbys returns the number of learners that are ready to become voters.
func (p *membershipPolicy) standbys() int {
	p.defaultDesiredVoters()
	n := 0
	for _, m := range p.members {
		if p.promotable(m) {
			n++
		}
	}
	return n
}

// removeReplacedVoter removes a voter whose VM has a replica under a new
// identity, once that replica is ready to vote. The promotion of the new replica
// is a separate change, because majorities of voter sets that differ by two
// voters need not overlap.
func (p *membershipPolicy) removeReplacedVoter() (raft.Members, bool) {
	for _, old := range p.members {
		if !old.Voter || old.ID == p.self || p.active(old.ID) {
			continue
		}
		successor, ok := p.successorOf(old)
		if !ok {
			continue
		}
		successor.Successor = true
		if next := p.members.Without(old.ID).With(successor); p.quorumResponds(next) {
			return next, true
		}
	}
	return nil, false
}

// successorOf returns a learner of the same VM that is ready to vote.
func (p *membershipPolicy) successorOf(old raft.Member) (raft.Member, bool) {
	for _, m := range p.members {
		if m.Name == old.Name && m.ID != old.ID && !m.Voter && p.readyToVote(m) {
			return m, true
		}
	}
	return raft.Member{}, false
}

// promote makes a caught-up learner a voter if its VM should have one.
func (p *membershipPolicy) promote() (raft.Members, bool) {
	if len(p.members.Voters()) >= p.voterLimit() {
		return nil, false
	}
	for _, m := range p.members {
		if !p.promotable(m) {
			continue
		}
		m.Voter, m.Successor = true, false
		if next := p.members.With(m); p.quorumResponds(next) {
			return next, true
		}
	}
	return nil, false
}

// voterLimit leaves room for two more voters than the fault tolerance requires.
func (p *membershipPolicy) voterLimit() int { return max(maxVoters, p.requiredVoters()+2) }

// requiredVoters is the number of voters of which faultTolerance may be lost.
func (p *membershipPolicy) requiredVoters() int { return 2*p.faultTolerance + 1 }

// promotable reports whether a learner should become a voter and is ready for it.
func (p *membershipPolicy) promotable(m raft.Member) bool {
	eligible := m.Successor || slices.Contains(p.desiredVoters, m.Name)
	return !m.Voter && !m.Released && eligible && p.readyToVote(m) && !slices.Contains(p.voterNames(), m.Name)
}

// demote makes a voter a learner if its VM is not among desiredVoters, once
// enough of those vote. The leader demotes itself last.
func (p *membershipPolicy) demote() (raft.Members, bool) {
	desiredVoting := 0
	for _, name := range p.voterNames() {
		if slices.Contains(p.desiredVoters, name) {
			desiredVoting++
		}
	}
	canDemote := desiredVoting == len(p.desiredVoters) || len(p.members.Voters()) > len(p.desiredVoters)
	if desiredVoting == 0 || !canDemote {
		return nil, false
	}
	var self *raft.Member
	for _, m := range p.members {
		if !m.Voter || slices.Contains(p.desiredVoters, m.Name) {
			continue
		}
		if m.ID == p.self {
			self = &m
			continue
		}
		if next, ok := p.demoteMember(m); ok {
			return next, true
		}
	}
	if self != nil {
		return p.demoteMember(*self)
	}
	return nil, false
}

// removeSilentVoter removes the voter that was unresponsive for longest, if for more than
// voterRemovalTicks, on the assumption that its VM was replaced. A voter that returns
// rejoins as a learner.
func (p *membershipPolicy) removeSilentVoter() (raft.Members, bool) {
	if p.faultTolerance <= 0 || len(p.members.Voters())-1 < p.requiredVoters() {
		return nil, false
	}
	var longest raft.Member
	for _, m := range p.members {
		if m.Voter && m.ID != p.self && p.peers[m.ID].SilentTicks > max(p.voterRemovalTicks, p.peers[longest.ID].SilentTicks) {
			longest = m
		}
	}
	if longest.ID == "" {
		return nil, false
	}
	next := p.members.Without(longest.ID)
	return next, p.quorumResponds(next)
}

func (p *membershipPolicy) demoteMember(m raft.Member) (raft.Members, bool) {
	m.Voter = false
	next := p.members.With(m)
	return next, p.quorumResponds(next)
}

// removeSilentLearner removes a learner that was unresponsive for the removal
// timeout.
func (p *membershipPolicy) removeSilentLearner() (raft.Members, bool) {
	for _, m := range p.members {
		limit := p.replicaRemovalTicks
		if m.Volatile {
			limit = p.volatileRemovalTicks
		}
		if !m.Voter && m.ID != p.self && p.peers[m.ID].SilentTicks > limit {
			return p.members.Without(m.ID), true
		}
	}
	return nil, false
}

func (p *membershipPolicy) active(id string) bool { return p.peers[id].Active }

// readyToVote reports whether a learner may become a voter: it has a disk, it is
// responsive and it lags by at most maxPromotionLag entries. A new leader counts every
// member as responsive at first, but knows no match before its first reply.
func (p *membershipPolicy) readyToVote(m raft.Member) bool {
	match := p.peers[m.ID].Match
	return !m.Volatile && p.active(m.ID) && match > 0 && match+maxPromotionLag >= p.committed
}

// quorumResponds reports whether a majority of the voters is responsive.
func (p *membershipPolicy) quorumResponds(members raft.Members) bool {
	responsive := 0
	for _, id := range members.Voters() {
		if p.active(id) {
			responsive++
		}
	}
	return responsive >= members.Quorum()
}

// currentAndPendingVoters returns the names of the VMs that have a voter or a
// learner that is to become one.
func (p *membershipPolicy) currentAndPendingVoters() []string {
	names := p.voterNames()
	for _, m := range p.members {
		pending := m.Successor || p.faultTolerance > 0 && !m.Volatile && !m.Released
		if pending && !slices.Contains(names, m.Name) {
			names = append(names, m.Name)
		}
	}
	return names
}

func (p *membershipPolicy) voterNames() []string {
	var names []string
	for _, m := range p.members {
		if m.Voter {
			names = append(names, m.Name)
		}
	}
	return names
}

// releaseVote returns the membership in which a member that is about to stop as planned is a
// learner that has released its vote. If too few voters would remain, it returns the one in
// which a learner becomes a voter first, or false if there is none. It also returns false if
// nothing is to change.
func (p *membershipPolicy) releaseVote(id string) (raft.Members, bool) {
	m, ok := p.members.Get(id)
	if !ok || m.Released || id == p.self || p.faultTolerance <= 0 {
		return nil, false
	}
	if m.Voter && len(p.members.Voters())-1 < p.requiredVoters() {
		p.defaultDesiredVoters()
		return p.promote()
	}
	m.Voter, m.Released = false, true
	next := p.members.With(m)
	return next, p.quorumResponds(next)
}

// addLearner returns the membership with a learner added. It fails while
// another replica of the same VM is active, since only one replica may use a
// name at a time.
func addLearner(members raft.Members, peers map[string]raft.PeerStatus, m raft.Member, maxMembers int) (raft.Members, error) {
	if _, ok := members.Get(m.ID); ok {
		return members, nil
	}
	m.Voter = false
	next := members
	for _, old := range members {
		if old.Name != m.Name {
			continue
		}
		if peers[old.ID].Active {
			return nil, result.New(result.NameTaken, "name in use by active replica %s: %s", old.ID, old.Name)
		}
		if !old.Voter {
			next = next.Without(old.ID)
			m.Successor = m.Successor || old.Successor
		}
	}
	if len(next) >= maxMembers {
		return nil, result.New(result.NotMember, "the cluster is full with %d replicas", len(next))
	}
	return next.With(m), nil
}

// membershipPolicy returns the policy with the leader's current inputs.
func (r *replica) membershipPolicy() *membershipPolicy {
	s := r.core.Status()
	return &membershipPolicy{
		self: s.ID, members: s.Members, peers: peersByID(s.Peers), committed: s.Committed,
		desiredVoters:        r.sm.Voters(),
		volatileRemovalTicks: r.cfg.ticksFor(r.cfg.VolatileRemovalTimeout),
		replicaRemovalTicks:  r.cfg.ticksFor(r.cfg.ReplicaRemovalTimeout),
		faultTolerance:       r.cfg.FaultTolerance,
		voterRemovalTicks:    r.cfg.ticksFor(r.cfg.VoterRemovalTimeout),
	}
}

// proposeMemberChange proposes the next membership change, if one is needed.
func (r *replica) proposeMemberChange() {
	if r.core.Role() != raft.Leader || r.core.ChangePending() {
		return
	}
	p := r.membershipPolicy()
	next, ok := p.nextChange()
	if !ok {
		return
	}
	r.log.Info("membership change proposed", "from", p.members.String(), "to", next.String())
	if err := r.core.ProposeMembers(next); err != nil {
		r.log.Warn("membership change rejected", "error", err)
	}
}

// admitLearner proposes a membership with the sender as a learner, or as one that runs
// again if it had released its vote.
func (r *replica) admitLearner(sender replicaInfo) error {
	m := raft.Member{ID: sender.Replica, Name: sender.Name, Volatile: sender.Volatile}
	members := r.core.Members()
	old, known := members.Get(m.ID)
	if known && !old.Released {
		return nil
	}
	if r.core.Role() != raft.Leader || r.core.ChangePending() {
		return result.New(result.NoQuorum, "not the leader, or another membership change is pending")
	}
	if known {
		old.Released = false
		return r.core.ProposeMembers(members.With(old))
	}
	next, err := addLearner(members, peersByID(r.core.Peers()), m, r.cfg.MaxMembers)
	if err != nil {
		return err
	}
	r.log.Info("learner proposed", "replica", sender.Replica, "name", sender.Name, "volatile", sender.Volatile)
	return r.core.ProposeMembers(next)
}

// releaseVote proposes the membership in which the sender, which is about to stop, has no
// vote, unless too few voters would remain. It calls done once that is committed or if
// there is nothing to change.
func (r *replica) releaseVote(sender replicaInfo, done func()) error {
	if r.core.Role() != raft.Leader || r.core.ChangePending() {
		return result.New(result.NoQuorum, "not the leader, or another membership change is pending")
	}
	next, ok := r.membershipPolicy().releaseVote(sender.Replica)
	if !ok {
		done()
		return nil
	}
	r.log.Info("membership change proposed for a planned stop", "replica", sender.Replica, "name", sender.Name, "to", next.String())
	if err := r.core.ProposeMembers(next); err != nil {
		return err
	}
	if m, _ := next.Get(sender.Replica); !m.Released {
		return result.New(result.NoQuorum, "another replica becomes a voter before %s releases its vote", sender.Name)
	}
	r.whenApplied(r.core.Status().Last, done)
	return nil
}

func peersByID(peers []raft.PeerStatus) map[string]raft.PeerStatus {
	byID := make(map[string]raft.PeerStatus, len(peers))
	for _, p := range peers {
		byID[p.ID] = p
	}
	return byID
}
