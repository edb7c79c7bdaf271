package pieces

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/platform"
)

// A manifest carries no digest, and may come without framing from an origin.
func TestPartOfAManifestDoesNotDecode(t *testing.T) {
	digest := sha256.Sum256([]byte("piece"))
	fromPeer, err := cbor.Marshal(platform.Manifest{Model: "m", Version: 2, PieceBytes: 1, Digests: [][32]byte{digest, digest}})
	if err != nil {
		t.Fatal(err)
	}
	for length := range fromPeer {
		if m, err := decodeManifest(fromPeer[:length]); err == nil {
			t.Errorf("%x: decoded as %+v", fromPeer[:length], m)
		}
	}
	fromOrigin := fmt.Sprintf(`{"model":"m","version":2,"chunkBytes":1,"digests":["%x","%x"]}`, digest, digest)
	for length := range fromOrigin {
		if m, err := platform.DecodeManifest(strings.NewReader(fromOrigin[:length])); err == nil {
			t.Errorf("%q: decoded as %+v", fromOrigin[:length], m)
		}
	}
	if _, err := platform.DecodeManifest(strings.NewReader(fromOrigin)); err != nil {
		t.Error(err)
	}
}

// The origin is dark; one agent passes on a corrupt manifest, another one a sound one.
func TestManifestIsNotConfirmedByItsOwnSource(t *testing.T) {
	for _, corrupt := range []int{0, 2} {
		f := newTestFleet(t, map[string]int{"a": 3})
		spec := func() *FetchSpec { s := f.spec(); s.Origin = "127.0.0.1:1"; return s }
		for i, fetcher := range f.fetchers {
			if i == 1 {
				continue
			}
			m := platform.Manifest{Model: "m", Version: 2, PieceBytes: testPieceBytes}
			for piece := range testPieces {
				m.Digests = append(m.Digests, sha256.Sum256(content(piece)))
			}
			if i == corrupt {
				m.Digests[3][0] ^= 1
			}
			fetcher.Store.AddVersion(m)
		}
		u := f.fetchers[1]
		var err error
		for range 40 {
			if err = u.FetchManifest(t.Context(), spec()); err == nil {
				break
			}
			time.Sleep(150 * time.Millisecond)
		}
		if err != nil {
			t.Fatal(err)
		}
		first, _ := u.Store.Manifest(Key{"m", 2})
		second, err := u.RefetchManifest(t.Context(), spec())
		if err != nil {
			t.Fatal(err)
		}
		if want := sha256.Sum256(content(3)); first.Digests[3] != want && second.Digests[3] != want {
			t.Errorf("corrupt at %s, which sent both manifests", f.fetchers[corrupt].Self.Name)
		}
	}
}
