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

const settlePeriod = 30 * time.Second

func TestLoadsVersionAndAdapterThenUnloads(t *testing.T) {
	r := newHarness(t)
	r.SetView(loadView(5, "v1", "lora"))
	r.runFor(settlePeriod)
	r.wantServing("v1")
	if r.engine.currentState().Adapters["lora"].IsZero() || r.engine.overlappingOrders != 0 || r.engine.loads != 2 {
		t.Errorf("engine %+v, %d loads, %d overlapping orders", r.engine.currentState(), r.engine.loads, r.engine.overlappingOrders)
	}
	r.SetView(loadView(6, ""))
	r.runFor(settlePeriod)
	r.wantServing("")
	if r.engine.currentState().State != engine.StateEmpty {
		t.Errorf("engine %+v", r.engine.currentState())
	}
}

func TestLoadWaitsForRequestsInProgress(t *testing.T) {
	r := newHarness(t)
	r.SetView(loadView(5, "v1"))
	r.runFor(settlePeriod)
	done, err := r.Admit("v1")
	if err != nil {
		t.Fatal(err)
	}
	r.SetView(loadView(6, "v2"))
	r.runFor(settlePeriod)
	if r.engine.loads != 1 || r.engine.currentState().State != engine.StateReady {
		t.Fatalf("the engine was ordered to load with a request in progress: %+v", r.engine.currentState())
	}
	if _, err := r.Admit("v1"); result.CodeOf(err) != result.VersionMismatch || result.From(err).Ran != result.NotRun {
		t.Errorf("a request for v1 got %v", err)
	}
	done()
	done()
	r.runFor(settlePeriod)
	r.wantServing("v2")
	if _, err := r.Admit("v1"); result.CodeOf(err) != result.VersionMismatch {
		t.Errorf("a request for v1 got %v", err)
	}
}

func TestStageKeepsServing(t *testing.T) {
	r := newHarness(t)
	r.SetView(loadView(5, "v1"))
	r.runFor(settlePeriod)
	r.SetView(stageView(6, "v2", "v1"))
	r.runFor(settlePeriod)
	r.wantServing("v1")
	if _, _, fence, _, _ := r.Report(); fence != 6 || r.engine.loads != 1 {
		t.Errorf("fence %d, %d loads", fence, r.engine.loads)
	}
	r.restartAgent()
	r.SetView(stageView(6, "v2", "v1"))
	r.fences.reply = wire.FenceReply{Index: 9, Order: stageView(6, "v2", "v1").Order}
	r.runFor(settlePeriod)
	r.wantServing("v1")
}

func TestStaleOrdersAreRefused(t *testing.T) {
	for _, ignoresFence := range []bool{false, true} {
		r := newHarness(t)
		r.engine.ignoresFence = ignoresFence
		r.SetView(loadView(8, "v2"))
		r.runFor(settlePeriod)
		for _, stale := range []wire.AgentView{loadView(5, "v1"), loadView(7, "v3"), loadView(8, "v2")} {
			r.SetView(stale)
			r.runFor(settlePeriod)
			r.wantServing("v2")
		}
		if r.engine.loads != 1 || r.engine.staleOrders != 0 {
			t.Errorf("ignoresFence=%v: %d loads, %d stale orders", ignoresFence, r.engine.loads, r.engine.staleOrders)
		}
	}
}

func TestRestartedAgentLearnsFenceFromQuorum(t *testing.T) {
	r := newHarness(t)
	r.engine.ignoresFence = true
	r.SetView(loadView(8, "v2"))
	r.runFor(settlePeriod)
	r.restartAgent()
	r.fences.err = result.New(result.NoQuorum, "cut off")
	// A former leader that lost its quorum still sends its last order.
	r.SetView(loadView(5, "v1"))
	r.runFor(settlePeriod)
	r.wantServing("")
	if r.engine.loads != 1 {
		t.Fatal("an order was executed without a quorum")
	}
	r.fences.err = nil
	r.fences.reply = wire.FenceReply{Index: 30, Order: loadView(8, "v2").Order}
	r.runFor(settlePeriod)
	r.SetView(loadView(8, "v2"))
	r.runFor(settlePeriod)
	r.wantServing("v2")
	if r.engine.loads != 1 || r.engine.staleOrders != 0 {
		t.Errorf("%d loads, %d stale orders", r.engine.loads, r.engine.staleOrders)
	}
	r.SetView(loadView(12, "v1"))
	r.runFor(settlePeriod)
	r.wantServing("v2")
}

func TestLoadWithWrongOutcomeIsRetried(t *testing.T) {
	for _, outcome := range []string{"old", "nothing", "digest", "never"} {
		r := newHarness(t)
		r.SetView(loadView(5, "v1"))
		r.runFor(settlePeriod)
		r.engine.loadOutcome = outcome
		r.SetView(loadView(6, "v2"))
		r.runFor(10 * time.Minute)
		r.wantServing("")
		if _, _, _, code, _ := r.Report(); code != int(result.EngineMismatch) {
			t.Errorf("%s: code %d", outcome, code)
		}
		r.engine.loadOutcome = ""
		r.runFor(5 * time.Minute)
		r.wantServing("v2")
	}
}

