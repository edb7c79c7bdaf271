package loader

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const long = 30 * time.Second

func TestLoadsVersionAndAdapterThenUnloads(t *testing.T) {
	r := newRig(t)
	r.SetView(view(5, "v1", "lora"))
	r.run(long)
	r.wantServing("v1")
	if r.engine.truth().Adapters["lora"].IsZero() || r.engine.overlaps != 0 || r.engine.loads != 2 {
		t.Errorf("engine %+v, %d loads, %d overlaps", r.engine.truth(), r.engine.loads, r.engine.overlaps)
	}
	r.SetView(view(6, ""))
	r.run(long)
	r.wantServing("")
	if r.engine.truth().State != engine.StateEmpty {
		t.Errorf("engine %+v", r.engine.truth())
	}
}

func TestRequestsInProgressEndBeforeTheLoad(t *testing.T) {
	r := newRig(t)
	r.SetView(view(5, "v1"))
	r.run(long)
	leave, err := r.Enter("v1")
	if err != nil {
		t.Fatal(err)
	}
	r.SetView(view(6, "v2"))
	r.run(long)
	if r.engine.loads != 1 || r.engine.truth().State != engine.StateReady {
		t.Fatalf("ordered to load with a request in progress: %+v", r.engine.truth())
	}
	if _, err := r.Enter("v1"); result.CodeOf(err) != result.VersionMismatch || result.From(err).Ran != result.NotRun {
		t.Errorf("a request for v1 got %v", err)
	}
	leave()
	leave()
	r.run(long)
	r.wantServing("v2")
	if _, err := r.Enter("v1"); result.CodeOf(err) != result.VersionMismatch {
		t.Errorf("a request for v1 got %v", err)
	}
}

func TestStageKeepsServing(t *testing.T) {
	r := newRig(t)
	r.SetView(view(5, "v1"))
	r.run(long)
	r.SetView(stageView(6, "v2", "v1"))
	r.run(long)
	r.wantServing("v1")
	if _, _, fence, _, _ := r.Report(); fence != 6 || r.engine.loads != 1 {
		t.Errorf("fence %d, %d loads", fence, r.engine.loads)
	}
	r.restartAgent()
	r.SetView(stageView(6, "v2", "v1"))
	r.fences.reply = wire.FenceReply{Index: 9, Order: stageView(6, "v2", "v1").Order}
	r.run(long)
	r.wantServing("v1")
}

func TestStaleOrdersAreRefused(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		r := newRig(t)
		r.engine.ignores = ignores
		r.SetView(view(8, "v2"))
		r.run(long)
		for _, stale := range []wire.AgentView{view(5, "v1"), view(7, "v3"), view(8, "v2")} {
			r.SetView(stale)
			r.run(long)
			r.wantServing("v2")
		}
		if r.engine.loads != 1 || r.engine.stale != 0 {
			t.Errorf("ignores=%v: %d loads, %d stale", ignores, r.engine.loads, r.engine.stale)
		}
	}
}

func TestFreshAgentAsksAQuorumFirst(t *testing.T) {
	r := newRig(t)
	r.engine.ignores = true
	r.SetView(view(8, "v2"))
	r.run(long)
	r.restartAgent()
	r.fences.err = result.New(result.NoQuorum, "cut off")
	// The leader that lost its quorum long ago still sends its last order.
	r.SetView(view(5, "v1"))
	r.run(long)
	r.wantServing("")
	if r.engine.loads != 1 {
		t.Fatal("an order was believed without a quorum")
	}
	r.fences.err = nil
	r.fences.reply = wire.FenceReply{Index: 30, Order: view(8, "v2").Order}
	r.run(long)
	r.SetView(view(8, "v2"))
	r.run(long)
	r.wantServing("v2")
	if r.engine.loads != 1 || r.engine.stale != 0 {
		t.Errorf("%d loads, %d stale", r.engine.loads, r.engine.stale)
	}
	r.SetView(view(12, "v1"))
	r.run(long)
	r.wantServing("v2")
}

func TestEngineThatDoesNotLoadWhatWasOrdered(t *testing.T) {
	for _, outcome := range []string{"old", "nothing", "digest", "never"} {
		r := newRig(t)
		r.SetView(view(5, "v1"))
		r.run(long)
		r.engine.outcome = outcome
		r.SetView(view(6, "v2"))
		r.run(10 * time.Minute)
		r.wantServing("")
		if _, _, _, code, _ := r.Report(); code != int(result.EngineMismatch) {
			t.Errorf("%s: code %d", outcome, code)
		}
		r.engine.outcome = ""
		r.run(5 * time.Minute)
		r.wantServing("v2")
	}
}

