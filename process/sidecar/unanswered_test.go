package sidecar

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

func installVersion(ctx context.Context, u *updater, version int) error {
	view := u.sidecar.follower.View()
	return u.installVersion(ctx, view, u.engineConfig(view), pieces.Key{Model: "m", Version: version})
}

// loseOrder makes the engine accept an order of the agent later than the agent waits.
func loseOrder(t *testing.T, e *stagingEngine, u *updater, version int) {
	t.Helper()
	e.set(func() { e.delayOrder = true })
	if err := installVersion(t.Context(), u, version); err == nil {
		t.Fatal("an order without a response succeeded")
	}
}

// acceptAtFirstPut makes the engine accept the orders that it has received when the next
// piece is put, and ends ctx after a number of puts.
func (e *stagingEngine) acceptAtFirstPut(t *testing.T, puts int) (ctx context.Context) {
	ctx, kill := context.WithCancel(t.Context())
	t.Cleanup(kill)
	done := 0
	var onPut func()
	onPut = func() {
		if done++; done == 1 {
			e.acceptDelayed()
		}
		if done == puts {
			kill()
			return
		}
		e.set(func() { e.beforePut = onPut })
	}
	e.set(func() { e.beforePut = onPut })
	return ctx
}

// checkVerified reports an error if weights from wrong pieces are verified.
func checkVerified(t *testing.T, u *updater, e *stagingEngine) {
	t.Helper()
	u.mu.Lock()
	verified := u.verified["m"]
	u.mu.Unlock()
	whole, spoiled := e.usable()
	e.mu.Lock()
	defer e.mu.Unlock()
	if whole && spoiled > 0 && !e.busy && verified == (verifiedWeights{version: e.version, born: e.born, orders: uint64(e.loads)}) {
		t.Errorf("version %d is verified, with %d layers from wrong pieces", e.version, spoiled)
	}
}

// requireUnverified reconciles once, without loading another version, and fails if weights
// from wrong pieces are verified then.
func requireUnverified(t *testing.T, u *updater, e *stagingEngine) {
	t.Helper()
	e.set(func() { e.delayOrder = true })
	u.reconcile(t.Context())
	checkVerified(t, u, e)
}

func TestEarlierOrderIsFencedAlsoIfTheEngineHoldsTheLastLayerAlone(t *testing.T) {
	first, e, _ := newStagingTest(t)
	for piece := range stagingLayers {
		e.staged[piece] = stagingPiece(2, piece)
	}
	e.execute(stagingOrder{Version: 2, Target: stagingLayers})
	e.execute(stagingOrder{Version: 2, From: stagingLayers - 1, Target: stagingLayers})
	loseOrder(t, e, first, 2)
	e.corrupt(1)
	second, _ := startStagingAgent(t, e)
	second.reconcile(e.acceptAtFirstPut(t, 1))
	third, _ := startStagingAgent(t, e)
	requireIntact(t, third, e)
}

func TestUnansweredOrderIsKnownAfterALaterOneOfAnotherVersion(t *testing.T) {
	e := newStagingEngine(boottime.NewFake(clockwork.NewRealClock()))
	first, _ := startVersionAgent(t, e, 3)
	loseOrder(t, e, first, 2)
	loseOrder(t, e, first, 3)
	_ = installVersion(e.acceptAtFirstPut(t, stagingLayers), first, 2)
	second, _ := startVersionAgent(t, e, 3)
	requireUnverified(t, second, e)
}

