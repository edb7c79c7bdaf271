package folder

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/control/state"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// cluster is a control.Store without consensus: one log and, for each VM, a
// state machine that applies it.
type cluster struct {
	mu       sync.Mutex
	log      []control.Command
	machines []*state.Machine
	// lagging marks machines to which the log is not applied.
	lagging map[any]bool
	// loseResults is how many of the next proposals are decided but fail for the
	// caller.
	loseResults int
	// stallNext is how many of the next commands go to stalled undecided.
	stallNext int
	stalled   []control.Command
	down      bool
	// primary applies every command immediately and provides the results.
	primary *state.Machine
}

func (c *cluster) primaryMachine() *state.Machine {
	if c.primary == nil {
		c.primary = state.New(state.Options{})
	}
	return c.primary
}

func digestText(content string) string {
	return manifest.Sum([]byte(content)).String()
}

func (c *cluster) machine() *state.Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := state.New(state.Options{})
	c.machines = append(c.machines, m)
	c.apply()
	return m
}

func (c *cluster) apply() {
	for _, m := range c.machines {
		for int(m.AppliedIndex()) < len(c.log) && !c.lagging[m] {
			next := m.AppliedIndex() + 1
			m.Apply(next, 1, c.log[next-1])
		}
	}
}

func (c *cluster) Propose(_ context.Context, cmd control.Command) (control.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return control.Result{}, result.New(result.NoQuorum, "down")
	}
	if c.stallNext > 0 {
		c.stallNext--
		c.stalled = append(c.stalled, cmd)
		return control.Result{}, result.New(result.ProposalLost, "stalled")
	}
	res := c.appendAndApply(cmd)
	if c.loseResults > 0 {
		c.loseResults--
		return control.Result{}, result.New(result.ProposalLost, "lost")
	}
	return res, nil
}

func (c *cluster) Barrier(context.Context) error {
	if c.down {
		return result.New(result.NoQuorum, "down")
	}
	return nil
}
func (c *cluster) InQuorum() bool { return !c.down }
func (c *cluster) IsLeader() bool { return true }

// vm is a VM with a folder and a watcher.
type vm struct {
	t       testing.TB
	name    string
	root    string
	cluster *cluster
	machine *state.Machine
	clock   *clockwork.FakeClock
	watcher *Watcher
}

func newVM(t testing.TB, c *cluster, name string) *vm {
	t.Helper()
	v := &vm{t: t, name: name, root: t.TempDir(), cluster: c, machine: c.machine(), clock: clockwork.NewFakeClock()}
	for _, dir := range []string{"conf", "data"} {
		if err := os.Mkdir(filepath.Join(v.root, dir), 0o755); err != nil {
			t.Fatal(err)
		}
	}
	v.restart()
	return v
}

// restart creates a new watcher on the same folder and data folder.
func (v *vm) restart() {
	v.watcher = New(Config{Path: v.path(), DataDir: filepath.Join(v.root, "data"), VM: v.name},
		v.cluster, v.machine, v.clock, slog.New(slog.DiscardHandler), tally.NoopScope)
}

func (v *vm) path(name ...string) string {
	return filepath.Join(append([]string{v.root, "conf"}, name...)...)
}

// run performs the steps that follow an edit: one that sees it, one that finds
// it stable and proposes it, and one that acts on the decision.
func (v *vm) run() {
	for range 3 {
		v.watcher.Step(context.Background())
		v.clock.Advance(DefaultSettleTime + time.Second)
	}
}

func (v *vm) write(name, content string) {
	v.t.Helper()
	if err := os.WriteFile(v.path(name), []byte(content), 0o644); err != nil {
		v.t.Fatal(err)
	}
}

func (v *vm) remove(name string) {
	v.t.Helper()
	if err := os.Remove(v.path(name)); err != nil {
		v.t.Fatal(err)
	}
}

func (v *vm) read(name string) string {
	content, err := os.ReadFile(v.path(name))
	if err != nil {
		return ""
	}
	return string(content)
}

func (v *vm) change(name string) ChangeStatus {
	for _, c := range v.watcher.Status().Changes {
		if c.File == name {
			return c
		}
	}
	return ChangeStatus{}
}