func TestEngineErrors(t *testing.T) {
	r := newHarness(t)
	r.engine.loadErr = result.New(result.EngineRefused, "no memory")
	r.SetView(loadView(5, "v1"))
	r.runFor(settlePeriod)
	if _, _, _, code, _ := r.Report(); code != int(result.EngineRefused) {
		t.Errorf("code %d", code)
	}
	r.engine.loadErr = nil
	r.engine.loseReply = true
	r.runFor(settlePeriod)
	r.wantServing("v1")
	if r.engine.loads != 1 || r.engine.overlappingOrders != 0 {
		t.Errorf("%d loads, %d overlapping orders after a lost reply", r.engine.loads, r.engine.overlappingOrders)
	}
	r.engine.reportErr = result.New(result.EngineUnreadable, "refused")
	r.runFor(time.Second)
	r.wantServing("")
	r.engine.reportErr = nil
	r.runFor(settlePeriod)
	r.wantServing("v1")
}

func TestEngineRestartClosesAdmissionAndReloads(t *testing.T) {
	r := newHarness(t)
	r.engine.reportLag = 0
	r.SetView(loadView(5, "v1"))
	r.runFor(settlePeriod)
	r.engine.restart()
	r.tick(context.Background())
	r.wantServing("")
	r.runFor(settlePeriod)
	r.wantServing("v1")
}

func TestHangingEngineClosesAdmission(t *testing.T) {
	r := newHarness(t)
	r.cfg.ReportTimeout = 10 * time.Millisecond
	r.SetView(loadView(5, "v1"))
	r.runFor(settlePeriod)
	r.engine.hangs.Store(true)
	for range r.cfg.ReportFailures {
		r.tick(context.Background())
	}
	r.wantServing("")
	r.engine.hangs.Store(false)
	r.runFor(settlePeriod)
	r.wantServing("v1")
}

func TestFailedFetchIsRetried(t *testing.T) {
	r := newHarness(t)
	r.fetcher.err = result.New(result.SourceFailed, "down")
	r.SetView(loadView(5, "v1"))
	r.runFor(settlePeriod)
	if _, _, _, code, _ := r.Report(); code != int(result.SourceFailed) || r.engine.loads != 0 {
		t.Errorf("code %d, %d loads", code, r.engine.loads)
	}
	r.fetcher.err = nil
	r.runFor(settlePeriod)
	r.wantServing("v1")
}

func TestCloseWaitsForRequests(t *testing.T) {
	r := newHarness(t)
	r.SetView(loadView(5, "v1"))
	r.runFor(settlePeriod)
	finish, err := r.Admit("v1")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- r.Close(context.Background()) }()
	if err := r.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Admit("v1"); result.CodeOf(err) != result.Draining {
		t.Errorf("Admit during Close: %v", err)
	}
	r.clock.Advance(time.Second)
	select {
	case err := <-done:
		t.Fatal("Close returned with a request in progress:", err)
	default:
	}
	finish()
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

// TestRandomFaultSequences runs a controller through random orders, stale
// orders, agent restarts and engine faults. harness.checkAdmission checks after
// every step that only what the engine serves is admitted.
func TestRandomFaultSequences(t *testing.T) {
	const seeds = 80
	for seed := uint64(1); seed <= seeds; seed++ {
		if !runFaultSequence(t, seed) {
			t.Fatalf("seed %d fails: go test ./version/loader -run TestRandomFaultSequences", seed)
		}
	}
}

func runFaultSequence(t *testing.T, seed uint64) bool {
	rnd := rand.New(rand.NewPCG(seed, 1))
	r := newHarness(t)
	r.engine.ignoresFence = rnd.IntN(2) == 0
	r.engine.reportLag = time.Duration(rnd.IntN(4)) * 100 * time.Millisecond
	versions := []string{"v1", "v2", "v3"}
	outcomes := []string{"", "", "old", "nothing", "digest"}
	fence := uint64(10)
	latest := loadView(fence, "v1")
	for range 40 {
		switch rnd.IntN(8) {
		case 0, 1:
			fence += uint64(1 + rnd.IntN(3))
			latest = loadView(fence, versions[rnd.IntN(3)])
			r.SetView(latest)
		case 2:
			r.SetView(loadView(fence-uint64(1+rnd.IntN(5)), versions[rnd.IntN(3)]))
		case 3:
			r.fences.reply = wire.FenceReply{Index: fence, Order: latest.Order}
			r.cancelFetch()
			r.restartAgent()
			r.SetView(loadView(fence-1, versions[rnd.IntN(3)]))
			r.SetView(latest)
		case 4:
			r.engine.loadOutcome = outcomes[rnd.IntN(len(outcomes))]
		case 5:
			r.engine.loseReply = !r.engine.loseReply
		case 6:
			r.engine.loadTime = time.Duration(rnd.IntN(30)) * 100 * time.Millisecond
		}
		r.runFor(time.Duration(rnd.IntN(20)) * 100 * time.Millisecond)
	}
	r.engine.loadOutcome, r.engine.loseReply = "", false
	r.SetView(latest)
	r.runFor(2 * time.Minute)
	r.wantServing(latest.Order.Version)
	if r.engine.staleOrders > 0 || r.engine.overlappingOrders > 0 {
		t.Errorf("seed %d: %d stale orders, %d overlapping orders", seed, r.engine.staleOrders, r.engine.overlappingOrders)
	}
	return !t.Failed()
}
