package pieces

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

const testPieces, testPieceBytes = 24, 2048

// testOrigin is a fake origin that serves one version.
type testOrigin struct {
	*httptest.Server
	sent      atomic.Int64
	manifests atomic.Int64
	down      atomic.Bool
	// corruptFirst corrupts the first answer for each piece.
	corruptFirst atomic.Bool
	// endlessFirst makes the first answer for the first piece, and the first
	// manifest, go on until the connection is closed.
	endlessFirst atomic.Bool
	// alterManifest, if not nil, changes the nth manifest, counted from 1.
	alterManifest func(n int64, manifest string) string
	// excess counts the bytes of these answers.
	excess   atomic.Int64
	requests [testPieces]atomic.Int64
}

// sendEndlessly sends bytes that are no answer until the connection is closed.
func (o *testOrigin) sendEndlessly(w http.ResponseWriter) {
	for {
		n, err := w.Write(make([]byte, testPieceBytes))
		o.excess.Add(int64(n))
		if err != nil {
			return
		}
	}
}

func content(piece int) []byte { return bytes.Repeat([]byte{byte(piece + 1)}, testPieceBytes) }

func newTestOrigin(t *testing.T) *testOrigin {
	t.Helper()
	o := &testOrigin{}
	o.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if o.down.Load() {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		if strings.Contains(r.URL.Path, "manifest") {
			n := o.manifests.Add(1)
			if n == 1 && o.endlessFirst.Load() {
				o.sendEndlessly(w)
				return
			}
			var digests []string
			for i := range testPieces {
				sum := sha256.Sum256(content(i))
				digests = append(digests, `"`+hex.EncodeToString(sum[:])+`"`)
			}
			manifest := fmt.Sprintf(`{"model":"m","version":2,"chunkBytes":%d,"digests":[%s]}`, testPieceBytes, strings.Join(digests, ","))
			if o.alterManifest != nil {
				manifest = o.alterManifest(n, manifest)
			}
			_, _ = io.WriteString(w, manifest)
			return
		}
		var piece int
		_, _ = fmt.Sscan(r.URL.Query().Get("num"), &piece)
		o.sent.Add(1)
		data := content(piece)
		first := o.requests[piece].Add(1) == 1
		if first && o.corruptFirst.Load() {
			data[7]++
		}
		if first && piece == 0 && o.endlessFirst.Load() {
			o.sendEndlessly(w)
			return
		}
		_, _ = w.Write(data)
	}))
	t.Cleanup(o.Close)
	return o
}

// testFleet is a set of agents on the loopback interface.
type testFleet struct {
	origin   *testOrigin
	nodes    []planner.Node
	peers    map[string]string
	fetchers []*Fetcher
	holders  map[string]bool
}

func newTestFleet(t *testing.T, perRegion map[string]int) *testFleet {
	t.Helper()
	f := &testFleet{origin: newTestOrigin(t), nodes: testNodes(perRegion), peers: map[string]string{}, holders: map[string]bool{}}
	for _, n := range f.nodes {
		store := NewStore(0)
		srv := httptest.NewServer(store)
		t.Cleanup(srv.Close)
		f.peers[n.Name] = srv.Listener.Addr().String()
		f.fetchers = append(f.fetchers, &Fetcher{
			Self: n, Store: store, Client: backend.New(backend.Config{Scope: tally.NoopScope}),
			Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		})
	}
	return f
}

func (f *testFleet) spec() *FetchSpec {
	return &FetchSpec{
		Key: Key{"m", 2}, Origin: f.origin.Listener.Addr().String(), HomeRegion: "a",
		Nodes: f.nodes, Peers: f.peers, Holders: f.holders, Pieces: testPieces, PieceBytes: testPieceBytes,
	}
}

