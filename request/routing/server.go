package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingpost/waxwingpost/connection/session"
)

const (
	// ewmaWeight is the weight of the newest sample in a moving average.
	ewmaWeight = 0.25
	// othersWeight is the weight of the newest report in the estimate of
	// other entries' load.
	othersWeight = 0.5
	// paceBytes is added to an answer's size so that short answers, whose
	// time is mostly fixed, compare with long ones.
	paceBytes = 512
	// consecutiveFailures eject a server without regard to earlier answers.
	consecutiveFailures = 3
	// maxSlowPenalty bounds how much slowness weighs against a server.
	maxSlowPenalty = 10
)

// server is what a group knows of one backend server.
type server struct {
	backend *session.Backend
	// reported is the newest report that was taken in.
	reported *session.Backend
	// hash identifies the server for rendezvous; subset orders it for the
	// entry's subset.
	hash   uint64
	subset uint64
	tier   int
	own    int
	others float64

	samples   int
	pace      float64
	failures  float64
	failedRun int
	// learned is when the newest answer was taken in.
	learned time.Time

	ejectedUntil time.Time
	ejections    int
	// limit bounds the server's concurrency while it comes back after an
	// ejection; zero means no bound.
	limit int
}

func newServer(cfg *Config, b *session.Backend) *server {
	s := &server{hash: xxhash.Sum64String(b.Name)}
	s.subset = mix(s.hash, xxhash.Sum64String(cfg.Entry))
	s.tier = tierOf(cfg, b)
	s.backend = b
	s.others = max(0, float64(b.Status.InFlight))
	return s
}

// Tiers of distance.
const (
	tierZone = iota
	tierRegion
	tierFar
	tiers
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

// observe takes a newer report in. The agent's count was right when it was
// sent; what it holds beyond the entry's own requests is other entries'.
func (s *server) observe(b *session.Backend) {
	others := max(0, float64(b.Status.InFlight-s.own))
	s.others += othersWeight * (others - s.others)
	s.backend = b
}

func (s *server) load() float64 { return float64(s.own) + s.others }

func (s *server) reportedSlots(cfg *Config) int {
	if n := s.backend.Status.Engine.Slots; n > 0 {
		return n
	}
	return cfg.PlainSlots
}

func (s *server) slots(cfg *Config) int {
	n := s.reportedSlots(cfg)
	if s.limit > 0 && s.limit < n {
		return s.limit
	}
	return n
}

func (s *server) hasRoom(cfg *Config) bool {
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

// Outcome is how a request at a backend server ended.
type Outcome int

// Outcomes.
const (
	// OK means that the answer was complete.
	OK Outcome = iota
	// Failed means that the server answered with an error or broke off.
	Failed
	// Neutral means that the end tells nothing of the server: the caller
	// left, or the agent refused the request for a passing reason.
	Neutral
)

// learn takes an answer in.
func (s *server) learn(o Outcome, now time.Time, took time.Duration, bytes int64) {
	if o == Neutral {
		return
	}
	s.learned = now
	failed := 0.0
	s.failedRun++
	if o == OK {
		s.failedRun = 0
		s.learnPace(took, bytes)
	} else {
		failed = 1
	}
	if s.samples == 0 {
		s.failures = 0
	}
	s.failures += ewmaWeight * (failed - s.failures)
	s.samples++
}

func (s *server) learnPace(took time.Duration, bytes int64) {
	pace := took.Seconds() / float64(bytes+paceBytes)
	if s.pace == 0 {
		s.pace = pace
		return
	}
	s.pace += ewmaWeight * (pace - s.pace)
}

// age forgets a pace that no newer answer confirmed: a server that was passed
// over as slow may be sound again. It is tried with one request at a time.
func (s *server) age(cfg *Config, now time.Time, median float64) {
	if s.pace == 0 || now.Sub(s.learned) < cfg.PaceAge {
		return
	}
	if median > 0 && s.pace > cfg.SlowFactor*median {
		s.limit = 1
	}
	s.samples, s.pace, s.failures, s.failedRun = 0, 0, 0, 0
}

// judge ejects a server that fails or is slow against the median, and lets
// one that does well have more requests again.
func (s *server) judge(cfg *Config, now time.Time, o Outcome, median float64) {
	if o == Neutral || s.ejected(now) {
		return
	}
	if s.isBad(cfg, median) {
		s.eject(cfg, now)
		return
	}
	if s.limit > 0 && o == OK && s.samples >= cfg.MinSamples {
		s.limit *= 2
		if s.limit >= s.reportedSlots(cfg) {
			s.limit = 0
			s.ejections = 0
		}
	}
}

func (s *server) isBad(cfg *Config, median float64) bool {
	if s.failedRun >= consecutiveFailures {
		return true
	}
	if s.samples < cfg.MinSamples {
		return false
	}
	return s.failures >= cfg.FailureShare || (median > 0 && s.pace > cfg.SlowFactor*median)
}

func (s *server) eject(cfg *Config, now time.Time) {
	period := cfg.EjectBase << min(s.ejections, 10)
	s.ejectedUntil = now.Add(min(period, cfg.EjectMax))
	s.ejections++
	s.limit = 1
	s.samples, s.pace, s.failures, s.failedRun = 0, 0, 0, 0
}
