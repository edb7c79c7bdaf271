package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
	"github.com/waxwingpost/waxwingpost/bench/figure"
)

// Budget of a daemon for control.
const (
	targetProcessor = "<=3.6"
	targetTraffic   = "<=10000"
)

const (
	idleSpan = 10 * time.Second
	// clockTicks is the unit of the times in /proc/PID/stat: it is 100 a second
	// on Linux for all programs.
	clockTicks = 100
)

var idleSizes = []int{10, 20, inForceAgents}

// inForce starts agents in steps, takes the idle figures at each size, and then
// measures until a change is in force on all entries and agents.
func (r *controlRig) inForce(ctx context.Context) error {
	desk, err := r.cluster.StartFake("desk", "plain")
	if err != nil {
		return err
	}
	var agents []*cluster.Process
	for _, size := range idleSizes {
		for len(agents) < size {
			a, err := r.cluster.StartAgent(cluster.AgentSpec{
				Name: fmt.Sprintf("agent-%d", len(agents)+1), Zone: controlZone, Region: controlRegion,
				Service: "members-desk", Backend: desk.Address, Plain: true,
			})
			if err != nil {
				return err
			}
			agents = append(agents, a)
		}
		if err := r.awaitAgents(ctx, agents); err != nil {
			return err
		}
		if err := r.idle(ctx, agents); err != nil {
			return err
		}
	}
	return r.pushToAgents(ctx, agents)
}

// awaitAgents waits until every agent has the current revision in force.
func (r *controlRig) awaitAgents(ctx context.Context, agents []*cluster.Process) error {
	revision, err := r.revision(ctx, r.entries[0])
	if err != nil {
		return err
	}
	_, err = r.awaitInForce(ctx, agents, revision, time.Now())
	return err
}

func (r *controlRig) pushToAgents(ctx context.Context, agents []*cluster.Process) error {
	var all, slowest []time.Duration
	for range inForceChanges {
		before, err := r.revision(ctx, r.entries[0])
		if err != nil {
			return err
		}
		name, content := r.file(r.entries[0], 0)
		begin := time.Now()
		if err := r.cluster.WriteFile(r.entries[0].Name, name, []byte(content)); err != nil {
			return err
		}
		times, err := r.awaitInForce(ctx, agents, before+1, begin)
		if err != nil {
			return err
		}
		all = append(all, times...)
		worst := time.Duration(0)
		for _, t := range times {
			worst = max(worst, t)
		}
		slowest = append(slowest, worst)
	}
	r.printQuantiles(fmt.Sprintf("in_force_a%d", len(agents)), all, targetInForce)
	r.print(fmt.Sprintf("in_force_a%d_slowest_median", len(agents)), median(slowest), "")
	return nil
}

// awaitInForce returns when each entry and agent had the revision in force.
func (r *controlRig) awaitInForce(ctx context.Context, agents []*cluster.Process, revision uint64, begin time.Time) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	times := make([]time.Duration, len(r.entries)+len(agents))
	group, ctx := errgroup.WithContext(ctx)
	for i, e := range r.entries {
		group.Go(func() (err error) {
			times[i], err = r.awaitRevision(ctx, e, revision, begin)
			return err
		})
	}
	for i, a := range agents {
		group.Go(func() error {
			return cluster.Await(ctx, a.Name+" has the revision", func(ctx context.Context) error {
				s, err := r.cluster.AgentStatus(ctx, a)
				if err == nil && s.Revision < revision {
					err = fmt.Errorf("revision %d", s.Revision)
				}
				times[len(r.entries)+i] = time.Since(begin)
				return err
			})
		})
	}
	return times, group.Wait()
}

// usage is what a process has used so far.
type usage struct {
	processor time.Duration
	bytes     int64
}

// idle measures processor and control traffic while nothing changes.
func (r *controlRig) idle(ctx context.Context, agents []*cluster.Process) error {
	groups := []struct {
		name  string
		procs []*cluster.Process
	}{{"entry", r.entries}, {"agent", agents}}
	time.Sleep(time.Second) // The last start is over.
	before := make([]map[string]usage, len(groups))
	for i, g := range groups {
		var err error
		if before[i], err = r.usages(ctx, g.procs); err != nil {
			return err
		}
	}
	begin := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(idleSpan):
	}
	for i, g := range groups {
		after, err := r.usages(ctx, g.procs)
		if err != nil {
			return err
		}
		r.printIdle(g.name, len(agents), before[i], after, time.Since(begin))
	}
	return nil
}

// printIdle writes what the busiest process of a group used.
func (r *controlRig) printIdle(name string, agents int, before, after map[string]usage, span time.Duration) {
	var processor, traffic float64
	for p, u := range after {
		processor = max(processor, 100*(u.processor-before[p].processor).Seconds()/span.Seconds())
		traffic = max(traffic, float64(u.bytes-before[p].bytes)/span.Seconds())
	}
	prefix := fmt.Sprintf("control_idle_%s_a%d", name, agents)
	figure.Print(r.opts.Out, prefix+"_processor_max", processor, "percent_of_core", targetProcessor)
	figure.Print(r.opts.Out, prefix+"_traffic_max", traffic, "bytes_per_second", targetTraffic)
}

func (r *controlRig) usages(ctx context.Context, procs []*cluster.Process) (map[string]usage, error) {
	all := make(map[string]usage, len(procs))
	for _, p := range procs {
		var dump struct {
			Links struct {
				Out int64 `json:"bytes_out"`
				In  int64 `json:"bytes_in"`
			} `json:"links"`
		}
		if err := r.cluster.State(ctx, p, &dump); err != nil {
			return nil, err
		}
		used, err := processorTime(p.Pid())
		if err != nil {
			return nil, err
		}
		all[p.Name] = usage{processor: used, bytes: dump.Links.Out + dump.Links.In}
	}
	return all, nil
}

// processorTime reads the processor time of a process from /proc.
func processorTime(pid int) (time.Duration, error) {
	const userField, systemField = 11, 12 // counted after the program's name
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	var ticks int64
	for _, i := range []int{userField, systemField} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}
