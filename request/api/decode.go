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
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/reqlog"
	"github.com/waxwingpost/waxwingpost/request/routing"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// request is a caller's request.
type request struct {
	http       *http.Request
	id         string
	account    string
	limits     config.Account
	service    string
	priority   string
	rank       int
	deadline   time.Time
	repeatable bool
	// key is set on a call that may not be repeated; keyGiven tells that it
	// is the caller's own.
	key      string
	keyGiven bool
	// stream is set where the caller asked for server-sent events.
	stream bool
	engine bool
	prefix uint64
	accept func(version string) bool
	body   body
	target *target
	log    *reqlog.Entry
}

// body is a request's body: its head is held, the rest streams.
type body struct {
	head []byte
	// rest is nil where head is the whole body.
	rest   io.Reader
	length int64
	// spent is set once rest was given out: the body can't be sent again.
	spent bool
}

func (b *body) whole() bool { return b.rest == nil }

func (b *body) canSend() bool { return b.whole() || !b.spent }

// open returns the body for one attempt.
func (b *body) open() io.Reader {
	if b.whole() {
		return bytes.NewReader(b.head)
	}
	b.spent = true
	return io.MultiReader(bytes.NewReader(b.head), b.rest)
}

// decode reads a request up to the point where it can be routed.
func (a *API) decode(_ context.Context, r *http.Request) (any, error) {
	req := &request{http: r, id: a.newID()}
	t := a.table()
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
	req.engine = t.config.Services[rt.service].Kind == config.ServiceEngine
	if req.engine {
		req.accept = t.accepts[rt.service]
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
	req.target = a.target(req.service)
	req.log = a.requests.Open(reqlog.Record{
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
	req.account = req.http.Header.Get(wire.HeaderAccount)
	limits, ok := cfg.Accounts[req.account]
	if !ok {
		return result.Refuse(result.UnknownAccount, 0, "account %q", req.account)
	}
	req.limits = limits
	return nil
}

// readBody reads the head of the body.
func (a *API) readBody(req *request) error {
	req.body.length = req.http.ContentLength
	if req.body.length == 0 {
		return nil
	}
	size := a.cfg.HeadBytes + 1
	if n := req.body.length; n > 0 && n < int64(size) {
		size = int(n)
	}
	head := make([]byte, size)
	n, err := io.ReadFull(req.http.Body, head)
	switch {
	case err == nil && (req.body.length < 0 || req.body.length > int64(n)):
		req.body.rest = req.http.Body
	case err == nil || err == io.ErrUnexpectedEOF || err == io.EOF:
		if req.body.length > 0 && int64(n) != req.body.length {
			return badRequest("the body ends after %d of %d bytes", n, req.body.length)
		}
		req.body.length = int64(n)
	default:
		return badRequest("read body: %v", err)
	}
	req.body.head = head[:n]
	return nil
}

// findRoute finds the service: by the model for completions, else by the
// method and path.
func (a *API) findRoute(req *request, t *routeTable) (*route, error) {
	path := req.http.URL.Path
	if req.http.Method != http.MethodPost || path != wire.PathChat {
		if rt := t.match(req.http.Method, path); rt != nil {
			return rt, nil
		}
		return nil, result.Refuse(result.UnknownService, 0, "%s %s", req.http.Method, path)
	}
	chat, err := parseChat(req.body.head, req.body.whole())
	if err != nil {
		return nil, err
	}
	service, ok := t.models[chat.Model]
	if !ok {
		return nil, result.Refuse(result.UnknownService, 0, "model %q", chat.Model)
	}
	req.stream = chat.Stream
	req.prefix = a.prefixHash(chat)
	return t.chatRoute(service), nil
}

// chatRequest is what routing reads of a completion request.
type chatRequest struct {
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
}

// parseChat reads the fields that routing needs. Of a body that is not held
// whole they must stand in the head, before the messages.
func parseChat(head []byte, whole bool) (*chatRequest, error) {
	var chat chatRequest
	if whole {
		if err := json.Unmarshal(head, &chat); err != nil {
			return nil, badRequest("the body is not JSON: %v", err)
		}
	} else if err := parseChatHead(head, &chat); err != nil {
		return nil, err
	}
	if chat.Model == "" {
		return nil, badRequest("the body names no model")
	}
	return &chat, nil
}

func parseChatHead(head []byte, chat *chatRequest) error {
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

// prefixHash names the start of the prompt, which requests of one kind share,
// as engines name it in their cache events: by the first bytes of the digest
// of the first message's start.
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
	return routing.PrefixHash(hex.EncodeToString(sum[:prefixNameBytes]))
}

// prefixNameBytes is how much of a digest names a prefix.
const prefixNameBytes = 8

func (a *API) readPriority(req *request, cfg *config.Config, preset string) error {
	req.priority = req.http.Header.Get(wire.HeaderPriority)
	if req.priority == "" {
		req.priority = preset
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
	allowed := cfg.Requests.DefaultDeadline
	if allowed <= 0 {
		allowed = DefaultDeadline
	}
	if text := req.http.Header.Get(wire.HeaderDeadlineMs); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadlineMs {
			return badRequest("%s %q is not a number of milliseconds from 1 to %d", wire.HeaderDeadlineMs, text, maxDeadlineMs)
		}
		allowed = time.Duration(ms) * time.Millisecond
	}
	req.deadline = a.d.Clock.Now().Add(allowed)
	return nil
}

// maxDeadlineMs bounds the deadline that a caller may ask for.
const maxDeadlineMs = 24 * 60 * 60 * 1000

const maxKeyBytes = 256

// readKey takes the caller's key or makes one, and reads the whole body: its
// digest belongs to the key.
func (a *API) readKey(req *request) error {
	req.key = req.http.Header.Get(wire.HeaderKey)
	req.keyGiven = req.key != ""
	if !req.keyGiven {
		req.key = uuid.New().String()
	}
	if len(req.key) > maxKeyBytes {
		return badRequest("%s has more than %d bytes", wire.HeaderKey, maxKeyBytes)
	}
	if req.body.whole() {
		return nil
	}
	rest, err := io.ReadAll(io.LimitReader(req.body.rest, a.cfg.MaxBodyBytes+1-int64(len(req.body.head))))
	if err != nil {
		return badRequest("read body: %v", err)
	}
	req.body.head = append(req.body.head, rest...)
	if int64(len(req.body.head)) > a.cfg.MaxBodyBytes {
		return badRequest("the body of a call that may not be repeated exceeds %d bytes", a.cfg.MaxBodyBytes)
	}
	if req.body.length >= 0 && int64(len(req.body.head)) != req.body.length {
		return badRequest("the body ends after %d of %d bytes", len(req.body.head), req.body.length)
	}
	req.body.rest, req.body.length = nil, int64(len(req.body.head))
	return nil
}
