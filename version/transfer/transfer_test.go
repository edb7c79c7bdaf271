package transfer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

func TestOneCopyLeavesOriginAndEntersEachRegionOnce(t *testing.T) {
	f := newFleet(t, 12, 3)
	m := f.publish("v1", randomContent(1, 40*testChunkSize+77))
	f.setOrder(m)
	f.fetchAll(m)
	size := float64(m.Size())
	if got := float64(f.origin.sent.Load()) / size; got > 1.05 {
		t.Errorf("seed %d: %.2f copies left the origin", testSeed, got)
	}
	if got := float64(f.crossBytes()) / size; got > 2*1.05 {
		t.Errorf("seed %d: %.2f copies crossed into regions, want 2", testSeed, got)
	}
}

func TestTimeObjectiveFetchesOneCopyPerRegionOverSlowPairs(t *testing.T) {
	f := newFleet(t, 12, 3)
	m := f.publish("v1", randomContent(1, 40*testChunkSize))
	f.view.Objective = config.ObjectiveTime
	f.view.RegionPairBytesPerSecond = 1
	f.view.Sources[0].BytesPerSecond = 100 << 20
	f.setOrder(m)
	f.fetchAll(m)
	if got := float64(f.origin.sent.Load()) / float64(m.Size()); got < 2.9 || got > 3*1.05 {
		t.Errorf("seed %d: %.2f copies left the origin, want 3", testSeed, got)
	}
}

func TestVersionAndItsAdaptersStayStaged(t *testing.T) {
	f := newFleet(t, 3, 1)
	var all []*manifest.Manifest
	for i := range 4 {
		all = append(all, f.publish(fmt.Sprintf("v%d", i), randomContent(uint64(20+i), 3*testChunkSize)))
	}
	f.setOrder(all...)
	for _, m := range all {
		f.fetchAll(m)
	}
	for _, a := range f.agents {
		if got := a.Staged(); !slices.Equal(got, []string{"v0", "v1", "v2", "v3"}) {
			t.Errorf("%s: staged %v", a.peer.Name, got)
		}
	}
}

func TestStoreReplacesOriginUnlessObjectiveIsTime(t *testing.T) {
	for objective, wantFromOrigin := range map[string]bool{config.ObjectiveOriginBytes: false, config.ObjectiveTime: true} {
		f := newFleet(t, 4, 1)
		m := f.publish("v1", randomContent(30, 40*testChunkSize))
		store := newOrigin(t)
		store.content["models/v1"] = f.content["v1"]
		f.view.Objective = objective
		f.view.Sources[0].BytesPerSecond = 1 << 30
		f.view.Sources = append(f.view.Sources, wire.Source{
			Name: "store", Kind: config.SourceStore, Address: store.Listener.Addr().String(), BytesPerSecond: 1 << 30,
		})
		f.setOrder(m)
		f.fetchAll(m)
		if got := f.origin.sent.Load() > 0; got != wantFromOrigin {
			t.Errorf("%s: %d bytes from the origin, %d from the store", objective, f.origin.sent.Load(), store.sent.Load())
		}
	}
}
