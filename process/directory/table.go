package directory

import (
	"slices"
	"strings"
	"time"
)

const (
	// recordTTL is how long a record is kept after the server's last message. Gone
	// servers are kept as long, so that delayed messages don't add them again: the
	// platform delays messages by seconds.
	recordTTL = 60 * time.Second
	// maxLoadTime is how long a server counts as loading weights if no further
	// report arrives: the time to finish its longest requests and then to load.
	maxLoadTime = 6 * time.Second
	// minColdExtension is the time by which the end of a cold phase may move without an update
	// to other processes: more than the jitter of heartbeats on a calm network.
	minColdExtension = 250 * time.Millisecond
	// maxServers bounds the table; the requirements name a fleet of 1,400 servers.
	maxServers = 8192
)

// Record is a server and the time of its last message.
type Record struct {
	Server
	// Heard is the time of the last message, on the caller's monotonic clock.
	Heard time.Duration
	// LoadingUntil is the time, on the caller's monotonic clock, until which the
	// server accepts no new requests because it loads weights; 0 if it does not.
	LoadingUntil time.Duration
	// ColdUntil is the time, on the caller's monotonic clock, until which the server is cold;
	// 0 if it is not. It counts from the arrival of the report and includes what is
	// not reported to other processes, so that it is never early.
	ColdUntil time.Duration
	// Verified lists the weights of this incarnation that the server's agent has verified.
	// Only Table.Snapshot sets it.
	Verified []Verification
	// Pace is how long work takes on the server in multiples of the usual time, as its agent
	// has reported of this incarnation; 0 if it has not. paceChecked is the time of the report.
	Pace        float64
	paceChecked int64
	// reported is Held as in the server's last own report.
	reported []ModelVersion
}

// VerifiedVersion returns the version of a model that the server's agent has verified, or 0.
func (r *Record) VerifiedVersion(model string) int { return VerifiedVersion(r.Verified, model) }

// VerifiedVersion returns the version of a model in a list of verifications, or 0.
func VerifiedVersion(verified []Verification, model string) int {
	for _, v := range verified {
		if v.Model == model {
			return v.Version
		}
	}
	return 0
}

// Reported returns the server's last own report, without what its agent has added, as of now.
func (r *Record) Reported(now time.Duration) Server {
	s := r.Server
	s.Held = r.reported
	s.ColdLeft = max(r.ColdUntil-minColdExtension-now, 0)
	return s
}

// Table holds the servers by ID.
type Table struct {
	servers map[string]*Record
	// idByAddress maps an address to the ID of the server that started there last.
	idByAddress map[string]string
	// verifications holds the agents' verifications by address, model and start.
	verifications map[string]map[verificationKey]receivedVerification
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{servers: map[string]*Record{}, idByAddress: map[string]string{}, verifications: map[string]map[verificationKey]receivedVerification{}}
}

// Outcome is the effect of a report on the table.
type Outcome uint8

// Outcomes of Update.
const (
	// Stale means that the report was ignored: it is older than the known state, its
	// incarnation has deregistered, or the server is new and the table is full.
	Stale Outcome = iota
	// Renewed means that the report changed only the time of the last message.
	Renewed
	// Changed means that the server is new or its reported state changed.
	Changed
	// Invalid means that the report was ignored because Server.Validate returns an error.
	Invalid
)

// Update applies a server's report.
func (t *Table) Update(s Server, now time.Duration) Outcome {
	if s.Validate() != nil {
		return Invalid
	}
	old := t.servers[s.ID]
	if old == nil {
		if len(t.servers) >= maxServers {
			return Stale
		}
		old = &Record{}
		t.servers[s.ID] = old
	} else {
		switch {
		case s.Born == old.Born && s.Seq == old.Seq && s.State == old.State:
			old.Heard = max(old.Heard, now)
			return Renewed
		case s.olderThan(&old.Server):
			return Stale
		case s.Born == old.Born && old.State == Gone:
			return Stale
		case s.Born == old.Born && old.State == Draining && s.State == Ready:
			// A draining server does not become ready again in the same incarnation.
			s.State = Draining
		}
	}
	unchanged := old.sameState(&s, now)
	next := Record{Server: s, Heard: now, reported: s.Held}
	next.ColdUntil = old.coldUntilAfter(&s, unchanged, now)
	if old.Born == s.Born {
		next.LoadingUntil, next.Pace, next.paceChecked = old.LoadingUntil, old.Pace, old.paceChecked
		if holdsNewer(s.Held, old.Held) {
			// The load has ended. Its agent may report that later, or not at all.
			next.LoadingUntil = 0
		}
	}
	*old = next
	t.claimAddress(old)
	if unchanged {
		return Renewed
	}
	return Changed
}

