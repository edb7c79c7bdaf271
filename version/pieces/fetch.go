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
	// attemptLimit bounds the wait for the first bytes of a piece: until its turn
	// has come at the other agent, and a crossing of a narrow link.
	attemptLimit = holdFor + 900*time.Millisecond
	// stallLimit bounds the wait for further bytes.
	stallLimit = 1500 * time.Millisecond
	// readSize is how much is read at once.
	readSize = 8 << 10
	// manifestLimit bounds a request for a manifest, which is short, beyond the
	// time in which the other agent waits for it.
	manifestLimit = 300 * time.Millisecond
	// originManifestLimit is the same for the origin, whose link may be busy.
	originManifestLimit = 800 * time.Millisecond
	// manifestPiece is the piece whose sources are those of the manifest.
	manifestPiece = 0
	// avoidFor is how long an agent that failed is not asked.
	avoidFor = 4 * time.Second
	// absentAfter is how long an agent may know nothing of a version before it
	// counts as one that takes no part: news of it and the manifest take less.
	absentAfter = time.Second
)

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
	// absent holds since when agents have known nothing of the version sought.
	absent map[string]time.Time
	// broken holds the sources that failed last time.
	broken map[string]bool
	// held is what others were known to hold of the version heldOf.
	held   map[string]planner.Bits
	heldOf Key
	// since is when the manifest of the version sought was sought first.
	since  time.Time
	sought Key
	// sched is the schedule of the version schedFor, which was begun at schedSince.
	sched      *schedule
	schedFor   Key
	schedSince time.Time
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
	// OriginTime is the time in which the version leaves the origin; 0 is not
	// known.
	OriginTime time.Duration
	// Pieces is the number of pieces; 0 is not known.
	Pieces int
	Home   string
	Nodes  []planner.Node
	Peers  map[string]string
	// Holders names the agents whose engines hold the version already.
	Holders map[string]bool
}

// currentPlan returns the plan for an order; a new one only where the agents,
// what they hold, or the origin have changed.
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
	key := fmt.Sprint(o.Key, o.Home, o.OriginTime, o.Pieces, names)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.planFor != key {
		f.plan, f.planFor = NewPlan(f.Self, o.Nodes, o.Home, o.Key, o.Holders, o.OriginTime, o.Pieces), key
	}
	return f.plan
}

// Fetch brings in every piece that is missing. It returns when all are held, or
// ctx ends. current returns the order as it stands: agents come and go. It is
// called by one goroutine; an order that it has returned is not changed.
func (f *Fetcher) Fetch(ctx context.Context, current func() *Order) error {
	started := f.Clock.Now()
	o := current()
	if err := f.FetchManifest(ctx, o); err != nil {
		return err
	}
	f.exchange(ctx, current)
	// The origin takes few connections: others need them now.
	f.Client.Sweep(f.Clock.Now(), func(address string) bool { return address != o.Origin })
	missing := len(f.Store.Missing(o.Key))
	f.Log.Info("pieces fetched", "model", o.Key.Model, "version", o.Key.Version, "missing", missing, "took", f.Clock.Since(started))
	if missing > 0 {
		return result.New(result.ChunkMissing, "%d pieces are missing: %v", missing, ctx.Err())
	}
	return nil
}

// exchange asks for pieces until none is missing or ctx ends.
func (f *Fetcher) exchange(ctx context.Context, current func() *Order) {
	type answer struct {
		ask  *Ask
		got  bool
		took time.Duration
	}
	o := current()
	sched, started := f.scheduleOf(o)
	plan := f.currentPlan(o)
	answers := make(chan answer, maxAsks)
	open := 0
	for ctx.Err() == nil {
		if now := current(); now != o {
			o, plan = now, f.currentPlan(now)
		}
		missing := f.Store.Missing(o.Key)
		if len(missing) == 0 {
			break
		}
		if ask := sched.next(f.Clock.Since(started), plan, missing, f.known(o.Key)); ask != nil {
			open++
			go func(o *Order) {
				got, took := f.ask(ctx, o, ask)
				answers <- answer{ask, got, took}
			}(o)
			continue
		}
		select {
		case <-ctx.Done():
		case a := <-answers:
			open--
			sched.done(f.Clock.Since(started), a.ask, a.got, a.took)
		case <-f.Clock.After(retryPause):
		}
	}
	for ; open > 0; open-- {
		<-answers
	}
	sched.drop()
}

