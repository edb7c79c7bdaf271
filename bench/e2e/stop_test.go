package e2e

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
	"github.com/waxwingpost/waxwingpost/bench/fakes"
)

// leavingLimit is when a leaving backend server must get nothing new.
const leavingLimit = 3 * time.Second

// TestPlannedStopsCutNothingOff stops an agent and then an entry with SIGTERM
// while answers of some seconds are streamed.
func TestPlannedStopsCutNothingOff(t *testing.T) {
	// 400 tokens take 4 s.
	s := newSite(t, 3, "--token-time", "10ms", "--slots", "16")
	entries := s.Entries()
	var gone atomic.Pointer[cluster.Process]
	ready := func(i, n int) *cluster.Process {
		for k := range entries {
			if p := entries[(i+n+k)%len(entries)]; p != gone.Load() && s.Ready(s.ctx, p) == nil {
				return p
			}
		}
		return nil
	}
	c := s.startChats(9, 400, ready)
	s.pause(time.Second, 2*time.Second)
	s.must(s.agents[0].Terminate())
	s.pause(leavingLimit, leavingLimit+time.Millisecond)
	at3s := s.engineStats(0)
	s.must(s.agents[0].Wait(s.ctx))
	left := s.engineStats(0)
	if left.Requests != at3s.Requests {
		t.Errorf("the leaving server got %d requests later than 3 s after the stop was asked for", left.Requests-at3s.Requests)
	}
	// A stream that was cut here may have been resumed elsewhere, unseen by
	// its caller: the engine's own record tells.
	if left.Completed != left.Requests {
		t.Errorf("the leaving server completed %d of %d requests: %d canceled, %d failed", left.Completed, left.Requests, left.Canceled, left.Failed)
	}
	s.must(entries[2].Terminate())
	// As the balancer does: nothing new goes to an entry that is not ready.
	s.must(entries[2].Wait(s.ctx))
	gone.Store(entries[2])
	c.stop()
	if lost := c.cut.Load() + c.broken.Load() + c.refused.Load(); lost > 0 {
		t.Errorf("%d requests were not answered whole", lost)
	}
	s.checkEngines()
}

func (s *site) engineStats(i int) fakes.EngineStats {
	s.t.Helper()
	var stats fakes.EngineStats
	s.must(s.Stats(s.ctx, s.engines[i], &stats))
	return stats
}

// TestRestartOfAll ends every process after some changes and starts all again:
// the last revision is in force, and answered calls keep their answers.
func TestRestartOfAll(t *testing.T) {
	s := newSite(t, 2)
	revision := s.awaitRevision(1)
	for i := range 20 {
		s.edit(s.Entries()[i%3].Name, []string{"v1", "v2"}[i/10], i+1)
		revision = s.awaitRevision(revision + 1)
	}
	s.must(s.AwaitServing(s.ctx, "v2", s.agents...))
	f := s.startFiling(4)
	s.pause(time.Second, 2*time.Second)
	all := append(append(s.Entries(), s.deskAgent), s.agents...)
	for _, p := range all {
		s.must(p.Kill())
	}
	for _, p := range all {
		s.must(p.Restart())
	}
	s.must(s.AwaitReady(s.ctx, s.Entries()...))
	if after := s.awaitRevision(revision); after != revision {
		t.Errorf("revision %d after the restart, %d before", after, revision)
	}
	s.must(s.AwaitServing(s.ctx, "v2", s.agents...))
	s.awaitDesk()
	f.stop()
	s.checkEngines()
}
