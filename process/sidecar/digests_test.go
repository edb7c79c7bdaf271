package sidecar

import (
	"bytes"
	"crypto/sha256"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
)

// stagingDigests returns the digests of the pieces of a version as they are recorded.
func stagingDigests(version int) *wire.PieceDigests {
	d := &wire.PieceDigests{Model: "m", Version: version}
	for piece := range stagingLayers {
		sum := sha256.Sum256(stagingPiece(version, piece))
		d.Digests = append(d.Digests, sum[:]...)
	}
	return d
}

// darkOrigin is an origin that accepts connections and does not answer.
func darkOrigin(t *testing.T) *manifestOrigin {
	t.Helper()
	return &manifestOrigin{alter: func(int, [][sha256.Size]byte) bool {
		select {
		case <-t.Context().Done():
		case <-time.After(3 * time.Second):
		}
		return false
	}}
}

// All processes were killed while the origin is dark: the control processes have only what
// they had recorded, and learn it again after a while.
func TestHeldVersionIsVerifiedWhileTheOriginIsDark(t *testing.T) {
	e := newHeldEngine()
	u, c := startOriginAgent(t, e, darkOrigin(t))
	time.AfterFunc(500*time.Millisecond, func() { c.digests.Store(stagingDigests(2)) })
	for started := time.Now(); time.Since(started) < 4*time.Second; time.Sleep(pendingPollInterval) {
		u.reconcile(t.Context())
		if verifiedVersion(u) == 2 {
			if e.loads != 1 {
				t.Errorf("%d orders", e.loads)
			}
			return
		}
	}
	t.Error("sound weights are not verified")
}

// The origin refuses at once, before a control process has answered.
func TestRecordedDigestsAreUsedAlsoIfTheOriginFailsFirst(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 80 * time.Millisecond, 200 * time.Millisecond} {
		e := newHeldEngine()
		u, c := startOriginAgent(t, e, &manifestOrigin{alter: func(int, [][sha256.Size]byte) bool { return false }})
		c.digestsDelay = delay
		c.digests.Store(stagingDigests(2))
		for started := time.Now(); verifiedVersion(u) != 2 && time.Since(started) < 4*time.Second; time.Sleep(pendingPollInterval) {
			u.reconcile(t.Context())
		}
		if got := verifiedVersion(u); got != 2 {
			t.Errorf("answer after %v: version %d is verified", delay, got)
		}
	}
}

// Recorded digests replace the manifest, not the comparison with the staged pieces.
func TestRecordedDigestsDoNotVerifyCorruptPiece(t *testing.T) {
	for name, recorded := range map[string]*wire.PieceDigests{"of the pieces": stagingDigests(2), "of another version's pieces": {Model: "m", Version: 2, Digests: stagingDigests(3).Digests}} {
		t.Run(name, func(t *testing.T) {
			e := newHeldEngine()
			e.corrupt(1)
			u, c := startOriginAgent(t, e, darkOrigin(t))
			c.digests.Store(recorded)
			for range 3 {
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

// A manifest from the origin may be corrupt and the origin dark since: the recorded digests
// show that the pieces are intact.
func TestRecordedDigestsShowThatManifestIsCorrupt(t *testing.T) {
	e := newHeldEngine()
	u, c := startOriginAgent(t, e, &manifestOrigin{alter: func(n int, digests [][sha256.Size]byte) bool {
		digests[1][0] ^= 1
		return n == 1
	}})
	u.reconcile(t.Context())
	c.digests.Store(stagingDigests(2))
	u.reconcile(t.Context())
	if got := verifiedVersion(u); got != 2 || e.loads != 1 {
		t.Errorf("version %d is verified after %d orders", got, e.loads)
	}
}

// Digests are reported once a load was verified, and not those of a corrupt manifest.
func TestDigestsOfVerifiedLoadAreReported(t *testing.T) {
	u, e, c := newStagingTest(t)
	e.beforeOrder = func() { e.corrupt(1); e.clock.Suspend(4 * time.Second) }
	for range 10 {
		u.reconcile(t.Context())
		if d := c.digests.Load(); d != nil && verifiedVersion(u) != 2 {
			t.Fatalf("reported %+v before the load was verified", d)
		}
	}
	for range 100 {
		if c.digests.Load() != nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if d := c.digests.Load(); d == nil || d.Version != 2 || !bytes.Equal(d.Digests, stagingDigests(2).Digests) {
		t.Errorf("reported %+v", d)
	}
}
