package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
	"github.com/waxwingpost/waxwingpost/bench/fakes"
)

const (
	draftingBytes = 4 << 20
	casebookBytes = 1 << 20
	// pairRate is the rate in bytes per second that the example leaves for transfers
	// between a pair of regions: 20 Mbit/s minus the share of live requests.
	pairRate   = 2_500_000 * 0.4
	chunkBytes = 256 << 10
	// originRate, in bytes per second, sends four copies of the drafting model in
	// two seconds.
	originRate  = 2 * draftingBytes
	localFile   = "90-local.yaml"
	visitorFile = "95-visitor.yaml"
)

// demo is one run of the demo.
type demo struct {
	args  cli
	dir   string
	out   io.Writer
	start time.Time

	cluster      *cluster.Cluster
	caller       *cluster.Caller
	origin       *cluster.Process
	plainService *cluster.Process
	drafting     []*cluster.Process
	casebook     []*cluster.Process
	plainAgent   *cluster.Process
	engines      []*cluster.Process
	revision     uint64
}

// step is one part of the demo.
type step struct {
	name string
	run  func(context.Context) error
}

func (d *demo) run(ctx context.Context) error {
	c, err := cluster.New(cluster.Options{
		Bin: d.args.Bin, Dir: d.dir, JoinKey: "demo-key",
		Entries: []cluster.EntrySpec{
			{Name: "entry-1", Zone: "ernakulam-a", Region: "ernakulam"},
			{Name: "entry-2", Zone: "thrissur-a", Region: "thrissur"},
			{Name: "entry-3", Zone: "kozhikode-a", Region: "kozhikode"},
		},
	})
	if err != nil {
		return err
	}
	d.cluster, d.caller = c, cluster.NewCaller()
	defer func() {
		c.Close()
		d.printf("all processes have exited")
	}()
	steps := []step{
		{"start", d.startAll},
		{"first push", d.firstPush},
		{"requests", d.runRequests},
		{"filings", d.runFilings},
		{"rollout", d.runRollout},
		{"removal", d.removeAccount},
		{"planned stop", d.plannedStop},
		{"check of the fake engines", d.checkEngines},
		{"stop of all", d.stopAll},
	}
	for _, s := range steps {
		d.printf("== %s", s.name)
		if err := s.run(ctx); err != nil {
			return errors.Wrap(err, s.name)
		}
	}
	return nil
}

// startAll starts 18 processes: 3 entries, 6 engines, a plain service, 7 agents and
// the weight origin.
func (d *demo) startAll(ctx context.Context) error {
	if err := d.cluster.StartEntries(); err != nil {
		return err
	}
	var err error
	d.origin, err = d.cluster.StartFake("origin", "origin",
		"--version", fmt.Sprintf("/weights/drafting-1=%d", draftingBytes),
		"--version", fmt.Sprintf("/weights/drafting-2=%d", draftingBytes),
		"--version", fmt.Sprintf("/weights/casebook-1=%d", casebookBytes),
		"--chunk-bytes", fmt.Sprint(chunkBytes), "--bytes-per-second", fmt.Sprint(originRate))
	if err != nil {
		return err
	}
	zones := [][2]string{
		{"ernakulam-a", "ernakulam"},
		{"ernakulam-b", "ernakulam"},
		{"thrissur-a", "thrissur"},
		{"kozhikode-a", "kozhikode"},
		{"thrissur-b", "thrissur"},
		{"kozhikode-b", "kozhikode"},
	}
	for i, zone := range zones {
		if err := d.startEngine(i, zone[0], zone[1]); err != nil {
			return err
		}
	}
	if d.plainService, err = d.cluster.StartFake("desk", "plain"); err != nil {
		return err
	}
	d.plainAgent, err = d.cluster.StartAgent(cluster.AgentSpec{
		Name: "agent-desk", Zone: "ernakulam-b", Region: "ernakulam",
		Service: "members-desk", Backend: d.plainService.Address, Plain: true,
	})
	if err != nil {
		return err
	}
	for _, p := range d.cluster.Processes() {
		if err := cluster.Await(ctx, p.Name+" answers", func(ctx context.Context) error { return d.checkAlive(ctx, p) }); err != nil {
			return err
		}
	}
	d.printf("%d processes are running: 3 entries in three regions, 7 agents, 6 engines, 1 plain service, 1 weight origin", len(d.cluster.Processes()))
	return nil
}

func (d *demo) checkAlive(ctx context.Context, p *cluster.Process) error {
	if isFake(p) {
		var stats map[string]any
		return d.cluster.Stats(ctx, p, &stats)
	}
	return d.cluster.Alive(ctx, p)
}

func isFake(p *cluster.Process) bool {
	switch p.Name[:min(len(p.Name), 5)] {
	case "entry", "agent":
		return false
	default:
		return true
	}
}

