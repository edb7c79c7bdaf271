package sidecar

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/control/desired"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/runtime"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

const peerIP = "127.0.0.2"

// servePieces serves a store as the agent at peerIP does, and returns its port.
func servePieces(t *testing.T, store *pieces.Store) int {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", peerIP+":0")
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(pieces.PathPrefix, store)
	srv := runtime.NewServer(mux)
	go func() { _ = runtime.Serve(srv, l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().(*net.TCPAddr).Port
}

// startPeerAgent starts an agent without pieces. The agent at peerIP holds the pieces of
// store, and the configuration names no origin.
func startPeerAgent(t *testing.T, e *stagingEngine, store *pieces.Store) *updater {
	t.Helper()
	u := newTestUpdater(t, e)
	u.sidecar.AgeClock = e.clock
	u.sidecar.settings.PeerPort = servePieces(t, store)
	content, err := desired.Compress([]byte(strings.Replace(stagingConfig, "LAYERS", strconv.Itoa(stagingLayers), 2)))
	if err != nil {
		t.Fatal(err)
	}
	server := func(id, address string, version int) directory.Server {
		return directory.Server{
			ID: id, Service: "s", Address: address, Zone: "z", State: directory.Ready, Born: stagingBorn, Seq: 1, Engine: true,
			Held: []directory.ModelVersion{{Model: "m", Version: version}},
		}
	}
	c := &fakeControl{
		state: wire.Update{
			Revision: 1, ConfigVersion: 1, Weights: map[string]int{"m": 2},
			Servers: wire.ServerList{server("self", u.sidecar.settings.BackendAddress, 1), server("peer", peerIP+":1", 2)},
		},
		document: wire.ConfigDocument{Version: 1, Content: content},
	}
	c.link(t, u)
	return u
}

// Loads are verified by the pieces that the manifest lists, which must be all pieces of the
// engine's weights.
func TestManifestOfAnotherAgentMustListAllPieces(t *testing.T) {
	for _, count := range []int{stagingLayers, stagingLayers - 1} {
		u, e, _ := newStagingTest(t)
		key := pieces.Key{Model: "m", Version: 2}
		full, _ := u.sidecar.store.Manifest(key)
		store := pieces.NewStore(0)
		store.AddVersion(platform.Manifest{Model: "m", Version: 2, Digests: full.Digests[:count]})
		for piece := range count {
			store.Put(key, piece, stagingPiece(2, piece))
		}
		agent := startPeerAgent(t, e, store)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		view := agent.sidecar.follower.View()
		err := agent.installVersion(ctx, view, agent.engineConfig(view), key)
		cancel()
		whole, spoiled := e.usable()
		if whole != (count == stagingLayers) || spoiled > 0 {
			t.Errorf("manifest with %d digests: the engine holds all layers: %v, %d of them from missing pieces (%v)", count, whole, spoiled, err)
		}
	}
}
