package node

import (
	"log/slog"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/control/wal"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// disk keeps what a replica must not forget. *wal.Log implements it.
type disk interface {
	Save(hs *raft.HardState, entries []raft.Entry) error
	// WriteSnapshot may run beside the other methods; Truncate then removes the
	// part of the log that the snapshot covers.
	WriteSnapshot(s raft.Snapshot) error
	Truncate(index uint64) error
	Install(s raft.Snapshot, hs raft.HardState) error
	Bytes() int64
	Close() error
}

// noDisk is the disk of a learner that keeps nothing.
type noDisk struct{}

func (noDisk) Save(*raft.HardState, []raft.Entry) error    { return nil }
func (noDisk) WriteSnapshot(raft.Snapshot) error           { return nil }
func (noDisk) Truncate(uint64) error                       { return nil }
func (noDisk) Install(raft.Snapshot, raft.HardState) error { return nil }
func (noDisk) Bytes() int64                                { return 0 }
func (noDisk) Close() error                                { return nil }

// proposal is a command on its way into the leader's log. done is called once,
// with the result when the command was applied, or with an error.
type proposal struct {
	cmd  control.Command
	done func(control.Result, error)
}

// readRequest asks for an index that holds all that was committed before.
type readRequest func(index uint64, err error)

// appliedWaiter is called once index is applied.
type appliedWaiter struct {
	index uint64
	done  func()
}

// replica joins core, disk and state machine. It is deterministic and not safe
// for concurrent use. Callers queue work with its methods, then call flush.
type replica struct {
	cfg   Config
	id    wal.Identity
	core  *raft.Raft
	disk  disk
	sm    StateMachine
	log   *slog.Logger
	scope tally.Scope

	// queue holds proposals that are not in the log yet.
	queue []proposal
	// inLog holds the waiters of commands that this leader put into its log in
	// the current term, by command ID.
	inLog map[string][]proposal
	// reads holds requests that are not in a round yet; rounds those that are.
	reads  []readRequest
	rounds map[uint64][]readRequest
	token  uint64
	// waiters are called as the applied index rises.
	waiters []appliedWaiter
	// snapshotEvery is how many entries are applied between two snapshots. It
	// differs from replica to replica: they apply in step, and a majority must
	// not be busy with its snapshots at the same time.
	snapshotEvery uint64
	// snapshotIndex is the index of the last snapshot on disk.
	snapshotIndex uint64
	// snapshotSize is the size of that snapshot's data.
	snapshotSize int64
	// saving is set while a snapshot is being written. beside runs the writing
	// and calls the second function on the replica's goroutine afterwards.
	saving    bool
	beside    func(work func() error, then func(error) error) error
	wasLeader bool
}

// newReplica starts a replica from what its disk holds.
func newReplica(cfg Config, id wal.Identity, d disk, stored raft.Stored, sm StateMachine,
	rnd *rand.Rand, log *slog.Logger, scope tally.Scope,
) (*replica, error) {
	if len(stored.Snapshot.Data) > 0 {
		if err := sm.Restore(stored.Snapshot.Data); err != nil {
			return nil, result.New(result.SnapshotDamaged, "restore: %v", err)
		}
	}
	return &replica{
		cfg: cfg, id: id, disk: d, sm: sm, log: log, scope: scope,
		core:          raft.New(cfg.core(id.Replica), rnd, stored),
		inLog:         map[string][]proposal{},
		rounds:        map[uint64][]readRequest{},
		snapshotEvery: snapshotEvery(cfg.SnapshotEvery, id.Replica),
		snapshotIndex: stored.Snapshot.Index,
		snapshotSize:  int64(len(stored.Snapshot.Data)),
		beside:        inline,
	}, nil
}

func (r *replica) propose(p proposal) { r.queue = append(r.queue, p) }

func (r *replica) read(done readRequest) { r.reads = append(r.reads, done) }

// whenApplied calls done once the local state holds index.
func (r *replica) whenApplied(index uint64, done func()) {
	if index <= r.core.Applied() {
		done()
		return
	}
	r.waiters = append(r.waiters, appliedWaiter{index: index, done: done})
}

// flush carries out all work that has gathered and returns the messages to
// send. All of it is on disk by then.
func (r *replica) flush() ([]raft.Message, error) {
	r.submitProposals()
	r.submitReads()
	var out []raft.Message
	for r.core.HasReady() {
		rd := r.core.Ready()
		if err := r.save(rd); err != nil {
			return nil, err
		}
		out = append(out, rd.Messages...)
		if err := r.apply(rd); err != nil {
			return nil, err
		}
		r.core.Advance(rd)
	}
	r.wakeWaiters()
	r.noticeRole()
	if err := r.maybeSnapshot(); err != nil {
		return nil, err
	}
	return r.fillSnapshots(out)
}

// submitProposals puts the queued commands into the log. A command that is in
// it already, unapplied, gains a waiter only.
func (r *replica) submitProposals() {
	if len(r.queue) == 0 {
		return
	}
	queue := r.queue
	r.queue = nil
	var fresh []proposal
	var data [][]byte
	for _, p := range queue {
		if waiting, ok := r.inLog[p.cmd.ID]; ok {
			r.inLog[p.cmd.ID] = append(waiting, p)
			continue
		}
		body, err := cbor.Marshal(p.cmd)
		if err != nil {
			p.done(control.Result{}, result.New(result.BadCommand, "encode: %v", err))
			continue
		}
		r.inLog[p.cmd.ID] = []proposal{p}
		fresh = append(fresh, p)
		data = append(data, body)
	}
	if len(fresh) == 0 {
		return
	}
	if _, err := r.core.Propose(data...); err != nil {
		r.refuse(fresh, err)
	}
}

// refuse answers proposals, and resends of them, that did not enter the log.
func (r *replica) refuse(fresh []proposal, err error) {
	for _, p := range fresh {
		for _, waiter := range r.inLog[p.cmd.ID] {
			waiter.done(control.Result{}, refusal(err))
		}
		delete(r.inLog, p.cmd.ID)
	}
}

// refusal turns an error of the core into one with a code.
func refusal(err error) error {
	code := result.NoQuorum
	if errors.Is(err, raft.ErrNotLeader) {
		code = result.NotLeader
	}
	return result.Refuse(code, 0, "%v", err)
}

// submitReads begins one round for all queued reads.
func (r *replica) submitReads() {
	if len(r.reads) == 0 {
		return
	}
	reads := r.reads
	r.reads = nil
	r.token++
	if err := r.core.ReadIndex(r.token); err != nil {
		for _, done := range reads {
			done(0, refusal(err))
		}
		return
	}
	r.rounds[r.token] = reads
}

// save puts the work on disk. The order is snapshot before the entries that
// follow it.
func (r *replica) save(rd raft.Ready) error {
	if rd.HardState == nil && len(rd.Entries) == 0 {
		return nil
	}
	defer r.scope.Timer("disk_save").Start().Stop()
	if rd.Snapshot != nil {
		if err := r.disk.Install(*rd.Snapshot, *rd.HardState); err != nil {
			return err
		}
		r.snapshotIndex = rd.Snapshot.Index
		r.snapshotSize = int64(len(rd.Snapshot.Data))
	}
	return r.disk.Save(rd.HardState, rd.Entries)
}

func (r *replica) apply(rd raft.Ready) error {
	if s := rd.Snapshot; s != nil {
		if err := r.sm.Restore(s.Data); err != nil {
			return result.New(result.SnapshotDamaged, "restore of index %d: %v", s.Index, err)
		}
		r.log.Info("snapshot installed", "index", s.Index, "bytes", len(s.Data))
	}
	for i := range rd.Committed {
		r.applyEntry(&rd.Committed[i])
	}
	for _, read := range rd.Reads {
		for _, done := range r.rounds[read.Token] {
			done(read.Index, nil)
		}
		delete(r.rounds, read.Token)
	}
	return nil
}

func (r *replica) applyEntry(e *raft.Entry) {
	switch e.Kind {
	case raft.EntryMembers:
		r.log.Info("membership committed", "index", e.Index, "members", e.Members.String())
	case raft.EntryCommand:
		var cmd control.Command
		if err := cbor.Unmarshal(e.Data, &cmd); err != nil {
			r.log.Error("command unreadable", "code", int(result.BadCommand), "index", e.Index, "error", err)
			return
		}
		res := r.sm.Apply(e.Index, e.Term, cmd)
		r.scope.Counter("commands_applied").Inc(1)
		for _, p := range r.inLog[cmd.ID] {
			p.done(res, nil)
		}
		delete(r.inLog, cmd.ID)
	}
}

func (r *replica) wakeWaiters() {
	applied := r.core.Applied()
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if w.index <= applied {
			w.done()
			continue
		}
		kept = append(kept, w)
	}
	clear(r.waiters[len(kept):])
	r.waiters = kept
}

