package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/process/control/raft"
)

// replacementCluster is a cluster of five replicas that bear the loss of two disks.
type replacementCluster struct {
	t     *testing.T
	net   *testNetwork
	cfgs  map[string]Config
	nodes map[string]*runningNode
}

func newReplacementCluster(t *testing.T) *replacementCluster {
	c := &replacementCluster{t: t, net: &testNetwork{nodes: map[string]*Node{}}, cfgs: map[string]Config{}, nodes: map[string]*runningNode{}}
	var names []string
	for i := 1; i <= 5; i++ {
		names = append(names, fmt.Sprint("e", i))
	}
	for _, name := range names {
		c.start(Config{Name: name, Peers: names, Bootstrap: names})
	}
	return c
}

// start starts a replica with an empty disk.
func (c *replacementCluster) start(cfg Config) {
	cfg.DataDir, cfg.FaultTolerance = c.t.TempDir(), 2
	c.cfgs[cfg.Name] = cfg
	c.nodes[cfg.Name] = c.net.startNode(c.t, cfg)
}

// join starts further replicas and waits until there are as many voters as given.
func (c *replacementCluster) join(ctx context.Context, voters int, names ...string) {
	c.t.Helper()
	for _, name := range names {
		c.start(Config{Name: name, Peers: []string{"e1", "e2", "e3"}})
	}
	waitFor(c.t, ctx, fmt.Sprint(voters, " voters"), func() bool { return c.voters("e1") == voters })
	// All new replicas are members, also those that don't vote.
	waitFor(c.t, ctx, "all members", func() bool {
		return len(c.nodes["e1"].node.currentStatus().core.Members) == 5+len(names)
	})
}

// voters returns the number of voters that a replica knows.
func (c *replacementCluster) voters(name string) int {
	return len(c.nodes[name].node.currentStatus().core.Members.Voters())
}

// loseDisks kills replicas at the same time and starts them with empty disks.
func (c *replacementCluster) loseDisks(names ...string) {
	for _, name := range names {
		c.nodes[name].kill()
	}
	for _, name := range names {
		removeDataDir(c.t, c.cfgs[name].DataDir)
		c.start(Config{Name: name, Peers: []string{"e1", "e2", "e3"}})
	}
}

// A VM that is replaced as planned, the new one first, must not count as a voter while two
// disks are lost right after its stop.
func TestTwoDisksAreLostAfterPlannedReplacement(t *testing.T) {
	c := newReplacementCluster(t)
	ctx := testContext(t)
	if _, err := c.nodes["e1"].node.Propose(ctx, editCommand("c1", "x")); err != nil {
		t.Fatal(err)
	}
	c.join(ctx, 6, "e6")
	c.nodes["e5"].shutDown()
	if _, err := c.nodes["e2"].node.Propose(ctx, editCommand("c2", "y")); err != nil {
		t.Fatal(err)
	}
	c.loseDisks("e1", "e2")
	for _, name := range []string{"e1", "e2", "e3", "e4", "e6"} {
		if err := c.nodes[name].node.Barrier(ctx); err != nil {
			t.Fatal(name, ": ", err)
		}
		if got := c.nodes[name].sm.appliedCount(); got != 2 {
			t.Errorf("%s applied %d commands, want 2", name, got)
		}
	}
}

// Planned stops of the leader, of two replicas at once, of one that is started again at once and
// of one that does not reach the leader, each followed by the loss of two disks.
func TestTwoDisksAreLostRightAfterPlannedStops(t *testing.T) {
	shutDownTogether := func(c *replacementCluster, names ...string) {
		var stops sync.WaitGroup
		for _, name := range names {
			stops.Go(c.nodes[name].shutDown)
		}
		stops.Wait()
	}
	for name, stop := range map[string]func(c *replacementCluster) (stopped []string){
		"the leader": func(c *replacementCluster) []string {
			leader := c.nodes["e3"].node.Leader()
			c.nodes[leader].shutDown()
			return []string{leader}
		},
		"two at once": func(c *replacementCluster) []string {
			shutDownTogether(c, "e4", "e5")
			return []string{"e4", "e5"}
		},
		"one that is started again": func(c *replacementCluster) []string {
			c.nodes["e5"].shutDown()
			c.nodes["e5"] = c.net.startNode(c.t, c.cfgs["e5"])
			return nil
		},
		"one that is cut off": func(c *replacementCluster) []string {
			c.nodes["e5"].stop()
			return []string{"e5"}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newReplacementCluster(t)
			ctx := testContext(t)
			c.join(ctx, 7, "e6", "e7")
			stopped := stop(c)
			var lost, others []string
			for _, name := range []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7"} {
				switch {
				case slices.Contains(stopped, name):
				case len(lost) < 2:
					lost = append(lost, name)
				default:
					others = append(others, name)
				}
			}
			if _, err := c.nodes[others[0]].node.Propose(ctx, editCommand("c1", "x")); err != nil {
				t.Fatal(err)
			}
			c.loseDisks(lost...)
			for _, name := range slices.Concat(lost, others) {
				if err := c.nodes[name].node.Barrier(ctx); err != nil {
					t.Fatal(name, ": ", err)
				}
				if got := c.nodes[name].sm.appliedCount(); got != 1 {
					t.Errorf("%s applied %d commands, want 1", name, got)
				}
			}
		})
	}
}

