package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// costShares are the loads, as shares of the capacity, at which the CPU time of a
// request is measured.
var costShares = []float64{0.2, 0.4, 0.8}

// measureCosts measures the CPU time that entries and agents spend on one request
// and its stream, at three loads. CAPACITY.md derives its slopes from these
// figures.
func (r *requestsRun) measureCosts(ctx context.Context) error {
	for _, share := range costShares {
		before, err := r.cpuTimes()
		if err != nil {
			return err
		}
		t := traffic{account: "a", model: "letters", perSecond: share * r.capacity, stream: true, seed: r.opts.Seed}
		res := r.runThroughEntries(ctx, t, window)
		after, err := r.cpuTimes()
		if err != nil {
			return err
		}
		name := fmt.Sprintf("cost_at_%g_", share)
		r.figure(name+"requests", float64(res.good), "count", "")
		for _, role := range []string{"entry", "agent"} {
			cpu := after[role] - before[role]
			r.figure(name+role+"_cpu", millis(cpu)/float64(max(1, res.good)), "ms_per_request", "")
		}
	}
	return nil
}

// cpuTimes returns the total CPU time of the processes of each role.
func (r *requestsRun) cpuTimes() (map[string]time.Duration, error) {
	times := make(map[string]time.Duration)
	for _, p := range r.rig.cluster.Processes() {
		role, _, _ := strings.Cut(p.Name, "-")
		if role != "entry" && role != "agent" {
			continue
		}
		cpu, err := cpuTime(p.Pid())
		if err != nil {
			return nil, err
		}
		times[role] += cpu
	}
	return times, nil
}
