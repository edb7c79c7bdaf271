package virtual

import (
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/version/planner"
)

// viewUpdateInterval is how often failed VMs are removed from all views.
const viewUpdateInterval = 5 * time.Second

func (f *fleet) injectFaults() {
	f.slowVMs()
	failures := f.drawFailures()
	for _, fl := range failures {
		f.schedule(fl.at, func() { f.failVM(fl.vm) })
	}
	if len(failures) > 0 {
		f.schedule(viewUpdateInterval, f.updateViews)
	}
	if f.params.Faults.StallFor > 0 {
		f.schedule(f.params.PlannedBound()/5, f.stallLinks)
	}
}

func (f *fleet) slowCount() int { return int(f.params.Faults.SlowShare * float64(len(f.vms))) }

func (f *fleet) slowVMs() {
	for _, i := range f.faultOrder[:f.slowCount()] {
		v := f.vms[i]
		v.slow = true
		v.up.setRate(f.params.vmRate() / f.params.Faults.SlowFactor)
		v.down.setRate(f.params.vmRate() / f.params.Faults.SlowFactor)
	}
}

func (f *fleet) failVM(v *vm) {
	if v.completed > 0 {
		return
	}
	v.alive = false
	f.unfinished--
	f.unreported = append(f.unreported, failure{v, f.now})
	f.cancel(v.wakeEvent)
	for _, t := range slices.Clone(v.outbound) {
		f.stallTransfer(t)
	}
	for _, t := range slices.Clone(v.inbound) {
		f.stallTransfer(t)
	}
}

// stallTransfer stops the flow of a failed VM's transfer. The transfer keeps its slot
// until the stall timeout.
func (f *fleet) stallTransfer(t *transfer) {
	if t.flow != nil {
		t.flow.abort()
		t.flow = nil
	}
	if t.timeout != nil {
		f.cancel(t.timeout)
	}
	f.scheduleStallTimeout(t)
}

// updateViews removes failed VMs from all views once one of them has failed at least
// ViewDelay ago.
func (f *fleet) updateViews() {
	changed := false
	pending := f.unreported[:0]
	for _, fl := range f.unreported {
		if f.now-fl.at >= f.params.ViewDelay {
			changed = true
		} else {
			pending = append(pending, fl)
		}
	}
	f.unreported = pending
	if changed {
		f.updateArrangement()
		f.cancelRequestsToFailed()
		for _, v := range f.vms {
			f.plan(v)
		}
	}
	f.schedule(viewUpdateInterval, f.updateViews)
}

// cancelRequestsToFailed ends the requests that other VMs sent to failed VMs.
func (f *fleet) cancelRequestsToFailed() {
	for _, v := range f.vms {
		if v.alive {
			continue
		}
		for _, t := range slices.Clone(v.outbound) {
			f.finish(t, planner.Failed)
		}
	}
}

// stallLinks stalls the last region's path from the origin and, in both directions,
// its link with the first region.
func (f *fleet) stallLinks() {
	last := len(f.toRegion) - 1
	stalled := []*link{f.toRegion[last], f.pairs[0][last], f.pairs[last][0]}
	rates := make([]float64, len(stalled))
	for i, l := range stalled {
		rates[i] = l.rate
		l.setRate(0)
	}
	f.schedule(f.params.Faults.StallFor, func() {
		for i, l := range stalled {
			l.setRate(rates[i])
		}
	})
}
