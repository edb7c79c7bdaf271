package feed

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/boottime"
)

func TestEstimatesOfAPublicationTimeAreLoggedWithTheirControlProcess(t *testing.T) {
	var logged strings.Builder
	clock := clockwork.NewFakeClock()
	f := NewFollower(FollowerConfig{}, &link.Dialer{}, clock, boottime.NewFake(clock), slog.New(slog.NewTextHandler(&logged, nil)))
	for _, step := range []struct {
		control string
		age     int64
		want    string
	}{
		{"c1", 1000, `msg="weights publication time learned" model=m version=2 age=1s control=c1 revision=7`},
		{"c2", 1050, ""},
		{"c2", 3000, `msg="weights publication time corrected" model=m version=2 age=3s control=c2 revision=7 apart=-1.95s`},
		{"c3", 500, `msg="weights publication time is later here" model=m version=2 age=500ms control=c3 revision=7 apart=2.5s`},
	} {
		logged.Reset()
		update := wire.Update{Revision: 7, Weights: map[string]int{"m": 2}, Ages: map[string][]wire.VersionAge{"m": {{Version: 2, Age: step.age}}}}
		f.logAges(step.control, update, true)
		got := logged.String()
		f.apply(update)
		if step.want == "" && got != "" || !strings.Contains(got, step.want) {
			t.Errorf("%s with age %v: logged %q, want %q", step.control, time.Duration(step.age)*time.Millisecond, got, step.want)
		}
	}
}
