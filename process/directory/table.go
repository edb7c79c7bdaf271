package directory

import (
	"slices"
	"strings"
	"time"
)

const (
	// forgetGone is how long a server that left is remembered, so that late
	// messages don't bring it back. The platform delays messages by seconds.
	forgetGone = 60 * time.Second
	// longestLoad is how long a server is taken to load weights when nothing more
	// is heard of that: the end of its longest requests, and the load itself.
	longestLoad = 6 * time.Second
	// maxServers bounds the table: letter 1's fleet has 1,400 servers.
	maxServers = 8192
)

// Entry is a server together with when it was last heard.
type Entry struct {
	Server
	// Heard is the time, on the caller's steady clock, of the last message.
	Heard time.Duration
	// LoadingUntil is until when the server takes nothing new because it loads
	// weights, on the caller's steady clock; 0 where it does not.
	LoadingUntil time.Duration
}

// Table holds the servers by id.
type Table struct {
	servers map[string]*Entry
	// holders maps an address to the id that was born there last.
	holders map[string]string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{servers: map[string]*Entry{}, holders: map[string]string{}}
}

// Outcome says what a message changed.
type Outcome uint8

// Outcomes of Hear.
const (
	// Stale messages are older than what is known.
	Stale Outcome = iota
	// Renewed means that the server was heard and nothing else changed.
	Renewed
	// Changed means that the server is new or said something new.
	Changed
)

// Hear takes in what a server said.
func (t *Table) Hear(s Server, now time.Duration) Outcome {
	old := t.servers[s.ID]
	if old == nil {
		if len(t.servers) >= maxServers {
			return Stale
		}
		old = &Entry{}
		t.servers[s.ID] = old
	} else {
		switch {
		case s.Born == old.Born && s.Seq == old.Seq && s.State == old.State:
			old.Heard = max(old.Heard, now)
			return Renewed
		case s.before(&old.Server):
			return Stale
		case s.Born == old.Born && old.State == Gone:
			return Stale
		case s.Born == old.Born && old.State == Draining && s.State == Ready:
			// A server that leaves does not come back in the same incarnation.
			s.State = Draining
		}
	}
	same := old.SameAs(&s)
	next := Entry{Server: s, Heard: now}
	if old.Born == s.Born {
		next.LoadingUntil = old.LoadingUntil
	}
	*old = next
	t.occupy(old)
	if same {
		return Renewed
	}
	return Changed
}

// occupy notes the latest server at an address.
func (t *Table) occupy(e *Entry) {
	holder := t.servers[t.holders[e.Address]]
	if holder == nil || holder.Address != e.Address || holder.Born <= e.Born {
		t.holders[e.Address] = e.ID
	}
}

// Leave takes in that a server has deregistered and reports whether that is
// news. A born of 0 stands for the incarnation that is known. A server that is
// not known is remembered as gone, so that a late heartbeat does not bring it
// back.
func (t *Table) Leave(id string, born int64, now time.Duration) bool {
	e := t.servers[id]
	if e == nil {
		if len(t.servers) >= maxServers {
			return false
		}
		t.servers[id] = &Entry{Server: Server{ID: id, Born: born, State: Gone}, Heard: now}
		return true
	}
	if born != 0 && born < e.Born || e.State == Gone && born <= e.Born {
		return false
	}
	e.Born = max(e.Born, born)
	e.State = Gone
	e.Heard = now
	return true
}

// NoteLoad takes in what is known from elsewhere of the server at an address:
// whether it loads weights, and what it then holds. It reports whether that is
// news.
func (t *Table) NoteLoad(address string, loading bool, held []Weights, now time.Duration) bool {
	e := t.servers[t.holders[address]]
	if e == nil || e.State == Gone {
		return false
	}
	changed := loading != (now < e.LoadingUntil)
	e.LoadingUntil = 0
	if loading {
		e.LoadingUntil = now + longestLoad
		return changed
	}
	for _, w := range held {
		if e.Holds(w.Model) < w.Version {
			e.Held = held
			return true
		}
	}
	return changed
}

// Get returns a server, or nil.
func (t *Table) Get(id string) *Entry { return t.servers[id] }

// Superseded reports whether another server was born later at the same address.
func (t *Table) Superseded(e *Entry) bool { return t.holders[e.Address] != e.ID }

// All returns every server that has not been forgotten, sorted by id.
func (t *Table) All() []*Entry {
	all := make([]*Entry, 0, len(t.servers))
	for _, e := range t.servers {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *Entry) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Sweep forgets servers that left, or were silent, for long. It reports whether
// there were any.
func (t *Table) Sweep(now time.Duration) bool {
	swept := false
	for id, e := range t.servers {
		if now-e.Heard < forgetGone {
			continue
		}
		swept = true
		delete(t.servers, id)
		if t.holders[e.Address] == id {
			delete(t.holders, e.Address)
		}
	}
	return swept
}
