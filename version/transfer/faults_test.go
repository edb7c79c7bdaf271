package transfer

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

type hook = func(w http.ResponseWriter, r *http.Request) bool

// badResponses are hooks that answer a request for a chunk of testChunkSize bytes
// incorrectly.
var badResponses = map[string]hook{
	"corrupt": func(w http.ResponseWriter, r *http.Request) bool {
		return sendInvalidChunk(w, r, testChunkSize, testChunkSize)
	},
	"truncated": func(w http.ResponseWriter, r *http.Request) bool {
		return sendInvalidChunk(w, r, testChunkSize, testChunkSize/3)
	},
	"short": func(w http.ResponseWriter, r *http.Request) bool {
		return sendInvalidChunk(w, r, testChunkSize/2, testChunkSize/2)
	},
	"oversized": func(w http.ResponseWriter, r *http.Request) bool {
		return sendInvalidChunk(w, r, 3*testChunkSize, 3*testChunkSize)
	},
	"refused": func(w http.ResponseWriter, _ *http.Request) bool {
		http.Error(w, "no", http.StatusInternalServerError)
		return true
	},
}

// sendInvalidChunk announces and sends bytes that belong to no chunk.
func sendInvalidChunk(w http.ResponseWriter, r *http.Request, announced, sent int) bool {
	w.Header().Set("Content-Length", strconv.Itoa(announced))
	if byteRange := r.Header.Get("Range"); byteRange != "" {
		w.Header().Set("Content-Range", "bytes "+strings.TrimPrefix(byteRange, "bytes=")+"/*")
		w.WriteHeader(http.StatusPartialContent)
	}
	_, _ = w.Write(make([]byte, sent))
	return true
}

// originBytes returns the bytes that the latest transfers received from the
// origin. The origin's own counter may include requests of canceled transfers.
func (f *fleet) originBytes() int64 {
	var n int64
	for _, a := range f.agents {
		n += a.Progress().FromOrigin
	}
	return n
}

func (f *fleet) corruptChunks() int64 {
	var n int64
	for _, a := range f.agents {
		n += a.Progress().Corrupt
	}
	return n
}

func TestBadChunksFromTheOriginAreFetchedAgain(t *testing.T) {
	for name, badResponse := range badResponses {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 6, 2)
			m := f.publish("v1", randomContent(2, 20*testChunkSize))
			var n atomic.Int64
			f.origin.setHook(func(w http.ResponseWriter, r *http.Request) bool {
				return n.Add(1)%3 == 1 && badResponse(w, r)
			})
			f.setOrder(m)
			f.fetchAll(m)
			if name == "corrupt" && f.corruptChunks() == 0 {
				t.Error("no corrupt chunk was counted")
			}
		})
	}
}

func TestBadChunksFromAPeerAreFetchedElsewhere(t *testing.T) {
	for name, badResponse := range badResponses {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 6, 1)
			m := f.publish("v1", randomContent(3, 20*testChunkSize))
			f.setOrder(m)
			hook := func(w http.ResponseWriter, r *http.Request) bool {
				return strings.HasPrefix(r.URL.Path, wire.PathChunks) && badResponse(w, r)
			}
			f.agents[2].hook.Store(&hook)
			f.fetchAll(m)
		})
	}
}

func TestRecoveredOriginIsUsedAgain(t *testing.T) {
	f := newFleet(t, 4, 2)
	m := f.publish("v1", randomContent(4, 20*testChunkSize))
	var n atomic.Int64
	recovered := make(chan struct{})
	f.origin.setHook(func(_ http.ResponseWriter, r *http.Request) bool {
		if n.Add(1) > 5 {
			select {
			case <-recovered:
			case <-r.Context().Done():
				return true
			}
		}
		return false
	})
	f.setOrder(m)
	time.AfterFunc(2500*time.Millisecond, func() { close(recovered) })
	f.fetchAll(m)
}

func TestStalledRequestTimesOut(t *testing.T) {
	f := newFleet(t, 3, 1)
	m := f.publish("v1", randomContent(14, 12*testChunkSize))
	var n atomic.Int64
	f.origin.setHook(func(_ http.ResponseWriter, r *http.Request) bool {
		if n.Add(1) > 3 {
			return false
		}
		<-r.Context().Done()
		return true
	})
	f.setOrder(m)
	f.fetchAll(m)
}

