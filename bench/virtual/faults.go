package virtual

import (
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/version/planner"
)

// viewInterval is how often the dead are taken out of all views at once.
const viewInterval = 5 * time.Second

func (f *fleet) injectFaults() {
	faults := f.p.Faults
	bound := f.p.WayBound()
	order := f.rnd.Perm(len(f.vms))
	slow := int(faults.Slow * float64(len(f.vms)))
	for _, i := range order[:slow] {
		v := f.vms[i]
		v.slow = true
		v.up.setRate(f.p.vmRate() / faults.SlowFactor)
		v.down.setRate(f.p.vmRate() / faults.SlowFactor)
	}
	die := int(faults.Die * float64(len(f.vms)))
	for _, i := range order[slow : slow+die] {
		v := f.vms[i]
		at := bound/10 + time.Duration(f.rnd.Int64N(int64(bound/2)))
		f.after(at, func() { f.kill(v) })
	}
	if die > 0 {
		f.after(viewInterval, f.updateViews)
	}
	if faults.StallFor > 0 {
		f.after(bound/5, f.stallLinks)
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
