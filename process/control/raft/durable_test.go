package raft

import "testing"

func TestQuorumSurvivesOnlyIfReplacedVotersAreNotAmongTheLossesToBear(t *testing.T) {
	for _, c := range []struct {
		voters, present, lost, faultTolerance, standbys int
		want                                            bool
	}{
		{voters: 5, present: 3, faultTolerance: 2, want: true},
		{voters: 6, present: 4, faultTolerance: 2, want: true},
		{voters: 7, present: 6, faultTolerance: 2, want: true},
		// Two voters were replaced, so that two of the other five may lose their disks.
		{voters: 7, present: 5, faultTolerance: 2},
		// Three voters were replaced, and one of them was removed.
		{voters: 6, present: 4, faultTolerance: 2, standbys: 1},
		{voters: 7, present: 4, faultTolerance: 2},
		{voters: 7, present: 4, lost: 1, faultTolerance: 2},
		// The losses to bear have happened.
		{voters: 7, present: 4, lost: 2, faultTolerance: 2, want: true},
		{voters: 6, present: 3, lost: 2, faultTolerance: 2, want: true},
		{voters: 5, present: 4, faultTolerance: 1, want: true},
		{voters: 5, present: 3, faultTolerance: 1},
		{voters: 7, present: 4, want: true},
		{voters: 1, present: 1, faultTolerance: 2, want: true},
	} {
		if got := quorumSurvives(c.voters, c.present, c.lost, c.faultTolerance, c.standbys); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}

// Guards against changes that are never acknowledged, although silent voters are removed.
func TestQuorumSurvivesOnceSilentVotersAreRemoved(t *testing.T) {
	for faultTolerance := range 5 {
		for voters := 1; voters <= 2*faultTolerance+8; voters++ {
			for present := voters/2 + 1; present <= voters; present++ {
				// The leader removes silent voters while this many remain.
				remaining := min(voters, max(present, 2*faultTolerance+1))
				if !quorumSurvives(remaining, present, 0, faultTolerance, 0) {
					t.Errorf("fault tolerance %d: %d of %d voters reply, %d remain", faultTolerance, present, voters, remaining)
				}
			}
		}
	}
}

// sevenVoters returns a cluster whose first replica leads, and in which all know that.
func sevenVoters() *quorumState {
	s := &quorumState{testCluster: newTestCluster(7, 0)}
	s.campaign(s.replicas[0], false)
	s.settle(7)
	return s
}

// settle lets the leader and the first replicas communicate until nothing is left to send.
func (s *quorumState) settle(replicas int) {
	for range 4 {
		for _, p := range s.replicas[1:replicas] {
			s.exchange(s.replicas[0], p)
		}
	}
}

func TestEntrySurvivesLossesOnceAllButOneOfSevenVotersReply(t *testing.T) {
	s := sevenVoters()
	leader := s.replicas[0].raft
	index, err := leader.Propose([]byte{1})
	if err != nil {
		t.Fatal(err)
	}
	s.processReady(s.replicas[0])
	for replying, want := range map[int]bool{4: false, 5: false, 6: true} {
		c := s.clone("")
		leader := c.replicas[0].raft
		c.settle(replying)
		if leader.log.committed < index {
			t.Fatalf("the entry is not committed by %d voters", replying)
		}
		if got := leader.SurvivesLosses(index, leader.Ticks(), 2, 0); got != want {
			t.Errorf("%d voters reply: survives %v, want %v", replying, got, want)
		}
	}
}

// Voters that lag but reply are not gone.
func TestEntrySurvivesLossesIfVotersThatLackItReply(t *testing.T) {
	s := sevenVoters()
	leader := s.replicas[0].raft
	index, _ := leader.Propose([]byte{1})
	s.processReady(s.replicas[0])
	s.settle(4)
	at := leader.Ticks()
	leader.Tick()
	for _, id := range []string{"r4", "r5"} {
		if leader.SurvivesLosses(index, at, 2, 0) {
			t.Errorf("the entry survives losses before %s has replied", id)
		}
		if err := leader.Step(Message{Kind: HeartbeatReply, From: id, To: "r0", Term: leader.Term()}); err != nil {
			t.Fatal(err)
		}
	}
	if !leader.SurvivesLosses(index, at, 2, 0) {
		t.Error("the entry does not survive losses though six of seven voters have replied")
	}
}

// A voter that does not know that a membership is committed needs a quorum of the one before.
func TestEntrySurvivesLossesOnlyOnceTheCommittedMembershipIsKnown(t *testing.T) {
	s := sevenVoters()
	leader := s.replicas[0].raft
	if err := leader.ProposeMembers(leader.Members().Without("r6")); err != nil {
		t.Fatal(err)
	}
	index, _ := leader.Propose([]byte{1})
	s.processReady(s.replicas[0])
	for _, p := range s.replicas[1:5] {
		s.exchange(s.replicas[0], p)
		if leader.log.committed >= index {
			break
		}
	}
	if leader.log.committed < index || leader.ChangePending() {
		t.Fatal("the membership is not committed")
	}
	if leader.SurvivesLosses(index, leader.Ticks(), 2, 0) {
		t.Error("the entry survives losses before another replica knows that the membership is committed")
	}
	s.settle(6)
	if !leader.SurvivesLosses(index, leader.Ticks(), 2, 0) {
		t.Error("the entry does not survive losses once all replicas know that the membership is committed")
	}
}
