package fakes

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
)

const maxPlainBytes = 8 << 20

// PlainConfig sets a Plain service up.
type PlainConfig struct {
	// Delay is how long a call takes before it is answered.
	Delay time.Duration
	// AnswerBytes pads answers to that many bytes.
	AnswerBytes int
}

// PlainMode is what can be switched while a plain service runs.
type PlainMode struct {
	DelayMs int `json:"delay_ms"`
	// DropAnswers makes it run calls and cut the connection unanswered.
	DropAnswers bool `json:"drop_answers"`
	// Fails makes it answer with status 500 after the run.
	Fails bool `json:"fails"`
}

// PlainStats is a plain service's own record.
type PlainStats struct {
	Calls int `json:"calls"`
	// Runs counts the runs by Idempotency-Key, or by the digest of the body
	// where a call has none.
	Runs map[string]int `json:"runs"`
}

// PlainAnswer tells which call it belongs to.
type PlainAnswer struct {
	Key    string `json:"key"`
	Run    int    `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body_digest"`
	Pad    string `json:"pad,omitempty"`
}

// Plain stands for a plain service whose calls must not be repeated. It
// counts a run at its start. Safe for concurrent use.
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

// Stats returns a copy of the record.
func (p *Plain) Stats() PlainStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := PlainStats{Calls: p.calls, Runs: make(map[string]int, len(p.runs))}
	for key, n := range p.runs {
		stats.Runs[key] = n
	}
	return stats
}

// SetMode switches the service's mode.
func (p *Plain) SetMode(mode PlainMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxPlainBytes))
	if err != nil {
		http.Error(w, "the body did not arrive whole", http.StatusBadRequest)
		return
	}
	answer := PlainAnswer{Key: r.Header.Get(wire.HeaderKey), Method: r.Method, Path: r.URL.Path, Body: PromptDigest(string(body))}
	if answer.Key == "" {
		answer.Key = "body-" + answer.Body
	}
	p.mu.Lock()
	p.calls++
	p.runs[answer.Key]++
	answer.Run = p.runs[answer.Key]
	mode := p.mode
	p.mu.Unlock()
	// The run goes on when the caller leaves: its effect is already made.
	time.Sleep(p.cfg.Delay + time.Duration(mode.DelayMs)*time.Millisecond)
	switch {
	case mode.DropAnswers:
		panic(http.ErrAbortHandler)
	case mode.Fails:
		http.Error(w, "fails by mode", http.StatusInternalServerError)
	default:
		for len(answer.Pad) < p.cfg.AnswerBytes {
			answer.Pad += "................................................................"
		}
		writeJSON(w, answer)
	}
}
