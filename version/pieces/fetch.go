package pieces

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

const (
	// firstByteTimeout limits the wait for the first bytes of a piece: the wait
	// in the queue of the other agent and the time to cross a slow link.
	firstByteTimeout = pieceWait + 900*time.Millisecond
	// originProbeTimeout is the same for an origin that did not answer the last request. It
	// is short, so that the transfer goes on soon once the origin is back, but longer than a few
	// pieces take to leave it before the response.
	originProbeTimeout = 800 * time.Millisecond
	// stallTimeout limits the wait for further bytes.
	stallTimeout = 1500 * time.Millisecond
	// readSize is the number of bytes by which the read buffer grows.
	readSize = 8 << 10
	// manifestTimeout limits a request for a manifest, which is small. It is added
	// to the time for which the other agent waits for the manifest.
	manifestTimeout = 300 * time.Millisecond
	// originManifestTimeout is the same for the origin, whose link may be busy.
	originManifestTimeout = 800 * time.Millisecond
	// manifestPiece is the piece whose sources are also used for the manifest.
	manifestPiece = 0
	// avoidDuration is how long an agent that failed is not asked.
	avoidDuration = 4 * time.Second
	// absentAfter is how long an agent may not know a version before it counts as
	// not taking part: learning of the version and fetching the manifest takes
	// less.
	absentAfter = time.Second
)

// Fetcher fetches the pieces of a version into a store.
type Fetcher struct {
	Self   planner.Node
	Store  *Store
	Client *backend.Client
	Clock  clockwork.Clock
	Log    *slog.Logger
	Scope  tally.Scope

	// mu guards the fields below.
	mu sync.Mutex
	// avoidedUntil holds when agents that failed may be asked again.
	avoidedUntil map[string]time.Time
	// absentSince holds the time since which each agent has not known the version
	// of manifestKey.
	absentSince map[string]time.Time
	// failing holds whether the last request to a source failed.
	failing map[string]bool
	// peerPieces holds the pieces of the version peerPiecesKey that other agents
	// are known to hold.
	peerPieces    map[string]planner.Bits
	peerPiecesKey Key
	// manifestSince is when the manifest of the version manifestKey was first
	// requested.
	manifestSince time.Time
	manifestKey   Key
	// manifestFrom is the source of the first manifest of that version.
	manifestFrom string
	// schedule is the schedule of the version scheduleKey, created at
	// scheduleStart.
	schedule      *schedule
	scheduleKey   Key
	scheduleStart time.Time
	// plan is the current plan, computed for the inputs that planKey describes.
	plan    *Plan
	planKey string
}

// FetchSpec holds the parameters of a fetch. Peers maps agent names to the
// addresses at which they serve pieces.
type FetchSpec struct {
	Key    Key
	Origin string
	// OriginConns limits the connections of all agents to the origin; 0 if not
	// known.
	OriginConns int
	// OriginTime is the time in which the version leaves the origin; 0 if not
	// known.
	OriginTime time.Duration
	// Age is the time since the version was published; 0 if not known.
	Age time.Duration
	// Pieces is the number of pieces and PieceBytes the size of each; 0 if not known.
	Pieces     int
	PieceBytes int
	HomeRegion string
	Nodes      []planner.Node
	Peers      map[string]string
	// Holders names the agents whose engines already hold the version.
	Holders map[string]bool
}

// currentPlan returns the plan for a fetch. It computes a new one only if the
// agents, the holders or the origin have changed.
func (f *Fetcher) currentPlan(spec *FetchSpec) *Plan {
	names := make([]string, 0, len(spec.Nodes))
	for _, n := range spec.Nodes {
		name := n.Name
		if spec.Holders[name] {
			name += "+"
		}
		names = append(names, name)
	}
	slices.Sort(names)
	key := fmt.Sprint(spec.Key, spec.HomeRegion, spec.OriginTime, spec.Pieces, names)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.planKey != key {
		f.plan, f.planKey = NewPlan(f.Self, spec.Nodes, spec.HomeRegion, spec.Key, spec.Holders, spec.OriginTime, spec.Pieces), key
	}
	return f.plan
}

