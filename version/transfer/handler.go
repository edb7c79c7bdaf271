package transfer

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Query parameters of a poll for held chunks.
const (
	queryManifest = "manifest"
	queryAfter    = "after"
)

// busyRetryAfter is the Retry-After, in seconds, sent if no upload slot is free.
const busyRetryAfter = "1"

// Handler returns a handler that serves chunks and the list of held chunks to
// authenticated peers.
func (m *Manager) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathChunks+"{digest}", m.authenticated(m.serveChunk))
	mux.HandleFunc("GET "+wire.PathHeldChunks, m.authenticated(m.serveHave))
	return mux
}

func (m *Manager) authenticated(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := m.auth.Check(r); err != nil {
			writeError(w, http.StatusForbidden, err)
			return
		}
		next(w, r)
	}
}

func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set(wire.HeaderCode, strconv.Itoa(int(result.CodeOf(err))))
	http.Error(w, err.Error(), status)
}

func (m *Manager) serveHave(w http.ResponseWriter, r *http.Request) {
	d, err := manifest.ParseDigest(r.URL.Query().Get(queryManifest))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	seq, err := strconv.ParseUint(r.URL.Query().Get(queryAfter), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, result.New(result.BadMessage, "%s: %v", queryAfter, err))
		return
	}
	m.mu.Lock()
	p := m.publications[d]
	m.mu.Unlock()
	if p == nil {
		writeError(w, http.StatusNotFound, result.New(result.NotFound, "manifest %s is not known", d))
		return
	}
	body, err := cbor.Marshal(p.waitForChange(r.Context(), m.clock, seq, m.cfg.HaveHold))
	if err != nil {
		writeError(w, http.StatusInternalServerError, err)
		return
	}
	_, _ = w.Write(body)
}

func (m *Manager) serveChunk(w http.ResponseWriter, r *http.Request) {
	d, err := manifest.ParseDigest(r.PathValue("digest"))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	size, ok := m.store.Size(d)
	if !ok {
		writeError(w, http.StatusNotFound, result.New(result.ChunkMissing, "chunk %s is not held", d))
		return
	}
	release, ok := m.acquireUploadSlot(r)
	if !ok {
		w.Header().Set(wire.HeaderRetryAfter, busyRetryAfter)
		writeError(w, http.StatusServiceUnavailable, result.New(result.ChunkMissing, "all upload slots are taken"))
		return
	}
	defer release()
	m.sendChunk(w, r, manifest.Chunk{Digest: d, Size: size})
}

func (m *Manager) sendChunk(w http.ResponseWriter, r *http.Request, c manifest.Chunk) {
	body, err := m.store.Read(c)
	if err != nil {
		writeError(w, http.StatusNotFound, err)
		return
	}
	defer func() { _ = body.Close() }()
	w.Header().Set("Content-Length", strconv.FormatInt(c.Size, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	sent := m.scope.Counter("bytes_sent")
	paced := &pacedReader{ctx: r.Context(), r: body, buckets: []*bucket{m.uploadBucket}, onRead: func(n int) { sent.Inc(int64(n)) }}
	_, _ = io.Copy(&deadlineWriter{w: w, rc: http.NewResponseController(w), timeout: m.cfg.StallTimeout}, paced)
}

// deadlineWriter fails if a single write stalls, so that a crashed receiver
// doesn't keep its slot. The kernel enforces write deadlines, so this type uses
// the system clock instead of the manager's.
type deadlineWriter struct {
	w       io.Writer
	rc      *http.ResponseController
	timeout time.Duration
}

// Write implements io.Writer.
func (d *deadlineWriter) Write(p []byte) (int, error) {
	if err := d.rc.SetWriteDeadline(time.Now().Add(d.timeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	return d.w.Write(p)
}

// acquireUploadSlot waits for an upload slot. Other regions have separate slots:
// their links are slow and would block uploads in the agent's own region.
func (m *Manager) acquireUploadSlot(r *http.Request) (release func(), ok bool) {
	slots := m.nearSlots
	if m.inOtherRegion(r.Header.Get(wire.HeaderAgent)) {
		slots = m.farSlots
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	timer := m.clock.NewTimer(m.cfg.QueueWait)
	defer timer.Stop()
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, true
	case <-timer.Chan():
	case <-ctx.Done():
	}
	return nil, false
}

func (m *Manager) inOtherRegion(agent string) bool {
	v, _ := m.currentView()
	if v == nil {
		return false
	}
	for _, p := range v.Peers {
		if p.Name == agent {
			return p.Region != m.cfg.Self.Region
		}
	}
	return false
}

// chunkPath returns the path of a chunk on a peer.
func chunkPath(d manifest.Digest) string {
	return wire.PathChunks + strings.TrimSpace(d.String())
}
