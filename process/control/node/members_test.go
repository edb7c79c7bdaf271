package node

import (
	"strings"
	"testing"

	"github.com/waxwingpost/waxwingpost/process/control/raft"
)

// testMember is a member together with the leader's view of its progress.
type testMember struct {
	id, name  string
	voter     bool
	volatile  bool
	successor bool
	match     uint64
	silent    uint64
}

func newTestPolicy(desiredVoters []string, members ...testMember) membershipPolicy {
	p := membershipPolicy{
		self: "a", committed: 1000, desiredVoters: desiredVoters, peers: map[string]raft.PeerStatus{},
		volatileRemovalTicks: 100, replicaRemovalTicks: 1000,
	}
	for _, m := range members {
		p.members = p.members.With(raft.Member{ID: m.id, Name: m.name, Voter: m.voter, Volatile: m.volatile, Successor: m.successor})
		p.peers[m.id] = raft.PeerStatus{ID: m.id, Match: m.match, SilentTicks: m.silent, Active: m.silent < 16}
	}
	return p
}

func TestNextChange(t *testing.T) {
	a := testMember{id: "a", name: "A", voter: true, match: 1000}
	b := testMember{id: "b", name: "B", voter: true, match: 1000}
	c := testMember{id: "c", name: "C", voter: true, match: 1000}
	with := func(m testMember, change func(*testMember)) testMember { change(&m); return m }
	silentBriefly := func(m *testMember) { m.silent = 50 }
	silentLong := func(m *testMember) { m.silent = 5000 }
	learner := func(m *testMember) { m.voter = false }
	c2 := testMember{id: "c2", name: "C", match: 1000}
	for _, tc := range []struct {
		name   string
		policy membershipPolicy
		want   string // "" for no change
	}{
		{"nothing to do", newTestPolicy(nil, a, b, c), ""},
		{"a voter is silent", newTestPolicy(nil, a, b, with(c, silentLong)), ""},
		{"its successor is ready", newTestPolicy(nil, a, b, with(c, silentBriefly), c2), "A/a*,B/b*,C/c2"},
		{"its successor lags", newTestPolicy(nil, a, b, with(c, silentBriefly), with(c2, func(m *testMember) { m.match = 900 })), ""},
		{"its successor is silent as well", newTestPolicy(nil, a, b, with(c, silentBriefly), with(c2, silentBriefly)), ""},
		{"the old replica still responds", newTestPolicy(nil, a, b, c, c2), ""},
		{"no majority would respond", newTestPolicy(nil, a, with(b, silentBriefly), with(c, silentBriefly), c2), ""},
		{"the successor is promoted", newTestPolicy(nil, a, b, with(c2, func(m *testMember) { m.successor = true })), "A/a*,B/b*,C/c2*"},
		{"a learner while no voters are listed", newTestPolicy(nil, a, b, c2), ""},
		{"a learner on a listed VM", newTestPolicy([]string{"A", "B", "C"}, a, b, c2), "A/a*,B/b*,C/c2*"},
		{"a learner on a listed VM lags", newTestPolicy([]string{"A", "B", "C"}, a, b, with(c2, func(m *testMember) { m.match = 935 })), ""},
		{"a learner without disk on a listed VM", newTestPolicy([]string{"A", "B", "C"}, a, b, with(c2, func(m *testMember) { m.volatile = true })), ""},
		{"a voter on a VM not in the list", newTestPolicy([]string{"A", "B"}, a, b, c), "A/a*,B/b*,C/c"},
		{"the replacement does not vote yet", newTestPolicy([]string{"A", "B", "D"}, a, b, c), ""},
		{"the leader is demoted last", newTestPolicy([]string{"C"}, a, b, c), "A/a*,B/b,C/c*"},
		{"a silent learner", newTestPolicy(nil, a, b, with(with(c, learner), silentLong)), "A/a*,B/b*"},
		{"a silent learner without disk", newTestPolicy(nil, a, b, with(c2, func(m *testMember) { m.volatile, m.silent = true, 101 })), "A/a*,B/b*"},
	} {
		got := ""
		if next, ok := tc.policy.nextChange(); ok {
			got = next.String()
		}
		if got != tc.want {
			t.Errorf("%s: %q, want %q", tc.name, got, tc.want)
		}
	}
}

func TestSilentVoterIsRemovedWhenEnoughOthersRespond(t *testing.T) {
	voter := func(name string, silent uint64) testMember {
		return testMember{id: strings.ToLower(name), name: name, voter: true, match: 1000, silent: silent}
	}
	const lost, brief = 500, 50
	for _, tc := range []struct {
		name           string
		faultTolerance int
		members        []testMember
		want           string
	}{
		{"every replica becomes a voter", 2, []testMember{voter("A", 0), voter("B", 0), voter("C", 0), {id: "d", name: "D", match: 1000}}, "A/a*,B/b*,C/c*,D/d*"},
		{"one of five voters is lost", 2, []testMember{voter("A", 0), voter("B", 0), voter("C", 0), voter("D", 0), voter("E", lost)}, ""},
		{"a sixth voter responds", 2, []testMember{voter("A", 0), voter("B", 0), voter("C", 0), voter("D", 0), voter("E", lost), voter("F", 0)}, "A/a*,B/b*,C/c*,D/d*,F/f*"},
		{"a voter is silent for a short time", 2, []testMember{voter("A", 0), voter("B", 0), voter("C", 0), voter("D", 0), voter("E", brief), voter("F", 0)}, ""},
		{"no fault tolerance is set", 0, []testMember{voter("A", 0), voter("B", 0), voter("C", 0), voter("D", lost)}, ""},
	} {
		p := newTestPolicy(nil, tc.members...)
		p.faultTolerance, p.voterRemovalTicks = tc.faultTolerance, 100
		got := ""
		if next, ok := p.nextChange(); ok {
			got = next.String()
		}
		if got != tc.want {
			t.Errorf("%s: %q, want %q", tc.name, got, tc.want)
		}
	}
}

func TestAddLearnerAllowsOneActiveReplicaPerName(t *testing.T) {
	p := newTestPolicy(nil, testMember{id: "a", name: "A", voter: true}, testMember{id: "b", name: "B", silent: 50, successor: true})
	if _, err := addLearner(p.members, p.peers, raft.Member{ID: "a2", Name: "A"}, 10); err == nil {
		t.Error("a learner with the name of an active replica was added")
	}
	next, err := addLearner(p.members, p.peers, raft.Member{ID: "b2", Name: "B", Voter: true}, 10)
	if err != nil || next.String() != "A/a*,B/b2" {
		t.Errorf("%v, %v", next, err)
	}
	if m, _ := next.Get("b2"); !m.Successor {
		t.Error("the Successor flag was not passed on")
	}
	if _, err := addLearner(p.members, p.peers, raft.Member{ID: "x", Name: "X"}, 2); err == nil {
		t.Error("a learner was added to a full membership")
	}
}
