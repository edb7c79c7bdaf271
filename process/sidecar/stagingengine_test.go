package sidecar

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/control/desired"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

// stagingEngine is a model engine that loads its layers from staged pieces, one piece a
// layer, and executes an order at once.
type stagingEngine struct {
	clock *boottime.Fake
	// beforeOrder, beforeReport, beforePut and beforeGet are called once each, before the
	// next call of the kind takes effect.
	beforeOrder, beforeReport, beforePut, beforeGet func()
	// onCall is called before each call takes effect, if it is set.
	onCall func()
	// loseOrderReply makes the engine accept the next order without a response.
	loseOrderReply bool
	// busyAfterOrder makes an order take until the test ends it.
	busyAfterOrder bool

	// delayOrder makes the engine accept the next order only when acceptDelayed is called.
	delayOrder bool

	mu sync.Mutex
	// id is the engine's ID; without one it accepts the orders for any.
	id      string
	born    int64
	busy    bool
	staged  map[int][]byte
	version int
	layers  map[int]bool
	// spoiled holds the layers that were loaded from a piece that was not that of the
	// version.
	spoiled map[int]bool
	loads   int
	refused int
	// delayed holds the orders that were not accepted yet.
	delayed []stagingOrder
}

// stagingOrder is an order of an agent.
type stagingOrder struct {
	Version, From, Target int
	Expect                *int
}

const (
	stagingLayers = 4
	stagingBorn   = 1_700_000_000_000
)

// stagingPiece returns the content of a piece of a version.
func stagingPiece(version, piece int) []byte { return fmt.Appendf(nil, "v%d p%04d", version, piece) }

func newStagingEngine(clock *boottime.Fake) *stagingEngine {
	return &stagingEngine{clock: clock, born: stagingBorn, staged: map[int][]byte{}, layers: map[int]bool{}, spoiled: map[int]bool{}}
}

// corrupt changes a staged piece.
func (e *stagingEngine) corrupt(piece int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[piece] = []byte("corrupt")
}

// restart ends the engine's incarnation. keepStaged is false after a loss of power.
func (e *stagingEngine) restart(keepStaged bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born++
	if e.id != "" {
		e.id += "-next"
	}
	e.loads, e.version, e.delayed = 0, 0, nil
	clear(e.layers)
	clear(e.spoiled)
	if !keepStaged {
		clear(e.staged)
	}
}

// acceptDelayed makes the engine accept the orders that it has received before.
func (e *stagingEngine) acceptDelayed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, order := range e.delayed {
		e.execute(order)
	}
	e.delayed = nil
}

// ServeHTTP implements http.Handler.
func (e *stagingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	piece, _ := strconv.Atoi(r.URL.Query().Get("num"))
	e.mu.Lock()
	onCall := e.onCall
	e.mu.Unlock()
	if onCall != nil {
		onCall()
	}
	switch {
	case r.URL.Path == platform.PathReport:
		e.callOnce(&e.beforeReport)
		e.report(w)
	case r.URL.Path == platform.PathOrder:
		e.callOnce(&e.beforeOrder)
		e.mu.Lock()
		lose := e.loseOrderReply || e.delayOrder
		e.loseOrderReply = false
		e.mu.Unlock()
		e.order(w, r)
		if lose {
			panic(http.ErrAbortHandler)
		}
	case r.Method == http.MethodPut:
		data, _ := io.ReadAll(r.Body)
		e.callOnce(&e.beforePut)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.staged[piece] = data
	default:
		e.callOnce(&e.beforeGet)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.staged[piece] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(e.staged[piece])
	}
}

// callOnce calls the function that p holds, if any, and removes it.
func (e *stagingEngine) callOnce(p *func()) {
	e.mu.Lock()
	call := *p
	*p = nil
	e.mu.Unlock()
	if call != nil {
		call()
	}
}

// set changes fields of the engine. A call that the agent has given up may still run.
func (e *stagingEngine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *stagingEngine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	target := 0
	for layer := range stagingLayers {
		if e.layers[layer] {
			target = layer + 1
		}
	}
	from, version := target-len(e.layers), e.version
	if e.busy {
		from, target, version = 0, 0, 0 // while it loads, the engine holds nothing
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"models": []map[string]any{{"name": "m", "version": version}}, "seq": e.loads, "born": e.born, "busy": e.busy,
		"layers": map[string]int{"from": from, "target": target, "version": version},
	})
}