// Three VMs are replaced as planned, the new ones first. There are more replicas than
// voters at that time, and all five that remain must vote, so that two disks may be lost.
func TestTwoDisksAreLostAfterThreePlannedReplacements(t *testing.T) {
	c := newReplacementCluster(t)
	ctx := testContext(t)
	c.join(ctx, maxVoters, "e6", "e7", "e8")
	for _, name := range []string{"e3", "e4", "e5"} {
		c.nodes[name].shutDown()
	}
	if _, err := c.nodes["e1"].node.Propose(ctx, editCommand("c1", "x")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, ctx, "the last changes", func() bool {
		members := c.nodes["e1"].node.currentStatus().core.Members
		return c.voters("e1") == 5 && !slices.ContainsFunc(members, func(m raft.Member) bool {
			return m.Voter && slices.Contains([]string{"e3", "e4", "e5"}, m.Name)
		})
	})
	c.loseDisks("e1", "e7")
	for _, name := range []string{"e1", "e2", "e6", "e7", "e8"} {
		if err := c.nodes[name].node.Barrier(ctx); err != nil {
			t.Fatal(name, ": ", err)
		}
	}
}

// A replica that released its vote gets it back after a restart, and one whose vote is
// needed keeps it.
func TestReleasedVoteReturnsWithTheReplica(t *testing.T) {
	c := newReplacementCluster(t)
	ctx := testContext(t)
	if err := c.nodes["e1"].node.Barrier(ctx); err != nil {
		t.Fatal(err)
	}
	c.nodes["e5"].shutDown()
	if n := c.voters("e1"); n != 5 {
		t.Fatalf("%d voters after a stop, want 5", n)
	}
	c.nodes["e5"] = c.net.startNode(t, c.cfgs["e5"])
	c.join(ctx, 6, "e6")
	for _, name := range []string{"e1", "e6"} {
		other := "e2"
		c.nodes[name].shutDown()
		waitFor(t, ctx, "the release of the vote", func() bool { return c.voters(other) == 5 })
		time.Sleep(500 * time.Millisecond) // long enough for a wrong promotion
		if n := c.voters(other); n != 5 {
			t.Errorf("%d voters while %s is stopped, want 5", n, name)
		}
		c.nodes[name] = c.net.startNode(t, c.cfgs[name])
		waitFor(t, ctx, "the vote of "+name, func() bool { return c.voters(other) == 6 })
	}
}

// A VM is removed without notice after its successor votes, and two disks are lost before the
// leader has removed its vote. Three of six voters remain. They must elect a leader and keep the
// acknowledged command, however soon the disks are lost.
func TestTwoDisksAreLostAfterRemovalWithoutNotice(t *testing.T) {
	// In the last case all seeds of the VMs that return are gone.
	for removed, lost := range map[string][]string{"e5": {"e1", "e2"}, "e1": {"e2", "e6"}, "e3": {"e1", "e2"}} {
		t.Run(removed+" is removed", func(t *testing.T) {
			t.Parallel()
			c := newReplacementCluster(t)
			ctx := testContext(t)
			c.join(ctx, 6, "e6")
			c.nodes[removed].kill()
			if _, err := c.nodes["e4"].node.Propose(ctx, editCommand("c1", "x")); err != nil {
				t.Fatal(err)
			}
			c.loseDisks(lost...)
			for name, n := range c.nodes {
				if name == removed {
					continue
				}
				if err := n.node.Barrier(ctx); err != nil {
					t.Fatal(name, ": ", err)
				}
				if got := n.sm.appliedCount(); got != 1 {
					t.Errorf("%s applied %d commands, want 1", name, got)
				}
			}
		})
	}
}

