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

// pieceBytes is the unit of the origin's rate limit.
const pieceBytes = 16 << 10

// OriginConfig sets an Origin up.
type OriginConfig struct {
	// Versions maps each path to the size of its content in bytes.
	Versions map[string]int
	// ChunkBytes is the size of the manifests' chunks.
	ChunkBytes int
	// BytesPerSecond limits all content that leaves; zero means unlimited.
	BytesPerSecond int
	// MaxActive is how many content requests are served at once; more are
	// answered with status 429. Zero means unlimited.
	MaxActive int
	// RetryAfterSeconds is what a 429 tells.
	RetryAfterSeconds int
	Seed              uint64
}

// OriginMode is what can be switched while an origin runs.
type OriginMode struct {
	// CorruptShare is the part of content requests, 0 to 1, with a flipped bit.
	CorruptShare float64 `json:"corrupt_share"`
	// ShortShare is the part that ends before its length.
	ShortShare float64 `json:"short_share"`
	// Stall stops all content.
	Stall bool `json:"stall"`
	// Throttle answers every content request with status 429.
	Throttle bool `json:"throttle"`
}

// OriginStats is an origin's own record.
type OriginStats struct {
	// ContentBytes counts all content that left.
	ContentBytes  int64 `json:"content_bytes"`
	ManifestReads int   `json:"manifest_reads"`
	Requests      int   `json:"requests"`
	Throttled     int   `json:"throttled"`
	Corrupted     int   `json:"corrupted"`
	// ByPath counts content bytes by version path.
	ByPath map[string]int64 `json:"by_path"`
}

// Origin stands for a weight source. Safe for concurrent use.
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

// NewOrigin generates the versions and returns the origin.
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
		limiter:   rate.NewLimiter(limit, 2*pieceBytes),
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

// Manifest returns the manifest under a path, or nil.
func (o *Origin) Manifest(name string) *manifest.Manifest {
	return o.manifests[strings.Trim(name, "/")]
}

// Stats returns a copy of the record.
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

// SetMode switches the origin's mode.
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
	corrupt, short, admitted := o.admit()
	if !admitted {
		w.Header().Set(wire.HeaderRetryAfter, strconv.Itoa(o.cfg.RetryAfterSeconds))
		http.Error(w, "rate exceeded", http.StatusTooManyRequests)
		return
	}
	defer o.leave()
	slow := &limitedWriter{ResponseWriter: w, request: r, origin: o, name: name, corruptAt: -1, endAt: -1}
	if corrupt {
		slow.corruptAt = 0
	}
	if short {
		slow.endAt = pieceBytes / 2
	}
	http.ServeContent(slow, r, "", time.Time{}, bytes.NewReader(content))
}

// admit counts a content request and draws what is wrong with it.
func (o *Origin) admit() (corrupt, short, admitted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stats.Requests++
	if o.mode.Throttle || o.cfg.MaxActive > 0 && o.active >= o.cfg.MaxActive {
		o.stats.Throttled++
		return false, false, false
	}
	o.active++
	corrupt = o.rnd.Float64() < o.mode.CorruptShare
	short = o.rnd.Float64() < o.mode.ShortShare
	if corrupt {
		o.stats.Corrupted++
	}
	return corrupt, short, true
}

func (o *Origin) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active--
}

func (o *Origin) stalled() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.mode.Stall
}

// limitedWriter passes content on at the origin's rate and spoils it where
// the mode says so.
type limitedWriter struct {
	http.ResponseWriter
	request   *http.Request
	origin    *Origin
	name      string
	sent      int
	corruptAt int
	endAt     int
}

// Write implements io.Writer.
func (l *limitedWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		piece := data[written:min(written+pieceBytes, len(data))]
		if err := l.wait(len(piece)); err != nil {
			return written, err
		}
		n, err := l.ResponseWriter.Write(l.spoil(piece))
		l.count(n)
		written += n
		if err != nil {
			return written, err
		}
		if l.endAt >= 0 && l.sent >= l.endAt {
			panic(http.ErrAbortHandler)
		}
	}
	return written, nil
}

// wait waits for the rate limit and for the end of a stall.
func (l *limitedWriter) wait(n int) error {
	ctx := l.request.Context()
	for l.origin.stalled() {
		if !sleep(ctx, 10*time.Millisecond, 1) {
			return io.ErrClosedPipe
		}
	}
	return l.origin.limiter.WaitN(ctx, n)
}

func (l *limitedWriter) spoil(piece []byte) []byte {
	if l.corruptAt < l.sent || l.corruptAt >= l.sent+len(piece) {
		return piece
	}
	spoiled := bytes.Clone(piece)
	spoiled[l.corruptAt-l.sent] ^= 0x40
	return spoiled
}

func (l *limitedWriter) count(n int) {
	l.sent += n
	l.origin.mu.Lock()
	defer l.origin.mu.Unlock()
	l.origin.stats.ContentBytes += int64(n)
	l.origin.stats.ByPath[l.name] += int64(n)
}