// Version 3 is published while the order for version 2 has no response, and the agent turns
// back to version 2, which may still be used.
func TestUnansweredOrderIsKnownWhenTheAgentTurnsBackToItsVersion(t *testing.T) {
	e := newStagingEngine(boottime.NewFake(clockwork.NewRealClock()))
	u := newTestUpdater(t, e)
	u.sidecar.settings.Bounds.OldVersionGrace = 8 * time.Second
	followerClock := u.sidecar.AgeClock
	c := fillVersionAgent(t, u, e, 3, func(state *wire.Update) {
		state.Weights, state.Published = map[string]int{"m": 2}, map[string][]int{"m": {1, 2}}
		state.Ages = map[string][]wire.VersionAge{"m": {{Version: 2, Age: 100}}}
	})
	u.sidecar.AgeClock = followerClock
	e.set(func() { e.delayOrder = true })
	u.reconcile(t.Context())
	if err := c.conn.Load().Notify(wire.KindUpdate, wire.Update{
		Revision: 2, ConfigVersion: 1, Weights: map[string]int{"m": 3}, Published: map[string][]int{"m": {1, 2, 3}},
		Ages: map[string][]wire.VersionAge{"m": {{Version: 2, Age: 1000}, {Version: 3, Age: 100}}},
	}); err != nil {
		t.Fatal(err)
	}
	for u.sidecar.follower.View().Weights["m"].Newest() != 3 {
		time.Sleep(5 * time.Millisecond)
	}
	e.set(func() { e.delayOrder = true })
	u.reconcile(t.Context())
	u.reconcile(e.acceptAtFirstPut(t, stagingLayers))
	second, _ := startVersionAgent(t, e, 3)
	requireUnverified(t, second, e)
}

func TestUnansweredOrderIsKnownAfterItsRepetitionWasRefused(t *testing.T) {
	_, e, _ := newStagingTest(t)
	var refuse atomic.Bool
	u := newTestUpdater(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && refuse.CompareAndSwap(true, false) {
			w.WriteHeader(http.StatusConflict)
			return
		}
		e.ServeHTTP(w, r)
	}))
	fillVersionAgent(t, u, e, 2)
	u.accepted = acceptedOrder{known: true, born: stagingBorn}
	loseOrder(t, e, u, 2)
	refuse.Store(true)
	_ = installVersion(t.Context(), u, 2)
	e.corrupt(1)
	u.reconcile(e.acceptAtFirstPut(t, 1))
	second, _ := startStagingAgent(t, e)
	requireIntact(t, second, e)
}

func TestOrderThatALaterIncarnationAcceptsLateIsFenced(t *testing.T) {
	for name, expect := range map[string]int{"expects 0": 0, "expects 1": 1} {
		t.Run(name, func(t *testing.T) {
			u, e, _ := newStagingTest(t)
			if expect > 0 {
				for piece := range stagingLayers {
					e.staged[piece] = stagingPiece(1, piece)
				}
				e.execute(stagingOrder{Version: 1, Target: stagingLayers})
			}
			e.beforeOrder = func() { e.restart(true) }
			loseOrder(t, e, u, 2)
			e.corrupt(1)
			u.reconcile(e.acceptAtFirstPut(t, 1))
			second, _ := startStagingAgent(t, e)
			requireIntact(t, second, e)
		})
	}
}

// The process that sent the order is gone as well: nothing but the ID in it can refuse it.
func TestOrderIsRefusedByALaterIncarnationWithAnotherID(t *testing.T) {
	for name, expect := range map[string]int{"expects 0": 0, "expects 1": 1} {
		t.Run(name, func(t *testing.T) {
			e := newStagingEngine(boottime.NewFake(clockwork.NewRealClock()))
			e.id = "i-1"
			if expect > 0 {
				for piece := range stagingLayers {
					e.staged[piece] = stagingPiece(1, piece)
				}
				e.execute(stagingOrder{Version: 1, Target: stagingLayers})
			}
			u := newTestUpdater(t, e)
			fillVersionAgent(t, u, e, 2, func(state *wire.Update) {
				state.Servers = wire.ServerList{{
					ID: "i-1", Service: "s", Address: u.sidecar.settings.BackendAddress, State: directory.Ready, Born: stagingBorn, Seq: 1, Engine: true,
				}}
			})
			e.beforeOrder = func() { e.restart(true) }
			e.set(func() { e.delayOrder = true })
			if err := installVersion(t.Context(), u, 2); err == nil && len(e.delayed) > 0 {
				t.Error("a later incarnation has the order")
			}
			e.set(func() { e.delayOrder = false })
			e.corrupt(1)
			second, _ := startStagingAgent(t, e)
			second.reconcile(e.acceptAtFirstPut(t, 1))
			third, _ := startStagingAgent(t, e)
			requireIntact(t, third, e)
		})
	}
}

