package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/control/wal"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// register is a small state machine: the last file content wins, and commands
// are idempotent by ID.
type register struct {
	mu     sync.Mutex
	State  registerState
	voters []string
}

type registerState struct {
	Values  map[string][]byte
	Results map[string]control.Result
	Order   []string
}

func newRegister() *register {
	return &register{State: registerState{Values: map[string][]byte{}, Results: map[string]control.Result{}}}
}

func (g *register) Apply(index, term uint64, cmd control.Command) control.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	if res, ok := g.State.Results[cmd.ID]; ok {
		return res
	}
	res := control.Result{Index: index, Term: term}
	if cmd.Edit != nil {
		res.Code = resultOf(string(g.State.Values[cmd.Edit.File]), cmd.Edit)
	}
	if cmd.Edit != nil && res.Code == 0 {
		g.State.Values[cmd.Edit.File] = cmd.Edit.Content
	}
	g.State.Results[cmd.ID] = res
	g.State.Order = append(g.State.Order, cmd.ID)
	return res
}

func (g *register) Snapshot() ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return cbor.Marshal(g.State)
}

func (g *register) Restore(data []byte) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	var s registerState
	if err := cbor.Unmarshal(data, &s); err != nil {
		return err
	}
	g.State = s
	return nil
}

func (g *register) Voters() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.voters
}

func (g *register) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.State.Order)
}

// hub links nodes within the process.
type hub struct {
	mu    sync.Mutex
	nodes map[string]*Node
}

func (h *hub) get(name string) *Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.nodes[name]
}

// port is one node's Transport.
type port struct {
	hub  *hub
	name string
}

func (p port) Notify(to string, kind wire.Kind, msg any) error {
	n := p.hub.get(to)
	body, err := cbor.Marshal(msg)
	if err != nil || n == nil {
		return result.New(result.LinkLost, "no link")
	}
	n.Notify(wire.Hello{Name: p.name}, kind, body)
	return nil
}

func (p port) Call(ctx context.Context, to string, kind wire.Kind, req, resp any) error {
	n := p.hub.get(to)
	body, err := cbor.Marshal(req)
	if err != nil || n == nil {
		return result.New(result.LinkLost, "no link")
	}
	out, err := n.Call(ctx, wire.Hello{Name: p.name}, kind, body)
	if err != nil || resp == nil {
		return err
	}
	data, err := cbor.Marshal(out)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, resp)
}

// running is a node that a test started.
type running struct {
	node *Node
	sm   *register
	stop func()
}

func (h *hub) start(t *testing.T, cfg Config) *running {
	t.Helper()
	sm := newRegister()
	log := slog.New(slog.NewTextHandler(testLog(), nil))
	seed := uint64(len(cfg.Name)) + uint64(cfg.Name[len(cfg.Name)-1])
	n, err := New(cfg, sm, port{h, cfg.Name}, clockwork.NewRealClock(), rand.New(rand.NewPCG(seed, 1)), log, tally.NoopScope)
	if err != nil {
		t.Fatal(err)
	}
	h.mu.Lock()
	h.nodes[cfg.Name] = n
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = n.Run(ctx)
	}()
	stop := sync.OnceFunc(func() {
		h.mu.Lock()
		delete(h.nodes, cfg.Name)
		h.mu.Unlock()
		cancel()
		<-ended
	})
	t.Cleanup(stop)
	return &running{node: n, sm: sm, stop: stop}
}

