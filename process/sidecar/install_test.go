package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

// fakeControl is a control process that records the reports about engines.
type fakeControl struct {
	reports chan wire.EngineState
	// state and document are its state and configuration.
	state    wire.Update
	document wire.ConfigDocument
	// digests holds the recorded digests of pieces, or those that the agent reported last.
	digests atomic.Pointer[wire.PieceDigests]
	// digestsDelay is the time that an answer with the digests takes.
	digestsDelay time.Duration
	// conn is the last link.
	conn atomic.Pointer[link.Conn]
}

// Notify implements link.Handler.
func (c *fakeControl) Notify(_ *link.Conn, kind wire.Kind, body cbor.RawMessage) {
	var d wire.PieceDigests
	if kind == wire.KindPieceDigests && cbor.Unmarshal(body, &d) == nil {
		c.digests.Store(&d)
	}
	var s wire.EngineState
	if kind == wire.KindEngine && cbor.Unmarshal(body, &s) == nil {
		c.reports <- s
	}
}

// Call implements link.Handler.
func (c *fakeControl) Call(_ context.Context, _ *link.Conn, kind wire.Kind, _ cbor.RawMessage) (any, error) {
	if kind == wire.KindConfigDocument {
		return c.document, nil
	}
	if kind == wire.KindDigestsQuery {
		time.Sleep(c.digestsDelay)
		if d := c.digests.Load(); d != nil {
			return *d, nil
		}
		return wire.PieceDigests{}, nil
	}
	return c.state, nil
}

// followFakeControl links the agent to a new fake control process.
func followFakeControl(t *testing.T, u *updater) *fakeControl {
	t.Helper()
	c := &fakeControl{}
	c.link(t, u)
	return c
}

// link links the agent to the control process.
func (c *fakeControl) link(t *testing.T, u *updater) {
	t.Helper()
	c.reports = make(chan wire.EngineState, 16)
	mux := http.NewServeMux()
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	address := srv.Listener.Addr().String()
	mux.Handle(link.Path, &link.Acceptor{
		Auth: link.Authenticator{AllowAll: true}, Handler: c,
		Self: func() wire.Hello { return wire.Hello{Name: address, Role: wire.RoleControl} },
		Open: func(conn *link.Conn) (func(), error) { c.conn.Store(conn); return nil, nil },
	})
	host, port, _ := net.SplitHostPort(address)
	peerPort, _ := strconv.Atoi(port)
	u.sidecar.SetSeeds(platform.Settings{PeerPort: peerPort, Seeds: []string{host}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { u.sidecar.follower.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	for range 500 {
		if u.sidecar.follower.Links() > 0 && (c.document.Version == 0 || u.sidecar.follower.View().Config != nil) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no link to the control process")
}

// nextReport returns the next report about the engine, or nil if none comes soon.
func (c *fakeControl) nextReport() *wire.EngineState {
	select {
	case s := <-c.reports:
		return &s
	case <-time.After(300 * time.Millisecond):
		return nil
	}
}

func TestOrderThatASilentEngineMayHaveTakenCountsAsLoading(t *testing.T) {
	for name, c := range map[string]struct {
		respond     http.HandlerFunc
		wantLoading bool
	}{
		"silent": {func(_ http.ResponseWriter, r *http.Request) {
			// net/http detects a closed connection only once the request body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, true},
		"refused": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			u := newTestUpdater(t, c.respond)
			control := followFakeControl(t, u)
			if err := u.order(t.Context(), pieces.Key{Model: "m", Version: 2}, stepLoadAll, testLayers, platform.EngineReport{}); err == nil {
				t.Fatal("an order without an answer succeeded")
			}
			if s := control.nextReport(); s == nil || !s.Loading {
				t.Fatalf("before the order, reported %+v", s)
			}
			s := control.nextReport()
			if loading := s == nil || s.Loading; loading != c.wantLoading {
				t.Errorf("after the order, reported %+v, want loading %v", s, c.wantLoading)
			}
		})
	}
}

func TestEndOfALoadIsReportedDuringTheNextTransfer(t *testing.T) {
	u, e, control := newStagingTest(t)
	e.busyAfterOrder = true
	if err := install(t, u); err != nil {
		t.Fatal(err)
	}
	if s := control.nextReport(); s == nil || !s.Loading {
		t.Fatalf("before the order, reported %+v", s)
	}
	// The updater is occupied by the transfer of version 3 from here on.
	if s := control.nextReport(); s != nil {
		t.Fatalf("while the engine loads, reported %+v", s)
	}
	e.mu.Lock()
	e.busy = false
	e.mu.Unlock()
	for range 10 {
		if s := control.nextReport(); s != nil {
			if s.Loading || directory.VersionOf(s.Held, "m") != 2 {
				t.Errorf("after the load, reported %+v", s)
			}
			return
		}
	}
	t.Error("the end of the load was not reported")
}
