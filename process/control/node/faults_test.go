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

// calm returns a world without random faults and its leader.
func calm(t *testing.T, seed uint64, voters, spare int) (*world, *host) {
	t.Helper()
	w := newWorld(t, seed, voters, spare)
	w.lossy = false
	w.clients.stopped = true
	w.until("a leader", func() bool { return w.leader() != nil && w.repaired() })
	return w, w.leader()
}

func (w *world) until(what string, done func() bool) {
	w.t.Helper()
	for range 2000 {
		if done() || w.broken {
			return
		}
		w.step()
	}
	w.fail("waited in vain for %s", what)
}

// write proposes a command at a host and returns where its verdict appears.
func (w *world) write(h *host, id string) *bool {
	accepted := new(bool)
	cmd := control.Command{ID: id, Edit: &control.Edit{File: id, Content: []byte(id)}}
	h.r.propose(proposal{cmd: cmd, done: func(_ control.Result, err error) { *accepted = err == nil }})
	w.flush(h)
	return accepted
}

// writeAll writes count commands at whoever leads, each until it is accepted.
func (w *world) writeAll(prefix string, count int) {
	w.t.Helper()
	for i := range count {
		id := fmt.Sprint(prefix, i)
		w.until(id, func() bool {
			l := w.leader()
			if l == nil || l.frozen > w.now {
				return false
			}
			accepted := w.write(l, id)
			for range 6 {
				w.step()
			}
			return *accepted
		})
	}
}

func (w *world) expect(prefix string, count int) {
	w.t.Helper()
	for _, h := range w.hosts {
		for i := range count {
			if id := fmt.Sprint(prefix, i); string(h.sm.State.Values[id]) != id {
				w.fail("%s lacks %s", h.name, id)
			}
		}
	}
}

// The leader is cut off, silently and for long, while changes go on at the
// majority. It accepts nothing, answers no read, and holds it all afterwards.
func TestIsolatedLeaderAcceptsNothing(t *testing.T) {
	for way := range 3 {
		for seed := uint64(1); seed <= 20; seed++ {
			w, old := calm(t, seed, 3, 0)
			w.writeAll("before", 5)
			for _, other := range w.hosts {
				w.cut[[2]string{old.name, other.name}] = way != 1
				w.cut[[2]string{other.name, old.name}] = way != 0
			}
			// Its process is frozen as well, so that it does not notice.
			old.frozen = math.MaxInt
			w.until("another leader", func() bool { l := w.leader(); return l != nil && l != old })
			w.writeAll("during", 20)
			old.frozen = 0
			if old.r.core.Role() != raft.Leader {
				t.Fatal("the old leader noticed: the test proves nothing")
			}
			accepted, answered := w.write(old, "stale"), false
			old.r.read(func(_ uint64, err error) { answered = err == nil })
			w.flush(old)
			for range 400 {
				w.step()
			}
			if *accepted || answered {
				t.Fatalf("way %d seed %d: the old leader accepted %v, answered %v", way, seed, *accepted, answered)
			}
			w.heal(600)
			w.expect("before", 5)
			w.expect("during", 20)
			if w.hosts[0].sm.State.Values["stale"] != nil {
				t.Fatalf("way %d seed %d: a change of the old leader alone is in force", way, seed)
			}
		}
	}
}

// A disk is lost, the VM replaced, and a second VM's disk lost right after the
// repair, with writes going on throughout.
func TestSecondDiskLostRightAfterRepair(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		w, leader := calm(t, seed, 3, 0)
		w.writeAll("a", 30)
		first := w.hosts[int(seed)%3]
		w.loseDisk(first)
		w.writeAll("b", 10)
		w.until("the repair", w.repaired)
		second := w.hosts[int(seed+1)%3]
		w.loseDisk(second)
		w.writeAll("c", 30)
		w.until("the second repair", w.repaired)
		w.heal(600)
		w.expect("a", 30)
		w.expect("b", 10)
		w.expect("c", 30)
		if leader == nil || t.Failed() {
			return
		}
	}
}

// A second disk is lost before the replaced VM caught up: with five voters the
// state survives; the learner never counts in a majority before.
func TestSecondDiskLostBeforeTheLearnerCaughtUp(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		w, _ := calm(t, seed, 5, 0)
		w.writeAll("a", 30)
		w.loseDisk(w.hosts[0])
		for range 20 {
			w.step()
		}
		w.loseDisk(w.hosts[1])
		w.writeAll("b", 20)
		w.until("the repair", w.repaired)
		w.heal(600)
		w.expect("a", 30)
		w.expect("b", 20)
	}
}

