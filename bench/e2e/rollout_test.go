package e2e

import (
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/bench/fakes"
)

// TestRolloutsUnderLoad switches the version back and forth, also before the
// previous rollout has completed, while the origin sends corrupt and truncated
// chunks. No request may fail, and no engine may receive one while it loads.
func TestRolloutsUnderLoad(t *testing.T) {
	s := newSystem(t, 4, "--token-time", "8ms", "--load-time", "400ms")
	c := s.startChats(10, 24, nil)
	s.must(s.SetMode(s.ctx, s.origin, fakes.OriginMode{CorruptShare: 0.1, TruncateShare: 0.1}))
	for i, version := range []string{"v2", "v1", "v2", "v1", "v2"} {
		s.writeConfig("entry-1", version, i)
		if i%2 == 0 {
			s.must(s.AwaitServing(s.ctx, version, s.agents...))
		} else {
			s.sleepRandom(200*time.Millisecond, 2*time.Second)
		}
	}
	s.must(s.AwaitServing(s.ctx, "v2", s.agents...))
	c.stop()
	if incomplete := c.disconnected.Load() + c.failed.Load() + c.refused.Load(); incomplete > 0 {
		t.Errorf("%d requests were not answered completely", incomplete)
	}
	s.checkEngines()
	for _, p := range s.engines {
		var stats fakes.EngineStats
		s.must(s.Stats(s.ctx, p, &stats))
		if stats.RequestsWhileNotReady+stats.CutByLoad+stats.OrdersDuringLoad > 0 {
			t.Errorf("%s: %d requests while not ready, %d requests cut by a load, %d orders during a load: %v",
				p.Name, stats.RequestsWhileNotReady, stats.CutByLoad, stats.OrdersDuringLoad, stats.Orders)
		}
		t.Logf("%s: %d loads, %d answers", p.Name, stats.Loads, stats.Completed)
	}
}
