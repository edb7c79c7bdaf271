// Package observation holds what the entries of a deployment have learned from the
// responses of backend servers and tell each other: that a server ended, that it
// limits its requests. A record is identified by its kind, its key and the process
// that made it. Of two records with the same identity the later one holds. Records
// expire, and each kind is bounded in number.
//
// The package has no clock and does no I/O. A Store is not safe for concurrent use.
package observation

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

// Kind is the type of the body of a record.
type Kind uint8

// Kinds of records. The key is the ID of a server, unless stated otherwise.
const (
	// BrokenOff means that a server broke off requests.
	BrokenOff Kind = 1
	// Alive means that a server has sent something after it broke off a request.
	Alive Kind = 2
	// Proven means that a server went on after it began an answer to a prompt with
	// the part that is the key.
	Proven Kind = 3
	// Quarantine means that prompts with the part that is the key are refused.
	Quarantine Kind = 4
	// Limit is what a server last said of the requests per second that it takes.
	Limit Kind = 5
	// Leaving means that a server has said that it leaves.
	Leaving Kind = 6
)

const (
	// maxRecords bounds the records of one kind.
	maxRecords = 1024
	// MaxBodyBytes and maxKeyBytes bound one record. Longer ones are not published.
	MaxBodyBytes = 16 << 10
	maxKeyBytes  = 512
	// maxTTL bounds the TTL of a record, and with it the age.
	maxTTL = 30 * 24 * time.Hour
)

// Record is one observation as it is sent.
type Record struct {
	Kind Kind   `cbor:"1,keyasint"`
	Key  string `cbor:"2,keyasint"`
	// Origin identifies the incarnation of the process that made the record.
	Origin string `cbor:"3,keyasint"`
	// Seq orders the records of an origin.
	Seq uint64 `cbor:"4,keyasint"`
	// Age is the time since the observation, and TTL the time after it for which the
	// record is kept, in milliseconds.
	Age  int64  `cbor:"5,keyasint"`
	TTL  int64  `cbor:"6,keyasint"`
	Body []byte `cbor:"7,keyasint,omitempty"`
	// At is the time of the observation on the clock of the process that holds the
	// record.
	At boottime.Instant `cbor:"-"`
}

func (r *Record) expires() boottime.Instant {
	return r.At.Add(time.Duration(r.TTL) * time.Millisecond)
}

// ID identifies a record.
type ID struct {
	Kind        Kind
	Key, Origin string
}

// ID returns the identity of the record.
func (r *Record) ID() ID { return ID{r.Kind, r.Key, r.Origin} }

// Store holds the latest records.
type Store struct {
	records map[ID]Record
	counts  map[Kind]int
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{records: map[ID]Record{}, counts: map[Kind]int{}} }

// Apply adds records that were received at a time, and returns those that are new.
func (s *Store) Apply(records []Record, now boottime.Instant) []Record {
	var added []Record
	for _, r := range records {
		r.Age = max(r.Age, 0)
		if len(r.Key) > maxKeyBytes || len(r.Body) > MaxBodyBytes || r.TTL > maxTTL.Milliseconds() || r.Age >= r.TTL {
			continue
		}
		r.At = now.Add(-time.Duration(r.Age) * time.Millisecond)
		if s.put(r, now) {
			added = append(added, r)
		}
	}
	return added
}

// put adds a record unless a later one is held. If the kind has no room, the record
// with the earliest time makes room.
func (s *Store) put(r Record, now boottime.Instant) bool {
	old, exists := s.records[r.ID()]
	if exists && old.Seq >= r.Seq {
		return false
	}
	if !exists {
		if s.counts[r.Kind] >= maxRecords {
			s.Sweep(now)
		}
		if s.counts[r.Kind] >= maxRecords && !s.evict(r.Kind, r.At) {
			return false
		}
		s.counts[r.Kind]++
	}
	s.records[r.ID()] = r
	return true
}

// evict removes the record of a kind with the earliest time. It returns false if none
// is earlier than before.
func (s *Store) evict(kind Kind, before boottime.Instant) bool {
	var oldest ID
	at := before
	for id, r := range s.records {
		if id.Kind == kind && r.At.Before(at) {
			oldest, at = id, r.At
		}
	}
	if oldest.Kind == 0 {
		return false
	}
	s.remove(oldest)
	return true
}

func (s *Store) remove(id ID) {
	delete(s.records, id)
	s.counts[id.Kind]--
}

// Sweep removes the records that have expired.
func (s *Store) Sweep(now boottime.Instant) {
	for id, r := range s.records {
		if !r.expires().After(now) {
			s.remove(id)
		}
	}
}

// Select returns the records for which keep returns true, with their current age, by
// origin in the order of their sequence numbers.
func (s *Store) Select(now boottime.Instant, keep func(ID) bool) []Record {
	var selected []Record
	for id, r := range s.records {
		if !r.expires().After(now) || !keep(id) {
			continue
		}
		// Rounded up, so that a record never becomes younger on its way.
		r.Age = int64((now.Sub(r.At) + time.Millisecond - 1) / time.Millisecond)
		selected = append(selected, r)
	}
	slices.SortFunc(selected, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Seq, b.Seq))
	})
	return selected
}

// All returns all records with their current age.
func (s *Store) All(now boottime.Instant) []Record {
	return s.Select(now, func(ID) bool { return true })
}

// Len returns the number of records by kind.
func (s *Store) Len(kind Kind) int { return s.counts[kind] }
