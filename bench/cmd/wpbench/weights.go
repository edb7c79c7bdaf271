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
		Help: "time to N replicas and origin bytes over virtual links, compared with two baselines.",
		Run:  runWeights,
	})
}

// Transfer modes: the planner's objectives and two baselines.
const (
	modeTime          = "time"         // objective time, no capacity between regions: each region pulls its own copy
	modeTimePairs     = "time_pairs"   // objective time, 20 Mb/s between each pair of regions
	modeOriginBytes   = "origin_bytes" // objective origin-bytes, 20 Mb/s between each pair of regions
	modeAllFromOrigin = "all_from_origin"
	modeFixedTree     = "fixed_tree"
)

// minPairRate, in bytes per second, effectively disables transfers between regions.
// Zero would mean that they are unlimited.
const minPairRate = 1

var vmCounts = []int{10, 100, 500, 2100}

// weightsRun is one run and its result.
type weightsRun struct {
	mode   string
	faults bool
	params virtual.Params
	result virtual.Result
}

func (w *weightsRun) figureName(metric string) string {
	name := "weights_" + w.mode
	if w.faults {
		name += "_faults"
	}
	return fmt.Sprintf("%s_%s_n%d", name, metric, w.params.VMs)
}

func (w *weightsRun) run() {
	switch w.mode {
	case modeAllFromOrigin:
		w.result = virtual.RunAllFromOrigin(w.params)
	case modeFixedTree:
		w.result = virtual.RunTree(w.params)
	default:
		w.result = virtual.Run(w.params)
	}
}

func (w *weightsRun) timeRatio() float64 { return durationRatio(w.result.Duration, w.params.Bound()) }

func (w *weightsRun) originCopies() float64 {
	return float64(w.result.OriginBytes) / float64(w.params.ModelBytes)
}

func durationRatio(d, bound time.Duration) float64 { return float64(d) / float64(bound) }

func weightsRuns(seed uint64) []*weightsRun {
	var runs []*weightsRun
	for i := len(vmCounts) - 1; i >= 0; i-- {
		for _, mode := range []string{modeTime, modeTimePairs, modeOriginBytes, modeFixedTree, modeAllFromOrigin} {
			for _, faults := range []bool{false, true} {
				if faults && (mode == modeAllFromOrigin || mode == modeTimePairs) {
					continue
				}
				runs = append(runs, newWeightsRun(seed, vmCounts[i], mode, faults))
			}
		}
	}
	return runs
}

func newWeightsRun(seed uint64, n int, mode string, faults bool) *weightsRun {
	p := virtual.DefaultParams(n)
	p.Seed = seed
	switch mode {
	case modeOriginBytes:
		p.Objective = config.ObjectiveOriginBytes
	case modeTimePairs:
	default:
		p.PairBytesPerSecond = minPairRate
	}
	if faults {
		p = p.WithFaults()
	}
	return &weightsRun{mode: mode, faults: faults, params: p}
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
		byName[runs[i].figureName("")] = runs[i]
		runs[i].print(opts)
	}
	printScaling(opts, byName)
	printFaultOverhead(opts, byName)
	return nil
}

// Targets of the weights experiments.
const (
	targetTime          = "<=1.25"
	targetFaults        = "<=1.6"
	targetCopies        = "<=1.05"
	targetScaling       = "<=1.15"
	targetFaultOverhead = "<=1.2"
	targetRegionCopies  = "<=1"
	targetNone          = "<=0"
)

func (w *weightsRun) print(opts options) {
	printFigure := func(what string, value float64, unit, target string) {
		figure.Print(opts.Out, w.figureName(what), value, unit, target)
	}
	planned := w.mode != modeAllFromOrigin && w.mode != modeFixedTree
	timeTarget, copiesTarget := "", ""
	if w.mode == modeTime || w.mode == modeTimePairs {
		timeTarget = targetTime
	}
	if planned && w.faults {
		timeTarget = targetFaults
	}
	if planned && !w.faults {
		copiesTarget = targetCopies
	}
	copies := w.originCopies()
	if w.mode == modeTime {
		copies /= float64(min(w.params.Regions, w.params.VMs))
	}
	printFigure("time_ratio", w.timeRatio(), "of_bound", timeTarget)
	printFigure("origin", copies, w.copiesUnit(), copiesTarget)
	printFigure("unfinished", float64(w.result.Survivors-w.result.Complete), "vms", targetNone)
	if !planned {
		return
	}
	w.printPlanned(printFigure)
}

func (w *weightsRun) copiesUnit() string {
	if w.mode == modeTime {
		return "copies_per_region"
	}
	return "copies"
}

func (w *weightsRun) printPlanned(printFigure func(what string, value float64, unit, target string)) {
	r := w.result
	printFigure("way_ratio", durationRatio(r.Duration, w.params.PlannedBound()), "of_own_bound", "")
	target := targetRegionCopies
	if w.faults {
		target = ""
	}
	printFigure("entered_most", float64(r.MaxRegionCopies), "times", target)
	printFigure("entered_again", float64(r.ExtraRegionCopies), "chunks", "")
	printFigure("cross", float64(r.CrossRegionBytes)/float64(w.params.ModelBytes), "copies", "")
	busiestPair := int64(0)
	for _, n := range r.PairBytes {
		busiestPair = max(busiestPair, n)
	}
	printFigure("pair_most", float64(busiestPair)/float64(w.params.ModelBytes), "copies", "")
	printFigure("messages", r.Messages, "per_vm", "")
	printFigure("planner_cpu", float64(r.PlanTime.Microseconds())/1000, "ms_per_vm", "")
	if w.faults {
		printFigure("full_rate_vms_time_ratio", durationRatio(r.FullRateDuration, w.params.Bound()), "of_bound", "")
	}
}

// printScaling compares the largest fleet with one of 100 VMs.
func printScaling(opts options, runs map[string]*weightsRun) {
	for _, mode := range []string{modeTime, modeTimePairs, modeOriginBytes} {
		small, large := findRun(runs, mode, false, 100), findRun(runs, mode, false, 2100)
		figure.Print(opts.Out, "weights_"+mode+"_flat", large.timeRatio()/small.timeRatio(), "n2100_of_n100", targetScaling)
	}
}

// printFaultOverhead compares the origin bytes of a run with faults with those of
// the run without.
func printFaultOverhead(opts options, runs map[string]*weightsRun) {
	for _, n := range vmCounts {
		for _, mode := range []string{modeTime, modeOriginBytes} {
			clean, faulty := findRun(runs, mode, false, n), findRun(runs, mode, true, n)
			figure.Print(opts.Out, faulty.figureName("origin_of_clean"), faulty.originCopies()/clean.originCopies(), "of_clean", targetFaultOverhead)
		}
	}
}

func findRun(runs map[string]*weightsRun, mode string, faults bool, n int) *weightsRun {
	key := weightsRun{mode: mode, faults: faults, params: virtual.Params{VMs: n}}
	return runs[key.figureName("")]
}