// startEngine starts an engine and its agent. The first four serve drafting, the
// other two casebook.
func (d *demo) startEngine(i int, zone, region string) error {
	service, args := "drafting", []string(nil)
	if i >= 4 {
		service, args = "casebook", []string{"--fencing-ignored"}
	}
	engine, err := d.cluster.StartFake(fmt.Sprintf("engine-%d", i+1), "engine", append(args, "--token-time", "4ms")...)
	if err != nil {
		return err
	}
	d.engines = append(d.engines, engine)
	agent, err := d.cluster.StartAgent(cluster.AgentSpec{
		Name: fmt.Sprintf("agent-%d", i+1), Zone: zone, Region: region, Service: service, Backend: engine.Address,
	})
	if err != nil {
		return err
	}
	if i >= 4 {
		d.casebook = append(d.casebook, agent)
	} else {
		d.drafting = append(d.drafting, agent)
	}
	return nil
}

// localConfig returns the file that adapts the example to the processes of the demo.
func (d *demo) localConfig(version string) []byte {
	return fmt.Appendf(nil, `# Adapts the example to the demo's processes.
sources:
  origin: {address: "%s", bytes_per_second: %d}
  store: {address: "%s", bytes_per_second: %d}
versions:
  drafting-2: {model: drafting, path: /weights/drafting-2}
services:
  drafting: {version: %s, min_serving: 3}
  casebook: {min_serving: 1}
`, d.origin.Address, originRate, d.origin.Address, originRate, version)
}

// firstPush writes the configuration files and waits until every engine serves.
func (d *demo) firstPush(ctx context.Context) error {
	files, err := filepath.Glob(filepath.Join(d.args.Examples, "*.yaml"))
	if err != nil || len(files) == 0 {
		return errors.Newf("no files in %s: %v", d.args.Examples, err)
	}
	start := time.Now()
	if err := d.cluster.WriteFile("entry-1", localFile, d.localConfig("drafting-1")); err != nil {
		return err
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := d.cluster.WriteFile("entry-1", filepath.Base(file), content); err != nil {
			return err
		}
	}
	if err := d.cluster.WriteFile("entry-1", visitorFile, []byte("accounts:\n  visitor: {share: 1}\n")); err != nil {
		return err
	}
	d.printf("wrote %d files into the folder of entry-1", len(files)+2)
	if err := d.awaitConfig(ctx, len(files)+2); err != nil {
		return err
	}
	d.printf("accepted: revision %d is in force on all entries", d.revision)
	d.figure("files_in_force", time.Since(start).Seconds(), "s", "<=13")
	if err := d.cluster.AwaitServing(ctx, "drafting-1", d.drafting...); err != nil {
		return err
	}
	if err := d.cluster.AwaitServing(ctx, "casebook-1", d.casebook...); err != nil {
		return err
	}
	d.printf("weights are fetched, verified and loaded: 6 of 6 engines serve")
	d.figure("time_to_6_replicas", time.Since(start).Seconds(), "s", "")
	d.figure("time_to_6_replicas_link_bound", float64(draftingBytes+casebookBytes)/pairRate, "s", "")
	return d.reportOrigin(ctx, "origin_copies_first_push", 3*draftingBytes+2*casebookBytes)
}

// reportOrigin prints how many bytes the origin has sent, also relative to one copy
// per region.
func (d *demo) reportOrigin(ctx context.Context, name string, minBytes int64) error {
	var stats fakes.OriginStats
	if err := d.cluster.Stats(ctx, d.origin, &stats); err != nil {
		return err
	}
	d.printf("the origin has sent %d bytes; one copy per region is %d", stats.ContentBytes, minBytes)
	d.figure("origin_bytes", float64(stats.ContentBytes), "B", "")
	d.figure(name, float64(stats.ContentBytes)/float64(minBytes), "copies_per_region", "<=1.05")
	return nil
}

// awaitConfig waits until all entries have the same new revision and all files.
func (d *demo) awaitConfig(ctx context.Context, files int) error {
	return cluster.Await(ctx, "the change in force on all entries", func(ctx context.Context) error {
		var revision uint64
		for i, p := range d.cluster.Entries() {
			var state struct {
				State struct {
					Revision uint64 `json:"revision"`
					Files    []struct {
						Name string `json:"name"`
					} `json:"files"`
				} `json:"state"`
			}
			if err := d.cluster.State(ctx, p, &state); err != nil {
				return err
			}
			if i == 0 {
				revision = state.State.Revision
			}
			if state.State.Revision != revision || len(state.State.Files) != files || revision <= d.revision {
				return errors.Newf("%s has %d files at revision %d: %s", p.Name, len(state.State.Files), state.State.Revision, d.statusFile(p))
			}
		}
		d.revision = revision
		return nil
	})
}

// statusFile returns the content of the status file next to an entry's folder.
func (d *demo) statusFile(p *cluster.Process) string {
	text, err := os.ReadFile(d.cluster.Folder(p.Name) + ".status.yaml")
	if err != nil {
		return err.Error()
	}
	return string(text)
}
