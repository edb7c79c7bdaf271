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

// testNetwork connects replicas in one process. Each message is delivered by its
// own goroutine, so messages can be reordered. Links that are cut drop them.
type testNetwork struct {
	mu    sync.Mutex
	nodes map[string]*node.Node
	cut   map[[2]string]bool
}

func (net *testNetwork) target(from, to string) (*node.Node, wire.Hello) {
	net.mu.Lock()
	defer net.mu.Unlock()
	if net.cut[[2]string{from, to}] || net.nodes[to] == nil || net.nodes[from] == nil {
		return nil, wire.Hello{}
	}
	return net.nodes[to], wire.Hello{Protocol: wire.Version, Role: wire.RoleEntry, Name: from, Replica: net.nodes[from].ReplicaID()}
}

// isolate cuts the links from a VM (out), to it (in), or both, and restores all
// other links.
func (net *testNetwork) isolate(name string, out, in bool) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.cut = map[[2]string]bool{}
	for other := range net.nodes {
		if other != name {
			net.cut[[2]string{name, other}], net.cut[[2]string{other, name}] = out, in
		}
	}
}

// transport is the network transport of one VM.
type transport struct {
	network *testNetwork
	name    string
}

func (t transport) Notify(to string, kind wire.Kind, msg any) error {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return err
	}
	go func() {
		if n, hello := t.network.target(t.name, to); n != nil {
			_ = n.Notify(hello, kind, body)
		}
	}()
	return nil
}

func (t transport) Call(ctx context.Context, to string, kind wire.Kind, req, resp any) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	n, hello := t.network.target(t.name, to)
	if n == nil {
		return result.New(result.LinkLost, "cut")
	}
	answer, err := n.Call(ctx, hello, kind, body)
	if err != nil {
		return err
	}
	if n, _ := t.network.target(to, t.name); n == nil {
		return result.New(result.LinkLost, "the response was lost")
	}
	if body, err = cbor.Marshal(answer); err != nil || resp == nil {
		return err
	}
	return cbor.Unmarshal(body, resp)
}

// replicaVM is a VM with a control replica, a folder and an operator.
type replicaVM struct {
	t       *testing.T
	name    string
	root    string
	node    *node.Node
	machine *state.Machine
	// mu makes reading and saving a file atomic for an operator. An editor that
	// overwrites content it has not read is not covered here.
	mu      sync.Mutex
	watcher *Watcher
}

func (r *replicaVM) newWatcher() {
	r.watcher = New(Config{
		Path: filepath.Join(r.root, "conf"), DataDir: filepath.Join(r.root, "data"), VM: r.name,
		SettleTime: 10 * time.Millisecond, ScanInterval: 100 * time.Millisecond, RetryInterval: 100 * time.Millisecond,
		ProposeTimeout: 700 * time.Millisecond,
	}, r.node, r.machine, clockwork.NewRealClock(), slog.New(slog.DiscardHandler), tally.NoopScope)
}

func (r *replicaVM) runWatcher(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		pause := r.watcher.Step(ctx)
		r.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(max(pause, time.Millisecond)):
		}
	}
}

// save edits a file as an operator does and returns the started operation.
func (r *replicaVM) save(file, content string) porcupine.Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	path := filepath.Join(r.root, "conf", file)
	base, _ := os.ReadFile(path)
	op := porcupine.Operation{Call: time.Now().UnixNano(), Input: fileEdit{file: file, base: string(base), content: content}}
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		r.t.Error(err)
	}
	return op
}

