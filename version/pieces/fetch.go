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
	"sync/atomic"
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
	// attemptLimit bounds the wait for the first bytes of a piece: until it has
	// arrived at the other agent, and those asked for before have gone out.
	attemptLimit = holdFor + 700*time.Millisecond
	// stallLimit bounds the wait for further bytes.
	stallLimit = 1500 * time.Millisecond
	// readSize is how much is read at once.
	readSize = 8 << 10
	// manifestLimit bounds a request for a manifest, which is short, where it is
	// not waited for.
	manifestLimit = 800 * time.Millisecond
	// manifestPiece is the piece whose sources are those of the manifest.
	manifestPiece = 0
	// avoidFor is how long an agent that failed is not asked.
	avoidFor = 4 * time.Second
	// retryPause is the wait after every source of a piece failed.
	retryPause = 150 * time.Millisecond
)

// laneWorkers is how many requests are under way at once: enough to fill a
// link while answers travel, few enough to share the origin's connections, and
// not to fill the queue of a narrow link before live requests.
var laneWorkers = map[Lane]int{FromOrigin: 2, FromFar: 2, FromNear: 4}

// Fetcher brings the pieces of a version into a store.
type Fetcher struct {
	Self   planner.Node
	Store  *Store
	Client *backend.Client
	Clock  clockwork.Clock
	Log    *slog.Logger
	Scope  tally.Scope

	// mu guards the fields below.
	mu sync.Mutex
	// avoided holds when agents that failed may be asked again.
	avoided map[string]time.Time
	// held is what others were known to hold of the version heldOf.
	held   map[string]planner.Bits
	heldOf Key
	// since is when the manifest of the version sought was sought first.
	since  time.Time
	sought Key
	// plan is the last plan, made for nodes and holders as planFor tells.
	plan    *Plan
	planFor string
}

// Order is what a fetch needs to know. Peers maps the names of agents to the
// addresses that they serve pieces at.
type Order struct {
	Key    Key
	Origin string
	// OriginConns bounds the connections of all agents to the origin; 0 is not
	// told.
	OriginConns int
	Home        string
	Nodes       []planner.Node
	Peers       map[string]string
	// Holders names the agents whose engines hold the version already.
	Holders map[string]bool
}

// currentPlan returns the plan for an order; a new one only where the agents or
// what they hold have changed.
func (f *Fetcher) currentPlan(o *Order) *Plan {
	names := make([]string, 0, len(o.Nodes))
	for _, n := range o.Nodes {
		name := n.Name
		if o.Holders[name] {
			name += "+"
		}
		names = append(names, name)
	}
	slices.Sort(names)
	key := fmt.Sprint(o.Key, o.Home, names)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.planFor != key {
		f.plan, f.planFor = NewPlan(f.Self, o.Nodes, o.Home, o.Key, o.Holders), key
	}
	return f.plan
}

// Fetch brings in every piece that is missing. It returns when all are held, or
// ctx ends. current returns the order as it stands: agents come and go.
func (f *Fetcher) Fetch(ctx context.Context, current func() *Order) error {
	started := f.Clock.Now()
	o := current()
	if err := f.FetchManifest(ctx, o); err != nil {
		return err
	}
	plan := f.currentPlan(o)
	lanes := map[Lane][]int{}
	for _, piece := range plan.Order(f.Store.Missing(o.Key)) {
		_, lane := plan.Steps(piece, f.known(o.Key))
		lanes[lane] = append(lanes[lane], piece)
	}
	var wg sync.WaitGroup
	for lane, pieces := range lanes {
		work := newWork(pieces, started)
		for range f.workers(lane, o, plan) {
			wg.Go(func() { f.runLane(ctx, work, current) })
		}
	}
	wg.Wait()
	// The origin takes few connections: others need them now.
	f.Client.Sweep(f.Clock.Now(), func(address string) bool { return address != o.Origin })
	missing := len(f.Store.Missing(o.Key))
	f.Log.Info("pieces fetched", "model", o.Key.Model, "version", o.Key.Version, "missing", missing, "took", f.Clock.Since(started))
	if missing > 0 {
		return result.New(result.ChunkMissing, "%d pieces are missing: %v", missing, ctx.Err())
	}
	return nil
}

