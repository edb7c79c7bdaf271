package sidecar

import (
	"strconv"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

// An engine must not make tokens with a piece that had been corrupt for more than three
// seconds when the load was accepted, at whatever point of the installation the piece became
// corrupt and this VM was suspended.
func TestLoadNeverUsesPieceThatBecameCorruptAfterReadBack(t *testing.T) {
	for name, arrange := range map[string]func(e *stagingEngine, fault func()){
		"while the agent waits for the engine": func(e *stagingEngine, fault func()) {
			// The first two reports are requested before the pieces are read back.
			e.beforeReport = func() { e.beforeReport = func() { e.beforeReport = fault } }
		},
		"before the engine accepts the order": func(e *stagingEngine, fault func()) { e.beforeOrder = fault },
		"before it accepts the order without a response": func(e *stagingEngine, fault func()) {
			e.beforeOrder, e.loseOrderReply = fault, true
		},
	} {
		for piece := range stagingLayers {
			t.Run(name+", piece "+strconv.Itoa(piece), func(t *testing.T) {
				u, e, _ := newStagingTest(t)
				// The pieces are staged before, so that the fault comes after they are read back.
				if _, err := u.stageFor(t.Context(), pieces.Key{Model: "m", Version: 2}, stagingLayers, platform.EngineReport{Born: stagingBorn}); err != nil {
					t.Fatal(err)
				}
				arrange(e, func() { e.corrupt(piece); e.clock.Suspend(4 * time.Second) })
				for range 10 {
					u.reconcile(t.Context())
				}
				if whole, spoiled := e.usable(); !whole || spoiled > 0 {
					t.Errorf("the engine holds all layers: %v, %d of them from a corrupt piece", whole, spoiled)
				}
				if e.loads > 5 || name == "while the agent waits for the engine" && e.loads != 1 {
					t.Errorf("%d load orders", e.loads)
				}
			})
		}
	}
}

// Weights that an engine may have loaded from a corrupt piece must not be reported to the
// control processes.
func TestWeightsFromCorruptPieceAreNotReported(t *testing.T) {
	u, e, c := newStagingTest(t)
	if _, err := u.stagePieces(t.Context(), pieces.Key{Model: "m", Version: 2}); err != nil {
		t.Fatal(err)
	}
	e.beforeOrder = func() { e.corrupt(1); e.clock.Suspend(4 * time.Second) }
	if err := install(t, u); err != nil {
		t.Fatal(err)
	}
	if _, spoiled := e.usable(); spoiled == 0 {
		t.Fatal("the engine did not load the corrupt piece")
	}
	for s := c.nextReport(); s != nil; s = c.nextReport() {
		if directory.VersionOf(s.Held, "m") != 0 {
			t.Errorf("reported %+v", s)
		}
	}
	for range 5 {
		u.reconcile(t.Context())
	}
	for {
		s := c.nextReport()
		if s == nil {
			t.Fatal("the repaired weights were not reported")
		}
		if directory.VersionOf(s.Held, "m") == 2 {
			break
		}
	}
	if whole, spoiled := e.usable(); !whole || spoiled > 0 {
		t.Errorf("reported weights: whole %v, %d layers from a corrupt piece", whole, spoiled)
	}
}

// An agent may be killed between a load that was accepted too late and its verification.
func TestRestartedAgentReplacesWeightsFromCorruptPiece(t *testing.T) {
	for piece := range stagingLayers {
		t.Run("piece "+strconv.Itoa(piece), func(t *testing.T) {
			u, e, _ := newStagingTest(t)
			if _, err := u.stagePieces(t.Context(), pieces.Key{Model: "m", Version: 2}); err != nil {
				t.Fatal(err)
			}
			e.beforeOrder = func() { e.corrupt(piece); e.clock.Suspend(4 * time.Second) }
			if err := install(t, u); err != nil {
				t.Fatal(err)
			}
			if _, spoiled := e.usable(); spoiled == 0 {
				t.Fatal("the engine did not load the corrupt piece")
			}
			restarted, c := startStagingAgent(t, e)
			for range 10 {
				restarted.reconcile(t.Context())
				_, spoiled := e.usable()
				for s := c.nextReport(); s != nil; s = c.nextReport() {
					if !s.Loading && directory.VersionOf(s.Held, "m") != 0 && spoiled > 0 {
						t.Errorf("reported %+v with %d layers from a corrupt piece", s, spoiled)
					}
				}
			}
			if whole, spoiled := e.usable(); !whole || spoiled > 0 {
				t.Errorf("the engine holds all layers: %v, %d of them from a corrupt piece", whole, spoiled)
			}
		})
	}
}