// fetchAll runs the fetches of all agents except the named one and waits for
// them.
func (f *testFleet) fetchAll(t *testing.T, excluded ...string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	done := make(chan error)
	running := 0
	for _, fetcher := range f.fetchers {
		if len(excluded) > 0 && fetcher.Self.Name == excluded[0] {
			continue
		}
		running++
		go func() {
			err := fetcher.Fetch(ctx, f.spec)
			for err != nil && ctx.Err() == nil {
				time.Sleep(50 * time.Millisecond)
				err = fetcher.Fetch(ctx, f.spec)
			}
			done <- err
		}()
	}
	for range running {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

func TestAllAgentsCompleteAndOriginSendsEachPieceOnce(t *testing.T) {
	f := newTestFleet(t, map[string]int{"a": 4, "b": 3, "c": 2})
	f.fetchAll(t)
	for _, fetcher := range f.fetchers {
		for piece := range testPieces {
			if !bytes.Equal(fetcher.Store.Piece(Key{"m", 2}, piece), content(piece)) {
				t.Fatalf("%s holds wrong data for piece %d", fetcher.Self.Name, piece)
			}
		}
	}
	if n := f.origin.sent.Load(); n != testPieces {
		t.Errorf("the origin sent %d pieces of %d", n, testPieces)
	}
	if n := f.origin.manifests.Load(); n != 1 {
		t.Errorf("the origin sent the manifest %d times, want 1", n)
	}
}

func TestCorruptPieceIsFetchedAgain(t *testing.T) {
	f := newTestFleet(t, map[string]int{"a": 2})
	f.origin.corruptFirst.Store(true)
	f.fetchAll(t)
	for _, fetcher := range f.fetchers {
		if len(fetcher.Store.Missing(Key{"m", 2})) > 0 {
			t.Errorf("%s is missing pieces", fetcher.Self.Name)
		}
	}
}

func TestAnswerWithoutEndIsCutOffAtTheSizeOfAPiece(t *testing.T) {
	f := newTestFleet(t, map[string]int{"a": 2})
	f.origin.endlessFirst.Store(true)
	f.fetchAll(t)
	for _, fetcher := range f.fetchers {
		if len(fetcher.Store.Missing(Key{"m", 2})) > 0 {
			t.Errorf("%s is missing pieces", fetcher.Self.Name)
		}
	}
	// Socket buffers of the loopback interface hold some megabytes.
	if n := f.origin.excess.Load(); n > 16<<20 {
		t.Errorf("%d bytes of answers without end were taken", n)
	}
}

func TestTransferCompletesWithoutAnInactiveAgent(t *testing.T) {
	f := newTestFleet(t, map[string]int{"a": 3, "b": 2})
	f.fetchAll(t, "a1")
	for _, fetcher := range f.fetchers {
		if fetcher.Self.Name != "a1" && len(fetcher.Store.Missing(Key{"m", 2})) > 0 {
			t.Errorf("%s is missing pieces", fetcher.Self.Name)
		}
	}
}

func TestHoldersReplaceUnavailableOrigin(t *testing.T) {
	f := newTestFleet(t, map[string]int{"a": 3})
	f.fetchAll(t, "a2")
	f.origin.down.Store(true)
	f.holders["a0"], f.holders["a1"] = true, true
	f.fetchAll(t)
	for _, fetcher := range f.fetchers {
		if len(fetcher.Store.Missing(Key{"m", 2})) > 0 {
			t.Errorf("%s is missing pieces", fetcher.Self.Name)
		}
	}
}

func TestStoreKeepsTwoVersionsAndRejectsWrongBytes(t *testing.T) {
	s := NewStore(0)
	for version := 1; version <= 3; version++ {
		s.AddVersion(platform.Manifest{Model: "m", Version: version, Digests: [][32]byte{sha256.Sum256(content(version))}})
	}
	if _, kept := s.Manifest(Key{"m", 1}); kept {
		t.Error("the store still holds the third newest version")
	}
	if s.Put(Key{"m", 3}, 0, content(2)) || s.Piece(Key{"m", 3}, 0) != nil {
		t.Error("data of another version was accepted")
	}
	if !s.Put(Key{"m", 2}, 0, content(2)) || !s.Put(Key{"m", 3}, 0, content(3)) {
		t.Error("valid data was rejected")
	}
	if s.Put(Key{"m", 3}, 1, content(3)) || s.Put(Key{"m", 3}, -1, content(3)) {
		t.Error("a piece index out of range was accepted")
	}
}

func TestCanceledTransferMarksNoAgentAsFailed(t *testing.T) {
	f := newTestFleet(t, map[string]int{"a": 2})
	f.origin.down.Store(true)
	// The agent that is not responsible waits at the other one for a piece that
	// never arrives.
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	for _, fetcher := range f.fetchers {
		_ = fetcher.Fetch(ctx, f.spec)
	}
	for _, fetcher := range f.fetchers {
		for _, n := range f.nodes {
			if fetcher.isAvoided(n.Name) {
				t.Errorf("%s counts %s as failed", fetcher.Self.Name, n.Name)
			}
		}
	}
}

func TestRequestNotifiesAgentOfUnknownVersion(t *testing.T) {
	f := newTestFleet(t, map[string]int{"a": 2})
	late := f.fetchers[1]
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- f.fetchers[0].Fetch(ctx, f.spec) }()
	select {
	case <-late.Store.UnknownVersionRequests():
	case <-ctx.Done():
		t.Fatal("the asked agent is not notified of the version")
	}
	if err := late.Fetch(ctx, f.spec); err != nil {
		t.Error(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if f.fetchers[0].isAvoided(late.Self.Name) {
		t.Error("an agent that answered slightly late counts as failed")
	}
	if n := f.origin.sent.Load(); n != testPieces {
		t.Errorf("the origin sent %d pieces of %d", n, testPieces)
	}
}

func TestMalformedPieceRequestsAreRejected(t *testing.T) {
	s := NewStore(0)
	s.AddVersion(platform.Manifest{Model: "m", Version: 2, Digests: [][32]byte{sha256.Sum256(content(0))}})
	s.Put(Key{"m", 2}, 0, content(0))
	for target, want := range map[string]int{
		PathPrefix + "m/2/any?of=01": http.StatusOK,
		PathPrefix + "m/2/any?of=":   http.StatusNotFound,
		PathPrefix + "m/2/any":       http.StatusNotFound,
		PathPrefix + "m/2/any?of=zz": http.StatusBadRequest,
		PathPrefix + "m/2/any?of=" + strings.Repeat("ff", maxPieceListBytes):    http.StatusOK,
		PathPrefix + "m/2/any?of=" + strings.Repeat("f", 2*maxPieceListBytes+2): http.StatusBadRequest,
		PathPrefix + "m/2/any?of=0000000000000080":                              http.StatusNotFound,
		PathPrefix + "m/x/any?of=01":                                            http.StatusNotFound,
		PathPrefix + "m/2":                                                      http.StatusNotFound,
		PathPrefix + "m/9/any?of=01":                                            http.StatusNotFound,
	} {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, target, nil))
		if w.Code != want {
			t.Errorf("%.60s: status %d, want %d", target, w.Code, want)
		}
	}
	if s.queue.activeSends != 0 || len(s.queue.waiting) != 0 {
		t.Errorf("%d sends and %d requests remain in the queue", s.queue.activeSends, len(s.queue.waiting))
	}
}
