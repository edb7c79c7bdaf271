package state

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/waxwingpost/waxwingpost/process/control"
)

// expiry is a record's place in the queue of records by age.
type expiry struct {
	key  callKey
	time int64
}

// callTable holds the records of calls that may not be repeated. A record is
// dropped only by age, never for room: a full table refuses new calls. Of a
// dropped call that ran or may have run a fingerprint stays, so that a late
// resend is refused and not run.
type callTable struct {
	records   map[callKey]*record
	queue     []expiry
	forgotten *fingerprints
	limit     int
	// oldest is the time before which keys that carry their time are refused.
	oldest int64
}

func newCallTable(opts Options) *callTable {
	return &callTable{
		records:   make(map[callKey]*record),
		forgotten: newFingerprints(opts.MaxForgotten),
		limit:     opts.MaxCalls,
	}
}

func (t *callTable) get(key callKey) (*record, bool) {
	r, ok := t.records[key]
	return r, ok
}

func (t *callTable) full() bool {
	return len(t.records) >= t.limit
}

func (t *callTable) add(key callKey, r *record) {
	t.records[key] = r
	t.queue = append(t.queue, expiry{key: key, time: r.age})
}

// replace changes a record that is queued already.
func (t *callTable) replace(key callKey, r *record) {
	t.records[key] = r
}

// maxExpired bounds the records that one command may drop, so that a shorter
// retention doesn't stall the log.
const maxExpired = 1024

// expire drops records whose last change is older than retention. The queue
// holds each record once, by the time at which it was queued; a record that
// changed since is queued anew.
func (t *callTable) expire(now int64, retention time.Duration) {
	t.oldest = max(t.oldest, now-retention.Milliseconds())
	for range maxExpired {
		if len(t.queue) == 0 || t.queue[0].time >= t.oldest {
			return
		}
		head := t.queue[0]
		t.queue = t.queue[1:]
		r := t.records[head.key]
		if r.age >= t.oldest {
			t.queue = append(t.queue, expiry{key: head.key, time: r.age})
			continue
		}
		delete(t.records, head.key)
		if r.verdict != control.AttemptNotRun {
			t.forgotten.add(head.key)
		}
	}
}

func (t *callTable) wasForgotten(key callKey) bool {
	return t.forgotten.has(key)
}

// tooOld reports whether a key tells that it was made before the oldest time
// that records are kept for. Only UUIDs of version 7 tell their time.
func (t *callTable) tooOld(key string) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return false
	}
	var raw [8]byte
	copy(raw[2:], id[:6])
	return int64(binary.BigEndian.Uint64(raw[:])) < t.oldest
}

// generationSize is the number of fingerprints that are dropped together.
const generationSize = 1 << 14

// fingerprints is a set of 64-bit fingerprints in order of age. The newest
// ones are searched by a map, sealed generations by binary search.
type fingerprints struct {
	limit  int
	sealed [][]uint64
	newest []uint64
	index  map[uint64]struct{}
}

func newFingerprints(limit int) *fingerprints {
	return &fingerprints{limit: limit, index: make(map[uint64]struct{})}
}

func fingerprintOf(key callKey) uint64 {
	return binary.BigEndian.Uint64(key[:8])
}

func (f *fingerprints) add(key callKey) {
	fp := fingerprintOf(key)
	f.newest = append(f.newest, fp)
	f.index[fp] = struct{}{}
	if len(f.newest) < generationSize {
		return
	}
	generation := slices.Clone(f.newest)
	slices.Sort(generation)
	f.sealed = append(f.sealed, generation)
	f.newest, f.index = nil, make(map[uint64]struct{})
	if len(f.sealed) > max(1, f.limit/generationSize) {
		f.sealed = f.sealed[1:]
	}
}

func (f *fingerprints) has(key callKey) bool {
	fp := fingerprintOf(key)
	if _, ok := f.index[fp]; ok {
		return true
	}
	for _, generation := range f.sealed {
		if _, ok := slices.BinarySearch(generation, fp); ok {
			return true
		}
	}
	return false
}

func (f *fingerprints) len() int {
	return len(f.sealed)*generationSize + len(f.newest)
}
