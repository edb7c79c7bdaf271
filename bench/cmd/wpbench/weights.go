package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/waxwingpost/waxwingpost/bench/figure"
	"github.com/waxwingpost/waxwingpost/bench/virtual"
	"github.com/waxwingpost/waxwingpost/process/config"
)

func init() {
	register(experiment{
		Name: "weights",
		Help: "time to N replicas and origin bytes over virtual links, beside two baselines.",
		Run:  runWeights,
	})
}

// Ways of running a transfer.
const (
	wayTime        = "time"         // own copy for each region: pairs carry nothing
	wayTimePairs   = "time_pairs"   // time, with pairs of 20 Mb/s
	wayOriginBytes = "origin_bytes" // origin-bytes, with pairs of 20 Mb/s
	wayAllOrigin   = "all_from_origin"
	wayTree        = "fixed_tree"
)

// noPairs stands for pairs of regions that can carry nothing.
const noPairs = 1

var weightSizes = []int{10, 100, 500, 2100}

// weightsRun is one run and its result.
type weightsRun struct {
	way    string
	faults bool
	p      virtual.Params
	result virtual.Result
}

func (w *weightsRun) name(what string) string {
	name := "weights_" + w.way
	if w.faults {
		name += "_faults"
	}
	return fmt.Sprintf("%s_%s_n%d", name, what, w.p.VMs)
}

func (w *weightsRun) run() {
	switch w.way {
	case wayAllOrigin:
		w.result = virtual.RunAllFromOrigin(w.p)
	case wayTree:
		w.result = virtual.RunTree(w.p)
	default:
		w.result = virtual.Run(w.p)
	}
}

func (w *weightsRun) ratio() float64 { return ratioOf(w.result.Duration, w.p.Bound()) }

func (w *weightsRun) copies() float64 {
	return float64(w.result.OriginBytes) / float64(w.p.ModelBytes)
}

func ratioOf(d, bound time.Duration) float64 { return float64(d) / float64(bound) }

func weightsRuns(seed uint64) []*weightsRun {
	var runs []*weightsRun
	for i := len(weightSizes) - 1; i >= 0; i-- {
		for _, way := range []string{wayTime, wayTimePairs, wayOriginBytes, wayTree, wayAllOrigin} {
			for _, faults := range []bool{false, true} {
				if faults && (way == wayAllOrigin || way == wayTimePairs) {
					continue
				}
				runs = append(runs, newWeightsRun(seed, weightSizes[i], way, faults))
			}
		}
	}
	return runs
}

func newWeightsRun(seed uint64, n int, way string, faults bool) *weightsRun {
	p := virtual.DefaultParams(n)
	p.Seed = seed
	switch way {
	case wayOriginBytes:
		p.Objective = config.ObjectiveOriginBytes
	case wayTimePairs:
	default:
		p.PairBytesPerSecond = noPairs
	}
	if faults {
		p = p.WithFaults()
	}
	return &weightsRun{way: way, faults: faults, p: p}
}

func runWeights(ctx context.Context, opts options) error {
	runs := weightsRuns(opts.Seed)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, runtime.NumCPU()/2))
	for _, w := range runs {
		group.Go(func() error {
			if ctx.Err() == nil {
				w.run()
			}
			return ctx.Err()
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	byName := make(map[string]*weightsRun)
	for i := len(runs) - 1; i >= 0; i-- {
		byName[runs[i].name("")] = runs[i]
		runs[i].print(opts)
	}
	printFlat(opts, byName)
	printClean(opts, byName)
	return nil
}

// Targets of the figures.
const (
	targetTime   = "<=1.25"
	targetFaults = "<=1.6"
	targetCopies = "<=1.05"
	targetFlat   = "<=1.15"
	targetClean  = "<=1.2"
	targetOnce   = "<=1"
	targetNone   = "<=0"
)

func (w *weightsRun) print(opts options) {
	show := func(what string, value float64, unit, target string) {
		figure.Print(opts.Out, w.name(what), value, unit, target)
	}
	planned := w.way != wayAllOrigin && w.way != wayTree
	timeTarget, copiesTarget := "", ""
	if w.way == wayTime || w.way == wayTimePairs {
		timeTarget = targetTime
	}
	if planned && w.faults {
		timeTarget = targetFaults
	}
	if planned && !w.faults {
		copiesTarget = targetCopies
	}
	copies := w.copies()
	if w.way == wayTime {
		copies /= float64(min(w.p.Regions, w.p.VMs))
	}
	show("time_ratio", w.ratio(), "of_bound", timeTarget)
	show("origin", copies, w.copiesUnit(), copiesTarget)
	show("unfinished", float64(w.result.Survivors-w.result.Complete), "vms", targetNone)
	if !planned {
		return
	}
	w.printPlanned(show)
}

func (w *weightsRun) copiesUnit() string {
	if w.way == wayTime {
		return "copies_per_region"
	}
	return "copies"
}

func (w *weightsRun) printPlanned(show func(what string, value float64, unit, target string)) {
	r := w.result
	show("way_ratio", ratioOf(r.Duration, w.p.WayBound()), "of_own_bound", "")
	entered := targetOnce
	if w.faults {
		entered = ""
	}
	show("entered_most", float64(r.MaxEntered), "times", entered)
	show("entered_again", float64(r.ExtraEntered), "chunks", "")
	show("cross", float64(r.CrossBytes)/float64(w.p.ModelBytes), "copies", "")
	most := int64(0)
	for _, n := range r.PairBytes {
		most = max(most, n)
	}
	show("pair_most", float64(most)/float64(w.p.ModelBytes), "copies", "")
	show("messages", r.Messages, "per_vm", "")
	show("planner_cpu", float64(r.PlanTime.Microseconds())/1000, "ms_per_vm", "")
	if w.faults {
		show("full_rate_vms_time_ratio", ratioOf(r.Full, w.p.Bound()), "of_bound", "")
	}
}

// printFlat compares the largest fleet with one of a hundred.
func printFlat(opts options, runs map[string]*weightsRun) {
	for _, way := range []string{wayTime, wayTimePairs, wayOriginBytes} {
		small, large := findRun(runs, way, false, 100), findRun(runs, way, false, 2100)
		figure.Print(opts.Out, "weights_"+way+"_flat", large.ratio()/small.ratio(), "n2100_of_n100", targetFlat)
	}
}

// printClean compares the origin's bytes under faults with the clean run's.
func printClean(opts options, runs map[string]*weightsRun) {
	for _, n := range weightSizes {
		for _, way := range []string{wayTime, wayOriginBytes} {
			clean, faults := findRun(runs, way, false, n), findRun(runs, way, true, n)
			figure.Print(opts.Out, faults.name("origin_of_clean"), faults.copies()/clean.copies(), "of_clean", targetClean)
		}
	}
}

func findRun(runs map[string]*weightsRun, way string, faults bool, n int) *weightsRun {
	key := weightsRun{way: way, faults: faults, p: virtual.Params{VMs: n}}
	return runs[key.name("")]
}
