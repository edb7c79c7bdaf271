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

// Create creates the log of a replica that bootstraps or joins a cluster. An
// existing log must be empty. It is called before the identity is assigned to
// the cluster, because an identity with a cluster but without a log is treated
// as damage.
func Create(fs FS, dir string) error {
	l := &Log{fs: fs, dir: dir}
	segments, _, err := l.listFiles()
	if err != nil {
		return err
	}
	if len(segments) == 0 {
		if err := l.startSegment(nil); err != nil {
			return err
		}
		return l.Close()
	}
	l, stored, err := Open(fs, dir, raft.Snapshot{})
	if err != nil {
		return err
	}
	if len(stored.Entries) > 0 || stored.Snapshot.Index > 0 || stored.HardState.Term > 0 {
		return result.New(result.LogDamaged, "the data folder has a log but no cluster")
	}
	return l.Close()
}

// Open reads the log of a data folder. If there is no snapshot, the log starts
// at base.
func Open(fs FS, dir string, base raft.Snapshot) (*Log, raft.StoredState, error) {
	l := &Log{fs: fs, dir: dir}
	stored := raft.StoredState{Snapshot: base}
	segments, snapshots, err := l.listFiles()
	if err != nil {
		return nil, stored, err
	}
	if len(segments) == 0 {
		return nil, stored, result.New(result.LogDamaged, "the data folder has no log segments")
	}
	if n := len(snapshots); n > 0 {
		if stored.Snapshot, err = l.readSnapshot(snapshots[n-1]); err != nil {
			return nil, stored, err
		}
	}
	r := &replayer{log: l}
	for i, number := range segments {
		if err := r.replaySegment(number, i == len(segments)-1); err != nil {
			return nil, stored, err
		}
	}
	stored.HardState = l.hardState
	var replaced bool
	if stored.Entries, replaced, err = r.entriesAfter(stored.Snapshot); err != nil {
		return nil, stored, err
	}
	if err := l.resume(stored, replaced); err != nil {
		return nil, stored, err
	}
	return l, stored, nil
}

// listFiles returns the numbers of the segments and snapshots. It removes
// temporary files left by a crash.
func (l *Log) listFiles() (segments, snapshots []uint64, err error) {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return nil, nil, result.New(result.DiskFailed, "list folder: %v", err)
	}
	for _, name := range names {
		if strings.HasPrefix(name, tmpPrefix) {
			if err := l.removeFile(name); err != nil {
				return nil, nil, err
			}
		}
		if n, ok := parseFileName(name, segmentPrefix); ok {
			segments = append(segments, n)
		}
		if n, ok := parseFileName(name, snapshotPrefix); ok {
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
		err = errors.Newf("unexpected index %d", s.Index)
	}
	if err != nil {
		return s, result.New(result.SnapshotDamaged, "%s: %v", snapshotName(index), err)
	}
	return s, nil
}

// resume prepares the log for appending after a replay. replaced is set if the snapshot
// replaces the entries of the log: nothing may be appended to the segment that contains
// them, since a replay would drop it with them.
func (l *Log) resume(stored raft.StoredState, replaced bool) error {
	l.lastIndex = lastIndexOf(stored)
	if replaced {
		s := stored.Snapshot
		return l.startSegment(&position{Index: s.Index, Term: s.Term})
	}
	return l.openSegment(l.segments[len(l.segments)-1].name())
}

func lastIndexOf(stored raft.StoredState) uint64 {
	return stored.Snapshot.Index + uint64(len(stored.Entries))
}

// replayer rebuilds the log from its records.
type replayer struct {
	log *Log
	// base is the position of the entry before entries[0].
	base    position
	entries []raft.Entry
}

// lastIndex returns the index of the last entry.
func (r *replayer) lastIndex() uint64 {
	if n := len(r.entries); n > 0 {
		return r.entries[n-1].Index
	}
	return r.base.Index
}

