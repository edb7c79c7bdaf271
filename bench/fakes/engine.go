package fakes

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// EngineConfig configures an Engine. If Slots or PrefixEntries is zero, a default is
// used.
type EngineConfig struct {
	// Slots is the maximum number of concurrent requests.
	Slots int
	// TokenTime is the time per token of each running request.
	TokenTime time.Duration
	// PrefillTime is the time to process a prompt whose prefix is not cached.
	PrefillTime time.Duration
	// PrefixEntries is the capacity of the prefix cache.
	PrefixEntries int
	// ReportLag is the age of the state that a report shows.
	ReportLag time.Duration
	// LoadTime is how long a load takes.
	LoadTime time.Duration
	// FencingIgnored makes the engine accept orders with stale fences.
	FencingIgnored bool
	// Seed seeds the random number generator.
	Seed uint64
}

func (c *EngineConfig) setDefaults() {
	if c.Slots == 0 {
		c.Slots = 8
	}
	if c.PrefixEntries == 0 {
		c.PrefixEntries = 64
	}
}

// Results of a load for EngineMode.LoadResult.
const (
	LoadOK          = ""
	LoadKeepsOld    = "keeps-old"
	LoadWrongDigest = "wrong-digest"
	LoadHangs       = "never"
	LoadRefused     = "refused"
)

// EngineMode holds the settings that can change while an engine runs.
type EngineMode struct {
	// SlowFactor multiplies all times; zero means 1.
	SlowFactor float64 `json:"slow_factor"`
	// FailShare is the share of requests, 0 to 1, that fail with status 500.
	FailShare float64 `json:"fail_share"`
	// CutAfter is the number of events after which a stream is cut; zero means never.
	CutAfter int `json:"cut_after"`
	// FailReports makes reports fail with status 500.
	FailReports bool `json:"report_fails"`
	// LoadResult is one of the Load constants.
	LoadResult string `json:"load_result"`
}

// EngineStats holds an engine's counters.
type EngineStats struct {
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	Canceled  int `json:"canceled"`
	Failed    int `json:"failed"`
	// RequestsWhileNotReady counts requests that arrived while no weights were ready.
	RequestsWhileNotReady int `json:"while_not_ready"`
	// CutByLoad counts requests in progress when a load began.
	CutByLoad int `json:"cut_by_load"`
	Loads     int `json:"loads"`
	// OrdersDuringLoad counts orders that arrived while a load was in progress.
	OrdersDuringLoad int `json:"overlapping"`
	// StaleOrders counts orders with a stale fence, StaleAccepted those of them that
	// the engine executed.
	StaleOrders   int `json:"stale_orders"`
	StaleAccepted int `json:"stale_taken"`
	// BadLoads counts loads of weights that are partial or mixed.
	BadLoads     int            `json:"bad_loads"`
	PrefixHits   int            `json:"prefix_hits"`
	PrefixMisses int            `json:"prefix_miss"`
	MaxRunning   int            `json:"max_running"`
	Tokens       int            `json:"tokens"`
	Runs         map[string]int `json:"runs"`
	LoadedFrom   string         `json:"loaded_from"`
	Orders       []string       `json:"orders"`
}

// Engine is a fake model engine. It is safe for concurrent use.
type Engine struct {
	cfg   EngineConfig
	mux   *http.ServeMux
	slots *slotQueue

	mu             sync.Mutex
	mode           EngineMode
	rnd            *rand.Rand
	report         engine.Report
	reportHistory  []timedReport
	loadGeneration int
	cancelLoad     context.CancelFunc
	running        map[string]context.CancelCauseFunc
	chatSeq        uint64
	prefixes       prefixCache
	stats          EngineStats
}

type timedReport struct {
	at     time.Time
	report engine.Report
}

