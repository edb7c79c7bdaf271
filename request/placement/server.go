package placement

import (
	"slices"
	"time"
)

const (
	// failureWeight is the weight of the last outcome in the share of failures.
	failureWeight = 0.25
	// failureShare is the share of failures at which a server is left out.
	failureShare = 0.45
	// minLeftOut and maxLeftOut bound how long a server is left out after
	// failures. It doubles each time.
	minLeftOut = 700 * time.Millisecond
	maxLeftOut = 6 * time.Second
	// fullPause is how long a server that refused is left alone: about a pass
	// of its engine. It doubles with each refusal in a row up to maxFullPause,
	// as an engine that loads weights refuses for seconds.
	fullPause    = 100 * time.Millisecond
	maxFullPause = 400 * time.Millisecond
	// unheldPause is how long a server is left alone that lacked the weights:
	// until news of it can have arrived.
	unheldPause = 500 * time.Millisecond
	// slowShare is the mean delay, in quarters of the aim, from which on a server
	// is slow; overdueShare the same for a request that has no event yet, its
	// reading included. Reading takes 50 to 150 ms of the platform's 400.
	slowShare    = 3
	overdueShare = 6
	// beginMargin and beginDelays bound the time in which a request begins: a link
	// that has just narrowed holds one up for two seconds, and several times what
	// the server's first events came later than usual is added.
	beginMargin = 2 * time.Second
	beginDelays = 4
	// usualDelay is the mean delay of first events at a server with full slots.
	usualDelay = 200 * time.Millisecond
	// sendMargin is the part of beginMargin that is left once a connection is open.
	sendMargin = 1500 * time.Millisecond
	// delayWeight is the weight of the last first event in the mean delay.
	delayWeight = 0.3
)

// server is what this entry knows of a server by its own requests.
type server struct {
	Server
	// own counts this entry's requests there, reading their prompt tokens that
	// no event has followed yet.
	own     int
	reading int
	// failures is the moving share of failed requests, streak those in a row.
	failures float64
	streak   int
	leftOut  time.Duration
	until    time.Time
	// trial is set while one request finds out whether a server works again.
	trial bool
	// fullUntil ends a pause after a refusal; refusals counts those in a row.
	fullUntil time.Time
	refusals  int
	// delay is the moving mean of the time to the first event beyond the reading
	// of the prompt.
	delay time.Duration
	// pending are the requests that no event has followed yet, oldest first.
	pending []*Lease
	gone    bool
}

// rested reports whether the server may get a request as far as its failures
// go. One whose weights are outdated is not tried again: a request could reach
// it late, after they may not be used any more.
func (s *server) rested(now time.Time) bool {
	if s.trial && (s.own > 0 || !s.Until.IsZero()) {
		return false
	}
	return !now.Before(s.until) && !now.Before(s.fullUntil)
}

// expiring reports whether a request that is sent now could begin after the
// server's weights may not be used any more.
func (s *server) expiring(now time.Time) bool {
	extra := beginDelays * max(s.delay-usualDelay, 0)
	return !s.Until.IsZero() && now.Add(beginMargin+extra).After(s.Until)
}

// slow reports whether the server's first events come too late for the aim: by
// those seen last, or by one that is overdue. The platform narrows links and
// slows engines without a word.
func (s *server) slow(now time.Time, aim time.Duration) bool {
	if aim <= 0 {
		return false
	}
	if len(s.pending) > 0 && now.Sub(s.pending[0].at) > overdueShare*aim/4 {
		return true
	}
	return s.delay > slowShare*aim/4
}

// began takes in that the first event of a request has arrived.
func (s *server) began(now time.Time, l *Lease, reading time.Duration) {
	s.forget(l)
	sample := max(now.Sub(l.at)-reading, 0)
	if s.delay == 0 {
		s.delay = sample
		return
	}
	s.delay += time.Duration(delayWeight * float64(sample-s.delay))
}

// forget takes a request out of those that wait for their first event.
func (s *server) forget(l *Lease) {
	if at := slices.Index(s.pending, l); at >= 0 {
		s.pending = slices.Delete(s.pending, at, at+1)
	}
}

// learn takes in how a request ended.
func (s *server) learn(o Outcome, now time.Time) {
	switch o {
	case Served:
		s.streak = 0
		s.refusals = 0
		s.failures *= 1 - failureWeight
		s.trial = false
		if s.failures < failureShare/4 {
			s.leftOut = 0
		}
	case Failed, Stalled:
		s.streak++
		s.failures += failureWeight * (1 - s.failures)
		if s.trial || o == Stalled || s.streak >= 2 || s.failures >= failureShare {
			s.leaveOut(now)
		}
	case Full:
		if now.Before(s.fullUntil) {
			// Refused together with the one before.
			return
		}
		s.fullUntil = now.Add(min(fullPause<<s.refusals, maxFullPause))
		s.refusals = min(s.refusals+1, 4)
	case Unheld:
		s.fullUntil = now.Add(unheldPause)
	case Abandoned:
		s.trial = false
	}
}

func (s *server) leaveOut(now time.Time) {
	if now.Before(s.until) {
		return
	}
	s.leftOut = min(max(2*s.leftOut, minLeftOut), maxLeftOut)
	s.until = now.Add(s.leftOut)
	s.trial = true
}
