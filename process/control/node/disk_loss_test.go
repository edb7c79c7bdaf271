package node

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"
)

// waitFor polls until condition holds.
func waitFor(t *testing.T, ctx context.Context, what string, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-ctx.Done():
			t.Fatal("gave up waiting for ", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func startCluster(t *testing.T, net *testNetwork) (names []string, cfgs map[string]Config, nodes map[string]*runningNode) {
	t.Helper()
	names = []string{"e1", "e2", "e3"}
	cfgs, nodes = map[string]Config{}, map[string]*runningNode{}
	for _, name := range names {
		cfgs[name] = Config{Name: name, DataDir: t.TempDir(), Peers: names, Bootstrap: names}
		nodes[name] = net.startNode(t, cfgs[name])
	}
	return names, cfgs, nodes
}

func removeDataDir(t *testing.T, dir string) {
	t.Helper()
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
}

// Two VMs lose their disks one after the other. Each must rejoin under a new
// identity as a learner, be promoted, and its old identity must be removed.
func TestReplacedDisksRejoinAsVoters(t *testing.T) {
	net := &testNetwork{nodes: map[string]*Node{}}
	_, cfgs, nodes := startCluster(t, net)
	ctx := testContext(t)
	written := 0
	write := func(name string, count int) {
		t.Helper()
		for range count {
			written++
			if _, err := nodes[name].node.Propose(ctx, editCommand(fmt.Sprint("c", written), "x")); err != nil {
				t.Fatal(err)
			}
		}
	}
	write("e1", 5)
	for _, name := range []string{"e3", "e2"} {
		old := nodes[name].node.ReplicaID()
		nodes[name].stop()
		removeDataDir(t, cfgs[name].DataDir)
		nodes[name] = net.startNode(t, cfgs[name])
		write("e1", 5)
		waitFor(t, ctx, name+" to vote again", func() bool {
			members := nodes["e1"].node.currentStatus().core.Members
			_, present := members.Get(old)
			return !present && members.IsVoter(nodes[name].node.ReplicaID()) && len(members) == 3
		})
		if nodes[name].node.ReplicaID() == old {
			t.Fatalf("%s kept its identity without its disk", name)
		}
	}
	write("e2", 5)
	for name, r := range nodes {
		if err := r.node.Barrier(ctx); err != nil {
			t.Fatal(err)
		}
		if got := r.sm.appliedCount(); got != written {
			t.Errorf("%s applied %d commands, want %d", name, got, written)
		}
	}
}

// A majority of VMs with empty disks must not bootstrap a second cluster while
// the third VM is down, and must join its cluster once it is back.
func TestEmptyDisksDoNotBootstrapSecondCluster(t *testing.T) {
	net := &testNetwork{nodes: map[string]*Node{}}
	names, cfgs, nodes := startCluster(t, net)
	ctx := testContext(t)
	if err := nodes["e1"].node.Barrier(ctx); err != nil {
		t.Fatal(err)
	}
	cluster := nodes["e3"].node.currentStatus().identity.Cluster
	for _, name := range names {
		nodes[name].stop()
	}
	for _, name := range names[:2] {
		removeDataDir(t, cfgs[name].DataDir)
		nodes[name] = net.startNode(t, cfgs[name])
	}
	shortCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if err := nodes["e1"].node.Barrier(shortCtx); err == nil {
		t.Fatal("two replicas with empty disks formed a quorum")
	}
	for _, name := range names[:2] {
		if got := nodes[name].node.currentStatus().identity.Cluster; got != "" {
			t.Fatalf("%s belongs to cluster %s", name, got)
		}
	}
	nodes["e3"] = net.startNode(t, cfgs["e3"])
	for _, name := range names[:2] {
		waitFor(t, ctx, name+" to know the cluster", func() bool {
			return nodes[name].node.currentStatus().identity.Cluster == cluster
		})
	}
	// Without a majority of the voters there must be no leader. This needs an
	// operator; the replicas must not bootstrap again.
	for _, name := range names {
		if nodes[name].node.IsLeader() {
			t.Errorf("%s is leader", name)
		}
	}
}
