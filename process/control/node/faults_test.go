package node

import (
	"fmt"
	"math"
	"testing"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/control/wal"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// newHealthyWorld returns a world without random faults, and its leader.
func newHealthyWorld(t *testing.T, seed uint64, voters, spare int) (*simWorld, *simHost) {
	t.Helper()
	w := newSimWorld(t, seed, voters, spare)
	w.lossy = false
	w.clients.stopped = true
	w.stepUntil("a leader", func() bool { return w.leader() != nil && w.membershipRestored() })
	return w, w.leader()
}

func (w *simWorld) stepUntil(what string, condition func() bool) {
	w.t.Helper()
	for range 2000 {
		if condition() || w.failed {
			return
		}
		w.step()
	}
	w.fail("gave up waiting for %s", what)
}

// propose proposes a command on a host. The returned flag is set once the
// command was accepted.
func (w *simWorld) propose(h *simHost, id string) *bool {
	accepted := new(bool)
	cmd := control.Command{ID: id, Edit: &control.Edit{File: id, Content: []byte(id)}}
	h.replica.propose(proposal{cmd: cmd, done: func(_ control.Result, err error) { *accepted = err == nil }})
	w.flush(h)
	return accepted
}

// proposeAll proposes count commands on the current leader, each of them until
// it is accepted.
func (w *simWorld) proposeAll(prefix string, count int) {
	w.t.Helper()
	for i := range count {
		id := fmt.Sprint(prefix, i)
		w.stepUntil(id, func() bool {
			l := w.leader()
			if l == nil || l.frozenUntil > w.now {
				return false
			}
			accepted := w.propose(l, id)
			for range 6 {
				w.step()
			}
			return *accepted
		})
	}
}

func (w *simWorld) checkApplied(prefix string, count int) {
	w.t.Helper()
	for _, h := range w.hosts {
		for i := range count {
			if id := fmt.Sprint(prefix, i); string(h.machine.State.Values[id]) != id {
				w.fail("%s did not apply %s", h.name, id)
			}
		}
	}
}

// A leader that is isolated without noticing, while the majority commits
// changes, must not accept a write or answer a read. Once it is reconnected it
// must apply all changes of the majority.
func TestIsolatedLeaderCommitsNothing(t *testing.T) {
	for direction := range 3 {
		for seed := uint64(1); seed <= 20; seed++ {
			w, old := newHealthyWorld(t, seed, 3, 0)
			w.proposeAll("before", 5)
			for _, other := range w.hosts {
				w.blockedLinks[[2]string{old.name, other.name}] = direction != 1
				w.blockedLinks[[2]string{other.name, old.name}] = direction != 0
			}
			// Its process is frozen as well, so that it does not step down.
			old.frozenUntil = math.MaxInt
			w.stepUntil("another leader", func() bool { l := w.leader(); return l != nil && l != old })
			w.proposeAll("during", 20)
			old.frozenUntil = 0
			if old.replica.core.Role() != raft.Leader {
				t.Fatal("the old leader stepped down, so the test does not check a stale leader")
			}
			accepted, answered := w.propose(old, "stale"), false
			old.replica.read(func(_ uint64, err error) { answered = err == nil })
			w.flush(old)
			for range 400 {
				w.step()
			}
			if *accepted || answered {
				t.Fatalf("direction %d seed %d: the old leader accepted %v, answered %v", direction, seed, *accepted, answered)
			}
			w.healAndConverge(600)
			w.checkApplied("before", 5)
			w.checkApplied("during", 20)
			if w.hosts[0].machine.State.Values["stale"] != nil {
				t.Fatalf("direction %d seed %d: a change known only to the old leader was committed", direction, seed)
			}
		}
	}
}

// One VM loses its disk and is replaced, and a second VM loses its disk right
// after all voters are restored. Writes continue throughout.
func TestSecondDiskLossAfterRecovery(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		w, leader := newHealthyWorld(t, seed, 3, 0)
		w.proposeAll("a", 30)
		first := w.hosts[int(seed)%3]
		w.replaceDisk(first)
		w.proposeAll("b", 10)
		w.stepUntil("the restored voters", w.membershipRestored)
		second := w.hosts[int(seed+1)%3]
		w.replaceDisk(second)
		w.proposeAll("c", 30)
		w.stepUntil("the voters restored again", w.membershipRestored)
		w.healAndConverge(600)
		w.checkApplied("a", 30)
		w.checkApplied("b", 10)
		w.checkApplied("c", 30)
		if leader == nil || t.Failed() {
			return
		}
	}
}

// A second disk is lost before the replaced VM has caught up. With five voters
// the state survives, as the learner does not count toward a majority.
func TestSecondDiskLossBeforeLearnerCatchesUp(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		w, _ := newHealthyWorld(t, seed, 5, 0)
		w.proposeAll("a", 30)
		w.replaceDisk(w.hosts[0])
		for range 20 {
			w.step()
		}
		w.replaceDisk(w.hosts[1])
		w.proposeAll("b", 20)
		w.stepUntil("the restored voters", w.membershipRestored)
		w.healAndConverge(600)
		w.checkApplied("a", 30)
		w.checkApplied("b", 20)
	}
}

