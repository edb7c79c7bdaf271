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

// formatVersion is stored in each segment; segments with any other version are
// rejected.
const formatVersion = 1

// record is the body of a record of the log. Its fields take effect in order.
type record struct {
	// Begin is set in the first record of a segment.
	Begin *segmentHeader `cbor:"1,keyasint,omitempty"`
	// Reset drops all earlier entries; the log continues after this position.
	Reset     *position       `cbor:"2,keyasint,omitempty"`
	HardState *raft.HardState `cbor:"3,keyasint,omitempty"`
	// Entries replace the log from the first one's index on.
	Entries []raft.Entry `cbor:"4,keyasint,omitempty"`
}

// segmentHeader describes a segment, in its first record.
type segmentHeader struct {
	Format int    `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	// Last is the log's last index when the segment was created.
	Last uint64 `cbor:"3,keyasint"`
}

// position is the index and term of a log entry.
type position struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// segment is a file of the log.
type segment struct {
	number uint64
	// lastIndex is the highest index of the segment's entries.
	lastIndex uint64
}

func (s segment) name() string { return fmt.Sprintf("%s%016x", segmentPrefix, s.number) }

// Log is an open log. The zero value is not usable; see Open.
type Log struct {
	fs   FS
	dir  string
	file File
	// segments are the files of the log, oldest first; the last one is open.
	segments []segment
	// lastChecksum is the checksum of the last record, which seeds the next one.
	lastChecksum uint32
	hardState    raft.HardState
	// lastIndex is the index of the last entry.
	lastIndex uint64
	// bytesSinceSnapshot counts the bytes written since the last snapshot. After
	// a restart it starts with the size of the open segment.
	bytesSinceSnapshot int64
	// segmentSize is the size of the open segment. Once it reaches segmentBytes,
	// Truncate starts a new segment.
	segmentSize  int64
	segmentBytes int64
	err          error
}

// SetSegmentBytes sets the minimum segment size at which Truncate starts a new
// segment. A new segment needs syncs that delay log writes, so it should not be
// started at every snapshot. With zero, the default, every call of Truncate
// starts one.
func (l *Log) SetSegmentBytes(n int64) { l.segmentBytes = n }

// Save writes the hard state, which may be nil, and the entries as one record
// and syncs it.
func (l *Log) Save(hs *raft.HardState, entries []raft.Entry) error {
	if l.err != nil {
		return l.err
	}
	if hs == nil && len(entries) == 0 {
		return nil
	}
	data, sum, err := l.encode(record{HardState: hs, Entries: entries}, l.lastChecksum)
	if err != nil {
		return err
	}
	if err := writeSynced(l.file, data); err != nil {
		return l.markFailed("append", err)
	}
	l.lastChecksum = sum
	l.bytesSinceSnapshot += int64(len(data))
	l.segmentSize += int64(len(data))
	if hs != nil {
		l.hardState = *hs
	}
	if n := len(entries); n > 0 {
		s := &l.segments[len(l.segments)-1]
		l.lastIndex = entries[n-1].Index
		s.lastIndex = max(s.lastIndex, l.lastIndex)
	}
	return nil
}

// SaveSnapshot saves a snapshot of this replica's state and removes the part of
// the log that it covers.
func (l *Log) SaveSnapshot(s raft.Snapshot) error {
	if l.err != nil {
		return l.err
	}
	if err := l.WriteSnapshot(s); err != nil {
		return l.markFailed("save snapshot", err)
	}
	return l.Truncate(s.Index)
}

// WriteSnapshot saves a snapshot without changing the log. It is the only method
// that may run concurrently with the others.
func (l *Log) WriteSnapshot(s raft.Snapshot) error {
	body, err := cbor.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	data, _ := encodeRecord(0, body)
	return replaceFile(l.fs, l.dir, snapshotName(s.Index), data)
}

// Truncate removes the segments that a saved snapshot up to index covers
// completely, and the older snapshots.
func (l *Log) Truncate(index uint64) error {
	if l.err != nil {
		return l.err
	}
	l.bytesSinceSnapshot = 0
	if l.segmentSize >= l.segmentBytes {
		if err := l.startSegment(nil); err != nil {
			return err
		}
	}
	return l.prune(index)
}

// Install saves a snapshot received from the leader, which replaces the whole
// log.
func (l *Log) Install(s raft.Snapshot, hs raft.HardState) error {
	if l.err != nil {
		return l.err
	}
	if err := l.WriteSnapshot(s); err != nil {
		return l.markFailed("save snapshot", err)
	}
	l.hardState = hs
	if err := l.startSegment(&position{Index: s.Index, Term: s.Term}); err != nil {
		return err
	}
	// Earlier segments may have entries above s.Index; prune removes those too.
	last := len(l.segments) - 1
	for i := range l.segments[:last] {
		l.segments[i].lastIndex = 0
	}
	return l.prune(s.Index)
}

// Bytes returns the number of bytes written to the log since the last snapshot.
func (l *Log) Bytes() int64 { return l.bytesSinceSnapshot }

// Close closes the log. All saved data is already on disk.
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

// markFailed makes all further operations fail. After a failed write or sync the
// content of the file is unknown, and a second sync may report success although
// data was lost.
func (l *Log) markFailed(what string, err error) error {
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

// startSegment starts a new segment. It repeats the hard state, so that older
// segments can be removed. The new file is created atomically.
func (l *Log) startSegment(reset *position) error {
	if l.err != nil {
		return l.err
	}
	newSegment := segment{number: 1}
	if n := len(l.segments); n > 0 {
		newSegment.number = l.segments[n-1].number + 1
	}
	if reset != nil {
		l.lastIndex = reset.Index
	}
	hs := l.hardState
	first := record{
		Begin:     &segmentHeader{Format: formatVersion, Number: newSegment.number, Last: l.lastIndex},
		Reset:     reset,
		HardState: &hs,
	}
	data, sum, err := l.encode(first, 0)
	if err != nil {
		return err
	}
	if err := replaceFile(l.fs, l.dir, newSegment.name(), data); err != nil {
		return l.markFailed("start segment", err)
	}
	if err := l.openSegment(newSegment.name()); err != nil {
		return err
	}
	l.segments = append(l.segments, newSegment)
	l.lastChecksum = sum
	l.bytesSinceSnapshot = 0
	l.segmentSize = int64(len(data))
	return nil
}

// openSegment opens the segment to which records are appended.
func (l *Log) openSegment(name string) error {
	if l.file != nil {
		_ = l.file.Close()
	}
	f, err := l.fs.Append(filepath.Join(l.dir, name))
	if err != nil {
		return l.markFailed("open segment", err)
	}
	l.file = f
	return nil
}

// prune removes the segments and snapshots that a snapshot up to index replaces.
// It removes the oldest first, so that a crash leaves no gap.
func (l *Log) prune(index uint64) error {
	for len(l.segments) > 1 && l.segments[0].lastIndex <= index {
		if err := l.removeFile(l.segments[0].name()); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return l.markFailed("list folder", err)
	}
	for _, name := range names {
		if n, ok := parseFileName(name, snapshotPrefix); ok && n < index {
			if err := l.removeFile(name); err != nil {
				return err
			}
		}
	}
	return nil
}

// removeFile removes a file. The removal need not be durable: a file that
// reappears after a crash is removed again.
func (l *Log) removeFile(name string) error {
	if err := l.fs.Remove(filepath.Join(l.dir, name)); err != nil {
		return l.markFailed("remove "+name, err)
	}
	return nil
}

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// parseFileName returns the number in a file name that starts with prefix.
func parseFileName(name, prefix string) (uint64, bool) {
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
