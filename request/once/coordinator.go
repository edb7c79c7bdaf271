package once

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/session"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/defaults"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/routing"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Defaults of Config.
const (
	DefaultReserveTimeout = 2 * time.Second
	DefaultRecordTimeout  = time.Second
	DefaultRecordFollow   = 10 * time.Minute
	DefaultAskTimeout     = 2 * time.Second
	DefaultAskWindow      = 5 * time.Second
	DefaultResendWait     = time.Second
	DefaultResendGrace    = 300 * time.Millisecond
	DefaultMaxRunTime     = 11 * time.Minute
	DefaultMaxAskAge      = 24 * time.Hour
	DefaultUnlinkedAge    = 30 * time.Second
	DefaultInlineBytes    = 16 << 10
	DefaultMaxTries       = 3
)

// Config tunes a Coordinator. Zero fields take the defaults.
type Config struct {
	// ReserveTimeout bounds the proposal of a reservation.
	ReserveTimeout time.Duration
	// RecordTimeout bounds how long an answer waits for its record;
	// RecordFollow how long the record is tried after that.
	RecordTimeout time.Duration
	RecordFollow  time.Duration
	// AskTimeout bounds one question to an agent, AskWindow how long an agent
	// that does not answer is asked before the outcome is called unknown.
	AskTimeout time.Duration
	AskWindow  time.Duration
	// ResendWait is how long a resend waits for a call that is in progress.
	ResendWait time.Duration
	// ResendGrace is how long a resend leaves the reserving entry to dispatch
	// before it asks for a tombstone.
	ResendGrace time.Duration
	// MaxRunTime bounds a dispatched call.
	MaxRunTime time.Duration
	// MaxAskAge is the age of a reservation beyond which the agent may have
	// forgotten it: the outcome is then unknown.
	MaxAskAge time.Duration
	// UnlinkedAge is the age of a reservation beyond which its outcome is
	// called unknown when its agent is not linked to this entry.
	UnlinkedAge time.Duration
	// InlineBytes bounds the answers that are recorded whole.
	InlineBytes int
	// MaxTries bounds the attempts that one request makes.
	MaxTries int
}

func (c Config) withDefaults() Config {
	defaults.IfNotPositive(&c.ReserveTimeout, DefaultReserveTimeout)
	defaults.IfNotPositive(&c.RecordTimeout, DefaultRecordTimeout)
	defaults.IfNotPositive(&c.RecordFollow, DefaultRecordFollow)
	defaults.IfNotPositive(&c.AskTimeout, DefaultAskTimeout)
	defaults.IfNotPositive(&c.AskWindow, DefaultAskWindow)
	defaults.IfNotPositive(&c.ResendWait, DefaultResendWait)
	defaults.IfNotPositive(&c.ResendGrace, DefaultResendGrace)
	defaults.IfNotPositive(&c.MaxRunTime, DefaultMaxRunTime)
	defaults.IfNotPositive(&c.MaxAskAge, DefaultMaxAskAge)
	defaults.IfNotPositive(&c.UnlinkedAge, DefaultUnlinkedAge)
	if c.InlineBytes <= 0 {
		c.InlineBytes = DefaultInlineBytes
	}
	if c.MaxTries <= 0 {
		c.MaxTries = DefaultMaxTries
	}
	return c
}

// Place is room at a backend server that was claimed for a call.
type Place struct {
	Backend *session.Backend
	// Lease is the claim on the server's room.
	Lease *routing.Lease
	// Done gives the room back.
	Done func(answered bool)
}

// Call is a request whose run may not be repeated.
type Call struct {
	Account string
	Key     string
	Service string
	Digest  manifest.Digest
	// Pick claims room at a backend server that is not excluded.
	Pick func(ctx context.Context, exclude []string) (*Place, error)
	// Send dispatches an attempt and reads its answer. What the answer holds
	// beyond a bound is left in the reader. An error tells by its Ran whether
	// the attempt may have run.
	Send func(ctx context.Context, p *Place, attempt int) (*control.Answer, io.ReadCloser, error)
	// Note records a decision for the request's explanation.
	Note func(what, backend string, err error)
}

// Outcome is the answer of a call.
type Outcome struct {
	Answer *control.Answer
	// Rest is what follows Answer.Body; nil where the body is whole.
	Rest io.ReadCloser
	// Replayed is set on an answer from the record.
	Replayed bool
}

// Deps are what a Coordinator works with.
type Deps struct {
	Config Config
	Store  control.Store
	// Calls reads the local copy of the control state.
	Calls func(account, key string) (control.Call, bool)
	// Lookup finds an agent's session; replaced is set when the incarnation
	// is gone for good.
	Lookup func(agent, incarnation string) (b *session.Backend, replaced bool)
	// Ask sends a query to an agent.
	Ask func(ctx context.Context, address string, q Query) (Reply, error)
	// Entry names this entry and its incarnation.
	Entry string
	// VM is the name of this entry's VM.
	VM    string
	Clock clockwork.Clock
	Log   *slog.Logger
	Scope tally.Scope
}

