package state

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/waxwingpost/waxwingpost/process/control"
)

// queuedRecord is an entry of the expiry queue.
type queuedRecord struct {
	key  callKey
	time int64
}

// callTable holds the records of non-repeatable calls. Records are dropped only
// by age, never to free space: a full table rejects new calls. A fingerprint is
// kept for each dropped call that ran or may have run, so that a late retry is
// rejected instead of executed again.
type callTable struct {
	records     map[callKey]*callRecord
	expiryQueue []queuedRecord
	dropped     *fingerprintSet
	maxRecords  int
	// cutoff is the time before which records are dropped, and before which keys
	// that contain their creation time are rejected.
	cutoff int64
}

func newCallTable(opts Options) *callTable {
	return &callTable{
		records:    make(map[callKey]*callRecord),
		dropped:    newFingerprintSet(opts.MaxDroppedKeys),
		maxRecords: opts.MaxCalls,
	}
}

func (t *callTable) get(key callKey) (*callRecord, bool) {
	r, ok := t.records[key]
	return r, ok
}

func (t *callTable) full() bool {
	return len(t.records) >= t.maxRecords
}

func (t *callTable) add(key callKey, r *callRecord) {
	t.records[key] = r
	t.expiryQueue = append(t.expiryQueue, queuedRecord{key: key, time: r.changedAt})
}

// replace replaces a record that is already in the expiry queue.
func (t *callTable) replace(key callKey, r *callRecord) {
	t.records[key] = r
}

// maxExpiredPerCommand bounds the records that one command may drop, so that a
// shorter retention doesn't block the log.
const maxExpiredPerCommand = 1024

// expire drops records whose last change is older than retention. The queue
// holds each record once, ordered by the time at which it was queued. A record
// that has changed since then is queued again.
func (t *callTable) expire(now int64, retention time.Duration) {
	t.cutoff = max(t.cutoff, now-retention.Milliseconds())
	for range maxExpiredPerCommand {
		if len(t.expiryQueue) == 0 || t.expiryQueue[0].time >= t.cutoff {
			return
		}
		first := t.expiryQueue[0]
		t.expiryQueue = t.expiryQueue[1:]
		r := t.records[first.key]
		if r.changedAt >= t.cutoff {
			t.expiryQueue = append(t.expiryQueue, queuedRecord{key: first.key, time: r.changedAt})
			continue
		}
		delete(t.records, first.key)
		if r.outcome != control.AttemptNotRun {
			t.dropped.add(first.key)
		}
	}
}

func (t *callTable) wasDropped(key callKey) bool {
	return t.dropped.has(key)
}

// keyTooOld reports whether a key was created before the cutoff. Only UUIDs of
// version 7 contain their creation time.
func (t *callTable) keyTooOld(key string) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return false
	}
	var raw [8]byte
	copy(raw[2:], id[:6])
	return int64(binary.BigEndian.Uint64(raw[:])) < t.cutoff
}

// generationSize is the number of fingerprints that are evicted together.
const generationSize = 1 << 14

// fingerprintSet is a set of 64-bit fingerprints that evicts the oldest
// generation first. The newest generation is searched through a map, sealed
// generations by binary search.
type fingerprintSet struct {
	maxSize     int
	sealed      [][]uint64
	newest      []uint64
	newestIndex map[uint64]struct{}
}

func newFingerprintSet(maxSize int) *fingerprintSet {
	return &fingerprintSet{maxSize: maxSize, newestIndex: make(map[uint64]struct{})}
}

func fingerprintOf(key callKey) uint64 {
	return binary.BigEndian.Uint64(key[:8])
}

func (f *fingerprintSet) add(key callKey) {
	fp := fingerprintOf(key)
	f.newest = append(f.newest, fp)
	f.newestIndex[fp] = struct{}{}
	if len(f.newest) < generationSize {
		return
	}
	generation := slices.Clone(f.newest)
	slices.Sort(generation)
	f.sealed = append(f.sealed, generation)
	f.newest, f.newestIndex = nil, make(map[uint64]struct{})
	if len(f.sealed) > max(1, f.maxSize/generationSize) {
		f.sealed = f.sealed[1:]
	}
}

func (f *fingerprintSet) has(key callKey) bool {
	fp := fingerprintOf(key)
	if _, ok := f.newestIndex[fp]; ok {
		return true
	}
	for _, generation := range f.sealed {
		if _, ok := slices.BinarySearch(generation, fp); ok {
			return true
		}
	}
	return false
}

func (f *fingerprintSet) len() int {
	return len(f.sealed)*generationSize + len(f.newest)
}
