package wal

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	identityName   = "identity"
	lockName       = "lock"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	tmpPrefix      = "tmp-"
)

// formatVersion is written to each segment; another one is refused.
const formatVersion = 1

// record is the body of a record of the log. Its fields take effect in order.
type record struct {
	// Begin opens a segment.
	Begin *begin `cbor:"1,keyasint,omitempty"`
	// Reset says that the log continues after this position.
	Reset *position       `cbor:"2,keyasint,omitempty"`
	Hard  *raft.HardState `cbor:"3,keyasint,omitempty"`
	// Entries replace what the log holds from the first one's index on.
	Entries []raft.Entry `cbor:"4,keyasint,omitempty"`
}

// begin is the first thing in a segment.
type begin struct {
	Format int    `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	// Last is the index that the log had reached.
	Last uint64 `cbor:"3,keyasint"`
}

// position is an entry's place in the log.
type position struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// segment is a file of the log.
type segment struct {
	number uint64
	// last is the highest index that the segment holds an entry of.
	last uint64
}

func (s segment) name() string { return fmt.Sprintf("%s%016x", segmentPrefix, s.number) }

// Log is an open log. The zero value is not usable; see Open.
type Log struct {
	fs   FS
	dir  string
	file File
	// segments are the files of the log, oldest first; the last one is open.
	segments []segment
	// chain is the checksum of the last record.
	chain uint32
	hard  raft.HardState
	// last is the index of the last entry.
	last uint64
	// bytes counts what was written since the last snapshot; after a restart
	// it is the size of the open segment.
	bytes int64
	// size is that of the open segment; it is ended at segmentBytes.
	size         int64
	segmentBytes int64
	err          error
}

// SetSegmentBytes sets the size from which on Truncate begins a new segment.
// Beginning one costs syncs on the path of the log, so it must not happen at
// every snapshot. At zero, the default, it does.
func (l *Log) SetSegmentBytes(n int64) { l.segmentBytes = n }

// Save writes a hard state, which may be nil, and entries as one record and
// syncs it.
func (l *Log) Save(hs *raft.HardState, entries []raft.Entry) error {
	if l.err != nil {
		return l.err
	}
	if hs == nil && len(entries) == 0 {
		return nil
	}
	data, sum, err := l.encode(record{Hard: hs, Entries: entries}, l.chain)
	if err != nil {
		return err
	}
	if err := writeSynced(l.file, data); err != nil {
		return l.fail("append", err)
	}
	l.chain = sum
	l.bytes += int64(len(data))
	l.size += int64(len(data))
	if hs != nil {
		l.hard = *hs
	}
	if n := len(entries); n > 0 {
		s := &l.segments[len(l.segments)-1]
		l.last = entries[n-1].Index
		s.last = max(s.last, l.last)
	}
	return nil
}

// SaveSnapshot saves a snapshot of this replica's own state and removes the
// part of the log that it covers.
func (l *Log) SaveSnapshot(s raft.Snapshot) error {
	if l.err != nil {
		return l.err
	}
	if err := l.WriteSnapshot(s); err != nil {
		return l.fail("save snapshot", err)
	}
	return l.Truncate(s.Index)
}

// WriteSnapshot saves a snapshot and leaves the log as it is. Unlike all other
// methods it may run beside them.
func (l *Log) WriteSnapshot(s raft.Snapshot) error {
	body, err := cbor.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	data, _ := encodeRecord(0, body)
	return replaceFile(l.fs, l.dir, snapshotName(s.Index), data)
}

// Truncate removes the part of the log that a saved snapshot up to index
// covers, by whole segments.
func (l *Log) Truncate(index uint64) error {
	if l.err != nil {
		return l.err
	}
	l.bytes = 0
	if l.size >= l.segmentBytes {
		if err := l.cut(nil); err != nil {
			return err
		}
	}
	return l.prune(index)
}

// Install saves a snapshot that came from the leader and replaces the whole
// log by it.
func (l *Log) Install(s raft.Snapshot, hs raft.HardState) error {
	if l.err != nil {
		return l.err
	}
	if err := l.WriteSnapshot(s); err != nil {
		return l.fail("save snapshot", err)
	}
	l.hard = hs
	if err := l.cut(&position{Index: s.Index, Term: s.Term}); err != nil {
		return err
	}
	last := len(l.segments) - 1
	for i := range l.segments[:last] {
		l.segments[i].last = 0
	}
	return l.prune(s.Index)
}

// Bytes returns how much was written since the last snapshot.
func (l *Log) Bytes() int64 { return l.bytes }

// Close closes the file. What was saved is on disk already.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	if l.err == nil {
		l.err = result.New(result.DiskFailed, "the log is closed")
	}
	return err
}

// fail poisons the log: after a failed write or sync the content of the file
// is unknown, and a second sync may report success for lost data.
func (l *Log) fail(what string, err error) error {
	l.err = result.New(result.DiskFailed, "%s: %v", what, err)
	return l.err
}

func (l *Log) encode(r record, prev uint32) ([]byte, uint32, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, 0, errors.Wrap(err, "encode record")
	}
	data, sum := encodeRecord(prev, body)
	return data, sum, nil
}

// cut begins a new segment, which repeats the hard state so that the older
// segments can go. The new file appears whole or not at all.
func (l *Log) cut(reset *position) error {
	if l.err != nil {
		return l.err
	}
	next := segment{number: 1}
	if n := len(l.segments); n > 0 {
		next.number = l.segments[n-1].number + 1
	}
	if reset != nil {
		l.last = reset.Index
	}
	hs := l.hard
	first := record{
		Begin: &begin{Format: formatVersion, Number: next.number, Last: l.last},
		Reset: reset,
		Hard:  &hs,
	}
	data, sum, err := l.encode(first, 0)
	if err != nil {
		return err
	}
	if err := replaceFile(l.fs, l.dir, next.name(), data); err != nil {
		return l.fail("begin segment", err)
	}
	if err := l.open(next.name()); err != nil {
		return err
	}
	l.segments = append(l.segments, next)
	l.chain = sum
	l.bytes = 0
	l.size = int64(len(data))
	return nil
}

// open makes a segment the one that records are appended to.
func (l *Log) open(name string) error {
	if l.file != nil {
		_ = l.file.Close()
	}
	f, err := l.fs.Append(filepath.Join(l.dir, name))
	if err != nil {
		return l.fail("open segment", err)
	}
	l.file = f
	return nil
}

// prune removes the segments and snapshots that a snapshot up to index
// replaces, oldest first, so that a crash leaves no gap.
func (l *Log) prune(index uint64) error {
	for len(l.segments) > 1 && l.segments[0].last <= index {
		if err := l.remove(l.segments[0].name()); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return l.fail("list folder", err)
	}
	for _, name := range names {
		if at, ok := parseName(name, snapshotPrefix); ok && at < index {
			if err := l.remove(name); err != nil {
				return err
			}
		}
	}
	return nil
}

// remove deletes a file. That need not last at once: what comes back after a
// crash is removed again.
func (l *Log) remove(name string) error {
	if err := l.fs.Remove(filepath.Join(l.dir, name)); err != nil {
		return l.fail("remove "+name, err)
	}
	return nil
}

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// parseName returns the number in a file name that begins with prefix.
func parseName(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	var n uint64
	if _, err := fmt.Sscanf(digits, "%016x", &n); err != nil || len(digits) != 16 {
		return 0, false
	}
	return n, true
}
