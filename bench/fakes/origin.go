package fakes

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// partBytes is the maximum number of bytes that one wait for the rate limit admits.
const partBytes = 16 << 10

// OriginConfig configures an Origin.
type OriginConfig struct {
	// Versions maps each path to the size of its content in bytes.
	Versions map[string]int
	// ChunkBytes is the chunk size in the manifests.
	ChunkBytes int
	// BytesPerSecond limits the content that the origin sends over all connections;
	// zero means unlimited.
	BytesPerSecond int
	// MaxActive is the maximum number of concurrent content requests; further ones
	// get status 429. Zero means unlimited.
	MaxActive int
	// RetryAfterSeconds is the retry time that a response with status 429 gives.
	RetryAfterSeconds int
	Seed              uint64
}

// OriginMode holds the settings that can change while an origin runs.
type OriginMode struct {
	// CorruptShare is the share of content requests, 0 to 1, whose response has a
	// flipped bit.
	CorruptShare float64 `json:"corrupt_share"`
	// TruncateShare is the share of content requests, 0 to 1, whose response ends
	// early.
	TruncateShare float64 `json:"short_share"`
	// Stall suspends the sending of content.
	Stall bool `json:"stall"`
	// Throttle refuses every content request with status 429.
	Throttle bool `json:"throttle"`
}

// OriginStats holds an origin's counters.
type OriginStats struct {
	// ContentBytes counts the content bytes sent.
	ContentBytes  int64 `json:"content_bytes"`
	ManifestReads int   `json:"manifest_reads"`
	Requests      int   `json:"requests"`
	Throttled     int   `json:"throttled"`
	Corrupted     int   `json:"corrupted"`
	// ByPath counts content bytes by version path.
	ByPath map[string]int64 `json:"by_path"`
}

// Origin is a fake weight origin. It is safe for concurrent use.
type Origin struct {
	cfg       OriginConfig
	mux       *http.ServeMux
	limiter   *rate.Limiter
	content   map[string][]byte
	manifests map[string]*manifest.Manifest

	mu     sync.Mutex
	mode   OriginMode
	rnd    *rand.Rand
	active int
	stats  OriginStats
}

// NewOrigin returns an origin with generated content for each version.
func NewOrigin(cfg OriginConfig) *Origin {
	if cfg.ChunkBytes == 0 {
		cfg.ChunkBytes = 1 << 20
	}
	if cfg.RetryAfterSeconds == 0 {
		cfg.RetryAfterSeconds = 1
	}
	limit := rate.Inf
	if cfg.BytesPerSecond > 0 {
		limit = rate.Limit(cfg.BytesPerSecond)
	}
	o := &Origin{
		cfg:       cfg,
		mux:       http.NewServeMux(),
		limiter:   rate.NewLimiter(limit, 2*partBytes),
		content:   make(map[string][]byte),
		manifests: make(map[string]*manifest.Manifest),
		rnd:       rand.New(rand.NewPCG(cfg.Seed, 3)),
	}
	o.stats.ByPath = make(map[string]int64)
	for name, size := range cfg.Versions {
		name = strings.Trim(name, "/")
		o.content[name] = Content(name, size)
		o.manifests[name] = manifest.Build(path.Base(name), o.content[name], cfg.ChunkBytes)
	}
	o.mux.HandleFunc("GET /fake/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, o.Stats()) })
	o.mux.HandleFunc("POST /fake/mode", func(w http.ResponseWriter, r *http.Request) {
		var mode OriginMode
		if readJSON(w, r, &mode) {
			o.SetMode(mode)
		}
	})
	o.mux.HandleFunc("/", o.serve)
	return o
}

// ServeHTTP implements http.Handler.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) { o.mux.ServeHTTP(w, r) }

// Manifest returns the manifest of the version at a path, or nil.
func (o *Origin) Manifest(name string) *manifest.Manifest {
	return o.manifests[strings.Trim(name, "/")]
}

// Stats returns a copy of the counters.
func (o *Origin) Stats() OriginStats {
	o.mu.Lock()
	defer o.mu.Unlock()
	stats := o.stats
	stats.ByPath = make(map[string]int64, len(o.stats.ByPath))
	for name, n := range o.stats.ByPath {
		stats.ByPath[name] = n
	}
	return stats
}

// SetMode sets the origin's mode.
func (o *Origin) SetMode(mode OriginMode) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mode = mode
}

