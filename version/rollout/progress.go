package rollout

import (
	"maps"
	"time"

	"github.com/waxwingpost/waxwingpost/process/config"
)

// ServiceProgress is the progress of a service towards its configured version.
type ServiceProgress struct {
	Version string `json:"version"`
	// Alive counts the live agents of the service, Missing the absent agents
	// that may come back.
	Alive   int `json:"alive"`
	Missing int `json:"missing"`
	// Staged, Ordered and Serving count the agents that have staged the
	// version, are ordered to load it and serve it.
	Staged  int `json:"staged"`
	Ordered int `json:"ordered"`
	Serving int `json:"serving"`
	// ServingOther counts the agents that serve another version.
	ServingOther int `json:"serving_other"`
	Stuck        int `json:"stuck"`
	// DoneBytes and TotalBytes are sums over the agents' current transfers.
	DoneBytes  int64 `json:"done_bytes"`
	TotalBytes int64 `json:"total_bytes"`
	// BytesPerSecond is the moving average of the combined transfer rate, and
	// ExpectedSeconds the remaining time at that rate.
	BytesPerSecond  float64 `json:"bytes_per_second"`
	ExpectedSeconds float64 `json:"expected_seconds"`
}

// rateSampleWeight is the weight of the newest sample in the moving average of
// the transfer rate.
const rateSampleWeight = 0.2

// updateRate sets p's rate and expected time. previous is the progress at a time
// elapsed before p.
func (p *ServiceProgress) updateRate(previous ServiceProgress, elapsed time.Duration) {
	remaining := p.TotalBytes - p.DoneBytes
	if remaining <= 0 || elapsed <= 0 {
		return
	}
	rate := float64(max(0, p.DoneBytes-previous.DoneBytes)) / elapsed.Seconds()
	p.BytesPerSecond = rateSampleWeight*rate + (1-rateSampleWeight)*previous.BytesPerSecond
	if previous.BytesPerSecond == 0 {
		p.BytesPerSecond = rate
	}
	if p.BytesPerSecond > 0 {
		p.ExpectedSeconds = float64(remaining) / p.BytesPerSecond
	}
}

// sameCounts reports whether p and q are equal except for bytes, rate and
// expected time.
func (p ServiceProgress) sameCounts(q ServiceProgress) bool {
	p.DoneBytes, p.TotalBytes, p.BytesPerSecond, p.ExpectedSeconds = q.DoneBytes, q.TotalBytes, q.BytesPerSecond, q.ExpectedSeconds
	return p == q
}

// Summarize returns the progress of every engine service by name.
func Summarize(in Input) map[string]ServiceProgress {
	services := make(map[string]ServiceProgress)
	for name, service := range in.Config.Services {
		if service.Kind == config.ServiceEngine {
			services[name] = ServiceProgress{Version: service.Version}
		}
	}
	orderedVersion := make(map[string]string, len(in.Orders))
	serviceOf := make(map[string]string, len(in.Orders))
	for i := range in.Orders {
		serviceOf[in.Orders[i].Agent] = in.Orders[i].Service
		if !in.Orders[i].Stage {
			orderedVersion[in.Orders[i].Agent] = in.Orders[i].Version
		}
	}
	for _, s := range in.Statuses {
		p, ok := services[s.Service]
		if !ok {
			continue
		}
		r := replica{status: s}
		p.Alive++
		p.Staged += boolToInt(r.hasStaged(target{version: p.Version, adapters: in.Config.Services[s.Service].Adapters}))
		p.Ordered += boolToInt(orderedVersion[s.Name] == p.Version)
		p.Serving += boolToInt(s.Serving != "" && s.Serving == p.Version)
		p.ServingOther += boolToInt(s.Serving != "" && s.Serving != p.Version)
		p.Stuck += boolToInt(in.Stuck[s.Name])
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

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// reportProgress updates the gauges of each service and logs its progress when
// its counts change.
func (r *Runner) reportProgress(in Input) {
	summary := Summarize(in)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	elapsed := now.Sub(r.lastProgressAt)
	r.lastProgressAt = now
	for name, p := range summary {
		previous := r.lastProgress[name]
		p.updateRate(previous, elapsed)
		summary[name] = p
		r.updateGauges(name, p)
		if p.sameCounts(previous) {
			continue
		}
		r.log.Info("progress", "service", name, "version", p.Version, "alive", p.Alive, "missing", p.Missing,
			"staged", p.Staged, "ordered", p.Ordered, "serving", p.Serving, "serving_other", p.ServingOther,
			"stuck", p.Stuck, "done_bytes", p.DoneBytes, "total_bytes", p.TotalBytes,
			"bytes_per_second", int64(p.BytesPerSecond), "expected_seconds", int64(p.ExpectedSeconds))
	}
	r.lastProgress = summary
}

func (r *Runner) updateGauges(service string, p ServiceProgress) {
	scope := r.scope.Tagged(map[string]string{"service": service})
	scope.Gauge("alive").Update(float64(p.Alive))
	scope.Gauge("serving").Update(float64(p.Serving))
	scope.Gauge("staged").Update(float64(p.Staged))
	scope.Gauge("stuck").Update(float64(p.Stuck))
}

// runnerDump is the JSON form of a Runner's state.
type runnerDump struct {
	Leading  bool                       `json:"leading"`
	Services map[string]ServiceProgress `json:"services"`
	// Unregistered holds the last registration failure by version.
	Unregistered map[string]registrationFailure `json:"unregistered,omitempty"`
}

// Dump returns the Runner's state for encoding as JSON. Services is the progress
// at the last plan; it is current only while Leading is set.
func (r *Runner) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return runnerDump{
		Leading:      r.leading,
		Services:     maps.Clone(r.lastProgress),
		Unregistered: maps.Clone(r.registrationFailures),
	}
}
