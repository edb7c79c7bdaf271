package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

// report is a Report and its time.
type report struct {
	Report
	at boottime.Instant
}

// serverEnd is the possible end of one server.
type serverEnd struct {
	reports map[string]report
	// aliveAt is when the server was last known to be alive after a report, and checkedAt
	// when its address was last checked.
	aliveAt, checkedAt boottime.Instant
}

// valid returns the reports that no sign of life has refuted, and the time of the first
// one. It is zero if there are none.
func (e *serverEnd) valid() (reports []report, at boottime.Instant) {
	for _, r := range e.reports {
		if !r.at.After(e.aliveAt) {
			continue
		}
		reports = append(reports, r)
		if at.IsZero() || r.at.Before(at) {
			at = r.at
		}
	}
	return reports, at
}

// confirmed reports whether the server has ended and not only closed one connection:
// requests at several connections were broken off within a moment, or its address refuses
// connections.
func confirmed(reports []report) bool {
	for _, r := range reports {
		runs := 0
		for _, o := range reports {
			if apart := o.at.Sub(r.at); apart >= 0 && apart < sameMoment {
				runs += o.Runs
			}
		}
		if r.Refused || runs >= 2 {
			return true
		}
	}
	return false
}

// latest returns the time of the latest report.
func (e *serverEnd) latest() boottime.Instant {
	var at boottime.Instant
	for _, r := range e.reports {
		if r.at.After(at) {
			at = r.at
		}
	}
	return at
}

// hold is the quarantine of a part, or of several together.
type hold struct {
	Hold
	since boottime.Instant
	// members holds the parts that are suspected together; nil if there is one.
	members map[Part]bool
	// trials is the number of requests with the part that are being tried.
	trials int
}

func (h *hold) until(stagger time.Duration) boottime.Instant {
	return h.since.Add(h.duration() + stagger)
}

// Table holds what is known of servers that ended and of suspected parts.
type Table struct {
	// stagger is how much later than others this entry tries a suspected part.
	stagger time.Duration
	// aliveDelay is how much later than others this entry reports a server as alive.
	aliveDelay time.Duration
	ends       map[string]*serverEnd
	holds      map[Part]*hold
	// cleared holds when parts were cleared, so that an earlier hold does not come back.
	cleared map[Part]boottime.Instant
	// provenParts and provenRequests hold when a server has proven a part or a request sound.
	provenParts, provenRequests proofs
	// watched holds the candidates of servers that ended.
	watched map[Part]watch
	cuts    cutRates
	// dueUntil is until when Decide must compare the ends again, and swept when it last
	// removed what is too old.
	dueUntil, swept boottime.Instant
}

// watch is what is known of a candidate.
type watch struct {
	// lastEnd is when a server last broke off a request with the part, proven when one has
	// last proven it sound, and told when a proof was last told to the other entries.
	lastEnd, proven, told boottime.Instant
	// server is the one that ended last, and ends the number of servers that ended since the
	// candidate was last proven sound.
	server string
	ends   int
}

// NewTable returns an empty table. stagger, from 0 to 1, spreads what all entries would
// do at the same time.
func NewTable(stagger float64) *Table {
	return &Table{
		stagger: time.Duration(stagger * float64(trialSpread)), aliveDelay: time.Duration(stagger * float64(aliveSpread)),
		ends: map[string]*serverEnd{}, holds: map[Part]*hold{}, cleared: map[Part]boottime.Instant{},
		watched: map[Part]watch{},
	}
}

// Candidates returns the candidates of a prompt to a model.
func Candidates(model string, ids []string) []Candidate {
	model = shorten(model)
	candidates := make([]Candidate, len(ids))
	for i, id := range ids {
		candidates[i] = Candidate{Part: Part{Model: model, ID: shorten(id)}, Depth: i}
	}
	return candidates
}

// RequestCandidate returns the candidate for a request to a service as a whole. Its
// repetitions must have the same digest, and no other request.
func RequestCandidate(service, digest string) Candidate {
	return Candidate{Part: Part{ID: shorten(digest), Request: true}, Service: service}
}

// shorten replaces a long name by its digest.
func shorten(name string) string {
	if len(name) <= maxNameBytes {
		return name
	}
	return strconv.FormatUint(xxhash.Sum64String(name), 16)
}

