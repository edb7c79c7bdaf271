package node

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/control/internal/faultdisk"
	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/control/wal"
)

const (
	simCluster = "cluster"
	simDir     = "data"
)

// letter is a message under way.
type letter struct {
	from *host
	by   *replica
	to   string
	data []byte
	at   int
}

// host is a VM of the simulation: what it runs changes, its name stays.
type host struct {
	name   string
	disk   *faultdisk.Disk
	id     wal.Identity
	r      *replica
	sm     *recorder
	frozen int
	incar  int
}

// recorder checks each applied command against those of the other replicas.
type recorder struct {
	*register
	w *world
}

func (c *recorder) Apply(index, term uint64, cmd control.Command) control.Result {
	got := fmt.Sprint(term, " ", cmd.ID)
	if want, ok := c.w.applied[index]; ok && want != got {
		c.w.fail("index %d: applied %q here, %q elsewhere", index, got, want)
	}
	c.w.applied[index] = got
	return c.register.Apply(index, term, cmd)
}

// world is a cluster on one goroutine: time, network, disks and faults come
// from one seed.
type world struct {
	t       *testing.T
	seed    uint64
	rnd     *rand.Rand
	cfg     Config
	now     int
	hosts   []*host
	mail    []letter
	cut     map[[2]string]bool
	applied map[uint64]string
	leaders map[uint64]string
	clients *clients
	// wanted are the names that the state machine wants as voters.
	wanted []string
	lossy  bool
	ids    int
	broken bool
	log    *slog.Logger
}

// simSegmentBytes lets a segment outlive a few snapshots.
const simSegmentBytes = 4 << 10

func newWorld(t *testing.T, seed uint64, voters, spare int) *world {
	w := &world{
		t: t, seed: seed, rnd: rand.New(rand.NewPCG(seed, 11)),
		cut: map[[2]string]bool{}, applied: map[uint64]string{}, leaders: map[uint64]string{}, lossy: true,
	}
	w.cfg = Config{DataDir: simDir, SnapshotEvery: 20, RetainEntries: 5, ForgetReplica: 1}.withDefaults()
	w.cfg.ForgetReplica = 300 * w.cfg.Tick
	out := io.Discard
	if os.Getenv("SIM_LOG") != "" {
		out = os.Stderr
	}
	w.log = slog.New(slog.NewTextHandler(out, nil))
	w.clients = newClients(w)
	var founders raft.Members
	for i := range voters + spare {
		h := &host{name: fmt.Sprint("e", i+1)}
		w.hosts = append(w.hosts, h)
		h.id = wal.Identity{Replica: w.newID(h), Cluster: simCluster}
		if i < voters {
			founders = founders.With(raft.Member{ID: h.id.Replica, Name: h.name, Voter: true})
			w.wanted = append(w.wanted, h.name)
		}
	}
	for _, h := range w.hosts {
		if founders.IsVoter(h.id.Replica) {
			h.id.Founders = founders
		}
		w.newDisk(h)
		w.boot(h)
	}
	return w
}

func (w *world) newID(h *host) string {
	w.ids++
	return fmt.Sprintf("%s-id%d", h.name, w.ids)
}

func (w *world) fail(format string, args ...any) {
	if !w.broken {
		w.broken = true
		w.t.Errorf("seed %d tick %d: "+format+"; repeat with: go test ./process/control/node -run %s -sim.seed %d",
			append(append([]any{w.seed, w.now}, args...), w.t.Name(), w.seed)...)
	}
}

func (w *world) must(err error) {
	if err != nil {
		w.fail("%v", err)
	}
}

func (w *world) newDisk(h *host) {
	h.disk = faultdisk.New(w.rnd)
	w.must(wal.Create(h.disk, simDir))
	w.must(wal.SaveIdentity(h.disk, simDir, h.id))
}

