package fakes

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
)

const maxCallBytes = 8 << 20

// PlainConfig configures a Plain service.
type PlainConfig struct {
	// Delay is the duration of a call.
	Delay time.Duration
	// AnswerBytes is the minimum length of the padding in an answer.
	AnswerBytes int
}

// PlainMode holds the settings that can change while a plain service runs.
type PlainMode struct {
	DelayMs int `json:"delay_ms"`
	// DropAnswers makes the service run a call and then cut the connection without an
	// answer.
	DropAnswers bool `json:"drop_answers"`
	// FailCalls makes the service run a call and then answer with status 500.
	FailCalls bool `json:"fails"`
}

// PlainStats holds a plain service's counters.
type PlainStats struct {
	Calls int `json:"calls"`
	// Runs counts the runs by Idempotency-Key, or by the digest of the body for calls
	// without a key.
	Runs map[string]int `json:"runs"`
}

// PlainAnswer is the answer to a call. It identifies the call and the run.
type PlainAnswer struct {
	Key        string `json:"key"`
	Run        int    `json:"run"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodyDigest string `json:"body_digest"`
	Pad        string `json:"pad,omitempty"`
}

// Plain is a fake plain service whose calls must not be repeated. It counts a run
// when the run starts. It is safe for concurrent use.
type Plain struct {
	cfg PlainConfig
	mux *http.ServeMux

	mu    sync.Mutex
	mode  PlainMode
	calls int
	runs  map[string]int
}

// NewPlain returns a plain service.
func NewPlain(cfg PlainConfig) *Plain {
	p := &Plain{cfg: cfg, mux: http.NewServeMux(), runs: make(map[string]int)}
	p.mux.HandleFunc("GET /fake/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Stats()) })
	p.mux.HandleFunc("POST /fake/mode", func(w http.ResponseWriter, r *http.Request) {
		var mode PlainMode
		if readJSON(w, r, &mode) {
			p.SetMode(mode)
		}
	})
	p.mux.HandleFunc("/", p.serve)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Stats returns a copy of the counters.
func (p *Plain) Stats() PlainStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := PlainStats{Calls: p.calls, Runs: make(map[string]int, len(p.runs))}
	for key, n := range p.runs {
		stats.Runs[key] = n
	}
	return stats
}

// SetMode sets the service's mode.
func (p *Plain) SetMode(mode PlainMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes))
	if err != nil {
		http.Error(w, "incomplete request body", http.StatusBadRequest)
		return
	}
	answer := PlainAnswer{Key: r.Header.Get(wire.HeaderIdempotencyKey), Method: r.Method, Path: r.URL.Path, BodyDigest: PromptDigest(string(body))}
	if answer.Key == "" {
		answer.Key = "body-" + answer.BodyDigest
	}
	p.mu.Lock()
	p.calls++
	p.runs[answer.Key]++
	answer.Run = p.runs[answer.Key]
	mode := p.mode
	p.mu.Unlock()
	// The run continues if the caller disconnects, because its effect already counts.
	time.Sleep(p.cfg.Delay + time.Duration(mode.DelayMs)*time.Millisecond)
	switch {
	case mode.DropAnswers:
		panic(http.ErrAbortHandler)
	case mode.FailCalls:
		http.Error(w, "failed by mode", http.StatusInternalServerError)
	default:
		for len(answer.Pad) < p.cfg.AnswerBytes {
			answer.Pad += "................................................................"
		}
		writeJSON(w, answer)
	}
}