// noticeRole fails what waits for this replica's leadership once it is lost.
// The commands may still be committed by the next leader, so that nothing is
// claimed about them.
func (r *replica) noticeRole() {
	leads := r.core.Role() == raft.Leader
	if leads == r.wasLeader {
		return
	}
	r.wasLeader = leads
	r.log.Info("leadership", "leads", leads, "term", r.core.Term())
	if leads {
		r.scope.Counter("elections_won").Inc(1)
		return
	}
	r.abandon(result.New(result.ProposalLost, "the leadership was lost"))
}

// abandon fails all waiters with err.
func (r *replica) abandon(err error) {
	for id, waiting := range r.inLog {
		for _, p := range waiting {
			p.done(control.Result{}, err)
		}
		delete(r.inLog, id)
	}
	for token, reads := range r.rounds {
		for _, done := range reads {
			done(0, err)
		}
		delete(r.rounds, token)
	}
}

// maybeSnapshot saves a snapshot when much was applied since the last one.
// Encoding and writing it may take long, so they go on beside the log.
func (r *replica) maybeSnapshot() error {
	if r.saving || !r.snapshotDue() {
		return nil
	}
	if r.cfg.diskless() {
		r.compact(r.core.Applied())
		return nil
	}
	s, encode := r.capture()
	r.saving = true
	work := func() (err error) {
		if s.Data, err = encode(); err != nil {
			return err
		}
		return r.disk.WriteSnapshot(s)
	}
	return r.beside(work, func(err error) error {
		r.saving = false
		return r.snapshotWritten(s, err)
	})
}

