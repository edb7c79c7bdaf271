// Package coldlimit limits the requests that cold servers get: those that have just started
// during traffic, or have become slow again, and that crash far above a rate.
//
// In any second, all entries together may send a cold server a number of requests. Entries
// don't talk to each other about each request. Each sends at regular times, at a rate that is
// its part: a small fixed part, which the number of entries determines, and a part by its
// demand, which counts only while the demand of all entries is known. Both are chosen so that
// the parts of all entries add up to the allowed rate at most, whatever each of them knows:
//
//   - A lower number of entries is believed after a minute, a higher one at once.
//   - An entry counts the least of its own demand over a time, and the greatest of the demand
//     of all entries over a longer one, so that its part grows only after those of the others
//     have shrunk.
//   - An entry that has just started, or does not receive the demand of all entries, has only a
//     small part.
//
// Requests at regular times exceed their mean by one at most in any second, per entry. With
// more entries than half of the allowed requests, the sum over entries whose times are
// independent is used instead: five standard deviations are kept free.
//
// The package does no I/O and has no clock. Its types are not safe for concurrent use. A nil
// Table limits nothing.
package coldlimit

import (
	"math"
	"time"
)

const (
	// usedFraction is the part of the allowed requests that is planned with. The rest covers
	// entries that have just started, and the way of requests to the server.
	usedFraction = 0.9
	// fixedPart is the part of the rate that is divided equally among the entries. Each of
	// them sends that much in whatever state it is.
	fixedPart = 0.2
	// rampStart is the part of the rate at the begin of a cold phase; it grows to 1.
	rampStart = 0.5
	// keepTime is how long a turn can be used if there are many entries. Turns that could be used
	// at any later time would come together after a quiet time.
	keepTime = 100 * time.Millisecond
	// lateFraction is the part of the time between two turns by which one may be late without
	// delaying the next one.
	lateFraction = 0.25
	// deviations is how many standard deviations are kept free with many entries.
	deviations = 5
	// pauseAfterWarm is the time without requests after the last one that was sent before the
	// server was known to be cold: any second that begins in it is free of the earlier ones.
	pauseAfterWarm = time.Second
	// minExtension is the least time by which the end of a cold phase moves if the server has
	// become cold again.
	minExtension = 250 * time.Millisecond
	// maxSendDelay is the time after its grant within which a request must be sent. Requests
	// that wait for connections would arrive together.
	maxSendDelay = 200 * time.Millisecond
	// maxUnknownRate is the rate of an entry that does not know the number of entries.
	maxUnknownRate = 1
	// maxServers bounds the table, and maxChanges the changes that have not been taken.
	maxServers = 8192
	maxChanges = 64
)

// Rule is the limit for the cold servers of a service.
type Rule struct {
	// PerSecond is the rate that a cold server takes.
	PerSecond float64
	// Overrun times PerSecond plus Extra is the number of requests that it may get in any
	// second.
	Overrun, Extra float64
}

// Limits reports whether the rule limits anything.
func (r Rule) Limits() bool { return r.PerSecond > 0 && r.Overrun > 0 }

// rate returns the number of requests per second of all entries together, and whether each
// entry may keep a time for a request for as long as it likes.
func (r Rule) rate(entries int) (perSecond float64, keep bool) {
	limit := usedFraction * max(r.PerSecond*r.Overrun+r.Extra, 0)
	n := float64(max(entries, 1))
	// One request more than the mean at each entry, and what may be late.
	certain := limit - (1+lateFraction)*n
	// The number of requests of an entry in a second has a variance of at most 1/4 and of at
	// most its mean. What is kept adds to the mean.
	more := 1 + keepTime.Seconds()
	byNumber := (limit - deviations*math.Sqrt(n/4)) / more
	root := (math.Sqrt(deviations*deviations+4*more*limit) - deviations) / (2 * more)
	likely := max(byNumber, root*root)
	if certain >= min(likely, r.PerSecond) {
		return min(certain, r.PerSecond), true
	}
	return min(likely, r.PerSecond), false
}

// Part is an entry's part of the limits on the servers of a service.
type Part struct {
	// Share is the fraction of the demand of all entries; 0 if it is not known.
	Share float64
	// Entries is the number of entries, and Known is set unless that is assumed.
	Entries int
	Known   bool
}

// rate returns the rate of the entry.
func (p Part) rate(r Rule) (perSecond float64, keep bool) {
	all, keep := r.rate(p.Entries)
	if !p.Known {
		return min(all*fixedPart/float64(max(p.Entries, 1)), maxUnknownRate), false
	}
	return all * (fixedPart/float64(max(p.Entries, 1)) + (1-fixedPart)*min(max(p.Share, 0), 1)), keep
}

// server is the state of one incarnation of a server.
type server struct {
	rule Rule
	// coldFrom and coldUntil are the begin and the end of the last cold phase.
	coldFrom, coldUntil time.Time
	// turns is the number of requests that the entry may send, with a fraction. It grows by the
	// rate and begins at random, so that the times of entries stay independent when the
	// rates of all change together. advanced is the time that it was computed for, zero if it
	// was not.
	turns    float64
	advanced time.Time
	// lastGrant is when the last request was granted that has not been returned.
	lastGrant time.Time
	// warmAt is when a request was last sent while the server was not cold, and pauseUntil the
	// end of the pause after it.
	warmAt, pauseUntil time.Time
	// sent counts the requests since the server was cold first.
	sent int
}

func (s *server) cold(now time.Time) bool { return now.Before(s.coldUntil) }

