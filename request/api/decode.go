package api

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/intake"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/reqlog"
	"github.com/waxwingpost/waxwingpost/request/routing"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// request is a caller's request and what routing derived from it.
type request struct {
	httpReq    *http.Request
	id         string
	account    string
	limits     config.Account
	service    string
	priority   string
	rank       int
	deadline   time.Time
	repeatable bool
	// key is the idempotency key of a non-repeatable call; keyFromCaller is set
	// if the caller supplied it.
	key           string
	keyFromCaller bool
	// streaming is set if the caller asked for server-sent events.
	streaming      bool
	isEngine       bool
	promptPrefix   uint64
	acceptsVersion func(version string) bool
	// regions lists the allowed regions by the configuration that the request was decoded by.
	regions []string
	body    body
	svc     *serviceState
	log     *reqlog.LiveRecord
}

// body is a request body whose first bytes are buffered; the rest is streamed.
type body struct {
	buffered []byte
	// rest is nil if buffered is the entire body.
	rest   io.Reader
	length int64
	// consumed is set once a reader of rest was returned; the body can't be
	// sent again after that.
	consumed bool
}

func (b *body) fullyBuffered() bool { return b.rest == nil }

func (b *body) canResend() bool { return b.fullyBuffered() || !b.consumed }

// newReader returns a reader of the body for one attempt.
func (b *body) newReader() io.Reader {
	if b.fullyBuffered() {
		return bytes.NewReader(b.buffered)
	}
	b.consumed = true
	return io.MultiReader(bytes.NewReader(b.buffered), b.rest)
}

// decodeRequest reads as much of a request as routing needs.
func (a *API) decodeRequest(_ context.Context, r *http.Request) (any, error) {
	req := &request{httpReq: r, id: a.newID()}
	t := a.currentRoutes()
	if err := a.readAccount(req, t.config); err != nil {
		return nil, err
	}
	if err := a.readBody(req); err != nil {
		return nil, err
	}
	rt, err := a.findRoute(req, t)
	if err != nil {
		return nil, err
	}
	req.service, req.repeatable = rt.service, rt.Repeatable
	req.regions = t.config.AllowedRegions(req.service, req.account)
	req.isEngine = t.config.Services[rt.service].Kind == config.ServiceEngine
	if req.isEngine {
		req.acceptsVersion = t.versionFilters[rt.service]
	}
	if err := a.readPriority(req, t.config, rt.Priority); err != nil {
		return nil, err
	}
	if err := a.readDeadline(req, t.config); err != nil {
		return nil, err
	}
	if !req.repeatable {
		if err := a.readKey(req); err != nil {
			return nil, err
		}
	}
	req.svc = a.serviceState(req.service)
	req.log = a.requests.Start(reqlog.Record{
		ID: req.id, Account: req.account, Service: req.service, Priority: req.priority, Key: req.key,
	})
	return req, nil
}

func (a *API) newID() string {
	return a.idPrefix + strconv.FormatUint(a.ids.Add(1), 16)
}

func badRequest(format string, args ...any) error {
	return result.Refuse(result.BadRequest, 0, format, args...)
}

func (a *API) readAccount(req *request, cfg *config.Config) error {
	req.account = req.httpReq.Header.Get(wire.HeaderAccount)
	limits, ok := cfg.Accounts[req.account]
	if !ok {
		return result.Refuse(result.UnknownAccount, 0, "account %q is not configured", req.account)
	}
	req.limits = limits
	return nil
}

// readBody buffers the start of the body.
func (a *API) readBody(req *request) error {
	req.body.length = req.httpReq.ContentLength
	if req.body.length == 0 {
		return nil
	}
	size := a.cfg.BufferedBodyBytes + 1
	if n := req.body.length; n > 0 && n < int64(size) {
		size = int(n)
	}
	head := make([]byte, size)
	n, err := io.ReadFull(req.httpReq.Body, head)
	switch {
	case err == nil && (req.body.length < 0 || req.body.length > int64(n)):
		req.body.rest = req.httpReq.Body
	case err == nil || err == io.ErrUnexpectedEOF || err == io.EOF:
		if req.body.length > 0 && int64(n) != req.body.length {
			return badRequest("the body ends after %d of %d bytes", n, req.body.length)
		}
		req.body.length = int64(n)
	default:
		return badRequest("read body: %v", err)
	}
	req.body.buffered = head[:n]
	return nil
}

// findRoute selects the service: by model for chat completions, otherwise by
// method and path.
func (a *API) findRoute(req *request, t *routeTable) (*route, error) {
	path := req.httpReq.URL.Path
	if req.httpReq.Method != http.MethodPost || path != wire.PathChat {
		if rt := t.match(req.httpReq.Method, path); rt != nil {
			return rt, nil
		}
		return nil, result.Refuse(result.UnknownService, 0, "no route for %s %s", req.httpReq.Method, path)
	}
	chat, err := parseChat(req.body.buffered, req.body.fullyBuffered())
	if err != nil {
		return nil, err
	}
	service, ok := t.serviceByModel[chat.Model]
	if !ok {
		return nil, result.Refuse(result.UnknownService, 0, "no service for model %q", chat.Model)
	}
	req.streaming = chat.Stream
	req.promptPrefix = a.prefixHash(chat)
	return t.chatRoute(service), nil
}

