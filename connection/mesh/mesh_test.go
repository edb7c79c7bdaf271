package mesh

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const testTimeout = 20 * time.Second

// discardHandler drops notifications and answers every call with an empty reply.
type discardHandler struct{}

func (discardHandler) Notify(*link.Conn, wire.Kind, cbor.RawMessage) {}

func (discardHandler) Call(context.Context, *link.Conn, wire.Kind, cbor.RawMessage) (any, error) {
	return wire.Empty{}, nil
}

func hello(name string) func() wire.Hello {
	return func() wire.Hello { return wire.Hello{Name: name, Role: wire.RoleEntry} }
}

// acceptLinks accepts links under the given peer name until the returned
// function is called.
func acceptLinks(t *testing.T, name, address string) (string, func()) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	conns := make(chan *link.Conn, 100)
	acceptor := &link.Acceptor{Self: hello(name), Handler: discardHandler{}, Open: func(c *link.Conn) (func(), error) {
		conns <- c
		return nil, nil
	}}
	srv := &http.Server{Handler: acceptor}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), func() {
		_ = srv.Close()
		for len(conns) > 0 {
			(<-conns).Close()
		}
	}
}

// startMesh runs a mesh for the duration of the test and reports the links it opens.
func startMesh(t *testing.T, targets map[string]string) (*Mesh, chan *link.Conn) {
	t.Helper()
	opened := make(chan *link.Conn, 100)
	dialer := &link.Dialer{Self: hello("client"), Handler: discardHandler{}}
	cfg := Config{Targets: targets, OnOpen: func(c *link.Conn) { opened <- c }}
	m := New(cfg, dialer, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { m.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return m, opened
}

func waitForLink(t *testing.T, opened chan *link.Conn) *link.Conn {
	t.Helper()
	select {
	case c := <-opened:
		return c
	case <-time.After(testTimeout):
		t.Fatal("no link opened before the timeout")
		return nil
	}
}

func TestLostLinkIsRedialed(t *testing.T) {
	address, stop := acceptLinks(t, "server", "127.0.0.1:0")
	m, opened := startMesh(t, map[string]string{"server": address})
	first := waitForLink(t, opened)
	stop()
	<-first.Done()
	_, stopAgain := acceptLinks(t, "server", address)
	defer stopAgain()
	waitForLink(t, opened)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := m.Call(ctx, "server", wire.KindBarrier, wire.Empty{}, nil); err != nil {
		t.Error(err)
	}
}

func TestPeerWithUnexpectedNameIsRefused(t *testing.T) {
	address, stop := acceptLinks(t, "impostor", "127.0.0.1:0")
	defer stop()
	m, _ := startMesh(t, map[string]string{"server": address})
	if err := m.Notify("server", wire.KindRaft, wire.RaftBatch{}); result.CodeOf(err) != result.LinkLost {
		t.Errorf("got %v", err)
	}
}

func TestGroupSetOpensAndClosesLinks(t *testing.T) {
	m, opened := startMesh(t, nil)
	g := m.NewGroup()
	defer g.Close()
	var addresses []string
	for range 2 {
		// A process in a group is named by its address, which is known only after
		// listening.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		_, stop := acceptLinks(t, address, address)
		t.Cleanup(stop)
		addresses = append(addresses, address)
	}
	g.Set(t.Context(), addresses, nil)
	links := map[string]*link.Conn{}
	for range addresses {
		c := waitForLink(t, opened)
		links[c.Peer().Name] = c
	}
	g.Set(t.Context(), addresses[1:], nil)
	select {
	case <-links[addresses[0]].Done():
	case <-time.After(testTimeout):
		t.Error("the link to a removed address stays open")
	}
	if g.Contains(addresses[0]) || !g.Contains(addresses[1]) || m.Conn(addresses[1]) == nil {
		t.Error("the group contains the wrong addresses")
	}
}
