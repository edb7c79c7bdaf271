package e2e

import (
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/bench/fakes"
)

// TestRolloutsUnderLoad edits the version to and fro, also while the rollout
// before is under way and while the origin sends corrupt and short chunks. No
// request fails, and no engine gets one while it loads.
func TestRolloutsUnderLoad(t *testing.T) {
	s := newSite(t, 4, "--token-time", "8ms", "--load-time", "400ms")
	c := s.startChats(10, 24, nil)
	s.must(s.SetMode(s.ctx, s.origin, fakes.OriginMode{CorruptShare: 0.1, ShortShare: 0.1}))
	for i, version := range []string{"v2", "v1", "v2", "v1", "v2"} {
		s.edit("entry-1", version, i)
		if i%2 == 0 {
			s.must(s.AwaitServing(s.ctx, version, s.agents...))
		} else {
			s.pause(200*time.Millisecond, 2*time.Second)
		}
	}
	s.must(s.AwaitServing(s.ctx, "v2", s.agents...))
	c.stop()
	if lost := c.cut.Load() + c.broken.Load() + c.refused.Load(); lost > 0 {
		t.Errorf("%d requests were not answered whole", lost)
	}
	s.checkEngines()
	for _, p := range s.engines {
		var stats fakes.EngineStats
		s.must(s.Stats(s.ctx, p, &stats))
		if stats.WhileNotReady+stats.CutByLoad+stats.Overlapping > 0 {
			t.Errorf("%s: %d requests while not ready, %d cut by a load, %d orders during a load: %v",
				p.Name, stats.WhileNotReady, stats.CutByLoad, stats.Overlapping, stats.Orders)
		}
		t.Logf("%s: %d loads, %d answers", p.Name, stats.Loads, stats.Completed)
	}
}
