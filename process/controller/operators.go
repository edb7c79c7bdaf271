package controller

import (
	"context"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/control/desired"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/process/intake"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// proposeTimeout bounds a change: operators try another control process after
	// a second without an answer.
	proposeTimeout = 1500 * time.Millisecond
	// readTimeout bounds a read of the newest configuration.
	readTimeout = 900 * time.Millisecond
	// retryAfter is the delay sent to operators when no quorum answers: about the
	// time of an election.
	retryAfter = 500 * time.Millisecond
	// maxDocument bounds a configuration document.
	maxDocument = 32 << 20
	// maxLoggedID bounds the ID of a server in the log, in bytes.
	maxLoggedID = 64
)

// document is a configuration sent by an operator, raw and decoded.
type document struct {
	raw    []byte
	config *deployment.Config
}

func (c *Controller) operatorMux() http.Handler {
	mux := http.NewServeMux()
	serve := func(e endpoint.Endpoint, dec kithttp.DecodeRequestFunc, enc kithttp.EncodeResponseFunc) http.Handler {
		return kithttp.NewServer(e, dec, enc, kithttp.ServerErrorEncoder(c.encodeError))
	}
	mux.Handle("POST "+platform.PathPutConfig, serve(c.putConfig, decodeDocument, encodeEmpty))
	mux.Handle("GET "+platform.PathGetConfig, serve(c.getConfig, decodeNothing, encodeDocument))
	mux.Handle("POST "+platform.PathPutVersion, serve(c.putVersion, decodeVersion, encodeEmpty))
	mux.HandleFunc("POST "+platform.PathHeartbeat, c.heartbeat)
	mux.HandleFunc("POST "+platform.PathDeregister, c.deregister)
	return c.withEvacuations(mux)
}

func decodeDocument(_ context.Context, r *http.Request) (any, error) {
	raw, err := intake.ReadBody(r.Body, r.ContentLength, maxDocument)
	if result.CodeOf(err) == result.MemoryLimit {
		return nil, err
	}
	if err != nil {
		return nil, result.New(result.BadRequest, "read configuration: %v", err)
	}
	config, err := feed.ParseConfig(raw)
	if err != nil {
		return nil, err
	}
	return document{raw: raw, config: config}, nil
}

func decodeVersion(_ context.Context, r *http.Request) (any, error) {
	return platform.DecodeVersionAnnouncement(r.Body)
}

func decodeNothing(context.Context, *http.Request) (any, error) { return struct{}{}, nil }

func encodeEmpty(_ context.Context, w http.ResponseWriter, _ any) error {
	return writeJSON(w, http.StatusOK, []byte("{}"))
}

func encodeDocument(_ context.Context, w http.ResponseWriter, response any) error {
	return writeJSON(w, http.StatusOK, response.([]byte))
}

func writeJSON(w http.ResponseWriter, status int, body []byte) error {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, err := w.Write(body)
	return err
}

// encodeError answers 503 if a retry may succeed, else 400.
func (c *Controller) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	code := result.CodeOf(err)
	status := http.StatusBadRequest
	switch code {
	case result.NoQuorum, result.NotLeader, result.ProposalLost, result.LinkLost, result.QueueFull,
		result.DiskFailed, result.Internal, result.SnapshotDamaged, result.StaleBasis, result.RecordsFull, result.MemoryLimit:
		status = http.StatusServiceUnavailable
		w.Header().Set(platform.HeaderRetryAfter, platform.FormatSeconds(retryAfter))
	}
	c.Log.Warn("operator call failed", "status", status, "code", int(code), "error", err)
	_ = writeJSON(w, status, fmt.Appendf(nil, `{"code":%d}`, int(code)))
}

func (c *Controller) currentReplica() (*replica, error) {
	r := c.replica.Load()
	if r == nil {
		return nil, result.Refuse(result.NoQuorum, retryAfter, "the replica is not open")
	}
	return r, nil
}

// putConfig commits a configuration. One whose version is not higher than the
// current version is acknowledged and changes nothing.
func (c *Controller) putConfig(ctx context.Context, request any) (any, error) {
	doc := request.(document)
	content, err := desired.Compress(doc.raw)
	if err != nil {
		return nil, result.New(result.Internal, "compress configuration: %v", err)
	}
	digest := strconv.FormatUint(xxhash.Sum64(doc.raw), 16)
	_, err = c.propose(ctx, control.Command{
		ID:     fmt.Sprintf("config/%d/%s", doc.config.Version, digest),
		Deploy: &control.Deploy{Version: doc.config.Version, Content: content},
	}, "version", doc.config.Version, "digest", digest)
	return struct{}{}, err
}

