package api

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/session"
)

// watchInterval is how often exchanges with agents are checked.
const watchInterval = 100 * time.Millisecond

// maxTimerDelay is how late a check may run; a longer delay means that this
// process itself was paused.
const maxTimerDelay = watchInterval

// errAgentSilent is the cancellation cause of exchanges with silent agents.
var errAgentSilent = errors.New("the agent sends neither heartbeats nor response data")

// silenceDetector cancels exchanges with silent agents, from which neither a
// heartbeat nor a response byte arrives. An agent that announced its stop is
// not silent. A process that was itself frozen or starved of CPU received
// nothing in that time; it waits for a full heartbeat timeout before it trusts
// its observations again. Safe for concurrent use.
type silenceDetector struct {
	sessions *session.Table
	clock    clockwork.Clock

	// mu guards the fields below. It is a leaf lock.
	mu     sync.Mutex
	active map[*exchangeWatch]struct{}
	armed  bool
	// nextCheck is when the next check is due.
	nextCheck time.Time
	// trustAfter is the time until which nothing is canceled, because missing
	// bytes and heartbeats may be due to a pause of this process.
	trustAfter time.Time
}

// exchangeWatch is a monitored exchange with an agent.
type exchangeWatch struct {
	backend *session.Backend
	cancel  context.CancelCauseFunc
	// lastByte is when the last response byte arrived, in Unix nanoseconds.
	lastByte atomic.Int64
}

func newSilenceDetector(sessions *session.Table, clock clockwork.Clock) *silenceDetector {
	return &silenceDetector{sessions: sessions, clock: clock, active: make(map[*exchangeWatch]struct{})}
}

// start monitors an exchange until stop is called. The returned context is
// canceled when the agent becomes silent.
func (w *silenceDetector) start(ctx context.Context, b *session.Backend) (context.Context, *exchangeWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	watch := &exchangeWatch{backend: b, cancel: cancel}
	watch.lastByte.Store(w.clock.Now().UnixNano())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active[watch] = struct{}{}
	w.arm()
	return ctx, watch
}

func (w *silenceDetector) stop(watch *exchangeWatch) {
	w.mu.Lock()
	delete(w.active, watch)
	w.mu.Unlock()
	watch.cancel(nil)
}

// arm schedules the next check. The caller holds mu.
func (w *silenceDetector) arm() {
	if !w.armed && len(w.active) > 0 {
		w.armed = true
		w.nextCheck = w.clock.Now().Add(watchInterval)
		w.clock.AfterFunc(watchInterval, w.check)
	}
}

func (w *silenceDetector) check() {
	now := w.clock.Now()
	w.mu.Lock()
	delay := now.Sub(w.nextCheck)
	w.armed = false
	w.arm()
	w.mu.Unlock()
	w.cancelSilent(now, delay)
}

// cancelSilent cancels the exchanges with silent agents. The delay is how late
// the check runs.
func (w *silenceDetector) cancelSilent(now time.Time, delay time.Duration) {
	limit := w.sessions.HeartbeatTimeout()
	w.mu.Lock()
	if delay > maxTimerDelay {
		w.trustAfter = now.Add(limit)
	}
	var watches []*exchangeWatch
	if !now.Before(w.trustAfter) {
		watches = slices.Collect(maps.Keys(w.active))
	}
	w.mu.Unlock()
	for _, watch := range watches {
		idle := now.UnixNano()-watch.lastByte.Load() >= limit.Nanoseconds()
		if idle && w.sessions.Silent(watch.backend.Name, watch.backend.Incarnation) {
			watch.cancel(errAgentSilent)
		}
	}
}

// watchedBody records when bytes arrive and stops the monitoring on Close.
type watchedBody struct {
	io.ReadCloser
	detector *silenceDetector
	watch    *exchangeWatch
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.watch.lastByte.Store(b.detector.clock.Now().UnixNano())
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	err := b.ReadCloser.Close()
	b.detector.stop(b.watch)
	return err
}