// Fetch fetches the manifest and every missing piece. It returns when all pieces
// are held, and fails with ChunkMissing if ctx ends first. If the manifest cannot
// be fetched it fails immediately. Fetch must not be called concurrently.
//
// current returns the present spec, since agents join and leave. It is called by
// one goroutine only and must not modify a spec that it has returned.
func (f *Fetcher) Fetch(ctx context.Context, current func() *FetchSpec) error {
	started := f.Clock.Now()
	spec := current()
	if err := f.FetchManifest(ctx, spec); err != nil {
		return err
	}
	f.fetchPieces(ctx, current)
	// The origin accepts few connections: free them for other agents.
	f.Client.Sweep(f.Clock.Now(), func(address string) bool { return address != spec.Origin })
	missing := len(f.Store.Missing(spec.Key))
	f.Log.Info("pieces fetched", "model", spec.Key.Model, "version", spec.Key.Version, "missing", missing, "took", f.Clock.Since(started))
	if missing > 0 {
		return result.New(result.ChunkMissing, "%d pieces are missing: %v", missing, ctx.Err())
	}
	return nil
}

// fetchPieces requests pieces until none is missing or ctx ends.
func (f *Fetcher) fetchPieces(ctx context.Context, current func() *FetchSpec) {
	type response struct {
		req          *Request
		received     bool
		transferTime time.Duration
	}
	spec := current()
	sched, started := f.scheduleFor(spec)
	plan := f.currentPlan(spec)
	responses := make(chan response, maxRequests)
	inFlight := 0
	for ctx.Err() == nil {
		if latest := current(); latest != spec {
			spec, plan = latest, f.currentPlan(latest)
		}
		missing := f.Store.Missing(spec.Key)
		if len(missing) == 0 {
			break
		}
		if req := sched.nextRequest(f.Clock.Since(started), plan, missing, f.peerState(spec.Key)); req != nil {
			inFlight++
			go func(spec *FetchSpec) {
				received, transferTime := f.requestPiece(ctx, spec, req)
				responses <- response{req, received, transferTime}
			}(spec)
			continue
		}
		select {
		case <-ctx.Done():
		case resp := <-responses:
			inFlight--
			sched.requestDone(f.Clock.Since(started), resp.req, resp.received, resp.transferTime)
		case <-f.Clock.After(sched.wakeAfter(f.Clock.Since(started))):
		}
	}
	for ; inFlight > 0; inFlight-- {
		<-responses
	}
	sched.clearInFlight()
}

// scheduleFor returns the schedule of a version and its start time. A new fetch
// of the same version continues the schedule of the previous one.
func (f *Fetcher) scheduleFor(spec *FetchSpec) (*schedule, time.Time) {
	m, _ := f.Store.Manifest(spec.Key)
	limit := f.currentPlan(spec).originRequestLimit(spec.OriginConns)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.schedule == nil || f.scheduleKey != spec.Key {
		f.schedule, f.scheduleKey, f.scheduleStart = newSchedule(len(m.Digests), limit), spec.Key, f.Clock.Now()
		f.schedule.late = spec.Age > lateStart
	}
	return f.schedule, f.scheduleStart
}

// FetchManifest fetches the manifest of a version unless it is known. It uses
// the sources of a piece, so that the agents of a large fleet don't all ask the
// origin at the same time. It asks each source whose time has come once; after an
// error the caller should call it again.
func (f *Fetcher) FetchManifest(ctx context.Context, spec *FetchSpec) error {
	if _, ok := f.Store.Manifest(spec.Key); ok {
		return nil
	}
	elapsed := f.Clock.Since(f.manifestFetchStart(spec.Key))
	sources := f.currentPlan(spec).Sources(manifestPiece, f.peerState(spec.Key))
	err := errNotAvailable
	for _, source := range sources {
		if elapsed < source.After || f.isAvoided(source.From) || ctx.Err() != nil {
			continue
		}
		var m platform.Manifest
		if m, err = f.fetchManifestFrom(ctx, spec, source); err == nil {
			f.mu.Lock()
			f.manifestFrom = source.From
			f.mu.Unlock()
			f.Store.AddVersion(m)
			return nil
		}
		switch {
		case source.From == Origin || ctx.Err() != nil:
		case errors.Is(err, errNotAvailable):
			f.recordAbsent(source.From, source.Wait)
		default:
			f.avoid(source.From)
		}
	}
	return err
}

// manifestFetchStart returns when the manifest of a version was first requested.
func (f *Fetcher) manifestFetchStart(k Key) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.manifestKey != k {
		f.manifestKey, f.manifestSince, f.absentSince = k, f.Clock.Now(), map[string]time.Time{}
	}
	return f.manifestSince
}

