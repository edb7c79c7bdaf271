package placement

import (
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/directory"
)

const (
	// failureEWMAWeight is the weight of the newest outcome in the failure rate.
	failureEWMAWeight = 0.25
	// ejectFailureRate is the failure rate at which a server is ejected.
	ejectFailureRate = 0.45
	// minEjectTime and maxEjectTime bound how long a failing server is ejected. The
	// time doubles with each ejection.
	minEjectTime = 700 * time.Millisecond
	maxEjectTime = 6 * time.Second
	// refusalBackoff is the backoff after a server refused a request: about one
	// step of its engine. It doubles with each consecutive refusal up to
	// maxRefusalBackoff, because an engine that loads weights refuses for seconds.
	refusalBackoff    = 100 * time.Millisecond
	maxRefusalBackoff = 400 * time.Millisecond
	// missingWeightsBackoff is the backoff after a server lacked the weights: the
	// time until the directory can have reported it.
	missingWeightsBackoff = 500 * time.Millisecond
	// slowDelayQuarters is the mean first-event delay, in quarters of the latency
	// target, above which a server is slow. overdueQuarters is the same limit for
	// a request without an event so far, its prefill included. Prefill takes 50 to
	// 150 ms of the platform's target of 400 ms.
	slowDelayQuarters = 3
	overdueQuarters   = 6
	// startMargin is how long before the weights of a server expire it is sent requests;
	// startDelayFactor times its first-event delay beyond baselineDelay is added.
	startMargin      = directory.LastRequestMargin
	startDelayFactor = 4
	// baselineDelay is the mean first-event delay at a server whose slots are all
	// in use.
	baselineDelay = 200 * time.Millisecond
	// sendMargin is the part of startMargin that remains once a connection is open.
	sendMargin = startMargin - 150*time.Millisecond
	// probeMargin is how long before the weights of a slow or ejected server expire it is
	// probed last. It exceeds startMargin by the time in which a server that is silent for
	// stallTimeout answers or its request is withdrawn.
	probeMargin = 4 * time.Second
	// delayEWMAWeight is the weight of the newest sample in the mean first-event
	// delay.
	delayEWMAWeight = 0.3
)

// server is the state of a backend server as observed through this entry's own
// requests.
type server struct {
	Server
	incarnation string
	// inFlight counts this entry's requests at the server, and prefillTokens the
	// prompt tokens of those without a first event.
	inFlight      int
	prefillTokens int
	// failureRate is the moving average of failed requests. consecutiveFailures
	// counts the failures since the last success.
	failureRate         float64
	consecutiveFailures int
	ejectTime           time.Duration
	ejectedUntil        time.Time
	// probing is set after an ejection: the server gets one request at a time
	// until one is served or canceled.
	probing bool
	// backoffUntil is the end of the backoff after a refusal; consecutiveRefusals
	// sets its length.
	backoffUntil        time.Time
	consecutiveRefusals int
	// firstEventDelay is the moving average of the time to the first event less
	// the expected prefill time.
	firstEventDelay time.Duration
	// pending lists the streams without a first event, oldest first.
	pending []*Lease
	// speed is what is known of the server's speed.
	speed speed
	// reported is the load that the server has stated last.
	reported reportedLoad
	// removed is set when the directory no longer lists the server.
	removed bool
}

// available reports whether the server is neither ejected nor in backoff. mayProbe is set
// if the request may probe it after an ejection.
func (s *server) available(now time.Time, mayProbe bool) bool {
	if s.probing && !mayProbe {
		return false
	}
	return !now.Before(s.ejectedUntil) && !now.Before(s.backoffUntil)
}

// mayProbe reports whether a request may be the only one at a server that is slow or was
// ejected. If the server's weights expire, the probe must be a stream, which shows by its
// first event that it has begun and is withdrawn without one, and be sent probeMargin before:
// it could reach the server late.
func (s *server) mayProbe(now boottime.Instant, req *Request) bool {
	if s.inFlight > 0 {
		return false
	}
	return s.WeightsUntil.IsZero() || req.LatencyTarget > 0 && !now.Add(probeMargin).After(s.WeightsUntil)
}

