package folder

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control/node"
	"github.com/waxwingpost/waxwingpost/process/control/state"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// fabric joins replicas in one process. Messages run in goroutines of their
// own and so overtake each other; cut links lose them.
type fabric struct {
	mu    sync.Mutex
	nodes map[string]*node.Node
	cut   map[[2]string]bool
}

func (f *fabric) target(from, to string) (*node.Node, wire.Hello) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[[2]string{from, to}] || f.nodes[to] == nil || f.nodes[from] == nil {
		return nil, wire.Hello{}
	}
	return f.nodes[to], wire.Hello{Protocol: wire.Version, Role: wire.RoleEntry, Name: from, Replica: f.nodes[from].Replica()}
}

// isolate cuts a VM's links: both ways, or only those from or to it.
func (f *fabric) isolate(name string, out, in bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = map[[2]string]bool{}
	for other := range f.nodes {
		if other != name {
			f.cut[[2]string{name, other}], f.cut[[2]string{other, name}] = out, in
		}
	}
}

// port is one VM's transport.
type port struct {
	fabric *fabric
	name   string
}

func (p port) Notify(to string, kind wire.Kind, msg any) error {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return err
	}
	go func() {
		if n, hello := p.fabric.target(p.name, to); n != nil {
			n.Notify(hello, kind, body)
		}
	}()
	return nil
}

func (p port) Call(ctx context.Context, to string, kind wire.Kind, req, resp any) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	n, hello := p.fabric.target(p.name, to)
	if n == nil {
		return result.New(result.LinkLost, "cut")
	}
	answer, err := n.Call(ctx, hello, kind, body)
	if err != nil {
		return err
	}
	if n, _ := p.fabric.target(to, p.name); n == nil {
		return result.New(result.LinkLost, "the answer was lost")
	}
	if body, err = cbor.Marshal(answer); err != nil || resp == nil {
		return err
	}
	return cbor.Unmarshal(body, resp)
}

// site is one VM with a replica, a folder and its operator.
type site struct {
	t       *testing.T
	name    string
	root    string
	node    *node.Node
	machine *state.Machine
	// mu keeps an operator's reading and saving of a file in one piece; an
	// editor that saves over what it has not read is not covered here.
	mu      sync.Mutex
	watcher *Watcher
}

func (s *site) newWatcher() {
	s.watcher = New(Config{
		Path: filepath.Join(s.root, "conf"), DataDir: filepath.Join(s.root, "data"), VM: s.name,
		Settle: 10 * time.Millisecond, ScanEvery: 100 * time.Millisecond, RetryEvery: 100 * time.Millisecond,
		ProposeTimeout: 700 * time.Millisecond,
	}, s.node, s.machine, clockwork.NewRealClock(), slog.New(slog.DiscardHandler), tally.NoopScope)
}

func (s *site) watch(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		pause := s.watcher.Step(ctx)
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(max(pause, time.Millisecond)):
		}
	}
}

// save edits a file as an operator does and returns the operation's start.
func (s *site) save(file, content string) porcupine.Operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	path := filepath.Join(s.root, "conf", file)
	base, _ := os.ReadFile(path)
	op := porcupine.Operation{Call: time.Now().UnixNano(), Input: fileEdit{file: file, base: string(base), content: content}}
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		s.t.Error(err)
	}
	return op
}

