package e2e

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
)

const (
	seed        = 20261203
	testTimeout = 150 * time.Second
	weightBytes = 1 << 20
	mainFile    = "10-main.yaml"
	// fencingIgnored makes stand-in engines take old orders.
	fencingIgnored = "--fencing-ignored"
)

// bin holds the binaries that TestMain built.
var bin string

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "e2e-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	cmd := exec.Command("go", "build", "-o", dir+"/", "./cmd/...", "./bench/cmd/wpfake")
	cmd.Dir = filepath.Join("..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	bin = dir
	return m.Run()
}

// site is a small deployment: three entries, some engines and a plain
// service, each with its agent.
type site struct {
	t      *testing.T
	ctx    context.Context
	rnd    *rand.Rand
	caller *cluster.Caller
	*cluster.Cluster

	// fencing tells whether the engines refuse old fences.
	fencing string
	// written is the content that edit wrote last.
	written []byte

	origin, desk, deskAgent *cluster.Process
	engines, agents         []*cluster.Process
}

var zones = [3]string{"z1", "z2", "z3"}

func region(i int) string { return fmt.Sprintf("r%d", i%3+1) }

// newSite starts a site with n engines that serve version v1.
func newSite(t *testing.T, n int, engineArgs ...string) *site {
	t.Helper()
	t.Logf("seed %d; repeat: go test ./bench/e2e -run '^%s$'", seed, t.Name())
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	opts := cluster.Options{Bin: bin, Dir: t.TempDir(), JoinKey: "e2e"}
	for i, zone := range zones {
		opts.Entries = append(opts.Entries, cluster.EntrySpec{Name: fmt.Sprintf("entry-%d", i+1), Zone: zone, Region: region(i)})
	}
	c, err := cluster.New(opts)
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, ctx: ctx, rnd: rand.New(rand.NewPCG(seed, 1)), caller: cluster.NewCaller(), Cluster: c, fencing: "enforced"}
	if slices.Contains(engineArgs, fencingIgnored) {
		s.fencing = "ignored"
	}
	t.Cleanup(s.close)
	s.must(c.StartEntries())
	s.origin = s.fake("origin", "origin", "--version", fmt.Sprintf("/v1=%d", weightBytes),
		"--version", fmt.Sprintf("/v2=%d", weightBytes), "--chunk-bytes", "65536")
	s.desk = s.fake("desk", "plain", "--delay", "5ms")
	s.deskAgent = s.agent("agent-desk", 0, "desk", s.desk, true)
	for i := range n {
		e := s.fake(fmt.Sprintf("engine-%d", i), "engine", engineArgs...)
		s.engines = append(s.engines, e)
		s.agents = append(s.agents, s.agent(fmt.Sprintf("agent-%d", i), i, "drafting", e, false))
	}
	for _, p := range c.Entries() {
		s.must(cluster.Await(ctx, p.Name+" answers", func(ctx context.Context) error { return c.Alive(ctx, p) }))
	}
	s.edit("entry-1", "v1", 0)
	s.must(c.AwaitReady(ctx, append(c.Entries(), s.deskAgent)...))
	s.must(c.AwaitServing(ctx, "v1", s.agents...))
	s.awaitDesk()
	return s
}

func (s *site) close() {
	if s.t.Failed() || os.Getenv("E2E_LOGS") != "" {
		for _, p := range s.Processes() {
			log := p.Log()
			s.t.Logf("==== %s\n%s", p.Name, log[max(0, len(log)-6000):])
		}
	}
	s.Close()
}

func (s *site) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) fake(name, kind string, args ...string) *cluster.Process {
	s.t.Helper()
	p, err := s.StartFake(name, kind, args...)
	s.must(err)
	return p
}

func (s *site) agent(name string, i int, service string, backend *cluster.Process, plain bool) *cluster.Process {
	s.t.Helper()
	p, err := s.StartAgent(cluster.AgentSpec{
		Name: name, Zone: zones[i%3], Region: region(i), Service: service, Backend: backend.Address, Plain: plain,
	})
	s.must(err)
	return p
}

// edit writes the configuration into an entry's folder, once the folder holds
// the content of the edit before: else this one would be made upon an older
// content, and refused.
func (s *site) edit(entry, version string, note int) {
	s.t.Helper()
	path := filepath.Join(s.Folder(entry), mainFile)
	s.must(cluster.Await(s.ctx, "the last edit in the folder of "+entry, func(context.Context) error {
		have, err := os.ReadFile(path)
		if s.written != nil && !bytes.Equal(have, s.written) {
			return fmt.Errorf("%s holds %d other bytes: %w", path, len(have), err)
		}
		return nil
	}))
	s.written = fmt.Appendf(nil, `# change %d
zones: {z1: {region: r1}, z2: {region: r2}, z3: {region: r3}}
control: {voters: [entry-1, entry-2, entry-3]}
sources: {origin: {kind: origin, address: "%s", zone: z1}}
versions:
  v1: {model: drafting, path: /v1}
  v2: {model: drafting, path: /v2}
priorities: {normal: 10}
services:
  drafting: {kind: engine, version: %s, fencing: %s, min_serving: 1}
  desk:
    kind: plain
    routes:
      - {method: POST, path: /v1/filings, repeatable: false, priority: normal}
      - {method: GET, path: /v1/filings/, repeatable: true, priority: normal}
accounts: {stewards: {share: 4}, note-%d: {share: 1}}
requests: {default_deadline: 20s, key_retention: 1h, retry_share: 0.2}
`, note, s.origin.Address, version, s.fencing, note)
	s.must(s.WriteFile(entry, mainFile, s.written))
}

// awaitDesk waits until every entry reaches the plain service.
func (s *site) awaitDesk() {
	s.t.Helper()
	for _, p := range s.Entries() {
		s.must(cluster.Await(s.ctx, "the desk through "+p.Name, func(ctx context.Context) error {
			out := s.caller.Plain(ctx, p.Address, cluster.PlainCall{Account: "stewards", Method: "GET", Path: "/v1/filings/x"})
			if out.Err == nil && out.Status != 200 {
				out.Err = fmt.Errorf("status %d code %d", out.Status, out.Code)
			}
			return out.Err
		}))
	}
}

// awaitRevision waits until all entries hold the same revision, at least min.
func (s *site) awaitRevision(min uint64) uint64 {
	s.t.Helper()
	var revision uint64
	s.must(cluster.Await(s.ctx, "one revision on all entries", func(ctx context.Context) error {
		for i, p := range s.Entries() {
			r, err := s.Revision(ctx, p)
			if err != nil {
				return err
			}
			if i == 0 {
				revision = r
			}
			if r != revision || r < min {
				return fmt.Errorf("%s is at %d, not %d or %d", p.Name, r, revision, min)
			}
		}
		return nil
	}))
	return revision
}

// pause waits between two faults. Nothing is judged by it.
func (s *site) pause(from, to time.Duration) {
	timer := time.NewTimer(from + time.Duration(s.rnd.Int64N(int64(to-from))))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}
