package cluster

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/bench/fakes"
	"github.com/waxwingpost/waxwingpost/connection/wire"
)

const (
	maxAnswerBytes = 16 << 20
	maxEventBytes  = 1 << 20
	doneEvent      = "[DONE]"
)

// ChatCall is a caller's chat completion request.
type ChatCall struct {
	Account   string
	Model     string
	Prompt    string
	System    string
	Stream    bool
	MaxTokens int
	RequestID string
	Priority  string
	Deadline  time.Duration
}

// PlainCall is a caller's request to a plain service.
type PlainCall struct {
	Account string
	Method  string
	Path    string
	Key     string
	Body    []byte
}

// Outcome is what a caller learned about its request.
type Outcome struct {
	Status  int
	Code    int
	Ran     string
	Version string
	Backend string
	// RetryAfter is in seconds.
	RetryAfter int
	Body       []byte
	// Text is the text of a chat completion.
	Text      string
	FirstByte time.Duration
	Total     time.Duration
	// Err is set when neither a complete answer nor a refusal was received.
	Err error
	// StreamError is the error event that ended a stream, if any.
	StreamError string
	// Truncated is set when a stream ended without an error but before its last
	// event: the transport did not tell the caller that data is missing.
	Truncated bool
}

// Refused reports whether the response says that the request was not run.
func (o *Outcome) Refused() bool { return o.Ran == "not-run" }

// Caller sends requests as callers do. It is safe for concurrent use.
type Caller struct {
	Client *http.Client
}

// NewCaller returns a Caller with its own connection pool.
func NewCaller() *Caller {
	t := &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 0}
	return &Caller{Client: &http.Client{Transport: t}}
}

// Chat sends a chat completion request to the address of an entry or engine.
func (c *Caller) Chat(ctx context.Context, address string, call ChatCall) Outcome {
	request := fakes.ChatRequest{Model: call.Model, Stream: call.Stream, MaxTokens: call.MaxTokens}
	if call.System != "" {
		request.Messages = append(request.Messages, fakes.Message{Role: "system", Content: call.System})
	}
	request.Messages = append(request.Messages, fakes.Message{Role: "user", Content: call.Prompt})
	body, err := json.Marshal(request)
	if err != nil {
		return Outcome{Err: err}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	setHeader(header, wire.HeaderAccount, call.Account)
	setHeader(header, wire.HeaderRequestID, call.RequestID)
	setHeader(header, wire.HeaderPriority, call.Priority)
	if call.Deadline > 0 {
		setHeader(header, wire.HeaderDeadlineMs, strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	}
	out := c.send(ctx, http.MethodPost, address+wire.PathChat, header, body, call.Stream)
	if out.Err == nil && out.Status == http.StatusOK && !call.Stream {
		out.Text, out.Err = completionText(out.Body)
	}
	return out
}

// Plain sends a call for a plain service to the address of an entry.
func (c *Caller) Plain(ctx context.Context, address string, call PlainCall) Outcome {
	header := http.Header{}
	setHeader(header, wire.HeaderAccount, call.Account)
	setHeader(header, wire.HeaderIdempotencyKey, call.Key)
	return c.send(ctx, call.Method, address+call.Path, header, call.Body, false)
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

func (c *Caller) send(ctx context.Context, method, url string, header http.Header, body []byte, stream bool) Outcome {
	var out Outcome
	req, err := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader(body))
	if err != nil {
		out.Err = err
		return out
	}
	req.Header = header
	// Without GetBody the client never retries a request on its own.
	req.GetBody = nil
	start := time.Now()
	resp, err := c.Client.Do(req)
	if err != nil {
		out.Err, out.Total = err, time.Since(start)
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.readHeader(resp)
	if stream && resp.StatusCode == http.StatusOK {
		out.readStream(resp.Body, start)
	} else {
		out.FirstByte = time.Since(start)
		out.Body, out.Err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	}
	out.Total = time.Since(start)
	return out
}

func (o *Outcome) readHeader(resp *http.Response) {
	o.Status = resp.StatusCode
	o.Ran = resp.Header.Get(wire.HeaderRan)
	o.Version = resp.Header.Get(wire.HeaderVersion)
	o.Backend = resp.Header.Get(wire.HeaderBackend)
	o.Code, _ = strconv.Atoi(resp.Header.Get(wire.HeaderCode))
	o.RetryAfter, _ = strconv.Atoi(resp.Header.Get(wire.HeaderRetryAfter))
}

type chatEvent struct {
	Choices []struct {
		Delta   fakes.Message `json:"delta"`
		Message fakes.Message `json:"message"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// readStream reads server-sent events up to the last one. A stream without its
// last event is incomplete.
func (o *Outcome) readStream(body io.Reader, start time.Time) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	var text strings.Builder
	defer func() { o.Text = text.String() }()
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data:")
		if !ok {
			continue
		}
		if o.FirstByte == 0 {
			o.FirstByte = time.Since(start)
		}
		data = strings.TrimSpace(data)
		if data == doneEvent {
			return
		}
		var event chatEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			o.Err = errors.Wrapf(err, "event %q", data)
			return
		}
		if len(event.Error) > 0 {
			o.StreamError = data
			return
		}
		for _, choice := range event.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	o.Truncated = scanner.Err() == nil
	o.Err = errors.Newf("stream ended before its last event: %v", scanner.Err())
}

func completionText(body []byte) (string, error) {
	var event chatEvent
	if err := json.Unmarshal(body, &event); err != nil {
		return "", err
	}
	if len(event.Choices) == 0 {
		return "", errors.Newf("no choices in %q", body)
	}
	return event.Choices[0].Message.Content, nil
}