func TestVotersFollowDesiredNames(t *testing.T) {
	w, _ := newHealthyWorld(t, 1, 3, 2)
	w.proposeAll("a", 10)
	w.desiredVoters = []string{"e2", "e4", "e5"}
	w.stepUntil("the new voters", w.membershipRestored)
	w.healAndConverge(600)
	w.checkApplied("a", 10)
}

func TestRestartAfter500Changes(t *testing.T) {
	w, _ := newHealthyWorld(t, 1, 3, 0)
	w.proposeAll("a", 500)
	w.kill(w.hosts[1])
	w.boot(w.hosts[1])
	w.healAndConverge(600)
	w.checkApplied("a", 500)
	for _, h := range w.hosts {
		w.kill(h)
		w.boot(h)
	}
	w.healAndConverge(600)
	w.checkApplied("a", 500)
	w.proposeAll("b", 1)
}

// A cluster is bootstrapped only if all data folders are known to be new.
func TestChooseStartAction(t *testing.T) {
	names := []string{"e1", "e2", "e3"}
	info := func(name, cluster string) replicaInfo {
		return replicaInfo{Name: name, Replica: name + "-id", Cluster: cluster, Bootstrap: names}
	}
	members := raft.Members{{ID: "e1-id", Name: "e1", Voter: true}, {ID: "e2-id", Name: "e2", Voter: true}}
	bootstrapped := info("e2", "c")
	bootstrapped.InitialMembers = members
	notListed := info("e9", "")
	otherList := info("e3", "")
	otherList.Bootstrap = []string{"e3"}
	volatile := info("e3", "")
	volatile.Volatile = true
	for _, c := range []struct {
		name    string
		self    replicaInfo
		replies []replicaInfo
		queried int
		want    startAction
		code    result.Code
	}{
		{"all new", info("e1", ""), []replicaInfo{info("e2", ""), info("e3", "")}, 2, startBootstrap, 0},
		{"one entry not reached", info("e1", ""), []replicaInfo{info("e2", "")}, 2, startWait, 0},
		{"alone", info("e1", ""), nil, 2, startWait, 0},
		{"another entry not reached", info("e1", ""), []replicaInfo{info("e2", ""), info("e3", "")}, 3, startWait, 0},
		{"disk lost", info("e1", ""), []replicaInfo{info("e2", "c"), info("e3", "c")}, 2, startJoin, 0},
		{"two disks lost", info("e1", ""), []replicaInfo{info("e2", ""), info("e3", "c")}, 2, startJoin, 0},
		{"late initial member", info("e1", ""), []replicaInfo{bootstrapped}, 2, startBootstrap, 0},
		{"initial member with a lost disk", info("e3", ""), []replicaInfo{bootstrapped}, 2, startJoin, 0},
		{"not an initial member", notListed, []replicaInfo{info("e1", ""), info("e2", ""), info("e3", "")}, 3, startWait, 0},
		{"different bootstrap list", info("e1", ""), []replicaInfo{info("e2", ""), otherList}, 2, startWait, result.BadSetting},
		{"initial member without disk", info("e1", ""), []replicaInfo{info("e2", ""), volatile}, 2, startWait, 0},
		{"two clusters", info("e1", ""), []replicaInfo{info("e2", "c"), info("e3", "d")}, 2, startWait, result.WrongCluster},
	} {
		got, _, err := chooseStartAction(c.self, c.replies, c.queried)
		if got != c.want || result.CodeOf(err) != c.code {
			t.Errorf("%s: action %d, error %v; want action %d, code %d", c.name, got, err, c.want, c.code)
		}
	}
}

// Bootstrap is interrupted by a crash at each disk operation. Afterwards the
// data folder must either belong to no cluster or hold a complete log.
func TestCrashDuringBootstrap(t *testing.T) {
	for crashAfter := range 40 {
		w := &simWorld{rnd: newSimWorld(t, uint64(crashAfter), 1, 0).rnd, t: t}
		h := &simHost{name: "e1", id: wal.Identity{Replica: "r"}}
		w.newDisk(h)
		cfg := Config{Name: "e1", DataDir: "fresh", FS: h.disk}.withDefaults()
		h.disk.CrashAfter(crashAfter)
		id, err := loadOrCreateIdentity(cfg)
		if err == nil {
			id.Cluster = "c"
			err = persistClusterIdentity(cfg, id)
		}
		persisted := err == nil
		h.disk.Restart()
		loaded, _, err := wal.LoadIdentity(h.disk, "fresh")
		if err != nil {
			t.Fatalf("crash %d: %v", crashAfter, err)
		}
		if persisted && loaded.Cluster != "c" {
			t.Fatalf("crash %d: the cluster identity was lost", crashAfter)
		}
		if loaded.Cluster == "" {
			continue
		}
		if _, _, err := openStorage(cfg, loaded); err != nil {
			t.Fatalf("crash %d: %v", crashAfter, err)
		}
	}
}
