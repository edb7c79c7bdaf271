package link

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const testTimeout = 20 * time.Second

// recorder records the sequence numbers of heartbeats. It answers fence queries
// with the length of the agent name and refuses all other calls.
type recorder struct {
	mu       sync.Mutex
	seqs     []uint64
	received chan struct{}
}

func (r *recorder) Notify(_ *Conn, _ wire.Kind, body cbor.RawMessage) {
	var hb wire.Heartbeat
	if cbor.Unmarshal(body, &hb) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seqs = append(r.seqs, hb.Seq)
	r.received <- struct{}{}
}

func (r *recorder) Call(_ context.Context, _ *Conn, kind wire.Kind, body cbor.RawMessage) (any, error) {
	if kind != wire.KindFence {
		return nil, result.Refuse(result.BadMessage, 0, "kind %d", kind)
	}
	var q wire.FenceQuery
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	return wire.FenceReply{Index: uint64(len(q.Agent))}, nil
}

func hello(name string) func() wire.Hello {
	return func() wire.Hello { return wire.Hello{Name: name, Role: wire.RoleEntry} }
}

func serveLinks(t *testing.T, auth Authenticator, open func(*Conn) (func(), error)) (string, *recorder) {
	t.Helper()
	rec := &recorder{received: make(chan struct{}, 1000)}
	mux := http.NewServeMux()
	mux.Handle(Path, &Acceptor{Auth: auth, Self: hello("server"), Open: open, Handler: rec})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), rec
}

func acceptAll(*Conn) (func(), error) { return nil, nil }

func dial(t *testing.T, address, key string) (*Conn, error) {
	t.Helper()
	d := &Dialer{Auth: Authenticator{Key: key}, Self: hello("client"), Handler: &recorder{received: make(chan struct{}, 1)}}
	c, err := d.Dial(context.Background(), address)
	if err == nil {
		t.Cleanup(c.Close)
	}
	return c, err
}

func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	address, _ := serveLinks(t, Authenticator{}, acceptAll)
	c, err := dial(t, address, "")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for n := range 100 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			var reply wire.FenceReply
			q := wire.FenceQuery{Agent: strings.Repeat("a", n)}
			if err := c.Call(ctx, wire.KindFence, q, &reply); err != nil || reply.Index != uint64(n) {
				t.Errorf("call %d: got %d, %v", n, reply.Index, err)
			}
		})
	}
	wg.Wait()
}

func TestNotificationsArriveInOrder(t *testing.T) {
	address, rec := serveLinks(t, Authenticator{}, acceptAll)
	c, err := dial(t, address, "")
	if err != nil {
		t.Fatal(err)
	}
	const count = 500
	for seq := uint64(1); seq <= count; seq++ {
		if err := c.Notify(wire.KindHeartbeat, wire.Heartbeat{Seq: seq}); err != nil {
			t.Fatal(err)
		}
	}
	for range count {
		<-rec.received
	}
	for i, seq := range rec.seqs {
		if seq != uint64(i+1) {
			t.Fatalf("notification %d has sequence number %d", i, seq)
		}
	}
}

func TestRefusalKeepsCodeAndRan(t *testing.T) {
	address, _ := serveLinks(t, Authenticator{}, acceptAll)
	c, err := dial(t, address, "")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	got := result.From(c.Call(ctx, wire.KindBarrier, wire.Empty{}, nil))
	if got.Code != result.BadMessage || got.Ran != result.NotRun {
		t.Errorf("got %v, ran %v", got, got.Ran)
	}
}

func TestWrongJoinKeyIsRefused(t *testing.T) {
	address, _ := serveLinks(t, Authenticator{Key: "right"}, acceptAll)
	for _, key := range []string{"", "wrong"} {
		if _, err := dial(t, address, key); result.CodeOf(err) != result.Unauthenticated {
			t.Errorf("key %q: %v", key, err)
		}
	}
	if _, err := dial(t, address, "right"); err != nil {
		t.Errorf("right key: %v", err)
	}
}

func TestWithoutKeyOnlyLoopbackIsAccepted(t *testing.T) {
	for remote, want := range map[string]result.Code{
		"127.0.0.1:5":    result.OK,
		"[::1]:5":        result.OK,
		"192.0.2.1:5":    result.Unauthenticated,
		"not-an-address": result.Unauthenticated,
	} {
		err := Authenticator{}.Check(&http.Request{RemoteAddr: remote})
		if result.CodeOf(err) != want {
			t.Errorf("%s: %v", remote, err)
		}
	}
}

func TestOpenErrorReachesDialer(t *testing.T) {
	address, _ := serveLinks(t, Authenticator{}, func(*Conn) (func(), error) {
		return nil, result.New(result.NameTaken, "taken")
	})
	if _, err := dial(t, address, ""); result.CodeOf(err) != result.NameTaken {
		t.Errorf("got %v", err)
	}
}

func TestLostLinkFailsNotifyAndRunsHook(t *testing.T) {
	closed := make(chan struct{})
	conns := make(chan *Conn, 1)
	address, _ := serveLinks(t, Authenticator{}, func(c *Conn) (func(), error) {
		conns <- c
		return func() { close(closed) }, nil
	})
	c, err := dial(t, address, "")
	if err != nil {
		t.Fatal(err)
	}
	(<-conns).Close()
	<-closed
	<-c.Done()
	if err := c.Notify(wire.KindLeave, wire.Leave{}); result.CodeOf(err) != result.LinkLost {
		t.Errorf("got %v", err)
	}
}

func TestLinkToASilentPeerIsLostAfterTheWallClockWasSetBack(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		_, _ = readHello(r.Context(), ws)
		_ = writeHello(r.Context(), ws, hello("server")(), nil)
		// It reads nothing more, not even pings.
		<-t.Context().Done()
		_ = ws.CloseNow()
	}))
	t.Cleanup(srv.Close)
	c, err := dial(t, strings.TrimPrefix(srv.URL, "http://"), "")
	if err != nil {
		t.Fatal(err)
	}
	c.lastReceived.Store(time.Now().Add(time.Hour).UnixNano())
	select {
	case <-c.Done():
	case <-time.After(pingInterval + pingTimeout + 2*time.Second):
		t.Error("the link is still open")
	}
}

func TestAcceptedLinkEndsWithTheContextOfItsServer(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	closed := make(chan struct{})
	srv := httptest.NewUnstartedServer(&Acceptor{
		Self: hello("server"), Handler: &recorder{received: make(chan struct{}, 1)},
		Open: func(*Conn) (func(), error) { return func() { close(closed) }, nil },
	})
	srv.Config.BaseContext = func(net.Listener) context.Context { return ctx }
	srv.Start()
	t.Cleanup(srv.Close)
	c, err := dial(t, strings.TrimPrefix(srv.URL, "http://"), "")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	stop()
	for _, end := range []<-chan struct{}{c.Done(), closed} {
		select {
		case <-end:
		case <-time.After(testTimeout):
			t.Fatal("the link is still open")
		}
	}
}