// boot starts the replica of a host from its disk.
func (w *world) boot(h *host) {
	id, found, err := wal.LoadIdentity(h.disk, simDir)
	w.must(err)
	if !found || id.Replica != h.id.Replica {
		w.fail("%s lost its identity", h.name)
		return
	}
	d, stored, err := wal.Open(h.disk, simDir, foundingSnapshot(h.id))
	if err != nil {
		w.fail("open of %s: %v", h.name, err)
		return
	}
	// Every second seed ends segments at a size, the others at every snapshot.
	d.SetSegmentBytes(int64(w.seed%2) * simSegmentBytes)
	h.incar++
	h.frozen = 0
	h.sm = &recorder{register: newRegister(), w: w}
	h.sm.voters = w.wanted
	h.r, err = newReplica(w.cfg, h.id, d, stored, h.sm, w.rnd, w.log.With("vm", h.name), tally.NoopScope)
	w.must(err)
}

// kill is a kill -9 together with a loss of power.
func (w *world) kill(h *host) {
	if h.r != nil {
		h.r.abandon(refusal(raft.ErrNotLeader))
		h.r = nil
	}
	h.disk.Restart()
}

// loseDisk replaces the VM of a host: the name stays, the identity is new.
func (w *world) loseDisk(h *host) {
	w.kill(h)
	h.id = wal.Identity{Replica: w.newID(h), Cluster: simCluster}
	w.newDisk(h)
	w.boot(h)
}

// step is one tick of the world.
func (w *world) step() {
	w.now++
	w.deliver()
	w.clients.act()
	for _, h := range w.hosts {
		if h.r == nil || h.frozen > w.now {
			continue
		}
		h.r.core.Tick()
		if w.now%8 == 0 {
			h.sm.mu.Lock()
			h.sm.voters = w.wanted
			h.sm.mu.Unlock()
			h.r.changeMembers()
			w.askToJoin(h)
		}
		w.flush(h)
	}
}

func (w *world) flush(h *host) {
	r := h.r
	out, err := r.flush()
	if err != nil {
		if !h.disk.Crashed() {
			w.fail("%s: %v", h.name, err)
		}
		w.kill(h)
		return
	}
	if r.core.Role() == raft.Leader {
		if other, ok := w.leaders[r.core.Term()]; ok && other != h.id.Replica {
			w.fail("%s and %s lead in term %d", other, h.id.Replica, r.core.Term())
		}
		w.leaders[r.core.Term()] = h.id.Replica
	}
	for _, m := range out {
		w.post(h, m)
	}
}

// post puts a message into the network, which may lose, delay or repeat it.
func (w *world) post(h *host, m raft.Message) {
	data, err := cbor.Marshal(m)
	w.must(err)
	l := letter{from: h, by: h.r, to: m.To, data: data, at: w.now + 1}
	if w.lossy {
		l.at += w.rnd.IntN(3)
		if w.rnd.IntN(20) == 0 {
			l.at += w.rnd.IntN(40)
		}
		if w.rnd.IntN(30) == 0 {
			again := l
			again.at += w.rnd.IntN(30)
			w.mail = append(w.mail, again)
		}
		if w.rnd.IntN(15) == 0 {
			l.to = ""
		}
	}
	w.mail = append(w.mail, l)
}

func (w *world) deliver() {
	w.rnd.Shuffle(len(w.mail), func(i, j int) { w.mail[i], w.mail[j] = w.mail[j], w.mail[i] })
	var later []letter
	due := w.mail
	w.mail = nil
	for _, l := range due {
		h := w.byID(l.to)
		if l.at > w.now || (h != nil && h.r != nil && h.frozen > w.now) {
			later = append(later, l)
			continue
		}
		w.arrive(l, h)
	}
	w.mail = append(w.mail, later...)
}