// FetchManifest brings in the manifest of a version, once: it is sought like a
// piece, so that a large fleet does not turn to the origin at once.
func (f *Fetcher) FetchManifest(ctx context.Context, o *Order) error {
	if _, ok := f.Store.Manifest(o.Key); ok {
		return nil
	}
	elapsed := f.Clock.Since(f.soughtSince(o.Key))
	steps, _ := f.currentPlan(o).Steps(manifestPiece, f.known(o.Key))
	err := errNotHad
	for _, step := range steps {
		if elapsed < step.After || f.avoids(step.From) || ctx.Err() != nil {
			continue
		}
		var m platform.Manifest
		if m, err = f.manifestFrom(ctx, o, step); err == nil {
			return f.begin(o, m)
		}
		if step.From != Origin && !errors.Is(err, errNotHad) && ctx.Err() == nil {
			f.avoid(step.From)
		}
	}
	return err
}

// soughtSince returns when the manifest of a version was sought first.
func (f *Fetcher) soughtSince(k Key) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sought != k {
		f.sought, f.since = k, f.Clock.Now()
	}
	return f.since
}

func (f *Fetcher) manifestFrom(ctx context.Context, o *Order, step Step) (platform.Manifest, error) {
	if step.From == Origin {
		data, _, err := f.get(ctx, o.Origin, manifestLimit, platform.ManifestPath(o.Key.Model, o.Key.Version))
		if err != nil {
			return platform.Manifest{}, err
		}
		return platform.DecodeManifest(bytes.NewReader(data))
	}
	target, limit := path(o.Key, manifestName), manifestLimit
	if step.Wait {
		target, limit = target+"?"+waitQuery, attemptLimit
	}
	data, _, err := f.get(ctx, o.Peers[step.From], limit, target)
	if err != nil {
		return platform.Manifest{}, err
	}
	return decodeManifest(data)
}

func (f *Fetcher) begin(o *Order, m platform.Manifest) error {
	if m.Model != o.Key.Model || m.Version != o.Key.Version {
		return result.New(result.ManifestInvalid, "the manifest is of %s version %d", m.Model, m.Version)
	}
	f.Store.Begin(m)
	return nil
}

// workers returns how many requests of a lane are under way at once: at the
// origin half of its connections, shared by the agents of its region.
func (f *Fetcher) workers(lane Lane, o *Order, plan *Plan) int {
	n := laneWorkers[lane]
	if lane == FromOrigin && o.OriginConns > 0 {
		n = max(1, min(n, o.OriginConns/2/max(plan.homeAgents(), 1)))
	}
	return n
}

// work holds the pieces of a lane that are still to be had. A piece that could
// not be had goes to the end, so that it does not hold up the others.
type work struct {
	queue chan wanted
	left  atomic.Int64
}

type wanted struct {
	piece int
	since time.Time
}

func newWork(pieces []int, now time.Time) *work {
	w := &work{queue: make(chan wanted, len(pieces))}
	for _, piece := range pieces {
		w.queue <- wanted{piece: piece, since: now}
	}
	w.left.Store(int64(len(pieces)))
	return w
}

// runLane fetches pieces until none is left or ctx ends.
func (f *Fetcher) runLane(ctx context.Context, w *work, current func() *Order) {
	for ctx.Err() == nil && w.left.Load() > 0 {
		select {
		case next := <-w.queue:
			if f.tryPiece(ctx, current(), next) {
				w.left.Add(-1)
				continue
			}
			w.queue <- next
		default:
		}
		select {
		case <-ctx.Done():
		case <-f.Clock.After(retryPause):
		}
	}
}

// tryPiece asks the sources of a piece in turn until one gives it.
func (f *Fetcher) tryPiece(ctx context.Context, o *Order, next wanted) bool {
	steps, _ := f.currentPlan(o).Steps(next.piece, f.known(o.Key))
	for _, step := range steps {
		if f.Store.Piece(o.Key, next.piece) != nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		if f.Clock.Since(next.since) < step.After || f.avoids(step.From) {
			continue
		}
		if f.fetchFrom(ctx, o, step, next.piece) {
			return true
		}
	}
	return false
}

