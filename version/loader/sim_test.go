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

// simEngine is an engine on an injected clock.
type simEngine struct {
	clock   clockwork.Clock
	lag     time.Duration
	load    time.Duration
	ignores bool
	hangs   atomic.Bool

	mu      sync.Mutex
	now     engine.Report
	history []pastReport
	until   time.Time
	pending engine.LoadOrder
	before  engine.Report
	// outcome and the errors switch faults on.
	outcome   string
	reportErr error
	loadErr   error
	lostReply bool

	loads, overlaps, stale int
	fences                 []uint64
}

type pastReport struct {
	at     time.Time
	report engine.Report
}

func (e *simEngine) note() {
	e.history = append(e.history, pastReport{e.clock.Now(), e.now})
}

// settle ends a load whose time has come.
func (e *simEngine) settle() {
	if e.now.State != engine.StateLoading || e.clock.Now().Before(e.until) {
		return
	}
	fence := e.now.Fence
	switch e.outcome {
	case "never":
		return
	case "old":
		e.now = e.before
		e.now.State = engine.StateReady
	case "nothing":
		e.now = engine.Report{State: engine.StateEmpty}
	case "digest":
		e.now = engine.Report{State: engine.StateReady, Version: e.pending.Version, Digest: manifest.Sum([]byte("other"))}
	default:
		e.finish()
	}
	e.now.Fence = fence
	e.history = append(e.history, pastReport{e.until, e.now})
}

func (e *simEngine) finish() {
	if !e.pending.Adapter {
		e.now = engine.Report{State: engine.StateReady, Version: e.pending.Version, Digest: e.pending.Digest}
		return
	}
	adapters := map[string]manifest.Digest{e.pending.Version: e.pending.Digest}
	for name, digest := range e.before.Adapters {
		adapters[name] = digest
	}
	e.now = e.before
	e.now.Adapters = adapters
}

func (e *simEngine) Report(ctx context.Context) (engine.Report, error) {
	if e.hangs.Load() {
		<-ctx.Done()
		return engine.Report{}, result.New(result.EngineUnreadable, "%v", ctx.Err())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	if e.reportErr != nil {
		return engine.Report{}, e.reportErr
	}
	seen := engine.Report{State: engine.StateEmpty}
	for _, past := range e.history {
		if e.clock.Now().Sub(past.at) >= e.lag {
			seen = past.report
		}
	}
	return seen, nil
}

func (e *simEngine) fence(f control.Fence) error {
	e.settle()
	e.fences = append(e.fences, f.Index)
	if e.now.State == engine.StateLoading {
		e.overlaps++
	}
	if f.Index < e.now.Fence {
		e.stale++
		if !e.ignores {
			return result.New(result.StaleFence, "old")
		}
	}
	e.now.Fence = max(e.now.Fence, f.Index)
	return nil
}

func (e *simEngine) Load(_ context.Context, order engine.LoadOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loadErr != nil {
		return e.loadErr
	}
	if err := e.fence(order.Fence); err != nil {
		return err
	}
	e.loads++
	e.before, e.pending, e.until = e.now, order, e.clock.Now().Add(e.load)
	e.now.State = engine.StateLoading
	e.note()
	if e.lostReply {
		return result.New(result.EngineUnreadable, "reply lost")
	}
	return nil
}

func (e *simEngine) Unload(_ context.Context, f control.Fence, _ string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.fence(f); err != nil {
		return err
	}
	e.now = engine.Report{State: engine.StateEmpty, Fence: e.now.Fence}
	e.note()
	return nil
}

func (e *simEngine) Drain(_ context.Context, f control.Fence) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.fence(f); err != nil {
		return err
	}
	if e.now.State == engine.StateReady {
		e.now.State = engine.StateDrained
		e.note()
	}
	return nil
}

func (e *simEngine) Cancel(context.Context, string) error { return nil }

// restart forgets the weights, as a crashed engine does.
func (e *simEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.now = engine.Report{State: engine.StateEmpty}
	e.note()
}

// truth returns the engine's state without lag.
func (e *simEngine) truth() engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	return e.now
}

// simFetcher stages at once unless err is set.
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

// simFences is the quorum.
type simFences struct {
	mu    sync.Mutex
	reply wire.FenceReply
	err   error
	asked int
}

func (f *simFences) Fence(context.Context) (wire.FenceReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	return f.reply, f.err
}

func testManifest(version string) manifest.Manifest {
	return *manifest.Build(version, []byte("content of "+version), 8)
}

// rig is a controller with its engine on one injected clock.
type rig struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	engine  *simEngine
	fetcher *simFetcher
	fences  *simFences
	*Controller
}

func newRig(t *testing.T) *rig {
	clock := clockwork.NewFakeClock()
	r := &rig{
		t: t, clock: clock, fetcher: &simFetcher{}, fences: &simFences{},
		engine: &simEngine{clock: clock, lag: 200 * time.Millisecond, load: time.Second},
	}
	r.engine.now.State = engine.StateEmpty
	r.engine.note()
	r.restartAgent()
	return r
}

// restartAgent replaces the controller by one without memory.
func (r *rig) restartAgent() {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	r.Controller = New(Config{Agent: "a1"}, r.engine, r.fetcher, r.fences, r.clock, log, tally.NoopScope)
}

// view returns a view with a load order.
func view(fence uint64, version string, adapters ...string) wire.AgentView {
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
	v := view(fence, version)
	v.Order.Stage, v.Order.Keep = true, keep
	v.Manifests = append(v.Manifests, testManifest(keep))
	return v
}

// run lets d pass in the controller's polling steps.
func (r *rig) run(d time.Duration) {
	r.t.Helper()
	for passed := time.Duration(0); passed < d; passed += r.cfg.PollInterval {
		r.tick(context.Background())
		r.awaitFetch()
		r.tick(context.Background())
		r.checkAdmission()
		r.clock.Advance(r.cfg.PollInterval)
	}
}

// awaitFetch waits for the fetch in progress, which the fetcher ends at once.
func (r *rig) awaitFetch() {
	r.t.Helper()
	for {
		r.mu.Lock()
		waiting := r.job.phase == phaseFetch && !r.job.fetched
		r.mu.Unlock()
		if !waiting {
			return
		}
		select {
		case <-r.wake:
		case <-time.After(10 * time.Second):
			r.t.Fatal("the fetch did not end")
		}
	}
}

// checkAdmission fails the test when requests are let through to an engine
// that does not serve exactly what the check tells.
func (r *rig) checkAdmission() {
	r.t.Helper()
	_, serving, _, _, _ := r.Report()
	if serving == "" {
		return
	}
	m := testManifest(serving)
	if truth := r.engine.truth(); truth.State != engine.StateReady || truth.Version != serving || truth.Digest != m.Digest() {
		r.t.Errorf("admitted for %q while the engine is %s with %q %s", serving, truth.State, truth.Version, truth.Digest)
	}
}

func (r *rig) wantServing(version string) {
	r.t.Helper()
	_, serving, fence, code, detail := r.Report()
	if serving != version {
		r.t.Fatalf("serving %q, want %q (fence %d, code %d %s, engine %+v)", serving, version, fence, code, detail, r.engine.truth())
	}
}
