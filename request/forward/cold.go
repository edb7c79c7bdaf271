package forward

import (
	"math/rand/v2"
	"time"

	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/request/coldlimit"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

const (
	// listingTime is how long after its first view an entry takes servers that it does not
	// know for servers that have been running: it learns them one after another.
	listingTime = 5 * time.Second
	// maxBornAge is the age by its own clock up to which a server that is first seen has just
	// started. The clocks of VMs differ.
	maxBornAge = 30 * time.Second
)

// coldState is what the scheduler knows of cold servers. scheduler.mu guards it.
type coldState struct {
	table   *coldlimit.Table
	entries coldlimit.Entries
	// started holds until when servers that have just started, or whose zone is no longer
	// evacuated, are cold even if their heartbeats name no time.
	started map[string]time.Time
	// listedFrom is when the first view with servers was received, or the start.
	listedFrom time.Time
	// reopened holds when the evacuation of a zone has ended.
	reopened map[string]time.Time
}

func newColdState(now time.Time) coldState {
	return coldState{table: coldlimit.NewTable(rand.Float64), started: map[string]time.Time{}, reopened: map[string]time.Time{}, listedFrom: now}
}

// recordDemand records what a new view states of the other entries, and which evacuations
// have ended. The caller holds mu.
func (sc *scheduler) recordDemand(previous *feed.View) {
	now := sc.viewTime
	if len(previous.Servers) == 0 {
		sc.cold.listedFrom = now
	}
	for zone := range previous.Evacuated {
		if !sc.view.Evacuated[zone] {
			sc.cold.reopened[zone] = now
		}
	}
	for zone, at := range sc.cold.reopened {
		if now.Sub(at) > time.Minute {
			delete(sc.cold.reopened, zone)
		}
	}
	for id, until := range sc.cold.started {
		if !until.After(now) {
			delete(sc.cold.started, id)
		}
	}
	if sc.view.DemandSeq == previous.DemandSeq {
		return
	}
	sc.cold.entries.Record(now, sc.view.Entries)
	for name, st := range sc.services {
		st.coldShare.RecordTotal(now, sc.view.Demand[name], sc.view.Entries, &sc.cold.entries)
	}
}

// coldRule returns the limit for the cold servers of a service.
func (sc *scheduler) coldRule(s *deployment.Service) coldlimit.Rule {
	return coldlimit.Rule{PerSecond: s.ColdPerSecond, Overrun: sc.cfg.ColdOverrun, Extra: sc.cfg.ColdExtra}
}

// updateCold records which servers of a service are cold. The caller holds mu.
func (sc *scheduler) updateCold(s *deployment.Service, now time.Time) {
	rule := sc.coldRule(s)
	if !rule.Limits() {
		return
	}
	for i := range sc.view.Servers[s.Name] {
		record := &sc.view.Servers[s.Name][i]
		server := placement.Server{ID: record.ID, Born: record.Born}
		id := server.Incarnation()
		until := now.Add(record.ColdUntil - sc.view.At - now.Sub(sc.viewTime))
		if sc.justStarted(id, record, now) {
			sc.cold.started[id] = now.Add(s.ColdStart)
		}
		if at, ok := sc.cold.reopened[record.Zone]; ok && now.Sub(at) < s.ColdStart {
			// A server that had no requests may be cold before its next heartbeat.
			sc.cold.started[id] = at.Add(s.ColdStart)
		}
		if started := sc.cold.started[id]; started.After(until) {
			until = started
		}
		sc.cold.table.Update(id, rule, until, now)
	}
}

// justStarted reports whether a server is listed for the first time and has started during
// traffic. The caller holds mu.
func (sc *scheduler) justStarted(id string, record *directory.Record, now time.Time) bool {
	return !sc.cold.table.Has(id) && now.Sub(sc.cold.listedFrom) >= listingTime && now.Sub(time.UnixMilli(record.Born)) < maxBornAge
}

// setColdPart sets the limits on cold servers in the settings of a pool. The caller holds mu.
func (sc *scheduler) setColdPart(cfg *placement.Config, st *serviceState) {
	if sc.coldRule(st.config).Limits() {
		cfg.Cold, cfg.ColdPart = sc.cold.table, st.coldShare.Part(sc.clock.Now(), &sc.cold.entries)
	}
}

// coldMayGet reports whether a request may still be sent to the server of its lease. It may not
// if the server has turned cold since the lease was granted, or if that was too long ago.
func (h *Handler) coldMayGet(cr *callerRequest, l *placement.Lease) bool {
	sc := h.scheduler
	sc.mu.Lock()
	ok := sc.cold.table.MaySend(l.Incarnation, l.Granted(), sc.clock.Now())
	sc.mu.Unlock()
	if !ok {
		h.metrics.coldWithheld.Inc(1)
		h.log.Debug("request not sent to a cold server", "id", cr.id, "server", l.Incarnation)
	}
	return ok
}

// logCold counts and logs the servers that have become cold.
func (h *Handler) logCold() {
	sc := h.scheduler
	sc.mu.Lock()
	changes := sc.cold.table.TakeChanges()
	sc.mu.Unlock()
	for _, c := range changes {
		h.metrics.cold.Inc(1)
		h.log.Info("server is cold", "server", c.Server, "for", c.For, "again", c.Again)
	}
}

// DumpCold returns the cold servers for the state dump.
func (h *Handler) DumpCold() any {
	sc := h.scheduler
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock.Now()
	entries, known := sc.cold.entries.Believed(now)
	return map[string]any{"servers": sc.cold.table.Dump(now), "entries": entries, "entries_known": known}
}