func (f *Fetcher) fetchFrom(ctx context.Context, o *Order, step Step, piece int) bool {
	name := step.From
	address, target := o.Peers[name], path(o.Key, strconv.Itoa(piece))
	if step.Wait {
		target += "?" + waitQuery
	}
	if name == Origin {
		address, target = o.Origin, platform.PiecePath(o.Key.Model, o.Key.Version, piece)
	}
	if address == "" {
		return false
	}
	data, header, err := f.get(ctx, address, attemptLimit, target)
	if m, ok := f.Store.Manifest(o.Key); ok && name != Origin {
		f.noteHeld(name, o.Key, header.Get(headerHeld), len(m.Digests))
	}
	if err == nil && !f.Store.Put(o.Key, piece, data) {
		err = result.New(result.ChunkCorrupt, "the bytes do not have the piece's digest")
	}
	if errors.Is(err, errNotHad) {
		if step.Wait && header.Get(headerHeld) == "" {
			// The agent takes no part in this version.
			f.avoid(name)
		}
		return false
	}
	if ctx.Err() != nil {
		// The transfer was ended here; that tells nothing of the source.
		return false
	}
	if err != nil {
		f.avoid(name)
		f.Scope.Counter("pieces_failed").Inc(1)
		f.Log.Warn("piece not had", "model", o.Key.Model, "version", o.Key.Version, "piece", piece, "from", sourceName(name),
			"code", int(result.CodeOf(err)), "error", err)
		return false
	}
	f.Scope.Tagged(map[string]string{"from": sourceName(name)}).Counter("pieces_fetched").Inc(1)
	return true
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
	if f.avoided == nil {
		f.avoided = map[string]time.Time{}
	}
	if name != Origin {
		f.avoided[name] = f.Clock.Now().Add(avoidFor)
	}
}

// known returns what was learned of the other agents.
func (f *Fetcher) known(k Key) Known {
	return Known{Failed: f.avoids, Has: func(name string, piece int) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.heldOf == k && f.held[name].Has(piece)
	}}
}

// noteHeld takes in what an agent told of what it holds.
func (f *Fetcher) noteHeld(name string, k Key, header string, pieces int) {
	data, err := hex.DecodeString(header)
	if err != nil || len(data) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heldOf != k {
		f.held, f.heldOf = map[string]planner.Bits{}, k
	}
	f.held[name] = planner.BitsFrom(data, pieces)
}

// avoids reports whether an agent failed lately. The origin is always asked.
func (f *Fetcher) avoids(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Clock.Now().Before(f.avoided[name])
}

// errNotHad tells that an agent does not have a piece yet, or can't send it soon.
var errNotHad = errors.New("the agent does not give the piece now")

// get asks an address for a body and returns it with the answer's headers.
func (f *Fetcher) get(ctx context.Context, address string, limit time.Duration, target string) ([]byte, http.Header, error) {
	by := time.Now().Add(limit)
	ex, err := f.Client.Do(ctx, address, &backend.Request{Method: http.MethodGet, Target: target, Host: address, HeadBy: by})
	if err != nil {
		return nil, nil, result.New(result.SourceFailed, "%v", err)
	}
	defer ex.Close()
	var data []byte
	for {
		ex.ReadBy(time.Now().Add(stallLimit))
		n := len(data)
		data = slices.Grow(data, readSize)[:n+readSize]
		got, err := ex.Read(data[n:])
		data = data[:n+got]
		switch {
		case err == io.EOF && ex.Status == http.StatusOK: //nolint:errorlint // Read returns io.EOF itself
			return data, ex.Header, nil
		case err == io.EOF && (ex.Status == http.StatusNotFound || ex.Status == http.StatusServiceUnavailable): //nolint:errorlint // Read returns io.EOF itself
			return nil, ex.Header, errNotHad
		case err == io.EOF: //nolint:errorlint // Read returns io.EOF itself
			return nil, nil, result.New(result.SourceFailed, "status %d", ex.Status)
		case err != nil || len(data) > maxPiece:
			return nil, nil, result.New(result.SourceFailed, "read of %d bytes: %v", len(data), err)
		}
	}
}

// maxPiece bounds what is read as a piece or manifest.
const maxPiece = 16 << 20
