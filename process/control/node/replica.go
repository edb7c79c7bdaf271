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

// storage persists a replica's log and snapshots. *wal.Log implements it.
type storage interface {
	Save(hs *raft.HardState, entries []raft.Entry) error
	// WriteSnapshot may run concurrently with the other methods; Truncate then
	// removes the part of the log that the snapshot covers.
	WriteSnapshot(s raft.Snapshot) error
	Truncate(index uint64) error
	Install(s raft.Snapshot, hs raft.HardState) error
	Bytes() int64
	Close() error
}

// discardStorage is the storage of a learner without a disk.
type discardStorage struct{}

func (discardStorage) Save(*raft.HardState, []raft.Entry) error    { return nil }
func (discardStorage) WriteSnapshot(raft.Snapshot) error           { return nil }
func (discardStorage) Truncate(uint64) error                       { return nil }
func (discardStorage) Install(raft.Snapshot, raft.HardState) error { return nil }
func (discardStorage) Bytes() int64                                { return 0 }
func (discardStorage) Close() error                                { return nil }

// readCallback receives the index that a linearizable read has to wait for.
type readCallback func(index uint64, err error)

// appliedWaiter is called once index is applied.
type appliedWaiter struct {
	index uint64
	done  func()
}

// replica connects the core, the storage and the state machine. It is
// deterministic and not safe for concurrent use. Callers queue work with its
// methods, then call flush.
type replica struct {
	cfg     Config
	id      wal.Identity
	core    *raft.Raft
	storage storage
	sm      StateMachine
	log     *slog.Logger
	scope   tally.Scope

	// newProposals holds proposals that are not in the log yet.
	newProposals []proposal
	// appendedProposals holds, by command ID, the proposals that this leader
	// appended to its log in the current term.
	appendedProposals map[string]*appended
	// appliedProposals holds those that were applied while too few voters were known to run for
	// them to survive the losses of disks that the cluster must bear.
	appliedProposals []*applied
	// newReads holds reads that were not passed to the core yet, readsByToken
	// those that wait for the core's answer.
	newReads     []readCallback
	readsByToken map[uint64][]readCallback
	lastToken    uint64
	// waiters are called as the applied index rises.
	waiters []appliedWaiter
	// snapshotInterval is the number of entries applied between two snapshots.
	// It differs between replicas: they apply entries at the same pace, and a
	// majority must not write snapshots at the same time.
	snapshotInterval uint64
	// snapshotIndex is the index of the last snapshot on disk.
	snapshotIndex uint64
	// snapshotSize is the size of that snapshot's data.
	snapshotSize int64
	// snapshotPending is set while a snapshot is being written.
	snapshotPending bool
	// runInBackground runs work, then calls onDone on the replica's goroutine.
	runInBackground func(work func() error, onDone func(error) error) error
	wasLeader       bool
}

// newReplica starts a replica from its stored state.
func newReplica(cfg Config, id wal.Identity, store storage, stored raft.StoredState, sm StateMachine,
	rnd *rand.Rand, log *slog.Logger, scope tally.Scope,
) (*replica, error) {
	if len(stored.Snapshot.Data) > 0 {
		if err := sm.Restore(stored.Snapshot.Data); err != nil {
			return nil, result.New(result.SnapshotDamaged, "restore snapshot: %v", err)
		}
	}
	return &replica{
		cfg: cfg, id: id, storage: store, sm: sm, log: log, scope: scope,
		core:              raft.New(cfg.raftConfig(id.Replica), rnd, stored),
		appendedProposals: map[string]*appended{},
		readsByToken:      map[uint64][]readCallback{},
		snapshotInterval:  jitteredSnapshotInterval(cfg.SnapshotEntries, id.Replica),
		snapshotIndex:     stored.Snapshot.Index,
		snapshotSize:      int64(len(stored.Snapshot.Data)),
		runInBackground:   runInline,
	}, nil
}

func (r *replica) propose(p proposal) { r.newProposals = append(r.newProposals, p) }

