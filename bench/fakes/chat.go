package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/connection/wire"
)

const (
	defaultTokens = 24
	// prefixBytes is how much of the first message names its prefix.
	prefixBytes   = 256
	maxChatBytes  = 1 << 20
	doneEvent     = "data: [DONE]\n\n"
	finishReason  = "stop"
	contentStream = "text/event-stream"
)

var (
	errCut      = errors.New("cut by the engine")
	errCanceled = errors.New("canceled by order")
)

// ChatRequest is the part of a chat completion's request that the engine
// reads.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt returns the last message: what the answer is for.
func (c *ChatRequest) Prompt() string {
	if len(c.Messages) == 0 {
		return ""
	}
	return c.Messages[len(c.Messages)-1].Content
}

func (c *ChatRequest) prefix() string {
	if len(c.Messages) == 0 {
		return ""
	}
	first := c.Messages[0].Content
	return PromptDigest(first[:min(len(first), prefixBytes)])
}

// chatRun is one request in progress.
type chatRun struct {
	request  ChatRequest
	id       string
	key      string
	version  string
	mode     EngineMode
	hit      bool
	tokens   []string
	resumeAt int
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	run := chatRun{id: r.Header.Get(wire.HeaderRequestID)}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxChatBytes))
	if err == nil {
		err = json.Unmarshal(body, &run.request)
	}
	if err != nil || len(run.request.Messages) == 0 {
		http.Error(w, "no chat request", http.StatusBadRequest)
		return
	}
	run.resumeAt, _ = strconv.Atoi(r.Header.Get(wire.HeaderResumeOffset))
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	if !e.begin(w, &run, cancel) {
		return
	}
	rank, _ := strconv.Atoi(r.Header.Get(wire.HeaderPriority))
	err = e.answer(ctx, w, &run, rank)
	e.end(&run, err)
	if err != nil && !errors.Is(err, context.Canceled) {
		panic(http.ErrAbortHandler) // cuts the connection as a crash would
	}
}

// begin admits a request unless no weights are ready.
func (e *Engine) begin(w http.ResponseWriter, run *chatRun, cancel context.CancelCauseFunc) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Requests++
	if e.report.State != engine.StateReady {
		e.stats.WhileNotReady++
		http.Error(w, "no weights are ready: "+e.report.State, http.StatusServiceUnavailable)
		return false
	}
	run.mode = e.mode
	if e.rnd.Float64() < run.mode.FailShare {
		e.stats.Failed++
		http.Error(w, "fails by mode", http.StatusInternalServerError)
		return false
	}
	run.version = e.report.Version
	run.hit = e.prefixes.use(run.request.prefix())
	if run.hit {
		e.stats.PrefixHits++
	} else {
		e.stats.PrefixMiss++
	}
	e.runSeq++
	run.key = run.id
	if _, taken := e.running[run.key]; taken || run.key == "" {
		run.key = fmt.Sprintf("%s#%d", run.id, e.runSeq)
	}
	e.running[run.key] = cancel
	e.stats.Runs[run.id]++
	e.stats.MaxRunning = max(e.stats.MaxRunning, len(e.running))
	n := run.request.MaxTokens
	if n <= 0 {
		n = defaultTokens
	}
	run.tokens = tokens(run.request.Prompt(), run.version, n)
	return true
}

func (e *Engine) end(run *chatRun, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, run.key)
	switch {
	case err == nil:
		e.stats.Completed++
		e.stats.Tokens += len(run.tokens)
	case errors.Is(err, errCut):
		e.stats.Failed++
	default:
		e.stats.Canceled++
	}
	e.remember()
}

func (e *Engine) answer(ctx context.Context, w http.ResponseWriter, run *chatRun, rank int) error {
	if !e.slots.acquire(ctx, rank) {
		return context.Cause(ctx)
	}
	defer e.slots.release()
	if !run.hit && !sleep(ctx, e.cfg.PrefillTime, run.mode.SlowFactor) {
		return context.Cause(ctx)
	}
	w.Header().Set(wire.HeaderVersion, run.version)
	if run.request.Stream {
		return e.stream(ctx, w, run)
	}
	for range run.tokens {
		if !sleep(ctx, e.cfg.TokenTime, run.mode.SlowFactor) {
			return context.Cause(ctx)
		}
	}
	writeJSON(w, completion{
		ID: run.id, Object: "chat.completion", Model: run.request.Model,
		Choices: []choice{{Message: &Message{Role: "assistant", Content: strings.Join(run.tokens, "")}, FinishReason: finishReason}},
	})
	return nil
}

// completion is a whole answer or one event of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// stream sends the tokens from the offset that is asked for; those before it
// take no time.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, run *chatRun) error {
	w.Header().Set("Content-Type", contentStream)
	out := http.NewResponseController(w)
	for i, token := range run.tokens {
		if i < run.resumeAt {
			continue
		}
		if !sleep(ctx, e.cfg.TokenTime, run.mode.SlowFactor) {
			return context.Cause(ctx)
		}
		if run.mode.CutAfter > 0 && i >= run.resumeAt+run.mode.CutAfter {
			return errCut
		}
		event := completion{ID: run.id, Object: "chat.completion.chunk", Model: run.request.Model, Choices: []choice{{Delta: &Message{Content: token}}}}
		if i == len(run.tokens)-1 {
			event.Choices[0].FinishReason = finishReason
		}
		data, err := json.Marshal(event)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
	_, err := io.WriteString(w, doneEvent)
	return err
}
