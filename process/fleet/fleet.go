// Package fleet collects the last status of every agent at the leader of the
// control state. Each agent has one primary entry, which reports its status to
// the leader. Reports contain only changes. If an entry stops reporting, its
// agents expire with it.
package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
)

// entryLifetime is how long an entry and its agents count as live after the
// entry's last report.
const entryLifetime = 3 * time.Second

// Fleet holds the agent statuses known to the leader. It is safe for concurrent
// use.
type Fleet struct {
	clock clockwork.Clock

	// mu guards entries.
	mu      sync.Mutex
	entries map[string]*entryState
}

// entryState is what one entry has reported.
type entryState struct {
	seq        uint64
	revision   uint64
	lastReport time.Time
	agents     map[string]receivedStatus
}

// receivedStatus is an agent's status and when it was received.
type receivedStatus struct {
	status     wire.AgentStatus
	receivedAt time.Time
}

// New returns an empty fleet.
func New(clock clockwork.Clock) *Fleet {
	return &Fleet{clock: clock, entries: make(map[string]*entryState)}
}

// ApplyReport applies the report of one entry. It returns false if an earlier report
// is missing, so that the changes can't be applied; the entry must then send a
// full report.
func (f *Fleet) ApplyReport(r wire.FleetReport) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.expire(now)
	e := f.entries[r.Entry]
	if r.First {
		e = &entryState{agents: make(map[string]receivedStatus)}
		f.entries[r.Entry] = e
	}
	if e == nil || (!r.First && r.Seq != e.seq+1) {
		return false
	}
	e.seq, e.revision, e.lastReport = r.Seq, r.Revision, now
	for _, s := range r.Agents {
		e.agents[s.Name] = receivedStatus{status: s, receivedAt: now}
	}
	for _, name := range r.Gone {
		delete(e.agents, name)
	}
	return true
}

// expire removes entries that have not reported for entryLifetime. The caller
// holds mu.
func (f *Fleet) expire(now time.Time) {
	maps.DeleteFunc(f.entries, func(_ string, e *entryState) bool {
		return now.Sub(e.lastReport) > entryLifetime
	})
}

// mergeStatuses returns the latest status of each live agent by name. After a
// change of the primary entry, two entries may report the same agent for a while.
// The caller holds mu.
func (f *Fleet) mergeStatuses() map[string]wire.AgentStatus {
	f.expire(f.clock.Now())
	latest := make(map[string]receivedStatus)
	for _, name := range slices.Sorted(maps.Keys(f.entries)) {
		for agent, s := range f.entries[name].agents {
			if old, ok := latest[agent]; !ok || supersedes(s, old) {
				latest[agent] = s
			}
		}
	}
	statuses := make(map[string]wire.AgentStatus, len(latest))
	for agent, s := range latest {
		statuses[agent] = s.status
	}
	return statuses
}

// supersedes reports whether s is newer than old. Statuses are ordered by Seq
// within an incarnation, else by the time they were received.
func supersedes(s, old receivedStatus) bool {
	if s.status.Incarnation == old.status.Incarnation {
		return s.status.Seq > old.status.Seq
	}
	return s.receivedAt.After(old.receivedAt)
}

// Statuses returns the statuses of the live agents, sorted by name.
func (f *Fleet) Statuses() []wire.AgentStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	merged := f.mergeStatuses()
	statuses := make([]wire.AgentStatus, 0, len(merged))
	for _, name := range slices.Sorted(maps.Keys(merged)) {
		statuses = append(statuses, merged[name])
	}
	return statuses
}

// Revisions returns the revision in force on each live entry and agent.
func (f *Fleet) Revisions() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	revisions := make(map[string]uint64)
	for name, s := range f.mergeStatuses() {
		revisions[name] = s.Revision
	}
	for name, e := range f.entries {
		revisions[name] = e.revision
	}
	return revisions
}
