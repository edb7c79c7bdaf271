package e2e

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
	"github.com/waxwingpost/waxwingpost/bench/fakes"
	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// staleLeader acts as an entry that was the leader before it was cut off from the
// quorum. It keeps sending its last order to every agent that is linked to it.
type staleLeader struct {
	origin string
}

// Notify implements link.Handler.
func (l *staleLeader) Notify(*link.Conn, wire.Kind, cbor.RawMessage) {}

// Call implements link.Handler.
func (l *staleLeader) Call(_ context.Context, _ *link.Conn, kind wire.Kind, body cbor.RawMessage) (any, error) {
	if kind != wire.KindHeartbeat {
		return nil, result.New(result.NoQuorum, "cut off")
	}
	var hb wire.Heartbeat
	if err := cbor.Unmarshal(body, &hb); err != nil {
		return nil, err
	}
	return wire.HeartbeatAck{Seq: hb.Seq, Revision: 1}, nil
}

// sendOrders sends the stale order repeatedly until the link is lost.
func (l *staleLeader) sendOrders(c *link.Conn) {
	view := wire.AgentView{
		Revision:       1,
		Order:          &control.Order{PlaceOrder: control.PlaceOrder{Agent: c.Peer().Name, Service: "drafting", Version: "v1"}, Fence: control.Fence{Term: 1, Index: 2}},
		Manifests:      []manifest.Manifest{*manifest.Build("v1", fakes.Content("v1", weightBytes), 65536)},
		Sources:        []wire.Source{{Name: "origin", Kind: "origin", Address: l.origin, Zone: "z1", Region: "r1"}},
		Objective:      "time",
		FencingIgnored: true,
		Paths:          map[string]string{"v1": "/v1"},
	}
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for c.Notify(wire.KindAgentView, view) == nil {
		select {
		case <-c.Done():
			return
		case <-ticker.C:
		}
	}
}

// startStaleLeader starts a stale leader and returns its address.
func (s *testSystem) startStaleLeader() string {
	s.t.Helper()
	l := &staleLeader{origin: s.origin.Address}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err)
	mux := http.NewServeMux()
	mux.Handle(link.Path, &link.Acceptor{
		Auth:    link.Authenticator{Key: "e2e"},
		Self:    func() wire.Hello { return wire.Hello{Role: wire.RoleEntry, Name: "old-leader", Incarnation: "old"} },
		Open:    func(c *link.Conn) (func(), error) { go l.sendOrders(c); return nil, nil },
		Handler: l,
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	s.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// startEngine starts an engine that accepts stale orders, and its agent with links
// to the given entries.
func (s *testSystem) startEngine(name string, entries ...string) (engine, agent *cluster.Process) {
	s.t.Helper()
	engine = s.startFake("engine-"+name, "engine", fencingIgnored)
	agent, err := s.StartAgent(cluster.AgentSpec{
		Name: name, Zone: "z1", Region: "r1", Service: "drafting", Backend: engine.Address,
		Args: []string{"--entries", strings.Join(entries, ",")},
	})
	s.must(err)
	return engine, agent
}

// TestStaleLeaderOrdersAreIgnored sends a stale leader's order to an agent that
// also has links to the majority, and to an agent that has no other link. The first
// agent is restarted without its state several times. The engines accept any order,
// so the agents must not pass the stale order on.
func TestStaleLeaderOrdersAreIgnored(t *testing.T) {
	s := newSystem(t, 0, fencingIgnored)
	s.writeConfig("entry-1", "v2", 1)
	s.awaitRevision(2)
	stale := "old-leader=" + s.startStaleLeader()
	engine, agent := s.startEngine("beside", "entry-1="+s.Entry("entry-1").PeerAddress, "entry-2="+s.Entry("entry-2").PeerAddress, stale)
	isolatedEngine, _ := s.startEngine("alone", stale)
	for range 3 {
		s.must(s.AwaitServing(s.ctx, "v2", agent))
		s.sleepRandom(time.Second, 2*time.Second)
		s.must(agent.Kill())
		s.must(agent.Restart())
	}
	s.must(s.AwaitServing(s.ctx, "v2", agent))
	s.sleepRandom(time.Second, 2*time.Second)
	for _, p := range []*cluster.Process{engine, isolatedEngine} {
		var stats fakes.EngineStats
		s.must(s.Stats(s.ctx, p, &stats))
		t.Logf("%s received %v", p.Name, stats.Orders)
		for _, order := range stats.Orders {
			if strings.Contains(order, " v1 ") || p == isolatedEngine {
				t.Errorf("%s received the stale leader's order %q", p.Name, order)
			}
		}
	}
}
