package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

// slotWait is the wait of one request for a slot.
type slotWait struct {
	sc     *scheduler
	pool   *placement.Pool
	waiter *placement.Waiter
	// granted receives the slot.
	granted chan *placement.Lease
	// evacuated is closed once all servers are in evacuated zones; nil if it need not be
	// watched.
	evacuated <-chan struct{}
	// refused is closed if no usable server is left in the regions of the request.
	refused chan struct{}
}

// requestSlot assigns a slot to a request at once or queues it. With a zero
// waitDeadline the request is queued as long as it can still meet its latency
// target. A late request does not overtake queued ones. replaces is set if the
// request gives back another slot when it gets this one. The caller must receive
// from granted or call stop.
func (sc *scheduler) requestSlot(cr *callerRequest, waitDeadline time.Time, replaces bool) (*slotWait, error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	st := sc.service(cr.service, now)
	pool := st.pool
	req := sc.placementRequest(cr, pool, now, waitDeadline)
	req.Replaces = replaces
	w := &slotWait{sc: sc, pool: pool, granted: make(chan *placement.Lease, 1), evacuated: st.evacuation.begins(), refused: make(chan struct{})}
	w.waiter = &placement.Waiter{Request: req, Grant: func(l *placement.Lease) { w.granted <- l }}
	if !replaces {
		// A search for another server goes on: the region may get servers again.
		w.waiter.Refuse = func() { close(w.refused) }
	}
	mayOvertake := pool.Waiting() == 0 || !cr.late || req.Started || req.Returned
	acquire := pool.TryAcquireBehind
	if mayOvertake {
		acquire = pool.TryAcquire
	}
	if l := acquire(now, req); l != nil {
		w.granted <- l
		return w, nil
	}
	if st.evacuation.whole && !pool.HasUsable() {
		return nil, evacuatedError()
	}
	if !pool.Enqueue(now, w.waiter) {
		return nil, sc.refusal(pool, now, &req)
	}
	if !mayOvertake {
		// The queued requests may exclude the servers that are free.
		pool.DispatchWaiting(now)
	}
	return w, nil
}

// placementRequest returns what placement must know of a request. With a zero waitDeadline the
// pool determines how long it may be queued. The caller holds mu.
func (sc *scheduler) placementRequest(cr *callerRequest, pool *placement.Pool, now, waitDeadline time.Time) placement.Request {
	req := placement.Request{
		PromptTokens: cr.tokens.Prompt, LatencyTarget: cr.firstEventTarget(), WaitUntil: waitDeadline, Late: cr.late || now.Sub(cr.start) > cr.route.Aim,
		Started: cr.eventsSent > 0, Priority: cr.priority(), Exclude: cr.triedServers, Regions: sc.regionsNow(cr),
	}
	sc.setExpected(cr, &req)
	if waitDeadline.IsZero() {
		req.WaitUntil = pool.WaitDeadline(cr.start, req)
	}
	return req
}

// stop leaves the queue. It returns the slot if one was granted and not received.
func (w *slotWait) stop() *placement.Lease {
	w.sc.mu.Lock()
	defer w.sc.mu.Unlock()
	w.pool.Dequeue(w.waiter)
	select {
	case l := <-w.granted:
		return l
	default:
		return nil
	}
}

// acquire is like requestSlot but waits for the slot.
func (sc *scheduler) acquire(ctx context.Context, cr *callerRequest, waitDeadline time.Time) (*placement.Lease, error) {
	w, err := sc.requestSlot(cr, waitDeadline, false)
	if err != nil {
		return nil, err
	}
	select {
	case l := <-w.granted:
		return l, nil
	default:
	}
	started := sc.clock.Now()
	defer func() { cr.queueTime += sc.clock.Since(started) }()
	timer := sc.clock.NewTimer(w.waiter.Request.WaitUntil.Sub(started))
	defer timer.Stop()
	select {
	case l := <-w.granted:
		return l, nil
	case <-w.refused:
	case <-timer.Chan():
	case <-ctx.Done():
	case <-sc.ending:
	case <-w.evacuated:
		err = evacuatedError()
	}
	if l := w.stop(); l != nil {
		return l, nil
	}
	if err != nil {
		return nil, err
	}
	return nil, w.refusal()
}

// refusal returns the error for a request whose wait has ended without a slot.
func (w *slotWait) refusal() error {
	w.sc.mu.Lock()
	defer w.sc.mu.Unlock()
	now, req := w.sc.clock.Now(), &w.waiter.Request
	if req.Regions != nil && !w.pool.HasUsableIn(req.Regions) {
		return w.sc.refusal(w.pool, now, req)
	}
	return refusalError(true, w.pool, now, req)
}

// errPlannedReturn marks a refusal whose retry delay must reach the caller as it is: a slot is
// kept for the caller at that time.
var errPlannedReturn = errors.New("the retry delay is planned")

// refusalError returns the error for a request that got no slot. The caller holds the lock of the
// pool's scheduler.
func refusalError(usable bool, pool *placement.Pool, now time.Time, req *placement.Request) error {
	delay, planned := pool.RefusalDelay(now, req)
	if opens := pool.OpensIn(now, req.Regions); opens > delay {
		delay, planned = opens, false
	}
	if !usable {
		return result.Refuse(result.NoBackend, delay, "no usable backend server for the request")
	}
	err := result.Refuse(result.QueueFull, delay, "no slot became free in time")
	if planned {
		return errors.Mark(err, errPlannedReturn)
	}
	return err
}
