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

// envelope is a message in the simulated network.
type envelope struct {
	fromHost  *simHost
	sender    *replica
	to        string
	data      []byte
	deliverAt int
}

// simHost is a VM of the simulation. Its name stays when its disk, its identity
// and its replica are replaced.
type simHost struct {
	name        string
	disk        *faultdisk.Disk
	id          wal.Identity
	replica     *replica
	machine     *checkedMachine
	frozenUntil int
	bootCount   int
}

// checkedMachine checks that every replica applies the same command at the same
// index.
type checkedMachine struct {
	*testMachine
	world *simWorld
}

func (m *checkedMachine) Apply(index, term uint64, cmd control.Command) control.Result {
	got := fmt.Sprint(term, " ", cmd.ID)
	if want, ok := m.world.appliedByIndex[index]; ok && want != got {
		m.world.fail("index %d: applied %q here, %q elsewhere", index, got, want)
	}
	m.world.appliedByIndex[index] = got
	return m.testMachine.Apply(index, term, cmd)
}

// simWorld is a simulated cluster on one goroutine. Time, network, disks and
// faults are derived from one seed.
type simWorld struct {
	t              *testing.T
	seed           uint64
	rnd            *rand.Rand
	cfg            Config
	now            int
	hosts          []*simHost
	inFlight       []envelope
	blockedLinks   map[[2]string]bool
	appliedByIndex map[uint64]string
	leaderByTerm   map[uint64]string
	clients        *simClients
	// desiredVoters is the result of the state machines' Voters method.
	desiredVoters []string
	lossy         bool
	lastID        int
	failed        bool
	log           *slog.Logger
}

// simSegmentBytes is large enough for a segment to span several snapshots.
const simSegmentBytes = 4 << 10

func newSimWorld(t *testing.T, seed uint64, voters, spare int) *simWorld {
	w := &simWorld{
		t: t, seed: seed, rnd: rand.New(rand.NewPCG(seed, 11)),
		blockedLinks: map[[2]string]bool{}, appliedByIndex: map[uint64]string{}, leaderByTerm: map[uint64]string{}, lossy: true,
	}
	w.cfg = Config{DataDir: simDir, SnapshotEntries: 20, RetainEntries: 5, ReplicaRemovalTimeout: 1}.withDefaults()
	w.cfg.ReplicaRemovalTimeout = 300 * w.cfg.Tick
	out := io.Discard
	if os.Getenv("SIM_LOG") != "" {
		out = os.Stderr
	}
	w.log = slog.New(slog.NewTextHandler(out, nil))
	w.clients = newSimClients(w)
	var members raft.Members
	for i := range voters + spare {
		h := &simHost{name: fmt.Sprint("e", i+1)}
		w.hosts = append(w.hosts, h)
		h.id = wal.Identity{Replica: w.newID(h), Cluster: simCluster}
		if i < voters {
			members = members.With(raft.Member{ID: h.id.Replica, Name: h.name, Voter: true})
			w.desiredVoters = append(w.desiredVoters, h.name)
		}
	}
	for _, h := range w.hosts {
		if members.IsVoter(h.id.Replica) {
			h.id.InitialMembers = members
		}
		w.newDisk(h)
		w.boot(h)
	}
	return w
}

func (w *simWorld) newID(h *simHost) string {
	w.lastID++
	return fmt.Sprintf("%s-id%d", h.name, w.lastID)
}

func (w *simWorld) fail(format string, args ...any) {
	if !w.failed {
		w.failed = true
		w.t.Errorf("seed %d tick %d: "+format+"; repeat with: go test ./process/control/node -run %s -sim.seed %d",
			append(append([]any{w.seed, w.now}, args...), w.t.Name(), w.seed)...)
	}
}

func (w *simWorld) check(err error) {
	if err != nil {
		w.fail("%v", err)
	}
}

// setFaultTolerance restarts all replicas with a fault tolerance.
func (w *simWorld) setFaultTolerance(faultTolerance int) {
	if w.cfg.FaultTolerance = faultTolerance; faultTolerance == 0 {
		return
	}
	for _, h := range w.hosts {
		w.kill(h)
		w.boot(h)
	}
}

func (w *simWorld) newDisk(h *simHost) {
	h.disk = faultdisk.New(w.rnd)
	w.check(wal.Create(h.disk, simDir))
	w.check(wal.SaveIdentity(h.disk, simDir, h.id))
}