// sameState reports whether a report changes nothing that other processes must learn. That
// the server itself reports what its agent has reported before is a change:
// Table.EndVerifications compares the server's own reports.
func (r *Record) sameState(s *Server, now time.Duration) bool {
	return r.EqualIgnoringSeq(s) && slices.Equal(r.reported, s.Held) && (s.ColdLeft <= 0 || now+s.ColdLeft <= r.ColdUntil)
}

// coldUntilAfter returns the end of the cold phase after a report. If other processes don't
// learn of the report, it stays as they know it.
func (r *Record) coldUntilAfter(s *Server, unchanged bool, now time.Duration) time.Duration {
	switch {
	case s.ColdLeft <= 0:
		return 0
	case unchanged:
		return r.ColdUntil
	default:
		return now + s.ColdLeft + minColdExtension
	}
}

// claimAddress assigns an address to the server that started there last.
func (t *Table) claimAddress(record *Record) {
	current := t.servers[t.idByAddress[record.Address]]
	if current == nil || current.Address != record.Address || current.Born <= record.Born {
		t.idByAddress[record.Address] = record.ID
	}
}

// Deregister marks a server as gone and reports whether that changed the table.
// A born of 0 means the known incarnation. An unknown server is added as
// gone, so that a delayed heartbeat does not add it as ready.
func (t *Table) Deregister(id string, born int64, now time.Duration) bool {
	record := t.servers[id]
	if record == nil {
		if len(t.servers) >= maxServers || ValidateID(id) != nil {
			return false
		}
		t.servers[id] = &Record{Server: Server{ID: id, Born: born, State: Gone}, Heard: now}
		return true
	}
	if born != 0 && born < record.Born || record.State == Gone && born <= record.Born {
		return false
	}
	record.Born = max(record.Born, born)
	record.State = Gone
	record.Heard = now
	return true
}

// UpdateEngine applies an agent's report about the server at an address: whether
// it loads weights, and which weights it then holds. Older versions don't replace
// newer ones. born identifies the incarnation that the report is about: a report about
// another one is ignored, unless either of them is unknown (0). UpdateEngine reports
// whether the table changed.
func (t *Table) UpdateEngine(address string, born int64, loading bool, held []ModelVersion, now time.Duration) bool {
	record := t.incarnationAt(address, born)
	if record == nil {
		return false
	}
	changed := loading != (now < record.LoadingUntil)
	record.LoadingUntil = 0
	if loading {
		record.LoadingUntil = now + maxLoadTime
		return changed
	}
	if holdsNewer(held, record.Held) {
		record.Held = held
		return true
	}
	return changed
}

// holdsNewer reports whether held contains a newer version of a model than before.
func holdsNewer(held, before []ModelVersion) bool {
	return slices.ContainsFunc(held, func(w ModelVersion) bool { return VersionOf(before, w.Model) < w.Version })
}

// incarnationAt returns the server at an address if it has not deregistered and born is
// its start, or either of them is unknown (0); else nil.
func (t *Table) incarnationAt(address string, born int64) *Record {
	record := t.servers[t.idByAddress[address]]
	if record == nil || record.State == Gone || born != 0 && record.Born != 0 && born != record.Born {
		return nil
	}
	return record
}

// Get returns a server, or nil.
func (t *Table) Get(id string) *Record { return t.servers[id] }

// Superseded reports whether another server started later at the same address.
func (t *Table) Superseded(record *Record) bool { return t.idByAddress[record.Address] != record.ID }

// All returns every server in the table, sorted by ID.
func (t *Table) All() []*Record {
	all := make([]*Record, 0, len(t.servers))
	for _, record := range t.servers {
		all = append(all, record)
	}
	slices.SortFunc(all, func(a, b *Record) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Sweep removes servers without a message for recordTTL. It reports whether there
// were any. Verifications are removed once their incarnation is not at its address.
func (t *Table) Sweep(now time.Duration) bool {
	swept := false
	for id, record := range t.servers {
		if now-record.Heard < recordTTL {
			continue
		}
		swept = true
		delete(t.servers, id)
		if t.idByAddress[record.Address] == id {
			delete(t.idByAddress, record.Address)
		}
	}
	t.sweepVerifications(now)
	return swept
}
