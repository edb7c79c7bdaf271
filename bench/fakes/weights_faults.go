package fakes

import "time"

// LateOrder makes an engine hang when it receives a load order, before it accepts it,
// while a piece becomes corrupt.
type LateOrder struct {
	Hang  time.Duration
	Piece int
	// Alone holds back only the order, as a slow connection does, and not the engine.
	Alone bool
	// Received is called when the order is received, if not nil.
	Received func()
	// Repaired is called when the piece is put again after that, if not nil.
	Repaired func()
}

// Corrupt changes a byte of a staged piece, if it is there and may become corrupt.
func (e *WeightsEngine) Corrupt(piece int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.piecesFixed() {
		return
	}
	e.stage.corrupt(piece, e.cfg.Clock.Now())
}

// ReplaceStage replaces all staged pieces by some pieces of a version, or by nothing if
// from is not below end.
func (e *WeightsEngine) ReplaceStage(version, from, end int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stage.fill(version, from, end)
}

// SetPace makes all work take the given multiple of its time.
func (e *WeightsEngine) SetPace(pace float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pace = pace
}

// Hang makes the engine answer nothing and stop all work for a time. What it receives
// meanwhile is processed afterwards, even if the sender has given up.
func (e *WeightsEngine) Hang(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hang(d)
}

func (e *WeightsEngine) hang(d time.Duration) {
	if until := e.cfg.Clock.Now().Add(d); until.After(e.hungUntil) {
		e.hungUntil = until
	}
}

// DelayNextOrder makes the engine accept its next load order late.
func (e *WeightsEngine) DelayNextOrder(late LateOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.late = &late
}

// OnReadBack calls f once all staged pieces were read from now on, and since the last one
// was put.
func (e *WeightsEngine) OnReadBack(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onReadBack = f
	clear(e.readBack)
}

// OnReport calls f instead of answering the next report that shows no order in progress and
// before which all staged pieces were read, from now on and since the last one was put. It calls answer to send
// the report.
func (e *WeightsEngine) OnReport(f func(answer func())) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onReport = f
	clear(e.readBack)
}

// takeOnReport returns the function set by OnReport, if it is to be called now.
func (e *WeightsEngine) takeOnReport() func(answer func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.readBack) < e.cfg.Weights.Pieces || e.current == nil || e.current.busy {
		return nil
	}
	if f := e.takeNewerStaged(); f != nil || e.onReport == nil {
		return f
	}
	f := e.onReport
	e.onReport = nil
	return f
}

// recordRead records that a staged piece was read. The caller holds mu.
func (e *WeightsEngine) recordRead(piece int) {
	e.readBack[piece] = true
	if e.onReadBack != nil && len(e.readBack) == e.cfg.Weights.Pieces {
		go e.onReadBack()
		e.onReadBack = nil
	}
}
