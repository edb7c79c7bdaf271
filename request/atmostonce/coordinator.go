package atmostonce

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
	DefaultReserveTimeout        = 2 * time.Second
	DefaultRecordTimeout         = time.Second
	DefaultRecordRetryPeriod     = 10 * time.Minute
	DefaultQueryTimeout          = 2 * time.Second
	DefaultQueryWindow           = 5 * time.Second
	DefaultResendWait            = time.Second
	DefaultResendGrace           = 300 * time.Millisecond
	DefaultMaxRunTime            = 11 * time.Minute
	DefaultMaxReservationAge     = 24 * time.Hour
	DefaultMaxUnlinkedAge        = 30 * time.Second
	DefaultInlineBytes           = 16 << 10
	DefaultMaxAttemptsPerRequest = 3
)

// Config configures a Coordinator. Zero fields take the defaults.
type Config struct {
	// ReserveTimeout limits the proposal of a reservation.
	ReserveTimeout time.Duration
	// RecordTimeout limits how long a response is delayed until its outcome is
	// recorded. After that, recording is retried in the background for
	// RecordRetryPeriod.
	RecordTimeout     time.Duration
	RecordRetryPeriod time.Duration
	// QueryTimeout limits one query to an agent. QueryWindow is how long an
	// agent that does not reply is queried before the outcome is recorded as
	// unknown.
	QueryTimeout time.Duration
	QueryWindow  time.Duration
	// ResendWait is how long a resend waits for a call in progress before it is
	// refused with InProgress.
	ResendWait time.Duration
	// ResendGrace is the time that a resend gives the entry that reserved the
	// attempt to dispatch it, before the resend requests a tombstone.
	ResendGrace time.Duration
	// MaxRunTime limits the execution of a call on this entry.
	MaxRunTime time.Duration
	// MaxReservationAge is the age of a reservation beyond which the agent may
	// have dropped its record; the outcome is then recorded as unknown.
	MaxReservationAge time.Duration
	// MaxUnlinkedAge is the age of a reservation beyond which its outcome is
	// recorded as unknown if the agent has no link to this entry.
	MaxUnlinkedAge time.Duration
	// InlineBytes is the size up to which the body of an answer is stored in
	// the control state.
	InlineBytes int
	// MaxAttemptsPerRequest limits the attempts of one request.
	MaxAttemptsPerRequest int
}

func (c Config) withDefaults() Config {
	defaults.IfNotPositive(&c.ReserveTimeout, DefaultReserveTimeout)
	defaults.IfNotPositive(&c.RecordTimeout, DefaultRecordTimeout)
	defaults.IfNotPositive(&c.RecordRetryPeriod, DefaultRecordRetryPeriod)
	defaults.IfNotPositive(&c.QueryTimeout, DefaultQueryTimeout)
	defaults.IfNotPositive(&c.QueryWindow, DefaultQueryWindow)
	defaults.IfNotPositive(&c.ResendWait, DefaultResendWait)
	defaults.IfNotPositive(&c.ResendGrace, DefaultResendGrace)
	defaults.IfNotPositive(&c.MaxRunTime, DefaultMaxRunTime)
	defaults.IfNotPositive(&c.MaxReservationAge, DefaultMaxReservationAge)
	defaults.IfNotPositive(&c.MaxUnlinkedAge, DefaultMaxUnlinkedAge)
	if c.InlineBytes <= 0 {
		c.InlineBytes = DefaultInlineBytes
	}
	if c.MaxAttemptsPerRequest <= 0 {
		c.MaxAttemptsPerRequest = DefaultMaxAttemptsPerRequest
	}
	return c
}

// Claim holds capacity of a backend server for one attempt.
type Claim struct {
	Backend *session.Backend
	// Lease is the routing lease on the server.
	Lease *routing.Lease
	// Release returns the capacity; answered reports whether the server
	// responded.
	Release func(answered bool)
}

// Call is a non-repeatable request.
type Call struct {
	Account string
	Key     string
	Service string
	// Digest is the hash of the request's content. A key can't be used for
	// requests with different digests.
	Digest manifest.Digest
	// Pick claims capacity of a backend server that is not excluded.
	Pick func(ctx context.Context, exclude []string) (*Claim, error)
	// Send dispatches an attempt and reads the response. If the response
	// reaches a size limit, the rest is left in the returned reader. The Ran
	// field of an error says whether the attempt may have run.
	Send func(ctx context.Context, claim *Claim, attempt int) (*control.Answer, io.ReadCloser, error)
	// AddStep records a decision in the request log.
	AddStep func(event, backend string, err error)
}

// Outcome is the response of a call that ran.
type Outcome struct {
	Answer *control.Answer
	// Rest reads what follows Answer.Body; nil if Answer.Body is complete.
	Rest io.ReadCloser
	// Replayed is set if the answer comes from the record of an earlier
	// request.
	Replayed bool
}

// Deps are the dependencies of a Coordinator.
type Deps struct {
	Config Config
	Store  control.Store
	// Calls reads a call's record from the local replica of the control state.
	Calls func(account, key string) (control.Call, bool)
	// Lookup finds the session of an agent; replaced is set if another
	// incarnation of the agent has taken its place.
	Lookup func(agent, incarnation string) (b *session.Backend, replaced bool)
	// SendQuery sends a query to an agent.
	SendQuery func(ctx context.Context, address string, q Query) (Reply, error)
	// Entry is the name and incarnation of this entry.
	Entry string
	// VM is the name of this entry's VM.
	VM    string
	Clock clockwork.Clock
	Log   *slog.Logger
	Scope tally.Scope
}

