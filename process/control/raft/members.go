package raft

import (
	"slices"
	"sort"
	"strings"
)

// Member is one replica of the cluster.
type Member struct {
	// ID is the replica's identity, unique for each data folder.
	ID string `cbor:"1,keyasint" json:"id"`
	// Name is the VM's name; the core does not use it.
	Name string `cbor:"2,keyasint" json:"name"`
	// Voter is false for learners.
	Voter bool `cbor:"3,keyasint" json:"voter"`
	// Volatile is set on a learner without a disk.
	Volatile bool `cbor:"4,keyasint,omitempty" json:"volatile,omitempty"`
	// Successor is set on a learner that will replace a removed voter of the
	// same VM; the core does not use it.
	Successor bool `cbor:"5,keyasint,omitempty" json:"successor,omitempty"`
	// Released is set on a learner that gave up its vote before a planned stop, and
	// until it runs again; the core does not use it.
	Released bool `cbor:"6,keyasint,omitempty" json:"released,omitempty"`
}

// Members is a membership, sorted by ID. It is immutable: With and Without
// return a new one.
type Members []Member

// Get returns the member with the given ID.
func (ms Members) Get(id string) (Member, bool) {
	for _, m := range ms {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether the member with the given ID is a voter.
func (ms Members) IsVoter(id string) bool {
	m, ok := ms.Get(id)
	return ok && m.Voter
}

// Voters returns the IDs of the voters.
func (ms Members) Voters() []string {
	var ids []string
	for _, m := range ms {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Quorum returns how many voters make a majority.
func (ms Members) Quorum() int {
	return quorumSize(len(ms.Voters()), false)
}

// With returns the membership with m added, or replaced if it has m's ID.
func (ms Members) With(m Member) Members {
	next := append(ms.Without(m.ID), m)
	sort.Slice(next, func(i, j int) bool { return next[i].ID < next[j].ID })
	return next
}

// Without returns the membership without id.
func (ms Members) Without(id string) Members {
	next := make(Members, 0, len(ms)+1)
	for _, m := range ms {
		if m.ID != id {
			next = append(next, m)
		}
	}
	return next
}

// differByOneVoter reports whether the voters of a and b differ by at most one.
// Then every majority of a shares a voter with every majority of b, so that two
// leaders can't be elected in one term during the change.
func differByOneVoter(a, b Members) bool {
	diff := 0
	for _, id := range a.Voters() {
		if !b.IsVoter(id) {
			diff++
		}
	}
	for _, id := range b.Voters() {
		if !a.IsVoter(id) {
			diff++
		}
	}
	return diff <= 1 && len(b.Voters()) > 0
}

// indexedMembers is a membership and the index from which it is in effect.
type indexedMembers struct {
	index   uint64
	members Members
}

// membersLog holds the memberships in the log, oldest first. The first one is
// that of the snapshot at which the log starts.
type membersLog []indexedMembers

func (l membersLog) latest() indexedMembers { return l[len(l)-1] }

// at returns the membership in effect at index.
func (l membersLog) at(index uint64) Members {
	for i := len(l) - 1; i > 0; i-- {
		if l[i].index <= index {
			return l[i].members
		}
	}
	return l[0].members
}

// add records the membership of a new entry.
func (l membersLog) add(index uint64, members Members) membersLog {
	return append(l, indexedMembers{index: index, members: members})
}

// truncate drops the memberships of entries from index on.
func (l membersLog) truncate(index uint64) membersLog {
	for len(l) > 1 && l.latest().index >= index {
		l = l[:len(l)-1]
	}
	return l
}

// compact drops the memberships that are no longer in effect at index.
func (l membersLog) compact(index uint64) membersLog {
	for len(l) > 1 && l[1].index <= index {
		l = slices.Delete(l, 0, 1)
	}
	return l
}

// String lists the members for logs; voters are marked with an asterisk.
func (ms Members) String() string {
	names := make([]string, len(ms))
	for i, m := range ms {
		names[i] = m.Name + "/" + m.ID
		if m.Voter {
			names[i] += "*"
		}
	}
	return strings.Join(names, ",")
}
