package sidecar

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/control/desired"
	"github.com/waxwingpost/waxwingpost/process/directory"
)

// All control processes restart while the agent runs on. They know no verification, but the
// agent's own view still holds it from before.
func TestAgentRepeatsVerificationToControlProcessesThatRestarted(t *testing.T) {
	u, _, c := newStagingTest(t)
	if err := install(t, u); err != nil {
		t.Fatal(err)
	}
	u.reconcile(t.Context())
	server := directory.Server{
		ID: "i-1", Service: "s", Address: u.sidecar.settings.BackendAddress, State: directory.Ready,
		Born: stagingBorn, Seq: 1, Engine: true, Held: []directory.ModelVersion{{Model: "m", Version: 2}},
	}
	c.state.Servers = wire.ServerList{server}
	first := c.state
	first.Verified = []directory.Verification{{Address: server.Address, Born: stagingBorn, Model: "m", Version: 2, Checked: 1 << 50, Orders: 1}}
	if err := c.conn.Load().Notify(wire.KindUpdate, first); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		if records := u.sidecar.follower.View().Servers["s"]; len(records) == 1 && records[0].VerifiedVersion("m") == 2 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for c.nextReport() != nil {
	}
	before := c.conn.Load()
	before.Close()
	for range 500 {
		if c.conn.Load() != before && u.sidecar.follower.Links() > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); {
		u.reconcile(t.Context())
		if s := c.nextReport(); s != nil && directory.VersionOf(s.Held, "m") == 2 {
			return
		}
	}
	t.Error("restarted control processes don't learn the verification of an agent that runs on")
}

// An agent is killed right after it has repaired a piece, while the engine has accepted an
// order of an even earlier process that took the piece as it was before.
func TestLoadIsDroppedIfTheAgentIsKilledAfterTheRepair(t *testing.T) {
	u, e, _ := newStagingTest(t)
	e.delayOrder = true
	if err := install(t, u); err == nil {
		t.Fatal("an order without a response succeeded")
	}
	e.corrupt(1)
	second, _ := startStagingAgent(t, e)
	ctx, kill := context.WithCancel(t.Context())
	e.beforePut = func() { e.acceptDelayed(); kill() }
	second.reconcile(ctx)
	third, _ := startStagingAgent(t, e)
	requireIntact(t, third, e)
}

// The manifest that a restarted agent fetches from the origin may be corrupt. The control
// processes know no verification of the weights, which are sound.
func TestSoundWeightsAreKeptIfTheManifestIsCorrupt(t *testing.T) {
	_, e, _ := newStagingTest(t)
	for piece := range stagingLayers {
		e.staged[piece] = stagingPiece(2, piece)
	}
	e.execute(stagingOrder{Version: 2, Target: stagingLayers})
	u := newTestUpdater(t, e)
	u.sidecar.AgeClock = e.clock
	m := platform.Manifest{Model: "m", Version: 2}
	for piece := range stagingLayers {
		m.Digests = append(m.Digests, sha256.Sum256(stagingPiece(2, piece)))
	}
	m.Digests[1][0] ^= 1
	u.sidecar.store.AddVersion(m)
	content, err := desired.Compress([]byte(strings.Replace(stagingConfig, "LAYERS", strconv.Itoa(stagingLayers), 2)))
	if err != nil {
		t.Fatal(err)
	}
	c := &fakeControl{
		state:    wire.Update{Revision: 1, ConfigVersion: 1, Weights: map[string]int{"m": 2}},
		document: wire.ConfigDocument{Version: 1, Content: content},
	}
	c.link(t, u)
	u.reconcile(t.Context())
	if whole, spoiled := e.usable(); !whole || spoiled > 0 {
		t.Errorf("the engine holds all layers: %v, %d of them from a corrupt piece", whole, spoiled)
	}
}