// replaySegment replays one segment. Only the last segment may end in a torn
// record.
func (r *replayer) replaySegment(number uint64, final bool) error {
	l := r.log
	s := segment{number: number}
	if n := len(l.segments); n > 0 && l.segments[n-1].number+1 != number {
		return result.New(result.LogDamaged, "the segment before %s is missing", s.name())
	}
	l.segments = append(l.segments, s)
	path := filepath.Join(l.dir, s.name())
	data, err := l.fs.ReadFile(path)
	if err != nil {
		return result.New(result.DiskFailed, "read %s: %v", s.name(), err)
	}
	l.lastChecksum = 0
	for off := 0; off < len(data); {
		body, sum, err := decodeRecord(data, off, l.lastChecksum)
		if errors.Is(err, errTornRecord) && final && off > 0 {
			return r.truncateTornRecord(path, off)
		}
		if err != nil {
			return result.New(result.LogDamaged, "%s at byte %d: %v", s.name(), off, err)
		}
		if err := r.applyRecord(body, off == 0); err != nil {
			return result.New(result.LogDamaged, "%s at byte %d: %v", s.name(), off, err)
		}
		l.lastChecksum = sum
		off += recordBytes(body)
	}
	l.bytesSinceSnapshot, l.segmentSize = int64(len(data)), int64(len(data))
	if len(data) == 0 {
		return result.New(result.LogDamaged, "%s is empty", s.name())
	}
	return nil
}

// truncateTornRecord removes a torn record and syncs the file, so that the
// truncation is durable before anything is appended.
func (r *replayer) truncateTornRecord(path string, size int) error {
	l := r.log
	l.bytesSinceSnapshot, l.segmentSize = int64(size), int64(size)
	if err := l.fs.Truncate(path, int64(size)); err != nil {
		return l.markFailed("truncate torn record", err)
	}
	f, err := l.fs.Append(path)
	if err != nil {
		return l.markFailed("truncate torn record", err)
	}
	defer func() { _ = f.Close() }()
	if err := f.Sync(); err != nil {
		return l.markFailed("truncate torn record", err)
	}
	return nil
}

// applyRecord replays one record; first is set for the first of a segment.
func (r *replayer) applyRecord(body []byte, first bool) error {
	var rec record
	if err := cbor.Unmarshal(body, &rec); err != nil {
		return err
	}
	s := &r.log.segments[len(r.log.segments)-1]
	if first != (rec.Begin != nil) {
		return errors.New("segment start record missing or misplaced")
	}
	if rec.Begin != nil && (rec.Begin.Format != formatVersion || rec.Begin.Number != s.number) {
		return errors.Newf("unexpected segment number %d or format %d", rec.Begin.Number, rec.Begin.Format)
	}
	if rec.Begin != nil && len(r.entries) == 0 {
		// Entries up to Last are not in the log; a snapshot must cover them.
		r.base.Index = rec.Begin.Last
	}
	if rec.Reset != nil {
		r.base, r.entries = *rec.Reset, nil
	}
	if rec.HardState != nil {
		r.log.hardState = *rec.HardState
	}
	if n := len(rec.Entries); n > 0 {
		s.lastIndex = max(s.lastIndex, rec.Entries[n-1].Index)
		return r.addEntries(rec.Entries)
	}
	return nil
}

// addEntries appends entries, which replace those from the first one's index on.
func (r *replayer) addEntries(entries []raft.Entry) error {
	first := entries[0].Index
	for i, e := range entries {
		if e.Index == 0 || e.Index != first+uint64(i) {
			return errors.Newf("record has entry %d at position %d after its first entry %d", e.Index, i, first)
		}
	}
	switch {
	case len(r.entries) == 0:
		// The entries before are covered by a snapshot, which entriesAfter checks.
	case first > r.lastIndex()+1:
		return errors.Newf("entry %d does not follow %d", first, r.lastIndex())
	case first < r.entries[0].Index:
		// The entries before first are in a segment that a snapshot replaced.
		r.entries = nil
	default:
		r.entries = r.entries[:first-r.entries[0].Index]
	}
	r.entries = append(r.entries, entries...)
	return nil
}

// entriesAfter returns the entries that follow a snapshot. If the log has no
// entry with the snapshot's index and term, the snapshot came from the leader
// and replaces the log, and a crash prevented the write of the new segment that
// records this.
func (r *replayer) entriesAfter(s raft.Snapshot) (entries []raft.Entry, replaced bool, err error) {
	if r.lastIndex() < s.Index {
		return nil, true, nil
	}
	first := r.lastIndex() + 1
	if len(r.entries) > 0 {
		first = r.entries[0].Index
	}
	if first > s.Index+1 {
		return nil, false, result.New(result.LogDamaged, "entries %d to %d are missing", s.Index+1, first-1)
	}
	if first == s.Index+1 {
		return r.entries, false, nil
	}
	if r.entries[s.Index-first].Term != s.Term {
		return nil, true, nil
	}
	return r.entries[s.Index+1-first:], false, nil
}
