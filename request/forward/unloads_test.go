package forward

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
)

func TestServerUnloadsOnlyWhatItHolds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	boot := boottime.NewFake(clock)
	sc := newScheduler(Config{OldVersionGrace: 8 * time.Second}, clock, boot)
	var expiring, current feed.VersionHistory
	expiring.Record(2, boot.Now())
	expiring.Record(3, boot.Now().Add(time.Second))
	sc.view = &feed.View{Weights: map[string]feed.VersionHistory{"m": expiring, "n": current}}
	service := &deployment.Service{Name: "s", Engine: &deployment.Engine{Slots: 8, Models: []string{"m", "n"}}}
	for name, c := range map[string]struct {
		held    int
		unloads []directory.ModelVersion
		want    bool
	}{
		"none announced":    {1, nil, false},
		"held one":          {1, []directory.ModelVersion{{Model: "m", Version: 1}}, true},
		"earlier one":       {2, []directory.ModelVersion{{Model: "m", Version: 1}}, false},
		"another model":     {1, []directory.ModelVersion{{Model: "n", Version: 1}}, false},
		"newest is held":    {3, []directory.ModelVersion{{Model: "m", Version: 1}}, true},
		"both, one expires": {2, []directory.ModelVersion{{Model: "m", Version: 2}, {Model: "n", Version: 7}}, true},
	} {
		sc.view.Servers = map[string][]directory.Record{"s": {{
			Server:  directory.Server{ID: "a", State: directory.Ready, Held: []directory.ModelVersion{{Model: "m", Version: c.held}, {Model: "n", Version: 1}}},
			Unloads: c.unloads,
		}}}
		if got := sc.poolServers(service, clock.Now()); len(got) != 1 || got[0].Unloads != c.want {
			t.Errorf("%s: %+v, want unloads %v", name, got, c.want)
		}
	}
}
