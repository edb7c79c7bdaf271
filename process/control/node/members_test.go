package node

import (
	"strings"
	"testing"

	"github.com/waxwingpost/waxwingpost/process/control/raft"
)

// member builds a member "name" or "name'" with the given role and lag.
type testMember struct {
	id, name  string
	voter     bool
	volatile  bool
	successor bool
	match     uint64
	silent    uint64
}

func viewOf(wanted []string, members ...testMember) view {
	v := view{
		self: "a", committed: 1000, wanted: wanted, peers: map[string]raft.PeerLag{},
		forgetVolatile: 100, forgetReplica: 1000,
	}
	for _, m := range members {
		v.members = v.members.With(raft.Member{ID: m.id, Name: m.name, Voter: m.voter, Volatile: m.volatile, Successor: m.successor})
		v.peers[m.id] = raft.PeerLag{ID: m.id, Match: m.match, Silent: m.silent, Active: m.silent < 16}
	}
	return v
}

func TestNextChange(t *testing.T) {
	a := testMember{id: "a", name: "A", voter: true, match: 1000}
	b := testMember{id: "b", name: "B", voter: true, match: 1000}
	c := testMember{id: "c", name: "C", voter: true, match: 1000}
	with := func(m testMember, change func(*testMember)) testMember { change(&m); return m }
	dead := func(m *testMember) { m.silent = 50 }
	gone := func(m *testMember) { m.silent = 5000 }
	learner := func(m *testMember) { m.voter = false }
	c2 := testMember{id: "c2", name: "C", match: 1000}
	for _, x := range []struct {
		name string
		view view
		want string // "" for no change
	}{
		{"nothing to do", viewOf(nil, a, b, c), ""},
		{"a voter is silent", viewOf(nil, a, b, with(c, gone)), ""},
		{"its successor is ready", viewOf(nil, a, b, with(c, dead), c2), "A/a*,B/b*,C/c2"},
		{"its successor lags", viewOf(nil, a, b, with(c, dead), with(c2, func(m *testMember) { m.match = 900 })), ""},
		{"its successor is silent too", viewOf(nil, a, b, with(c, dead), with(c2, dead)), ""},
		{"the old one still answers", viewOf(nil, a, b, c, c2), ""},
		{"no majority would answer", viewOf(nil, a, with(b, dead), with(c, dead), c2), ""},
		{"the successor is promoted", viewOf(nil, a, b, with(c2, func(m *testMember) { m.successor = true })), "A/a*,B/b*,C/c2*"},
		{"a learner is not wanted", viewOf(nil, a, b, c2), ""},
		{"a learner is wanted", viewOf([]string{"A", "B", "C"}, a, b, c2), "A/a*,B/b*,C/c2*"},
		{"a learner lags", viewOf([]string{"A", "B", "C"}, a, b, with(c2, func(m *testMember) { m.match = 935 })), ""},
		{"no disk, no vote", viewOf([]string{"A", "B", "C"}, a, b, with(c2, func(m *testMember) { m.volatile = true })), ""},
		{"a voter is not wanted", viewOf([]string{"A", "B"}, a, b, c), "A/a*,B/b*,C/c"},
		{"but its place is not taken yet", viewOf([]string{"A", "B", "D"}, a, b, c), ""},
		{"the leader goes last", viewOf([]string{"C"}, a, b, c), "A/a*,B/b,C/c*"},
		{"a silent learner", viewOf(nil, a, b, with(with(c, learner), gone)), "A/a*,B/b*"},
		{"a silent learner without disk", viewOf(nil, a, b, with(c2, func(m *testMember) { m.volatile, m.silent = true, 101 })), "A/a*,B/b*"},
	} {
		got := ""
		if next, ok := x.view.nextChange(); ok {
			got = next.String()
		}
		if got != x.want {
			t.Errorf("%s: %q, want %q", x.name, got, x.want)
		}
	}
}

func TestSilentVoterIsReplacedWhereEnoughOthersAnswer(t *testing.T) {
	voter := func(name string, silent uint64) testMember {
		return testMember{id: strings.ToLower(name), name: name, voter: true, match: 1000, silent: silent}
	}
	const lost, away = 500, 50
	for _, x := range []struct {
		name      string
		tolerance int
		members   []testMember
		want      string
	}{
		{"every replica becomes a voter", 2, []testMember{voter("A", 0), voter("B", 0), voter("C", 0), {id: "d", name: "D", match: 1000}}, "A/a*,B/b*,C/c*,D/d*"},
		{"one of five is lost", 2, []testMember{voter("A", 0), voter("B", 0), voter("C", 0), voter("D", 0), voter("E", lost)}, ""},
		{"its successor votes", 2, []testMember{voter("A", 0), voter("B", 0), voter("C", 0), voter("D", 0), voter("E", lost), voter("F", 0)}, "A/a*,B/b*,C/c*,D/d*,F/f*"},
		{"it is away for a moment", 2, []testMember{voter("A", 0), voter("B", 0), voter("C", 0), voter("D", 0), voter("E", away), voter("F", 0)}, ""},
		{"tolerance is not told", 0, []testMember{voter("A", 0), voter("B", 0), voter("C", 0), voter("D", lost)}, ""},
	} {
		v := viewOf(nil, x.members...)
		v.tolerance, v.forgetVoter = x.tolerance, 100
		got := ""
		if next, ok := v.nextChange(); ok {
			got = next.String()
		}
		if got != x.want {
			t.Errorf("%s: %q, want %q", x.name, got, x.want)
		}
	}
}

func TestAdmitGivesANameToOneReplica(t *testing.T) {
	v := viewOf(nil, testMember{id: "a", name: "A", voter: true}, testMember{id: "b", name: "B", silent: 50, successor: true})
	if _, err := admit(v.members, v.peers, raft.Member{ID: "a2", Name: "A"}, 10); err == nil {
		t.Error("the name of an active replica was given away")
	}
	next, err := admit(v.members, v.peers, raft.Member{ID: "b2", Name: "B", Voter: true}, 10)
	if err != nil || next.String() != "A/a*,B/b2" {
		t.Errorf("%v, %v", next, err)
	}
	if m, _ := next.Get("b2"); !m.Successor {
		t.Error("the successor's claim was lost")
	}
	if _, err := admit(v.members, v.peers, raft.Member{ID: "x", Name: "X"}, 2); err == nil {
		t.Error("the membership has no bound")
	}
}