func (v *vm) wantChange(name, decision string, code result.Code) ChangeStatus {
	v.t.Helper()
	c := v.change(name)
	if c.Decision != decision || c.Code != int(code) {
		v.t.Errorf("%s: %s is %+v, want %s %d", v.name, name, c, decision, code)
	}
	return c
}

func (v *vm) wantFile(name, content string) {
	v.t.Helper()
	if got := v.read(name); got != content {
		v.t.Errorf("%s: %s holds %q, want %q", v.name, name, got, content)
	}
}

const (
	contentA = "priorities: {a: 1}\n"
	contentB = "priorities: {a: 2}\n"
	contentC = "priorities: {a: 3}\n"
)

func TestAcceptedEditIsWrittenToEveryFolder(t *testing.T) {
	c := &cluster{}
	one, two := newVM(t, c, "entry-1"), newVM(t, c, "entry-2")
	one.write("10-a.yaml", contentA)
	one.run()
	two.run()
	one.wantChange("10-a.yaml", decisionAccepted, result.OK)
	two.wantFile("10-a.yaml", contentA)
	two.write("10-a.yaml", contentB)
	two.run()
	one.run()
	one.wantFile("10-a.yaml", contentB)
	one.write("20-b.yaml", "priorities: {b: 1}\n")
	one.run()
	two.run()
	two.remove("10-a.yaml")
	two.run()
	one.run()
	one.wantFile("10-a.yaml", "")
	if _, revision := one.machine.Config(); revision != 4 {
		t.Errorf("revision %d, want 4", revision)
	}
	status, err := os.ReadFile(one.path() + ".status.yaml")
	if err != nil || !strings.Contains(string(status), "accepted_at_revision: 3") {
		t.Errorf("status file: %v\n%s", err, status)
	}
}

func TestConcurrentEditsOfOneFileConflict(t *testing.T) {
	c := &cluster{}
	one, two := newVM(t, c, "entry-1"), newVM(t, c, "entry-2")
	one.write("a.yaml", contentA)
	one.run()
	two.run()
	one.write("a.yaml", contentB)
	two.write("a.yaml", contentC)
	one.run()
	two.run()
	one.wantChange("a.yaml", decisionAccepted, result.OK)
	refused := two.wantChange("a.yaml", decisionRefused, result.EditConflict)
	two.wantFile("a.yaml", contentB)
	kept, err := os.ReadFile(refused.KeptPath)
	if err != nil || string(kept) != contentC {
		t.Errorf("kept %q: %v", kept, err)
	}
}

func TestStaleFolderIsNotProposed(t *testing.T) {
	c := &cluster{}
	one, two := newVM(t, c, "entry-1"), newVM(t, c, "entry-2")
	one.write("a.yaml", contentA)
	one.write("b.yaml", "priorities: {b: 1}\n")
	one.run()
	two.run()
	one.write("a.yaml", contentB)
	one.remove("b.yaml")
	one.run()
	decided := len(c.log)
	two.restart()
	two.run()
	if len(c.log) != decided {
		t.Errorf("the stale folder was proposed: %+v", c.log[decided:])
	}
	two.wantFile("a.yaml", contentB)
	two.wantFile("b.yaml", "")
	if _, revision := two.machine.Config(); revision != 2 {
		t.Errorf("revision %d, want 2", revision)
	}
}

func TestEmptyFolderIsNotProposedAsRemoval(t *testing.T) {
	c := &cluster{}
	one := newVM(t, c, "entry-1")
	one.write("a.yaml", contentA)
	one.run()
	one.remove("a.yaml")
	one.run()
	if code := one.watcher.Status().Folder.Code; code != int(result.FolderSuspicious) {
		t.Errorf("folder code %d", code)
	}
	for range 10 {
		one.run()
	}
	one.wantFile("a.yaml", contentA)
	if _, revision := one.machine.Config(); revision != 1 {
		t.Errorf("revision %d, want 1", revision)
	}
}

func TestEditWithLostResultIsOneRevision(t *testing.T) {
	c := &cluster{}
	one := newVM(t, c, "entry-1")
	one.write("a.yaml", contentA)
	c.loseResults = 2
	one.run()
	one.restart()
	one.run()
	one.wantChange("a.yaml", decisionAccepted, result.OK)
	if _, revision := one.machine.Config(); revision != 1 {
		t.Errorf("revision %d, want 1", revision)
	}
}
