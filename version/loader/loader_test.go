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
	h := newHarness(t)
	h.SetView(loadView(5, "v1", "lora"))
	h.runFor(settlePeriod)
	h.wantServing("v1")
	if h.engine.currentState().Adapters["lora"].IsZero() || h.engine.overlappingOrders != 0 || h.engine.loads != 2 {
		t.Errorf("engine %+v, %d loads, %d overlapping orders", h.engine.currentState(), h.engine.loads, h.engine.overlappingOrders)
	}
	h.SetView(loadView(6, ""))
	h.runFor(settlePeriod)
	h.wantServing("")
	if h.engine.currentState().State != engine.StateEmpty {
		t.Errorf("engine %+v", h.engine.currentState())
	}
}

func TestLoadWaitsForRequestsInProgress(t *testing.T) {
	h := newHarness(t)
	h.SetView(loadView(5, "v1"))
	h.runFor(settlePeriod)
	done, err := h.Admit("v1")
	if err != nil {
		t.Fatal(err)
	}
	h.SetView(loadView(6, "v2"))
	h.runFor(settlePeriod)
	if h.engine.loads != 1 || h.engine.currentState().State != engine.StateReady {
		t.Fatalf("the engine was ordered to load with a request in progress: %+v", h.engine.currentState())
	}
	if _, err := h.Admit("v1"); result.CodeOf(err) != result.VersionMismatch || result.From(err).Ran != result.NotRun {
		t.Errorf("a request for v1 got %v", err)
	}
	done()
	done()
	h.runFor(settlePeriod)
	h.wantServing("v2")
	if _, err := h.Admit("v1"); result.CodeOf(err) != result.VersionMismatch {
		t.Errorf("a request for v1 got %v", err)
	}
}

func TestStageKeepsServing(t *testing.T) {
	h := newHarness(t)
	h.SetView(loadView(5, "v1"))
	h.runFor(settlePeriod)
	h.SetView(stageView(6, "v2", "v1"))
	h.runFor(settlePeriod)
	h.wantServing("v1")
	if _, _, fence, _, _ := h.Report(); fence != 6 || h.engine.loads != 1 {
		t.Errorf("fence %d, %d loads", fence, h.engine.loads)
	}
	h.restartAgent()
	h.SetView(stageView(6, "v2", "v1"))
	h.fences.reply = wire.FenceReply{Index: 9, Order: stageView(6, "v2", "v1").Order}
	h.runFor(settlePeriod)
	h.wantServing("v1")
}

func TestStaleOrdersAreRefused(t *testing.T) {
	for _, ignoresFence := range []bool{false, true} {
		h := newHarness(t)
		h.engine.ignoresFence = ignoresFence
		h.SetView(loadView(8, "v2"))
		h.runFor(settlePeriod)
		for _, stale := range []wire.AgentView{loadView(5, "v1"), loadView(7, "v3"), loadView(8, "v2")} {
			h.SetView(stale)
			h.runFor(settlePeriod)
			h.wantServing("v2")
		}
		if h.engine.loads != 1 || h.engine.staleOrders != 0 {
			t.Errorf("ignoresFence=%v: %d loads, %d stale orders", ignoresFence, h.engine.loads, h.engine.staleOrders)
		}
	}
}

func TestRestartedAgentLearnsFenceFromQuorum(t *testing.T) {
	h := newHarness(t)
	h.engine.ignoresFence = true
	h.SetView(loadView(8, "v2"))
	h.runFor(settlePeriod)
	h.restartAgent()
	h.fences.err = result.New(result.NoQuorum, "cut off")
	// A former leader that lost its quorum still sends its last order.
	h.SetView(loadView(5, "v1"))
	h.runFor(settlePeriod)
	h.wantServing("")
	if h.engine.loads != 1 {
		t.Fatal("an order was executed without a quorum")
	}
	h.fences.err = nil
	h.fences.reply = wire.FenceReply{Index: 30, Order: loadView(8, "v2").Order}
	h.runFor(settlePeriod)
	h.SetView(loadView(8, "v2"))
	h.runFor(settlePeriod)
	h.wantServing("v2")
	if h.engine.loads != 1 || h.engine.staleOrders != 0 {
		t.Errorf("%d loads, %d stale orders", h.engine.loads, h.engine.staleOrders)
	}
	h.SetView(loadView(12, "v1"))
	h.runFor(settlePeriod)
	h.wantServing("v2")
}

func TestLoadWithWrongOutcomeIsRetried(t *testing.T) {
	for _, outcome := range []string{"old", "nothing", "digest", "never"} {
		h := newHarness(t)
		h.SetView(loadView(5, "v1"))
		h.runFor(settlePeriod)
		h.engine.loadOutcome = outcome
		h.SetView(loadView(6, "v2"))
		h.runFor(10 * time.Minute)
		h.wantServing("")
		if _, _, _, code, _ := h.Report(); code != int(result.EngineMismatch) {
			t.Errorf("%s: code %d", outcome, code)
		}
		h.engine.loadOutcome = ""
		h.runFor(5 * time.Minute)
		h.wantServing("v2")
	}
}