// Change is a server that has become cold, also again.
type Change struct {
	Server string
	For    time.Duration
	// Again is set if the server was cold already.
	Again bool
}

// Table holds the servers of services with a limit by their incarnations.
type Table struct {
	servers map[string]*server
	// random returns a number in [0, 1).
	random  func() float64
	changes []Change
	// now is the latest time that was passed.
	now time.Time
}

// NewTable returns an empty table. random spreads the times of the entries.
func NewTable(random func() float64) *Table {
	return &Table{servers: map[string]*server{}, random: random}
}

// Has reports whether a server is in the table.
func (t *Table) Has(id string) bool { return t.servers[id] != nil }

// Update records until when a server is cold; a time that has passed means that it is not.
func (t *Table) Update(id string, rule Rule, until, now time.Time) {
	t.now = now
	s := t.servers[id]
	if s == nil {
		if len(t.servers) >= maxServers {
			return
		}
		s = &server{}
		t.servers[id] = s
	}
	s.rule = rule
	again := s.cold(now)
	switch {
	case !until.After(now):
		s.coldUntil = time.Time{}
	case again && until.Sub(s.coldUntil) < minExtension:
		// The same phase: its end is reported with some jitter.
	default:
		if !again {
			s.pauseUntil = now
			if warm := s.warmAt.Add(pauseAfterWarm); !s.warmAt.IsZero() && warm.After(now) {
				s.pauseUntil = warm
			}
			if s.advanced.IsZero() {
				s.turns = t.random()
			}
			s.turns, s.advanced = math.Mod(s.turns, 1), s.pauseUntil
		}
		s.coldFrom, s.coldUntil = now, until
		if len(t.changes) < maxChanges {
			t.changes = append(t.changes, Change{Server: id, For: until.Sub(now), Again: again})
		}
	}
}

// TakeChanges returns the servers that have become cold since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Keep removes the servers for which keep returns false.
func (t *Table) Keep(keep func(id string) bool) {
	for id := range t.servers {
		if !keep(id) {
			delete(t.servers, id)
		}
	}
}

// Len returns the number of servers.
func (t *Table) Len() int { return len(t.servers) }

// coldServer returns a server that is cold and has a limit, or nil.
func (t *Table) coldServer(id string, now time.Time) *server {
	if t == nil {
		return nil
	}
	if s := t.servers[id]; s != nil && s.cold(now) && s.rule.Limits() {
		return s
	}
	return nil
}

// Rate returns the number of requests per second that the entry may send to a server. It
// returns false if the server was not cold at the last update.
func (t *Table) Rate(id string, p Part) (float64, bool) {
	if t == nil {
		return 0, false
	}
	s := t.coldServer(id, t.now)
	if s == nil {
		return 0, false
	}
	rate, _ := s.rate(p, t.now)
	return rate, true
}

// rate returns the rate of the entry at a time of the cold phase.
func (s *server) rate(p Part, now time.Time) (perSecond float64, keep bool) {
	perSecond, keep = p.rate(s.rule)
	progress := 1.0
	if phase := s.coldUntil.Sub(s.coldFrom); phase > 0 {
		progress = min(max(float64(now.Sub(s.coldFrom))/float64(phase), 0), 1)
	}
	return perSecond * (rampStart + (1-rampStart)*progress), keep
}

// Due reports whether the entry may send a request to a server now.
func (t *Table) Due(id string, p Part, now time.Time) bool {
	s := t.coldServer(id, now)
	if s == nil {
		return true
	}
	s.advance(p, now)
	return s.turns >= 1 && !now.Before(s.pauseUntil)
}

// Take records that the entry sends a request to a server, also to one that is not cold.
func (t *Table) Take(id string, p Part, now time.Time) {
	if t == nil || t.servers[id] == nil {
		return
	}
	s := t.servers[id]
	if !s.cold(now) || !s.rule.Limits() {
		s.warmAt = now
		return
	}
	s.advance(p, now)
	s.turns = max(s.turns-1, 0)
	s.sent++
	s.lastGrant = now
}

// Return takes back the request that was granted last: it was not sent, or does not count.
func (t *Table) Return(id string, granted time.Time) {
	if t == nil || t.servers[id] == nil {
		return
	}
	if s := t.servers[id]; !granted.IsZero() && s.lastGrant.Equal(granted) {
		s.turns, s.lastGrant = s.turns+1, time.Time{}
	}
}

// MaySend reports whether a request that was granted at a time may still be sent to a server.
func (t *Table) MaySend(id string, granted, now time.Time) bool {
	s := t.coldServer(id, now)
	return s == nil || !granted.Before(s.coldFrom) && now.Sub(granted) <= maxSendDelay
}

// advance adds the turns since the last call. Those that were not used are lost after a while.
func (s *server) advance(p Part, now time.Time) {
	rate, keep := s.rate(p, now)
	if passed := now.Sub(s.advanced); passed > 0 {
		s.turns += rate * passed.Seconds()
		s.advanced = now
	}
	if keep {
		s.turns = min(s.turns, 1+lateFraction)
		return
	}
	if most := 1 + rate*keepTime.Seconds(); s.turns > most {
		s.turns -= math.Ceil(s.turns - most)
	}
}

// Dump returns the cold servers for the state dump.
func (t *Table) Dump(now time.Time) any {
	type state struct {
		Left time.Duration
		Sent int
	}
	cold := map[string]state{}
	for id, s := range t.servers {
		if s.cold(now) {
			cold[id] = state{Left: s.coldUntil.Sub(now), Sent: s.sent}
		}
	}
	return cold
}
