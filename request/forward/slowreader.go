package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/process/intake"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// defaultStreamBytes bounds the backlogs of a handler without a ledger of its process.
	defaultStreamBytes = 64 << 20
	// maxUnsent is the number of unsent bytes up to which a write does not block: the smallest
	// send buffer of an accepted connection has about 46 KB.
	maxUnsent = 16 << 10
	// interruptInterval is the interval at which a blocked write is interrupted until it
	// ends: the connection may set a deadline of its own meanwhile.
	interruptInterval = 5 * time.Millisecond
)

var errSlowReader = errors.New("its caller was the slowest reader when the events of all streams exceeded their memory")

// watchCaller makes the request's context end also when the caller is too slow. The returned
// function must be called before the handler returns: it ends the goroutine of the backlog.
func (r *relay) watchCaller() func() {
	ctx, cancel := context.WithCancelCause(r.cr.request.Context())
	r.cr.request = r.cr.request.WithContext(ctx)
	r.tooSlow, r.left = func() { cancel(errSlowReader) }, func() { cancel(nil) }
	return func() {
		if r.backlog != nil {
			r.backlog.stop()
		}
		cancel(nil)
	}
}

// passOn sends events to the caller. They are written at once while the caller reads what it
// is sent. Once it does not, they go to a backlog, so that the rest is read from the server:
// servers abort a response that stays unread for some seconds.
func (r *relay) passOn(events []byte) error {
	if r.backlog != nil {
		return r.backlog.add(events)
	}
	unsent := r.h.cfg.Unsent(r.cr.request.Context())
	if unsent >= 0 && unsent+len(events) <= maxUnsent {
		if _, err := r.w.Write(events); err != nil {
			return err
		}
		return http.NewResponseController(r.w).Flush()
	}
	r.backlog = newBacklog(r.w, r.h.cfg.Streams, r.h.clock.Now, func() {
		r.h.cfg.SlowReader()
		r.tooSlow()
	})
	return r.backlog.add(events)
}

// flushBacklog waits until the caller has taken the whole stream. It returns false if the
// caller has left or was too slow; the request's context has ended then.
func (r *relay) flushBacklog() bool {
	if r.backlog == nil || r.backlog.wait(r.cr.request.Context()) {
		return true
	}
	r.left()
	return false
}

// writeHeld sends a complete response, which is accounted for until the caller has taken it.
// If others need the memory, the connection is closed.
func (h *Handler) writeHeld(w http.ResponseWriter, cr *callerRequest, a *attempt) {
	holder := h.cfg.Streams.NewHolder(func() {
		h.cfg.SlowReader()
		_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0)) // ends the write
	})
	defer holder.Release()
	if len(a.body) > maxUnsent && !holder.Charge(int64(len(a.body)), h.clock.Now()) {
		h.cfg.SlowReader()
		cr.outcome = outcomeAborted
		h.logRequest(cr, a.ex.Status, result.New(result.MemoryLimit, "the response was not sent: other callers have not read theirs"))
		panic(http.ErrAbortHandler)
	}
	writeWhole(w, a.ex.Status, a.body)
}

// backlog holds the events that a caller has not taken yet, and writes them in a goroutine.
// No other goroutine may write to the response until stop has returned.
type backlog struct {
	w      http.ResponseWriter
	holder *intake.Holder
	now    func() time.Time
	// tooSlow is called once if the stream must end for others.
	tooSlow func()
	// more receives a value after pending has grown, and done is closed when the goroutine
	// has ended.
	more, done chan struct{}

	// mu guards the fields below; it is a leaf lock.
	mu      sync.Mutex
	pending []byte
	// empty is closed while nothing is pending or being written.
	empty   chan struct{}
	stopped bool
	err     error
}

func newBacklog(w http.ResponseWriter, ledger *intake.Ledger, now func() time.Time, tooSlow func()) *backlog {
	b := &backlog{w: w, now: now, more: make(chan struct{}, 1), done: make(chan struct{}), empty: make(chan struct{})}
	close(b.empty)
	b.tooSlow = sync.OnceFunc(tooSlow)
	b.holder = ledger.NewHolder(b.tooSlow)
	go b.run()
	return b
}

// add appends events. It returns an error if the caller has left or was too slow.
func (b *backlog) add(events []byte) error {
	if !b.holder.Charge(int64(len(events)), b.now()) {
		b.tooSlow() // a holder that is ended by its own charge is not told
		return errSlowReader
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return b.err
	}
	select {
	case <-b.empty:
		b.empty = make(chan struct{})
	default:
	}
	b.pending = append(b.pending, events...)
	select {
	case b.more <- struct{}{}:
	default:
	}
	return nil
}

// wait waits until everything is written. It returns false if a write failed or ctx ended.
func (b *backlog) wait(ctx context.Context) bool {
	b.mu.Lock()
	empty := b.empty
	b.mu.Unlock()
	select {
	case <-empty:
	case <-b.done:
	case <-ctx.Done():
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err == nil
}

// stop ends the goroutine, in a write if need be, and waits for its end.
func (b *backlog) stop() {
	b.mu.Lock()
	b.stopped = true
	close(b.more)
	b.mu.Unlock()
	select {
	case <-b.empty:
	default:
		b.interrupt()
	}
	<-b.done
	b.holder.Release()
}

// interrupt makes the write in progress fail.
func (b *backlog) interrupt() {
	ticker := time.NewTicker(interruptInterval)
	defer ticker.Stop()
	for {
		// A writer that supports no deadline does not block for long either.
		_ = http.NewResponseController(b.w).SetWriteDeadline(time.Unix(1, 0))
		select {
		case <-b.done:
			return
		case <-ticker.C:
		}
	}
}

// run writes what is pending until stop is called or a write fails.
func (b *backlog) run() {
	defer close(b.done)
	for range b.more {
		for {
			events := b.take()
			if events == nil {
				break
			}
			_, err := b.w.Write(events)
			if err == nil {
				err = http.NewResponseController(b.w).Flush()
			}
			b.holder.Pay(int64(len(events)))
			if err != nil {
				b.mu.Lock()
				b.err = err
				b.mu.Unlock()
				return
			}
		}
	}
}

// take removes what is pending, or returns nil if nothing is to be written.
func (b *backlog) take() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return nil
	}
	if len(b.pending) == 0 {
		select {
		case <-b.empty:
		default:
			close(b.empty)
		}
		return nil
	}
	events := b.pending
	b.pending = nil
	return events
}