func (r *replica) read(done readCallback) { r.newReads = append(r.newReads, done) }

// whenApplied calls done once the entry at index is applied here.
func (r *replica) whenApplied(index uint64, done func()) {
	if index <= r.core.Applied() {
		done()
		return
	}
	r.waiters = append(r.waiters, appliedWaiter{index: index, done: done})
}

// flush processes all queued work and returns the messages to send. Everything
// that the messages refer to is on disk by then.
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
	r.acknowledgeApplied()
	r.notifyAppliedWaiters()
	r.handleRoleChange()
	if err := r.maybeSnapshot(); err != nil {
		return nil, err
	}
	return r.attachSnapshots(out)
}

// codedError converts an error of the core to one with a result code.
func codedError(err error) error {
	code := result.NoQuorum
	if errors.Is(err, raft.ErrNotLeader) {
		code = result.NotLeader
	}
	return result.Refuse(code, 0, "%v", err)
}

// submitReads starts one quorum round for all queued reads.
func (r *replica) submitReads() {
	if len(r.newReads) == 0 {
		return
	}
	reads := r.newReads
	r.newReads = nil
	r.lastToken++
	if err := r.core.ReadIndex(r.lastToken); err != nil {
		for _, done := range reads {
			done(0, codedError(err))
		}
		return
	}
	r.readsByToken[r.lastToken] = reads
}

// save writes the snapshot, hard state and entries of rd to disk. A snapshot is
// written before the entries that follow it.
func (r *replica) save(rd raft.Ready) error {
	if rd.HardState == nil && len(rd.Entries) == 0 {
		return nil
	}
	defer r.scope.Timer("disk_save").Start().Stop()
	if rd.Snapshot != nil {
		if err := r.storage.Install(*rd.Snapshot, *rd.HardState); err != nil {
			return err
		}
		r.snapshotIndex = rd.Snapshot.Index
		r.snapshotSize = int64(len(rd.Snapshot.Data))
	}
	return r.storage.Save(rd.HardState, rd.Entries)
}

func (r *replica) apply(rd raft.Ready) error {
	if s := rd.Snapshot; s != nil {
		if err := r.sm.Restore(s.Data); err != nil {
			return result.New(result.SnapshotDamaged, "restore snapshot at index %d: %v", s.Index, err)
		}
		r.log.Info("snapshot installed", "index", s.Index, "bytes", len(s.Data))
	}
	for i := range rd.Committed {
		r.applyEntry(&rd.Committed[i])
	}
	for _, read := range rd.Reads {
		for _, done := range r.readsByToken[read.Token] {
			done(read.Index, nil)
		}
		delete(r.readsByToken, read.Token)
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
			r.log.Error("decode command failed", "code", int(result.BadCommand), "index", e.Index, "error", err)
			return
		}
		res := r.sm.Apply(e.Index, e.Term, cmd)
		r.scope.Counter("commands_applied").Inc(1)
		if a := r.appendedProposals[cmd.ID]; a != nil {
			r.appliedProposals = append(r.appliedProposals, &applied{appended: *a, id: cmd.ID, index: e.Index, res: res})
			delete(r.appendedProposals, cmd.ID)
		}
	}
}

func (r *replica) notifyAppliedWaiters() {
	applied := r.core.Applied()
	remaining := r.waiters[:0]
	for _, w := range r.waiters {
		if w.index <= applied {
			w.done()
			continue
		}
		remaining = append(remaining, w)
	}
	clear(r.waiters[len(remaining):])
	r.waiters = remaining
}

// handleRoleChange fails all pending proposals and reads when this replica lost
// the leadership. The next leader may still commit the commands, so the error
// does not say that they did not run.
func (r *replica) handleRoleChange() {
	isLeader := r.core.Role() == raft.Leader
	if isLeader == r.wasLeader {
		return
	}
	r.wasLeader = isLeader
	r.log.Info("leadership", "leads", isLeader, "term", r.core.Term())
	if isLeader {
		r.scope.Counter("elections_won").Inc(1)
		return
	}
	r.failPending(result.New(result.ProposalLost, "leadership lost"))
}

