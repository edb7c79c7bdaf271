// Package reqlog keeps what was decided about recent requests, within a
// bound, so that each can be explained afterwards.
package reqlog

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// DefaultSize is how many requests are kept.
const DefaultSize = 4096

// maxSteps bounds the steps of one request.
const maxSteps = 64

// Step is one decision about a request.
type Step struct {
	AfterMs float64 `json:"after_ms"`
	What    string  `json:"what"`
	Backend string  `json:"backend,omitempty"`
	Code    int     `json:"code,omitempty"`
	Detail  string  `json:"detail,omitempty"`
}

// Record is all that was decided about one request.
type Record struct {
	ID       string    `json:"request_id"`
	Account  string    `json:"account"`
	Service  string    `json:"service"`
	Priority string    `json:"priority,omitempty"`
	Key      string    `json:"key,omitempty"`
	Start    time.Time `json:"start"`
	Steps    []Step    `json:"steps"`
}

// Entry is the record of a request in progress. A nil Entry takes no steps.
type Entry struct {
	log *Log

	// mu guards the field below; it is a leaf.
	mu     sync.Mutex
	record Record
}

// Log keeps the newest requests. Safe for concurrent use.
type Log struct {
	clock clockwork.Clock

	// mu guards the fields below. It is released before an Entry's is taken.
	mu   sync.Mutex
	byID map[string]*Entry
	ring []*Entry
	next int
}

// New returns an empty log.
func New(size int, clock clockwork.Clock) *Log {
	if size <= 0 {
		size = DefaultSize
	}
	return &Log{clock: clock, byID: make(map[string]*Entry, size), ring: make([]*Entry, size)}
}

// Open starts the record of a request and drops the oldest one.
func (l *Log) Open(r Record) *Entry {
	r.Start = l.clock.Now()
	r.Steps = make([]Step, 0, 4)
	e := &Entry{log: l, record: r}
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.ring[l.next]; old != nil {
		delete(l.byID, old.record.ID)
	}
	l.ring[l.next] = e
	l.next = (l.next + 1) % len(l.ring)
	l.byID[r.ID] = e
	return e
}

// Add records a step.
func (e *Entry) Add(s Step) {
	if e == nil {
		return
	}
	now := e.log.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.record.Steps) >= maxSteps {
		return
	}
	s.AfterMs = float64(now.Sub(e.record.Start).Microseconds()) / 1e3
	e.record.Steps = append(e.record.Steps, s)
}

// Find returns the record of a request.
func (l *Log) Find(id string) (Record, bool) {
	l.mu.Lock()
	e := l.byID[id]
	l.mu.Unlock()
	if e == nil {
		return Record{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record
	r.Steps = append([]Step(nil), r.Steps...)
	return r, true
}