func TestEarlierOrderIsFencedAlsoIfAnotherVersionWasStagedSince(t *testing.T) {
	e := newStagingEngine(boottime.NewFake(clockwork.NewRealClock()))
	first, _ := startVersionAgent(t, e, 3)
	loseOrder(t, e, first, 2)
	if _, err := first.stageBeforeLoad(t.Context(), pieces.Key{Model: "m", Version: 3}, stagingLayers); err != nil {
		t.Fatal(err)
	}
	second, _ := startVersionAgent(t, e, 3)
	_ = installVersion(e.acceptAtFirstPut(t, stagingLayers), second, 2)
	third, _ := startVersionAgent(t, e, 3)
	requireUnverified(t, third, e)
}

// Seed 912 of the soak: just the last pieces are corrupt, as if staging had been cut off.
func TestEarlierOrderIsFencedAlsoIfJustTheLastPiecesAreCorrupt(t *testing.T) {
	first, e, _ := newStagingTest(t)
	loseOrder(t, e, first, 2)
	e.corrupt(stagingLayers - 2)
	e.corrupt(stagingLayers - 1)
	second, _ := startStagingAgent(t, e)
	second.reconcile(e.acceptAtFirstPut(t, 2))
	third, _ := startStagingAgent(t, e)
	requireIntact(t, third, e)
}

// The first load after a start replaces an older version that is staged, without a fence.
func TestPiecesOfTheHeldVersionAreReplacedWithoutAFence(t *testing.T) {
	for name, change := range map[string]func(e *stagingEngine){"intact": func(*stagingEngine) {}, "one corrupt": func(e *stagingEngine) { e.corrupt(2) }, "missing": func(e *stagingEngine) { clear(e.staged) }, "partly replaced": func(e *stagingEngine) { e.staged[0] = stagingPiece(2, 0) }} {
		e := newStagingEngine(boottime.NewFake(clockwork.NewRealClock()))
		for piece := range stagingLayers {
			e.staged[piece] = stagingPiece(1, piece)
		}
		e.execute(stagingOrder{Version: 1, Target: stagingLayers})
		change(e)
		u, _ := startStagingAgent(t, e)
		if err := installVersion(t.Context(), u, 2); err != nil || e.loads != 2 {
			t.Errorf("%s: %d orders, %v", name, e.loads, err)
		}
	}
}

func TestWeightsThatTheEngineKeepsAfterARefusedOrderStayVerified(t *testing.T) {
	first, e, _ := newStagingTest(t)
	if err := install(t, first); err != nil {
		t.Fatal(err)
	}
	u := newTestUpdater(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			w.WriteHeader(http.StatusConflict)
			return
		}
		e.ServeHTTP(w, r)
	}))
	c := fillVersionAgent(t, u, e, 3)
	table := directory.NewTable()
	table.Update(directory.Server{
		ID: "i-1", Service: "s", Address: u.sidecar.settings.BackendAddress, State: directory.Ready, Born: stagingBorn, Seq: 1, Engine: true,
		Held: []directory.ModelVersion{{Model: "m", Version: 2}},
	}, 0)
	u.reconcile(t.Context())
	orders := 0
	for {
		select {
		case s := <-c.reports:
			if s.Loading {
				orders++
			}
			for _, v := range s.Verifications() {
				table.Verify(v, 0)
			}
			table.UpdateEngine(s.Address, s.Born, s.Loading, s.Held, 0)
			continue
		case <-time.After(300 * time.Millisecond):
		}
		break
	}
	record := table.Snapshot(table.Get("i-1"))
	if orders == 0 || record.VerifiedVersion("m") != 2 || record.LoadingUntil > 0 {
		t.Errorf("after %d refused orders version %d is verified, loading until %v", orders, record.VerifiedVersion("m"), record.LoadingUntil)
	}
}
