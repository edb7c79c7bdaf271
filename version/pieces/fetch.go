package pieces

import (
	"bytes"
	"context"
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
	// attemptLimit bounds the wait for the first bytes of a piece: until it has
	// arrived at the other agent, and those asked for before have gone out.
	attemptLimit = 4 * time.Second
	// stallLimit bounds the wait for further bytes.
	stallLimit = 1500 * time.Millisecond
	// readSize is how much is read at once.
	readSize = 8 << 10
	// manifestLimit bounds a request for a manifest, which is short and not
	// waited for.
	manifestLimit = 800 * time.Millisecond
	// manifestPeers is how many agents are asked for a manifest where the origin
	// does not give it.
	manifestPeers = 3
	// avoidFor is how long an agent that failed is asked last.
	avoidFor = 3 * time.Second
	// retryPause is the wait after every source of a piece failed.
	retryPause = 150 * time.Millisecond
)

// laneWorkers is how many requests are under way at once: enough to fill a
// link while answers travel, few enough to share the origin's connections.
var laneWorkers = map[Lane]int{FromOrigin: 2, FromFar: 3, FromNear: 6}

// Fetcher brings the pieces of a version into a store.
type Fetcher struct {
	Self   planner.Node
	Store  *Store
	Client *backend.Client
	Clock  clockwork.Clock
	Log    *slog.Logger
	Scope  tally.Scope

	// mu guards avoided: when agents that failed may be asked first again.
	mu      sync.Mutex
	avoided map[string]time.Time
}

// Order is what a fetch needs to know. Peers maps the names of agents to the
// addresses that they serve pieces at.
type Order struct {
	Key    Key
	Origin string
	Home   string
	Nodes  []planner.Node
	Peers  map[string]string
	// Holders names the agents whose engines hold the version already.
	Holders map[string]bool
}

// Fetch brings in every piece that is missing. It returns when all are held, or
// ctx ends.
func (f *Fetcher) Fetch(ctx context.Context, o *Order) error {
	started := f.Clock.Now()
	if err := f.FetchManifest(ctx, o); err != nil {
		return err
	}
	plan := NewPlan(f.Self, o.Nodes, o.Home, o.Key, o.Holders)
	lanes := map[Lane][]int{}
	for _, piece := range plan.Order(f.Store.Missing(o.Key)) {
		_, lane := plan.Sources(piece)
		lanes[lane] = append(lanes[lane], piece)
	}
	var wg sync.WaitGroup
	for lane, pieces := range lanes {
		work := make(chan int, len(pieces))
		for _, p := range pieces {
			work <- p
		}
		close(work)
		for range laneWorkers[lane] {
			wg.Go(func() {
				for piece := range work {
					f.fetchPiece(ctx, o, plan, piece)
				}
			})
		}
	}
	wg.Wait()
	missing := len(f.Store.Missing(o.Key))
	f.Log.Info("pieces fetched", "model", o.Key.Model, "version", o.Key.Version, "missing", missing, "took", f.Clock.Since(started))
	if missing > 0 {
		return errors.CombineErrors(ctx.Err(), result.New(result.ChunkMissing, "%d pieces are missing", missing))
	}
	return nil
}

// FetchManifest brings in the manifest of a version. It asks the origin first: its answer is authoritative and short.
func (f *Fetcher) FetchManifest(ctx context.Context, o *Order) error {
	if _, ok := f.Store.Manifest(o.Key); ok {
		return nil
	}
	data, err := f.get(ctx, o.Origin, manifestLimit, platform.ManifestPath(o.Key.Model, o.Key.Version))
	if err == nil {
		m, err := platform.DecodeManifest(bytes.NewReader(data))
		return f.begin(o, m, err)
	}
	for _, name := range f.manifestSources(o) {
		if ctx.Err() != nil {
			break
		}
		if data, peerErr := f.get(ctx, o.Peers[name], manifestLimit, path(o.Key, manifestName)); peerErr == nil {
			m, err := decodeManifest(data)
			return f.begin(o, m, err)
		}
	}
	return err
}

// manifestSources returns some other agents, another choice each time.
func (f *Fetcher) manifestSources(o *Order) []string {
	var names []string
	for name := range o.Peers { // in random order
		if name != f.Self.Name && len(names) < manifestPeers {
			names = append(names, name)
		}
	}
	return names
}

func (f *Fetcher) begin(o *Order, m platform.Manifest, err error) error {
	if err == nil && (m.Model != o.Key.Model || m.Version != o.Key.Version) {
		err = result.New(result.ManifestInvalid, "the manifest is of %s version %d", m.Model, m.Version)
	}
	if err != nil {
		return err
	}
	f.Store.Begin(m)
	return nil
}

// fetchPiece asks the sources of a piece in turn until one gives it.
func (f *Fetcher) fetchPiece(ctx context.Context, o *Order, plan *Plan, piece int) {
	sources, _ := plan.Sources(piece)
	for ctx.Err() == nil {
		for _, name := range f.preferred(sources) {
			if f.Store.Piece(o.Key, piece) != nil || ctx.Err() != nil {
				return
			}
			if f.fetchFrom(ctx, o, name, piece) {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-f.Clock.After(retryPause):
		}
	}
}

func (f *Fetcher) fetchFrom(ctx context.Context, o *Order, name string, piece int) bool {
	address, target := o.Peers[name], path(o.Key, strconv.Itoa(piece))
	if name == Origin {
		address, target = o.Origin, platform.PiecePath(o.Key.Model, o.Key.Version, piece)
	}
	if address == "" {
		return false
	}
	data, err := f.get(ctx, address, attemptLimit, target)
	if err == nil && !f.Store.Put(o.Key, piece, data) {
		err = result.New(result.ChunkCorrupt, "the bytes do not have the piece's digest")
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

// preferred puts the agents that failed lately behind the others, and leaves
// the origin last.
func (f *Fetcher) preferred(sources []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	order := slices.Clone(sources)
	slices.SortStableFunc(order, func(a, b string) int {
		return avoidRank(f.avoided[a], now) - avoidRank(f.avoided[b], now)
	})
	return order
}

func avoidRank(until, now time.Time) int {
	if now.Before(until) {
		return 1
	}
	return 0
}

// get asks an address for a body.
func (f *Fetcher) get(ctx context.Context, address string, limit time.Duration, target string) ([]byte, error) {
	by := time.Now().Add(limit)
	ex, err := f.Client.Do(ctx, address, &backend.Request{Method: http.MethodGet, Target: target, Host: address, HeadBy: by})
	if err != nil {
		return nil, result.New(result.SourceFailed, "%v", err)
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
			return data, nil
		case err == io.EOF: //nolint:errorlint // Read returns io.EOF itself
			return nil, result.New(result.SourceFailed, "status %d", ex.Status)
		case err != nil || len(data) > maxPiece:
			return nil, result.New(result.SourceFailed, "read of %d bytes: %v", len(data), err)
		}
	}
}

// maxPiece bounds what is read as a piece or manifest.
const maxPiece = 16 << 20
