package rollout

import (
	"maps"
	"time"

	"github.com/waxwingpost/waxwingpost/process/config"
)

// ServiceProgress tells how far a service is from what is configured.
type ServiceProgress struct {
	Version string `json:"version"`
	// Alive counts the agents of the service; Missing those expected back.
	Alive   int `json:"alive"`
	Missing int `json:"missing"`
	// Staged, Ordered and Serving count the agents that hold the version,
	// were ordered to load it and serve it.
	Staged  int `json:"staged"`
	Ordered int `json:"ordered"`
	Serving int `json:"serving"`
	// ServingOther counts the agents that serve another version.
	ServingOther int `json:"serving_other"`
	Stuck        int `json:"stuck"`
	// DoneBytes and TotalBytes add up the agents' transfers.
	DoneBytes  int64 `json:"done_bytes"`
	TotalBytes int64 `json:"total_bytes"`
	// BytesPerSecond is the recent rate of all transfers together, and
	// ExpectedSeconds the time that is left at this rate.
	BytesPerSecond  float64 `json:"bytes_per_second"`
	ExpectedSeconds float64 `json:"expected_seconds"`
}

// rateWeight is the weight of the newest reading in the rate of transfers.
const rateWeight = 0.2

// follow completes p's rate from the reading before.
func (p *ServiceProgress) follow(before ServiceProgress, elapsed time.Duration) {
	left := p.TotalBytes - p.DoneBytes
	if left <= 0 || elapsed <= 0 {
		return
	}
	reading := float64(max(0, p.DoneBytes-before.DoneBytes)) / elapsed.Seconds()
	p.BytesPerSecond = rateWeight*reading + (1-rateWeight)*before.BytesPerSecond
	if before.BytesPerSecond == 0 {
		p.BytesPerSecond = reading
	}
	if p.BytesPerSecond > 0 {
		p.ExpectedSeconds = float64(left) / p.BytesPerSecond
	}
}

// sameCounts reports whether two readings differ in bytes alone.
func (p ServiceProgress) sameCounts(q ServiceProgress) bool {
	p.DoneBytes, p.TotalBytes, p.BytesPerSecond, p.ExpectedSeconds = q.DoneBytes, q.TotalBytes, q.BytesPerSecond, q.ExpectedSeconds
	return p == q
}

// Summarize returns the progress of every engine service.
func Summarize(in Input) map[string]ServiceProgress {
	services := make(map[string]ServiceProgress)
	for name, service := range in.Config.Services {
		if service.Kind == config.ServiceEngine {
			services[name] = ServiceProgress{Version: service.Version}
		}
	}
	ordered := make(map[string]string, len(in.Orders))
	serviceOf := make(map[string]string, len(in.Orders))
	for i := range in.Orders {
		serviceOf[in.Orders[i].Agent] = in.Orders[i].Service
		if !in.Orders[i].Stage {
			ordered[in.Orders[i].Agent] = in.Orders[i].Version
		}
	}
	for _, s := range in.Statuses {
		p, ok := services[s.Service]
		if !ok {
			continue
		}
		r := replica{status: s}
		p.Alive++
		p.Staged += count(r.holds(goal{version: p.Version, adapters: in.Config.Services[s.Service].Adapters}))
		p.Ordered += count(ordered[s.Name] == p.Version)
		p.Serving += count(s.Serving != "" && s.Serving == p.Version)
		p.ServingOther += count(s.Serving != "" && s.Serving != p.Version)
		p.Stuck += count(in.Stuck[s.Name])
		p.DoneBytes += s.Transfer.Done
		p.TotalBytes += s.Transfer.Total
		services[s.Service] = p
	}
	for _, agent := range in.Missing {
		if p, ok := services[serviceOf[agent]]; ok {
			p.Missing++
			services[serviceOf[agent]] = p
		}
	}
	return services
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// report logs the progress of each service when its counts change.
func (r *Runner) report(in Input) {
	summary := Summarize(in)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	elapsed := now.Sub(r.loggedAt)
	r.loggedAt = now
	for name, p := range summary {
		before := r.logged[name]
		p.follow(before, elapsed)
		summary[name] = p
		r.gauges(name, p)
		if p.sameCounts(before) {
			continue
		}
		r.log.Info("progress", "service", name, "version", p.Version, "alive", p.Alive, "missing", p.Missing,
			"staged", p.Staged, "ordered", p.Ordered, "serving", p.Serving, "serving_other", p.ServingOther,
			"stuck", p.Stuck, "done_bytes", p.DoneBytes, "total_bytes", p.TotalBytes,
			"bytes_per_second", int64(p.BytesPerSecond), "expected_seconds", int64(p.ExpectedSeconds))
	}
	r.logged = summary
}

func (r *Runner) gauges(service string, p ServiceProgress) {
	scope := r.scope.Tagged(map[string]string{"service": service})
	scope.Gauge("alive").Update(float64(p.Alive))
	scope.Gauge("serving").Update(float64(p.Serving))
	scope.Gauge("staged").Update(float64(p.Staged))
	scope.Gauge("stuck").Update(float64(p.Stuck))
}

// runnerState is the dump of a Runner.
type runnerState struct {
	Leading  bool                       `json:"leading"`
	Services map[string]ServiceProgress `json:"services"`
	// Unregistered tells why versions are not registered yet.
	Unregistered map[string]registration `json:"unregistered,omitempty"`
}

// Dump returns the Runner's state for JSON. Services is what the plan last
// saw; it is current only while Leading is set.
func (r *Runner) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return runnerState{
		Leading:      r.leading,
		Services:     maps.Clone(r.logged),
		Unregistered: maps.Clone(r.failures),
	}
}
