// Package pieces distributes one version of a model's weights to the VMs of a
// deployment whose agents have no disk. The weights are split into small pieces
// that are held in memory and verified by SHA-256 on arrival.
//
// Each piece leaves the origin once, to the responsible agent in the origin's
// region, and enters each other region once, to the responsible agent there. All
// other agents get it from the responsible agent of their region or from another
// holder. A request lists all wanted pieces for which the asked agent is
// responsible and is answered with whichever of them arrives first, so that every
// link is busy from the first pieces on. If an agent fails or does not answer,
// the next one in the order replaces it; the origin is the last resort.
package pieces

import (
	"context"
	"crypto/sha256"
	"slices"
	"sync"

	"golang.org/x/time/rate"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

// Key identifies a version of a model's weights.
type Key struct {
	Model   string
	Version int
}

// versionPieces holds the pieces of one version that have arrived so far.
type versionPieces struct {
	// manifest has the digests of the first manifest that arrived and, for each piece
	// held, the digest of its data.
	manifest platform.Manifest
	// alternatives holds the other digests of pieces in later manifests. Only the data of
	// a piece shows which manifest was sent correctly.
	alternatives map[int][][sha256.Size]byte
	pieces       [][]byte
	// sendCounts counts how often each piece was sent to other agents.
	sendCounts []int
}

// Store holds the pieces of the two newest versions of each model: other agents
// may still request the older one while the newer one is being fetched. It is
// safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	versions map[Key]*versionPieces
	// changed is closed and replaced at each change.
	changed chan struct{}
	// pace limits the rate of sends to other agents, which share the VM's link
	// with the events of live requests.
	pace *rate.Limiter
	// queue holds the requests that wait for a piece or for a send slot.
	queue queue
	// unknownVersion signals that another agent requested a version that is not
	// known here: its manifest is available now.
	unknownVersion chan struct{}
}

// NewStore returns an empty store that sends at most bytesPerSecond to other
// agents; 0 is no limit.
func NewStore(bytesPerSecond float64) *Store {
	limit := rate.Inf
	if bytesPerSecond > 0 {
		limit = rate.Limit(bytesPerSecond)
	}
	return &Store{
		versions: map[Key]*versionPieces{}, changed: make(chan struct{}),
		pace: rate.NewLimiter(limit, sliceBytes), queue: queue{sendTimes: transferTimes{}}, unknownVersion: make(chan struct{}, 1),
	}
}

// notifyLocked wakes the waiters after a change. The caller must hold mu.
func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
	s.queue.dispatch(s.versions)
}

// keptVersions is the number of versions of a model that are held.
const keptVersions = 2

// maxAlternatives bounds the alternative digests of a piece; the oldest is dropped.
const maxAlternatives = 4

// AddVersion adds an empty version, or alternative digests to one that is known. Versions
// of the model that are older than the newest two are dropped.
func (s *Store) AddVersion(m platform.Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := Key{Model: m.Model, Version: m.Version}
	if found := s.versions[k]; found != nil {
		found.addAlternatives(m.Digests)
		return
	}
	s.versions[k] = &versionPieces{manifest: m, pieces: make([][]byte, len(m.Digests)), sendCounts: make([]int, len(m.Digests))}
	for old := range s.versions {
		if old.Model == k.Model && s.newerVersionsLocked(old) >= keptVersions {
			delete(s.versions, old)
		}
	}
	s.notifyLocked()
}

// addAlternatives adds the digests of another manifest for the pieces that are not held.
func (v *versionPieces) addAlternatives(digests [][sha256.Size]byte) {
	if len(digests) != len(v.pieces) {
		return
	}
	for i, digest := range digests {
		known := v.alternatives[i]
		if v.pieces[i] != nil || digest == v.manifest.Digests[i] || slices.Contains(known, digest) {
			continue
		}
		if v.alternatives == nil {
			v.alternatives = map[int][][sha256.Size]byte{}
		}
		v.alternatives[i] = append(known[max(0, len(known)+1-maxAlternatives):], digest)
	}
}

// put stores a piece if its data has one of the digests of the piece, and reports whether
// it has.
func (v *versionPieces) put(piece int, data []byte, digest [sha256.Size]byte) bool {
	if piece < 0 || piece >= len(v.pieces) {
		return false
	}
	if digest != v.manifest.Digests[piece] {
		if !slices.Contains(v.alternatives[piece], digest) {
			return false
		}
		// Callers of Store.Manifest may still read the old slice.
		v.manifest.Digests = slices.Clone(v.manifest.Digests)
		v.manifest.Digests[piece] = digest
	}
	delete(v.alternatives, piece)
	if v.pieces[piece] == nil {
		v.pieces[piece] = data
	}
	return true
}

// newerVersionsLocked counts the versions of the model that are newer than k.
// The caller must hold mu.
func (s *Store) newerVersionsLocked(k Key) int {
	n := 0
	for other := range s.versions {
		if other.Model == k.Model && other.Version > k.Version {
			n++
		}
	}
	return n
}

// UnknownVersionRequests returns a channel that receives a value when another
// agent requests a version that is not known here.
func (s *Store) UnknownVersionRequests() <-chan struct{} { return s.unknownVersion }

// Manifest returns the manifest of a version, or false if it is not known.
func (s *Store) Manifest(k Key) (platform.Manifest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := s.versions[k]; found != nil {
		return found.manifest, true
	}
	return platform.Manifest{}, false
}

// Known reports whether a digest is that of a piece of one of the versions of a model that
// are known here.
func (s *Store) Known(model string, piece int, digest [sha256.Size]byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, v := range s.versions {
		if k.Model == model && piece < len(v.manifest.Digests) && v.manifest.Digests[piece] == digest {
			return true
		}
	}
	return false
}

// Put verifies a piece and stores it. It reports whether the version is known and the
// data matches a digest of the piece.
func (s *Store) Put(k Key, piece int, data []byte) bool {
	digest := sha256.Sum256(data)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.versions[k]
	if found == nil || !found.put(piece, data, digest) {
		return false
	}
	s.notifyLocked()
	return true
}

// Piece returns the data of a piece, or nil if it is not held.
func (s *Store) Piece(k Key, piece int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.versions[k]
	if found == nil || piece < 0 || piece >= len(found.pieces) {
		return nil
	}
	return found.pieces[piece]
}

// Held returns the pieces that are held, or nil if the version is not known.
func (s *Store) Held(k Key) planner.Bits {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.versions[k]
	if found == nil {
		return nil
	}
	held := planner.NewBits(len(found.pieces))
	for i, p := range found.pieces {
		if p != nil {
			held.Set(i)
		}
	}
	return held
}

// Missing returns the pieces that are not held, or nil if the version is not
// known.
func (s *Store) Missing(k Key) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.versions[k]
	if found == nil {
		return nil
	}
	var missing []int
	for i, p := range found.pieces {
		if p == nil {
			missing = append(missing, i)
		}
	}
	return missing
}

// WaitManifest waits until the manifest of a version is known and returns it, or
// false if ctx ends first.
func (s *Store) WaitManifest(ctx context.Context, k Key) (platform.Manifest, bool) {
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if m, ok := s.Manifest(k); ok {
			return m, true
		}
		select {
		case <-ctx.Done():
			return platform.Manifest{}, false
		case <-changed:
		}
	}
}
