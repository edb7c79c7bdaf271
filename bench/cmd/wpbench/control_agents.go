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

// Budget of one process for control while idle: percent of a core and bytes per
// second.
const (
	targetCPU     = "<=3.6"
	targetTraffic = "<=10000"
)

const (
	idleDuration = 10 * time.Second
	// ticksPerSecond is the unit of the times in /proc/PID/stat, which is 100 per
	// second on Linux for all programs.
	ticksPerSecond = 100
)

var idleAgentCounts = []int{10, 20, inForceAgents}

// measureInForce starts agents in steps, measures the idle cost after each step,
// and then measures the time until a change is in force on all entries and agents.
func (r *controlRig) measureInForce(ctx context.Context) error {
	plainService, err := r.cluster.StartFake("desk", "plain")
	if err != nil {
		return err
	}
	var agents []*cluster.Process
	for _, size := range idleAgentCounts {
		for len(agents) < size {
			a, err := r.cluster.StartAgent(cluster.AgentSpec{
				Name: fmt.Sprintf("agent-%d", len(agents)+1), Zone: controlZone, Region: controlRegion,
				Service: "members-desk", Backend: plainService.Address, Plain: true,
			})
			if err != nil {
				return err
			}
			agents = append(agents, a)
		}
		if err := r.awaitAgents(ctx, agents); err != nil {
			return err
		}
		if err := r.measureIdle(ctx, agents); err != nil {
			return err
		}
	}
	return r.measurePropagation(ctx, agents)
}

// awaitAgents waits until all agents have the current revision in force.
func (r *controlRig) awaitAgents(ctx context.Context, agents []*cluster.Process) error {
	revision, err := r.revision(ctx, r.entries[0])
	if err != nil {
		return err
	}
	_, err = r.awaitInForce(ctx, agents, revision, time.Now())
	return err
}

func (r *controlRig) measurePropagation(ctx context.Context, agents []*cluster.Process) error {
	var all, slowest []time.Duration
	for range inForceChanges {
		oldRevision, err := r.revision(ctx, r.entries[0])
		if err != nil {
			return err
		}
		name, content := r.nextFile(r.entries[0], 0)
		start := time.Now()
		if err := r.cluster.WriteFile(r.entries[0].Name, name, []byte(content)); err != nil {
			return err
		}
		times, err := r.awaitInForce(ctx, agents, oldRevision+1, start)
		if err != nil {
			return err
		}
		all = append(all, times...)
		longest := time.Duration(0)
		for _, t := range times {
			longest = max(longest, t)
		}
		slowest = append(slowest, longest)
	}
	r.printQuantiles(fmt.Sprintf("in_force_a%d", len(agents)), all, targetInForce)
	r.print(fmt.Sprintf("in_force_a%d_slowest_median", len(agents)), median(slowest), "")
	return nil
}

// awaitInForce returns the time from start until each entry and agent had the
// revision in force.
func (r *controlRig) awaitInForce(ctx context.Context, agents []*cluster.Process, revision uint64, start time.Time) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	times := make([]time.Duration, len(r.entries)+len(agents))
	group, ctx := errgroup.WithContext(ctx)
	for i, e := range r.entries {
		group.Go(func() (err error) {
			times[i], err = r.awaitRevision(ctx, e, revision, start)
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
				times[len(r.entries)+i] = time.Since(start)
				return err
			})
		})
	}
	return times, group.Wait()
}

// usage is the CPU time and control traffic of a process since its start.
type usage struct {
	cpu   time.Duration
	bytes int64
}

// measureIdle measures CPU time and control traffic while nothing changes.
func (r *controlRig) measureIdle(ctx context.Context, agents []*cluster.Process) error {
	groups := []struct {
		name  string
		procs []*cluster.Process
	}{{"entry", r.entries}, {"agent", agents}}
	time.Sleep(time.Second) // Lets the last started agents become idle.
	before := make([]map[string]usage, len(groups))
	for i, g := range groups {
		var err error
		if before[i], err = r.readUsage(ctx, g.procs); err != nil {
			return err
		}
	}
	start := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(idleDuration):
	}
	for i, g := range groups {
		after, err := r.readUsage(ctx, g.procs)
		if err != nil {
			return err
		}
		r.printIdle(g.name, len(agents), before[i], after, time.Since(start))
	}
	return nil
}

// printIdle writes the maximum CPU and traffic usage among the processes of a group.
func (r *controlRig) printIdle(name string, agents int, before, after map[string]usage, duration time.Duration) {
	var cpu, traffic float64
	for p, u := range after {
		cpu = max(cpu, 100*(u.cpu-before[p].cpu).Seconds()/duration.Seconds())
		traffic = max(traffic, float64(u.bytes-before[p].bytes)/duration.Seconds())
	}
	prefix := fmt.Sprintf("control_idle_%s_a%d", name, agents)
	figure.Print(r.opts.Out, prefix+"_processor_max", cpu, "percent_of_core", targetCPU)
	figure.Print(r.opts.Out, prefix+"_traffic_max", traffic, "bytes_per_second", targetTraffic)
}

func (r *controlRig) readUsage(ctx context.Context, procs []*cluster.Process) (map[string]usage, error) {
	all := make(map[string]usage, len(procs))
	for _, p := range procs {
		var state struct {
			Links struct {
				Out int64 `json:"bytes_out"`
				In  int64 `json:"bytes_in"`
			} `json:"links"`
		}
		if err := r.cluster.State(ctx, p, &state); err != nil {
			return nil, err
		}
		cpu, err := cpuTime(p.Pid())
		if err != nil {
			return nil, err
		}
		all[p.Name] = usage{cpu: cpu, bytes: state.Links.Out + state.Links.In}
	}
	return all, nil
}

// cpuTime reads the CPU time of a process from /proc.
func cpuTime(pid int) (time.Duration, error) {
	const userField, systemField = 11, 12 // indexes after the program name
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, stat, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(stat)
	var ticks int64
	for _, i := range []int{userField, systemField} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}