// weightsExpiring reports whether a request that is sent now could start after
// the server's weights have expired.
func (s *server) weightsExpiring(now boottime.Instant) bool {
	margin := startMargin + startDelayFactor*max(s.firstEventDelay-baselineDelay, 0)
	return !s.WeightsUntil.IsZero() && now.Add(margin).After(s.WeightsUntil)
}

// isSlow reports whether the server's first events miss the latency target, by
// their recent average or because one is overdue. The platform reduces link
// bandwidth and engine speed without notice. A server that is known to be slow gets the
// requests that fit its speed, unless one is overdue at that speed.
func (s *server) isSlow(now time.Time, target time.Duration) bool {
	if target <= 0 {
		return false
	}
	pace := s.speed.slowPace()
	if len(s.pending) > 0 && now.Sub(s.pending[0].granted) > time.Duration(pace*float64(overdueQuarters*target/4)) {
		return true
	}
	return pace == 1 && s.firstEventDelay > slowDelayQuarters*target/4
}

// recordFirstEvent updates the first-event delay. prefill is the expected prefill
// time of the request.
func (s *server) recordFirstEvent(now time.Time, l *Lease, prefill time.Duration) {
	s.removePending(l)
	sample := max(now.Sub(l.granted)-prefill, 0)
	if s.firstEventDelay == 0 {
		s.firstEventDelay = sample
		return
	}
	s.firstEventDelay += time.Duration(delayEWMAWeight * float64(sample-s.firstEventDelay))
}

// removePending removes a request from those without a first event.
func (s *server) removePending(l *Lease) {
	if i := slices.Index(s.pending, l); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
	}
}

// recordOutcome updates the failure state by the outcome of a request.
func (s *server) recordOutcome(o Outcome, now time.Time) {
	switch o {
	case Served:
		s.consecutiveFailures = 0
		s.consecutiveRefusals = 0
		s.failureRate *= 1 - failureEWMAWeight
		s.probing = false
		if s.failureRate < ejectFailureRate/4 {
			s.ejectTime = 0
		}
	case Failed, Stalled:
		s.consecutiveFailures++
		s.failureRate += failureEWMAWeight * (1 - s.failureRate)
		if s.probing || o == Stalled || s.consecutiveFailures >= 2 || s.failureRate >= ejectFailureRate {
			s.eject(now)
		}
	case Refused:
		if now.Before(s.backoffUntil) {
			// Sent before the refusal that started this backoff.
			return
		}
		s.backoffUntil = now.Add(min(refusalBackoff<<s.consecutiveRefusals, maxRefusalBackoff))
		s.consecutiveRefusals = min(s.consecutiveRefusals+1, 4)
	case WeightsMissing:
		s.backoffUntil = now.Add(missingWeightsBackoff)
	case Canceled:
		s.probing = false
	}
}

// endSilence makes a server available again that was ejected for its silence.
func (s *server) endSilence(now time.Time) {
	s.consecutiveFailures = 0
	s.probing = false
	s.ejectTime = 0
	if now.Before(s.ejectedUntil) {
		s.ejectedUntil = now
	}
}

// eject takes the server out of use for a time that doubles with each ejection.
func (s *server) eject(now time.Time) {
	if now.Before(s.ejectedUntil) {
		return
	}
	s.ejectTime = min(max(2*s.ejectTime, minEjectTime), maxEjectTime)
	s.ejectedUntil = now.Add(s.ejectTime)
	s.probing = true
}

// OnSilent records that the server has sent nothing for long on a request that
// still waits for it. The server is ejected as after a failure.
func (p *Pool) OnSilent(now time.Time, l *Lease) {
	if !l.silent {
		l.silent = true
		l.state.recordOutcome(Stalled, now)
	}
}

// OnResumed records that a server reported by OnSilent has gone on.
func (p *Pool) OnResumed(now time.Time, l *Lease) {
	if l.silent {
		l.silent = false
		l.state.endSilence(now)
		p.DispatchWaiting(now)
	}
}
