package fleet

import (
	"reflect"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/heartbeat"
	"github.com/waxwingpost/waxwingpost/connection/wire"
)

const (
	// keepaliveInterval is the report interval while nothing changes.
	keepaliveInterval = time.Second
	// progressInterval is the report interval for statuses in which only the
	// transfer progress changes. The leader only shows progress to operators and
	// bases no decision on it.
	progressInterval = 5 * time.Second
)

// Reporter creates an entry's reports to the leader. It is not safe for
// concurrent use.
type Reporter struct {
	entry string
	clock clockwork.Clock

	// leader is the receiver of the previous reports; sent holds the statuses
	// that it has by agent name, or nil if the next report must be a full one.
	leader   string
	sent     map[string]reportedStatus
	seq      uint64
	revision uint64
	sentAt   time.Time
}

// reportedStatus is the last status of an agent that was sent to the leader.
type reportedStatus struct {
	status wire.AgentStatus
	sentAt time.Time
}

// NewReporter returns a reporter for an entry.
func NewReporter(entry string, clock clockwork.Clock) *Reporter {
	return &Reporter{entry: entry, clock: clock}
}

// Next returns the next report to the leader, or false if none is due. Agents holds
// the statuses of the agents whose primary entry this is.
func (r *Reporter) Next(leader string, revision uint64, agents []wire.AgentStatus) (wire.FleetReport, bool) {
	report := wire.FleetReport{Entry: r.entry, Revision: revision}
	if leader != r.leader || r.sent == nil {
		r.leader, r.seq = leader, 0
		r.sent = make(map[string]reportedStatus)
		report.First = true
	}
	r.addChanges(&report, agents)
	if r.isIdle(&report) {
		return report, false
	}
	r.seq++
	report.Seq = r.seq
	r.revision = revision
	r.sentAt = r.clock.Now()
	return report, true
}

// ResendAll makes the next report a full one. It must be called after a report was
// lost or rejected.
func (r *Reporter) ResendAll() {
	r.sent = nil
}

// addChanges adds to the report the statuses that must be sent and the names of
// the agents whose primary entry this no longer is.
func (r *Reporter) addChanges(report *wire.FleetReport, agents []wire.AgentStatus) {
	present := make(map[string]bool, len(agents))
	for _, s := range agents {
		present[s.Name] = true
		withoutLoad := heartbeat.WithoutLoad(s)
		withoutLoad.Engine.CacheEvents = nil
		if !r.mustReport(withoutLoad) {
			continue
		}
		r.sent[s.Name] = reportedStatus{status: withoutLoad, sentAt: r.clock.Now()}
		// The leader orders statuses by their Seq.
		withoutLoad.Seq = s.Seq
		report.Agents = append(report.Agents, withoutLoad)
	}
	for name := range r.sent {
		if !present[name] {
			delete(r.sent, name)
			report.Gone = append(report.Gone, name)
		}
	}
}

// mustReport reports whether an agent's status, without its load, must be sent.
func (r *Reporter) mustReport(withoutLoad wire.AgentStatus) bool {
	old, ok := r.sent[withoutLoad.Name]
	if !ok {
		return true
	}
	if reflect.DeepEqual(old.status, withoutLoad) {
		return false
	}
	withoutLoad.Transfer = old.status.Transfer
	progressOnly := reflect.DeepEqual(old.status, withoutLoad)
	return !progressOnly || r.clock.Since(old.sentAt) >= progressInterval
}

// isIdle reports whether a report has no changes and no keepalive is due.
func (r *Reporter) isIdle(report *wire.FleetReport) bool {
	unchanged := !report.First && len(report.Agents) == 0 && len(report.Gone) == 0 && report.Revision == r.revision
	return unchanged && r.clock.Since(r.sentAt) < keepaliveInterval
}
