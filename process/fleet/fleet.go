// Package fleet gathers what every agent last said of itself. Each agent has
// one primary entry, which reports it to the leader; reports carry changes
// only, and an entry that reports nothing more is left out with its agents.
package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
)

// entryLifetime is how long an entry's agents count after its last report.
const entryLifetime = 3 * time.Second

// Fleet is the leader's view. Safe for concurrent use.
type Fleet struct {
	clock clockwork.Clock

	// mu guards entries.
	mu      sync.Mutex
	entries map[string]*entryView
}

type entryView struct {
	seq      uint64
	revision uint64
	at       time.Time
	agents   map[string]heard
}

type heard struct {
	status wire.AgentStatus
	at     time.Time
}

// New returns an empty fleet.
func New(clock clockwork.Clock) *Fleet {
	return &Fleet{clock: clock, entries: make(map[string]*entryView)}
}

// Report takes in one entry's report and returns whether it could: a report
// of changes to what is not held here can't, and the entry must send all.
func (f *Fleet) Report(r wire.FleetReport) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.expire(now)
	e := f.entries[r.Entry]
	if r.First {
		e = &entryView{agents: make(map[string]heard)}
		f.entries[r.Entry] = e
	}
	if e == nil || (!r.First && r.Seq != e.seq+1) {
		return false
	}
	e.seq, e.revision, e.at = r.Seq, r.Revision, now
	for _, s := range r.Agents {
		e.agents[s.Name] = heard{status: s, at: now}
	}
	for _, name := range r.Gone {
		delete(e.agents, name)
	}
	return true
}

func (f *Fleet) expire(now time.Time) {
	maps.DeleteFunc(f.entries, func(_ string, e *entryView) bool {
		return now.Sub(e.at) > entryLifetime
	})
}

// merged returns each live agent as the entry knows it that heard of a change
// last: after a change of the primary entry two may hold it for a while.
func (f *Fleet) merged() map[string]wire.AgentStatus {
	f.expire(f.clock.Now())
	newest := make(map[string]heard)
	for _, name := range slices.Sorted(maps.Keys(f.entries)) {
		for agent, h := range f.entries[name].agents {
			if old, ok := newest[agent]; !ok || supersedes(h, old) {
				newest[agent] = h
			}
		}
	}
	statuses := make(map[string]wire.AgentStatus, len(newest))
	for agent, h := range newest {
		statuses[agent] = h.status
	}
	return statuses
}

// supersedes orders two statuses: by Seq within an incarnation, else by when
// they were heard.
func supersedes(h, old heard) bool {
	if h.status.Incarnation == old.status.Incarnation {
		return h.status.Seq > old.status.Seq
	}
	return h.at.After(old.at)
}

// Statuses returns the live agents in the order of their names.
func (f *Fleet) Statuses() []wire.AgentStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	merged := f.merged()
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
	for name, s := range f.merged() {
		revisions[name] = s.Revision
	}
	for name, e := range f.entries {
		revisions[name] = e.revision
	}
	return revisions
}
