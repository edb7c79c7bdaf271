package wal

import (
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// Create begins the log of a replica that founds or joins a cluster. It must
// not hold anything yet. It is called before the identity names the cluster:
// an identity with a cluster but without a log is damage.
func Create(fs FS, dir string) error {
	l := &Log{fs: fs, dir: dir}
	segments, _, err := l.list()
	if err != nil {
		return err
	}
	if len(segments) == 0 {
		if err := l.cut(nil); err != nil {
			return err
		}
		return l.Close()
	}
	l, stored, err := Open(fs, dir, raft.Snapshot{})
	if err != nil {
		return err
	}
	if len(stored.Entries) > 0 || stored.Snapshot.Index > 0 || stored.HardState.Term > 0 {
		return result.New(result.LogDamaged, "the data folder holds a log without a cluster")
	}
	return l.Close()
}

// Open reads the log of a data folder. Base is the state that the log begins
// with until there is a snapshot.
func Open(fs FS, dir string, base raft.Snapshot) (*Log, raft.StoredState, error) {
	l := &Log{fs: fs, dir: dir}
	stored := raft.StoredState{Snapshot: base}
	segments, snapshots, err := l.list()
	if err != nil {
		return nil, stored, err
	}
	if len(segments) == 0 {
		return nil, stored, result.New(result.LogDamaged, "no segment of the log is left")
	}
	if n := len(snapshots); n > 0 {
		if stored.Snapshot, err = l.readSnapshot(snapshots[n-1]); err != nil {
			return nil, stored, err
		}
	}
	rep := &replay{log: l}
	for i, number := range segments {
		if err := rep.segment(number, i == len(segments)-1); err != nil {
			return nil, stored, err
		}
	}
	stored.HardState = l.hard
	if stored.Entries, err = rep.after(stored.Snapshot); err != nil {
		return nil, stored, err
	}
	if err := l.resume(rep, stored); err != nil {
		return nil, stored, err
	}
	return l, stored, nil
}

// list returns the numbers of segments and snapshots and drops files that were
// being written at a crash.
func (l *Log) list() (segments, snapshots []uint64, err error) {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return nil, nil, result.New(result.DiskFailed, "list folder: %v", err)
	}
	for _, name := range names {
		if strings.HasPrefix(name, tmpPrefix) {
			if err := l.remove(name); err != nil {
				return nil, nil, err
			}
		}
		if n, ok := parseName(name, segmentPrefix); ok {
			segments = append(segments, n)
		}
		if n, ok := parseName(name, snapshotPrefix); ok {
			snapshots = append(snapshots, n)
		}
	}
	slices.Sort(segments)
	slices.Sort(snapshots)
	return segments, snapshots, nil
}

func (l *Log) readSnapshot(index uint64) (raft.Snapshot, error) {
	var s raft.Snapshot
	data, err := l.fs.ReadFile(filepath.Join(l.dir, snapshotName(index)))
	if err != nil {
		return s, result.New(result.DiskFailed, "read snapshot: %v", err)
	}
	body, _, err := decodeRecord(data, 0, 0)
	if err == nil {
		err = cbor.Unmarshal(body, &s)
	}
	if err == nil && s.Index != index {
		err = errors.Newf("it is of index %d", s.Index)
	}
	if err != nil {
		return s, result.New(result.SnapshotDamaged, "%s: %v", snapshotName(index), err)
	}
	return s, nil
}

// resume makes the log ready for appending after a replay.
func (l *Log) resume(r *replay, stored raft.StoredState) error {
	l.last = lastOf(stored)
	// Entries that do not follow the snapshot were left out; the file that
	// holds them must not be continued.
	if r.last() != lastOf(stored) {
		s := stored.Snapshot
		return l.cut(&position{Index: s.Index, Term: s.Term})
	}
	return l.open(l.segments[len(l.segments)-1].name())
}

func lastOf(stored raft.StoredState) uint64 {
	return stored.Snapshot.Index + uint64(len(stored.Entries))
}

// replay rebuilds the log from its records.
type replay struct {
	log *Log
	// base is the position that the log had reached before entries[0].
	base    position
	entries []raft.Entry
}

// last returns the index of the last entry.
func (r *replay) last() uint64 {
	if n := len(r.entries); n > 0 {
		return r.entries[n-1].Index
	}
	return r.base.Index
}

