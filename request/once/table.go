package once

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// Defaults of TableConfig.
const (
	DefaultMaxAttempts   = 100_000
	DefaultMaxKeptBytes  = 8 << 20
	DefaultMaxKeptAnswer = 256 << 10
	DefaultRetention     = 72 * time.Hour
)

// TableConfig bounds an agent's table of attempts. Zero fields take defaults.
type TableConfig struct {
	// MaxAttempts bounds the records; when all are needed, new attempts are
	// refused rather than old ones forgotten.
	MaxAttempts int
	// MaxKeptBytes bounds all kept answers; the oldest go first.
	MaxKeptBytes int64
	// MaxKeptAnswer bounds one kept answer.
	MaxKeptAnswer int64
	// Retention is how long a record is kept. It must exceed the time for
	// which the control state keeps keys.
	Retention time.Duration
}

func (c TableConfig) withDefaults() TableConfig {
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = DefaultMaxAttempts
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
	id     ID
	state  State
	answer *control.Answer
	at     time.Time
	ended  chan struct{}
}

// Table is an agent's record of attempts. It lives in memory: a restarted
// agent has another incarnation and refuses the attempts of the one before.
// Safe for concurrent use.
type Table struct {
	cfg   TableConfig
	clock clockwork.Clock

	// mu guards the fields below.
	mu    sync.Mutex
	calls map[callKey][]*record
	// order holds the records from the oldest on; kept those with a body.
	order     []*record
	kept      []*record
	keptBytes int64
}

// NewTable returns an empty table.
func NewTable(cfg TableConfig, clock clockwork.Clock) *Table {
	return &Table{cfg: cfg.withDefaults(), clock: clock, calls: make(map[callKey][]*record)}
}

// MaxKeptAnswer is the size up to which an answer is kept.
func (t *Table) MaxKeptAnswer() int64 { return t.cfg.MaxKeptAnswer }

// Begin records that an attempt starts. The second value is set instead when
// the attempt, or another one at the same call that may have run, is known:
// then nothing may be started.
func (t *Table) Begin(id ID) (*Run, *Reply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.find(id); known != nil {
		reply := known.reply()
		return nil, &reply, nil
	}
	for _, r := range t.calls[callKey{id.Account, id.Key}] {
		if r.state != StateRefused {
			return nil, &Reply{State: StateRefused}, nil
		}
	}
	r, err := t.add(id, StateRunning)
	if err != nil {
		return nil, nil, err
	}
	return &Run{table: t, record: r}, nil, nil
}

// Refuse makes sure that an attempt never runs from now on. It reports what
// is known of the attempt: StateRefused unless it was seen before.
func (t *Table) Refuse(id ID) (Reply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.find(id); known != nil {
		return known.reply(), nil
	}
	r, err := t.add(id, StateRefused)
	if err != nil {
		return Reply{}, err
	}
	return r.reply(), nil
}

// Lookup tells what is known of an attempt and a channel that is closed when
// a running attempt ends; the channel is nil for all other states.
func (t *Table) Lookup(id ID) (Reply, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.find(id)
	if known == nil {
		return Reply{State: StateNeverSeen}, nil
	}
	if known.state == StateRunning {
		return known.reply(), known.ended
	}
	return known.reply(), nil
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
	if len(t.order) >= t.cfg.MaxAttempts {
		return nil, result.Refuse(result.QueueFull, time.Minute, "the agent keeps %d attempts and may forget none yet", len(t.order))
	}
	r := &record{id: id, state: state, at: t.clock.Now(), ended: make(chan struct{})}
	key := callKey{id.Account, id.Key}
	t.calls[key] = append(t.calls[key], r)
	t.order = append(t.order, r)
	return r, nil
}

// expire forgets the records that are past their retention. A running attempt
// ends the search: it and all younger ones stay.
func (t *Table) expire() {
	limit := t.clock.Now().Add(-t.cfg.Retention)
	n := 0
	for n < len(t.order) && t.order[n].at.Before(limit) && t.order[n].state != StateRunning {
		t.drop(t.order[n])
		n++
	}
	if n > 0 {
		t.order = append([]*record(nil), t.order[n:]...)
	}
}

func (t *Table) drop(r *record) {
	key := callKey{r.id.Account, r.id.Key}
	var rest []*record
	for _, other := range t.calls[key] {
		if other != r {
			rest = append(rest, other)
		}
	}
	if len(rest) == 0 {
		delete(t.calls, key)
		return
	}
	t.calls[key] = rest
}

func (r *record) reply() Reply {
	return Reply{State: r.state, Answer: r.answer}
}

// Run is an attempt in progress. Exactly one of its methods is called.
type Run struct {
	table  *Table
	record *record
}

// Done records the answer. Its body is dropped where it is too large; digest
// and size always stay.
func (r *Run) Done(answer control.Answer) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if int64(len(answer.Body)) > t.cfg.MaxKeptAnswer {
		answer.Body = nil
	}
	r.end(StateDone, &answer)
	if len(answer.Body) == 0 {
		return
	}
	t.kept = append(t.kept, r.record)
	t.keptBytes += int64(len(answer.Body))
	t.trim()
}

// trim drops the oldest kept bodies until the rest fits.
func (t *Table) trim() {
	for t.keptBytes > t.cfg.MaxKeptBytes && len(t.kept) > 0 {
		oldest := t.kept[0]
		t.kept = t.kept[1:]
		t.keptBytes -= int64(len(oldest.answer.Body))
		bare := *oldest.answer
		bare.Body = nil
		oldest.answer = &bare
	}
}

// Unknown records that the attempt was sent and its answer lost.
func (r *Run) Unknown() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.end(StateUnknown, nil)
}

// NotRun records that the attempt did not reach the backend server.
func (r *Run) NotRun() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.end(StateRefused, nil)
}

func (r *Run) end(state State, answer *control.Answer) {
	r.record.state = state
	r.record.answer = answer
	close(r.record.ended)
}

// TableDump is the table as the state dump shows it.
type TableDump struct {
	Attempts  int           `json:"attempts"`
	KeptBytes int64         `json:"kept_bytes"`
	ByState   map[State]int `json:"by_state"`
}

// Dump counts the records.
func (t *Table) Dump() TableDump {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := TableDump{Attempts: len(t.order), KeptBytes: t.keptBytes, ByState: make(map[State]int)}
	for _, r := range t.order {
		d.ByState[r.state]++
	}
	return d
}
