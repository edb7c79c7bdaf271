// Package chaos runs the whole system as processes, injects faults from a seeded
// schedule under load from callers and operators, and compares the responses
// that they received with the counters of the fake servers. It does not trust
// what the system reports about itself.
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
	weightBytes   = 2 << 20
	chunkBytes    = 64 << 10
	firstVersion  = "model-1"
	secondVersion = "model-2"
	engineCount   = 4
	// recoveryTimeout bounds how long the system may take to become healthy again
	// after the last fault.
	recoveryTimeout = 60 * time.Second
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Bin is the folder with the built binaries.
	Bin string
	// Duration is how long faults are injected.
	Duration time.Duration
	// Callers is the number of concurrent callers of each kind.
	Callers int
	// Out receives one line for each fault.
	Out io.Writer
}

// Report is the result of a run.
type Report struct {
	Faults     int
	Chats      int
	ChatsWrong int
	// ChatsUnreachable counts calls to an entry that was down, which a load
	// balancer would have avoided. ChatsFailed counts calls that an entry refused
	// or ended with an explicit error, ChatsCut those whose connection was lost
	// without one.
	ChatsUnreachable int
	ChatsFailed      int
	ChatsCut         int
	Filings          int
	// FilingsDuplicated counts filings that ran more than once,
	// FilingsRunAfterRefusal those that ran although the caller was told that they
	// had not, FilingsLost those that were answered but did not run, and
	// FilingsMisrouted those that got the answer to another filing.
	FilingsDuplicated      int
	FilingsRunAfterRefusal int
	FilingsLost            int
	FilingsMisrouted       int
	FilingsUnknown         int
	EditsAccepted          int
	// EditsLost counts accepted edits that are not in force at the end of the run.
	EditsLost int
	// RevisionReverts counts how often a process reported a lower revision than
	// before.
	RevisionReverts int
	// BadLoads counts loads of partial or mixed weights, RequestsWhileLoading the
	// requests that reached an engine whose weights were not ready.
	BadLoads             int
	RequestsWhileLoading int
	// RecoveryTime is how long the system took to become healthy after the last
	// fault.
	RecoveryTime time.Duration
	Notes        []string
}

// Passed reports whether no guarantee was violated.
func (r *Report) Passed() bool {
	return r.ChatsWrong+r.FilingsDuplicated+r.FilingsRunAfterRefusal+r.FilingsLost+r.FilingsMisrouted+r.EditsLost+r.RevisionReverts+r.BadLoads+r.RequestsWhileLoading == 0
}

// system is the running system under test.
type system struct {
	opts         Options
	cluster      *cluster.Cluster
	caller       *cluster.Caller
	origin       *cluster.Process
	plainService *cluster.Process
	engines      []*cluster.Process
	agents       []*cluster.Process
	plainAgent   *cluster.Process
}

// Run runs one fault schedule and checks the guarantees. If it fails after the start
// of the system, it returns the report so far together with the error.
func Run(ctx context.Context, opts Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "wpchaos-")
	if err != nil {
		return nil, err
	}
	sys, err := startSystem(ctx, opts, dir)
	if err != nil {
		return nil, errors.Wrapf(err, "logs in %s", dir)
	}
	report, err := sys.run(ctx)
	sys.cluster.Close()
	if err != nil {
		return report, errors.Wrapf(err, "logs in %s", dir)
	}
	if !report.Passed() {
		report.Notes = append(report.Notes, "logs in "+dir)
		return report, nil
	}
	return report, os.RemoveAll(dir)
}

func startSystem(ctx context.Context, opts Options, dir string) (*system, error) {
	cl, err := cluster.New(cluster.Options{
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
	sys := &system{opts: opts, cluster: cl, caller: cluster.NewCaller()}
	if err := sys.startProcesses(); err != nil {
		cl.Close()
		return nil, err
	}
	if err := sys.configure(ctx); err != nil {
		cl.Close()
		return nil, err
	}
	return sys, nil
}

func (s *system) startProcesses() error {
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
	for i := range engineCount {
		if err := s.startEngine(i); err != nil {
			return err
		}
	}
	// The delay is long enough that most faults occur while filings are in
	// progress.
	if s.plainService, err = s.cluster.StartFake("desk", "plain", "--delay", "50ms"); err != nil {
		return err
	}
	s.plainAgent, err = s.cluster.StartAgent(cluster.AgentSpec{
		Name: "agent-desk", Zone: "z1", Region: "r1", Service: "desk", Backend: s.plainService.Address, Plain: true,
	})
	return err
}

func (s *system) startEngine(i int) error {
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

func (s *system) baseConfig(serving string) []byte {
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

func (s *system) configure(ctx context.Context) error {
	if err := s.cluster.WriteFile("entry-1", baseFile, s.baseConfig(firstVersion)); err != nil {
		return err
	}
	return s.cluster.AwaitServing(ctx, firstVersion, s.agents...)
}

// run runs the callers, the operators and the revision watcher while it injects
// faults.
func (s *system) run(ctx context.Context) (*Report, error) {
	report := &Report{}
	workCtx, stop := context.WithCancel(ctx)
	defer stop()
	chats, filings, edits, revisions := newChatLoad(s), newFilingLoad(s), newEditLoad(s), newWatcher(s)
	var group errgroup.Group
	for i := range s.opts.Callers {
		group.Go(func() error { chats.run(workCtx, s.newRand(100+uint64(i))); return nil })
		group.Go(func() error { filings.run(workCtx, i, s.newRand(200+uint64(i))); return nil })
	}
	group.Go(func() error { edits.run(workCtx, s.newRand(300)); return nil })
	group.Go(func() error { revisions.run(workCtx); return nil })
	faults := &faultInjector{sys: s, rnd: s.newRand(1)}
	err := faults.run(ctx, s.opts.Duration)
	report.Faults = faults.count
	faultsEnd := time.Now()
	if err == nil {
		err = s.awaitHealthy(ctx)
	}
	report.RecoveryTime = time.Since(faultsEnd)
	stop()
	_ = group.Wait()
	if err != nil {
		return report, err
	}
	revisions.addTo(report)
	chats.addTo(report)
	if err := filings.addTo(ctx, report); err != nil {
		return report, err
	}
	if err := edits.addTo(ctx, report); err != nil {
		return report, err
	}
	return report, s.checkEngines(ctx, report)
}

func (s *system) newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.opts.Seed, stream))
}

// awaitHealthy waits until every entry is ready and every engine serves a version.
func (s *system) awaitHealthy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
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
				err = errors.Newf("%s serves no version: code %d %s", p.Name, status.Code, status.Detail)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *system) checkEngines(ctx context.Context, report *Report) error {
	for _, p := range s.engines {
		var stats fakes.EngineStats
		if err := s.cluster.Stats(ctx, p, &stats); err != nil {
			return err
		}
		report.BadLoads += stats.BadLoads
		report.RequestsWhileLoading += stats.RequestsWhileNotReady
		if stats.RequestsWhileNotReady > 0 {
			report.Notes = append(report.Notes, fmt.Sprintf("%s received %d requests while its weights were not ready", p.Name, stats.RequestsWhileNotReady))
		}
	}
	return nil
}
