package sidecar

import (
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/control/desired"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

// stagingEngine is a model engine that loads its layers from staged pieces, one piece a
// layer, and executes an order at once.
type stagingEngine struct {
	clock *boottime.Fake
	// beforeOrder and beforeReport are called once each, before the next order or report
	// takes effect.
	beforeOrder, beforeReport func()
	// loseOrderReply makes the engine accept the next order without a response.
	loseOrderReply bool

	mu     sync.Mutex
	staged map[int][]byte
	// corruptSince holds when staged pieces became corrupt.
	corruptSince map[int]boottime.Instant
	version      int
	layers       map[int]bool
	// spoiled holds the layers that were loaded from a piece that had been corrupt for
	// more than stagedFaultGrace.
	spoiled map[int]bool
	loads   int
}

const (
	stagingLayers = 4
	stagingPiece  = "pieces 0"
	stagingBorn   = 1_700_000_000_000
)

func newStagingEngine(clock *boottime.Fake) *stagingEngine {
	return &stagingEngine{
		clock: clock, staged: map[int][]byte{}, corruptSince: map[int]boottime.Instant{}, layers: map[int]bool{}, spoiled: map[int]bool{},
	}
}

// corrupt changes a staged piece.
func (e *stagingEngine) corrupt(piece int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[piece] = []byte("corrupt")
	e.corruptSince[piece] = e.clock.Now()
}

// ServeHTTP implements http.Handler.
func (e *stagingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	piece, _ := strconv.Atoi(r.URL.Query().Get("num"))
	switch {
	case r.URL.Path == platform.PathReport:
		callOnce(&e.beforeReport)
		e.report(w)
	case r.URL.Path == platform.PathOrder:
		callOnce(&e.beforeOrder)
		lose := e.loseOrderReply
		e.loseOrderReply = false
		e.order(w, r)
		if lose {
			panic(http.ErrAbortHandler)
		}
	case r.Method == http.MethodPut:
		data, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.staged[piece] = data
		delete(e.corruptSince, piece)
	default:
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
func callOnce(p *func()) {
	if call := *p; call != nil {
		*p = nil
		call()
	}
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
	from := target - len(e.layers)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"models": []map[string]any{{"name": "m", "version": e.version}}, "seq": e.loads, "born": stagingBorn,
		"layers": map[string]int{"from": from, "target": target, "version": e.version},
	})
}

func (e *stagingEngine) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version, From, Target int
		Expect                *int
	}
	_ = json.NewDecoder(r.Body).Decode(&order)
	if order.Target == 0 {
		order.Target = stagingLayers
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Expect != nil && *order.Expect != e.loads {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.loads++
	held := map[int]bool{}
	for layer := order.From; layer < order.Target; layer++ {
		held[layer] = true
		if e.layers[layer] && e.version == order.Version {
			continue
		}
		since, corrupt := e.corruptSince[layer]
		e.spoiled[layer] = corrupt && e.clock.Now().Sub(since) > stagedFaultGrace
	}
	e.version, e.layers = order.Version, held
	w.WriteHeader(http.StatusAccepted)
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

// startStagingAgent starts an agent of the engine that has all pieces of version 2.
func startStagingAgent(t *testing.T, e *stagingEngine) (*updater, *fakeControl) {
	t.Helper()
	u := newTestUpdater(t, e)
	u.sidecar.AgeClock = e.clock
	m := platform.Manifest{Model: "m", Version: 2}
	for piece := range stagingLayers {
		m.Digests = append(m.Digests, sha256.Sum256([]byte(stagingPiece+strconv.Itoa(piece))))
	}
	u.sidecar.store.AddVersion(m)
	for piece := range stagingLayers {
		if !u.sidecar.store.Put(pieces.Key{Model: "m", Version: 2}, piece, []byte(stagingPiece+strconv.Itoa(piece))) {
			t.Fatal("piece not stored")
		}
	}
	content, err := desired.Compress([]byte(strings.Replace(stagingConfig, "LAYERS", strconv.Itoa(stagingLayers), 2)))
	if err != nil {
		t.Fatal(err)
	}
	c := &fakeControl{
		state:    wire.Update{Revision: 1, ConfigVersion: 1, Weights: map[string]int{"m": 2}},
		document: wire.ConfigDocument{Version: 1, Content: content},
	}
	c.link(t, u)
	return u, c
}

const stagingConfig = `{"version":1,"services":[{"name":"s","healthPath":"/health",
"engine":{"slots":8,"step_ms":10,"read_per_s":1000,"layers":LAYERS,"chunks":LAYERS,"chunkBytes":8,"models":[{"name":"m"}]}}]}`

// An engine must not make tokens with a piece that had been corrupt for more than three
// seconds when the load was accepted, at whatever point of the installation the piece became
// corrupt and this VM was suspended.
func TestLoadNeverUsesPieceThatBecameCorruptAfterReadBack(t *testing.T) {
	for name, arrange := range map[string]func(e *stagingEngine, fault func()){
		"while the agent waits for the engine": func(e *stagingEngine, fault func()) {
			// The first report is requested before the installation.
			e.beforeReport = func() { e.beforeReport = fault }
		},
		"before the engine accepts the order": func(e *stagingEngine, fault func()) { e.beforeOrder = fault },
		"before it accepts the order without a response": func(e *stagingEngine, fault func()) {
			e.beforeOrder, e.loseOrderReply = fault, true
		},
	} {
		for piece := range stagingLayers {
			t.Run(name+", piece "+strconv.Itoa(piece), func(t *testing.T) {
				u, e, _ := newStagingTest(t)
				// The pieces are staged before, so that the fault comes after they are read back.
				if _, err := u.stagePieces(t.Context(), pieces.Key{Model: "m", Version: 2}); err != nil {
					t.Fatal(err)
				}
				arrange(e, func() { e.corrupt(piece); e.clock.Suspend(4 * time.Second) })
				for range 10 {
					u.reconcile(t.Context())
				}
				if whole, spoiled := e.usable(); !whole || spoiled > 0 {
					t.Errorf("the engine holds all layers: %v, %d of them from a corrupt piece", whole, spoiled)
				}
				if e.loads > 5 {
					t.Errorf("%d load orders", e.loads)
				}
			})
		}
	}
}

// Weights that an engine may have loaded from a corrupt piece must not be reported to the
// control processes.
func TestWeightsFromCorruptPieceAreNotReported(t *testing.T) {
	u, e, c := newStagingTest(t)
	if _, err := u.stagePieces(t.Context(), pieces.Key{Model: "m", Version: 2}); err != nil {
		t.Fatal(err)
	}
	e.beforeOrder = func() { e.corrupt(1); e.clock.Suspend(4 * time.Second) }
	if err := u.installVersion(t.Context(), u.sidecar.follower.View(), pieces.Key{Model: "m", Version: 2}); err != nil {
		t.Fatal(err)
	}
	if _, spoiled := e.usable(); spoiled == 0 {
		t.Fatal("the engine did not load the corrupt piece")
	}
	for s := c.nextReport(); s != nil; s = c.nextReport() {
		if directory.VersionOf(s.Held, "m") != 0 {
			t.Errorf("reported %+v", s)
		}
	}
	for range 5 {
		u.reconcile(t.Context())
	}
	for {
		s := c.nextReport()
		if s == nil {
			t.Fatal("the repaired weights were not reported")
		}
		if directory.VersionOf(s.Held, "m") == 2 {
			break
		}
	}
	if whole, spoiled := e.usable(); !whole || spoiled > 0 {
		t.Errorf("reported weights: whole %v, %d layers from a corrupt piece", whole, spoiled)
	}
}

// An agent may be killed between a load that was accepted too late and its verification.
func TestRestartedAgentReplacesWeightsFromCorruptPiece(t *testing.T) {
	for piece := range stagingLayers {
		t.Run("piece "+strconv.Itoa(piece), func(t *testing.T) {
			u, e, _ := newStagingTest(t)
			if _, err := u.stagePieces(t.Context(), pieces.Key{Model: "m", Version: 2}); err != nil {
				t.Fatal(err)
			}
			e.beforeOrder = func() { e.corrupt(piece); e.clock.Suspend(4 * time.Second) }
			if err := u.installVersion(t.Context(), u.sidecar.follower.View(), pieces.Key{Model: "m", Version: 2}); err != nil {
				t.Fatal(err)
			}
			if _, spoiled := e.usable(); spoiled == 0 {
				t.Fatal("the engine did not load the corrupt piece")
			}
			restarted, c := startStagingAgent(t, e)
			for range 10 {
				restarted.reconcile(t.Context())
				_, spoiled := e.usable()
				for s := c.nextReport(); s != nil; s = c.nextReport() {
					if directory.VersionOf(s.Held, "m") != 0 && spoiled > 0 {
						t.Errorf("reported %+v with %d layers from a corrupt piece", s, spoiled)
					}
				}
			}
			if whole, spoiled := e.usable(); !whole || spoiled > 0 {
				t.Errorf("the engine holds all layers: %v, %d of them from a corrupt piece", whole, spoiled)
			}
		})
	}
}
