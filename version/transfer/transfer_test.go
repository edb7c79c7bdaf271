package transfer

import (
	"testing"

	"github.com/waxwingpost/waxwingpost/process/config"
)

func TestOneCopyLeavesTheOriginAndEachRegionIsEnteredOnce(t *testing.T) {
	f := newFleet(t, 12, 3)
	m := f.publish("v1", randomContent(1, 40*testChunk+77))
	f.order(m)
	f.fetchAll(m)
	size := float64(m.Size())
	if got := float64(f.origin.sent.Load()) / size; got > 1.05 {
		t.Errorf("seed %d: %.2f copies left the origin", testSeed, got)
	}
	if got := float64(f.crossBytes()) / size; got > 2*1.05 {
		t.Errorf("seed %d: %.2f copies crossed into regions, 2 expected", testSeed, got)
	}
}

func TestWithTimeEachRegionTakesItsOwnCopyWherePairsAreThin(t *testing.T) {
	f := newFleet(t, 12, 3)
	m := f.publish("v1", randomContent(1, 40*testChunk))
	f.view.Objective = config.ObjectiveTime
	f.view.RegionPairBytesPerSecond = 1
	f.view.Sources[0].BytesPerSecond = 100 << 20
	f.order(m)
	f.fetchAll(m)
	if got := float64(f.origin.sent.Load()) / float64(m.Size()); got < 2.9 || got > 3*1.05 {
		t.Errorf("seed %d: %.2f copies left the origin, 3 expected", testSeed, got)
	}
}
