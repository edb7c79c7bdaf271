package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

// loadHistory plays one random history of an agent and its engine. Faults strike before
// any call: pieces become corrupt, the VM is suspended, the engine restarts, loses its
// staged pieces, or accepts orders late or without a response, and the agent is killed.
type loadHistory struct {
	t      *testing.T
	e      *stagingEngine
	u      *updater
	newest int

	mu   sync.Mutex
	rand *rand.Rand
}

// disturb injects a fault, or none.
func (h *loadHistory) disturb() {
	h.mu.Lock()
	fault, piece, pause := h.rand.IntN(200), h.rand.IntN(stagingLayers), time.Duration(h.rand.IntN(4000))*time.Millisecond
	h.mu.Unlock()
	switch {
	case fault < 6:
		h.e.corrupt(piece)
	case fault < 8:
		h.e.corrupt(piece)
		h.e.clock.Suspend(pause)
	case fault < 9:
		h.e.restart(true)
	case fault < 10:
		h.e.restart(false)
	case fault < 18:
		h.e.mu.Lock()
		h.e.delayOrder = fault < 14
		h.e.loseOrderReply = fault >= 14
		h.e.mu.Unlock()
	case fault < 24:
		h.e.acceptDelayed()
	}
}

// restartAgent kills the agent and starts another one, with a newer version if publish is set.
func (h *loadHistory) restartAgent(publish bool) {
	if publish {
		h.newest++
	}
	h.u, _ = startVersionAgent(h.t, h.e, h.newest)
}

// check reports whether the agent takes the weights that the engine holds for verified.
func (h *loadHistory) check() (verified bool) {
	h.u.mu.Lock()
	defer h.u.mu.Unlock()
	h.e.mu.Lock()
	defer h.e.mu.Unlock()
	if len(h.e.layers) != stagingLayers || h.u.verified["m"] != (verifiedWeights{version: h.e.version, born: h.e.born, orders: uint64(h.e.loads)}) {
		return false
	}
	for layer := range stagingLayers {
		if h.e.spoiled[layer] {
			h.t.Errorf("layer %d of verified version %d comes from a corrupt piece", layer, h.e.version)
		}
	}
	return h.e.version == h.newest
}

func (h *loadHistory) play() {
	for range 14 {
		h.mu.Lock()
		kill, publish := h.rand.IntN(5) == 0, h.rand.IntN(3) == 0
		h.mu.Unlock()
		if kill {
			h.restartAgent(publish)
		}
		h.u.reconcile(h.t.Context())
		h.check()
	}
	h.e.onCall = nil
	h.e.mu.Lock()
	h.e.delayOrder, h.e.loseOrderReply = false, false
	h.e.mu.Unlock()
	h.e.acceptDelayed()
	for range 20 {
		h.u.reconcile(h.t.Context())
		if h.check() {
			return
		}
	}
	h.t.Errorf("version %d is not in use after the last fault", h.newest)
}

// WAXWINGPOST_LOAD_SEEDS=500 plays more histories.
func TestVerifiedWeightsNeverComeFromCorruptPiece(t *testing.T) {
	seeds, err := strconv.Atoi(os.Getenv("WAXWINGPOST_LOAD_SEEDS"))
	if err != nil {
		seeds = 40
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			u, e, _ := newStagingTest(t)
			h := &loadHistory{t: t, e: e, u: u, newest: 2, rand: rand.New(rand.NewPCG(seed, 45))}
			e.onCall = h.disturb
			h.play()
		})
	}
}

// The engine keeps the last layer when its weights are unloaded. If the version is loaded
// again, it must not be used with that layer, which may come from a corrupt piece.
func TestLayerKeptByUnloadingIsLoadedAgain(t *testing.T) {
	u, e, _ := newStagingTest(t)
	e.corrupt(stagingLayers - 1)
	e.execute(stagingOrder{Version: 2, From: stagingLayers - 1, Target: stagingLayers})
	for range 5 {
		u.reconcile(t.Context())
	}
	if whole, spoiled := e.usable(); !whole || spoiled > 0 {
		t.Errorf("the engine holds all layers: %v, %d of them from a corrupt piece", whole, spoiled)
	}
}

