// Package turnaway decides when a server may be asked again that has turned a request of
// this entry away and named a time for which it wants no more.
//
// The time belongs to one incarnation of a server, whichever services it serves and whether
// the directory lists it or not. After its end the server gets one request; the others follow
// once that has been accepted, or has not been turned away for a while.
//
// The package does no I/O and has no clock. A Table is not safe for concurrent use. A nil
// Table holds no times.
package turnaway

import "time"

const (
	// probeTime is how long a server has for turning away the first request after the end of
	// its time.
	probeTime = 500 * time.Millisecond
	// keepTime is how long after the end of its time a server gets only one request first.
	// Later none has reason to be turned away.
	keepTime = time.Minute
	// maxServers bounds the servers in a table.
	maxServers = 4096
	// maxChanges bounds the changes that have not been taken.
	maxChanges = 1024
)

// server is one that has turned a request away.
type server struct {
	// until is the end of the time that it named.
	until time.Time
	// asked is when the first request after that was assigned, zero if none was.
	asked time.Time
}

// Change is the end of a server's time.
type Change struct {
	Server string
	// Ended is how long ago the time ended.
	Ended time.Duration
}

// Table holds servers by their incarnations.
type Table struct {
	servers map[string]*server
	changes []Change
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{servers: map[string]*server{}} }

// Record records that a server wants no request for a time. It returns what was left of an
// earlier one. A shorter time does not replace a longer one.
func (t *Table) Record(id string, wait time.Duration, now time.Time) (left time.Duration) {
	left = t.Left(id, now)
	if wait <= left {
		return left
	}
	if t.servers[id] == nil && len(t.servers) >= maxServers {
		t.makeRoom(now)
	}
	t.servers[id] = &server{until: now.Add(wait)}
	return left
}

// makeRoom removes the servers whose times are over, or else the one whose time ends first.
func (t *Table) makeRoom(now time.Time) {
	t.Sweep(now)
	if len(t.servers) < maxServers {
		return
	}
	var first string
	for id, s := range t.servers {
		if first == "" || s.until.Before(t.servers[first].until) {
			first = id
		}
	}
	delete(t.servers, first)
}

// Sweep removes the servers that need no longer be asked by one request first.
func (t *Table) Sweep(now time.Time) {
	for id, s := range t.servers {
		switch {
		case s.accepted(now):
			t.open(id, now)
		case now.Sub(s.until) >= keepTime:
			delete(t.servers, id)
		}
	}
}

// accepted reports whether the server has not turned the first request away for a while.
func (s *server) accepted(now time.Time) bool {
	return !s.asked.IsZero() && now.Sub(s.asked) >= probeTime
}

// Left returns the time until the server wants requests.
func (t *Table) Left(id string, now time.Time) time.Duration {
	if t == nil || t.servers[id] == nil {
		return 0
	}
	return max(t.servers[id].until.Sub(now), 0)
}

// MayAsk reports whether a request may be assigned to the server.
func (t *Table) MayAsk(id string, now time.Time) bool {
	if t == nil || len(t.servers) == 0 {
		return true
	}
	s := t.servers[id]
	return s == nil || !now.Before(s.until) && (s.asked.IsZero() || s.accepted(now))
}

// Ask records that a request was assigned to the server.
func (t *Table) Ask(id string, now time.Time) {
	if t == nil || t.servers[id] == nil {
		return
	}
	if s := t.servers[id]; s.accepted(now) {
		t.open(id, now)
	} else {
		s.asked = now
	}
}

// Withdraw records that a request that was assigned at a time has not been sent.
func (t *Table) Withdraw(id string, assigned time.Time) {
	if t == nil || t.servers[id] == nil || !t.servers[id].asked.Equal(assigned) {
		return
	}
	t.servers[id].asked = time.Time{}
}

// Accept records that the server has begun to answer a request that was assigned at a time.
func (t *Table) Accept(id string, assigned, now time.Time) {
	if t == nil || t.servers[id] == nil || assigned.Before(t.servers[id].until) {
		return
	}
	t.open(id, now)
}

func (t *Table) open(id string, now time.Time) {
	if len(t.changes) < maxChanges {
		t.changes = append(t.changes, Change{Server: id, Ended: now.Sub(t.servers[id].until)})
	}
	delete(t.servers, id)
}

// TakeChanges returns the servers that have taken requests again since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Dump returns the servers for the state dump, with what is left of their times.
func (t *Table) Dump(now time.Time) any {
	type closed struct {
		Left  time.Duration
		Asked bool
	}
	dump := map[string]closed{}
	for id, s := range t.servers {
		dump[id] = closed{Left: max(s.until.Sub(now), 0), Asked: !s.asked.IsZero()}
	}
	return dump
}