// chatRequest holds the fields of a completion request that routing uses.
type chatRequest struct {
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
}

// parseChat reads the fields that routing needs. If the body is only partly
// buffered, they must precede the messages within the buffered part.
func parseChat(head []byte, fullyBuffered bool) (*chatRequest, error) {
	var chat chatRequest
	if fullyBuffered {
		if err := json.Unmarshal(head, &chat); err != nil {
			return nil, badRequest("the body is not JSON: %v", err)
		}
	} else if err := parsePartialChat(head, &chat); err != nil {
		return nil, err
	}
	if chat.Model == "" {
		return nil, badRequest("the body has no model field")
	}
	return &chat, nil
}

func parsePartialChat(head []byte, chat *chatRequest) error {
	dec := json.NewDecoder(bytes.NewReader(head))
	if token, err := dec.Token(); err != nil || token != json.Delim('{') {
		return badRequest("the body is not a JSON object")
	}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return nil
		}
		switch name {
		case "model":
			err = dec.Decode(&chat.Model)
		case "stream":
			err = dec.Decode(&chat.Stream)
		default:
			var skipped json.RawMessage
			err = dec.Decode(&skipped)
		}
		if err != nil {
			return nil
		}
	}
	return nil
}

// prefixHash identifies the start of the prompt, which similar requests share.
// It matches the prefix IDs in the engines' cache events: the first bytes of
// the digest of the start of the first message.
func (a *API) prefixHash(chat *chatRequest) uint64 {
	if len(chat.Messages) == 0 {
		return 0
	}
	var first struct {
		Content string `json:"content"`
	}
	start := string(chat.Messages[0])
	if err := json.Unmarshal(chat.Messages[0], &first); err == nil {
		start = first.Content
	}
	sum := manifest.Sum([]byte(start[:min(len(start), a.cfg.AffinityBytes)]))
	return routing.PrefixHash(hex.EncodeToString(sum[:prefixDigestBytes]))
}

// prefixDigestBytes is the length of the digest part that identifies a prefix.
const prefixDigestBytes = 8

func (a *API) readPriority(req *request, cfg *config.Config, routeDefault string) error {
	req.priority = req.httpReq.Header.Get(wire.HeaderPriority)
	if req.priority == "" {
		req.priority = routeDefault
	}
	if req.priority == "" {
		return nil
	}
	rank, ok := cfg.Priorities[req.priority]
	if !ok {
		return badRequest("priority %q is not configured", req.priority)
	}
	req.rank = rank
	return nil
}

func (a *API) readDeadline(req *request, cfg *config.Config) error {
	timeout := cfg.Requests.DefaultDeadline
	if timeout <= 0 {
		timeout = DefaultDeadline
	}
	if text := req.httpReq.Header.Get(wire.HeaderDeadlineMs); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadlineMs {
			return badRequest("%s %q is not a number of milliseconds from 1 to %d", wire.HeaderDeadlineMs, text, maxDeadlineMs)
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	req.deadline = a.deps.Clock.Now().Add(timeout)
	return nil
}

// maxDeadlineMs limits the deadline that a caller may request to 24 hours.
const maxDeadlineMs = 24 * 60 * 60 * 1000

// maxKeyBytes limits the length of an idempotency key.
const maxKeyBytes = 256

// readKey reads the caller's idempotency key or generates one, and buffers the
// entire body, whose digest is recorded with the key.
func (a *API) readKey(req *request) error {
	req.key = req.httpReq.Header.Get(wire.HeaderIdempotencyKey)
	req.keyFromCaller = req.key != ""
	if !req.keyFromCaller {
		req.key = uuid.New().String()
	}
	if len(req.key) > maxKeyBytes {
		return badRequest("%s is longer than %d bytes", wire.HeaderIdempotencyKey, maxKeyBytes)
	}
	if req.body.fullyBuffered() {
		return nil
	}
	intake.HoldBody(req.httpReq.Context())
	rest, err := intake.ReadBody(req.body.rest, -1, a.cfg.MaxBodyBytes-int64(len(req.body.buffered)))
	if result.CodeOf(err) == result.MemoryLimit {
		return err
	}
	if err != nil {
		return badRequest("read body: %v", err)
	}
	req.body.buffered = append(req.body.buffered, rest...)
	if int64(len(req.body.buffered)) > a.cfg.MaxBodyBytes {
		return badRequest("the body of a non-repeatable call exceeds %d bytes", a.cfg.MaxBodyBytes)
	}
	if req.body.length >= 0 && int64(len(req.body.buffered)) != req.body.length {
		return badRequest("the body ends after %d of %d bytes", len(req.body.buffered), req.body.length)
	}
	req.body.rest, req.body.length = nil, int64(len(req.body.buffered))
	return nil
}