func testLog() io.Writer {
	if os.Getenv("SIM_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

func edit(id, content string) control.Command {
	return control.Command{ID: id, Edit: &control.Edit{File: "f", Content: []byte(content)}}
}

func TestClusterFoundsReplicatesAndRestarts(t *testing.T) {
	h := &hub{nodes: map[string]*Node{}}
	names := []string{"e1", "e2", "e3"}
	cfgs := map[string]Config{}
	nodes := map[string]*running{}
	for _, name := range names {
		cfgs[name] = Config{Name: name, DataDir: t.TempDir(), Peers: names, Bootstrap: names, SnapshotEvery: 100}
		nodes[name] = h.start(t, cfgs[name])
	}
	ctx := testContext(t)
	var writers errgroup.Group
	for w := range 10 {
		writers.Go(func() error {
			for i := range 30 {
				id := fmt.Sprint("c", w, "-", i)
				if _, err := nodes[names[w%3]].node.Propose(ctx, edit(id, id)); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := writers.Wait(); err != nil {
		t.Fatal(err)
	}
	diskless := h.start(t, Config{Name: "e4", Peers: append(names, "e4")})
	if err := diskless.node.Barrier(ctx); err != nil {
		t.Fatal(err)
	}
	for _, r := range nodes {
		r.stop()
	}
	for _, name := range names {
		nodes[name] = h.start(t, cfgs[name])
	}
	for name, r := range nodes {
		if err := r.node.Barrier(ctx); err != nil {
			t.Fatal(name, err)
		}
		if got := r.sm.count(); got != 300 {
			t.Errorf("%s holds %d commands, want 300", name, got)
		}
	}
	if got := diskless.sm.count(); got != 300 {
		t.Errorf("the learner holds %d commands, want 300", got)
	}
}

// A replica that was frozen for longer than the election timeout knows at once
// that its quorum is in doubt, and gives up its leadership with its first tick.
func TestFrozenLeaderClaimsNothing(t *testing.T) {
	h := &hub{nodes: map[string]*Node{}}
	names := []string{"e1", "e2", "e3"}
	clock := clockwork.NewFakeClock()
	founders := raft.Members{}
	for _, name := range names {
		founders = founders.With(raft.Member{ID: name + "-id", Name: name, Voter: true})
	}
	id := wal.Identity{Replica: "e1-id", Cluster: "c", Founders: founders}
	cfg := Config{Name: "e1", DataDir: t.TempDir(), Peers: names}.withDefaults()
	if err := enterCluster(cfg, id); err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	n, err := New(cfg, newRegister(), port{h, "e1"}, clock, rand.New(rand.NewPCG(1, 1)), log, tally.NoopScope)
	if err != nil {
		t.Fatal(err)
	}
	defer n.unlock()
	n.lastTick = clock.Now()
	core := n.replica.core
	turn := func() {
		t.Helper()
		if err := n.turn(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	for core.Role() != raft.Leader {
		clock.Advance(cfg.Tick)
		n.tick(context.Background())
		turn()
		for _, kind := range []raft.Kind{raft.PreVoteReply, raft.VoteReply} {
			term := core.Term()
			if kind == raft.PreVoteReply {
				term++
			}
			core.Step(raft.Message{Kind: kind, From: "e2-id", To: "e1-id", Term: term})
			turn()
		}
	}
	if !n.InQuorum() || !n.IsLeader() {
		t.Fatal("a new leader does not claim its quorum")
	}
	clock.Advance(10 * time.Second)
	if n.InQuorum() {
		t.Error("claims its quorum after 10 s without an answer")
	}
	n.tick(context.Background())
	turn()
	if n.InQuorum() || n.IsLeader() {
		t.Error("claims its leadership after the first tick")
	}
}

// Messages of another cluster, and those to the identity that this VM had
// before its disk was lost, are refused.
func TestMessagesOfStrangersAreRefused(t *testing.T) {
	n := &Node{names: map[string]string{}, status: status{identity: wal.Identity{Replica: "me", Cluster: "ours"}}}
	for _, c := range []struct {
		cluster, to string
		want        result.Code
	}{
		{"ours", "me", result.OK},
		{"theirs", "me", result.WrongCluster},
		{"", "me", result.WrongCluster},
		{"ours", "before", result.NotMember},
	} {
		body, err := cbor.Marshal(wire.RaftBatch{Cluster: c.cluster, To: c.to, From: "x"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := n.decodeBatch(wire.Hello{Name: "e2"}, body); result.CodeOf(err) != c.want {
			t.Errorf("cluster %q to %q: %v, want code %d", c.cluster, c.to, err, c.want)
		}
	}
}
