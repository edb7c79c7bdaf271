package atmostonce

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// Defaults of TableConfig.
const (
	DefaultMaxRecords    = 100_000
	DefaultMaxKeptBytes  = 8 << 20
	DefaultMaxKeptAnswer = 256 << 10
	DefaultRetention     = 72 * time.Hour
)

// TableConfig limits an agent's table of attempts. Zero fields take the
// defaults.
type TableConfig struct {
	// MaxRecords limits the records. If none may be dropped yet, new attempts
	// are refused.
	MaxRecords int
	// MaxKeptBytes limits the total size of kept answer bodies; the oldest are
	// evicted first.
	MaxKeptBytes int64
	// MaxKeptAnswer limits the size of one kept answer body, in bytes.
	MaxKeptAnswer int64
	// Retention is how long a record is kept. It must exceed the retention of
	// keys in the control state.
	Retention time.Duration
}

func (c TableConfig) withDefaults() TableConfig {
	if c.MaxRecords <= 0 {
		c.MaxRecords = DefaultMaxRecords
	}
	if c.MaxKeptBytes <= 0 {
		c.MaxKeptBytes = DefaultMaxKeptBytes
	}
	if c.MaxKeptAnswer <= 0 {
		c.MaxKeptAnswer = DefaultMaxKeptAnswer
	}
	if c.Retention <= 0 {
		c.Retention = DefaultRetention
	}
	return c
}

type callKey struct{ account, key string }

type record struct {
	id        ID
	state     State
	answer    *control.Answer
	createdAt time.Time
	done      chan struct{}
}

// Table holds an agent's records of attempts. It is kept in memory only: a
// restarted agent has a new incarnation and refuses attempts that were
// reserved for the previous one. Safe for concurrent use.
type Table struct {
	cfg   TableConfig
	clock clockwork.Clock

	// mu guards the fields below.
	mu    sync.Mutex
	calls map[callKey][]*record
	// records holds all records, withBody those with a kept answer body; both
	// are ordered from oldest to newest.
	records   []*record
	withBody  []*record
	keptBytes int64
}

// NewTable returns an empty table.
func NewTable(cfg TableConfig, clock clockwork.Clock) *Table {
	return &Table{cfg: cfg.withDefaults(), clock: clock, calls: make(map[callKey][]*record)}
}

// MaxKeptAnswer returns the size in bytes up to which the body of an answer is
// kept.
func (t *Table) MaxKeptAnswer() int64 { return t.cfg.MaxKeptAnswer }

// Begin records the start of an attempt. If the attempt has a record already,
// or another attempt of the same call may have run, Begin returns a Reply
// instead, and the attempt must not be started. If the table is full, the error
// is a refusal with the code QueueFull.
func (t *Table) Begin(id ID) (*RunningAttempt, *Reply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if existing := t.find(id); existing != nil {
		reply := existing.reply()
		return nil, &reply, nil
	}
	for _, r := range t.calls[callKey{id.Account, id.Key}] {
		if r.state != StateNotRun {
			return nil, &Reply{State: StateNotRun}, nil
		}
	}
	r, err := t.add(id, StateRunning)
	if err != nil {
		return nil, nil, err
	}
	return &RunningAttempt{table: t, record: r}, nil, nil
}

// Tombstone prevents an attempt from running if it has no record yet. It
// returns the state of the attempt, which is StateNotRun for a new tombstone. If
// the table is full, the error is a refusal with the code QueueFull.
func (t *Table) Tombstone(id ID) (Reply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if existing := t.find(id); existing != nil {
		return existing.reply(), nil
	}
	r, err := t.add(id, StateNotRun)
	if err != nil {
		return Reply{}, err
	}
	return r.reply(), nil
}

// Lookup returns the state of an attempt and, for a running attempt, a channel
// that is closed when it completes; the channel is nil for all other states.
func (t *Table) Lookup(id ID) (Reply, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	existing := t.find(id)
	if existing == nil {
		return Reply{State: StateNeverSeen}, nil
	}
	if existing.state == StateRunning {
		return existing.reply(), existing.done
	}
	return existing.reply(), nil
}

