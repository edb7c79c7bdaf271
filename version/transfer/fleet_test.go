package transfer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/version/manifest"
	"github.com/waxwingpost/waxwingpost/version/planner"
	"github.com/waxwingpost/waxwingpost/version/store"
)

const (
	testSeed      = 20261203
	testChunkSize = 16 << 10
	testTimeout   = 2 * time.Minute
)

func testSettings() planner.Settings {
	s := planner.DefaultSettings()
	s.Demotion = 50 * time.Millisecond
	s.MaxDemotion = 200 * time.Millisecond
	s.BusyPause = 20 * time.Millisecond
	s.SuspectAfter = time.Second
	s.StealAfter = time.Second
	s.FetcherChangePause = 20 * time.Millisecond
	s.StealPause = 200 * time.Millisecond
	s.HomeTimeout = 2 * time.Second
	s.HedgeAfter = time.Second
	return s
}

// origin serves versions by path and counts what it sends.
type origin struct {
	*httptest.Server
	mu       sync.Mutex
	content  map[string][]byte
	requests map[string]int // by Range header
	sent     atomic.Int64
	// hook may answer a request instead of the origin.
	hook func(w http.ResponseWriter, r *http.Request) bool
}

func newOrigin(t *testing.T) *origin {
	o := &origin{content: map[string][]byte{}, requests: map[string]int{}}
	o.Server = httptest.NewServer(o)
	t.Cleanup(o.Close)
	return o
}

func (o *origin) setHook(h hook) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hook = h
}

func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimSuffix(strings.Trim(r.URL.Path, "/"), "/"+wire.SourceContent)
	o.mu.Lock()
	content, hook := o.content[path], o.hook
	o.requests[r.Header.Get("Range")]++
	o.mu.Unlock()
	if hook != nil && hook(w, r) {
		return
	}
	counted := &countingWriter{ResponseWriter: w, n: &o.sent}
	http.ServeContent(counted, r, "", time.Time{}, bytes.NewReader(content))
}

type countingWriter struct {
	http.ResponseWriter
	n *atomic.Int64
}

func (c *countingWriter) Write(p []byte) (int, error) {
	// Count first: the receiver may act on the bytes before Write returns.
	c.n.Add(int64(len(p)))
	return c.ResponseWriter.Write(p)
}

// fleet is a set of agents in one process.
type fleet struct {
	t       *testing.T
	origin  *origin
	agents  []*agent
	view    wire.AgentView
	content map[string][]byte
}

type agent struct {
	*Manager
	peer   wire.Peer
	server *httptest.Server
	dir    string
	// hook may answer a peer's request instead of the manager.
	hook atomic.Pointer[func(w http.ResponseWriter, r *http.Request) bool]
}

// newFleet starts n agents distributed over the regions, with two zones each.
func newFleet(t *testing.T, n, regions int) *fleet {
	f := &fleet{t: t, origin: newOrigin(t), content: map[string][]byte{}}
	for i := range n {
		region := fmt.Sprintf("r%d", i%regions)
		f.addAgent(fmt.Sprintf("a%02d", i), fmt.Sprintf("%s-z%d", region, i/regions%2), region)
	}
	f.view = wire.AgentView{
		Revision:  1,
		Sources:   []wire.Source{{Name: "origin", Kind: config.SourceOrigin, Address: f.origin.Listener.Addr().String()}},
		Objective: config.ObjectiveOriginBytes,
		Paths:     map[string]string{},
	}
	return f
}

func (f *fleet) addAgent(name, zone, region string) {
	a := &agent{dir: f.t.TempDir()}
	a.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hook := a.hook.Load(); hook != nil && (*hook)(w, r) {
			return
		}
		a.Manager.Handler().ServeHTTP(w, r)
	}))
	a.peer = wire.Peer{Name: name, Zone: zone, Region: region, Address: a.server.Listener.Addr().String()}
	a.Manager = f.newManager(a)
	a.server.Start()
	f.t.Cleanup(func() {
		a.server.CloseClientConnections()
		a.server.Close()
	})
	f.agents = append(f.agents, a)
}

func (f *fleet) newManager(a *agent) *Manager {
	st, err := store.Open(store.Config{Dir: a.dir})
	if err != nil {
		f.t.Fatal(err)
	}
	rt := &http.Transport{}
	f.t.Cleanup(rt.CloseIdleConnections)
	cfg := Config{Self: a.peer, Planner: testSettings(), StallTimeout: time.Second, HaveHold: 300 * time.Millisecond, HaveInterval: 5 * time.Millisecond, LiveHold: time.Nanosecond}
	rnd := rand.New(rand.NewPCG(testSeed, uint64(len(f.agents))))
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return New(cfg, st, rt, link.Authenticator{Key: "k"}, clockwork.NewRealClock(), rnd, log, tally.NoopScope)
}

// publish stores a version at the origin and returns its manifest.
func (f *fleet) publish(version string, content []byte) *manifest.Manifest {
	f.content[version] = content
	f.origin.mu.Lock()
	f.origin.content["models/"+version] = content
	f.origin.mu.Unlock()
	f.view.Paths[version] = "models/" + version
	return manifest.Build(version, content, testChunkSize)
}

func randomContent(seed uint64, n int) []byte {
	content := make([]byte, n)
	r := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
	_, _ = r.Read(content)
	return content
}

// setOrder gives every agent a new view that orders the first manifest as version
// and the others as adapters.
func (f *fleet) setOrder(manifests ...*manifest.Manifest) {
	f.view.Revision++
	f.view.Peers, f.view.Manifests = nil, nil
	for _, a := range f.agents {
		p := a.peer
		p.Version = manifests[0].Version
		f.view.Peers = append(f.view.Peers, p)
	}
	for _, m := range manifests {
		f.view.Manifests = append(f.view.Manifests, *m)
	}
	for _, a := range f.agents {
		v := f.view
		v.Order = &control.Order{Fence: control.Fence{Index: v.Revision}}
		v.Order.Version = manifests[0].Version
		for _, m := range manifests[1:] {
			v.Order.Adapters = append(v.Order.Adapters, m.Version)
		}
		a.SetView(v)
	}
}

// fetchAll fetches on all agents except the excluded ones and checks every file.
func (f *fleet) fetchAll(m *manifest.Manifest, excluded ...*agent) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range f.agents {
		if contains(excluded, a) {
			continue
		}
		wg.Go(func() { f.fetchOne(ctx, a, m) })
	}
	wg.Wait()
}

func contains(agents []*agent, a *agent) bool {
	for _, x := range agents {
		if x == a {
			return true
		}
	}
	return false
}

func (f *fleet) fetchOne(ctx context.Context, a *agent, m *manifest.Manifest) {
	path, err := a.Fetch(ctx, m)
	if err != nil {
		f.t.Errorf("seed %d: %s: fetch %s: %v; %+v", testSeed, a.peer.Name, m.Version, err, a.Dump())
		return
	}
	got, err := os.ReadFile(path)
	if err != nil || !bytes.Equal(got, f.content[m.Version]) {
		f.t.Errorf("seed %d: %s holds wrong content for %s (%v)", testSeed, a.peer.Name, m.Version, err)
	}
}

func (f *fleet) crossBytes() int64 {
	var n int64
	for _, a := range f.agents {
		n += a.Progress().CrossRegion
	}
	return n
}
