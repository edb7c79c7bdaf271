package rollout

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/control/state"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// localStore is a control store that applies each command to one state machine
// immediately.
type localStore struct {
	machine    *state.Machine
	leader     bool
	barrierErr error

	mu    sync.Mutex
	index uint64
}

func (s *localStore) Propose(_ context.Context, cmd control.Command) (control.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	return s.machine.Apply(s.index, 1, cmd), nil
}
func (s *localStore) Barrier(context.Context) error { return s.barrierErr }
func (s *localStore) InQuorum() bool                { return s.leader }
func (s *localStore) IsLeader() bool                { return s.leader }

type fixedFleet []wire.AgentStatus

func (f *fixedFleet) Statuses() []wire.AgentStatus { return *f }

const runnerConfig = `
zones: {z1: {region: r1}}
sources: {origin: {kind: origin, address: "127.0.0.1:9", zone: z1}}
versions:
  v1: {model: m, path: /v1}
  v2: {model: m, path: /v2}
services:
  drafting: {kind: engine, version: v1, fencing: enforced, min_serving: 1}
`

type runnerHarness struct {
	*Runner
	store   *localStore
	fleet   *fixedFleet
	clock   *clockwork.FakeClock
	readErr error
}

func newRunnerHarness(t *testing.T) *runnerHarness {
	t.Helper()
	h := &runnerHarness{
		store: &localStore{machine: state.New(state.Options{}), leader: true},
		fleet: &fixedFleet{{Name: "a1", Service: service}, {Name: "a2", Service: service}},
		clock: clockwork.NewFakeClock(),
	}
	read := func(_ context.Context, v config.Version) (*manifest.Manifest, error) {
		return manifest.Build("named by the source", []byte(v.Path), 2), h.readErr
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	h.Runner = New(Config{}, h.store, h.store.machine, h.fleet, read, h.clock, log, tally.NoopScope)
	h.applyConfig(t, runnerConfig)
	return h
}

func (h *runnerHarness) applyConfig(t *testing.T, content string) {
	t.Helper()
	var base manifest.Digest
	for _, f := range h.store.machine.Files() {
		base = f.Digest
	}
	res, _ := h.store.Propose(context.Background(), control.Command{
		ID: content, Edit: &control.Edit{File: "a.yaml", Base: base, Content: []byte(content)},
	})
	if res.Code != 0 {
		t.Fatalf("edit refused: %+v", res)
	}
}

func TestRunnerRegistersVersionsAndOrdersLoads(t *testing.T) {
	h := newRunnerHarness(t)
	h.readErr = result.New(result.SourceFailed, "down")
	h.reconcile(context.Background())
	if _, ok := h.store.machine.Manifest("v1"); ok || h.registrationFailures["v1"].Code != int(result.SourceFailed) {
		t.Fatalf("failures %+v", h.registrationFailures)
	}
	h.readErr = nil
	h.reconcile(context.Background())
	if _, ok := h.store.machine.Manifest("v1"); ok {
		t.Fatal("the registration was retried before its delay had passed")
	}
	h.clock.Advance(2 * time.Second)
	h.reconcile(context.Background())
	if _, ok := h.store.machine.Manifest("v2"); ok {
		t.Error("a version that no service uses was registered")
	}
	if orders := h.store.machine.Orders(); len(orders) != 2 || orders[0].Version != "v1" || orders[0].Stage {
		t.Errorf("orders %+v", orders)
	}
	before := h.store.index
	h.reconcile(context.Background())
	if h.store.index != before {
		t.Error("the second plan proposed orders again")
	}
}

func TestRunnerProposesOnlyAsLeaderAfterBarrier(t *testing.T) {
	h := newRunnerHarness(t)
	before := h.store.index
	h.store.barrierErr = result.New(result.NoQuorum, "cut off")
	h.reconcile(context.Background())
	h.store.barrierErr, h.store.leader = nil, false
	h.reconcile(context.Background())
	if h.store.index != before {
		t.Error("proposed a command without leadership or a passed barrier")
	}
}

func TestRunnerDistinguishesStuckFromMissing(t *testing.T) {
	h := newRunnerHarness(t)
	h.reconcile(context.Background())
	for i, o := range h.store.machine.Orders() {
		(*h.fleet)[i].Serving, (*h.fleet)[i].FenceIndex = "v1", o.Fence.Index
	}
	h.reconcile(context.Background())
	(*h.fleet)[0].Serving = ""
	cfg, _ := h.store.machine.Config()
	h.clock.Advance(59 * time.Second)
	(*h.fleet)[0].Transfer.Done = 7
	if in := h.buildInput(cfg); in.Stuck["a1"] {
		t.Error("an agent that makes progress counts as stuck")
	}
	*h.fleet = (*h.fleet)[:1]
	h.clock.Advance(59 * time.Second)
	if in := h.buildInput(cfg); len(in.Missing) != 1 || in.Missing[0] != "a2" {
		t.Errorf("missing %v", in.Missing)
	}
	h.clock.Advance(time.Second)
	if in := h.buildInput(cfg); !in.Stuck["a1"] || len(in.Missing) != 0 {
		t.Errorf("stuck %v, missing %v", in.Stuck, in.Missing)
	}
}

func TestProgressReportsRateAndRemainingTime(t *testing.T) {
	h := newRunnerHarness(t)
	h.reconcile(context.Background())
	for i := range 4 {
		for k := range *h.fleet {
			(*h.fleet)[k].Transfer = wire.Transfer{Done: int64(i) * 500, Total: 2000}
		}
		h.clock.Advance(time.Second)
		h.reconcile(context.Background())
	}
	if p := h.lastProgress[service]; p.BytesPerSecond != 1000 || p.ExpectedSeconds != 1 {
		t.Errorf("progress %+v, want 1000 bytes per second and 1 s remaining", p)
	}
}