func (o *Origin) serve(w http.ResponseWriter, r *http.Request) {
	dir, file := path.Split(r.URL.Path)
	name := strings.Trim(dir, "/")
	content, ok := o.content[name]
	switch {
	case !ok:
		http.NotFound(w, r)
	case file == wire.SourceManifest:
		o.mu.Lock()
		o.stats.ManifestReads++
		o.mu.Unlock()
		writeJSON(w, o.manifests[name])
	case file == wire.SourceContent:
		o.serveContent(w, r, name, content)
	default:
		http.NotFound(w, r)
	}
}

func (o *Origin) serveContent(w http.ResponseWriter, r *http.Request, name string, content []byte) {
	corrupt, truncate, admitted := o.admit()
	if !admitted {
		w.Header().Set(wire.HeaderRetryAfter, strconv.Itoa(o.cfg.RetryAfterSeconds))
		http.Error(w, "rate exceeded", http.StatusTooManyRequests)
		return
	}
	defer o.release()
	fw := &faultyWriter{ResponseWriter: w, request: r, origin: o, name: name, corruptAt: -1, truncateAt: -1}
	if corrupt {
		fw.corruptAt = 0
	}
	if truncate {
		fw.truncateAt = partBytes / 2
	}
	http.ServeContent(fw, r, "", time.Time{}, bytes.NewReader(content))
}

// admit counts a content request and decides at random whether to corrupt or
// truncate its response.
func (o *Origin) admit() (corrupt, truncate, admitted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stats.Requests++
	if o.mode.Throttle || o.cfg.MaxActive > 0 && o.active >= o.cfg.MaxActive {
		o.stats.Throttled++
		return false, false, false
	}
	o.active++
	corrupt = o.rnd.Float64() < o.mode.CorruptShare
	truncate = o.rnd.Float64() < o.mode.TruncateShare
	if corrupt {
		o.stats.Corrupted++
	}
	return corrupt, truncate, true
}

func (o *Origin) release() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active--
}

func (o *Origin) stalled() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.mode.Stall
}

// faultyWriter sends content at the origin's rate, and corrupts or truncates it. An
// offset of -1 disables the fault.
type faultyWriter struct {
	http.ResponseWriter
	request    *http.Request
	origin     *Origin
	name       string
	sent       int
	corruptAt  int
	truncateAt int
}

// Write implements io.Writer.
func (w *faultyWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		part := data[written:min(written+partBytes, len(data))]
		if err := w.wait(len(part)); err != nil {
			return written, err
		}
		n, err := w.ResponseWriter.Write(w.corrupt(part))
		w.count(n)
		written += n
		if err != nil {
			return written, err
		}
		if w.truncateAt >= 0 && w.sent >= w.truncateAt {
			panic(http.ErrAbortHandler)
		}
	}
	return written, nil
}

// wait waits until a stall has ended and the rate limit admits n bytes.
func (w *faultyWriter) wait(n int) error {
	ctx := w.request.Context()
	for w.origin.stalled() {
		if !sleep(ctx, 10*time.Millisecond, 1) {
			return io.ErrClosedPipe
		}
	}
	return w.origin.limiter.WaitN(ctx, n)
}

func (w *faultyWriter) corrupt(part []byte) []byte {
	if w.corruptAt < w.sent || w.corruptAt >= w.sent+len(part) {
		return part
	}
	corrupted := bytes.Clone(part)
	corrupted[w.corruptAt-w.sent] ^= 0x40
	return corrupted
}

func (w *faultyWriter) count(n int) {
	w.sent += n
	w.origin.mu.Lock()
	defer w.origin.mu.Unlock()
	w.origin.stats.ContentBytes += int64(n)
	w.origin.stats.ByPath[w.name] += int64(n)
}
