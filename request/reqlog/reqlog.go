// Package reqlog keeps the decisions made for a limited number of recent
// requests, so that they can be explained afterwards.
package reqlog

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// DefaultSize is the default number of requests kept.
const DefaultSize = 4096

// maxSteps limits the steps of one request; later steps are dropped.
const maxSteps = 64

// Step is one decision made for a request.
type Step struct {
	AfterMs float64 `json:"after_ms"`
	Event   string  `json:"what"`
	Backend string  `json:"backend,omitempty"`
	Code    int     `json:"code,omitempty"`
	Detail  string  `json:"detail,omitempty"`
}

// Record contains the decisions made for one request.
type Record struct {
	ID       string    `json:"request_id"`
	Account  string    `json:"account"`
	Service  string    `json:"service"`
	Priority string    `json:"priority,omitempty"`
	Key      string    `json:"key,omitempty"`
	Start    time.Time `json:"start"`
	Steps    []Step    `json:"steps"`
}

// LiveRecord collects the steps of a request. A nil LiveRecord ignores them.
type LiveRecord struct {
	log *Log

	// mu guards the field below. It is a leaf lock.
	mu     sync.Mutex
	record Record
}

// Log keeps the records of the most recent requests. Safe for concurrent use.
type Log struct {
	clock clockwork.Clock

	// mu guards the fields below. It is released before a LiveRecord's mu is
	// acquired.
	mu   sync.Mutex
	byID map[string]*LiveRecord
	ring []*LiveRecord
	next int
}

// New returns an empty log for size requests, or DefaultSize if size is not
// positive.
func New(size int, clock clockwork.Clock) *Log {
	if size <= 0 {
		size = DefaultSize
	}
	return &Log{clock: clock, byID: make(map[string]*LiveRecord, size), ring: make([]*LiveRecord, size)}
}

// Start adds the record of a new request and drops the oldest record if the
// log is full.
func (l *Log) Start(r Record) *LiveRecord {
	r.Start = l.clock.Now()
	r.Steps = make([]Step, 0, 4)
	lr := &LiveRecord{log: l, record: r}
	l.mu.Lock()
	defer l.mu.Unlock()
	if oldest := l.ring[l.next]; oldest != nil {
		delete(l.byID, oldest.record.ID)
	}
	l.ring[l.next] = lr
	l.next = (l.next + 1) % len(l.ring)
	l.byID[r.ID] = lr
	return lr
}

// Add records a step with the time since the start of the request.
func (lr *LiveRecord) Add(s Step) {
	if lr == nil {
		return
	}
	now := lr.log.clock.Now()
	lr.mu.Lock()
	defer lr.mu.Unlock()
	if len(lr.record.Steps) >= maxSteps {
		return
	}
	s.AfterMs = float64(now.Sub(lr.record.Start).Microseconds()) / 1e3
	lr.record.Steps = append(lr.record.Steps, s)
}

// Find returns a copy of the record of a request.
func (l *Log) Find(id string) (Record, bool) {
	l.mu.Lock()
	lr := l.byID[id]
	l.mu.Unlock()
	if lr == nil {
		return Record{}, false
	}
	lr.mu.Lock()
	defer lr.mu.Unlock()
	r := lr.record
	r.Steps = append([]Step(nil), r.Steps...)
	return r, true
}