func (t *Table) find(id ID) *record {
	for _, r := range t.calls[callKey{id.Account, id.Key}] {
		if r.id.Attempt == id.Attempt {
			return r
		}
	}
	return nil
}

func (t *Table) add(id ID, state State) (*record, error) {
	t.expire()
	if len(t.records) >= t.cfg.MaxRecords {
		return nil, result.Refuse(result.QueueFull, time.Minute, "the agent holds %d attempt records and can drop none yet", len(t.records))
	}
	r := &record{id: id, state: state, createdAt: t.clock.Now(), done: make(chan struct{})}
	key := callKey{id.Account, id.Key}
	t.calls[key] = append(t.calls[key], r)
	t.records = append(t.records, r)
	return r, nil
}

// expire drops the records that are older than the retention. It stops at the
// first running attempt, so that this record and all newer ones are kept.
func (t *Table) expire() {
	cutoff := t.clock.Now().Add(-t.cfg.Retention)
	n := 0
	for n < len(t.records) && t.records[n].createdAt.Before(cutoff) && t.records[n].state != StateRunning {
		t.remove(t.records[n])
		n++
	}
	if n > 0 {
		t.records = append([]*record(nil), t.records[n:]...)
	}
}

func (t *Table) remove(r *record) {
	key := callKey{r.id.Account, r.id.Key}
	var remaining []*record
	for _, other := range t.calls[key] {
		if other != r {
			remaining = append(remaining, other)
		}
	}
	if len(remaining) == 0 {
		delete(t.calls, key)
		return
	}
	t.calls[key] = remaining
}

func (r *record) reply() Reply {
	return Reply{State: r.state, Answer: r.answer}
}

// RunningAttempt is an attempt in progress. Exactly one of its methods must be
// called.
type RunningAttempt struct {
	table  *Table
	record *record
}

// MarkDone records the answer. A body larger than MaxKeptAnswer is dropped;
// digest and size are always kept.
func (r *RunningAttempt) MarkDone(answer control.Answer) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if int64(len(answer.Body)) > t.cfg.MaxKeptAnswer {
		answer.Body = nil
	}
	r.finish(StateDone, &answer)
	if len(answer.Body) == 0 {
		return
	}
	t.withBody = append(t.withBody, r.record)
	t.keptBytes += int64(len(answer.Body))
	t.evictBodies()
}

// evictBodies drops the oldest kept bodies until the rest is within
// MaxKeptBytes.
func (t *Table) evictBodies() {
	for t.keptBytes > t.cfg.MaxKeptBytes && len(t.withBody) > 0 {
		oldest := t.withBody[0]
		t.withBody = t.withBody[1:]
		t.keptBytes -= int64(len(oldest.answer.Body))
		stripped := *oldest.answer
		stripped.Body = nil
		oldest.answer = &stripped
	}
}

// MarkUnknown records that the attempt was sent and its response was lost.
func (r *RunningAttempt) MarkUnknown() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.finish(StateUnknown, nil)
}

// MarkNotRun records that the attempt did not reach the backend server.
func (r *RunningAttempt) MarkNotRun() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.finish(StateNotRun, nil)
}

func (r *RunningAttempt) finish(state State, answer *control.Answer) {
	r.record.state = state
	r.record.answer = answer
	close(r.record.done)
}

// TableDump is the table's section of the state dump.
type TableDump struct {
	Attempts  int           `json:"attempts"`
	KeptBytes int64         `json:"kept_bytes"`
	ByState   map[State]int `json:"by_state"`
}

// Dump returns the number of records and the size of the kept bodies.
func (t *Table) Dump() TableDump {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := TableDump{Attempts: len(t.records), KeptBytes: t.keptBytes, ByState: make(map[State]int)}
	for _, r := range t.records {
		d.ByState[r.state]++
	}
	return d
}
