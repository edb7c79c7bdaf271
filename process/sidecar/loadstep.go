package sidecar

import (
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/directory"
)

// loadStep is the next step of a load. An engine takes each layer from the staged pieces
// when it accepts the order, without checking them, and keeps the layers that it already
// holds of the version. So layers that were taken from a corrupt piece are replaced by two
// orders for other layers, after which none of them is left.
type loadStep uint8

const (
	// stepHeld: the engine holds all layers.
	stepHeld loadStep = iota
	// stepLoadAll: the engine holds no layer of the version and loads all.
	stepLoadAll
	// stepReplaceLast: the engine holds the last layer alone, and drops it by loading
	// layer 1 alone.
	stepReplaceLast
	// stepComplete: the engine holds layer 1 alone, and loads the others if it was taken
	// from intact pieces.
	stepComplete
	// stepDrop: the engine holds layers that may come from a corrupt piece, and drops
	// them by holding the last one alone.
	stepDrop
)

// minDropLayers is the smallest number of layers with which weights can be dropped: besides
// the last layer, stepReplaceLast needs one that is not layer 0, since an engine that holds
// layer 0 counts as holding the version.
const minDropLayers = 3

// heldLayers returns the range of layers of a model that an engine reports. A report
// without the range states all layers.
func heldLayers(r platform.EngineReport, model string, layers int) platform.LayerRange {
	if version := directory.VersionOf(r.Held, model); version > 0 && r.Layers.Target == 0 {
		return platform.LayerRange{Version: version, Target: max(layers, 1)}
	}
	return r.Layers
}

// nextLoadStep returns the step that follows if the engine, which executes no order, holds
// a range of layers. layers is the number of layers of the version to load.
func nextLoadStep(held platform.LayerRange, version, layers int) loadStep {
	switch {
	case held.Version != version || held.Target <= held.From:
		return stepLoadAll
	case held.From == 0 && held.Target >= layers:
		return stepHeld
	case layers < minDropLayers:
		return stepDrop
	case held.From == layers-1:
		return stepReplaceLast
	case held.From == 1 && held.Target == 2:
		return stepComplete
	default:
		return stepDrop
	}
}

// mayStage reports whether pieces of the version may be staged before the step. They must
// not be while the engine holds layers of unknown origin: the staged pieces show whether
// those were intact.
func (s loadStep) mayStage() bool { return s == stepLoadAll || s == stepReplaceLast }

// fence returns the step to order in place of s so that the engine refuses the orders of
// earlier processes afterwards. An order for the layers that the engine holds already would
// not be counted.
func (s loadStep) fence() loadStep {
	if s == stepReplaceLast {
		return stepReplaceLast
	}
	return stepDrop
}

// loadsAll reports whether the engine holds all layers after the step.
func (s loadStep) loadsAll() bool { return s == stepLoadAll || s == stepComplete }

// layersOf returns the layers that the order of the step is for. Target 0 means all.
func (s loadStep) layersOf(layers int) (from, target int) {
	switch s {
	case stepReplaceLast:
		return 1, 2
	case stepDrop:
		return layers - 1, layers
	default:
		return 0, 0
	}
}

// wereAllStaged reports whether an earlier process may have staged all pieces of a version,
// and then ordered the load. Pieces are put in order, and corrupt lists those that are not
// those of the version: unless they are the last ones, they became corrupt later.
func wereAllStaged(corrupt []int, count int) bool {
	const minUnstaged = 2 // the last piece alone may have become corrupt
	n := len(corrupt)
	return n > 0 && n < count && (n < minUnstaged || corrupt[0] != count-n)
}