// RecordBrokenOff records that a server has broken off a request of this entry, which
// origin identifies. It returns what this entry must tell the others of that end of the
// server, and its time.
func (t *Table) RecordBrokenOff(origin, server string, candidates []Candidate, now boottime.Instant) (Report, boottime.Instant) {
	if len(candidates) > 0 {
		t.cuts.of(serviceOf(candidates)).recordCut(now)
	}
	r := report{Report: Report{Runs: 1}, at: now}
	var earlier []Candidate
	if known, ok := t.ownReport(origin, server, now); ok {
		earlier, r.Refused = known.Candidates, known.Refused
		if now.Sub(known.at) < sameMoment {
			r.Runs += known.Runs
		}
	}
	r.Candidates = t.union(server, earlier, candidates)
	t.ApplyReport(origin, server, r.Report, r.at, now)
	return r.Report, r.at
}

// RecordRefused records that the address of a server has refused a connection. It returns
// false if the other entries need not hear of it.
func (t *Table) RecordRefused(origin, server string, now boottime.Instant) (Report, boottime.Instant, bool) {
	e := t.ends[server]
	if e == nil {
		return Report{}, now, false
	}
	reports, at := e.valid()
	if len(reports) == 0 || confirmed(reports) {
		return Report{}, now, false
	}
	r := report{Report: Report{Refused: true}, at: at}
	if known, ok := t.ownReport(origin, server, now); ok {
		r = known
		r.Refused = true
	}
	t.ApplyReport(origin, server, r.Report, r.at, now)
	return r.Report, r.at, true
}

// StartCheck reports whether the address of a server that broke off a request must be
// checked: nothing has confirmed its end, and no check has just begun.
func (t *Table) StartCheck(server string, now boottime.Instant) bool {
	e := t.ends[server]
	if e == nil {
		return false
	}
	reports, at := e.valid()
	if at.IsZero() || confirmed(reports) || !e.checkedAt.IsZero() && now.Sub(e.checkedAt) < sameEnd {
		return false
	}
	e.checkedAt = now
	return true
}

// ownReport returns this entry's report on the present end of a server.
func (t *Table) ownReport(origin, server string, now boottime.Instant) (report, bool) {
	e := t.ends[server]
	if e == nil {
		return report{}, false
	}
	r, ok := e.reports[origin]
	return r, ok && r.at.After(e.aliveAt) && now.Sub(r.at) < sameEnd
}

// ApplyReport applies the report of an entry on the end of a server. It returns the parts
// that were proven sound since, which the other entries may not know.
func (t *Table) ApplyReport(origin, server string, r Report, at, now boottime.Instant) []Part {
	e := t.end(server, now)
	room := maxEndParts
	for other, known := range e.reports {
		if other != origin {
			room -= len(known.Candidates)
		}
	}
	if room = min(2*maxParts, max(room, 0)); len(r.Candidates) > room {
		r.Candidates = t.mostDoubtful(server, r.Candidates)[:room]
	}
	e.reports[origin] = report{Report: r, at: at}
	var known []Part
	for _, c := range r.Candidates {
		w := t.watched[c.Part]
		w.proven = t.provenAt(c.Part)
		if w.proven.After(w.lastEnd) {
			w.ends = 0
		}
		if w.server != server || w.ends == 0 {
			w.server, w.ends = server, w.ends+1
		}
		if at.After(w.lastEnd) {
			w.lastEnd = at
		}
		if w.proven.After(at) && !w.told.After(at) {
			w.told = w.proven
			known = append(known, c.Part)
		}
		t.watched[c.Part] = w
	}
	t.decideUntil(now.Add(2 * settleTime))
	return known
}

// decideUntil makes Decide compare the ends again until a time.
func (t *Table) decideUntil(until boottime.Instant) {
	if until.After(t.dueUntil) {
		t.dueUntil = until
	}
}

// end returns the record of a server, and creates it on first use.
func (t *Table) end(server string, now boottime.Instant) *serverEnd {
	if e := t.ends[server]; e != nil {
		return e
	}
	if len(t.ends) >= maxEnds {
		t.evictEnd(now)
	}
	e := &serverEnd{reports: map[string]report{}}
	t.ends[server] = e
	return e
}