func (w *world) arrive(l letter, h *host) {
	var m raft.Message
	w.must(cbor.Unmarshal(l.data, &m))
	ok := h != nil && h.r != nil && !w.cut[[2]string{l.from.name, h.name}]
	if ok {
		h.r.core.Step(m)
		w.flush(h)
	}
	if m.Kind == raft.InstallSnapshot && l.from.r == l.by && l.by != nil {
		l.by.core.ReportSnapshot(m.To, m.Snapshot.Index, ok)
	}
}

func (w *world) byID(id string) *host {
	for _, h := range w.hosts {
		if h.id.Replica == id {
			return h
		}
	}
	return nil
}

// reachable reports whether two hosts can call each other.
func (w *world) reachable(a, b *host) bool {
	return a == b || (!w.cut[[2]string{a.name, b.name}] && !w.cut[[2]string{b.name, a.name}])
}

func (w *world) askToJoin(h *host) {
	silent, led := h.r.core.SilentTicks()
	if led && silent < w.cfg.ElectionTicks {
		return
	}
	for _, other := range w.hosts {
		if other.r != nil && other.frozen <= w.now && other.r.core.Role() == raft.Leader && w.reachable(h, other) {
			_ = other.r.admit(introduction{Name: h.name, Replica: h.id.Replica, Cluster: simCluster, Join: true})
		}
	}
}

// leader returns the host that leads in the highest term.
func (w *world) leader() *host {
	var best *host
	for _, h := range w.hosts {
		if h.r != nil && h.r.core.Role() == raft.Leader && (best == nil || h.r.core.Term() > best.r.core.Term()) {
			best = h
		}
	}
	return best
}

// repaired reports whether every wanted VM votes under its present identity.
func (w *world) repaired() bool {
	l := w.leader()
	if l == nil || l.r.core.ChangePending() {
		return false
	}
	members := l.r.core.Members()
	for _, h := range w.hosts {
		if members.IsVoter(h.id.Replica) != slices.Contains(w.wanted, h.name) {
			return false
		}
	}
	return len(members.Voters()) == len(w.wanted)
}

// fault does something bad, or ends it.
func (w *world) fault(kinds int) {
	h := w.hosts[w.rnd.IntN(len(w.hosts))]
	switch w.rnd.IntN(kinds) {
	case 0:
		if h.r != nil {
			h.disk.CrashAfter(w.rnd.IntN(12))
		}
	case 1:
		h.frozen = w.now + w.rnd.IntN(80)
	case 2:
		w.cutOff(h)
	case 3:
		clear(w.cut)
	case 4:
		w.kill(h)
	case 5:
		if w.repaired() {
			w.loseDisk(h)
		}
	}
	for _, h := range w.hosts {
		if h.r == nil && w.rnd.IntN(3) > 0 {
			w.boot(h)
		}
	}
}

// cutOff cuts a host from the others: both ways, or one way only.
func (w *world) cutOff(h *host) {
	way := w.rnd.IntN(3)
	for _, other := range w.hosts {
		if way != 1 {
			w.cut[[2]string{h.name, other.name}] = true
		}
		if way != 0 {
			w.cut[[2]string{other.name, h.name}] = true
		}
	}
}

// heal ends all faults and runs until every replica holds the same.
func (w *world) heal(limit int) {
	clear(w.cut)
	w.lossy = false
	w.clients.stopped = true
	for _, h := range w.hosts {
		h.frozen = 0
		h.disk.CrashAfter(-1)
		if h.r == nil {
			w.boot(h)
		}
	}
	for range limit {
		w.step()
		if w.broken || (w.repaired() && w.agreed()) {
			return
		}
	}
	w.fail("not repaired %d ticks after the faults ended", limit)
}

// agreed reports whether all replicas applied the same index.
func (w *world) agreed() bool {
	l := w.leader()
	for _, h := range w.hosts {
		if h.r == nil || h.r.core.Applied() != l.r.core.Applied() || h.r.core.Applied() != l.r.core.Status().Last {
			return false
		}
	}
	return true
}
