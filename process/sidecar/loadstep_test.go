package sidecar

import (
	"testing"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/directory"
)

func TestLayersThatEngineKeepsAreReplacedBeforeLoad(t *testing.T) {
	for name, c := range map[string]struct {
		held   platform.LayerRange
		layers int
		want   loadStep
	}{
		"nothing":                   {platform.LayerRange{}, 16, stepLoadAll},
		"another version":           {platform.LayerRange{Version: 1, Target: 16}, 16, stepLoadAll},
		"a layer of another":        {platform.LayerRange{Version: 1, From: 15, Target: 16}, 16, stepLoadAll},
		"all":                       {platform.LayerRange{Version: 2, Target: 16}, 16, stepHeld},
		"unloaded":                  {platform.LayerRange{Version: 2, From: 15, Target: 16}, 16, stepReplaceLast},
		"layer 1 alone":             {platform.LayerRange{Version: 2, From: 1, Target: 2}, 16, stepComplete},
		"the first layers":          {platform.LayerRange{Version: 2, Target: 8}, 16, stepDrop},
		"some layers":               {platform.LayerRange{Version: 2, From: 3, Target: 9}, 16, stepDrop},
		"the last two":              {platform.LayerRange{Version: 2, From: 14, Target: 16}, 16, stepDrop},
		"unloaded, three layers":    {platform.LayerRange{Version: 2, From: 2, Target: 3}, 3, stepReplaceLast},
		"layer 1 of three":          {platform.LayerRange{Version: 2, From: 1, Target: 2}, 3, stepComplete},
		"unloaded, two layers":      {platform.LayerRange{Version: 2, From: 1, Target: 2}, 2, stepDrop},
		"number of layers unstated": {platform.LayerRange{Version: 2, Target: 1}, 0, stepHeld},
	} {
		t.Run(name, func(t *testing.T) {
			if got := nextLoadStep(c.held, 2, c.layers); got != c.want {
				t.Errorf("step %d, want %d", got, c.want)
			}
		})
	}
}

func TestReportWithoutLayersStatesAll(t *testing.T) {
	r := platform.EngineReport{Held: []directory.ModelVersion{{Model: "m", Version: 2}}}
	for _, layers := range []int{0, 1, 16} {
		if step := nextLoadStep(heldLayers(r, "m", layers), 2, layers); step != stepHeld {
			t.Errorf("step %d with %d layers", step, layers)
		}
	}
}

func TestEarlierProcessMayHaveOrderedOnceAllPiecesWereStaged(t *testing.T) {
	for name, c := range map[string]struct {
		corrupt []int
		want    bool
	}{
		"all intact":             {nil, false},
		"nothing staged":         {[]int{0, 1, 2, 3}, false},
		"staging was cut off":    {[]int{2, 3}, false},
		"one corrupt":            {[]int{1}, true},
		"the last one corrupt":   {[]int{3}, true},
		"the first ones corrupt": {[]int{0, 1}, true},
		"two corrupt, cut off":   {[]int{0, 3}, true},
	} {
		if got := wereAllStaged(c.corrupt, 4); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