// boot starts the replica of a host from its disk.
func (w *simWorld) boot(h *simHost) {
	id, found, err := wal.LoadIdentity(h.disk, simDir)
	w.check(err)
	if !found || id.Replica != h.id.Replica {
		w.fail("%s has a different identity on disk", h.name)
		return
	}
	d, stored, err := wal.Open(h.disk, simDir, initialSnapshot(h.id))
	if err != nil {
		w.fail("open log of %s: %v", h.name, err)
		return
	}
	// Odd seeds start a new segment at the first snapshot after the open one has
	// reached simSegmentBytes, even seeds at every snapshot.
	d.SetSegmentBytes(int64(w.seed%2) * simSegmentBytes)
	h.bootCount++
	h.frozenUntil = 0
	h.machine = &checkedMachine{testMachine: newTestMachine(), world: w}
	h.machine.voters = w.desiredVoters
	h.replica, err = newReplica(w.cfg, h.id, d, stored, h.machine, w.rnd, w.log.With("vm", h.name), tally.NoopScope)
	w.check(err)
}

// kill stops the replica without shutdown and drops unsynced data, like a power
// failure.
func (w *simWorld) kill(h *simHost) {
	w.closeReplica(h)
	h.disk.Restart()
}

// closeReplica ends the replica while the process goes on.
func (w *simWorld) closeReplica(h *simHost) {
	if h.replica != nil {
		h.replica.failPending(codedError(raft.ErrNotLeader))
		h.replica = nil
	}
}

// replaceDisk gives a host an empty disk and a new identity.
func (w *simWorld) replaceDisk(h *simHost) {
	w.kill(h)
	h.id = wal.Identity{Replica: w.newID(h), Cluster: simCluster}
	w.newDisk(h)
	w.boot(h)
}

// step advances the simulation by one tick.
func (w *simWorld) step() {
	w.now++
	w.deliver()
	w.clients.step()
	for _, h := range w.hosts {
		if h.replica == nil || h.frozenUntil > w.now {
			continue
		}
		h.replica.core.Tick()
		if w.now%8 == 0 {
			h.machine.mu.Lock()
			h.machine.voters = w.desiredVoters
			h.machine.mu.Unlock()
			h.replica.proposeMemberChange()
			w.requestJoin(h)
		}
		w.flush(h)
	}
}

func (w *simWorld) flush(h *simHost) {
	r := h.replica
	out, err := r.flush()
	if err != nil {
		if h.disk.Full() {
			w.closeReplica(h)
			return
		}
		if !h.disk.Crashed() {
			w.fail("%s: %v", h.name, err)
		}
		w.kill(h)
		return
	}
	if r.core.Role() == raft.Leader {
		if other, ok := w.leaderByTerm[r.core.Term()]; ok && other != h.id.Replica {
			w.fail("%s and %s lead in term %d", other, h.id.Replica, r.core.Term())
		}
		w.leaderByTerm[r.core.Term()] = h.id.Replica
	}
	for _, m := range out {
		w.sendMessage(h, m)
	}
}

// sendMessage puts a message into the network, which may lose, delay or
// duplicate it.
func (w *simWorld) sendMessage(h *simHost, m raft.Message) {
	data, err := cbor.Marshal(m)
	w.check(err)
	env := envelope{fromHost: h, sender: h.replica, to: m.To, data: data, deliverAt: w.now + 1}
	if w.lossy {
		env.deliverAt += w.rnd.IntN(3)
		if w.rnd.IntN(20) == 0 {
			env.deliverAt += w.rnd.IntN(40)
		}
		if w.rnd.IntN(30) == 0 {
			duplicate := env
			duplicate.deliverAt += w.rnd.IntN(30)
			w.inFlight = append(w.inFlight, duplicate)
		}
		if w.rnd.IntN(15) == 0 {
			env.to = ""
		}
	}
	w.inFlight = append(w.inFlight, env)
}

func (w *simWorld) deliver() {
	w.rnd.Shuffle(len(w.inFlight), func(i, j int) { w.inFlight[i], w.inFlight[j] = w.inFlight[j], w.inFlight[i] })
	var delayed []envelope
	pending := w.inFlight
	w.inFlight = nil
	for _, env := range pending {
		h := w.byID(env.to)
		if env.deliverAt > w.now || (h != nil && h.replica != nil && h.frozenUntil > w.now) {
			delayed = append(delayed, env)
			continue
		}
		w.deliverTo(env, h)
	}
	w.inFlight = append(w.inFlight, delayed...)
}