// failPending fails all pending proposals and reads with err.
func (r *replica) failPending(err error) {
	for id, a := range r.appendedProposals {
		a.fail(err)
		delete(r.appendedProposals, id)
	}
	for _, a := range r.appliedProposals {
		a.fail(err)
	}
	r.appliedProposals = nil
	for token, reads := range r.readsByToken {
		for _, done := range reads {
			done(0, err)
		}
		delete(r.readsByToken, token)
	}
}

// maybeSnapshot starts a snapshot if enough was applied since the last one.
// Encoding and writing may take long, so both run in the background.
func (r *replica) maybeSnapshot() error {
	if r.snapshotPending || !r.snapshotDue() {
		return nil
	}
	if r.cfg.diskless() {
		r.compact(r.core.Applied())
		return nil
	}
	s, encode := r.captureSnapshot()
	r.snapshotPending = true
	work := func() (err error) {
		if s.Data, err = encode(); err != nil {
			return err
		}
		return r.storage.WriteSnapshot(s)
	}
	return r.runInBackground(work, func(err error) error {
		r.snapshotPending = false
		return r.finishSnapshot(s, err)
	})
}

// jitteredSnapshotInterval adds up to 50% to entries, depending on the replica
// ID.
func jitteredSnapshotInterval(entries int, replica string) uint64 {
	jitter := uint64(entries/2 + 1)
	return uint64(entries) + xxhash.Sum64String(replica)%jitter
}

// snapshotDue reports whether the log is long enough for a new snapshot. The
// larger the last snapshot, the longer the log has to be, so that snapshots
// write no more bytes than the log itself.
func (r *replica) snapshotDue() bool {
	entries := r.core.Applied() - r.snapshotIndex
	if entries < r.snapshotInterval {
		return entries > 0 && r.storage.Bytes() >= max(r.cfg.SnapshotBytes, r.snapshotSize)
	}
	return r.cfg.diskless() || r.storage.Bytes() >= r.snapshotSize
}

func (r *replica) compact(index uint64) {
	r.snapshotIndex = index
	r.core.Compact(r.cfg.RetainEntries, r.cfg.RetainBytes)
}

// finishSnapshot drops the log that a snapshot covers once it is on disk.
func (r *replica) finishSnapshot(s raft.Snapshot, err error) error {
	if err != nil {
		return result.New(result.DiskFailed, "save snapshot: %v", err)
	}
	if s.Index <= r.snapshotIndex {
		// A newer snapshot from the leader was installed meanwhile.
		return nil
	}
	if err := r.storage.Truncate(s.Index); err != nil {
		return err
	}
	r.snapshotSize = int64(len(s.Data))
	r.compact(s.Index)
	r.log.Info("snapshot saved", "index", s.Index, "bytes", len(s.Data))
	return nil
}

// runInline runs work and then onDone synchronously.
func runInline(work func() error, onDone func(error) error) error {
	return onDone(work())
}

// captureSnapshot returns a snapshot without its data, and a function that
// encodes the data. If the state machine has a Capture method, the function may
// run concurrently with Apply.
func (r *replica) captureSnapshot() (raft.Snapshot, func() ([]byte, error)) {
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
	s, encode := r.captureSnapshot()
	data, err := encode()
	s.Data = data
	return s, errors.Wrap(err, "take snapshot")
}

// attachSnapshots adds a snapshot of the current state to each InstallSnapshot
// message.
func (r *replica) attachSnapshots(out []raft.Message) ([]raft.Message, error) {
	var snapshot *raft.Snapshot
	for i := range out {
		if out[i].Kind != raft.InstallSnapshot {
			continue
		}
		if snapshot == nil {
			s, err := r.takeSnapshot()
			if err != nil {
				return nil, err
			}
			snapshot = &s
		}
		out[i].Snapshot = snapshot
	}
	return out, nil
}
