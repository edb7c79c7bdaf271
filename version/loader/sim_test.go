package loader

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// simEngine simulates an engine on an injected clock. Its reports lag by
// reportLag.
type simEngine struct {
	clock        clockwork.Clock
	reportLag    time.Duration
	loadTime     time.Duration
	ignoresFence bool
	hangs        atomic.Bool

	mu           sync.Mutex
	current      engine.Report
	history      []pastReport
	loadEndsAt   time.Time
	pendingOrder engine.LoadOrder
	beforeLoad   engine.Report
	// loadOutcome, the errors and loseReply inject faults.
	loadOutcome string
	reportErr   error
	loadErr     error
	loseReply   bool

	loads, overlappingOrders, staleOrders int
	fences                                []uint64
}

type pastReport struct {
	at     time.Time
	report engine.Report
}

func (e *simEngine) recordState() {
	e.history = append(e.history, pastReport{e.clock.Now(), e.current})
}

// finishDueLoad ends a load whose loadTime has passed.
func (e *simEngine) finishDueLoad() {
	if e.current.State != engine.StateLoading || e.clock.Now().Before(e.loadEndsAt) {
		return
	}
	fence := e.current.Fence
	switch e.loadOutcome {
	case "never":
		return
	case "old":
		e.current = e.beforeLoad
		e.current.State = engine.StateReady
	case "nothing":
		e.current = engine.Report{State: engine.StateEmpty}
	case "digest":
		e.current = engine.Report{State: engine.StateReady, Version: e.pendingOrder.Version, Digest: manifest.Sum([]byte("other"))}
	default:
		e.applyLoad()
	}
	e.current.Fence = fence
	e.history = append(e.history, pastReport{e.loadEndsAt, e.current})
}

func (e *simEngine) applyLoad() {
	if !e.pendingOrder.Adapter {
		e.current = engine.Report{State: engine.StateReady, Version: e.pendingOrder.Version, Digest: e.pendingOrder.Digest}
		return
	}
	adapters := map[string]manifest.Digest{e.pendingOrder.Version: e.pendingOrder.Digest}
	for name, digest := range e.beforeLoad.Adapters {
		adapters[name] = digest
	}
	e.current = e.beforeLoad
	e.current.Adapters = adapters
}

func (e *simEngine) Report(ctx context.Context) (engine.Report, error) {
	if e.hangs.Load() {
		<-ctx.Done()
		return engine.Report{}, result.New(result.EngineUnreadable, "%v", ctx.Err())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishDueLoad()
	if e.reportErr != nil {
		return engine.Report{}, e.reportErr
	}
	report := engine.Report{State: engine.StateEmpty}
	for _, past := range e.history {
		if e.clock.Now().Sub(past.at) >= e.reportLag {
			report = past.report
		}
	}
	return report, nil
}

func (e *simEngine) checkFence(f control.Fence) error {
	e.finishDueLoad()
	e.fences = append(e.fences, f.Index)
	if e.current.State == engine.StateLoading {
		e.overlappingOrders++
	}
	if f.Index < e.current.Fence {
		e.staleOrders++
		if !e.ignoresFence {
			return result.New(result.StaleFence, "old")
		}
	}
	e.current.Fence = max(e.current.Fence, f.Index)
	return nil
}

func (e *simEngine) Load(_ context.Context, order engine.LoadOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loadErr != nil {
		return e.loadErr
	}
	if err := e.checkFence(order.Fence); err != nil {
		return err
	}
	e.loads++
	e.beforeLoad, e.pendingOrder, e.loadEndsAt = e.current, order, e.clock.Now().Add(e.loadTime)
	e.current.State = engine.StateLoading
	e.recordState()
	if e.loseReply {
		return result.New(result.EngineUnreadable, "reply lost")
	}
	return nil
}

func (e *simEngine) Unload(_ context.Context, f control.Fence, _ string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFence(f); err != nil {
		return err
	}
	e.current = engine.Report{State: engine.StateEmpty, Fence: e.current.Fence}
	e.recordState()
	return nil
}

func (e *simEngine) Drain(_ context.Context, f control.Fence) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFence(f); err != nil {
		return err
	}
	if e.current.State == engine.StateReady {
		e.current.State = engine.StateDrained
		e.recordState()
	}
	return nil
}

func (e *simEngine) Cancel(context.Context, string) error { return nil }

