package sidecar

import (
	"context"
	"testing"

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
