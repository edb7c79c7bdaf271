package pieces

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"testing"

	"github.com/waxwingpost/waxwingpost/platform"
)

// changeDigest changes one digit of the digest of a piece.
func changeDigest(manifest string, piece int, digit string) string {
	sum := sha256.Sum256(content(piece))
	digest := hex.EncodeToString(sum[:])
	if digest[:1] == digit {
		digit = "e"
	}
	return strings.Replace(manifest, digest, digit+digest[1:], 1)
}

// A manifest that was corrupted on its way must not stop a version: whatever was changed in
// it and however often, all agents complete once the origin has sent a correct one.
func TestVersionCompletesAlthoughManifestsAreCorrupt(t *testing.T) {
	for name, alter := range map[string]func(n int64, manifest string) string{
		"one digit of one digest": func(n int64, manifest string) string {
			if n == 1 {
				return changeDigest(manifest, 5, "f")
			}
			return manifest
		},
		"other digests in each of the first eight": func(n int64, manifest string) string {
			for piece := range testPieces {
				if n <= 8 && (int64(piece)+n)%3 == 0 {
					manifest = changeDigest(manifest, piece, string("0123456789"[n]))
				}
			}
			return manifest
		},
		"the same digest in each of the first eight": func(n int64, manifest string) string {
			if n <= 8 {
				return changeDigest(manifest, 0, string("0123456789"[n]))
			}
			return manifest
		},
		"the version": func(n int64, manifest string) string {
			if n <= 2 {
				return strings.Replace(manifest, `"version":2`, `"version":3`, 1)
			}
			return manifest
		},
		"a smaller size of the pieces": func(n int64, manifest string) string {
			if n <= 2 {
				return strings.Replace(manifest, `"chunkBytes":2048`, `"chunkBytes":1048`, 1)
			}
			return manifest
		},
		"the last digests are missing": func(n int64, manifest string) string {
			if n <= 2 {
				return manifest[:strings.LastIndex(manifest, ",")] + "]}"
			}
			return manifest
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, map[string]int{"a": 3, "b": 2})
			f.origin.alterManifest = alter
			f.fetchAll(t)
			for _, fetcher := range f.fetchers {
				m, _ := fetcher.Store.Manifest(Key{"m", 2})
				if len(m.Digests) != testPieces || len(fetcher.Store.Missing(Key{"m", 2})) > 0 {
					t.Fatalf("%s is missing pieces %v", fetcher.Self.Name, fetcher.Store.Missing(Key{"m", 2}))
				}
				for piece, digest := range m.Digests {
					if digest != sha256.Sum256(content(piece)) {
						t.Errorf("%s has the wrong digest for piece %d", fetcher.Self.Name, piece)
					}
				}
			}
		})
	}
}

// A manifest decides nothing about a piece that is held, and a later one that is corrupt
// must not replace a correct one.
func TestAlternativeManifestChangesNoDigestOfHeldPiece(t *testing.T) {
	s := NewStore(0)
	k := Key{"m", 2}
	manifest := func(contents ...int) platform.Manifest {
		m := platform.Manifest{Model: "m", Version: 2}
		for _, c := range contents {
			m.Digests = append(m.Digests, sha256.Sum256(content(c)))
		}
		return m
	}
	s.AddVersion(manifest(0, 1, 9))
	if !s.Put(k, 0, content(0)) || s.Put(k, 2, content(2)) {
		t.Fatal("pieces are not verified by the first manifest")
	}
	s.AddVersion(manifest(8, 7, 2))
	s.AddVersion(manifest(0, 1))
	if s.Put(k, 0, content(8)) {
		t.Error("data that contradicts a held piece was accepted")
	}
	if !s.Put(k, 1, content(1)) || !s.Put(k, 2, content(2)) {
		t.Error("data with a digest of one of the manifests was refused")
	}
	if m, _ := s.Manifest(k); len(m.Digests) != 3 || m.Digests[2] != sha256.Sum256(content(2)) {
		t.Errorf("the manifest does not have the digest of the held piece: %v", m.Digests)
	}
	// Any number of corrupt manifests takes a bounded amount of memory.
	s.AddVersion(platform.Manifest{Model: "m", Version: 3, Digests: make([][32]byte, 2)})
	for n := range 100 {
		other := manifest(n, n)
		other.Version = 3
		s.AddVersion(other)
	}
	if n := len(s.versions[Key{"m", 3}].alternatives[1]); n > maxAlternatives {
		t.Errorf("%d alternative digests of one piece are kept", n)
	}
}