// await reads the status until it tells the verdict.
func (s *site) await(ctx context.Context, op *porcupine.Operation) bool {
	in := op.Input.(fileEdit)
	for ctx.Err() == nil {
		s.mu.Lock()
		status := s.watcher.Status()
		s.mu.Unlock()
		for _, c := range status.Changes {
			if c.File == in.file && c.Digest == digestText(in.content) && c.Verdict != verdictUndecided {
				if c.Verdict == verdictRefused && c.Code != int(result.EditConflict) {
					s.t.Errorf("%s: %+v", s.name, c)
				}
				op.Return, op.Output = time.Now().UnixNano(), editVerdict{accepted: c.Verdict == verdictAccepted}
				return true
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	s.t.Errorf("%s: no verdict on %+v", s.name, in)
	return false
}

const replicatedSeed = 4

// TestOperatorsRaceOverReplicas runs operators at three replicas whose links
// are cut, one way and both ways, the leader's too, while watchers restart.
func TestOperatorsRaceOverReplicas(t *testing.T) {
	t.Logf("seed %d", replicatedSeed)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	f := &fabric{nodes: map[string]*node.Node{}}
	names := []string{"entry-1", "entry-2", "entry-3"}
	var sites []*site
	var running sync.WaitGroup
	for i, name := range names {
		s := &site{t: t, name: name, root: t.TempDir(), machine: state.New(state.Options{})}
		for _, dir := range []string{"conf", "data"} {
			if err := os.Mkdir(filepath.Join(s.root, dir), 0o755); err != nil {
				t.Fatal(err)
			}
		}
		cfg := node.Config{Name: name, DataDir: filepath.Join(s.root, "data"), Peers: names, Bootstrap: names}
		n, err := node.New(cfg, s.machine, port{f, name}, clockwork.NewRealClock(), rand.New(rand.NewPCG(replicatedSeed, uint64(i))),
			slog.New(slog.DiscardHandler), tally.NoopScope)
		if err != nil {
			t.Fatal(err)
		}
		s.node = n
		s.newWatcher()
		sites = append(sites, s)
		f.nodes[name] = n
	}
	for _, s := range sites {
		running.Go(func() {
			if err := s.node.Run(ctx); err != nil && ctx.Err() == nil {
				t.Error(err)
			}
		})
		running.Go(func() { s.watch(ctx) })
	}
	history := raceOver(ctx, t, f, sites)
	cancel()
	running.Wait()
	if verdict := porcupine.CheckOperationsTimeout(fileModel, history, time.Minute); verdict != porcupine.Ok {
		t.Errorf("history is %s", verdict)
		for _, op := range history {
			t.Logf("%d..%d client %d: %+v -> %+v", op.Call, op.Return, op.ClientId, op.Input, op.Output)
		}
	}
}

// raceOver has an operator at each site while faults come and go, and returns
// the history with a last look at each folder.
func raceOver(ctx context.Context, t *testing.T, f *fabric, sites []*site) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	var operators sync.WaitGroup
	const edits = 12
	for client, s := range sites {
		operators.Go(func() {
			for i := range edits {
				content := fmt.Sprintf("priorities: {p%d-%d: 1}\n", client, i)
				op := s.save([]string{"a.yaml", "b.yaml"}[i/2%2], content)
				op.ClientId = client
				if !s.await(ctx, &op) {
					return
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { injectFaults(f, sites, stop) })
	operators.Wait()
	close(stop)
	faults.Wait()
	f.isolate("", false, false)
	var last uint64
	for _, s := range sites {
		if err := s.node.Barrier(ctx); err != nil {
			t.Error(err)
		}
		if _, revision := s.machine.Config(); revision > last {
			last = revision
		}
	}
	for _, s := range sites {
		history = append(history, s.look(ctx, last)...)
	}
	accepted := 0
	for _, op := range history {
		if op.Output.(editVerdict).accepted {
			accepted++
		}
	}
	t.Logf("%d edits, %d accepted, revision %d", len(sites)*edits, accepted, last)
	return history
}

// injectFaults isolates one VM after the other and restarts watchers.
func injectFaults(f *fabric, sites []*site, stop <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(replicatedSeed, 99))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+rnd.IntN(900)) * time.Millisecond):
		}
		s := sites[rnd.IntN(len(sites))]
		for _, leader := range sites {
			if leader.node.IsLeader() && rnd.IntN(2) == 0 {
				s = leader
			}
		}
		switch rnd.IntN(5) {
		case 0:
			f.isolate(s.name, true, true)
		case 1:
			f.isolate(s.name, true, false)
		case 2:
			f.isolate(s.name, false, true)
		case 3:
			s.mu.Lock()
			s.newWatcher()
			s.mu.Unlock()
		default:
			f.isolate("", false, false)
		}
	}
}

// look reads both files once the folder holds the revision.
func (s *site) look(ctx context.Context, revision uint64) []porcupine.Operation {
	for ctx.Err() == nil {
		s.mu.Lock()
		if s.watcher.Status().InStep >= revision {
			break
		}
		s.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	if ctx.Err() != nil {
		s.t.Errorf("%s never held revision %d: %+v", s.name, revision, s.watcher.Status())
		return nil
	}
	defer s.mu.Unlock()
	var ops []porcupine.Operation
	for _, file := range []string{"a.yaml", "b.yaml"} {
		now := time.Now().UnixNano()
		content, _ := os.ReadFile(filepath.Join(s.root, "conf", file))
		ops = append(ops, porcupine.Operation{
			ClientId: 1000, Call: now, Return: now, Input: fileEdit{file: file, read: true}, Output: editVerdict{content: string(content)},
		})
	}
	return ops
}
