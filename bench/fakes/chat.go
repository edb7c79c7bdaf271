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
	// prefixBytes is how many bytes of the first message identify its prefix.
	prefixBytes   = 256
	maxChatBytes  = 1 << 20
	doneEvent     = "data: [DONE]\n\n"
	finishReason  = "stop"
	contentStream = "text/event-stream"
)

var (
	errConnectionCut = errors.New("connection cut by the engine")
	errCanceled      = errors.New("canceled by order")
)

// ChatRequest is the part of a chat completion request that the engine reads.
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

// Prompt returns the content of the last message, which the answer responds to.
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

// activeChat is one request in progress.
type activeChat struct {
	request      ChatRequest
	id           string
	key          string
	version      string
	mode         EngineMode
	prefixHit    bool
	tokens       []string
	resumeOffset int
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	chat := activeChat{id: r.Header.Get(wire.HeaderRequestID)}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxChatBytes))
	if err == nil {
		err = json.Unmarshal(body, &chat.request)
	}
	if err != nil || len(chat.request.Messages) == 0 {
		http.Error(w, "not a chat request", http.StatusBadRequest)
		return
	}
	chat.resumeOffset, _ = strconv.Atoi(r.Header.Get(wire.HeaderResumeOffset))
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	if !e.admit(w, &chat, cancel) {
		return
	}
	rank, _ := strconv.Atoi(r.Header.Get(wire.HeaderPriority))
	err = e.respond(ctx, w, &chat, rank)
	e.finish(&chat, err)
	if err != nil && !errors.Is(err, context.Canceled) {
		panic(http.ErrAbortHandler) // Closes the connection as a crash would.
	}
}

// admit starts a request. It refuses the request when no weights are ready, and
// fails it with the probability of the mode.
func (e *Engine) admit(w http.ResponseWriter, chat *activeChat, cancel context.CancelCauseFunc) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Requests++
	if e.report.State != engine.StateReady {
		e.stats.RequestsWhileNotReady++
		http.Error(w, "no weights are ready: "+e.report.State, http.StatusServiceUnavailable)
		return false
	}
	chat.mode = e.mode
	if e.rnd.Float64() < chat.mode.FailShare {
		e.stats.Failed++
		http.Error(w, "failed by mode", http.StatusInternalServerError)
		return false
	}
	chat.version = e.report.Version
	chat.prefixHit = e.prefixes.access(chat.request.prefix())
	if chat.prefixHit {
		e.stats.PrefixHits++
	} else {
		e.stats.PrefixMisses++
	}
	e.chatSeq++
	chat.key = chat.id
	if _, taken := e.running[chat.key]; taken || chat.key == "" {
		chat.key = fmt.Sprintf("%s#%d", chat.id, e.chatSeq)
	}
	e.running[chat.key] = cancel
	e.stats.Runs[chat.id]++
	e.stats.MaxRunning = max(e.stats.MaxRunning, len(e.running))
	maxTokens := chat.request.MaxTokens
	if maxTokens <= 0 {
		maxTokens = defaultTokens
	}
	chat.tokens = answerTokens(chat.request.Prompt(), chat.version, maxTokens)
	return true
}

func (e *Engine) finish(chat *activeChat, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, chat.key)
	switch {
	case err == nil:
		e.stats.Completed++
		e.stats.Tokens += len(chat.tokens)
	case errors.Is(err, errConnectionCut):
		e.stats.Failed++
	default:
		e.stats.Canceled++
	}
	e.recordReport()
}

func (e *Engine) respond(ctx context.Context, w http.ResponseWriter, chat *activeChat, rank int) error {
	if !e.slots.acquire(ctx, rank) {
		return context.Cause(ctx)
	}
	defer e.slots.release()
	if !chat.prefixHit && !sleep(ctx, e.cfg.PrefillTime, chat.mode.SlowFactor) {
		return context.Cause(ctx)
	}
	w.Header().Set(wire.HeaderVersion, chat.version)
	if chat.request.Stream {
		return e.streamTokens(ctx, w, chat)
	}
	for range chat.tokens {
		if !sleep(ctx, e.cfg.TokenTime, chat.mode.SlowFactor) {
			return context.Cause(ctx)
		}
	}
	writeJSON(w, completion{
		ID: chat.id, Object: "chat.completion", Model: chat.request.Model,
		Choices: []choice{{Message: &Message{Role: "assistant", Content: strings.Join(chat.tokens, "")}, FinishReason: finishReason}},
	})
	return nil
}

// completion is a complete answer or one event of a stream.
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

// streamTokens sends the tokens from the requested offset on. Tokens before the
// offset are skipped without delay.
func (e *Engine) streamTokens(ctx context.Context, w http.ResponseWriter, chat *activeChat) error {
	w.Header().Set("Content-Type", contentStream)
	out := http.NewResponseController(w)
	for i, token := range chat.tokens {
		if i < chat.resumeOffset {
			continue
		}
		if !sleep(ctx, e.cfg.TokenTime, chat.mode.SlowFactor) {
			return context.Cause(ctx)
		}
		if chat.mode.CutAfter > 0 && i >= chat.resumeOffset+chat.mode.CutAfter {
			return errConnectionCut
		}
		event := completion{ID: chat.id, Object: "chat.completion.chunk", Model: chat.request.Model, Choices: []choice{{Delta: &Message{Content: token}}}}
		if i == len(chat.tokens)-1 {
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
