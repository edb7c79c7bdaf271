package coldlimit

import "time"

const (
	// assumedEntries is the number of entries until it is known. The settings don't state it;
	// the largest known deployment has 330.
	assumedEntries = 400
	// settleTime is how long the number is not believed after it was first received: entries that
	// start together are counted as they connect.
	settleTime = 5 * time.Second
	// lowerAfter is how long a number has to be the highest one before it replaces a higher one.
	lowerAfter = time.Minute
	// freshTime is how long the demand of all entries counts as known.
	freshTime = 2 * time.Second
	// ownWindow and totalWindow are the times over which the least own demand and the greatest
	// demand of all entries count. Demand is known a second late; the second time is
	// longer so that a process whose reports are missing for seconds is still contained.
	ownWindow   = 3 * time.Second
	totalWindow = 10 * time.Second
	// maxSamples bounds the values that a window holds.
	maxSamples = 512
)

// sample is a value and when it was last in effect.
type sample struct {
	at    time.Time
	value float64
}

// extreme determines the extreme value of a window. A value is in effect until the next one is
// added.
type extreme struct {
	window time.Duration
	// better reports whether a is more extreme than b.
	better func(a, b float64) bool
	// samples holds those values that no later one exceeds, oldest first.
	samples []sample
}

func higher(a, b float64) bool { return a > b }
func lower(a, b float64) bool  { return a < b }

// add adds a value.
func (e *extreme) add(now time.Time, value float64) {
	n := len(e.samples)
	if n > 0 {
		e.samples[n-1].at = now
	}
	for n > 0 && !e.better(e.samples[n-1].value, value) {
		n--
	}
	if n < maxSamples {
		e.samples = append(e.samples[:n], sample{now, value})
	}
	e.sweep(now)
}

func (e *extreme) sweep(now time.Time) {
	i := 0
	for i < len(e.samples)-1 && now.Sub(e.samples[i].at) > e.window {
		i++
	}
	e.samples = e.samples[i:]
}

// value returns the most extreme value in the window, or the last one before it; 0 if there was
// none.
func (e *extreme) value(now time.Time) float64 {
	e.sweep(now)
	if len(e.samples) == 0 {
		return 0
	}
	return e.samples[0].value
}

// Entries holds the number of entries as received from control processes.
type Entries struct {
	first  time.Time
	counts extreme
}

// Record records a number of entries that a control process has sent. Each knows only those
// that are linked to it.
func (e *Entries) Record(now time.Time, n int) {
	if n <= 0 {
		return
	}
	if e.first.IsZero() {
		e.first = now
		e.counts = extreme{window: lowerAfter, better: higher}
	}
	e.counts.add(now, float64(n))
}

// Believed returns the number of entries that is planned with, and whether it is known.
func (e *Entries) Believed(now time.Time) (n int, known bool) {
	if e.first.IsZero() || now.Sub(e.first) < settleTime {
		return assumedEntries, false
	}
	return int(e.counts.value(now)), true
}

// Share determines an entry's fraction of the demand for a service.
type Share struct {
	own, total extreme
	// totalAt is when the demand of all entries was last received.
	totalAt time.Time
}

// RecordOwn records the demand that the entry reports.
func (s *Share) RecordOwn(now time.Time, demand float64) {
	if s.own.better == nil {
		s.own = extreme{window: ownWindow, better: lower}
	}
	s.own.add(now, demand)
}

// RecordTotal records the demand of the entries that are linked to a control process. If they
// are fewer than are believed to exist, the demand of all is taken to be higher in
// proportion: the shares on both sides of a partition then add up to 1 at most.
func (s *Share) RecordTotal(now time.Time, demand float64, linked int, entries *Entries) {
	believed, known := entries.Believed(now)
	if !known || linked <= 0 {
		return
	}
	if s.total.better == nil {
		s.total = extreme{window: totalWindow, better: higher}
	}
	s.total.add(now, demand*max(float64(believed)/float64(linked), 1))
	s.totalAt = now
}

// Part returns the entry's part.
func (s *Share) Part(now time.Time, entries *Entries) Part {
	n, known := entries.Believed(now)
	p := Part{Entries: n, Known: known}
	if s.totalAt.IsZero() || now.Sub(s.totalAt) > freshTime {
		return p
	}
	own := s.own.value(now)
	if total := s.total.value(now); total > 0 {
		p.Share = min(own/max(total, own), 1)
	}
	return p
}
