package sidecar

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/control/desired"
)

// manifestOrigin sends manifests of version 2. alter changes the digests of the n-th one,
// counted from 1; it returns false if the origin does not answer.
type manifestOrigin struct {
	alter func(n int, digests [][sha256.Size]byte) bool
	sent  atomic.Int32
}

func (o *manifestOrigin) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var digests [][sha256.Size]byte
	for piece := range stagingLayers {
		digests = append(digests, sha256.Sum256(stagingPiece(2, piece)))
	}
	if !o.alter(int(o.sent.Add(1)), digests) {
		panic(http.ErrAbortHandler)
	}
	var list []string
	for _, digest := range digests {
		list = append(list, fmt.Sprintf("%x", digest))
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"model": "m", "version": 2, "chunkBytes": 8, "digests": list})
}

// newHeldEngine returns an engine that has loaded version 2 from sound pieces.
func newHeldEngine() *stagingEngine {
	e := newStagingEngine(boottime.NewFake(clockwork.NewRealClock()))
	for piece := range stagingLayers {
		e.staged[piece] = stagingPiece(2, piece)
	}
	e.execute(stagingOrder{Version: 2, Target: stagingLayers})
	return e
}

// startOriginAgent starts an agent that holds no piece, and whose control process knows no
// verification.
func startOriginAgent(t *testing.T, e *stagingEngine, o *manifestOrigin) (*updater, *fakeControl) {
	t.Helper()
	origin := httptest.NewServer(o)
	t.Cleanup(origin.Close)
	u := newTestUpdater(t, e)
	u.sidecar.AgeClock = e.clock
	config := strings.Replace(stagingConfig, "LAYERS", strconv.Itoa(stagingLayers), 2)
	config = strings.TrimSuffix(config, "]}") + `,{"name":"o","origin":"` + origin.Listener.Addr().String() + `","zone":"z","linkMbps":100,"maxConns":8}]}`
	content, err := desired.Compress([]byte(config))
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

// verifiedVersion returns the version that the agent has verified.
func verifiedVersion(u *updater) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.verified["m"].version
}

// Whatever digests are corrupt in the first manifests, sound weights are kept, and verified
// once each piece has a digest of one of the manifests.
func TestSoundWeightsAreVerifiedAfterCorruptManifests(t *testing.T) {
	for name, alter := range map[string]func(n int, digests [][sha256.Size]byte) bool{
		"one digest, once": func(n int, digests [][sha256.Size]byte) bool {
			if n == 1 {
				digests[1][0] ^= 1
			}
			return true
		},
		"other digests in each of the first three": func(n int, digests [][sha256.Size]byte) bool {
			for piece := range digests {
				if n <= 3 && (piece+n)%2 == 0 {
					digests[piece][0] ^= byte(n)
				}
			}
			return true
		},
		"the same digest in each of the first three": func(n int, digests [][sha256.Size]byte) bool {
			if n <= 3 {
				digests[0][0] ^= byte(n)
			}
			return true
		},
		"the origin does not answer again for a while": func(n int, digests [][sha256.Size]byte) bool {
			digests[1][0] ^= byte(min(n, 3) % 3)
			return n == 1 || n > 3
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newHeldEngine()
			o := &manifestOrigin{alter: alter}
			u, _ := startOriginAgent(t, e, o)
			for range 10 {
				u.reconcile(t.Context())
				if verifiedVersion(u) == 2 || e.loads > 1 {
					break
				}
			}
			if got := verifiedVersion(u); got != 2 || e.loads != 1 {
				t.Errorf("version %d is verified after %d orders and %d manifests, want version 2 after 1 order", got, e.loads, o.sent.Load())
			}
		})
	}
}

// A piece that is corrupt is found so whatever the first manifests state about it.
func TestWeightsFromCorruptPieceAreDroppedAfterCorruptManifests(t *testing.T) {
	for name, wrong := range map[string]int{"no manifest is corrupt": 0, "the first manifest is corrupt": 1, "the first two are corrupt": 2} {
		t.Run(name, func(t *testing.T) {
			e := newHeldEngine()
			e.corrupt(1)
			u, _ := startOriginAgent(t, e, &manifestOrigin{alter: func(n int, digests [][sha256.Size]byte) bool {
				if n <= wrong {
					digests[1][0] ^= byte(n)
				}
				return true
			}})
			for range 6 {
				u.reconcile(t.Context())
				if got := verifiedVersion(u); got != 0 {
					t.Fatalf("version %d with a corrupt piece is verified", got)
				}
				if whole, _ := e.usable(); !whole {
					return
				}
			}
			t.Error("the engine still holds the weights")
		})
	}
}

// Nothing confirms the digest in the only manifest that arrived: the weights are neither
// used nor dropped.
func TestPieceIsNotTakenForCorruptWithoutSecondManifest(t *testing.T) {
	e := newHeldEngine()
	u, _ := startOriginAgent(t, e, &manifestOrigin{alter: func(n int, digests [][sha256.Size]byte) bool {
		digests[1][0] ^= 1
		return n == 1
	}})
	for range 4 {
		if u.reconcile(t.Context()); e.loads > 1 {
			break
		}
	}
	if got := verifiedVersion(u); got != 0 || e.loads != 1 {
		t.Errorf("version %d is verified after %d orders", got, e.loads)
	}
}
