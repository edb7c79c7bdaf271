// Package fleet gathers what every agent last said of itself. Each entry
// reports the agents that are linked to it; the leader merges the reports.
//
// An agent that no entry reported for statusLifetime is left out.
package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
)

// statusLifetime is how long a status counts after it was last reported.
const statusLifetime = 3 * time.Second

// Fleet is the merged view. Safe for concurrent use.
type Fleet struct {
	clock clockwork.Clock

	// mu guards the maps.
	mu        sync.Mutex
	agents    map[string]heard
	revisions map[string]revisionHeard
}

type heard struct {
	status wire.AgentStatus
	at     time.Time
}

type revisionHeard struct {
	revision uint64
	at       time.Time
}

// New returns an empty fleet.
func New(clock clockwork.Clock) *Fleet {
	return &Fleet{
		clock:     clock,
		agents:    make(map[string]heard),
		revisions: make(map[string]revisionHeard),
	}
}

// Report merges one entry's report.
func (f *Fleet) Report(r wire.FleetReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.revisions[r.Entry] = revisionHeard{revision: r.Revision, at: now}
	for _, s := range r.Agents {
		f.merge(s, now)
	}
	f.expire(now)
}

// merge keeps the newest status. Two incarnations can't be ordered by their
// Seq: the one that was heard of last counts, unless it is merely an old
// report that arrives beside a live one.
func (f *Fleet) merge(s wire.AgentStatus, now time.Time) {
	old, ok := f.agents[s.Name]
	if ok && old.status.Incarnation == s.Incarnation && old.status.Seq > s.Seq {
		return
	}
	f.agents[s.Name] = heard{status: s, at: now}
}

func (f *Fleet) expire(now time.Time) {
	for name, h := range f.agents {
		if now.Sub(h.at) > statusLifetime {
			delete(f.agents, name)
		}
	}
	for name, h := range f.revisions {
		if now.Sub(h.at) > statusLifetime {
			delete(f.revisions, name)
		}
	}
}

// Statuses returns the live agents in the order of their names.
func (f *Fleet) Statuses() []wire.AgentStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire(f.clock.Now())
	statuses := make([]wire.AgentStatus, 0, len(f.agents))
	for _, name := range slices.Sorted(maps.Keys(f.agents)) {
		statuses = append(statuses, f.agents[name].status)
	}
	return statuses
}

// Revisions returns the revision in force on each live entry and agent.
func (f *Fleet) Revisions() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire(f.clock.Now())
	revisions := make(map[string]uint64, len(f.revisions)+len(f.agents))
	for name, r := range f.revisions {
		revisions[name] = r.revision
	}
	for name, h := range f.agents {
		revisions[name] = h.status.Revision
	}
	return revisions
}
