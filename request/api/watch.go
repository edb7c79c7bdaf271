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

// watchInterval is how often exchanges with agents are looked through.
const watchInterval = 100 * time.Millisecond

// maxLate is how late a look may be before it shows a pause of this process.
const maxLate = watchInterval

// errSilent ends an exchange with an agent that fell silent.
var errSilent = errors.New("the agent fell silent")

// watcher ends exchanges with agents that fell silent: neither a heartbeat
// nor a byte of the answer arrives. An agent that leaves as planned is not
// silent. A process that was itself frozen or starved has heard nobody for
// that time: it gives the agents a new chance to be heard. Safe for concurrent
// use.
type watcher struct {
	sessions *session.Table
	clock    clockwork.Clock

	// mu guards the fields below; it is a leaf.
	mu     sync.Mutex
	active map[*exchangeWatch]struct{}
	armed  bool
	// due is when the next look is to happen.
	due time.Time
	// trusted is when what was heard tells of the agents again, and not of a
	// pause of this process.
	trusted time.Time
}

// exchangeWatch is one exchange that is watched.
type exchangeWatch struct {
	backend *session.Backend
	cancel  context.CancelCauseFunc
	// heard is when the last byte arrived, in Unix nanoseconds.
	heard atomic.Int64
}

func newWatcher(sessions *session.Table, clock clockwork.Clock) *watcher {
	return &watcher{sessions: sessions, clock: clock, active: make(map[*exchangeWatch]struct{})}
}

// start watches an exchange. The returned context ends when the agent falls
// silent; the watch is ended by its stop method.
func (w *watcher) start(ctx context.Context, b *session.Backend) (context.Context, *exchangeWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	x := &exchangeWatch{backend: b, cancel: cancel}
	x.heard.Store(w.clock.Now().UnixNano())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active[x] = struct{}{}
	w.arm()
	return ctx, x
}

func (w *watcher) stop(x *exchangeWatch) {
	w.mu.Lock()
	delete(w.active, x)
	w.mu.Unlock()
	x.cancel(nil)
}

// arm is called with mu held.
func (w *watcher) arm() {
	if !w.armed && len(w.active) > 0 {
		w.armed = true
		w.due = w.clock.Now().Add(watchInterval)
		w.clock.AfterFunc(watchInterval, w.look)
	}
}

func (w *watcher) look() {
	now := w.clock.Now()
	w.mu.Lock()
	late := now.Sub(w.due)
	w.armed = false
	w.arm()
	w.mu.Unlock()
	w.endSilent(now, late)
}

// endSilent ends the exchanges with silent agents. Late is how late it is
// called.
func (w *watcher) endSilent(now time.Time, late time.Duration) {
	limit := w.sessions.SilentAfter()
	w.mu.Lock()
	if late > maxLate {
		w.trusted = now.Add(limit)
	}
	var all []*exchangeWatch
	if !now.Before(w.trusted) {
		all = slices.Collect(maps.Keys(w.active))
	}
	w.mu.Unlock()
	for _, x := range all {
		quiet := now.UnixNano()-x.heard.Load() >= limit.Nanoseconds()
		if quiet && w.sessions.Silent(x.backend.Name, x.backend.Incarnation) {
			x.cancel(errSilent)
		}
	}
}

// watchedBody ends the watch when the answer is closed.
type watchedBody struct {
	io.ReadCloser
	w *watcher
	x *exchangeWatch
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.x.heard.Store(b.w.clock.Now().UnixNano())
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	err := b.ReadCloser.Close()
	b.w.stop(b.x)
	return err
}
