package forward

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

const (
	// eventBatch is the number of intervals between events from which one sample results.
	eventBatch = 4
	// slowWrite is the time of a write to the caller from which the next interval does not
	// count: the caller is slow, not the server.
	slowWrite = 10 * time.Millisecond
)

// errTooSlow is the error of an attempt that another server takes over because the stream
// would not end before its deadline.
var errTooSlow = errors.New("the server is too slow to end the stream before its deadline")

// eventMeter measures the intervals between the events of an attempt.
type eventMeter struct {
	last      time.Time
	intervals []time.Duration
}

// add records the arrival of events. Once a batch is complete, it returns the least interval,
// which prompts of other requests have delayed least, and the mean; else 0.
func (m *eventMeter) add(now time.Time, count int) (least, mean time.Duration) {
	if count == 0 {
		return 0, 0
	}
	last := m.last
	m.last = now
	if last.IsZero() {
		return 0, 0
	}
	each := now.Sub(last) / time.Duration(count)
	for range min(count, eventBatch-len(m.intervals)) {
		m.intervals = append(m.intervals, each)
	}
	if len(m.intervals) < eventBatch {
		return 0, 0
	}
	var sum time.Duration
	for _, d := range m.intervals {
		sum += d
	}
	least = slices.Min(m.intervals)
	m.intervals = m.intervals[:0]
	return least, sum / eventBatch
}

// written records that the events were written to the caller. After a slow write the next
// events have waited for it.
func (m *eventMeter) written(now time.Time) {
	if now.Sub(m.last) > slowWrite {
		m.last, m.intervals = time.Time{}, m.intervals[:0]
	}
}

// measureEvents records events of an attempt. It returns the mean interval of a complete
// batch, else 0.
func (h *Handler) measureEvents(cr *callerRequest, a *attempt, m *eventMeter, count int) time.Duration {
	now := h.clock.Now()
	least, mean := m.add(now, count)
	if least > 0 {
		h.scheduler.recordInterval(cr.service, a.lease, least)
	}
	return mean
}

func (sc *scheduler) recordInterval(service string, l *placement.Lease, interval time.Duration) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	sc.service(service, now).pool.OnEvents(now, l, interval)
}

// setExpected sets what a request is expected to take and when it is due. The caller holds mu.
func (sc *scheduler) setExpected(cr *callerRequest, req *placement.Request) {
	req.Deadline = cr.deadline.Add(-responseMargin)
	if target := cr.firstEventTarget(); target > 0 && !req.Late && !req.Started {
		req.FirstDue = cr.start.Add(target - cr.waited)
	}
	if st := sc.services[cr.service]; st != nil && st.config != nil && st.config.Engine != nil {
		req.Events = cr.eventsLeft(st.config.Engine)
		req.Returned = cr.returned()
		left := time.Duration(lateTimeoutFraction * float64(cr.route.Timeout))
		req.ReturnFrom = cr.deadline.Add(-left)
	}
}

// eventsLeft returns the number of events that a stream is expected to have beyond those that
// the caller has; 0 if that is unknown.
func (cr *callerRequest) eventsLeft(e *deployment.Engine) int {
	output := cr.expectedOutput(e)
	if output <= 0 || e.Stride <= 0 || cr.route.Kind != deployment.Stream {
		return 0
	}
	return max((output+e.Stride-1)/e.Stride-cr.eventsSent, 1)
}

// fasterServer returns a slot at another server if the stream would not end before its deadline
// at its server, whose last events had a mean interval, but would there; else nil. A stream
// moves at most once.
func (r *relay) fasterServer(a *attempt, interval time.Duration) *placement.Lease {
	if interval <= 0 || r.moved || !r.h.maySend(r.cr, r.possibleRuns+1) {
		return nil
	}
	return r.h.scheduler.tryMove(r.cr, a.lease, interval)
}

func (sc *scheduler) tryMove(cr *callerRequest, l *placement.Lease, interval time.Duration) *placement.Lease {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	st := sc.service(cr.service, now)
	if st.config == nil || st.config.Engine == nil {
		return nil
	}
	e := st.config.Engine
	req := placement.Request{
		PromptTokens: cr.tokens.Prompt + cr.eventsSent*e.Stride, LatencyTarget: cr.firstEventTarget(), Priority: cr.priority(),
		Events: cr.eventsLeft(e), Deadline: cr.deadline.Add(-responseMargin), Exclude: cr.triedServers, Regions: sc.regionsNow(cr),
	}
	return st.pool.TryMove(now, l, req, interval)
}

// moveFromSlow leaves the attempt for a slot on a faster server. It returns false if the retry
// budget is spent.
func (w *watch) moveFromSlow(l *placement.Lease) bool {
	if !w.maySwitch() || !w.h.scheduler.tryRetry(w.cr.service) {
		w.h.releaseUnused(w.cr, l)
		return false
	}
	w.stopSearch()
	w.h.metrics.movedFromSlow.Inc(1)
	w.leave(l, errTooSlow, placement.Canceled)
	return true
}