// Coordinator is the entry's part. Safe for concurrent use.
type Coordinator struct {
	cfg      Config
	d        Deps
	counters counters

	// mu guards the fields below.
	mu      sync.Mutex
	flights map[callKey]*flight
	pending int
	idle    chan struct{}
}

type counters struct {
	ran, notRun, unknown, replayed, asked, late tally.Counter
}

// flight is a call in progress on this entry. It outlives the caller.
type flight struct {
	call   *Call
	digest manifest.Digest
	done   chan struct{}
	// slow is closed when the flight has to wait for another entry's attempt
	// longer than a resend should.
	slow    chan struct{}
	outcome *Outcome
	err     error

	// Coordinator.mu guards the fields below. Wanted counts the callers that
	// wait; left is set when the caller that started the flight does not.
	wanted   int
	left     bool
	finished bool
}

// NewCoordinator returns a coordinator.
func NewCoordinator(d Deps) *Coordinator {
	scope := d.Scope.SubScope("once")
	return &Coordinator{
		cfg: d.Config.withDefaults(), d: d, flights: make(map[callKey]*flight),
		counters: counters{
			ran: scope.Counter("ran"), notRun: scope.Counter("not_run"), unknown: scope.Counter("unknown"),
			replayed: scope.Counter("replayed"), asked: scope.Counter("asked"), late: scope.Counter("late_records"),
		},
	}
}

// Do runs a call at most once over all entries and returns its outcome. When
// ctx ends first the call goes on and its outcome is recorded.
func (c *Coordinator) Do(ctx context.Context, call *Call) (*Outcome, error) {
	if rec, ok := c.d.Calls(call.Account, call.Key); ok && final(rec.Verdict) {
		return c.fromRecord(ctx, call, rec)
	}
	f, err := c.join(call)
	if err != nil {
		return nil, err
	}
	select {
	case <-f.done:
		c.unjoin(f, false)
		return f.take(call)
	case <-f.slow:
		c.unjoin(f, f.call == call)
		return nil, inProgress()
	case <-ctx.Done():
		c.unjoin(f, f.call == call)
		return nil, gaveUp(ctx)
	}
}

// take returns the outcome to one of the callers. What is not held of a large
// answer goes to the caller that started the flight.
func (f *flight) take(call *Call) (*Outcome, error) {
	if result.CodeOf(f.err) == result.CallerGone {
		// It was given up for want of callers just before this one came.
		return nil, inProgress()
	}
	if f.err == nil && f.outcome.Rest != nil && f.call != call {
		return nil, notKept()
	}
	return f.outcome, f.err
}

func inProgress() error {
	e := result.New(result.InProgress, "a call under this key is in progress")
	e.RetryAfter = time.Second
	return e
}

// gaveUp is the answer to a caller whose time is over while the call goes on.
func gaveUp(ctx context.Context) error {
	code := result.CallerGone
	if ctx.Err() == context.DeadlineExceeded {
		code = result.DeadlineExceeded
	}
	e := result.New(code, "the call may still run; ask again with the same key")
	e.Ran = result.RanUnknown
	e.RetryAfter = time.Second
	return e
}

func final(verdict string) bool {
	return verdict == control.AttemptRan || verdict == control.AttemptUnknown
}

// join starts a flight or joins the one in progress under the same key.
func (c *Coordinator) join(call *Call) (*flight, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := callKey{call.Account, call.Key}
	f := c.flights[key]
	if f == nil {
		f = &flight{call: call, digest: call.Digest, done: make(chan struct{}), slow: make(chan struct{})}
		c.flights[key] = f
		c.pending++
		go c.fly(key, f)
	}
	if f.digest != call.Digest {
		return nil, keyReused()
	}
	f.wanted++
	return f, nil
}

func keyReused() error {
	return result.Refuse(result.KeyReused, 0, "the key belongs to another request")
}

func (c *Coordinator) unjoin(f *flight, left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f.wanted--
	f.left = f.left || left
	f.dropRest()
}

// dropRest closes what nobody will read any more.
func (f *flight) dropRest() {
	if f.left && f.finished && f.outcome != nil && f.outcome.Rest != nil {
		rest := f.outcome.Rest
		go func() { _ = rest.Close() }()
	}
}

func (c *Coordinator) isWanted(f *flight) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return f.wanted > 0
}

func (c *Coordinator) fly(key callKey, f *flight) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.MaxRunTime)
	defer cancel()
	f.outcome, f.err = c.run(ctx, f)
	c.mu.Lock()
	delete(c.flights, key)
	f.finished = true
	f.dropRest()
	c.mu.Unlock()
	close(f.done)
	c.settled()
}

func (c *Coordinator) settled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// Drain waits for the calls and records in progress.
func (c *Coordinator) Drain(ctx context.Context) error {
	c.mu.Lock()
	if c.pending == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pending counts the calls and records in progress.
func (c *Coordinator) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

func (c *Coordinator) command() control.Command {
	return control.Command{ID: uuid.New().String(), Time: c.d.Clock.Now().UnixMilli(), VM: c.d.VM}
}
