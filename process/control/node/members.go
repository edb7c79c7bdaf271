package node

import (
	"slices"

	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// maxVoters bounds the voters: each one costs every change a message.
	maxVoters = 7
	// catchUpEntries is how far a learner may lag to be promoted.
	catchUpEntries = 64
)

// view is what the leader's decisions on the membership rest on.
type view struct {
	self      string
	members   raft.Members
	peers     map[string]raft.PeerLag
	committed uint64
	// wanted are the names of the VMs that are to hold voters.
	wanted []string
	// forgetVolatile and forgetReplica are in ticks.
	forgetVolatile uint64
	forgetReplica  uint64
	// tolerance and forgetVoter are as in Config; forgetVoter is in ticks.
	tolerance   int
	forgetVoter uint64
}

// nextChange returns the membership that the leader should propose next;
// false when none is due. At most one voter changes, and only to a membership
// of whose voters a majority answers.
func (v *view) nextChange() (raft.Members, bool) {
	if len(v.wanted) == 0 {
		v.wanted = v.presentNames()
	}
	for _, rule := range []func() (raft.Members, bool){v.retire, v.promote, v.replace, v.demote, v.forget} {
		if next, ok := rule(); ok {
			return next, true
		}
	}
	return nil, false
}

// retire removes a voter whose VM came back under a new identity, once the new
// one could take its place. Removal comes first, and the promotion is a change
// of its own: between voters that differ by two, majorities need not meet.
func (v *view) retire() (raft.Members, bool) {
	for _, old := range v.members {
		if !old.Voter || old.ID == v.self || v.active(old.ID) {
			continue
		}
		heir, ok := v.heir(old)
		if !ok {
			continue
		}
		heir.Successor = true
		if next := v.members.Without(old.ID).With(heir); v.healthy(next) {
			return next, true
		}
	}
	return nil, false
}

// heir returns a learner of the same VM that is ready to vote.
func (v *view) heir(old raft.Member) (raft.Member, bool) {
	for _, m := range v.members {
		if m.Name == old.Name && m.ID != old.ID && !m.Voter && v.ready(m) {
			return m, true
		}
	}
	return raft.Member{}, false
}

// promote makes a learner a voter that is wanted and has caught up.
func (v *view) promote() (raft.Members, bool) {
	if len(v.members.Voters()) >= maxVoters {
		return nil, false
	}
	names := v.voterNames()
	for _, m := range v.members {
		due := m.Successor || slices.Contains(v.wanted, m.Name)
		if m.Voter || !due || !v.ready(m) || slices.Contains(names, m.Name) {
			continue
		}
		m.Voter, m.Successor = true, false
		if next := v.members.With(m); v.healthy(next) {
			return next, true
		}
	}
	return nil, false
}

// demote makes a voter a learner that is not wanted, once enough wanted ones
// vote. The leader itself comes last.
func (v *view) demote() (raft.Members, bool) {
	present := 0
	for _, name := range v.voterNames() {
		if slices.Contains(v.wanted, name) {
			present++
		}
	}
	spare := present == len(v.wanted) || len(v.members.Voters()) > len(v.wanted)
	if present == 0 || !spare {
		return nil, false
	}
	var self *raft.Member
	for _, m := range v.members {
		if !m.Voter || slices.Contains(v.wanted, m.Name) {
			continue
		}
		if m.ID == v.self {
			self = &m
			continue
		}
		if next, ok := v.withoutVote(m); ok {
			return next, true
		}
	}
	if self != nil {
		return v.withoutVote(*self)
	}
	return nil, false
}

// replace removes a voter that was silent for long where enough others answer:
// its VM was replaced by another. One that comes back joins as a learner.
func (v *view) replace() (raft.Members, bool) {
	if v.tolerance <= 0 {
		return nil, false
	}
	answering := 0
	var lost *raft.Member
	for _, m := range v.members {
		switch {
		case !m.Voter:
		case m.ID == v.self || v.active(m.ID):
			answering++
		case v.peers[m.ID].Silent > v.forgetVoter:
			lost = &m
		}
	}
	if lost == nil || answering < 2*v.tolerance+1 {
		return nil, false
	}
	return v.members.Without(lost.ID), true
}

