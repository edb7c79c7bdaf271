package e2e

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
)

// longerThanLease is longer than any lease of the system.
const longerThanLease = 5 * time.Second

// TestFrozenAgentRunsNoStaleCalls freezes the plain service's agent with calls in
// progress until its lease has expired, while callers resend through other entries.
// It guards against an agent that runs such a call after it was resumed.
func TestFrozenAgentRunsNoStaleCalls(t *testing.T) {
	s := newSystem(t, 0)
	f := s.startFilings(12)
	for range 2 {
		s.sleepRandom(500*time.Millisecond, time.Second)
		s.must(s.plainAgent.Freeze())
		s.sleepRandom(longerThanLease, longerThanLease+time.Second)
		s.must(s.plainAgent.Resume())
	}
	s.awaitPlainService()
	f.stop()
}

// TestFrozenEntryRunsNoStaleCalls freezes an entry that is not the control leader
// until its lease has expired, and checks the same guarantee.
func TestFrozenEntryRunsNoStaleCalls(t *testing.T) {
	s := newSystem(t, 0)
	leader := s.awaitLeader()
	frozen := s.Entries()[0]
	if frozen == leader {
		frozen = s.Entries()[1]
	}
	f := s.startFilings(12)
	s.sleepRandom(500*time.Millisecond, time.Second)
	s.must(frozen.Freeze())
	s.sleepRandom(longerThanLease, longerThanLease+time.Second)
	s.must(frozen.Resume())
	s.must(s.AwaitReady(s.ctx, s.Entries()...))
	s.awaitPlainService()
	f.stop()
}

func (s *testSystem) awaitLeader() *cluster.Process {
	s.t.Helper()
	var leader *cluster.Process
	s.must(cluster.Await(s.ctx, "a leader", func(ctx context.Context) error {
		var err error
		leader, err = s.Leader(ctx)
		return err
	}))
	return leader
}

// TestFrozenLeaderLosesAuthority freezes the leader until its lease has expired,
// while an operator edits on another entry and the engines accept stale orders.
// An agent is killed and restarted without its state just before the old leader
// resumes. No revision may decrease, and no engine may receive a stale order.
func TestFrozenLeaderLosesAuthority(t *testing.T) {
	s := newSystem(t, 2, fencingIgnored)
	before := s.awaitRevision(1)
	leader := s.awaitLeader()
	other := s.Entries()[0]
	if other == leader {
		other = s.Entries()[1]
	}
	f := s.startFilings(6)
	s.must(leader.Freeze())
	s.writeConfig(other.Name, "v2", 1)
	var accepted uint64
	s.must(cluster.Await(s.ctx, "the majority accepts the edit", func(ctx context.Context) error {
		r, err := s.Revision(ctx, other)
		if err == nil && r <= before {
			err = errors.New("revision not accepted yet")
		}
		accepted = r
		return err
	}))
	s.must(s.AwaitServing(s.ctx, "v2", s.agents...))
	stopWatch := s.watchRevisions()
	s.must(s.agents[0].Kill())
	s.must(s.agents[0].Restart())
	s.must(leader.Resume())
	s.sleepRandom(2*time.Second, 3*time.Second)
	if after := s.awaitRevision(accepted); after != accepted {
		t.Errorf("revision %d after the leader resumed, %d was accepted", after, accepted)
	}
	stopWatch()
	s.must(s.AwaitServing(s.ctx, "v2", s.agents...))
	s.awaitPlainService()
	f.stop()
	s.checkEngines()
}

// watchRevisions polls the revision of every entry until the returned function is
// called, which fails the test if a revision has decreased.
func (s *testSystem) watchRevisions() (stop func()) {
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
					done <- fmt.Errorf("%s reverted from revision %d to %d", p.Name, last[p.Name], r)
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
