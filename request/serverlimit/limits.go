// Package serverlimit keeps the limits on requests per second that servers name in their
// responses, and divides them among the entries.
//
// A limit holds for all entries together. Each entry sends the fraction of it that its
// demand has in that of all entries. Its requests to a server are due at regular times. A
// time that is not used is lost after a while: in a large fleet the requests that each
// entry had saved would exceed the limit together.
//
// The package does no I/O and has no clock. A Table is not safe for concurrent use.
package serverlimit

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

const (
	// minRate is the number of requests per second that servers get at least, so that the
	// end of a limit is noticed.
	minRate = 0.25
	// usedFraction is the part of a limit that is used. The rest covers the delay of what
	// entries know of each other's demand.
	usedFraction = 0.9
	// keepTime is how long a time for a request can be used in a large fleet.
	keepTime = time.Second
	// savedAllowance and savedPerRate bound the number of entries up to which each may save
	// a request for as long as it likes.
	savedAllowance = 3
	savedPerRate   = 2
	// refreshInterval is the time after which a limit that still holds is told again.
	refreshInterval = 5 * time.Second
	// TTL is how long processes that start later are told of a limit.
	TTL = 10 * time.Minute
	// maxServers bounds the servers with a known limit.
	maxServers = 8192
)

// Statement is what a server said of its limit, as the entries tell each other.
type Statement struct {
	// Limit is the number of requests per second, if Named is set.
	Limit float64 `cbor:"1,keyasint,omitempty"`
	Named bool    `cbor:"2,keyasint,omitempty"`
}

// Parse parses the text of a limit. A statement without a text names no limit. It returns
// false if the text says nothing that can be used.
func Parse(text string) (Statement, bool) {
	if text == "" {
		return Statement{}, true
	}
	limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(limit) || limit < 0 {
		return Statement{}, false
	}
	return Statement{Limit: min(limit, math.MaxInt32), Named: true}, true
}

// Part is an entry's part of the limits on the servers of a service.
type Part struct {
	// Share is the fraction of the demand of all entries.
	Share float64
	// Entries is the number of entries.
	Entries int
}

// server is a server that has named a limit.
type server struct {
	Statement
	// at is the time of the statement, and told when it was last told to the other entries.
	at, told boottime.Instant
	// last is the time for the last request that was used or lost.
	last time.Time
	// sent counts the requests since the limit is known.
	sent int
}

// Table holds the limits of servers by their incarnations.
type Table struct {
	servers map[string]*server
	// random returns a number in [0, 1).
	random func() float64
}

// NewTable returns an empty table. random spreads the times of the entries.
func NewTable(random func() float64) *Table {
	return &Table{servers: map[string]*server{}, random: random}
}

// Record records what a response of a server says. It reports whether the limit changed,
// and whether the other entries must be told.
func (t *Table) Record(id string, s Statement, at boottime.Instant) (changed, tell bool) {
	known := t.servers[id]
	if known == nil && !s.Named {
		return false, false
	}
	var told boottime.Instant
	if known != nil {
		told = known.told
	}
	changed = t.Apply(id, s, at)
	known = t.servers[id]
	if known == nil || known.at != at {
		return changed, false
	}
	tell = changed || s.Named && at.Sub(told) >= refreshInterval
	if !tell {
		known.told = told
	}
	return changed, tell
}

// Apply applies a statement that another entry has heard. The latest one holds. It reports
// whether the limit changed.
func (t *Table) Apply(id string, s Statement, at boottime.Instant) bool {
	known := t.servers[id]
	if known == nil {
		if len(t.servers) >= maxServers {
			return false
		}
		known = &server{}
		t.servers[id] = known
	}
	if !at.After(known.at) {
		return false
	}
	changed := known.Statement != s
	if s.Named && !known.Named {
		known.last, known.sent = time.Time{}, 0
	}
	known.Statement, known.at, known.told = s, at, at
	return changed
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

// Limit returns the limit of a server. It returns false if there is none. A nil table has
// no limits.
func (t *Table) Limit(id string) (float64, bool) {
	if t == nil || t.servers[id] == nil || !t.servers[id].Named {
		return 0, false
	}
	return t.servers[id].Limit, true
}

// Rate returns the number of requests per second that the entry may send to a server. It
// returns false if the server has no limit.
func (t *Table) Rate(id string, p Part) (float64, bool) {
	limit, limited := t.Limit(id)
	if !limited {
		return 0, false
	}
	return usedFraction * max(limit, minRate) * min(max(p.Share, 0), 1), true
}

// Due reports whether the entry may send a request to a server now.
func (t *Table) Due(id string, p Part, now time.Time) bool {
	rate, limited := t.Rate(id, p)
	if !limited {
		return true
	}
	due, ok := t.servers[id].due(rate, p, now, t.random)
	return ok && !now.Before(due)
}

// Take records that the entry sends a request to a server.
func (t *Table) Take(id string, p Part, now time.Time) {
	rate, limited := t.Rate(id, p)
	if !limited {
		return
	}
	s := t.servers[id]
	s.sent++
	if due, ok := s.due(rate, p, now, t.random); ok {
		s.last = due
	}
}

// due returns the earliest time for the next request that can still be used. It returns
// false if the entry may send none.
func (s *server) due(rate float64, p Part, now time.Time, random func() float64) (time.Time, bool) {
	if rate <= 0 {
		return time.Time{}, false
	}
	interval := time.Duration(min(float64(time.Second)/rate, float64(time.Hour)))
	if s.last.IsZero() {
		s.last = now.Add(-time.Duration(random() * float64(interval)))
	}
	due := s.last.Add(interval)
	keep := keepTime
	if float64(p.Entries) <= savedAllowance+savedPerRate*s.Limit {
		keep = max(keepTime, interval)
	}
	if late := now.Sub(due) - keep; late > 0 && interval > 0 {
		lost := (late + interval - 1) / interval
		due = due.Add(lost * interval)
		s.last = due.Add(-interval)
	}
	return due, true
}

// Dump returns the limits for the state dump.
func (t *Table) Dump(now boottime.Instant) any {
	type limit struct {
		PerSecond float64
		Age       time.Duration
		Sent      int
	}
	limits := map[string]limit{}
	for id, s := range t.servers {
		if s.Named {
			limits[id] = limit{PerSecond: s.Limit, Age: now.Sub(s.at), Sent: s.sent}
		}
	}
	return limits
}
