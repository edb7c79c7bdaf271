package e2e

import (
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
	"github.com/waxwingpost/waxwingpost/bench/fakes"
)

// killAndRestart kills a process with SIGKILL and restarts it after a random pause.
func (s *testSystem) killAndRestart(p *cluster.Process) {
	s.t.Helper()
	s.must(p.Kill())
	s.sleepRandom(200*time.Millisecond, 1200*time.Millisecond)
	s.must(p.Restart())
}

// TestFilingsUnderKills kills entries, the control leader and the agent of the
// plain service while callers send filings and resend them through other entries.
func TestFilingsUnderKills(t *testing.T) {
	s := newSystem(t, 0)
	f := s.startFilings(12)
	for range 9 {
		s.sleepRandom(500*time.Millisecond, 1500*time.Millisecond)
		switch s.rnd.IntN(3) {
		case 0:
			s.killAndRestart(s.Entries()[s.rnd.IntN(3)])
		case 1:
			if leader, err := s.Leader(s.ctx); err == nil {
				s.killAndRestart(leader)
			}
		default:
			s.killAndRestart(s.plainAgent)
		}
	}
	s.must(s.AwaitReady(s.ctx, s.Entries()...))
	s.awaitPlainService()
	f.stop()
}

// TestChatsUnderKillsAndRollouts kills engines, agents and entries, freezes engines
// and switches the version back and forth while callers stream answers.
func TestChatsUnderKillsAndRollouts(t *testing.T) {
	s := newSystem(t, 4, "--token-time", "8ms")
	c := s.startChats(10, 24, nil)
	versions := []string{"v2", "v1", "v2"}
	for i := range 9 {
		s.sleepRandom(400*time.Millisecond, 1200*time.Millisecond)
		if i%3 == 0 {
			s.writeConfig("entry-1", versions[i/3], i)
		}
		switch s.rnd.IntN(5) {
		case 0:
			// The test edits the folder of entry-1, so it kills another entry.
			s.killAndRestart(s.Entries()[1+s.rnd.IntN(2)])
		case 1:
			s.killAndRestart(s.agents[s.rnd.IntN(len(s.agents))])
		case 2:
			s.killAndRestart(s.engines[s.rnd.IntN(len(s.engines))])
		case 3:
			frozen := s.engines[s.rnd.IntN(len(s.engines))]
			s.must(frozen.Freeze())
			s.sleepRandom(2*time.Second, longerThanLease)
			s.must(frozen.Resume())
		default:
			s.must(s.RestartEngine(s.ctx, s.engines[s.rnd.IntN(len(s.engines))]))
		}
	}
	s.must(s.AwaitReady(s.ctx, s.Entries()...))
	s.must(s.AwaitServing(s.ctx, "v2", s.agents...))
	c.stop()
	s.checkEngines()
}

// checkEngines checks the counters of the engines for bad loads and stale orders.
func (s *testSystem) checkEngines() {
	s.t.Helper()
	for _, p := range s.engines {
		var stats fakes.EngineStats
		s.must(s.Stats(s.ctx, p, &stats))
		if stats.BadLoads > 0 || stats.StaleOrders > 0 {
			s.t.Errorf("%s: %d loads of partial or mixed weights, %d orders with stale fences: %v", p.Name, stats.BadLoads, stats.StaleOrders, stats.Orders)
		}
	}
}
