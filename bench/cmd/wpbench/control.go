package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
	"github.com/waxwingpost/waxwingpost/bench/figure"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

func init() {
	register(experiment{
		Name: "control",
		Help: "control state of 3 and 5 entries as processes: acceptance, leader failover, restarts.",
		Run:  runControl,
	})
	register(experiment{
		Name: "control-agents",
		Help: "3 entries and up to 40 agents as processes: idle cost, and the time until a change is in force.",
		Run:  runControlAgents,
	})
}

// Targets of the control experiments in milliseconds.
const (
	targetAccept   = "<=250"
	targetInForce  = "<=2000"
	targetFailover = "<=3000"
	targetRestart  = "<=2000"
)

const (
	acceptChanges   = 40
	failoverRounds  = 5
	restartChanges  = 500
	restartFiles    = 20
	inForceChanges  = 20
	inForceAgents   = 40
	pollInterval    = 5 * time.Millisecond
	changeTimeout   = 30 * time.Second
	controlZone     = "z1"
	controlRegion   = "r1"
	controlBaseFile = "00-base.yaml"
)

// controlRig is the cluster of entries that is measured.
type controlRig struct {
	opts      options
	cluster   *cluster.Cluster
	entries   []*cluster.Process
	dir       string
	editCount int
}

func runControl(ctx context.Context, opts options) error {
	for _, n := range []int{3, 5} {
		err := withControlRig(ctx, opts, n, func(r *controlRig) error {
			return errors.CombineErrors(r.measureAccept(ctx), errors.CombineErrors(r.measureFailover(ctx), r.measureRestart(ctx)))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func runControlAgents(ctx context.Context, opts options) error {
	return withControlRig(ctx, opts, 3, func(r *controlRig) error { return r.measureInForce(ctx) })
}

// withControlRig runs measure on a new control set of n entries.
func withControlRig(ctx context.Context, opts options, n int, measure func(*controlRig) error) error {
	rig, err := newControlRig(ctx, opts, n)
	if err != nil {
		return err
	}
	defer rig.close()
	return measure(rig)
}

func newControlRig(ctx context.Context, opts options, n int) (*controlRig, error) {
	dir, err := os.MkdirTemp("", "wpbench-control")
	if err != nil {
		return nil, err
	}
	var entries []cluster.EntrySpec
	for i := range n {
		entries = append(entries, cluster.EntrySpec{Name: fmt.Sprintf("entry-%d", i+1), Zone: controlZone, Region: controlRegion})
	}
	c, err := cluster.New(cluster.Options{Bin: opts.Bin, Dir: dir, Entries: entries})
	if err != nil {
		return nil, err
	}
	rig := &controlRig{opts: opts, cluster: c, entries: c.Entries(), dir: dir}
	if err := c.StartEntries(); err != nil {
		return nil, err
	}
	if err := rig.bootstrap(ctx); err != nil {
		rig.close()
		return nil, err
	}
	return rig, nil
}

// bootstrap writes the first configuration of the new cluster and waits until all
// entries are ready.
func (r *controlRig) bootstrap(ctx context.Context) error {
	for _, e := range r.entries {
		alive := func(ctx context.Context) error { return r.cluster.Alive(ctx, e) }
		if err := cluster.Await(ctx, e.Name+" answers", alive); err != nil {
			return err
		}
	}
	base := fmt.Sprintf("zones:\n  %s: {region: %s}\n", controlZone, controlRegion)
	if _, err := r.change(ctx, r.entries[0], controlBaseFile, base); err != nil {
		return err
	}
	return r.awaitReady(ctx)
}

func (r *controlRig) close() {
	r.cluster.Close()
	_ = os.RemoveAll(r.dir)
}

func (r *controlRig) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	return r.cluster.AwaitReady(ctx, r.entries...)
}

// print writes a figure whose name ends with the number of replicas.
func (r *controlRig) print(name string, value time.Duration, target string) {
	name = fmt.Sprintf("control_%s_r%d", name, len(r.entries))
	figure.Print(r.opts.Out, name, float64(value.Microseconds())/1000, "ms", target)
}

// printQuantiles writes the median and the 99th percentile. The target applies to
// the percentile.
func (r *controlRig) printQuantiles(name string, times []time.Duration, target string) {
	slices.Sort(times)
	r.print(name+"_p50", times[(len(times)-1)/2], "")
	r.print(name+"_p99", times[(len(times)*99+99)/100-1], target)
}

// nextFile returns the name and new content of one of an entry's files. Each entry
// edits only its own files, so that an edit never conflicts with a file that is
// being copied from another entry into the folder.
func (r *controlRig) nextFile(entry *cluster.Process, number int) (name, content string) {
	r.editCount++
	account := fmt.Sprintf("%s-%d", entry.Name, number)
	return account + ".yaml", fmt.Sprintf("accounts:\n  %s: {share: %d}\n", account, r.editCount)
}

// edit changes a file of an entry and waits until the change is in force there.
func (r *controlRig) edit(ctx context.Context, entry *cluster.Process) (time.Duration, error) {
	name, content := r.nextFile(entry, 0)
	return r.change(ctx, entry, name, content)
}

// change writes a file and waits until the entry has it in force.
func (r *controlRig) change(ctx context.Context, entry *cluster.Process, file, content string) (time.Duration, error) {
	oldRevision, err := r.revision(ctx, entry)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if err := r.cluster.WriteFile(entry.Name, file, []byte(content)); err != nil {
		return 0, err
	}
	return r.awaitRevision(ctx, entry, oldRevision+1, start)
}

// revision returns the revision in force on an entry and retries until it responds.
func (r *controlRig) revision(ctx context.Context, entry *cluster.Process) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err = cluster.Await(ctx, entry.Name+" reports its revision", func(ctx context.Context) (err error) {
		revision, err = r.cluster.Revision(ctx, entry)
		return err
	})
	return revision, err
}

// awaitRevision waits until an entry has a revision in force and returns the time
// since start.
func (r *controlRig) awaitRevision(ctx context.Context, entry *cluster.Process, want uint64, start time.Time) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var got uint64
	var lastErr error
	for ctx.Err() == nil {
		if got, lastErr = r.cluster.Revision(ctx, entry); lastErr == nil && got >= want {
			return time.Since(start), nil
		}
		time.Sleep(pollInterval)
	}
	return 0, errors.Newf("%s is at revision %d, want %d: %v", entry.Name, got, want, lastErr)
}

// measureAccept measures the time from an operator's edit until the change is in
// force on that entry.
func (r *controlRig) measureAccept(ctx context.Context) error {
	var times []time.Duration
	for i := range acceptChanges {
		elapsed, err := r.edit(ctx, r.entries[i%len(r.entries)])
		if err != nil {
			return err
		}
		times = append(times, elapsed)
		if err := r.awaitSameRevision(ctx); err != nil {
			return err
		}
	}
	r.printQuantiles("edit_to_force", times, targetAccept)
	return nil
}

// awaitSameRevision waits until all entries have the same revision in force.
func (r *controlRig) awaitSameRevision(ctx context.Context) error {
	revision, err := r.revision(ctx, r.entries[0])
	if err != nil {
		return err
	}
	for _, e := range r.entries {
		got, err := r.revision(ctx, e)
		if err != nil {
			return err
		}
		revision = max(revision, got)
	}
	for _, e := range r.entries {
		if _, err := r.awaitRevision(ctx, e, revision, time.Now()); err != nil {
			return err
		}
	}
	return nil
}

// measureFailover measures the time from a kill -9 of the leader to the next
// accepted change.
func (r *controlRig) measureFailover(ctx context.Context) error {
	var times []time.Duration
	for range failoverRounds {
		leader, err := r.cluster.Leader(ctx)
		if err != nil {
			return err
		}
		other := r.entries[0]
		if other == leader {
			other = r.entries[1]
		}
		start := time.Now()
		if err := leader.Kill(); err != nil {
			return err
		}
		if _, err := r.edit(ctx, other); err != nil {
			return err
		}
		times = append(times, time.Since(start))
		if err := leader.Restart(); err != nil {
			return err
		}
		if err := r.awaitReady(ctx); err != nil {
			return err
		}
	}
	r.print("failover_median", median(times), "")
	r.print("failover_max", slices.Max(times), targetFailover)
	return nil
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// measureRestart makes many changes and measures how long one entry, then all
// entries, take from their start until they are ready with the same revision.
func (r *controlRig) measureRestart(ctx context.Context) error {
	for range restartChanges / restartFiles {
		if err := r.changeFiles(ctx); err != nil {
			return err
		}
	}
	revision, err := r.revision(ctx, r.entries[0])
	if err != nil {
		return err
	}
	for _, c := range []struct {
		name    string
		entries []*cluster.Process
	}{{"restart_one", r.entries[:1]}, {"restart_all", r.entries}} {
		elapsed, err := r.restartEntries(ctx, c.entries, revision)
		if err != nil {
			return err
		}
		r.print(fmt.Sprintf("%s_after_%d", c.name, restartChanges), elapsed, targetRestart)
	}
	return nil
}

// changeFiles edits several files of one entry at once and waits until all of the
// files are accepted.
func (r *controlRig) changeFiles(ctx context.Context) error {
	entry := r.entries[r.editCount/restartFiles%len(r.entries)]
	want := map[string]manifest.Digest{}
	for i := range restartFiles {
		name, content := r.nextFile(entry, i)
		want[name] = manifest.Sum([]byte(content))
		if err := r.cluster.WriteFile(entry.Name, name, []byte(content)); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	accepted := func(ctx context.Context) error { return r.checkFiles(ctx, entry, want) }
	if err := cluster.Await(ctx, entry.Name+" accepted its files", accepted); err != nil {
		return err
	}
	return r.awaitSameRevision(ctx)
}

// checkFiles returns nil when the entry has accepted all of the wanted files.
func (r *controlRig) checkFiles(ctx context.Context, entry *cluster.Process, want map[string]manifest.Digest) error {
	var state struct {
		State struct {
			Files []struct {
				Name   string          `json:"name"`
				Digest manifest.Digest `json:"digest"`
			} `json:"files"`
		} `json:"state"`
	}
	if err := r.cluster.State(ctx, entry, &state); err != nil {
		return err
	}
	found := 0
	for _, f := range state.State.Files {
		if digest, ok := want[f.Name]; ok && digest == f.Digest {
			found++
		}
	}
	if found < len(want) {
		return errors.Newf("%d of %d files accepted", found, len(want))
	}
	return nil
}

func (r *controlRig) restartEntries(ctx context.Context, entries []*cluster.Process, revision uint64) (time.Duration, error) {
	for _, e := range entries {
		if err := e.Kill(); err != nil {
			return 0, err
		}
	}
	start := time.Now()
	for _, e := range entries {
		if err := e.Restart(); err != nil {
			return 0, err
		}
	}
	if err := r.awaitReady(ctx); err != nil {
		return 0, err
	}
	elapsed := time.Since(start)
	for _, e := range entries {
		if got, err := r.cluster.Revision(ctx, e); err != nil || got != revision {
			return 0, errors.Newf("%s restarted at revision %d, want %d: %v", e.Name, got, revision, err)
		}
	}
	return elapsed, nil
}