// evictEnd removes an end: the earliest one that is refuted or was not confirmed in time, or else
// one of the moment at which most servers ended. All of that counts once, whereas a part that
// crashes servers is in ends at moments of their own, which a failed zone must not push out. If
// there are only such, an end that is not yet confirmed makes room, or else the earliest one.
func (t *Table) evictEnd(now boottime.Instant) {
	var unconfirmed, recent, ends []end
	for server, e := range t.ends {
		reports, at := e.valid()
		switch {
		case confirmed(reports):
			ends = append(ends, end{server: server, at: at})
		case !at.IsZero() && now.Sub(at) < settleTime:
			recent = append(recent, end{server: server, at: at})
		default:
			unconfirmed = append(unconfirmed, end{server: server, at: e.latest()})
		}
	}
	sortEnds(unconfirmed)
	sortEnds(recent)
	sortEnds(ends)
	last, size := largestMoment(ends)
	switch {
	case len(unconfirmed) > 0:
		delete(t.ends, unconfirmed[0].server)
	case size > 1 || len(recent) == 0:
		delete(t.ends, ends[last].server)
	default:
		delete(t.ends, recent[0].server)
	}
}

// largestMoment returns the index of the last end of the moment that has the most ends, the
// earliest such moment if there are several, and their number. The ends are sorted.
func largestMoment(ends []end) (last, size int) {
	first := 0
	for i := range ends {
		if ends[i].at.Sub(ends[first].at) >= sameMoment {
			first = i
		}
		if n := i + 1 - first; n > size {
			last, size = i, n
		}
	}
	return last, size
}

// RecordAlive records that a server has sent something. It returns true if that shows
// that the server has not ended, contrary to a report.
func (t *Table) RecordAlive(server string, now boottime.Instant) bool {
	e := t.ends[server]
	if e == nil {
		return false
	}
	if latest := e.latest(); !latest.After(e.aliveAt) || now.Sub(latest) < aliveMargin+t.aliveDelay {
		return false
	}
	e.aliveAt = now
	return true
}

// ApplyAlive applies another entry's sign of life from a server.
func (t *Table) ApplyAlive(server string, at boottime.Instant) {
	e := t.end(server, at)
	if at.After(e.aliveAt) {
		e.aliveAt = at
	}
}

// RecordProven records that a server has proven parts sound. It returns those that the
// other entries must hear of.
func (t *Table) RecordProven(candidates []Candidate, now boottime.Instant) []Part {
	t.cuts.of(serviceOf(candidates)).recordProven(now)
	var news []Part
	several := t.holdsOfSeveral()
	for _, c := range candidates {
		t.ApplyProven(c.Part, now)
		held := t.isSuspected(c.Part, several)
		if w, isWatched := t.watched[c.Part]; isWatched && !w.told.After(w.lastEnd) || held {
			w.told = now
			t.watched[c.Part] = w
			news = append(news, c.Part)
		}
		if held {
			t.decideUntil(now)
		}
	}
	return news
}

// ApplyProven applies a proof that a part is sound.
func (t *Table) ApplyProven(p Part, at boottime.Instant) {
	if !at.After(t.provenAt(p)) {
		return
	}
	if t.isSuspected(p, t.holdsOfSeveral()) {
		t.decideUntil(at)
	}
	if w, isWatched := t.watched[p]; isWatched {
		w.proven = at
		t.watched[p] = w
	}
	t.proofsOf(p).record(p, at)
}

// proofsOf returns where proofs of a part are remembered. Requests that come once only must not
// push out the proofs of parts.
func (t *Table) proofsOf(p Part) *proofs {
	if p.Request {
		return &t.provenRequests
	}
	return &t.provenParts
}

// provenAt returns when a server has last proven a part sound.
func (t *Table) provenAt(p Part) boottime.Instant {
	at := t.proofsOf(p).at(p)
	if w := t.watched[p]; w.proven.After(at) {
		return w.proven
	}
	return at
}

// lastEnd returns when a server last ended that had requests with all parts of a hold.
func (t *Table) lastEnd(h *hold) boottime.Instant {
	var last boottime.Instant
	for _, e := range t.ends {
		reports, at := e.valid()
		if at.After(last) && !slices.ContainsFunc(h.parts(), func(p Part) bool { return !contains(reports, p) }) {
			last = at
		}
	}
	return last
}

func contains(reports []report, p Part) bool {
	for _, r := range reports {
		for _, c := range r.Candidates {
			if c.Part == p {
				return true
			}
		}
	}
	return false
}