// requireIntact lets an agent reconcile, during which it must never take weights from a
// corrupt piece for verified; in the end the engine must hold sound weights.
func requireIntact(t *testing.T, u *updater, e *stagingEngine) {
	t.Helper()
	for range 8 {
		u.reconcile(t.Context())
		u.mu.Lock()
		verified := u.verified["m"] == verifiedWeights{version: e.version, born: e.born, orders: uint64(e.loads)}
		u.mu.Unlock()
		if _, spoiled := e.usable(); spoiled > 0 && verified {
			t.Fatalf("version %d with %d layers from a corrupt piece is verified", e.version, spoiled)
		}
	}
	if whole, spoiled := e.usable(); !whole || spoiled > 0 {
		t.Errorf("the engine holds all layers: %v, %d of them from a corrupt piece", whole, spoiled)
	}
}

// An order without a response may be accepted after a piece has become corrupt. If the
// piece were repaired before, nothing would show that to the next process.
func TestPieceIsNotRepairedWhileOrderMayBeAccepted(t *testing.T) {
	u, e, _ := newStagingTest(t)
	u.accepted = acceptedOrder{known: true, born: stagingBorn}
	e.delayOrder = true
	if err := install(t, u); err == nil {
		t.Fatal("an order without a response succeeded")
	}
	e.corrupt(1)
	e.beforePut = e.acceptDelayed
	u.reconcile(t.Context())
	restarted, _ := startStagingAgent(t, e)
	requireIntact(t, restarted, e)
}

// corruptLastPieces leaves the staged pieces as if staging had been cut off.
func corruptLastPieces(e *stagingEngine) {
	for piece := 1; piece < stagingLayers; piece++ {
		e.corrupt(piece)
	}
}

// A restarted agent does not know of an order that the engine may still accept.
func TestLoadThatIsAcceptedWhileItsPieceIsRepairedIsDropped(t *testing.T) {
	u, e, _ := newStagingTest(t)
	e.delayOrder = true
	if err := install(t, u); err == nil {
		t.Fatal("an order without a response succeeded")
	}
	corruptLastPieces(e)
	e.beforePut = e.acceptDelayed
	restarted, _ := startStagingAgent(t, e)
	requireIntact(t, restarted, e)
}

// The engine may accept the order between two reports of an agent that is killed soon after.
func TestPieceIsNotRepairedWhileEngineLoadsTheVersion(t *testing.T) {
	u, e, _ := newStagingTest(t)
	u.accepted = acceptedOrder{known: true, born: stagingBorn}
	e.delayOrder = true
	if err := install(t, u); err == nil {
		t.Fatal("an order without a response succeeded")
	}
	e.corrupt(1)
	e.busyAfterOrder = true
	e.beforeReport = func() { e.beforeReport = e.acceptDelayed }
	ctx, kill := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer kill()
	u.reconcile(ctx)
	if _, spoiled := e.usable(); spoiled != 1 {
		t.Fatalf("%d layers from a corrupt piece", spoiled)
	}
	e.mu.Lock()
	e.busyAfterOrder, e.busy = false, false
	e.mu.Unlock()
	restarted, _ := startStagingAgent(t, e)
	requireIntact(t, restarted, e)
}

// The process that repairs the piece may be killed before it drops the load.
func TestPieceIsNotRepairedWhileOrderOfEarlierProcessMayBeAccepted(t *testing.T) {
	u, e, _ := newStagingTest(t)
	e.delayOrder = true
	if err := install(t, u); err == nil {
		t.Fatal("an order without a response succeeded")
	}
	e.corrupt(1)
	e.beforePut = e.acceptDelayed
	second, _ := startStagingAgent(t, e)
	second.reconcile(t.Context())
	third, _ := startStagingAgent(t, e)
	requireIntact(t, third, e)
}

func TestDropWithoutResponseIsRepeated(t *testing.T) {
	u, e, _ := newStagingTest(t)
	e.delayOrder = true
	if err := install(t, u); err == nil {
		t.Fatal("an order without a response succeeded")
	}
	corruptLastPieces(e)
	e.beforePut = func() {
		e.acceptDelayed()
		e.delayOrder = true
	}
	restarted, _ := startStagingAgent(t, e)
	requireIntact(t, restarted, e)
}