func (e *stagingEngine) order(w http.ResponseWriter, r *http.Request) {
	var order stagingOrder
	_ = json.NewDecoder(r.Body).Decode(&order)
	if order.Target == 0 {
		order.Target = stagingLayers
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	expected := r.Header.Get(platform.HeaderExpectServer)
	switch {
	case e.id != "" && expected != "" && expected != e.id:
		e.refused++
		w.WriteHeader(http.StatusMisdirectedRequest)
	case e.delayOrder:
		e.delayOrder = false
		e.delayed = append(e.delayed, order)
	case !e.execute(order):
		w.WriteHeader(http.StatusConflict)
	default:
		w.WriteHeader(http.StatusAccepted)
	}
}

// execute accepts an order and reports whether it fits. The caller holds mu.
func (e *stagingEngine) execute(order stagingOrder) bool {
	if order.Expect != nil && *order.Expect != e.loads {
		e.refused++
		return false
	}
	if e.inEffect(order) {
		return true
	}
	e.loads++
	e.busy = e.busyAfterOrder
	held := map[int]bool{}
	for layer := order.From; layer < order.Target; layer++ {
		held[layer] = true
		if !e.layers[layer] || e.version != order.Version {
			e.spoiled[layer] = !bytes.Equal(e.staged[layer], stagingPiece(order.Version, layer))
		}
	}
	e.version, e.layers = order.Version, held
	return true
}

// inEffect reports whether the engine holds the layers of an order already. It counts no
// such order. The caller holds mu.
func (e *stagingEngine) inEffect(order stagingOrder) bool {
	if e.version != order.Version || len(e.layers) != order.Target-order.From {
		return false
	}
	for layer := order.From; layer < order.Target; layer++ {
		if !e.layers[layer] {
			return false
		}
	}
	return true
}

// usable reports whether the engine holds all layers, and how many of them were loaded from
// a corrupt piece.
func (e *stagingEngine) usable() (whole bool, spoiled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for layer := range e.layers {
		if e.spoiled[layer] {
			spoiled++
		}
	}
	return len(e.layers) == stagingLayers, spoiled
}

// newStagingTest returns an updater that has all pieces of version 2, and its engine.
func newStagingTest(t *testing.T) (*updater, *stagingEngine, *fakeControl) {
	t.Helper()
	e := newStagingEngine(boottime.NewFake(clockwork.NewRealClock()))
	u, c := startStagingAgent(t, e)
	return u, e, c
}

// install installs version 2.
func install(t *testing.T, u *updater) error {
	t.Helper()
	view := u.sidecar.follower.View()
	return u.installVersion(t.Context(), view, u.engineConfig(view), pieces.Key{Model: "m", Version: 2})
}

// startStagingAgent starts an agent of the engine that has all pieces of version 2.
func startStagingAgent(t *testing.T, e *stagingEngine) (*updater, *fakeControl) {
	t.Helper()
	return startVersionAgent(t, e, 2)
}

// startVersionAgent starts an agent of the engine that has all pieces of the newest version
// and of the one before it.
func startVersionAgent(t *testing.T, e *stagingEngine, newest int) (*updater, *fakeControl) {
	t.Helper()
	u := newTestUpdater(t, e)
	return u, fillVersionAgent(t, u, e, newest)
}

// addVersion gives an agent all pieces of a version.
func addVersion(t *testing.T, u *updater, version int) {
	t.Helper()
	m := platform.Manifest{Model: "m", Version: version}
	for piece := range stagingLayers {
		m.Digests = append(m.Digests, sha256.Sum256(stagingPiece(version, piece)))
	}
	u.sidecar.store.AddVersion(m)
	for piece := range stagingLayers {
		if !u.sidecar.store.Put(pieces.Key{Model: "m", Version: version}, piece, stagingPiece(version, piece)) {
			t.Fatal("piece not stored")
		}
	}
}

// fillVersionAgent gives an agent of the engine all pieces of the newest version and of the
// one before it, and links it to a control process whose state edit may change.
func fillVersionAgent(t *testing.T, u *updater, e *stagingEngine, newest int, edit ...func(*wire.Update)) *fakeControl {
	t.Helper()
	u.sidecar.AgeClock = e.clock
	for version := newest - 1; version <= newest; version++ {
		addVersion(t, u, version)
	}
	content, err := desired.Compress([]byte(strings.Replace(stagingConfig, "LAYERS", strconv.Itoa(stagingLayers), 2)))
	if err != nil {
		t.Fatal(err)
	}
	c := &fakeControl{
		state:    wire.Update{Revision: 1, ConfigVersion: 1, Weights: map[string]int{"m": newest}},
		document: wire.ConfigDocument{Version: 1, Content: content},
	}
	for _, change := range edit {
		change(&c.state)
	}
	c.link(t, u)
	return c
}

const stagingConfig = `{"version":1,"services":[{"name":"s","healthPath":"/health",
"engine":{"slots":8,"step_ms":10,"read_per_s":1000,"layers":LAYERS,"chunks":LAYERS,"chunkBytes":8,"models":[{"name":"m"}]}}]}`