func TestRetryAfterOfThrottlingOriginIsHonored(t *testing.T) {
	f := newFleet(t, 1, 1)
	m := f.publish("v1", randomContent(5, 4*testChunkSize))
	var mu sync.Mutex
	var throttledAt, retriedAt time.Time
	f.origin.setHook(func(w http.ResponseWriter, _ *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if throttledAt.IsZero() {
			throttledAt = time.Now()
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(http.StatusTooManyRequests)
			return true
		}
		// A request that was already in flight may arrive right after.
		if wait := time.Since(throttledAt); wait > time.Second && retriedAt.IsZero() {
			retriedAt = time.Now()
		}
		return false
	})
	f.setOrder(m)
	f.fetchAll(m)
	if wait := retriedAt.Sub(throttledAt); wait < 1900*time.Millisecond {
		t.Errorf("next request after %v, Retry-After was 2 s", wait)
	}
}

func TestChunksOfHangingFetchersAreTakenOver(t *testing.T) {
	f := newFleet(t, 9, 1)
	m := f.publish("v1", randomContent(6, 40*testChunkSize))
	f.setOrder(m)
	fetchers := f.fetchersOf(m)
	reached := make(chan struct{})
	var n atomic.Int64
	f.origin.setHook(func(http.ResponseWriter, *http.Request) bool {
		if n.Add(1) == 6 {
			close(reached)
		}
		time.Sleep(5 * time.Millisecond) // limits the rate of the origin
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	for _, a := range fetchers[:2] {
		go func() { _, _ = a.Fetch(ctx, m) }()
	}
	go func() {
		<-reached
		f.hangAgent(fetchers[0], cancel)
		f.hangAgent(fetchers[1], cancel)
	}()
	f.fetchAll(m, fetchers[0], fetchers[1])
}

// fetchersOf returns the fetchers of a version; all agents must be in one region.
func (f *fleet) fetchersOf(m *manifest.Manifest) []*agent {
	var nodes []planner.Node
	for _, a := range f.agents {
		nodes = append(nodes, planner.Node{Name: a.peer.Name, Zone: a.peer.Zone, Region: a.peer.Region})
	}
	var out []*agent
	for _, name := range planner.Arrange(nodes, m.Digest(), testSettings()).Fetchers("r0") {
		for _, a := range f.agents {
			if a.peer.Name == name {
				out = append(out, a)
			}
		}
	}
	return out
}

// hangAgent cancels an agent's transfer and lets requests of its peers hang.
func (f *fleet) hangAgent(a *agent, cancel func()) {
	cancel()
	hang := func(_ http.ResponseWriter, r *http.Request) bool {
		<-r.Context().Done()
		return true
	}
	a.hook.Store(&hang)
	a.server.CloseClientConnections()
}

func TestVersionChangesMidTransferKeepCommonChunksOnly(t *testing.T) {
	f := newFleet(t, 4, 1)
	common := randomContent(7, 10*testChunkSize)
	v1 := f.publish("v1", append(append([]byte{}, common...), randomContent(8, 10*testChunkSize)...))
	v2 := f.publish("v2", append(append([]byte{}, common...), randomContent(9, 10*testChunkSize)...))
	v3 := f.publish("v3", append(append([]byte{}, common...), randomContent(10, 10*testChunkSize)...))
	for _, m := range []*manifest.Manifest{v1, v2} {
		f.fetchPart(m, 14)
	}
	f.origin.setHook(nil)
	f.setOrder(v3)
	f.fetchAll(v3)
	if got := float64(f.originBytes()) / float64(v3.Size()); got > 0.6 {
		t.Errorf("seed %d: %.2f of v3 left the origin although half of it was held", testSeed, got)
	}
	for _, a := range f.agents {
		if used := a.store.Used(); used != v3.Size() {
			t.Errorf("%s: %d bytes in the spool, want %d", a.peer.Name, used, v3.Size())
		}
	}
}

// fetchPart fetches until every agent holds the version's first n chunks, then
// cancels the transfers.
func (f *fleet) fetchPart(m *manifest.Manifest, n int) {
	f.t.Helper()
	f.origin.setHook(func(_ http.ResponseWriter, r *http.Request) bool {
		var first int
		_, _ = fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-", &first)
		if first < n*testChunkSize {
			return false
		}
		<-r.Context().Done()
		return true
	})
	f.setOrder(m)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range f.agents {
		wg.Go(func() {
			if _, err := a.Fetch(ctx, m); err == nil {
				f.t.Errorf("%s fetched all of %s", a.peer.Name, m.Version)
			}
		})
	}
	for _, a := range f.agents {
		for a.Progress().Version != m.Version || a.Progress().Done < int64(n*testChunkSize) {
			if ctx.Err() != nil {
				f.t.Fatalf("seed %d: %s holds %d bytes of %s", testSeed, a.peer.Name, a.Progress().Done, m.Version)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	cancel()
	wg.Wait()
}

func TestRestartedAgentResumesFromSpool(t *testing.T) {
	f := newFleet(t, 1, 1)
	m := f.publish("v1", randomContent(11, 20*testChunkSize))
	f.fetchPart(m, 12)
	f.origin.setHook(nil)
	f.agents[0].Manager = f.newManager(f.agents[0])
	counted := &countingTransport{next: f.agents[0].client.Transport}
	f.agents[0].client.Transport = counted
	f.setOrder(m)
	f.fetchAll(m)
	if got := counted.requests.Load(); got > 8 {
		t.Errorf("%d requests after the restart, 8 chunks were missing", got)
	}
}

// countingTransport counts the requests of one agent.
type countingTransport struct {
	requests atomic.Int64
	next     http.RoundTripper
}

func (c *countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	c.requests.Add(1)
	return c.next.RoundTrip(req)
}

func TestUnauthenticatedPeersAreRejected(t *testing.T) {
	f := newFleet(t, 1, 1)
	m := f.publish("v1", randomContent(12, testChunkSize))
	f.setOrder(m)
	f.fetchAll(m)
	a := f.agents[0]
	for _, path := range []string{chunkPath(m.Chunks[0].Digest), wire.PathHeldChunks + "?manifest=" + m.Digest().String() + "&after=0"} {
		resp, err := http.Get("http://" + a.peer.Address + path)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusForbidden || resp.Header.Get(wire.HeaderCode) != strconv.Itoa(int(result.Unauthenticated)) {
			t.Errorf("%s: %s", path, resp.Status)
		}
	}
}

func TestRegionWithoutOriginAccessFetchesFromOtherRegions(t *testing.T) {
	f := newFleet(t, 6, 3)
	m := f.publish("v1", randomContent(13, 15*testChunkSize))
	region := f.agents[0].peer.Region
	f.setOrder(m)
	for _, a := range f.agents {
		if a.peer.Region == region {
			a.client.Transport = blockingTransport{f.origin.Listener.Addr().String(), a.client.Transport}
		}
	}
	f.fetchAll(m)
	if got := float64(f.origin.sent.Load()) / float64(m.Size()); got > 1.5 {
		t.Errorf("seed %d: %.2f copies left the origin", testSeed, got)
	}
}

func TestNewAddressOfPeerIsUsed(t *testing.T) {
	f := newFleet(t, 2, 1)
	m := f.publish("v1", randomContent(15, 8*testChunkSize))
	holder, fetcher := f.agents[0], f.agents[1]
	f.setOrder(m)
	f.fetchAll(m, fetcher)
	fetcher.client.Transport = blockingTransport{f.origin.Listener.Addr().String(), fetcher.client.Transport}
	address := holder.peer.Address
	holder.peer.Address = "127.0.0.1:1"
	f.setOrder(m)
	time.AfterFunc(300*time.Millisecond, func() {
		holder.peer.Address = address
		f.setOrder(m)
	})
	f.fetchAll(m, holder)
}

// blockingTransport fails requests to one address.
type blockingTransport struct {
	address string
	next    http.RoundTripper
}

func (b blockingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.URL.Host == b.address {
		return nil, fmt.Errorf("requests to %s are blocked", b.address)
	}
	return b.next.RoundTrip(req)
}