// putVersion commits the publication of a new version of a model's weights.
func (c *Controller) putVersion(ctx context.Context, request any) (any, error) {
	v := request.(platform.VersionAnnouncement)
	received := c.AgeClock.Now()
	res, err := c.propose(ctx, control.Command{
		ID:      fmt.Sprintf("weights/%s/%d", hex.EncodeToString([]byte(v.Model)), v.Version),
		Weights: &control.PublishWeights{Model: v.Model, Version: v.Version},
	}, "model", v.Model, "version", v.Version)
	if err == nil && res.Revision == res.Index {
		c.hub.RecordPublished(v.Model, v.Version, received)
	}
	return struct{}{}, err
}

// propose commits a command. The result's revision is its index if the command changed
// the state.
func (c *Controller) propose(ctx context.Context, cmd control.Command, inputs ...any) (control.Result, error) {
	r, err := c.currentReplica()
	if err != nil {
		return control.Result{}, err
	}
	started := c.Clock.Now()
	// The proposal continues if the operator's connection breaks, because the
	// operator sends the same change again.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposeTimeout)
	defer cancel()
	res, err := r.node.Propose(ctx, cmd)
	if err == nil && res.Code != 0 {
		err = result.New(result.Code(res.Code), "%s", res.Detail)
	}
	if err != nil {
		return control.Result{}, err
	}
	took := c.Clock.Since(started)
	c.Scope.Timer("change_acknowledged").Record(took)
	c.Log.Info("change acknowledged", append(inputs, "index", res.Index, "revision", res.Revision, "took", took)...)
	return res, nil
}

// getConfig returns the newest configuration: a quorum round makes the read
// linearizable.
func (c *Controller) getConfig(ctx context.Context, _ any) (any, error) {
	r, err := c.currentReplica()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := r.node.Barrier(ctx); err != nil {
		return nil, err
	}
	s, _ := r.machine.Current()
	if s.ConfigVersion == 0 {
		return nil, result.Refuse(result.NoQuorum, retryAfter, "no configuration accepted yet")
	}
	return desired.Decompress(s.Content)
}

// acceptsHeartbeats reports whether heartbeats that arrive here reach the entries. A
// control process that is cut off refuses them, so that servers try another one. So does
// one that is not a member, since most entries don't follow it; at the first start of the
// deployment all entries link to all control processes.
func (c *Controller) acceptsHeartbeats() bool {
	r := c.replica.Load()
	member := c.wasMember.Load()
	if r != nil {
		if r.node.InQuorum() {
			return true
		}
		member = r.node.IsMember()
	}
	if !member && !c.settings.FirstStart {
		return false
	}
	entries := int64(c.hub.EntryCount())
	return entries > 0 && entries >= c.maxEntries.Load()
}

func (c *Controller) heartbeat(w http.ResponseWriter, r *http.Request) {
	if !c.acceptsHeartbeats() {
		c.Scope.Counter("heartbeats_refused").Inc(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := strings.TrimPrefix(r.URL.Path, platform.PathHeartbeat)
	s, err := platform.DecodeHeartbeat(id, r.Body)
	if err != nil {
		c.Scope.Counter("heartbeats_unreadable").Inc(1)
		c.Log.Warn("heartbeat refused", "server", id[:min(len(id), maxLoggedID)], "code", int(result.CodeOf(err)), "error", err)
		_ = writeJSON(w, heartbeatStatus(err), []byte("{}"))
		return
	}
	c.hub.Heartbeat(s)
	_ = writeJSON(w, http.StatusOK, []byte("{}"))
}

// heartbeatStatus returns the status for a heartbeat that was not accepted. Servers send it to
// another control process in either case.
func heartbeatStatus(err error) int {
	if result.CodeOf(err) == result.MemoryLimit {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

func (c *Controller) deregister(w http.ResponseWriter, r *http.Request) {
	if !c.acceptsHeartbeats() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := strings.TrimPrefix(r.URL.Path, platform.PathDeregister)
	if err := directory.ValidateID(id); err != nil {
		c.Log.Warn("deregistration refused", "server", id[:min(len(id), maxLoggedID)], "code", int(result.CodeOf(err)), "error", err)
		_ = writeJSON(w, http.StatusBadRequest, []byte("{}"))
		return
	}
	c.hub.Deregister(id, platform.DecodeDeregistration(r.Body))
	_ = writeJSON(w, http.StatusOK, []byte("{}"))
}