func (w *simWorld) deliverTo(env envelope, h *simHost) {
	var m raft.Message
	w.check(cbor.Unmarshal(env.data, &m))
	reached := h != nil && h.replica != nil && !w.blockedLinks[[2]string{env.fromHost.name, h.name}]
	if reached {
		w.check(h.replica.core.Step(m))
		w.flush(h)
	}
	if m.Kind == raft.InstallSnapshot && env.fromHost.replica == env.sender && env.sender != nil {
		env.sender.core.ReportSnapshot(m.To, m.Snapshot.Index, reached)
	}
}

func (w *simWorld) byID(id string) *simHost {
	for _, h := range w.hosts {
		if h.id.Replica == id {
			return h
		}
	}
	return nil
}

// reachable reports whether two hosts can call each other.
func (w *simWorld) reachable(a, b *simHost) bool {
	return a == b || (!w.blockedLinks[[2]string{a.name, b.name}] && !w.blockedLinks[[2]string{b.name, a.name}])
}

func (w *simWorld) requestJoin(h *simHost) {
	ticks, known := h.replica.core.TicksSinceContact()
	if known && ticks < w.cfg.ElectionTicks {
		return
	}
	for _, other := range w.hosts {
		if other.replica == nil || other.frozenUntil > w.now || !w.reachable(h, other) {
			continue
		}
		info := replicaInfo{Name: other.name, Replica: other.id.Replica, Cluster: simCluster}
		for _, id := range replacedVoters(h.replica.core.ElectingVoters(), other.name, info, simCluster) {
			h.replica.core.MarkReplaced(id)
		}
		if other.replica.core.Role() == raft.Leader {
			_ = other.replica.admitLearner(replicaInfo{Name: h.name, Replica: h.id.Replica, Cluster: simCluster, Join: true})
		}
	}
}

// leader returns the host that leads in the highest term.
func (w *simWorld) leader() *simHost {
	var latest *simHost
	for _, h := range w.hosts {
		if h.replica != nil && h.replica.core.Role() == raft.Leader && (latest == nil || h.replica.core.Term() > latest.replica.core.Term()) {
			latest = h
		}
	}
	return latest
}

// membershipRestored reports whether exactly the desired VMs have voters, each
// under its current identity.
func (w *simWorld) membershipRestored() bool {
	l := w.leader()
	if l == nil || l.replica.core.ChangePending() {
		return false
	}
	members := l.replica.core.Members()
	for _, h := range w.hosts {
		if members.IsVoter(h.id.Replica) != slices.Contains(w.desiredVoters, h.name) {
			return false
		}
	}
	return len(members.Voters()) == len(w.desiredVoters)
}

// injectFault starts a random fault or ends earlier ones.
func (w *simWorld) injectFault(kinds int) {
	h := w.hosts[w.rnd.IntN(len(w.hosts))]
	switch w.rnd.IntN(kinds) {
	case 0:
		if h.replica != nil {
			h.disk.CrashAfter(w.rnd.IntN(12))
		}
	case 1:
		h.frozenUntil = w.now + w.rnd.IntN(80)
	case 2:
		w.isolate(h)
	case 3:
		clear(w.blockedLinks)
	case 4:
		w.kill(h)
	case 5:
		if w.membershipRestored() {
			w.replaceDisk(h)
		}
	}
	for _, h := range w.hosts {
		if h.replica == nil && w.rnd.IntN(3) > 0 {
			w.boot(h)
		}
	}
}

// isolate blocks the links between a host and all others, in one or both
// directions.
func (w *simWorld) isolate(h *simHost) {
	direction := w.rnd.IntN(3)
	for _, other := range w.hosts {
		if direction != 1 {
			w.blockedLinks[[2]string{h.name, other.name}] = true
		}
		if direction != 0 {
			w.blockedLinks[[2]string{other.name, h.name}] = true
		}
	}
}

// healAndConverge ends all faults and runs until the membership is restored and
// all replicas have applied the same log.
func (w *simWorld) healAndConverge(limit int) {
	clear(w.blockedLinks)
	w.lossy = false
	w.clients.stopped = true
	for _, h := range w.hosts {
		h.frozenUntil = 0
		h.disk.CrashAfter(-1)
		if h.replica == nil {
			w.boot(h)
		}
	}
	for range limit {
		w.step()
		if w.failed || (w.membershipRestored() && w.converged()) {
			return
		}
	}
	w.fail("not converged %d ticks after the faults ended", limit)
}

// converged reports whether all replicas applied the leader's whole log.
func (w *simWorld) converged() bool {
	l := w.leader()
	for _, h := range w.hosts {
		if h.replica == nil || h.replica.core.Applied() != l.replica.core.Applied() || h.replica.core.Applied() != l.replica.core.Status().Last {
			return false
		}
	}
	return true
}