func TestLayerThatIsLoadedWhileItsPieceIsRepairedIsDropped(t *testing.T) {
	u, e, _ := newStagingTest(t)
	e.execute(stagingOrder{Version: 2, From: stagingLayers - 1, Target: stagingLayers})
	e.delayOrder = true
	if err := install(t, u); err == nil {
		t.Fatal("an order without a response succeeded")
	}
	corruptLastPieces(e)
	e.beforePut = e.acceptDelayed
	restarted, _ := startStagingAgent(t, e)
	requireIntact(t, restarted, e)
}

func TestLoadOfAnotherIncarnationIsNotVerified(t *testing.T) {
	u, e, _ := newStagingTest(t)
	if err := install(t, u); err != nil {
		t.Fatal(err)
	}
	restarted, _ := startStagingAgent(t, e)
	e.beforeGet = func() {
		// The pieces are those of the version again when they are read.
		e.restart(false)
		e.execute(stagingOrder{Version: 2, Target: stagingLayers})
		for piece := range stagingLayers {
			e.staged[piece] = stagingPiece(2, piece)
		}
	}
	view := restarted.sidecar.follower.View()
	report, err := restarted.engineReport(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got := restarted.verifyHeld(t.Context(), view, restarted.engineConfig(view), pieces.Key{Model: "m", Version: 2}, report); got == verifyIntact {
		t.Error("a load of another incarnation is verified")
	}
}

// An engine that restarted in between has accepted another number of orders.
func TestOrderIsRefusedByAnotherIncarnation(t *testing.T) {
	u, e, _ := newStagingTest(t)
	e.execute(stagingOrder{Version: 1, Target: stagingLayers})
	e.beforeOrder = func() { e.restart(false) }
	_ = install(t, u)
	if _, spoiled := e.usable(); e.refused != 1 || spoiled > 0 {
		t.Errorf("%d orders refused, %d layers loaded from missing pieces", e.refused, spoiled)
	}
}

// The control processes forget a verification if they all restart, and a report is lost
// with its link.
func TestVerificationIsRepeatedUntilControlProcessesKnowIt(t *testing.T) {
	u, _, c := newStagingTest(t)
	if err := install(t, u); err != nil {
		t.Fatal(err)
	}
	reports := 0
	for deadline := time.Now().Add(5 * time.Second); reports < 2 && time.Now().Before(deadline); {
		u.reconcile(t.Context())
		if s := c.nextReport(); s != nil && directory.VersionOf(s.Held, "m") == 2 {
			if s.Born != stagingBorn {
				t.Fatalf("reported %+v", s)
			}
			reports++
		}
	}
	if reports < 2 {
		t.Errorf("reported %d times", reports)
	}
}

func TestEngineOfFirstVersionIsUsedWithoutLoad(t *testing.T) {
	u, e, _ := newStagingTest(t)
	e.mu.Lock()
	e.version = 1
	for layer := range stagingLayers {
		e.layers[layer] = true
	}
	e.mu.Unlock()
	view := u.sidecar.follower.View()
	report, err := u.engineReport(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got := u.verifyHeld(t.Context(), view, u.engineConfig(view), pieces.Key{Model: "m", Version: 1}, report); got != verifyIntact {
		t.Errorf("result %d", got)
	}
}

// nextCheck returns the time of the check in the agent's next report of version 2.
func nextCheck(t *testing.T, u *updater, c *fakeControl) int64 {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); {
		u.reconcile(t.Context())
		if s := c.nextReport(); s != nil && directory.VersionOf(s.Held, "m") == 2 {
			return s.Checked
		}
	}
	t.Fatal("no report")
	return 0
}

// A check must count as later than all earlier ones of the incarnation, also after the VM
// was suspended and by another process, and whatever the wall clock shows.
func TestTimeOfChecksCountsSuspensions(t *testing.T) {
	u, e, c := newStagingTest(t)
	if err := install(t, u); err != nil {
		t.Fatal(err)
	}
	first := nextCheck(t, u, c)
	e.clock.Suspend(time.Hour)
	second := nextCheck(t, u, c)
	restarted, c := startStagingAgent(t, e)
	third := nextCheck(t, restarted, c)
	if first <= 0 || second < first+time.Hour.Milliseconds() || third <= second || third > second+time.Minute.Milliseconds() {
		t.Errorf("checked at %d ms, after a suspension of 1h at %d ms, by the next process at %d ms", first, second, third)
	}
}
