package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// costShares are the loads, as parts of the capacity, at which the processor
// time of a request is measured.
var costShares = []float64{0.2, 0.4, 0.8}

// costs measures the processor time that entries and agents spend on one
// request and on one token of its stream, at three loads: slopes for
// CAPACITY.md.
func (r *requestsRun) costs(ctx context.Context) error {
	for _, share := range costShares {
		before, err := r.processorTimes()
		if err != nil {
			return err
		}
		t := traffic{account: "a", model: "letters", perSecond: share * r.capacity, stream: true, seed: r.opts.Seed}
		c := r.through(ctx, t, windowTime)
		after, err := r.processorTimes()
		if err != nil {
			return err
		}
		name := fmt.Sprintf("cost_at_%g_", share)
		r.figure(name+"requests", float64(c.good), "count", "")
		for _, role := range []string{"entry", "agent"} {
			used := after[role] - before[role]
			r.figure(name+role+"_cpu", millis(used)/float64(max(1, c.good)), "ms_per_request", "")
		}
	}
	return nil
}

// processorTimes sums the processor time of all processes of each role.
func (r *requestsRun) processorTimes() (map[string]time.Duration, error) {
	times := make(map[string]time.Duration)
	for _, p := range r.rig.cluster.Processes() {
		role, _, _ := strings.Cut(p.Name, "-")
		if role != "entry" && role != "agent" {
			continue
		}
		used, err := processorTime(p.Pid())
		if err != nil {
			return nil, err
		}
		times[role] += used
	}
	return times, nil
}
