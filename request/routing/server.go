package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingpost/waxwingpost/connection/session"
)

const (
	// ewmaWeight is the weight of the newest sample in a moving average.
	ewmaWeight = 0.25
	// othersEWMAWeight is the weight of the newest report in the estimate of other
	// entries' requests.
	othersEWMAWeight = 0.5
	// paceBytes is added to the size of a response, so that short responses, whose
	// time is mostly fixed, are comparable to long ones.
	paceBytes = 512
	// maxConsecutiveFailures is the number of consecutive failures after which a
	// server is ejected, regardless of earlier responses.
	maxConsecutiveFailures = 3
	// maxSlowPenalty bounds the result of slowPenalty.
	maxSlowPenalty = 10
)

// server is the state of one backend server in a group.
type server struct {
	backend *session.Backend
	// lastReport is the newest report that was applied.
	lastReport *session.Backend
	// hash identifies the server in rendezvous hashing. subsetRank is its rank for
	// the entry's subset.
	hash       uint64
	subsetRank uint64
	tier       int
	// inFlight counts this entry's requests at the server. othersInFlight estimates
	// those of other entries.
	inFlight       int
	othersInFlight float64

	// samples counts the responses since the averages were reset.
	samples int
	// pace is the moving average of the response time per byte, in seconds.
	pace                float64
	failureRate         float64
	consecutiveFailures int
	// lastSample is when the newest outcome was recorded.
	lastSample time.Time

	ejectedUntil time.Time
	ejections    int
	// rampLimit bounds the server's concurrency while it ramps up after an ejection;
	// zero means no bound.
	rampLimit int
}

func newServer(cfg *Config, b *session.Backend) *server {
	s := &server{hash: xxhash.Sum64String(b.Name)}
	s.subsetRank = mix(s.hash, xxhash.Sum64String(cfg.Entry))
	s.tier = tierOf(cfg, b)
	s.backend = b
	s.othersInFlight = max(0, float64(b.Status.InFlight))
	return s
}

// Distance tiers, nearest first.
const (
	tierZone = iota
	tierRegion
	tierFar
	numTiers
)

func tierOf(cfg *Config, b *session.Backend) int {
	switch {
	case b.Zone == cfg.Zone:
		return tierZone
	case b.Region == cfg.Region:
		return tierRegion
	default:
		return tierFar
	}
}

// applyReport applies a newer report. The agent's count was exact when the report was
// sent; the part beyond the entry's own requests belongs to other entries.
func (s *server) applyReport(b *session.Backend) {
	others := max(0, float64(b.Status.InFlight-s.inFlight))
	s.othersInFlight += othersEWMAWeight * (others - s.othersInFlight)
	s.backend = b
}

// load returns the requests in progress at the server, those of other entries
// included.
func (s *server) load() float64 { return float64(s.inFlight) + s.othersInFlight }

// reportedSlots returns the server's slots regardless of rampLimit.
func (s *server) reportedSlots(cfg *Config) int {
	if n := s.backend.Status.Engine.Slots; n > 0 {
		return n
	}
	return cfg.PlainSlots
}

// slots returns the number of requests that the server may run concurrently now.
func (s *server) slots(cfg *Config) int {
	n := s.reportedSlots(cfg)
	if s.rampLimit > 0 && s.rampLimit < n {
		return s.rampLimit
	}
	return n
}

func (s *server) hasFreeSlot(cfg *Config) bool {
	return s.load() < float64(s.slots(cfg))
}

func (s *server) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// mix combines two hashes (the finalizer of SplitMix64).
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Outcome classifies how a request ended at a backend server.
type Outcome int

// Outcomes.
const (
	// OK means that the response was complete.
	OK Outcome = iota
	// Failed means that the response was an error or was truncated.
	Failed
	// Neutral means that the outcome says nothing about the server: the caller left,
	// or the agent refused the request for a temporary reason.
	Neutral
)

// recordOutcome updates the failure rate and pace by the outcome of a request.
func (s *server) recordOutcome(o Outcome, now time.Time, took time.Duration, bytes int64) {
	if o == Neutral {
		return
	}
	s.lastSample = now
	failed := 0.0
	s.consecutiveFailures++
	if o == OK {
		s.consecutiveFailures = 0
		s.recordPace(took, bytes)
	} else {
		failed = 1
	}
	if s.samples == 0 {
		s.failureRate = 0
	}
	s.failureRate += ewmaWeight * (failed - s.failureRate)
	s.samples++
}

// recordPace updates the pace by the duration and size of a response.
func (s *server) recordPace(took time.Duration, bytes int64) {
	pace := took.Seconds() / float64(bytes+paceBytes)
	if s.pace == 0 {
		s.pace = pace
		return
	}
	s.pace += ewmaWeight * (pace - s.pace)
}

// expirePace discards a pace that no recent response confirmed, because a server
// avoided as slow may have recovered. Such a server ramps up from one request.
func (s *server) expirePace(cfg *Config, now time.Time, median float64) {
	if s.pace == 0 || now.Sub(s.lastSample) < cfg.PaceMaxAge {
		return
	}
	if median > 0 && s.pace > cfg.SlowPaceFactor*median {
		s.rampLimit = 1
	}
	s.samples, s.pace, s.failureRate, s.consecutiveFailures = 0, 0, 0, 0
}

// updateEjection ejects a server that fails or is slow relative to the median. It
// doubles the concurrency of a server that ramps up and succeeds.
func (s *server) updateEjection(cfg *Config, now time.Time, o Outcome, median float64) {
	if o == Neutral || s.ejected(now) {
		return
	}
	if s.shouldEject(cfg, median) {
		s.eject(cfg, now)
		return
	}
	if s.rampLimit > 0 && o == OK && s.samples >= cfg.MinSamples {
		s.rampLimit *= 2
		if s.rampLimit >= s.reportedSlots(cfg) {
			s.rampLimit = 0
			s.ejections = 0
		}
	}
}

// shouldEject reports whether the server's failures or pace exceed the limits.
func (s *server) shouldEject(cfg *Config, median float64) bool {
	if s.consecutiveFailures >= maxConsecutiveFailures {
		return true
	}
	if s.samples < cfg.MinSamples {
		return false
	}
	return s.failureRate >= cfg.EjectFailureRate || (median > 0 && s.pace > cfg.SlowPaceFactor*median)
}

// eject takes the server out of use for a time that doubles with each ejection, and
// lets it ramp up from one request afterwards.
func (s *server) eject(cfg *Config, now time.Time) {
	period := cfg.EjectBase << min(s.ejections, 10)
	s.ejectedUntil = now.Add(min(period, cfg.EjectMax))
	s.ejections++
	s.rampLimit = 1
	s.samples, s.pace, s.failureRate, s.consecutiveFailures = 0, 0, 0, 0
}