// segment replays one file. Only the last one may end in a torn record.
func (r *replay) segment(number uint64, final bool) error {
	l := r.log
	s := segment{number: number}
	if n := len(l.segments); n > 0 && l.segments[n-1].number+1 != number {
		return result.New(result.LogDamaged, "a segment before %s is missing", s.name())
	}
	l.segments = append(l.segments, s)
	path := filepath.Join(l.dir, s.name())
	data, err := l.fs.ReadFile(path)
	if err != nil {
		return result.New(result.DiskFailed, "read %s: %v", s.name(), err)
	}
	l.chain = 0
	for off := 0; off < len(data); {
		body, sum, err := decodeRecord(data, off, l.chain)
		if errors.Is(err, errTorn) && final && off > 0 {
			return r.cutTail(path, off)
		}
		if err != nil {
			return result.New(result.LogDamaged, "%s at byte %d: %v", s.name(), off, err)
		}
		if err := r.apply(body, off == 0); err != nil {
			return result.New(result.LogDamaged, "%s at byte %d: %v", s.name(), off, err)
		}
		l.chain = sum
		off += recordBytes(body)
	}
	l.bytes, l.size = int64(len(data)), int64(len(data))
	if len(data) == 0 {
		return result.New(result.LogDamaged, "%s is empty", s.name())
	}
	return nil
}

// cutTail drops a torn record, and makes that last before anything is added.
func (r *replay) cutTail(path string, size int) error {
	l := r.log
	l.bytes, l.size = int64(size), int64(size)
	if err := l.fs.Truncate(path, int64(size)); err != nil {
		return l.fail("cut tail", err)
	}
	f, err := l.fs.Append(path)
	if err != nil {
		return l.fail("cut tail", err)
	}
	defer func() { _ = f.Close() }()
	if err := f.Sync(); err != nil {
		return l.fail("cut tail", err)
	}
	return nil
}

// apply takes one record.
func (r *replay) apply(body []byte, first bool) error {
	var rec record
	if err := cbor.Unmarshal(body, &rec); err != nil {
		return err
	}
	s := &r.log.segments[len(r.log.segments)-1]
	if first != (rec.Begin != nil) {
		return errors.New("the record does not belong here")
	}
	if rec.Begin != nil && (rec.Begin.Format != formatVersion || rec.Begin.Number != s.number) {
		return errors.Newf("segment %d of format %d", rec.Begin.Number, rec.Begin.Format)
	}
	if rec.Begin != nil && len(r.entries) == 0 {
		// What came before was removed: only a snapshot may stand in for it.
		r.base.Index = rec.Begin.Last
	}
	if rec.Reset != nil {
		r.base, r.entries = *rec.Reset, nil
	}
	if rec.Hard != nil {
		r.log.hard = *rec.Hard
	}
	if n := len(rec.Entries); n > 0 {
		s.last = max(s.last, rec.Entries[n-1].Index)
		return r.add(rec.Entries)
	}
	return nil
}

// add takes entries, which replace those from the first one's index on.
func (r *replay) add(entries []raft.Entry) error {
	first := entries[0].Index
	switch {
	case len(r.entries) == 0:
		// The records before are covered by a snapshot; see after.
	case first > r.last()+1:
		return errors.Newf("entry %d does not follow %d", first, r.last())
	case first < r.entries[0].Index:
		// What stood before is in a segment that a snapshot replaced.
		r.entries = nil
	default:
		r.entries = r.entries[:first-r.entries[0].Index]
	}
	r.entries = append(r.entries, entries...)
	return nil
}

// after returns the entries that follow a snapshot. When the log does not
// pass through the snapshot's position with the same term, the snapshot came
// from the leader and replaces the log, although the crash came before the new
// segment could say so.
func (r *replay) after(s raft.Snapshot) ([]raft.Entry, error) {
	if r.last() < s.Index {
		return nil, nil
	}
	first := r.last() + 1
	if len(r.entries) > 0 {
		first = r.entries[0].Index
	}
	if first > s.Index+1 {
		return nil, result.New(result.LogDamaged, "entries %d to %d are missing", s.Index+1, first-1)
	}
	if first == s.Index+1 {
		return r.entries, nil
	}
	if r.entries[s.Index-first].Term != s.Term {
		return nil, nil
	}
	return r.entries[s.Index+1-first:], nil
}