// restart drops the weights, as a crash of the engine does.
func (e *simEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current = engine.Report{State: engine.StateEmpty}
	e.recordState()
}

// currentState returns the engine's state without report lag.
func (e *simEngine) currentState() engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishDueLoad()
	return e.current
}

// simFetcher stages immediately unless err is set.
type simFetcher struct {
	mu      sync.Mutex
	err     error
	fetched []string
}

func (f *simFetcher) Fetch(_ context.Context, m *manifest.Manifest) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetched = append(f.fetched, m.Version)
	return "/spool/" + m.Version, f.err
}

// simFences simulates the quorum that returns the current fence.
type simFences struct {
	mu    sync.Mutex
	reply wire.FenceReply
	err   error
	calls int
}

func (f *simFences) Fence(context.Context) (wire.FenceReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	return f.reply, f.err
}

func testManifest(version string) manifest.Manifest {
	return *manifest.Build(version, []byte("content of "+version), 8)
}

// harness is a controller and its simulated environment on one fake clock.
type harness struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	engine  *simEngine
	fetcher *simFetcher
	fences  *simFences
	*Controller
}

func newHarness(t *testing.T) *harness {
	clock := clockwork.NewFakeClock()
	h := &harness{
		t: t, clock: clock, fetcher: &simFetcher{}, fences: &simFences{},
		engine: &simEngine{clock: clock, reportLag: 200 * time.Millisecond, loadTime: time.Second},
	}
	h.engine.current.State = engine.StateEmpty
	h.engine.recordState()
	h.restartAgent()
	return h
}

// restartAgent replaces the controller by one without state.
func (h *harness) restartAgent() {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	h.Controller = New(Config{Agent: "a1"}, h.engine, h.fetcher, h.fences, h.clock, log, tally.NoopScope)
}

// loadView returns a view with a load order.
func loadView(fence uint64, version string, adapters ...string) wire.AgentView {
	v := wire.AgentView{Revision: 1, Order: &control.Order{
		PlaceOrder: control.PlaceOrder{Agent: "a1", Version: version, Adapters: adapters},
		Fence:      control.Fence{Term: 1, Index: fence},
	}}
	for _, name := range append([]string{version}, adapters...) {
		if name != "" {
			v.Manifests = append(v.Manifests, testManifest(name))
		}
	}
	return v
}

func stageView(fence uint64, version, keep string) wire.AgentView {
	v := loadView(fence, version)
	v.Order.Stage, v.Order.Keep = true, keep
	v.Manifests = append(v.Manifests, testManifest(keep))
	return v
}

// runFor advances the clock by d in steps of the poll interval, with two ticks of
// the controller in each.
func (h *harness) runFor(d time.Duration) {
	h.t.Helper()
	for passed := time.Duration(0); passed < d; passed += h.cfg.PollInterval {
		h.tick(context.Background())
		h.awaitFetch()
		h.tick(context.Background())
		h.checkAdmission()
		h.clock.Advance(h.cfg.PollInterval)
	}
}

// awaitFetch waits for the result of the fetch in progress.
func (h *harness) awaitFetch() {
	h.t.Helper()
	for {
		h.mu.Lock()
		waiting := h.job.phase == phaseFetch && !h.job.fetchDone
		h.mu.Unlock()
		if !waiting {
			return
		}
		select {
		case <-h.wake:
		case <-time.After(10 * time.Second):
			h.t.Fatal("timed out waiting for the fetch")
		}
	}
}

// checkAdmission fails the test if requests are admitted for a version that the
// engine does not serve.
func (h *harness) checkAdmission() {
	h.t.Helper()
	_, serving, _, _, _ := h.Report()
	if serving == "" {
		return
	}
	m := testManifest(serving)
	if state := h.engine.currentState(); state.State != engine.StateReady || state.Version != serving || state.Digest != m.Digest() {
		h.t.Errorf("requests for version %q are admitted while the engine is %s with version %q, digest %s", serving, state.State, state.Version, state.Digest)
	}
}

func (h *harness) wantServing(version string) {
	h.t.Helper()
	_, serving, fence, code, detail := h.Report()
	if serving != version {
		h.t.Fatalf("serving %q, want %q (fence %d, code %d %s, engine %+v)", serving, version, fence, code, detail, h.engine.currentState())
	}
}
