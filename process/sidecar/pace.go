package sidecar

import (
	"sync"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/directory"
)

const (
	// paceChange is the relative change of an engine's pace that is reported. Each report
	// goes to all entries, and smaller changes don't alter where requests go.
	paceChange = 0.25
	// minPaceInterval is the least time between two reports of the pace.
	minPaceInterval = 300 * time.Millisecond
	// repeatPaceInterval is the time after which an unusual pace is repeated: the control
	// process may not have known the engine. It passes on only changes.
	repeatPaceInterval = 5 * time.Second
)

// paceReporter decides when the pace of the engine is reported to the control processes.
type paceReporter struct {
	mu sync.Mutex
	// reported is the pace that was reported last, 0 if none was; at, born and links are the
	// time, the incarnation and the number of links opened then.
	reported float64
	at       boottime.Instant
	born     int64
	links    uint64
}

// due reports whether the pace of a report is to be reported now, and which pace that is.
func (p *paceReporter) due(r *platform.EngineReport, links uint64, now boottime.Instant) (float64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pace := r.Pace
	if !(pace > 0) {
		if p.reported == 0 {
			return 0, false
		}
		pace = 1
	}
	since := now.Sub(p.at)
	known := p.reported != 0 && p.born == r.Born && p.links == links
	change := max(pace-p.reported, p.reported-pace)
	switch {
	case known && since < minPaceInterval:
		return 0, false
	case known && change < paceChange*p.reported && (pace != 1 || p.reported == 1) && (pace == 1 || since < repeatPaceInterval):
		return 0, false
	}
	p.reported, p.at, p.born, p.links = pace, now, r.Born, links
	return pace, true
}

// reportPace reports the engine's pace to the control processes if it has changed, if they
// may not know it, or from time to time while it is unusual.
func (u *updater) reportPace(r *platform.EngineReport) {
	now := u.sidecar.AgeClock.Now()
	pace, due := u.pace.due(r, u.sidecar.follower.LinksOpened(), now)
	if !due {
		return
	}
	u.scope.Counter("paces_reported").Inc(1)
	u.sidecar.follower.Broadcast(wire.KindPace, directory.EnginePace{
		Address: u.sidecar.settings.BackendAddress, Born: r.Born, Pace: pace, Checked: now.Sub(boottime.Instant{}).Milliseconds(),
	})
}