// awaitDecision polls the status until it shows the decision on an edit.
func (r *replicaVM) awaitDecision(ctx context.Context, op *porcupine.Operation) bool {
	in := op.Input.(fileEdit)
	for ctx.Err() == nil {
		r.mu.Lock()
		status := r.watcher.Status()
		r.mu.Unlock()
		for _, c := range status.Changes {
			if c.File == in.file && c.Digest == digestText(in.content) && c.Decision != decisionUndecided {
				if c.Decision == decisionRefused && c.Code != int(result.EditConflict) {
					r.t.Errorf("%s: %+v", r.name, c)
				}
				op.Return, op.Output = time.Now().UnixNano(), editDecision{accepted: c.Decision == decisionAccepted}
				return true
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	r.t.Errorf("%s: no decision on %+v", r.name, in)
	return false
}

const replicatedSeed = 4

// TestConcurrentEditsOnReplicasAreLinearizable runs operators on three replicas
// while links are cut in one or both directions, also those of the leader, and
// while watchers restart.
func TestConcurrentEditsOnReplicasAreLinearizable(t *testing.T) {
	t.Logf("seed %d", replicatedSeed)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	net := &testNetwork{nodes: map[string]*node.Node{}}
	names := []string{"entry-1", "entry-2", "entry-3"}
	var replicas []*replicaVM
	var running sync.WaitGroup
	for i, name := range names {
		r := &replicaVM{t: t, name: name, root: t.TempDir(), machine: state.New(state.Options{})}
		for _, dir := range []string{"conf", "data"} {
			if err := os.Mkdir(filepath.Join(r.root, dir), 0o755); err != nil {
				t.Fatal(err)
			}
		}
		cfg := node.Config{Name: name, DataDir: filepath.Join(r.root, "data"), Peers: names, Bootstrap: names}
		n, err := node.New(cfg, r.machine, transport{net, name}, clockwork.NewRealClock(), rand.New(rand.NewPCG(replicatedSeed, uint64(i))),
			slog.New(slog.DiscardHandler), tally.NoopScope)
		if err != nil {
			t.Fatal(err)
		}
		r.node = n
		r.newWatcher()
		replicas = append(replicas, r)
		net.nodes[name] = n
	}
	for _, r := range replicas {
		running.Go(func() {
			if err := r.node.Run(ctx); err != nil && ctx.Err() == nil {
				t.Error(err)
			}
		})
		running.Go(func() { r.runWatcher(ctx) })
	}
	history := runOperators(ctx, t, net, replicas)
	cancel()
	running.Wait()
	if check := porcupine.CheckOperationsTimeout(fileModel, history, time.Minute); check != porcupine.Ok {
		t.Errorf("history is %s", check)
		for _, op := range history {
			t.Logf("%d..%d client %d: %+v -> %+v", op.Call, op.Return, op.ClientId, op.Input, op.Output)
		}
	}
}

// runOperators runs one operator per replica while faults are injected. It
// returns the history with a final read of each folder.
func runOperators(ctx context.Context, t *testing.T, net *testNetwork, replicas []*replicaVM) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	var operators sync.WaitGroup
	const edits = 12
	for client, r := range replicas {
		operators.Go(func() {
			for i := range edits {
				content := fmt.Sprintf("priorities: {p%d-%d: 1}\n", client, i)
				op := r.save([]string{"a.yaml", "b.yaml"}[i/2%2], content)
				op.ClientId = client
				if !r.awaitDecision(ctx, &op) {
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
	faults.Go(func() { injectFaults(net, replicas, stop) })
	operators.Wait()
	close(stop)
	faults.Wait()
	net.isolate("", false, false)
	var last uint64
	for _, r := range replicas {
		if err := r.node.Barrier(ctx); err != nil {
			t.Error(err)
		}
		if _, revision := r.machine.Config(); revision > last {
			last = revision
		}
	}
	for _, r := range replicas {
		history = append(history, r.readFiles(ctx, last)...)
	}
	accepted := 0
	for _, op := range history {
		if op.Output.(editDecision).accepted {
			accepted++
		}
	}
	t.Logf("%d edits, %d accepted, revision %d", len(replicas)*edits, accepted, last)
	return history
}

// injectFaults isolates VMs, heals the network and restarts watchers at random
// until stop is closed.
func injectFaults(net *testNetwork, replicas []*replicaVM, stop <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(replicatedSeed, 99))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+rnd.IntN(900)) * time.Millisecond):
		}
		r := replicas[rnd.IntN(len(replicas))]
		for _, leader := range replicas {
			if leader.node.IsLeader() && rnd.IntN(2) == 0 {
				r = leader
			}
		}
		switch rnd.IntN(5) {
		case 0:
			net.isolate(r.name, true, true)
		case 1:
			net.isolate(r.name, true, false)
		case 2:
			net.isolate(r.name, false, true)
		case 3:
			r.mu.Lock()
			r.newWatcher()
			r.mu.Unlock()
		default:
			net.isolate("", false, false)
		}
	}
}

// readFiles reads both files once the folder holds the revision.
func (r *replicaVM) readFiles(ctx context.Context, revision uint64) []porcupine.Operation {
	for ctx.Err() == nil {
		r.mu.Lock()
		if r.watcher.Status().FolderRevision >= revision {
			break
		}
		r.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	if ctx.Err() != nil {
		r.t.Errorf("%s never held revision %d: %+v", r.name, revision, r.watcher.Status())
		return nil
	}
	defer r.mu.Unlock()
	var ops []porcupine.Operation
	for _, file := range []string{"a.yaml", "b.yaml"} {
		now := time.Now().UnixNano()
		content, _ := os.ReadFile(filepath.Join(r.root, "conf", file))
		ops = append(ops, porcupine.Operation{
			ClientId: 1000, Call: now, Return: now, Input: fileEdit{file: file, read: true}, Output: editDecision{content: string(content)},
		})
	}
	return ops
}