// fetchManifestFrom fetches and validates a manifest.
func (f *Fetcher) fetchManifestFrom(ctx context.Context, spec *FetchSpec, source Source) (m platform.Manifest, err error) {
	if source.From == Origin {
		var data []byte
		data, _, _, err = f.get(ctx, spec.Origin, originManifestTimeout, maxManifestBytes, platform.ManifestPath(spec.Key.Model, spec.Key.Version))
		if err == nil {
			m, err = platform.DecodeManifest(bytes.NewReader(data))
		}
	} else {
		target, limit := requestPath(spec.Key, manifestName), manifestTimeout
		if source.Wait {
			target, limit = target+"?"+waitQuery, pieceWait+manifestTimeout
		}
		var data []byte
		data, _, _, err = f.get(ctx, spec.Peers[source.From], limit, maxManifestBytes, target)
		if err == nil {
			m, err = decodeManifest(data)
		}
	}
	if err != nil {
		return m, err
	}
	return m, spec.validateManifest(m)
}

// validateManifest returns an error if a manifest is not for this fetch, or contradicts
// what is known about the pieces. Digests can only be verified by the pieces.
func (s *FetchSpec) validateManifest(m platform.Manifest) error {
	switch {
	case m.Model != s.Key.Model || m.Version != s.Key.Version:
		return result.New(result.ManifestInvalid, "manifest of %s version %d is for %.80q version %d", s.Key.Model, s.Key.Version, m.Model, m.Version)
	case len(m.Digests) == 0 || s.Pieces > 0 && len(m.Digests) != s.Pieces:
		return result.New(result.ManifestInvalid, "manifest of %s version %d lists %d pieces, want %d", s.Key.Model, s.Key.Version, len(m.Digests), s.Pieces)
	case s.PieceBytes > 0 && m.PieceBytes > 0 && m.PieceBytes != s.PieceBytes:
		return result.New(result.ManifestInvalid, "manifest of %s version %d has pieces of %d bytes, want %d", s.Key.Model, s.Key.Version, m.PieceBytes, s.PieceBytes)
	default:
		return nil
	}
}

// requestPiece sends a request. It reports whether a piece was received, and the
// time from its first to its last byte.
func (f *Fetcher) requestPiece(ctx context.Context, spec *FetchSpec, r *Request) (received bool, transferTime time.Duration) {
	address, target := spec.Peers[r.From], pieceRequestPath(spec.Key, r)
	if r.From == Origin {
		address, target = spec.Origin, platform.PiecePath(spec.Key.Model, spec.Key.Version, r.Pieces.First())
	}
	if address == "" {
		return false, 0
	}
	limit := firstByteTimeout
	if r.Probe {
		limit = originProbeTimeout
	}
	m, ok := f.Store.Manifest(spec.Key)
	data, header, transferTime, err := f.get(ctx, address, limit, PieceLimit(m), target)
	if ok && r.From != Origin {
		f.recordPeerPieces(r.From, spec.Key, header.Get(headerHeld), len(m.Digests))
		f.recordAbsent(r.From, r.Wait && errors.Is(err, errNotAvailable) && header.Get(headerHeld) == "")
	}
	if err == nil {
		err = f.storePiece(spec.Key, r, header, data)
	}
	if result.CodeOf(err) == result.ChunkCorrupt && f.fetchAlternativeManifest(ctx, spec, r.From) {
		err = f.storePiece(spec.Key, r, header, data)
	}
	if errors.Is(err, errNotAvailable) {
		return false, 0
	}
	if ctx.Err() != nil {
		// The transfer was stopped by this agent; the source has not failed.
		return false, 0
	}
	if f.recordResult(r.From, err) {
		f.Log.Warn("piece source failed or recovered", "model", spec.Key.Model, "version", spec.Key.Version, "from", sourceName(r.From),
			"asked", r.Pieces.Count(), "code", int(result.CodeOf(err)), "error", err)
	}
	if err != nil {
		f.avoid(r.From)
		f.Scope.Counter("pieces_failed").Inc(1)
		return false, 0
	}
	f.Scope.Tagged(map[string]string{"from": sourceName(r.From)}).Counter("pieces_fetched").Inc(1)
	return true, transferTime
}

// fetchAlternativeManifest adds the digests of the manifest that the source of a piece
// sends now: not the piece but the first manifest may be corrupt. It reports whether that
// succeeded.
func (f *Fetcher) fetchAlternativeManifest(ctx context.Context, spec *FetchSpec, from string) bool {
	m, err := f.fetchManifestFrom(ctx, spec, Source{From: from})
	if err != nil {
		f.Log.Info("failed to fetch manifest again", "model", spec.Key.Model, "version", spec.Key.Version, "from", sourceName(from),
			"code", int(result.CodeOf(err)), "error", err)
		return false
	}
	f.Store.AddVersion(m)
	return true
}

// recordResult records whether a request to a source failed and reports whether
// that changed, so that a failing source is logged once until it works again.
func (f *Fetcher) recordResult(from string, err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	wasFailing := f.failing[from]
	if f.failing == nil {
		f.failing = map[string]bool{}
	}
	f.failing[from] = err != nil
	return wasFailing != (err != nil)
}

