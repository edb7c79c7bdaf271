package forward

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/observation"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/quarantine"
)

const (
	// endTTL is how long the other entries are told of the end of a server.
	endTTL = 5 * time.Minute
	// ownOrigin identifies this entry in its own table.
	ownOrigin = ""
	// maxLoggedServers and maxLoggedParts bound the servers and the parts in a log line.
	maxLoggedServers = 8
	maxLoggedParts   = 8
)

// suspects applies the decisions of package quarantine to the requests of this entry and
// exchanges what they follow from with the other entries. Safe for concurrent use.
type suspects struct {
	observe  func(kind observation.Kind, key string, body []byte, at boottime.Instant, ttl time.Duration)
	ageClock boottime.Clock
	log      *slog.Logger
	metrics  suspectMetrics

	// mu guards the fields below.
	mu    sync.Mutex
	table *quarantine.Table
	// changed is closed and replaced when a part is suspected.
	changed chan struct{}
}

type suspectMetrics struct {
	suspected, cleared, refused, notRetried             tally.Counter
	requestsSuspected, requestsCleared, requestsRefused tally.Counter
}

func newSuspects(cfg Config, ageClock boottime.Clock, log *slog.Logger, scope tally.Scope) *suspects {
	return &suspects{
		observe: cfg.Observe, ageClock: ageClock, log: log, table: quarantine.NewTable(rand.Float64()), changed: make(chan struct{}),
		metrics: suspectMetrics{
			suspected: scope.Counter("parts_suspected"), cleared: scope.Counter("parts_cleared"),
			refused: scope.Counter("refused_for_part"), notRetried: scope.Counter("not_sent_again_for_part"),
			requestsSuspected: scope.Counter("repeated_suspected"), requestsCleared: scope.Counter("repeated_cleared"),
			requestsRefused: scope.Counter("refused_for_repeated"),
		},
	}
}

// ApplyObservations applies what other entries have learned. It must not be called
// concurrently.
func (h *Handler) ApplyObservations(records []observation.Record) {
	for _, r := range records {
		apply := h.suspects.apply
		switch r.Kind {
		case observation.Limit:
			apply = h.applyLimit
		case observation.Leaving:
			h.markLeaving(r.Key, r.Origin)
			continue
		}
		if err := apply(r); err != nil {
			h.log.Warn("failed to decode observation", "kind", int(r.Kind), "origin", r.Origin, "code", int(result.BadMessage), "error", err)
		}
	}
}

// Decide compares what is known of servers that ended. It must be called periodically.
func (h *Handler) Decide() { h.suspects.decide() }

// DumpQuarantine returns the suspected parts for the state dump.
func (h *Handler) DumpQuarantine() any {
	s := h.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Dump(s.ageClock.Now())
}

// refused returns the error for a request that is suspected or has a suspected part, or
// nil.
func (s *suspects) refused(cr *callerRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait, part, refused := s.table.Refused(cr.candidates, s.ageClock.Now())
	if !refused {
		return nil
	}
	if part.Request {
		s.metrics.requestsRefused.Inc(1)
		return result.Refuse(result.RequestQuarantined, wait, "the request %s is suspected of crashing servers", part.ID)
	}
	s.metrics.refused.Inc(1)
	return result.Refuse(result.PromptQuarantined, wait, "part %q of the prompt is suspected of crashing servers", part.ID)
}

// mustWithdraw reports whether a request is suspected or has a suspected part, and returns a
// channel that is closed when something else is suspected.
func (s *suspects) mustWithdraw(cr *callerRequest) (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _, refused := s.table.Refused(cr.candidates, s.ageClock.Now())
	return refused, s.changed
}

// startTrial records that a request is sent to a server.
func (s *suspects) startTrial(cr *callerRequest) []quarantine.Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.StartTrial(cr.candidates)
}

