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

// EngineConfig sets an Engine up. Zero values take the defaults.
type EngineConfig struct {
	// Slots is how many requests are answered at once.
	Slots int
	// TokenTime is the time of one token for each request in the batch.
	TokenTime time.Duration
	// PrefillTime is the time of a prompt whose prefix is not cached.
	PrefillTime time.Duration
	// PrefixEntries bounds the prefix cache.
	PrefixEntries int
	// ReportLag is how old a report is when it is given.
	ReportLag time.Duration
	// LoadTime is how long a load takes.
	LoadTime time.Duration
	// FencingIgnored makes the engine take orders with old fences.
	FencingIgnored bool
	// Seed drives what is random.
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

// Results of a load, for EngineMode.
const (
	LoadOK          = ""
	LoadKeepsOld    = "keeps-old"
	LoadWrongDigest = "wrong-digest"
	LoadNever       = "never"
	LoadRefused     = "refused"
)

// EngineMode is what can be switched while an engine runs.
type EngineMode struct {
	// SlowFactor multiplies all times; zero means 1.
	SlowFactor float64 `json:"slow_factor"`
	// FailShare is the part of requests, 0 to 1, that fail with status 500.
	FailShare float64 `json:"fail_share"`
	// CutAfter cuts streams after that many events; zero means never.
	CutAfter int `json:"cut_after"`
	// ReportFails makes the report fail with status 500.
	ReportFails bool `json:"report_fails"`
	// LoadResult is one of the Load constants.
	LoadResult string `json:"load_result"`
}

// EngineStats is an engine's own record.
type EngineStats struct {
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	Canceled  int `json:"canceled"`
	Failed    int `json:"failed"`
	// WhileNotReady counts requests that arrived while no weights were ready.
	WhileNotReady int `json:"while_not_ready"`
	// CutByLoad counts requests in progress when a load began.
	CutByLoad int `json:"cut_by_load"`
	Loads     int `json:"loads"`
	// Overlapping counts orders that arrived while a load was in progress.
	Overlapping int `json:"overlapping"`
	// StaleOrders counts orders with an old fence; StaleTaken those carried out.
	StaleOrders int `json:"stale_orders"`
	StaleTaken  int `json:"stale_taken"`
	// BadLoads counts loads of weights that are partial or mixed.
	BadLoads   int            `json:"bad_loads"`
	PrefixHits int            `json:"prefix_hits"`
	PrefixMiss int            `json:"prefix_miss"`
	MaxRunning int            `json:"max_running"`
	Tokens     int            `json:"tokens"`
	Runs       map[string]int `json:"runs"`
	LoadedFrom string         `json:"loaded_from"`
	Orders     []string       `json:"orders"`
}

// Engine stands for a model engine. Safe for concurrent use.
type Engine struct {
	cfg   EngineConfig
	mux   *http.ServeMux
	slots *slotQueue

	mu       sync.Mutex
	mode     EngineMode
	rnd      *rand.Rand
	report   engine.Report
	history  []pastReport
	loadGen  int
	loadDone context.CancelFunc
	running  map[string]context.CancelCauseFunc
	runSeq   uint64
	prefixes prefixCache
	stats    EngineStats
}

type pastReport struct {
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
	e.remember()
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

// Stats returns a copy of the engine's record.
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

// SetMode switches the engine's mode.
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

// Restart forgets the weights and cuts all requests, as an engine does that
// crashed and was started again. Its record is kept.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopLoad()
	e.cutAll()
	e.report = engine.Report{State: engine.StateEmpty, Slots: e.cfg.Slots}
	e.remember()
}

// cutAll is called with mu held.
func (e *Engine) cutAll() {
	for _, cancel := range e.running {
		cancel(errCut)
	}
}

// stopLoad is called with mu held.
func (e *Engine) stopLoad() {
	if e.loadDone != nil {
		e.loadDone()
	}
	e.loadDone = nil
	e.loadGen++
}

// remember notes the present report for lagged reading. It is called with mu
// held after every change.
func (e *Engine) remember() {
	now := time.Now()
	report := e.report
	report.Adapters = make(map[string]manifest.Digest, len(e.report.Adapters))
	for name, digest := range e.report.Adapters {
		report.Adapters[name] = digest
	}
	report.Running, report.Waiting = e.slots.counts()
	report.CacheEvents = e.prefixes.recent()
	e.history = append(e.history, pastReport{at: now, report: report})
	keep := 0
	for keep+1 < len(e.history) && now.Sub(e.history[keep+1].at) >= e.cfg.ReportLag {
		keep++
	}
	e.history = e.history[keep:]
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.remember()
	fails, now := e.mode.ReportFails, time.Now()
	report := e.history[0].report
	for _, past := range e.history {
		if now.Sub(past.at) < e.cfg.ReportLag {
			break
		}
		report = past.report
	}
	e.mu.Unlock()
	if fails {
		http.Error(w, "report is switched off", http.StatusInternalServerError)
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

// sleep waits for d times factor or until ctx ends, and reports which.
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
