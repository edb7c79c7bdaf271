package fleet

import (
	"reflect"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/heartbeat"
	"github.com/waxwingpost/waxwingpost/connection/wire"
)

const (
	// keepaliveInterval is the pause between reports while nothing changes.
	keepaliveInterval = time.Second
	// progressInterval is how often the bytes of a transfer alone are worth
	// reporting: the leader shows them to operators and decides nothing by them.
	progressInterval = 5 * time.Second
)

// Reporter makes an entry's reports to one leader. Not safe for concurrent use.
type Reporter struct {
	entry string
	clock clockwork.Clock

	// leader is whom the reports before went to; last is what it holds.
	leader   string
	last     map[string]reported
	seq      uint64
	revision uint64
	sentAt   time.Time
}

// reported is what the leader holds of an agent, and since when.
type reported struct {
	status wire.AgentStatus
	at     time.Time
}

// NewReporter returns the reporter of an entry.
func NewReporter(entry string, clock clockwork.Clock) *Reporter {
	return &Reporter{entry: entry, clock: clock}
}

// Next returns the report that is due to the leader, or false when none is.
// Agents are those that the entry answers for.
func (r *Reporter) Next(leader string, revision uint64, agents []wire.AgentStatus) (wire.FleetReport, bool) {
	report := wire.FleetReport{Entry: r.entry, Revision: revision}
	if leader != r.leader || r.last == nil {
		r.leader, r.seq = leader, 0
		r.last = make(map[string]reported)
		report.First = true
	}
	r.addChanges(&report, agents)
	if r.idle(&report) {
		return report, false
	}
	r.seq++
	report.Seq = r.seq
	r.revision = revision
	r.sentAt = r.clock.Now()
	return report, true
}

// Restart makes the next report a whole one: the last did not arrive.
func (r *Reporter) Restart() {
	r.last = nil
}

func (r *Reporter) addChanges(report *wire.FleetReport, agents []wire.AgentStatus) {
	present := make(map[string]bool, len(agents))
	for _, s := range agents {
		present[s.Name] = true
		steady := heartbeat.Steady(s)
		steady.Engine.CacheEvents = nil
		if !r.isNews(steady) {
			continue
		}
		r.last[s.Name] = reported{status: steady, at: r.clock.Now()}
		// The leader orders statuses by their Seq.
		steady.Seq = s.Seq
		report.Agents = append(report.Agents, steady)
	}
	for name := range r.last {
		if !present[name] {
			delete(r.last, name)
			report.Gone = append(report.Gone, name)
		}
	}
}

func (r *Reporter) isNews(steady wire.AgentStatus) bool {
	old, ok := r.last[steady.Name]
	if !ok {
		return true
	}
	if reflect.DeepEqual(old.status, steady) {
		return false
	}
	steady.Transfer = old.status.Transfer
	onlyProgress := reflect.DeepEqual(old.status, steady)
	return !onlyProgress || r.clock.Since(old.at) >= progressInterval
}

func (r *Reporter) idle(report *wire.FleetReport) bool {
	unchanged := !report.First && len(report.Agents) == 0 && len(report.Gone) == 0 && report.Revision == r.revision
	return unchanged && r.clock.Since(r.sentAt) < keepaliveInterval
}