// doubtful reports whether a request must not be sent to another server, because it or its
// prompt is suspected or may have ended the server of the attempt.
func (s *suspects) doubtful(cr *callerRequest, a *attempt) bool {
	if a.proven {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _, doubtful := s.table.Refused(cr.candidates, s.ageClock.Now())
	if doubtful = doubtful || a.brokenOff() && s.table.Doubtful(cr.candidates); !doubtful {
		return false
	}
	s.metrics.notRetried.Inc(1)
	s.log.Info("request not sent to another server because it may have ended one", "id", cr.id, "server", a.lease.Server.ID, "request", cr.digest(), "parts", cr.parts)
	return true
}

// recordEvents records that the server of an attempt has sent events, received of them so
// far.
func (s *suspects) recordEvents(cr *callerRequest, a *attempt, received int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordAlive(a)
	if received >= quarantine.ProvenEvents && !a.proven {
		s.recordProven(cr, a)
	}
}

// recordAlive records that the server of an attempt is alive. The caller holds mu.
func (s *suspects) recordAlive(a *attempt) {
	if s.table.Ends() == 0 {
		return
	}
	if server, now := a.lease.Incarnation, s.ageClock.Now(); s.table.RecordAlive(server, now) {
		s.log.Info("server is alive after it broke off a request", "server", server)
		s.observe(observation.Alive, server, nil, now, endTTL)
	}
}

// recordProven records that the server of an attempt has proven the prompt sound. The
// caller holds mu.
func (s *suspects) recordProven(cr *callerRequest, a *attempt) {
	a.proven = true
	now := s.ageClock.Now()
	s.tellProven(s.table.RecordProven(cr.candidates, now), now)
}

func (s *suspects) tellProven(parts []quarantine.Part, at boottime.Instant) {
	for _, p := range parts {
		s.observe(observation.Proven, partKey(p), encode(p), at, endTTL)
	}
}

// recordEnd records the end of an attempt. It returns true if the address of its server must
// be checked.
func (s *suspects) recordEnd(cr *callerRequest, a *attempt) (check bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.EndTrial(a.trials)
	now := s.ageClock.Now()
	switch {
	case a.answers(cr):
		s.recordAlive(a)
		if !a.proven {
			s.recordProven(cr, a)
		}
	case a.brokenOff():
		var candidates []quarantine.Candidate
		if !a.proven {
			candidates = cr.candidates
		}
		r, at := s.table.RecordBrokenOff(ownOrigin, a.lease.Incarnation, candidates, now)
		s.tellReport(a.lease.Incarnation, r, at)
		if a.refusal != nil {
			s.recordRefused(a.lease.Incarnation, a.refusal)
		}
		return s.table.StartCheck(a.lease.Incarnation, now)
	case errors.Is(a.err, syscall.ECONNREFUSED):
		s.recordRefused(a.lease.Incarnation, a.err)
	}
	return false
}

// answers reports whether the server has completed a response, which shows that the request
// does not crash it. A server's own failure is no such response: a request may fail before
// the server begins to run it.
func (a *attempt) answers(cr *callerRequest) bool {
	switch a.result {
	case resultAnswered:
		return a.events > 0 || cr.route.Kind != deployment.Stream
	case resultFailed:
		return a.ex.Status < http.StatusInternalServerError
	default:
		return false
	}
}

// confirmEnd records that the address of a server that has broken off a request refuses
// connections.
func (s *suspects) confirmEnd(server string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordRefused(server, err)
}

// recordRefused records that the address of a server has refused a connection. The caller
// holds mu.
func (s *suspects) recordRefused(server string, err error) {
	if r, at, news := s.table.RecordRefused(ownOrigin, server, s.ageClock.Now()); news {
		s.log.Info("server has ended", "server", server, "error", err)
		s.tellReport(server, r, at)
	}
}

func (s *suspects) tellReport(server string, r quarantine.Report, at boottime.Instant) {
	s.observe(observation.BrokenOff, server, encode(r), at, endTTL)
}

// decide applies and logs the decisions that follow from what is known.
func (s *suspects) decide() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.table.Decide(s.ageClock.Now()) {
		s.logDecision(d)
		s.observe(observation.Quarantine, partKey(d.Hold.Part), encode(d.Hold), d.At, max(d.Hold.TTL(), endTTL))
	}
}

// logDecision counts and logs a decision. The caller holds mu.
func (s *suspects) logDecision(d quarantine.Decision) {
	suspected, cleared := s.metrics.suspected, s.metrics.cleared
	if d.Hold.Part.Request {
		suspected, cleared = s.metrics.requestsSuspected, s.metrics.requestsCleared
	}
	switch d.Action {
	case quarantine.Suspected:
		suspected.Inc(1)
		s.wakeRequests()
	case quarantine.Narrowed:
		s.wakeRequests()
	default:
		cleared.Inc(1)
	}
	s.log.Warn("quarantine of a "+subject(d.Hold.Part)+" changed", "part", d.Hold.Part.ID, "model", d.Hold.Part.Model, "action", d.Action.String(),
		"with", loggedParts(d.Hold.With), "count", d.Hold.Count, "moments", d.Moments, "required", d.Required, "runner_up", d.RunnerUp, "servers", d.Servers[:min(len(d.Servers), maxLoggedServers)])
}

// loggedParts returns the IDs of parts for a log line, which are not all logged.
func loggedParts(parts []quarantine.Part) []string {
	var ids []string
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, p.ID)
	}
	return ids
}

// subject names what is suspected in log lines.
func subject(p quarantine.Part) string {
	if p.Request {
		return "request"
	}
	return "prompt part"
}

func (s *suspects) wakeRequests() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply applies what another entry has learned.
func (s *suspects) apply(r observation.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.ageClock.Now()
	switch r.Kind {
	case observation.Alive:
		s.table.ApplyAlive(r.Key, r.At)
	case observation.BrokenOff:
		var report quarantine.Report
		if err := cbor.Unmarshal(r.Body, &report); err != nil {
			return err
		}
		s.tellProven(s.table.ApplyReport(r.Origin, r.Key, report, r.At, now), now)
	case observation.Proven:
		var part quarantine.Part
		if err := cbor.Unmarshal(r.Body, &part); err != nil {
			return err
		}
		s.table.ApplyProven(part, r.At)
	case observation.Quarantine:
		var hold quarantine.Hold
		if err := cbor.Unmarshal(r.Body, &hold); err != nil {
			return err
		}
		if s.table.ApplyHold(hold, r.At) {
			s.log.Warn("quarantine of a "+subject(hold.Part)+" learned", "part", hold.Part.ID, "model", hold.Part.Model, "with", loggedParts(hold.With), "count", hold.Count, "age", now.Sub(r.At), "origin", r.Origin)
			s.wakeRequests()
		}
	}
	return nil
}

// partKey returns the key of the records on a part. That of a request has no slash.
func partKey(p quarantine.Part) string {
	if p.Request {
		return p.ID
	}
	return p.Model + "/" + p.ID
}

// encode encodes the body of an observation.
func encode(v any) []byte {
	body, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // only for types that can't be encoded
	}
	return slices.Clip(body)
}