func TestVotersFollowTheWantedNames(t *testing.T) {
	w, _ := calm(t, 1, 3, 2)
	w.writeAll("a", 10)
	w.wanted = []string{"e2", "e4", "e5"}
	w.until("the new voters", w.repaired)
	w.heal(600)
	w.expect("a", 10)
}

func TestRestartAfterFiveHundredChanges(t *testing.T) {
	w, _ := calm(t, 1, 3, 0)
	w.writeAll("a", 500)
	w.kill(w.hosts[1])
	w.boot(w.hosts[1])
	w.heal(600)
	w.expect("a", 500)
	for _, h := range w.hosts {
		w.kill(h)
		w.boot(h)
	}
	w.heal(600)
	w.expect("a", 500)
	w.writeAll("b", 1)
}

// A cluster is founded only by data folders of which all are known to be new.
func TestDecideStart(t *testing.T) {
	names := []string{"e1", "e2", "e3"}
	in := func(name, cluster string) introduction {
		return introduction{Name: name, Replica: name + "-id", Cluster: cluster, Bootstrap: names}
	}
	founders := raft.Members{{ID: "e1-id", Name: "e1", Voter: true}, {ID: "e2-id", Name: "e2", Voter: true}}
	founded := in("e2", "c")
	founded.Founders = founders
	stranger := in("e9", "")
	differs := in("e3", "")
	differs.Bootstrap = []string{"e3"}
	volatile := in("e3", "")
	volatile.Volatile = true
	for _, c := range []struct {
		name   string
		self   introduction
		others []introduction
		asked  int
		want   plan
		code   result.Code
	}{
		{"all new", in("e1", ""), []introduction{in("e2", ""), in("e3", "")}, 2, planFound, 0},
		{"one not reached", in("e1", ""), []introduction{in("e2", "")}, 2, planWait, 0},
		{"alone", in("e1", ""), nil, 2, planWait, 0},
		{"another entry not reached", in("e1", ""), []introduction{in("e2", ""), in("e3", "")}, 3, planWait, 0},
		{"disk lost", in("e1", ""), []introduction{in("e2", "c"), in("e3", "c")}, 2, planJoin, 0},
		{"two disks lost", in("e1", ""), []introduction{in("e2", ""), in("e3", "c")}, 2, planJoin, 0},
		{"founder late", in("e1", ""), []introduction{founded}, 2, planFound, 0},
		{"founder with a lost disk", in("e3", ""), []introduction{founded}, 2, planJoin, 0},
		{"no founder", stranger, []introduction{in("e1", ""), in("e2", ""), in("e3", "")}, 3, planWait, 0},
		{"other list", in("e1", ""), []introduction{in("e2", ""), differs}, 2, planWait, result.BadSetting},
		{"founder without disk", in("e1", ""), []introduction{in("e2", ""), volatile}, 2, planWait, 0},
		{"two clusters", in("e1", ""), []introduction{in("e2", "c"), in("e3", "d")}, 2, planWait, result.WrongCluster},
	} {
		got, _, err := decideStart(c.self, c.others, c.asked)
		if got != c.want || result.CodeOf(err) != c.code {
			t.Errorf("%s: plan %d, error %v; want plan %d, code %d", c.name, got, err, c.want, c.code)
		}
	}
}

// Founding is interrupted by a crash in every operation on the disk. The data
// folder then belongs to no cluster or holds a whole log.
func TestCrashWhileFounding(t *testing.T) {
	for at := range 40 {
		w := &world{rnd: newWorld(t, uint64(at), 1, 0).rnd, t: t}
		h := &host{name: "e1", id: wal.Identity{Replica: "r"}}
		w.newDisk(h)
		cfg := Config{Name: "e1", DataDir: "fresh", FS: h.disk}.withDefaults()
		h.disk.CrashAfter(at)
		id, err := loadIdentity(cfg)
		if err == nil {
			id.Cluster = "c"
			err = enterCluster(cfg, id)
		}
		done := err == nil
		h.disk.Restart()
		found, _, err := wal.LoadIdentity(h.disk, "fresh")
		if err != nil {
			t.Fatalf("crash %d: %v", at, err)
		}
		if done && found.Cluster != "c" {
			t.Fatalf("crash %d: the cluster was forgotten", at)
		}
		if found.Cluster == "" {
			continue
		}
		if _, _, err := openDisk(cfg, found); err != nil {
			t.Fatalf("crash %d: %v", at, err)
		}
	}
}
