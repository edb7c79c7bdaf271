package forward

import (
	"time"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/observation"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

const (
	// leavingTTL is how long processes that start later are told that a server leaves.
	leavingTTL = 10 * time.Minute
	// maxLeaving bounds the servers that are remembered.
	maxLeaving = 8192
	// statementTTL is how long what a server has said is kept while it is not listed. A
	// server whose heartbeats are late is dropped and listed again.
	statementTTL = 10 * time.Minute
	// maxUnlisted is the number of remembered servers up to which those that are not listed
	// are kept.
	maxUnlisted = maxLeaving / 2
)

// recordLeaving records that the server of an attempt has said that it leaves.
func (h *Handler) recordLeaving(a *attempt) {
	if text := a.ex.Header.Get(platform.HeaderServerLeaving); text == "" || text == "0" {
		return
	}
	id := a.lease.Incarnation
	if h.markLeaving(id, "response") {
		h.cfg.Observe(observation.Leaving, id, nil, h.ageClock.Now(), leavingTTL)
	}
}

// markLeaving records that a server leaves. It returns false if that was known.
func (h *Handler) markLeaving(id, source string) bool {
	if !h.scheduler.markLeaving(id) {
		return false
	}
	h.metrics.leaving.Inc(1)
	h.log.Info("server leaves", "server", id, "source", source)
	return true
}

// markLeaving makes a server unusable. It returns false if it was already, or if there is
// no room for it.
func (sc *scheduler) markLeaving(id string) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.leaving[id] || len(sc.leaving) >= maxLeaving {
		return false
	}
	sc.leaving[id] = true
	sc.updatePools()
	return true
}

// forgetServers removes what is known of servers that have not been listed for
// statementTTL, or that are not listed if there are many. The caller holds mu.
func (sc *scheduler) forgetServers() {
	if sc.limits.Len()+sc.cold.table.Len()+len(sc.leaving) == 0 {
		return
	}
	listed := map[string]bool{}
	for _, records := range sc.view.Servers {
		for i := range records {
			s := placement.Server{ID: records[i].ID, Born: records[i].Born}
			listed[s.Incarnation()] = true
		}
	}
	now, unlisted := sc.clock.Now(), map[string]time.Time{}
	keep := func(id string, count int) bool {
		if listed[id] {
			return true
		}
		since, known := sc.unlisted[id]
		if !known {
			since = now
		}
		unlisted[id] = since
		return count <= maxUnlisted && now.Sub(since) < statementTTL
	}
	limits := sc.limits.Len()
	sc.limits.Keep(func(id string) bool { return keep(id, limits) })
	cold := sc.cold.table.Len()
	sc.cold.table.Keep(func(id string) bool { return keep(id, cold) })
	leaving := len(sc.leaving)
	for id := range sc.leaving {
		if !keep(id, leaving) {
			delete(sc.leaving, id)
		}
	}
	sc.unlisted = unlisted
}
