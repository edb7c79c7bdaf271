package feed

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/directory"
)

func newTestFollower(clock clockwork.Clock) *Follower {
	return NewFollower(FollowerConfig{}, &link.Dialer{}, clock, boottime.NewFake(clock), slog.New(slog.DiscardHandler))
}

func updateWithServers(count int) wire.Update {
	var update wire.Update
	for i := range count {
		update.Servers = append(update.Servers, directory.Server{
			ID: fmt.Sprint("i-", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), State: directory.Ready, Born: 1, Seq: 1,
		})
	}
	return update
}

func TestDemandUpdateKeepsServerLists(t *testing.T) {
	f := newTestFollower(clockwork.NewFakeClock())
	f.apply(updateWithServers(3))
	before := f.View()
	f.apply(wire.Update{Demand: map[string]float64{"s": 2}, Entries: 4})
	after := f.View()
	if after == before || after.Demand["s"] != 2 || after.Entries != 4 {
		t.Fatalf("demand update was not applied: %+v", after)
	}
	if &after.Servers["s"][0] != &before.Servers["s"][0] {
		t.Error("server lists were rebuilt")
	}
}

func TestViewDropsSilentServers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newTestFollower(clock)
	f.apply(updateWithServers(2))
	clock.Advance(50 * time.Second)
	f.apply(wire.Update{Alive: []string{"i-1"}})
	clock.Advance(20 * time.Second)
	f.apply(wire.Update{Demand: map[string]float64{"s": 1}})
	if list := f.View().Servers["s"]; len(list) != 1 || list[0].ID != "i-1" {
		t.Errorf("view has servers %v", list)
	}
}

// BenchmarkDemandUpdate measures what an entry spends on each tick of a control
// process.
func BenchmarkDemandUpdate(b *testing.B) {
	for _, servers := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			f := newTestFollower(clockwork.NewRealClock())
			f.apply(updateWithServers(servers))
			for b.Loop() {
				f.apply(wire.Update{Demand: map[string]float64{"s": 1}, Entries: 1})
			}
		})
	}
}