func TestEngineErrorsAreReportedAndRecoveredFrom(t *testing.T) {
	h := newHarness(t)
	h.engine.loadErr = result.New(result.EngineRefused, "no memory")
	h.SetView(loadView(5, "v1"))
	h.runFor(settlePeriod)
	if _, _, _, code, _ := h.Report(); code != int(result.EngineRefused) {
		t.Errorf("code %d", code)
	}
	h.engine.loadErr = nil
	h.engine.loseReply = true
	h.runFor(settlePeriod)
	h.wantServing("v1")
	if h.engine.loads != 1 || h.engine.overlappingOrders != 0 {
		t.Errorf("%d loads, %d overlapping orders after a lost reply", h.engine.loads, h.engine.overlappingOrders)
	}
	h.engine.reportErr = result.New(result.EngineUnreadable, "refused")
	h.runFor(time.Second)
	h.wantServing("")
	h.engine.reportErr = nil
	h.runFor(settlePeriod)
	h.wantServing("v1")
}

func TestEngineRestartClosesAdmissionAndReloads(t *testing.T) {
	h := newHarness(t)
	h.engine.reportLag = 0
	h.SetView(loadView(5, "v1"))
	h.runFor(settlePeriod)
	h.engine.restart()
	h.tick(context.Background())
	h.wantServing("")
	h.runFor(settlePeriod)
	h.wantServing("v1")
}

func TestHangingEngineClosesAdmission(t *testing.T) {
	h := newHarness(t)
	h.cfg.ReportTimeout = 10 * time.Millisecond
	h.SetView(loadView(5, "v1"))
	h.runFor(settlePeriod)
	h.engine.hangs.Store(true)
	for range h.cfg.ReportFailures {
		h.tick(context.Background())
	}
	h.wantServing("")
	h.engine.hangs.Store(false)
	h.runFor(settlePeriod)
	h.wantServing("v1")
}

func TestFailedFetchIsRetried(t *testing.T) {
	h := newHarness(t)
	h.fetcher.err = result.New(result.SourceFailed, "down")
	h.SetView(loadView(5, "v1"))
	h.runFor(settlePeriod)
	if _, _, _, code, _ := h.Report(); code != int(result.SourceFailed) || h.engine.loads != 0 {
		t.Errorf("code %d, %d loads", code, h.engine.loads)
	}
	h.fetcher.err = nil
	h.runFor(settlePeriod)
	h.wantServing("v1")
}

func TestCloseWaitsForRequests(t *testing.T) {
	h := newHarness(t)
	h.SetView(loadView(5, "v1"))
	h.runFor(settlePeriod)
	finish, err := h.Admit("v1")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- h.Close(context.Background()) }()
	if err := h.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if _, err := h.Admit("v1"); result.CodeOf(err) != result.Draining {
		t.Errorf("Admit during Close: %v", err)
	}
	h.clock.Advance(time.Second)
	select {
	case err := <-done:
		t.Fatal("Close returned with a request in progress:", err)
	default:
	}
	finish()
	for {
		h.clock.Advance(h.cfg.PollInterval)
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
	h := newHarness(t)
	h.engine.ignoresFence = rnd.IntN(2) == 0
	h.engine.reportLag = time.Duration(rnd.IntN(4)) * 100 * time.Millisecond
	versions := []string{"v1", "v2", "v3"}
	outcomes := []string{"", "", "old", "nothing", "digest"}
	fence := uint64(10)
	latest := loadView(fence, "v1")
	for range 40 {
		switch rnd.IntN(8) {
		case 0, 1:
			fence += uint64(1 + rnd.IntN(3))
			latest = loadView(fence, versions[rnd.IntN(3)])
			h.SetView(latest)
		case 2:
			h.SetView(loadView(fence-uint64(1+rnd.IntN(5)), versions[rnd.IntN(3)]))
		case 3:
			h.fences.reply = wire.FenceReply{Index: fence, Order: latest.Order}
			h.cancelFetch()
			h.restartAgent()
			h.SetView(loadView(fence-1, versions[rnd.IntN(3)]))
			h.SetView(latest)
		case 4:
			h.engine.loadOutcome = outcomes[rnd.IntN(len(outcomes))]
		case 5:
			h.engine.loseReply = !h.engine.loseReply
		case 6:
			h.engine.loadTime = time.Duration(rnd.IntN(30)) * 100 * time.Millisecond
		}
		h.runFor(time.Duration(rnd.IntN(20)) * 100 * time.Millisecond)
	}
	h.engine.loadOutcome, h.engine.loseReply = "", false
	h.SetView(latest)
	h.runFor(2 * time.Minute)
	h.wantServing(latest.Order.Version)
	if h.engine.staleOrders > 0 || h.engine.overlappingOrders > 0 {
		t.Errorf("seed %d: %d stale orders, %d overlapping orders", seed, h.engine.staleOrders, h.engine.overlappingOrders)
	}
	return !t.Failed()
}
