// Package chaos runs the whole system as processes, breaks it by a seeded
// schedule while callers and operators go on, and judges what they were told
// against what the stand-ins counted. The system's own word counts for
// nothing.
package chaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
	"github.com/waxwingpost/waxwingpost/bench/fakes"
)

const (
	weightBytes = 2 << 20
	chunkBytes  = 64 << 10
	version     = "model-1"
	nextVersion = "model-2"
	engines     = 4
	// settleTime bounds how long the system may take to be whole again after
	// the last fault.
	settleTime = 60 * time.Second
)

// Options set a run.
type Options struct {
	Seed uint64
	// Bin is the folder with the built binaries.
	Bin string
	// Duration is how long faults go on.
	Duration time.Duration
	// Callers is the number of concurrent callers of each kind.
	Callers int
	// Out takes one line for each fault.
	Out io.Writer
}

// Report is the verdict of a run.
type Report struct {
	Faults   int
	Chats    int
	ChatsBad int
	// ChatsUnreachable counts calls of an entry that was down, which a
	// balancer would have spared the caller; ChatsFailed those that an entry
	// refused or cut with notice, ChatsCut those that broke off without.
	ChatsUnreachable int
	ChatsFailed      int
	ChatsCut         int
	Filings          int
	// Doubled counts filings that ran more than once; Denied those that ran
	// although the caller was told that they did not; Lost those that were
	// answered and did not run; Crossed answers of another filing.
	Doubled int
	Denied  int
	Lost    int
	Crossed int
	Unknown int
	Edits   int
	// EditsLost counts accepted edits that are not in force at the end.
	EditsLost int
	// Reverts counts readings of a lower revision than before on a process.
	Reverts int
	// BadLoads counts loads of partial or mixed weights, WhileLoading requests
	// that reached an engine without ready weights.
	BadLoads     int
	WhileLoading int
	// Settled is how long the system took to be whole after the last fault.
	Settled time.Duration
	Notes   []string
}

// Sound reports whether no promise was broken.
func (r *Report) Sound() bool {
	return r.ChatsBad+r.Doubled+r.Denied+r.Lost+r.Crossed+r.EditsLost+r.Reverts+r.BadLoads+r.WhileLoading == 0
}

// site is the running system.
type site struct {
	opts    Options
	cluster *cluster.Cluster
	caller  *cluster.Caller
	origin  *cluster.Process
	desk    *cluster.Process
	engines []*cluster.Process
	agents  []*cluster.Process
	deskAg  *cluster.Process
}

// Run runs one schedule and judges it.
func Run(ctx context.Context, opts Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "wpchaos-")
	if err != nil {
		return nil, err
	}
	s, err := start(ctx, opts, dir)
	if err != nil {
		return nil, errors.Wrapf(err, "logs are in %s", dir)
	}
	report, err := s.run(ctx)
	s.cluster.Close()
	if err != nil {
		return report, errors.Wrapf(err, "logs are in %s", dir)
	}
	if !report.Sound() {
		report.Notes = append(report.Notes, "logs are in "+dir)
		return report, nil
	}
	return report, os.RemoveAll(dir)
}