func (v *view) withoutVote(m raft.Member) (raft.Members, bool) {
	m.Voter = false
	next := v.members.With(m)
	return next, v.healthy(next)
}

// forget removes a learner that was silent for long.
func (v *view) forget() (raft.Members, bool) {
	for _, m := range v.members {
		limit := v.forgetReplica
		if m.Volatile {
			limit = v.forgetVolatile
		}
		if !m.Voter && m.ID != v.self && v.peers[m.ID].Silent > limit {
			return v.members.Without(m.ID), true
		}
	}
	return nil, false
}

func (v *view) active(id string) bool { return v.peers[id].Active }

// ready reports whether a learner may become a voter: what it acknowledged is
// on its disk, and it acknowledged nearly all that is committed.
func (v *view) ready(m raft.Member) bool {
	return !m.Volatile && v.active(m.ID) && v.peers[m.ID].Match+catchUpEntries >= v.committed
}

// healthy reports whether a majority of the voters answers.
func (v *view) healthy(members raft.Members) bool {
	answering := 0
	for _, id := range members.Voters() {
		if v.active(id) {
			answering++
		}
	}
	return answering >= members.Quorum()
}

// presentNames returns the names that hold a voter or are about to.
func (v *view) presentNames() []string {
	names := v.voterNames()
	for _, m := range v.members {
		joins := m.Successor || v.tolerance > 0 && !m.Volatile
		if joins && !slices.Contains(names, m.Name) {
			names = append(names, m.Name)
		}
	}
	return names
}

func (v *view) voterNames() []string {
	var names []string
	for _, m := range v.members {
		if m.Voter {
			names = append(names, m.Name)
		}
	}
	return names
}

// admit returns the membership with a learner added. Another replica of the
// same VM must be silent: a name belongs to one replica at a time.
func admit(members raft.Members, peers map[string]raft.PeerLag, m raft.Member, limit int) (raft.Members, error) {
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
			return nil, result.New(result.NameTaken, "replica %s holds the name %s", old.ID, old.Name)
		}
		if !old.Voter {
			next = next.Without(old.ID)
			m.Successor = m.Successor || old.Successor
		}
	}
	if len(next) >= limit {
		return nil, result.New(result.NotMember, "the membership is full with %d replicas", len(next))
	}
	return next.With(m), nil
}

// changeMembers proposes the next change of the membership that is due.
func (r *replica) changeMembers() {
	if r.core.Role() != raft.Leader || r.core.ChangePending() {
		return
	}
	s := r.core.Status()
	v := view{
		self: s.ID, members: s.Members, peers: lagByID(s.Peers), committed: s.Committed,
		wanted:         r.sm.Voters(),
		forgetVolatile: r.cfg.ticks(r.cfg.ForgetVolatile),
		forgetReplica:  r.cfg.ticks(r.cfg.ForgetReplica),
		tolerance:      r.cfg.Tolerance,
		forgetVoter:    r.cfg.ticks(r.cfg.ForgetVoter),
	}
	next, ok := v.nextChange()
	if !ok {
		return
	}
	r.log.Info("membership proposed", "from", s.Members.String(), "to", next.String())
	if err := r.core.ProposeMembers(next); err != nil {
		r.log.Warn("membership refused", "error", err)
	}
}

// admit proposes the sender of an introduction as a learner.
func (r *replica) admit(in introduction) error {
	m := raft.Member{ID: in.Replica, Name: in.Name, Volatile: in.Volatile}
	members := r.core.Members()
	if _, known := members.Get(m.ID); known {
		return nil
	}
	if r.core.Role() != raft.Leader || r.core.ChangePending() {
		return result.New(result.NoQuorum, "a membership change is under way")
	}
	next, err := admit(members, lagByID(r.core.Peers()), m, r.cfg.MaxMembers)
	if err != nil {
		return err
	}
	r.log.Info("learner admitted", "replica", in.Replica, "name", in.Name, "volatile", in.Volatile)
	return r.core.ProposeMembers(next)
}

func lagByID(peers []raft.PeerLag) map[string]raft.PeerLag {
	byID := make(map[string]raft.PeerLag, len(peers))
	for _, p := range peers {
		byID[p.ID] = p
	}
	return byID
}
