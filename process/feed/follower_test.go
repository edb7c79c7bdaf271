package feed

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/directory"
)

func newTestFollower(clock clockwork.Clock) *Follower {
	return NewFollower(FollowerConfig{}, &link.Dialer{}, clock, slog.New(slog.DiscardHandler))
}

func serversOf(count int) wire.News {
	var news wire.News
	for i := range count {
		news.Servers = append(news.Servers, directory.Server{
			ID: fmt.Sprint("i-", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), State: directory.Ready, Born: 1, Seq: 1,
		})
	}
	return news
}

func TestNewsOfDemandKeepsTheListsOfServers(t *testing.T) {
	f := newTestFollower(clockwork.NewFakeClock())
	f.hear(serversOf(3))
	before := f.View()
	f.hear(wire.News{Demand: map[string]float64{"s": 2}, Entries: 4})
	after := f.View()
	if after == before || after.Demand["s"] != 2 || after.Entries != 4 {
		t.Fatalf("the demand was not taken in: %+v", after)
	}
	if &after.Servers["s"][0] != &before.Servers["s"][0] {
		t.Error("the servers were listed anew")
	}
}

func TestSilentServersAreForgottenInTheView(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newTestFollower(clock)
	f.hear(serversOf(2))
	clock.Advance(50 * time.Second)
	f.hear(wire.News{Alive: []string{"i-1"}})
	clock.Advance(20 * time.Second)
	f.hear(wire.News{Demand: map[string]float64{"s": 1}})
	if list := f.View().Servers["s"]; len(list) != 1 || list[0].ID != "i-1" {
		t.Errorf("the view holds %v", list)
	}
}

// BenchmarkNewsOfDemand is what an entry spends on each beat of a control process.
func BenchmarkNewsOfDemand(b *testing.B) {
	for _, servers := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			f := newTestFollower(clockwork.NewRealClock())
			f.hear(serversOf(servers))
			for b.Loop() {
				f.hear(wire.News{Demand: map[string]float64{"s": 1}, Entries: 1})
			}
		})
	}
}
