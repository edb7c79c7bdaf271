package node

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"
)

// awaitNode polls until a condition of running nodes holds.
func awaitNode(t *testing.T, ctx context.Context, what string, done func() bool) {
	t.Helper()
	for !done() {
		select {
		case <-ctx.Done():
			t.Fatal("waited in vain for ", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func founded(t *testing.T, h *hub) (names []string, cfgs map[string]Config, nodes map[string]*running) {
	t.Helper()
	names = []string{"e1", "e2", "e3"}
	cfgs, nodes = map[string]Config{}, map[string]*running{}
	for _, name := range names {
		cfgs[name] = Config{Name: name, DataDir: t.TempDir(), Peers: names, Bootstrap: names}
		nodes[name] = h.start(t, cfgs[name])
	}
	return names, cfgs, nodes
}

func wipe(t *testing.T, dir string) {
	t.Helper()
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
}

// Two VMs lose their disks one after the other. Each comes back under a new
// identity, as a learner, is promoted, and its old identity goes.
func TestReplacedDisksJoinAndAreVoters(t *testing.T) {
	h := &hub{nodes: map[string]*Node{}}
	_, cfgs, nodes := founded(t, h)
	ctx := testContext(t)
	written := 0
	write := func(name string, count int) {
		t.Helper()
		for range count {
			written++
			if _, err := nodes[name].node.Propose(ctx, edit(fmt.Sprint("c", written), "x")); err != nil {
				t.Fatal(err)
			}
		}
	}
	write("e1", 5)
	for _, name := range []string{"e3", "e2"} {
		old := nodes[name].node.Replica()
		nodes[name].stop()
		wipe(t, cfgs[name].DataDir)
		nodes[name] = h.start(t, cfgs[name])
		write("e1", 5)
		awaitNode(t, ctx, name+" votes again", func() bool {
			members := nodes["e1"].node.current().core.Members
			_, kept := members.Get(old)
			return !kept && members.IsVoter(nodes[name].node.Replica()) && len(members) == 3
		})
		if nodes[name].node.Replica() == old {
			t.Fatalf("%s kept its identity without its disk", name)
		}
	}
	write("e2", 5)
	for name, r := range nodes {
		if err := r.node.Barrier(ctx); err != nil {
			t.Fatal(err)
		}
		if got := r.sm.count(); got != written {
			t.Errorf("%s holds %d commands, want %d", name, got, written)
		}
	}
}

// A majority of empty disks founds nothing while the third VM is away, and
// joins its cluster once it is back: there is never a second cluster.
func TestEmptyDisksFoundNoSecondCluster(t *testing.T) {
	h := &hub{nodes: map[string]*Node{}}
	names, cfgs, nodes := founded(t, h)
	ctx := testContext(t)
	if err := nodes["e1"].node.Barrier(ctx); err != nil {
		t.Fatal(err)
	}
	cluster := nodes["e3"].node.current().identity.Cluster
	for _, name := range names {
		nodes[name].stop()
	}
	for _, name := range names[:2] {
		wipe(t, cfgs[name].DataDir)
		nodes[name] = h.start(t, cfgs[name])
	}
	short, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if err := nodes["e1"].node.Barrier(short); err == nil {
		t.Fatal("two empty disks made a quorum")
	}
	for _, name := range names[:2] {
		if got := nodes[name].node.current().identity.Cluster; got != "" {
			t.Fatalf("%s is of cluster %s", name, got)
		}
	}
	nodes["e3"] = h.start(t, cfgs["e3"])
	for _, name := range names[:2] {
		awaitNode(t, ctx, name+" knows the cluster", func() bool {
			return nodes[name].node.current().identity.Cluster == cluster
		})
	}
	// Without a majority of the voters nothing is led: that is an operator's
	// matter, not a reason to begin anew.
	for _, name := range names {
		if nodes[name].node.IsLeader() {
			t.Errorf("%s leads", name)
		}
	}
}