// Two VMs are removed without notice within the time that the leader needs to find them silent,
// and two disks are lost in it. Three of seven voters remain.
func TestTwoDisksAreLostAfterTwoRemovalsWithoutNotice(t *testing.T) {
	c := newReplacementCluster(t)
	c.join(testContext(t), 7, "e6", "e7")
	c.nodes["e4"].kill()
	c.nodes["e5"].kill()
	ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
	defer cancel()
	if _, err := c.nodes["e3"].node.Propose(ctx, editCommand("c1", "x")); err != nil {
		t.Fatal(err)
	}
	c.loseDisks("e1", "e2")
	if err := c.nodes["e3"].node.Barrier(ctx); err != nil {
		t.Fatal(err)
	}
}

// As above, but nothing is acknowledged between the removals and the losses.
func TestTwoDisksAreLostAtOnceAfterTwoRemovalsWithoutNotice(t *testing.T) {
	c := newReplacementCluster(t)
	c.join(testContext(t), 7, "e6", "e7")
	ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
	defer cancel()
	if _, err := c.nodes["e3"].node.Propose(ctx, editCommand("c1", "x")); err != nil {
		t.Fatal(err)
	}
	c.nodes["e4"].kill()
	c.nodes["e5"].kill()
	c.loseDisks("e1", "e2")
	if err := c.nodes["e3"].node.Barrier(ctx); err != nil {
		t.Fatal(err)
	}
}

// Three of five VMs are replaced, and the old ones are removed at once, without notice. The quorum
// of seven voters remains for as long as no disk is lost.
func TestTwoDisksAreLostAfterThreeRemovalsWithoutNotice(t *testing.T) {
	for _, removed := range [][]string{{"e3", "e4", "e5"}, {"e1", "e2", "e3"}} {
		t.Run(fmt.Sprint(removed), func(t *testing.T) {
			t.Parallel()
			c := newReplacementCluster(t)
			ctx := testContext(t)
			c.join(ctx, maxVoters, "e6", "e7", "e8")
			for _, name := range removed {
				c.nodes[name].kill()
			}
			if _, err := c.nodes["e6"].node.Propose(ctx, editCommand("c1", "x")); err != nil {
				t.Fatal(err)
			}
			c.loseDisks("e7", "e8")
			if err := c.nodes["e6"].node.Barrier(ctx); err != nil {
				t.Fatal(err)
			}
			if got := c.nodes["e6"].sm.appliedCount(); got != 1 {
				t.Errorf("e6 applied %d commands, want 1", got)
			}
		})
	}
}

// Only the reply of a VM that runs another replica of this cluster with a disk shows that a
// voter is lost.
func TestOnlyAnotherReplicaOnTheVMShowsThatAVoterIsLost(t *testing.T) {
	voters := raft.Members{{ID: "a", Name: "e1", Voter: true}, {ID: "b", Name: "e2", Voter: true}}
	reply := replicaInfo{Name: "e1", Replica: "new", Cluster: "c"}
	with := func(change func(*replicaInfo)) replicaInfo {
		r := reply
		change(&r)
		return r
	}
	for name, c := range map[string]struct {
		reply replicaInfo
		want  []string
	}{
		"a new replica":           {reply, []string{"a"}},
		"the same replica":        {with(func(r *replicaInfo) { r.Replica = "a" }), nil},
		"no identity":             {with(func(r *replicaInfo) { r.Replica = "" }), nil},
		"a replica without disk":  {with(func(r *replicaInfo) { r.Volatile = true }), nil},
		"a process of no cluster": {with(func(r *replicaInfo) { r.Cluster = "" }), nil},
		"another cluster":         {with(func(r *replicaInfo) { r.Cluster = "d" }), nil},
		"a reply of another VM":   {with(func(r *replicaInfo) { r.Name = "e2" }), nil},
	} {
		if got := replacedVoters(voters, "e1", c.reply, "c"); !slices.Equal(got, c.want) {
			t.Errorf("%s: lost voters %v, want %v", name, got, c.want)
		}
	}
}
