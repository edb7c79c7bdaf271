package virtual

import (
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/version/planner"
)

// viewInterval is how often the dead are taken out of all views at once.
const viewInterval = 5 * time.Second

func (f *fleet) injectFaults() {
	f.slowDown()
	deaths := f.deaths()
	for _, d := range deaths {
		f.after(d.at, func() { f.kill(d.vm) })
	}
	if len(deaths) > 0 {
		f.after(viewInterval, f.updateViews)
	}
	if f.p.Faults.StallFor > 0 {
		f.after(f.p.WayBound()/5, f.stallLinks)
	}
}

func (f *fleet) slowCount() int { return int(f.p.Faults.Slow * float64(len(f.vms))) }

func (f *fleet) slowDown() {
	for _, i := range f.order[:f.slowCount()] {
		v := f.vms[i]
		v.slow = true
		v.up.setRate(f.p.vmRate() / f.p.Faults.SlowFactor)
		v.down.setRate(f.p.vmRate() / f.p.Faults.SlowFactor)
	}
}

func (f *fleet) kill(v *vm) {
	if v.completed > 0 {
		return
	}
	v.alive = false
	f.left--
	f.dead = append(f.dead, death{v, f.now})
	f.cancel(v.wake)
	for _, t := range slices.Clone(v.outbound) {
		f.stallFlow(t)
	}
	for _, t := range slices.Clone(v.inbound) {
		f.stallFlow(t)
	}
}

// stallFlow lets a transfer of a dead VM hold its slot until it times out.
func (f *fleet) stallFlow(t *transfer) {
	if t.flow != nil {
		t.flow.stop()
		t.flow = nil
	}
	if t.timeout != nil {
		f.cancel(t.timeout)
	}
	f.stallLater(t)
}

// updateViews takes those that have been dead for long enough out of all
// views.
func (f *fleet) updateViews() {
	due := false
	rest := f.dead[:0]
	for _, d := range f.dead {
		if f.now-d.at >= f.p.ViewDelay {
			due = true
		} else {
			rest = append(rest, d)
		}
	}
	f.dead = rest
	if due {
		f.arrange()
		f.dropVanished()
		for _, v := range f.vms {
			f.plan(v)
		}
	}
	f.after(viewInterval, f.updateViews)
}

// dropVanished ends the requests to VMs that left the view.
func (f *fleet) dropVanished() {
	for _, v := range f.vms {
		if v.alive {
			continue
		}
		for _, t := range slices.Clone(v.outbound) {
			f.end(t, planner.Failed)
		}
	}
}

// stallLinks stalls the last region's path from the origin and the first
// region's link to it, both ways.
func (f *fleet) stallLinks() {
	last := len(f.toRegion) - 1
	stalled := []*link{f.toRegion[last], f.pairs[0][last], f.pairs[last][0]}
	rates := make([]float64, len(stalled))
	for i, l := range stalled {
		rates[i] = l.rate
		l.setRate(0)
	}
	f.after(f.p.Faults.StallFor, func() {
		for i, l := range stalled {
			l.setRate(rates[i])
		}
	})
}
