package e2e

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
)

// pastLease is longer than any lease of the system.
const pastLease = 5 * time.Second

// TestFrozenAgentRunsNothingLate freezes the plain service's agent with calls
// in hand, past its lease, while callers send again through other entries.
func TestFrozenAgentRunsNothingLate(t *testing.T) {
	s := newSite(t, 0)
	f := s.startFiling(12)
	for range 2 {
		s.pause(500*time.Millisecond, time.Second)
		s.must(s.deskAgent.Freeze())
		s.pause(pastLease, pastLease+time.Second)
		s.must(s.deskAgent.Resume())
	}
	s.awaitDesk()
	f.stop()
}

// TestFrozenEntryRunsNothingLate does the same with an entry that is not the
// control leader.
func TestFrozenEntryRunsNothingLate(t *testing.T) {
	s := newSite(t, 0)
	leader := s.awaitLeader()
	frozen := s.Entries()[0]
	if frozen == leader {
		frozen = s.Entries()[1]
	}
	f := s.startFiling(12)
	s.pause(500*time.Millisecond, time.Second)
	s.must(frozen.Freeze())
	s.pause(pastLease, pastLease+time.Second)
	s.must(frozen.Resume())
	s.must(s.AwaitReady(s.ctx, s.Entries()...))
	s.awaitDesk()
	f.stop()
}

func (s *site) awaitLeader() *cluster.Process {
	s.t.Helper()
	var leader *cluster.Process
	s.must(cluster.Await(s.ctx, "a leader", func(ctx context.Context) error {
		var err error
		leader, err = s.Leader(ctx)
		return err
	}))
	return leader
}

// TestFrozenLeaderKeepsNoAuthority freezes the leader past its lease while an
// operator goes on elsewhere, beside engines that take old orders. An agent is
// killed meanwhile and comes back without memory together with the old leader.
// Nothing goes back, and no engine gets an old order.
func TestFrozenLeaderKeepsNoAuthority(t *testing.T) {
	s := newSite(t, 2, fencingIgnored)
	before := s.awaitRevision(1)
	leader := s.awaitLeader()
	other := s.Entries()[0]
	if other == leader {
		other = s.Entries()[1]
	}
	f := s.startFiling(6)
	s.must(leader.Freeze())
	s.edit(other.Name, "v2", 1)
	var accepted uint64
	s.must(cluster.Await(s.ctx, "the majority accepts", func(ctx context.Context) error {
		r, err := s.Revision(ctx, other)
		if err == nil && r <= before {
			err = errors.New("not yet")
		}
		accepted = r
		return err
	}))
	s.must(s.AwaitServing(s.ctx, "v2", s.agents...))
	watch := s.watchRevisions()
	s.must(s.agents[0].Kill())
	s.must(s.agents[0].Restart())
	s.must(leader.Resume())
	s.pause(2*time.Second, 3*time.Second)
	if after := s.awaitRevision(accepted); after != accepted {
		t.Errorf("revision %d after the leader came back, %d was accepted", after, accepted)
	}
	watch()
	s.must(s.AwaitServing(s.ctx, "v2", s.agents...))
	s.awaitDesk()
	f.stop()
	s.checkEngines()
}

// watchRevisions reads every entry's revision until the returned function is
// called, and fails the test when one goes back.
func (s *site) watchRevisions() (stop func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	done := make(chan error, 1)
	go func() {
		last := make(map[string]uint64)
		for ctx.Err() == nil {
			for _, p := range s.Entries() {
				r, err := s.Revision(ctx, p)
				if err != nil {
					continue
				}
				if r < last[p.Name] {
					done <- fmt.Errorf("%s went back from revision %d to %d", p.Name, last[p.Name], r)
					return
				}
				last[p.Name] = r
			}
			sleep(ctx, 20*time.Millisecond)
		}
		done <- nil
	}()
	return func() {
		s.t.Helper()
		cancel()
		s.must(<-done)
	}
}
