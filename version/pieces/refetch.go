package pieces

import (
	"context"
	"crypto/sha256"
	"slices"

	"github.com/waxwingpost/waxwingpost/platform"
)

// RefetchManifest fetches the manifest of a version that is known, from the origin if it
// answers, or else from an agent that did not send the first one: it may pass on a corrupt
// manifest. It does not change the store.
func (f *Fetcher) RefetchManifest(ctx context.Context, spec *FetchSpec) (m platform.Manifest, err error) {
	f.mu.Lock()
	first := f.manifestFrom
	f.mu.Unlock()
	sources := []Source{{From: Origin}}
	for _, source := range f.currentPlan(spec).Sources(manifestPiece, f.peerState(spec.Key)) {
		if source.From != Origin && source.From != first && !f.isAvoided(source.From) {
			sources = append(sources, Source{From: source.From})
		}
	}
	err = errNotAvailable
	for _, source := range sources {
		if source.From == Origin && spec.Origin == "" {
			continue
		}
		if m, err = f.fetchManifestFrom(ctx, spec, source); err == nil || ctx.Err() != nil {
			return m, err
		}
	}
	return m, err
}

// HasDigest reports whether a manifest of a version that was added has the digest for the
// piece.
func (s *Store) HasDigest(k Key, piece int, digest [sha256.Size]byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.versions[k]
	if found == nil || piece < 0 || piece >= len(found.pieces) {
		return false
	}
	return found.manifest.Digests[piece] == digest || slices.Contains(found.alternatives[piece], digest)
}
