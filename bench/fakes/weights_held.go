package fakes

import (
	"slices"
	"time"
)

// Moment is when a held order is accepted, if its Hold has not passed before.
type Moment string

const (
	// AfterHold is the end of its Hold.
	AfterHold Moment = "after-hold"
	// AfterReport is right after the first report since Received has returned.
	AfterReport Moment = "after-report"
	// AfterRead is right after a staged piece was read for the first time since then.
	AfterRead Moment = "after-read"
	// BeforePut is right before one of its pieces is put again.
	BeforePut Moment = "before-put"
	// AfterNewer is when the engine holds a newer version.
	AfterNewer Moment = "after-newer"
)

// HeldOrder holds back one load order, as a slow connection does, and not the engine. The
// order receives no response. No other piece becomes corrupt from the read-back before the
// order on until Pieces were put again, so that they alone decide what the agent does.
type HeldOrder struct {
	// Part selects an order for layer 1 alone instead of one for all layers.
	Part bool
	// Empty selects an order for an engine that holds no version. Others may be refused, as
	// an agent that is started again unloads an expired version first.
	Empty bool
	// Pieces become corrupt when the order is received.
	Pieces []int
	// Hold is the longest time for which the order is held back.
	Hold  time.Duration
	Until Moment
	// NewerStaged is called instead of answering the first report after all pieces of a
	// newer version were staged and read, if not nil. It calls answer to send the report.
	NewerStaged func(answer func())
	// Received is called when the order is received, and Repaired once all Pieces were put
	// again after the order was accepted, if not nil.
	Received, Repaired func()
}

// heldOrder is an order that is held back. Its fields are guarded by the engine's mu.
type heldOrder struct {
	HeldOrder

	version int
	// waits is set once Received has returned.
	waits bool
	// release is closed when the order is to be accepted; released is set then. processed
	// is closed after that.
	release, processed chan struct{}
	released           bool
}

func (h *heldOrder) accept() {
	if !h.released {
		h.released = true
		close(h.release)
	}
}

// DelayOrderUntil makes the engine hold back its next load order of the kind to which no
// earlier call applies. DelayNextOrder has no effect on that order.
func (e *WeightsEngine) DelayOrderUntil(held HeldOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holds = append(e.holds, held)
}

// CancelDelays ends the effect of all calls of DelayOrderUntil that apply to no order yet.
func (e *WeightsEngine) CancelDelays() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holds = nil
}

// takeHold returns the order if DelayOrderUntil applies to it, else nil. Its pieces become
// corrupt.
func (i *incarnation) takeHold(body []byte) *heldOrder {
	e := i.engine
	o, valid := decodeOrder(body, e.cfg.Weights.WeightsSpec)
	all := o.From == 0 && o.Target == e.cfg.Weights.Layers
	part := o.From == 1 && o.Target == 2
	e.mu.Lock()
	defer e.mu.Unlock()
	empty := i.heldVersion() == 0
	n := slices.IndexFunc(e.holds, func(h HeldOrder) bool {
		return (h.Part && part || !h.Part && all) && (empty || !h.Empty)
	})
	if !valid || n < 0 || e.held != nil {
		return nil
	}
	h := &heldOrder{HeldOrder: e.holds[n], version: o.Version, release: make(chan struct{}), processed: make(chan struct{})}
	e.holds, e.held, e.late = slices.Delete(e.holds, n, n+1), h, nil
	for _, piece := range h.Pieces {
		e.stage.corrupt(piece, e.cfg.Clock.Now())
	}
	return h
}

// holdOrder holds an order back if DelayOrderUntil says so, else it returns nil.
func (i *incarnation) holdOrder(body []byte) *heldOrder {
	e := i.engine
	h := i.takeHold(body)
	if h == nil {
		return nil
	}
	e.cfg.Log("engine %s: holds an order for version %d back, and pieces %v become corrupt", i.id, h.version, h.Pieces)
	if h.Received != nil {
		h.Received()
	}
	e.mu.Lock()
	h.waits = true
	e.mu.Unlock()
	select {
	case <-h.release:
	case <-e.cfg.Clock.After(h.Hold):
	case <-i.ctx.Done():
	}
	e.mu.Lock()
	h.accept()
	if e.held == h && (len(h.Pieces) == 0 || i.ctx.Err() != nil) {
		e.held = nil
	}
	e.mu.Unlock()
	return h
}

// awaitHeldOrder waits until a held order that is to be accepted was processed.
func (i *incarnation) awaitHeldOrder() {
	i.engine.mu.Lock()
	h := i.engine.held
	wait := h != nil && h.released
	i.engine.mu.Unlock()
	if !wait {
		return
	}
	select {
	case <-h.processed:
	case <-i.ctx.Done():
	}
}

// piecesFixed reports whether only the pieces of a held order become corrupt. The caller
// holds mu.
func (e *WeightsEngine) piecesFixed() bool {
	if h := e.held; h != nil {
		return len(h.Pieces) > 0
	}
	return len(e.holds) > 0 && len(e.holds[0].Pieces) > 0 && len(e.readBack) == e.cfg.Weights.Pieces
}

// reach accepts a held order if it is to be accepted at a moment, and waits until it was
// processed. piece is the one that is about to be put, if any.
func (i *incarnation) reach(moment Moment, piece int) {
	i.engine.mu.Lock()
	if h := i.engine.held; h != nil && h.waits && h.Until == moment && (moment != BeforePut || slices.Contains(h.Pieces, piece)) {
		h.accept()
	}
	i.engine.mu.Unlock()
	i.awaitHeldOrder()
}

// takeNewerStaged returns the function to call instead of answering a report, if any. The
// caller holds mu.
func (e *WeightsEngine) takeNewerStaged() func(answer func()) {
	h := e.held
	if h == nil || h.NewerStaged == nil || e.stage.pieces[0] == nil || e.stage.pieces[0].version <= h.version {
		return nil
	}
	f := h.NewerStaged
	h.NewerStaged = nil
	return f
}

// loaded accepts a held order once a newer version is held. The caller holds mu.
func (e *WeightsEngine) loaded(version int) {
	if h := e.held; h != nil && h.Until == AfterNewer && version > h.version {
		h.accept()
	}
}

// recordRepair records that a piece was put. The caller holds mu.
func (e *WeightsEngine) recordRepair(piece int) {
	h := e.held
	if h == nil || !h.released {
		return
	}
	h.Pieces = slices.DeleteFunc(h.Pieces, func(p int) bool { return p == piece })
	if len(h.Pieces) > 0 {
		return
	}
	if h.Repaired != nil {
		go h.Repaired()
	}
	e.held = nil
}
