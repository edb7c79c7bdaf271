package feed

import (
	"math"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/directory"
)

// invalidServers are entries that no server reports about itself.
func invalidServers() []directory.Server {
	valid := directory.Server{ID: "i-9", Service: "s", Address: "10.0.9.9:1", State: directory.Ready, Born: 1, Seq: 1}
	var list []directory.Server
	for _, change := range []func(s *directory.Server){
		func(s *directory.Server) { s.ID = "" },
		func(s *directory.Server) { s.ID = "i\xff" },
		func(s *directory.Server) { s.ID = strings.Repeat("i", 4<<20) },
		func(s *directory.Server) { s.Service = "" },
		func(s *directory.Server) { s.Address = "10.0.9.9" },
		func(s *directory.Server) { s.Address = "10.0.9.9:0" },
		func(s *directory.Server) { s.Address = "10.0.9.9:70000" },
		func(s *directory.Server) { s.Address = ":1" },
		func(s *directory.Server) { s.Slots = math.MinInt },
		func(s *directory.Server) { s.Slots = math.MaxInt },
		func(s *directory.Server) { s.ColdLeft = math.MaxInt64 },
		func(s *directory.Server) { s.State = 77 },
		func(s *directory.Server) { s.Held = make([]directory.ModelVersion, 100000) },
	} {
		s := valid
		change(&s)
		list = append(list, s)
	}
	return list
}

// An entry that no server can report must be left out, wherever it stands in a list, and the
// others must be applied. It comes from an older build, which has let it pass.
func TestInvalidServerHidesNoOthers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	for _, invalid := range invalidServers() {
		list := updateWithServers(3).Servers
		list = append(list[:1:1], append([]directory.Server{invalid}, list[1:]...)...)
		data, err := cbor.Marshal(wire.Update{Servers: list, Left: []wire.Deregistration{{ID: invalid.ID}}})
		if err != nil {
			t.Fatal(err)
		}
		var update wire.Update
		if err := wire.Decode(data, &update); err != nil {
			t.Errorf("%.60q at %q: %v", invalid.ID, invalid.Address, err)
			continue
		}
		f, h := newTestFollower(clock), newTestHub(clock, boottime.NewFake(clock))
		f.apply(update)
		h.ApplyPeerUpdate(update)
		if n := len(f.View().Servers["s"]); n != 3 {
			t.Errorf("%.60q at %q: the follower has %d servers, want 3", invalid.ID, invalid.Address, n)
		}
		if n := len(h.FullState().Servers); n != 3 {
			t.Errorf("%.60q at %q: the hub has %d servers, want 3", invalid.ID, invalid.Address, n)
		}
	}
}

// An entry that can't be decoded must hide no others.
func TestUndecodableServerHidesNoOthers(t *testing.T) {
	entries := []any{map[int]any{1: "i-8", 5: "many"}, map[int]any{7: uint64(math.MaxUint64)}, "text", nil, []any{1, 2}}
	for _, s := range updateWithServers(2).Servers {
		entries = append(entries, s)
	}
	data, err := cbor.Marshal(map[int]any{4: entries})
	if err != nil {
		t.Fatal(err)
	}
	var update wire.Update
	if err := wire.Decode(data, &update); err != nil {
		t.Fatal(err)
	}
	f := newTestFollower(clockwork.NewFakeClock())
	f.apply(update)
	if n := len(f.View().Servers["s"]); n != 2 {
		t.Errorf("%d servers, want 2", n)
	}
}

func TestInvalidDemandIsLeftOut(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := newTestHub(clock, boottime.NewFake(clock))
	for i, d := range []float64{math.NaN(), math.Inf(1), -5, 2, 3} {
		h.followers[nil] = &follower{demand: map[string]float64{"s": d}, demandAt: clock.Now()}
		want := max(d, 0)
		if i < 3 {
			want = 0
		}
		if got := h.totalDemand()["s"]; got != want {
			t.Errorf("demand %g is counted as %g, want %g", d, got, want)
		}
	}
}
