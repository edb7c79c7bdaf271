package e2e

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
	"github.com/waxwingpost/waxwingpost/bench/fakes"
)

// drainStartLimit is how long after the stop a draining backend server may still
// receive new requests.
const drainStartLimit = 3 * time.Second

// TestPlannedStopsInterruptNoRequests stops an agent and then an entry with SIGTERM
// while answers that take several seconds are streamed.
func TestPlannedStopsInterruptNoRequests(t *testing.T) {
	// 400 tokens take 4 s.
	s := newSystem(t, 3, "--token-time", "10ms", "--slots", "16")
	entries := s.Entries()
	var stopped atomic.Pointer[cluster.Process]
	ready := func(i, n int) *cluster.Process {
		for k := range entries {
			if p := entries[(i+n+k)%len(entries)]; p != stopped.Load() && s.Ready(s.ctx, p) == nil {
				return p
			}
		}
		return nil
	}
	c := s.startChats(9, 400, ready)
	s.sleepRandom(time.Second, 2*time.Second)
	s.must(s.agents[0].Terminate())
	s.sleepRandom(drainStartLimit, drainStartLimit+time.Millisecond)
	afterLimit := s.engineStats(0)
	s.must(s.agents[0].Wait(s.ctx))
	atExit := s.engineStats(0)
	if atExit.Requests != afterLimit.Requests {
		t.Errorf("the draining server received %d requests later than 3 s after the stop", atExit.Requests-afterLimit.Requests)
	}
	// A stream that was cut here may have been resumed on another engine without the
	// caller noticing, so the engine's own counters are checked.
	if atExit.Completed != atExit.Requests {
		t.Errorf("the draining server completed %d of %d requests: %d canceled, %d failed", atExit.Completed, atExit.Requests, atExit.Canceled, atExit.Failed)
	}
	s.must(entries[2].Terminate())
	// Like a load balancer, ready skips entries that are not ready.
	s.must(entries[2].Wait(s.ctx))
	stopped.Store(entries[2])
	c.stop()
	if incomplete := c.disconnected.Load() + c.failed.Load() + c.refused.Load(); incomplete > 0 {
		t.Errorf("%d requests were not answered completely", incomplete)
	}
	s.checkEngines()
}

func (s *testSystem) engineStats(i int) fakes.EngineStats {
	s.t.Helper()
	var stats fakes.EngineStats
	s.must(s.Stats(s.ctx, s.engines[i], &stats))
	return stats
}

// TestRestartAllProcesses kills and restarts all entries and agents after some
// changes. The last revision must be in force again, and answered calls must keep
// their answers.
func TestRestartAllProcesses(t *testing.T) {
	s := newSystem(t, 2)
	revision := s.awaitRevision(1)
	for i := range 20 {
		s.writeConfig(s.Entries()[i%3].Name, []string{"v1", "v2"}[i/10], i+1)
		revision = s.awaitRevision(revision + 1)
	}
	s.must(s.AwaitServing(s.ctx, "v2", s.agents...))
	f := s.startFilings(4)
	s.sleepRandom(time.Second, 2*time.Second)
	all := append(append(s.Entries(), s.plainAgent), s.agents...)
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
	s.awaitPlainService()
	f.stop()
	s.checkEngines()
}