// scheduleOf returns the schedule of a version, which goes on where the last
// fetch of it ended, and when that began.
func (f *Fetcher) scheduleOf(o *Order) (*schedule, time.Time) {
	m, _ := f.Store.Manifest(o.Key)
	asks := f.currentPlan(o).originAsks(o.OriginConns)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sched == nil || f.schedFor != o.Key {
		f.sched, f.schedFor, f.schedSince = newSchedule(len(m.Digests), asks), o.Key, f.Clock.Now()
	}
	return f.sched, f.schedSince
}

// FetchManifest brings in the manifest of a version, once: it is sought like a
// piece, so that a large fleet does not turn to the origin at once.
func (f *Fetcher) FetchManifest(ctx context.Context, o *Order) error {
	if _, ok := f.Store.Manifest(o.Key); ok {
		return nil
	}
	elapsed := f.Clock.Since(f.soughtSince(o.Key))
	steps := f.currentPlan(o).Steps(manifestPiece, f.known(o.Key))
	err := errNotHad
	for _, step := range steps {
		if elapsed < step.After || f.avoids(step.From) || ctx.Err() != nil {
			continue
		}
		var m platform.Manifest
		if m, err = f.manifestFrom(ctx, o, step); err == nil {
			return f.begin(o, m)
		}
		switch {
		case step.From == Origin || ctx.Err() != nil:
		case errors.Is(err, errNotHad):
			f.noteAbsent(step.From, step.Wait)
		default:
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
		f.sought, f.since, f.absent = k, f.Clock.Now(), map[string]time.Time{}
	}
	return f.since
}

func (f *Fetcher) manifestFrom(ctx context.Context, o *Order, step Step) (platform.Manifest, error) {
	if step.From == Origin {
		data, _, _, err := f.get(ctx, o.Origin, originManifestLimit, platform.ManifestPath(o.Key.Model, o.Key.Version))
		if err != nil {
			return platform.Manifest{}, err
		}
		return platform.DecodeManifest(bytes.NewReader(data))
	}
	target, limit := path(o.Key, manifestName), manifestLimit
	if step.Wait {
		target, limit = target+"?"+waitQuery, holdFor+manifestLimit
	}
	data, _, _, err := f.get(ctx, o.Peers[step.From], limit, target)
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

// ask makes a request and reports whether it brought a piece, and the time from
// its first to its last byte.
func (f *Fetcher) ask(ctx context.Context, o *Order, a *Ask) (got bool, took time.Duration) {
	address, target := o.Peers[a.From], askPath(o.Key, a)
	if a.From == Origin {
		address, target = o.Origin, platform.PiecePath(o.Key.Model, o.Key.Version, a.Pieces.First())
	}
	if address == "" {
		return false, 0
	}
	data, header, took, err := f.get(ctx, address, attemptLimit, target)
	if m, ok := f.Store.Manifest(o.Key); ok && a.From != Origin {
		f.noteHeld(a.From, o.Key, header.Get(headerHeld), len(m.Digests))
		f.noteAbsent(a.From, a.Wait && errors.Is(err, errNotHad) && header.Get(headerHeld) == "")
	}
	if err == nil {
		err = f.take(o.Key, a, header, data)
	}
	if errors.Is(err, errNotHad) {
		return false, 0
	}
	if ctx.Err() != nil {
		// The transfer was ended here; that tells nothing of the source.
		return false, 0
	}
	if f.note(a.From, err) {
		f.Log.Warn("source of pieces changed", "model", o.Key.Model, "version", o.Key.Version, "from", sourceName(a.From),
			"asked", a.Pieces.Count(), "code", int(result.CodeOf(err)), "error", err)
	}
	if err != nil {
		f.avoid(a.From)
		f.Scope.Counter("pieces_failed").Inc(1)
		return false, 0
	}
	f.Scope.Tagged(map[string]string{"from": sourceName(a.From)}).Counter("pieces_fetched").Inc(1)
	return true, took
}

// note takes in whether a source gave a piece, and reports whether that is news:
// one that fails is told of once, until it works again.
func (f *Fetcher) note(from string, err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.broken[from]
	if f.broken == nil {
		f.broken = map[string]bool{}
	}
	f.broken[from] = err != nil
	return was != (err != nil)
}

// take verifies a piece that answers a request and stores it.
func (f *Fetcher) take(k Key, a *Ask, header http.Header, data []byte) error {
	piece := a.Pieces.First()
	if a.From != Origin {
		var err error
		if piece, err = strconv.Atoi(header.Get(headerPiece)); err != nil {
			return result.New(result.SourceFailed, "the answer names no piece: %v", err)
		}
	}
	if !f.Store.Put(k, piece, data) {
		return result.New(result.ChunkCorrupt, "the bytes do not have the digest of piece %d", piece)
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
	if f.avoided == nil {
		f.avoided = map[string]time.Time{}
	}
	if name != Origin {
		f.avoided[name] = f.Clock.Now().Add(avoidFor)
	}
}

// noteAbsent takes in whether an agent knows nothing of the version sought. One
// that does so for long takes no part in it.
func (f *Fetcher) noteAbsent(name string, absent bool) {
	f.mu.Lock()
	since, was := f.absent[name]
	switch {
	case !absent:
		delete(f.absent, name)
	case !was:
		if f.absent == nil {
			f.absent = map[string]time.Time{}
		}
		f.absent[name] = f.Clock.Now()
	}
	f.mu.Unlock()
	if absent && was && f.Clock.Since(since) >= absentAfter {
		f.avoid(name)
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

// get asks an address for a body and returns it with the answer's headers, and the
// time that the body took after them.
func (f *Fetcher) get(ctx context.Context, address string, limit time.Duration, target string) ([]byte, http.Header, time.Duration, error) {
	by := time.Now().Add(limit)
	ex, err := f.Client.Do(ctx, address, &backend.Request{Method: http.MethodGet, Target: target, Host: address, HeadBy: by})
	if err != nil {
		return nil, nil, 0, result.New(result.SourceFailed, "%v", err)
	}
	defer ex.Close()
	head := f.Clock.Now()
	// Pieces are kept: their memory is of their size.
	data := make([]byte, 0, min(max(ex.Length, readSize), maxPiece))
	for {
		ex.ReadBy(time.Now().Add(stallLimit))
		n := len(data)
		if n == cap(data) {
			data = slices.Grow(data, readSize)
		}
		got, err := ex.Read(data[n:cap(data)])
		data = data[:n+got]
		switch {
		case err == io.EOF && ex.Status == http.StatusOK: //nolint:errorlint // Read returns io.EOF itself
			return data, ex.Header, f.Clock.Since(head), nil
		case err == io.EOF && (ex.Status == http.StatusNotFound || ex.Status == http.StatusServiceUnavailable): //nolint:errorlint // Read returns io.EOF itself
			return nil, ex.Header, 0, errNotHad
		case err == io.EOF: //nolint:errorlint // Read returns io.EOF itself
			return nil, nil, 0, result.New(result.SourceFailed, "status %d", ex.Status)
		case err != nil || len(data) > maxPiece:
			return nil, nil, 0, result.New(result.SourceFailed, "read of %d bytes: %v", len(data), err)
		}
	}
}

// maxPiece bounds what is read as a piece or manifest.
const maxPiece = 16 << 20