// A process that was killed has verified version 2, and has dropped and loaded it again since.
// The control processes were not told of the end of the first load.
func TestVerificationOfAnEarlierLoadIsNotTakenForTheCurrentOne(t *testing.T) {
	_, e, _ := newStagingTest(t)
	for piece := range stagingLayers {
		e.staged[piece] = stagingPiece(2, piece)
	}
	e.execute(stagingOrder{Version: 2, Target: stagingLayers})
	e.execute(stagingOrder{Version: 2, From: stagingLayers - 1, Target: stagingLayers})
	e.corrupt(1)
	e.execute(stagingOrder{Version: 2, Target: stagingLayers})
	u := newTestUpdater(t, e)
	u.sidecar.AgeClock = e.clock
	content, err := desired.Compress([]byte(strings.Replace(stagingConfig, "LAYERS", strconv.Itoa(stagingLayers), 2)))
	if err != nil {
		t.Fatal(err)
	}
	server := directory.Server{
		ID: "i-1", Service: "s", Address: u.sidecar.settings.BackendAddress, State: directory.Ready,
		Born: stagingBorn, Seq: 1, Engine: true, Held: []directory.ModelVersion{{Model: "m", Version: 2}},
	}
	c := &fakeControl{
		state: wire.Update{
			Revision: 1, ConfigVersion: 1, Weights: map[string]int{"m": 2}, Servers: wire.ServerList{server},
			Verified: []directory.Verification{{Address: server.Address, Born: stagingBorn, Model: "m", Version: 2, Checked: 1, Orders: 1}},
		},
		document: wire.ConfigDocument{Version: 1, Content: content},
	}
	c.link(t, u)
	u.reconcile(t.Context())
	u.mu.Lock()
	defer u.mu.Unlock()
	if got := u.verified["m"]; got.version == 2 {
		t.Errorf("a load with a layer from a corrupt piece is verified: %+v", got)
	}
}

// An order for version 2 without a response is accepted while the pieces of version 3 are
// staged, and version 3 is not loaded.
func TestLateOrderTakesPiecesOfTheNextVersion(t *testing.T) {
	u, e, _ := newStagingTest(t)
	e.delayOrder = true
	if err := install(t, u); err == nil {
		t.Fatal("an order without a response succeeded")
	}
	next, _ := startVersionAgent(t, e, 3)
	accept := func() {
		e.acceptDelayed()
		e.set(func() { e.delayOrder = true })
	}
	e.set(func() {
		e.beforePut = func() { e.set(func() { e.beforePut = accept }) }
		e.onCall = func() { checkVerified(t, next, e) }
	})
	next.reconcile(t.Context()) // its order for version 3 receives no response
	requireIntact(t, next, e)
}

// A PUT without a response takes effect after the order for which the piece was put again.
func TestLatePutDoesNotHideThatACorruptPieceWasLoaded(t *testing.T) {
	u, e, _ := newStagingTest(t)
	e.beforeOrder = func() {
		e.corrupt(1)
		// The engine reads the piece back to nobody before the late PUT.
		e.beforeGet = func() { e.mu.Lock(); e.staged[1] = stagingPiece(2, 1); e.mu.Unlock() }
	}
	requireIntact(t, u, e)
}

// All agents restart at once: none of those whose engines hold the version knows its manifest.
func TestHeldVersionIsVerifiedSoonAfterAllAgentsRestart(t *testing.T) {
	e := newStagingEngine(boottime.NewFake(clockwork.NewRealClock()))
	m := map[string]any{"model": "m", "version": 2, "chunkBytes": 8}
	var digests []string
	for piece := range stagingLayers {
		e.staged[piece] = stagingPiece(2, piece)
		digests = append(digests, fmt.Sprintf("%x", sha256.Sum256(stagingPiece(2, piece))))
	}
	m["digests"] = digests
	e.execute(stagingOrder{Version: 2, Target: stagingLayers})
	origin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(m) }))
	defer origin.Close()
	u := newTestUpdater(t, e)
	u.sidecar.AgeClock = e.clock
	config := strings.Replace(stagingConfig, "LAYERS", strconv.Itoa(stagingLayers), 2)
	config = strings.TrimSuffix(config, "]}") + `,{"name":"o","origin":"` + origin.Listener.Addr().String() + `","zone":"z","linkMbps":0.00005,"maxConns":8}]}`
	content, err := desired.Compress([]byte(config))
	if err != nil {
		t.Fatal(err)
	}
	server := func(id, address string) directory.Server {
		held := []directory.ModelVersion{{Model: "m", Version: 2}}
		return directory.Server{ID: id, Service: "s", Address: address, State: directory.Ready, Born: stagingBorn, Seq: 1, Engine: true, Held: held}
	}
	c := &fakeControl{
		state: wire.Update{
			Revision: 1, ConfigVersion: 1, Weights: map[string]int{"m": 2},
			Servers: wire.ServerList{server("i-1", u.sidecar.settings.BackendAddress), server("i-2", "127.0.0.9:1"), server("i-3", "127.0.0.8:1")},
		},
		document: wire.ConfigDocument{Version: 1, Content: content},
	}
	c.link(t, u)
	for started := time.Now(); time.Since(started) < 4*time.Second; time.Sleep(pendingPollInterval) {
		u.reconcile(t.Context())
		u.mu.Lock()
		verified := u.verified["m"].version
		u.mu.Unlock()
		if verified == 2 {
			return
		}
	}
	t.Error("the weights are not verified")
}
