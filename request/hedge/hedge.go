// Package hedge decides when a second copy of a request is sent to another server because
// the first copy is slower than most. It answers single slow servers and lost packets: a few
// requests that take many times as long as the others of their kind. It does not help when
// all servers are busy, and then sends nothing.
//
// The delay before a second copy is a percentile of the recent delays of requests of the same
// service and size, so that it follows the load. Second copies are limited to a share of the
// requests, which an operator sets; without a share there are none.
//
// The package does no I/O and has no clock. A Table is not safe for concurrent use. A nil
// Table allows no second copies.
package hedge

import (
	"math/bits"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// percentile is the percentage of requests that are faster than the delay before a second
	// copy. With a lower one, most second copies are sent for requests that are about to be
	// answered.
	percentile = 95
	// minSamples is the number of delays without which the percentile means nothing.
	minSamples = 40
	// windowLength is the length of one of the windowCount windows over which delays are
	// counted: delays of 6 s at most, so that they follow a change of the load.
	windowLength = 2 * time.Second
	windowCount  = 3
	// mergeInterval is the interval at which the windows are merged, which takes longer than
	// anything else that is done for a request.
	mergeInterval = 100 * time.Millisecond
	// minDelay bounds the delay from below: shorter differences are scheduling delays.
	minDelay = 10 * time.Millisecond
	// maxDelay bounds the delays that are told apart.
	maxDelay = 30 * time.Second
	// maxSaved is the number of second copies that can be saved up, so that a burst of slow
	// requests after a calm phase does not double the load.
	maxSaved = 5
	// maxUse is the part of the slots in use above which servers have no room for second
	// copies.
	maxUse = 0.7
	// refusalPause is how long after a refusal no second copies are sent.
	refusalPause = 2 * time.Second
	// winWeight is the weight of the newest result in the moving average of second copies
	// that were faster, and minWins the average below which second copies stop for
	// resultPause: the delay then has causes that another server shares.
	winWeight   = 0.1
	minWins     = 0.15
	resultPause = 10 * time.Second
	// sizeClasses bounds the classes of sizes, and firstClassBits is the length of the
	// largest size of the first one in bits.
	sizeClasses    = 6
	firstClassBits = 8
	// maxServices bounds the services with a state.
	maxServices = 1024
)

// Load is the use of a service's servers as known to the entry.
type Load struct {
	// Waiting is the number of queued requests.
	Waiting int
	// InFlight is the number of requests in progress, and Slots the limit on it.
	InFlight, Slots int
}

// service is the state of one service.
type service struct {
	// tokens is the number of second copies that may be sent now.
	tokens  float64
	classes [sizeClasses]*delays
	// wins is the moving average of second copies that were faster.
	wins float64
	// pausedUntil is the end of a pause after a refusal or after second copies that did not
	// help.
	pausedUntil time.Time
	sent, won   int
}

// Table holds the delays and limits of all services at one entry.
type Table struct {
	share    float64
	services map[string]*service
}

// NewTable returns a table that allows second copies of a share of the requests, from 0 to 1.
// It returns nil if the share is not positive.
func NewTable(share float64) *Table {
	if !(share > 0) {
		return nil
	}
	return &Table{share: min(share, 1), services: map[string]*service{}}
}

// service returns the state of a service, or nil if there are too many.
func (t *Table) service(name string) *service {
	if t == nil {
		return nil
	}
	s := t.services[name]
	if s == nil && len(t.services) < maxServices {
		// The average starts high, so that the first results can't stop all others.
		s = &service{wins: 0.5}
		t.services[name] = s
	}
	return s
}

// RecordRequest counts a request of a caller to a service.
func (t *Table) RecordRequest(name string) {
	if s := t.service(name); s != nil {
		s.tokens = min(s.tokens+t.share, maxSaved)
	}
}

// RecordDelay records how long a copy took until its first event or, if it has none, until
// its complete response. The time until the cancellation of a slower first copy counts as well:
// without it, the delays of slow servers would be missing. That of a second copy does not: it
// is given up when the first one answers, which may be at once.
func (t *Table) RecordDelay(name string, size int, delay time.Duration, now time.Time) {
	if s := t.service(name); s != nil {
		s.class(size).record(delay, now)
	}
}