// Coordinator runs non-repeatable calls on an entry. Safe for concurrent use.
type Coordinator struct {
	cfg      Config
	deps     Deps
	counters counters

	// mu guards the fields below.
	mu         sync.Mutex
	executions map[callKey]*execution
	pending    int
	idle       chan struct{}
}

type counters struct {
	ran, notRun, unknown, replayed, queries, lateRecords tally.Counter
}

// execution is a call in progress on this entry, shared by all requests with
// the same key. It continues when the callers disconnect.
type execution struct {
	call   *Call
	digest manifest.Digest
	done   chan struct{}
	// waitExceeded is closed when the execution has waited for another entry's
	// attempt for longer than ResendWait.
	waitExceeded chan struct{}
	outcome      *Outcome
	err          error

	// Coordinator.mu guards the fields below. waiters counts the callers that
	// wait; starterLeft is set if the caller that started the execution stopped
	// waiting for its outcome.
	waiters     int
	starterLeft bool
	finished    bool
}

// NewCoordinator returns a Coordinator with the given dependencies.
func NewCoordinator(d Deps) *Coordinator {
	scope := d.Scope.SubScope("once")
	return &Coordinator{
		cfg: d.Config.withDefaults(), deps: d, executions: make(map[callKey]*execution),
		counters: counters{
			ran: scope.Counter("ran"), notRun: scope.Counter("not_run"), unknown: scope.Counter("unknown"),
			replayed: scope.Counter("replayed"), queries: scope.Counter("asked"), lateRecords: scope.Counter("late_records"),
		},
	}
}

// Do runs a call at most once across all entries and returns its outcome. If
// ctx ends first, the call continues in the background and its outcome is
// recorded.
func (c *Coordinator) Do(ctx context.Context, call *Call) (*Outcome, error) {
	if rec, ok := c.deps.Calls(call.Account, call.Key); ok && isFinal(rec.Verdict) {
		return c.replayRecord(ctx, call, rec)
	}
	ex, err := c.join(call)
	if err != nil {
		return nil, err
	}
	select {
	case <-ex.done:
		c.leave(ex, false)
		return ex.outcomeFor(call)
	case <-ex.waitExceeded:
		c.leave(ex, ex.call == call)
		return nil, inProgressError()
	case <-ctx.Done():
		c.leave(ex, ex.call == call)
		return nil, waitAbortedError(ctx)
	}
}

// outcomeFor returns the outcome for one of the callers. The unbuffered rest
// of a large response can only go to the caller that started the execution.
func (ex *execution) outcomeFor(call *Call) (*Outcome, error) {
	if result.CodeOf(ex.err) == result.CallerGone {
		// The execution was abandoned because it had no waiting callers, just
		// before this caller joined.
		return nil, inProgressError()
	}
	if ex.err == nil && ex.outcome.Rest != nil && ex.call != call {
		return nil, answerNotKeptError()
	}
	return ex.outcome, ex.err
}

func inProgressError() error {
	e := result.New(result.InProgress, "a call with this key is in progress")
	e.RetryAfter = time.Second
	return e
}

// waitAbortedError is the error for a caller that stops waiting while the call
// continues.
func waitAbortedError(ctx context.Context) error {
	code := result.CallerGone
	if ctx.Err() == context.DeadlineExceeded {
		code = result.DeadlineExceeded
	}
	e := result.New(code, "the call may still run; retry with the same key")
	e.Ran = result.RanUnknown
	e.RetryAfter = time.Second
	return e
}

// isFinal reports whether a recorded outcome rules out further attempts.
func isFinal(outcome string) bool {
	return outcome == control.AttemptRan || outcome == control.AttemptUnknown
}

// join starts an execution or joins the one in progress with the same key.
func (c *Coordinator) join(call *Call) (*execution, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := callKey{call.Account, call.Key}
	ex := c.executions[key]
	if ex == nil {
		ex = &execution{call: call, digest: call.Digest, done: make(chan struct{}), waitExceeded: make(chan struct{})}
		c.executions[key] = ex
		c.pending++
		go c.runExecution(key, ex)
	}
	if ex.digest != call.Digest {
		return nil, keyReusedError()
	}
	ex.waiters++
	return ex, nil
}

func keyReusedError() error {
	return result.Refuse(result.KeyReused, 0, "the key was used for a different request")
}

func (c *Coordinator) leave(ex *execution, left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ex.waiters--
	ex.starterLeft = ex.starterLeft || left
	ex.closeUnreadRest()
}

// closeUnreadRest closes the rest of a response that no caller will read. The
// caller holds Coordinator.mu.
func (ex *execution) closeUnreadRest() {
	if ex.starterLeft && ex.finished && ex.outcome != nil && ex.outcome.Rest != nil {
		rest := ex.outcome.Rest
		go func() { _ = rest.Close() }()
	}
}

func (c *Coordinator) hasWaiters(ex *execution) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ex.waiters > 0
}

func (c *Coordinator) runExecution(key callKey, ex *execution) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.MaxRunTime)
	defer cancel()
	ex.outcome, ex.err = c.execute(ctx, ex)
	c.mu.Lock()
	delete(c.executions, key)
	ex.finished = true
	ex.closeUnreadRest()
	c.mu.Unlock()
	close(ex.done)
	c.finishPending()
}

func (c *Coordinator) finishPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// Drain waits for the calls in progress and the pending records. If ctx ends
// first, it returns the error of ctx.
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

// Pending returns the number of calls in progress and pending records.
func (c *Coordinator) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

func (c *Coordinator) newCommand() control.Command {
	return control.Command{ID: uuid.New().String(), Time: c.deps.Clock.Now().UnixMilli(), VM: c.deps.VM}
}