// storePiece verifies the piece in the answer to a request and stores it.
func (f *Fetcher) storePiece(k Key, r *Request, header http.Header, data []byte) error {
	piece := r.Pieces.First()
	if r.From != Origin {
		var err error
		if piece, err = strconv.Atoi(header.Get(headerPiece)); err != nil {
			return result.New(result.SourceFailed, "answer has no valid piece index: %v", err)
		}
	}
	if !f.Store.Put(k, piece, data) {
		return result.New(result.ChunkCorrupt, "data does not match the digest of piece %d", piece)
	}
	return nil
}

func sourceName(name string) string {
	if name == Origin {
		return "origin"
	}
	return name
}

func (f *Fetcher) avoid(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.avoidedUntil == nil {
		f.avoidedUntil = map[string]time.Time{}
	}
	if name != Origin {
		f.avoidedUntil[name] = f.Clock.Now().Add(avoidDuration)
	}
}

// recordAbsent records whether an agent does not know the requested version. An
// agent that does not know it for absentAfter is avoided.
func (f *Fetcher) recordAbsent(name string, absent bool) {
	f.mu.Lock()
	since, recorded := f.absentSince[name]
	switch {
	case !absent:
		delete(f.absentSince, name)
	case !recorded:
		if f.absentSince == nil {
			f.absentSince = map[string]time.Time{}
		}
		f.absentSince[name] = f.Clock.Now()
	}
	f.mu.Unlock()
	if absent && recorded && f.Clock.Since(since) >= absentAfter {
		f.avoid(name)
	}
}

// peerState returns the known state of the other agents.
func (f *Fetcher) peerState(k Key) PeerState {
	return PeerState{Failed: f.isAvoided, Holds: func(name string, piece int) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.peerPiecesKey == k && f.peerPieces[name].Has(piece)
	}}
}

// recordPeerPieces records the pieces that an agent reports as held. Malformed
// headers are ignored.
func (f *Fetcher) recordPeerPieces(name string, k Key, header string, pieces int) {
	data, err := hex.DecodeString(header)
	if err != nil || len(data) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peerPiecesKey != k {
		f.peerPieces, f.peerPiecesKey = map[string]planner.Bits{}, k
	}
	f.peerPieces[name] = planner.BitsFrom(data, pieces)
}

// isAvoided reports whether an agent failed recently. The origin is never
// avoided.
func (f *Fetcher) isAvoided(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Clock.Now().Before(f.avoidedUntil[name])
}

// errNotAvailable means that an agent does not hold a piece yet or can't send it
// soon.
var errNotAvailable = errors.New("piece is not available from this agent now")

// get sends a GET request and returns the body, the headers and the time from
// the headers to the end of the body. It fails if the body exceeds maxBytes.
func (f *Fetcher) get(ctx context.Context, address string, limit time.Duration, maxBytes int64, target string) ([]byte, http.Header, time.Duration, error) {
	deadline := time.Now().Add(limit)
	ex, err := f.Client.Do(ctx, address, &backend.Request{Method: http.MethodGet, Target: target, Host: address, HeadDeadline: deadline})
	if err != nil {
		return nil, nil, 0, result.New(result.SourceFailed, "%v", err)
	}
	defer ex.Close()
	headerTime := f.Clock.Now()
	// Pieces stay in memory, so the buffer is allocated at the body's length.
	data := make([]byte, 0, min(max(ex.Length, readSize), maxBytes+1))
	for {
		ex.SetReadDeadline(time.Now().Add(stallTimeout))
		n := len(data)
		if n == cap(data) {
			data = slices.Grow(data, readSize)
		}
		read, err := ex.Read(data[n:cap(data)])
		data = data[:n+read]
		switch {
		case err == io.EOF && ex.Status == http.StatusOK: //nolint:errorlint // Read returns io.EOF itself
			return data, ex.Header, f.Clock.Since(headerTime), nil
		case err == io.EOF && (ex.Status == http.StatusNotFound || ex.Status == http.StatusServiceUnavailable): //nolint:errorlint // Read returns io.EOF itself
			return nil, ex.Header, 0, errNotAvailable
		case err == io.EOF: //nolint:errorlint // Read returns io.EOF itself
			return nil, nil, 0, result.New(result.SourceFailed, "unexpected status %d", ex.Status)
		case err != nil || int64(len(data)) > maxBytes:
			return nil, nil, 0, result.New(result.SourceFailed, "read failed or body too large after %d bytes: %v", len(data), err)
		}
	}
}