// snapshotEvery adds up to a half to every, by the replica's identity.
func snapshotEvery(every int, replica string) uint64 {
	spread := uint64(every/2 + 1)
	return uint64(every) + xxhash.Sum64String(replica)%spread
}

// snapshotDue reports whether the log is long enough. A large state is written
// less often, so that the snapshots cost no more than the log itself.
func (r *replica) snapshotDue() bool {
	since := r.core.Applied() - r.snapshotIndex
	if since < r.snapshotEvery {
		return since > 0 && r.disk.Bytes() >= max(r.cfg.SnapshotBytes, r.snapshotSize)
	}
	return r.cfg.diskless() || r.disk.Bytes() >= r.snapshotSize
}

func (r *replica) compact(index uint64) {
	r.snapshotIndex = index
	r.core.Compact(r.cfg.RetainEntries, r.cfg.RetainBytes)
}

// snapshotWritten drops what a snapshot covers once it is on disk.
func (r *replica) snapshotWritten(s raft.Snapshot, err error) error {
	if err != nil {
		return result.New(result.DiskFailed, "save snapshot: %v", err)
	}
	if s.Index <= r.snapshotIndex {
		// One that came from the leader was installed meanwhile.
		return nil
	}
	if err := r.disk.Truncate(s.Index); err != nil {
		return err
	}
	r.snapshotSize = int64(len(s.Data))
	r.compact(s.Index)
	r.log.Info("snapshot saved", "index", s.Index, "bytes", len(s.Data))
	return nil
}

// inline runs work and what follows it at once.
func inline(work func() error, then func(error) error) error {
	return then(work())
}

// capture returns a snapshot without its data, and what encodes the data. A
// state machine with a Capture method lets the latter run beside Apply.
func (r *replica) capture() (raft.Snapshot, func() ([]byte, error)) {
	index := r.core.Applied()
	term, _ := r.core.TermAt(index)
	s := raft.Snapshot{Index: index, Term: term, Members: r.core.MembersAt(index)}
	if c, ok := r.sm.(interface{ Capture() func() ([]byte, error) }); ok {
		return s, c.Capture()
	}
	data, err := r.sm.Snapshot()
	return s, func() ([]byte, error) { return data, err }
}

func (r *replica) takeSnapshot() (raft.Snapshot, error) {
	s, encode := r.capture()
	data, err := encode()
	s.Data = data
	return s, errors.Wrap(err, "take snapshot")
}

// fillSnapshots puts the current state into the messages that ask for it.
func (r *replica) fillSnapshots(out []raft.Message) ([]raft.Message, error) {
	var taken *raft.Snapshot
	for i := range out {
		if out[i].Kind != raft.InstallSnapshot {
			continue
		}
		if taken == nil {
			s, err := r.takeSnapshot()
			if err != nil {
				return nil, err
			}
			taken = &s
		}
		out[i].Snapshot = taken
	}
	return out, nil
}