// NewEngine returns an engine without weights.
func NewEngine(cfg EngineConfig) *Engine {
	cfg.setDefaults()
	e := &Engine{
		cfg:      cfg,
		mux:      http.NewServeMux(),
		slots:    newSlotQueue(cfg.Slots),
		rnd:      rand.New(rand.NewPCG(cfg.Seed, 2)),
		report:   engine.Report{State: engine.StateEmpty, Slots: cfg.Slots},
		running:  make(map[string]context.CancelCauseFunc),
		prefixes: prefixCache{limit: cfg.PrefixEntries},
	}
	e.stats.Runs = make(map[string]int)
	e.recordReport()
	e.mux.HandleFunc("GET "+wire.PathEngineReport, e.serveReport)
	e.mux.HandleFunc("POST "+wire.PathEngineLoad, e.serveLoad)
	e.mux.HandleFunc("POST "+wire.PathEngineUnload, e.serveUnload)
	e.mux.HandleFunc("POST "+wire.PathEngineDrain, e.serveDrain)
	e.mux.HandleFunc("POST "+wire.PathEngineCancel, e.serveCancel)
	e.mux.HandleFunc("POST "+wire.PathChat, e.serveChat)
	e.mux.HandleFunc("GET /fake/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) })
	e.mux.HandleFunc("POST /fake/mode", e.serveMode)
	e.mux.HandleFunc("POST /fake/restart", func(http.ResponseWriter, *http.Request) { e.Restart() })
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Stats returns a copy of the engine's counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Runs = make(map[string]int, len(e.stats.Runs))
	for id, n := range e.stats.Runs {
		stats.Runs[id] = n
	}
	stats.Orders = append([]string(nil), e.stats.Orders...)
	return stats
}

// SetMode sets the engine's mode.
func (e *Engine) SetMode(mode EngineMode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode = mode
}

func (e *Engine) serveMode(w http.ResponseWriter, r *http.Request) {
	var mode EngineMode
	if !readJSON(w, r, &mode) {
		return
	}
	e.SetMode(mode)
}

// Restart drops the weights and cuts all requests, like a crash and restart of the
// engine. It keeps the counters.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortLoad()
	e.cutRequests()
	e.report = engine.Report{State: engine.StateEmpty, Slots: e.cfg.Slots}
	e.recordReport()
}

// cutRequests cuts all running requests. It is called with mu held.
func (e *Engine) cutRequests() {
	for _, cancel := range e.running {
		cancel(errConnectionCut)
	}
}

// abortLoad cancels the load in progress, if any. It is called with mu held.
func (e *Engine) abortLoad() {
	if e.cancelLoad != nil {
		e.cancelLoad()
	}
	e.cancelLoad = nil
	e.loadGeneration++
}

// recordReport appends the current report to the history, from which serveReport
// serves delayed reports. It is called with mu held after every change.
func (e *Engine) recordReport() {
	now := time.Now()
	report := e.report
	report.Adapters = make(map[string]manifest.Digest, len(e.report.Adapters))
	for name, digest := range e.report.Adapters {
		report.Adapters[name] = digest
	}
	report.Running, report.Waiting = e.slots.counts()
	report.CacheEvents = e.prefixes.recentEvents()
	e.reportHistory = append(e.reportHistory, timedReport{at: now, report: report})
	first := 0
	for first+1 < len(e.reportHistory) && now.Sub(e.reportHistory[first+1].at) >= e.cfg.ReportLag {
		first++
	}
	e.reportHistory = e.reportHistory[first:]
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.recordReport()
	fail, now := e.mode.FailReports, time.Now()
	report := e.reportHistory[0].report
	for _, past := range e.reportHistory {
		if now.Sub(past.at) < e.cfg.ReportLag {
			break
		}
		report = past.report
	}
	e.mu.Unlock()
	if fail {
		http.Error(w, "reports are disabled by mode", http.StatusInternalServerError)
		return
	}
	writeJSON(w, report)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// sleep waits for d times factor and returns true, or false when ctx is done first.
func sleep(ctx context.Context, d time.Duration, factor float64) bool {
	if factor > 0 {
		d = time.Duration(float64(d) * factor)
	}
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