// RecordRefusal records that a request to a service was refused because there was no room.
func (t *Table) RecordRefusal(name string, now time.Time) {
	if s := t.service(name); s != nil {
		s.pausedUntil = later(s.pausedUntil, now.Add(refusalPause))
	}
}

// RecordResult records whether a second copy was answered before the first one.
func (t *Table) RecordResult(name string, won bool, now time.Time) {
	s := t.service(name)
	if s == nil {
		return
	}
	result := 0.0
	if won {
		result = 1
		s.won++
	}
	s.wins += winWeight * (result - s.wins)
	if s.wins < minWins {
		s.pausedUntil = later(s.pausedUntil, now.Add(resultPause))
		s.wins = 2 * minWins
	}
}

// Delay returns the time after which a second copy of a request may be sent. It returns false
// if too little is known of such requests, or if a copy that is sent then would not be
// answered in the time that is left.
func (t *Table) Delay(name string, size int, left time.Duration, now time.Time) (time.Duration, bool) {
	s := t.service(name)
	if s == nil {
		return 0, false
	}
	d := s.class(size)
	if d.count(now) < minSamples {
		return 0, false
	}
	delay := max(d.quantile(percentile), minDelay)
	return delay, delay+d.quantile(50) < left
}

// Allows reports whether a second copy may be sent now.
func (t *Table) Allows(name string, load Load, now time.Time) bool {
	s := t.service(name)
	return s != nil && s.tokens >= 1 && !now.Before(s.pausedUntil) &&
		load.Waiting == 0 && float64(load.InFlight) < maxUse*float64(load.Slots)
}

// Take records that a second copy is sent.
func (t *Table) Take(name string) {
	if s := t.service(name); s != nil {
		s.tokens--
		s.sent++
	}
}

// Dump returns the state of the services for the state dump.
func (t *Table) Dump(now time.Time) any {
	type state struct {
		Sent, Won int
		Saved     float64
		Wins      float64
		Paused    time.Duration
		// DelaysMs holds the delay before a second copy by class of size.
		DelaysMs map[int]int64
	}
	states := map[string]state{}
	if t == nil {
		return states
	}
	for name, s := range t.services {
		st := state{Sent: s.sent, Won: s.won, Saved: s.tokens, Wins: s.wins, Paused: max(s.pausedUntil.Sub(now), 0), DelaysMs: map[int]int64{}}
		for class, d := range s.classes {
			if d != nil && d.count(now) >= minSamples {
				st.DelaysMs[class] = d.quantile(percentile).Milliseconds()
			}
		}
		states[name] = st
	}
	return states
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// class returns the delays of the requests of about a size.
func (s *service) class(size int) *delays {
	class := min(max(bits.Len(uint(max(size, 0)))-firstClassBits, 0), sizeClasses-1)
	if s.classes[class] == nil {
		s.classes[class] = newDelays()
	}
	return s.classes[class]
}

// delays counts the delays of the last windows.
type delays struct {
	windows *hdrhistogram.WindowedHistogram
	// started is the start of the current window.
	started time.Time
	// merged holds the delays of all windows as of mergedAt.
	merged   *hdrhistogram.Histogram
	mergedAt time.Time
}

func newDelays() *delays {
	return &delays{windows: hdrhistogram.NewWindowed(windowCount, 1, maxDelay.Milliseconds(), 2)}
}

// advance makes the window of now the current one.
func (d *delays) advance(now time.Time) {
	if d.started.IsZero() {
		d.started = now
	}
	for rotations := 0; now.Sub(d.started) >= windowLength; rotations++ {
		if rotations > windowCount {
			d.started = now
			return
		}
		d.windows.Rotate()
		d.started = d.started.Add(windowLength)
	}
}

func (d *delays) record(delay time.Duration, now time.Time) {
	d.advance(now)
	_ = d.windows.Current.RecordValue(min(max(delay, time.Millisecond), maxDelay-time.Second).Milliseconds()) // in range
}

// count returns the number of delays in the last windows, as of mergeInterval ago at most.
func (d *delays) count(now time.Time) int64 {
	d.advance(now)
	if d.merged == nil || now.Sub(d.mergedAt) >= mergeInterval {
		d.merged, d.mergedAt = d.windows.Merge(), now
	}
	return d.merged.TotalCount()
}

// quantile returns a percentile of the delays that count has merged.
func (d *delays) quantile(percent float64) time.Duration {
	return time.Duration(d.merged.ValueAtQuantile(percent)) * time.Millisecond
}