func start(ctx context.Context, opts Options, dir string) (*site, error) {
	c, err := cluster.New(cluster.Options{
		Bin: opts.Bin, Dir: dir, JoinKey: "chaos",
		Entries: []cluster.EntrySpec{
			{Name: "entry-1", Zone: "z1", Region: "r1"},
			{Name: "entry-2", Zone: "z2", Region: "r2"},
			{Name: "entry-3", Zone: "z3", Region: "r3"},
		},
	})
	if err != nil {
		return nil, err
	}
	s := &site{opts: opts, cluster: c, caller: cluster.NewCaller()}
	if err := s.startProcesses(); err != nil {
		c.Close()
		return nil, err
	}
	if err := s.configure(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return s, nil
}

func (s *site) startProcesses() error {
	if err := s.cluster.StartEntries(); err != nil {
		return err
	}
	var err error
	s.origin, err = s.cluster.StartFake("origin", "origin",
		"--version", fmt.Sprintf("/w/1=%d", weightBytes),
		"--version", fmt.Sprintf("/w/2=%d", weightBytes),
		"--chunk-bytes", fmt.Sprint(chunkBytes))
	if err != nil {
		return err
	}
	for i := range engines {
		if err := s.startEngine(i); err != nil {
			return err
		}
	}
	// A filing takes long enough that most faults hit some in progress.
	if s.desk, err = s.cluster.StartFake("desk", "plain", "--delay", "50ms"); err != nil {
		return err
	}
	s.deskAg, err = s.cluster.StartAgent(cluster.AgentSpec{
		Name: "agent-desk", Zone: "z1", Region: "r1", Service: "desk", Backend: s.desk.Address, Plain: true,
	})
	return err
}

func (s *site) startEngine(i int) error {
	args := []string{"--token-time", "2ms"}
	if i%2 == 1 {
		args = append(args, "--fencing-ignored")
	}
	e, err := s.cluster.StartFake(fmt.Sprintf("engine-%d", i+1), "engine", args...)
	if err != nil {
		return err
	}
	zone := i%3 + 1
	a, err := s.cluster.StartAgent(cluster.AgentSpec{
		Name: fmt.Sprintf("agent-%d", i+1), Zone: fmt.Sprintf("z%d", zone), Region: fmt.Sprintf("r%d", zone),
		Service: "draft", Backend: e.Address,
	})
	s.engines, s.agents = append(s.engines, e), append(s.agents, a)
	return err
}

const baseFile = "10-base.yaml"

func (s *site) base(serving string) []byte {
	return fmt.Appendf(nil, `zones: {z1: {region: r1}, z2: {region: r2}, z3: {region: r3}}
control: {voters: [entry-1, entry-2, entry-3]}
sources: {origin: {kind: origin, address: "%s", zone: z1}}
versions:
  model-1: {model: draft, path: /w/1}
  model-2: {model: draft, path: /w/2}
priorities: {high: 10, low: 1}
services:
  draft: {kind: engine, version: %s, fencing: ignored, min_serving: 2}
  desk:
    kind: plain
    routes: [{method: POST, path: /file, repeatable: false, priority: high}]
accounts: {members: {share: 1}}
requests: {default_deadline: 20s, key_retention: 1h, retry_share: 0.5}
weights: {objective: time}
`, s.origin.Address, serving)
}

func (s *site) configure(ctx context.Context) error {
	if err := s.cluster.WriteFile("entry-1", baseFile, s.base(version)); err != nil {
		return err
	}
	return s.cluster.AwaitServing(ctx, version, s.agents...)
}

// run lets callers, operators, watchers and faults go on together.
func (s *site) run(ctx context.Context) (*Report, error) {
	report := &Report{}
	workCtx, stop := context.WithCancel(ctx)
	defer stop()
	chats, filings, edits, watch := newChats(s), newFilings(s), newEdits(s), newWatch(s)
	var group errgroup.Group
	for i := range s.opts.Callers {
		group.Go(func() error { chats.run(workCtx, s.rand(100+uint64(i))); return nil })
		group.Go(func() error { filings.run(workCtx, i, s.rand(200+uint64(i))); return nil })
	}
	group.Go(func() error { edits.run(workCtx, s.rand(300)); return nil })
	group.Go(func() error { watch.run(workCtx); return nil })
	faults := &schedule{site: s, rnd: s.rand(1)}
	err := faults.run(ctx, s.opts.Duration)
	report.Faults = faults.count
	healed := time.Now()
	if err == nil {
		err = s.awaitWhole(ctx)
	}
	report.Settled = time.Since(healed)
	stop()
	_ = group.Wait()
	if err != nil {
		return report, err
	}
	watch.judge(report)
	chats.judge(report)
	if err := filings.judge(ctx, report); err != nil {
		return report, err
	}
	if err := edits.judge(ctx, report); err != nil {
		return report, err
	}
	return report, s.judgeEngines(ctx, report)
}

func (s *site) rand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.opts.Seed, stream))
}

// awaitWhole waits until every entry is ready and every engine serves.
func (s *site) awaitWhole(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for _, p := range s.cluster.Entries() {
		err := cluster.Await(ctx, p.Name+" is ready", func(ctx context.Context) error { return s.cluster.Ready(ctx, p) })
		if err != nil {
			return err
		}
	}
	for _, p := range s.agents {
		err := cluster.Await(ctx, p.Name+" serves", func(ctx context.Context) error {
			status, err := s.cluster.AgentStatus(ctx, p)
			if err == nil && status.Serving == "" {
				err = errors.Newf("%s serves nothing: %d %s", p.Name, status.Code, status.Detail)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *site) judgeEngines(ctx context.Context, report *Report) error {
	for _, p := range s.engines {
		var stats fakes.EngineStats
		if err := s.cluster.Stats(ctx, p, &stats); err != nil {
			return err
		}
		report.BadLoads += stats.BadLoads
		report.WhileLoading += stats.WhileNotReady
		if stats.WhileNotReady > 0 {
			report.Notes = append(report.Notes, fmt.Sprintf("%s got %d requests without ready weights", p.Name, stats.WhileNotReady))
		}
	}
	return nil
}