func TestEngineErrors(t *testing.T) {
	r := newRig(t)
	r.engine.loadErr = result.New(result.EngineRefused, "no memory")
	r.SetView(view(5, "v1"))
	r.run(long)
	if _, _, _, code, _ := r.Report(); code != int(result.EngineRefused) {
		t.Errorf("code %d", code)
	}
	r.engine.loadErr = nil
	r.engine.lostReply = true
	r.run(long)
	r.wantServing("v1")
	if r.engine.loads != 1 || r.engine.overlaps != 0 {
		t.Errorf("%d loads, %d overlaps after a lost reply", r.engine.loads, r.engine.overlaps)
	}
	r.engine.reportErr = result.New(result.EngineUnreadable, "refused")
	r.run(time.Second)
	r.wantServing("")
	r.engine.reportErr = nil
	r.run(long)
	r.wantServing("v1")
}

func TestEngineThatRestartsIsShutOffAtOnceAndLoadedAgain(t *testing.T) {
	r := newRig(t)
	r.engine.lag = 0
	r.SetView(view(5, "v1"))
	r.run(long)
	r.engine.restart()
	r.tick(context.Background())
	r.wantServing("")
	r.run(long)
	r.wantServing("v1")
}

func TestEngineThatHangsIsShutOff(t *testing.T) {
	r := newRig(t)
	r.cfg.ReportTimeout = 10 * time.Millisecond
	r.SetView(view(5, "v1"))
	r.run(long)
	r.engine.hangs.Store(true)
	for range r.cfg.ReportFailures {
		r.tick(context.Background())
	}
	r.wantServing("")
	r.engine.hangs.Store(false)
	r.run(long)
	r.wantServing("v1")
}

func TestFetchFailsThenSucceeds(t *testing.T) {
	r := newRig(t)
	r.fetcher.err = result.New(result.SourceFailed, "down")
	r.SetView(view(5, "v1"))
	r.run(long)
	if _, _, _, code, _ := r.Report(); code != int(result.SourceFailed) || r.engine.loads != 0 {
		t.Errorf("code %d, %d loads", code, r.engine.loads)
	}
	r.fetcher.err = nil
	r.run(long)
	r.wantServing("v1")
}

func TestCloseWaitsForRequests(t *testing.T) {
	r := newRig(t)
	r.SetView(view(5, "v1"))
	r.run(long)
	leave, err := r.Enter("v1")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- r.Close(context.Background()) }()
	if err := r.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Enter("v1"); result.CodeOf(err) != result.Draining {
		t.Errorf("enter: %v", err)
	}
	r.clock.Advance(time.Second)
	select {
	case err := <-done:
		t.Fatal("closed with a request in progress:", err)
	default:
	}
	leave()
	for {
		r.clock.Advance(r.cfg.PollInterval)
		select {
		case err := <-done:
			if err != nil {
				t.Error(err)
			}
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// TestAnySequenceOfFaults throws orders, old orders, restarts and engine
// faults at a controller. rig.checkAdmission judges every step: what is
// admitted is what the engine serves.
func TestAnySequenceOfFaults(t *testing.T) {
	const seeds = 80
	for seed := uint64(1); seed <= seeds; seed++ {
		if !runFaults(t, seed) {
			t.Fatalf("seed %d fails: go test ./version/loader -run TestAnySequenceOfFaults", seed)
		}
	}
}

func runFaults(t *testing.T, seed uint64) bool {
	rnd := rand.New(rand.NewPCG(seed, 1))
	r := newRig(t)
	r.engine.ignores = rnd.IntN(2) == 0
	r.engine.lag = time.Duration(rnd.IntN(4)) * 100 * time.Millisecond
	versions := []string{"v1", "v2", "v3"}
	outcomes := []string{"", "", "old", "nothing", "digest"}
	fence := uint64(10)
	latest := view(fence, "v1")
	for range 40 {
		switch rnd.IntN(8) {
		case 0, 1:
			fence += uint64(1 + rnd.IntN(3))
			latest = view(fence, versions[rnd.IntN(3)])
			r.SetView(latest)
		case 2:
			r.SetView(view(fence-uint64(1+rnd.IntN(5)), versions[rnd.IntN(3)]))
		case 3:
			r.fences.reply = wire.FenceReply{Index: fence, Order: latest.Order}
			r.cancelFetch()
			r.restartAgent()
			r.SetView(view(fence-1, versions[rnd.IntN(3)]))
			r.SetView(latest)
		case 4:
			r.engine.outcome = outcomes[rnd.IntN(len(outcomes))]
		case 5:
			r.engine.lostReply = !r.engine.lostReply
		case 6:
			r.engine.load = time.Duration(rnd.IntN(30)) * 100 * time.Millisecond
		}
		r.run(time.Duration(rnd.IntN(20)) * 100 * time.Millisecond)
	}
	r.engine.outcome, r.engine.lostReply = "", false
	r.SetView(latest)
	r.run(2 * time.Minute)
	r.wantServing(latest.Order.Version)
	if r.engine.stale > 0 || r.engine.overlaps > 0 {
		t.Errorf("seed %d: %d stale orders, %d overlapping", seed, r.engine.stale, r.engine.overlaps)
	}
	return !t.Failed()
}
