// Package pieces spreads one version of a model's weights over the VMs of a
// deployment whose agents have no disk: small pieces, held in memory, verified
// by SHA-256 on arrival.
//
// Each piece leaves the origin once, to the agent in charge of it in the
// origin's region; it enters each other region once, to the agent in charge
// there; all others take it from the one in charge in their region, or from one
// that has it. A request names all pieces that the agent asked is in charge of,
// and is answered with whichever of them arrives first, so that every link is
// busy from the first pieces on. Where an agent fails or does not answer, the
// next in the order takes its place, and the origin is asked last.
package pieces

import (
	"context"
	"crypto/sha256"
	"sync"

	"golang.org/x/time/rate"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

// Key names a version of a model's weights.
type Key struct {
	Model   string
	Version int
}

// set is one version that is held or on its way.
type set struct {
	manifest platform.Manifest
	pieces   [][]byte
	// given counts how often each piece was sent to other agents.
	given []int
}

// Store holds the pieces of the two newest versions of each model: others may
// still want the older one while the newer is on its way. Safe for concurrent
// use.
type Store struct {
	mu   sync.Mutex
	sets map[Key]*set
	// changed is closed and replaced at each change.
	changed chan struct{}
	// pace spreads what is sent to other agents: it shares the VM's link with
	// the events of live requests.
	pace *rate.Limiter
	// queue holds the requests that wait for a piece or for their turn.
	queue queue
	// news is sent to when another agent asks for a version that is not known
	// here: its manifest can be had.
	news chan struct{}
}

// NewStore returns an empty store that sends at most bytesPerSecond to other
// agents; 0 is no limit.
func NewStore(bytesPerSecond float64) *Store {
	limit := rate.Inf
	if bytesPerSecond > 0 {
		limit = rate.Limit(bytesPerSecond)
	}
	return &Store{
		sets: map[Key]*set{}, changed: make(chan struct{}),
		pace: rate.NewLimiter(limit, sliceBytes), queue: queue{took: timings{}}, news: make(chan struct{}, 1),
	}
}

// notify tells those that wait of a change. The caller holds the lock.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
	s.queue.pump(s.sets)
}

// keptVersions is how many versions of a model are held.
const keptVersions = 2

// Begin makes room for a version. Versions that are older than the newest two
// are dropped.
func (s *Store) Begin(m platform.Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := Key{Model: m.Model, Version: m.Version}
	if s.sets[k] != nil {
		return
	}
	s.sets[k] = &set{manifest: m, pieces: make([][]byte, len(m.Digests)), given: make([]int, len(m.Digests))}
	for old := range s.sets {
		if old.Model == k.Model && s.newer(old) >= keptVersions {
			delete(s.sets, old)
		}
	}
	s.notify()
}

// newer counts the versions of the model above k. The caller holds the lock.
func (s *Store) newer(k Key) int {
	n := 0
	for other := range s.sets {
		if other.Model == k.Model && other.Version > k.Version {
			n++
		}
	}
	return n
}

// News receives when another agent asks for a version that is not known here.
func (s *Store) News() <-chan struct{} { return s.news }

// Manifest returns the manifest of a version; false where it is not known.
func (s *Store) Manifest(k Key) (platform.Manifest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := s.sets[k]; found != nil {
		return found.manifest, true
	}
	return platform.Manifest{}, false
}

// Put verifies a piece and takes it in. It reports whether the bytes are right.
func (s *Store) Put(k Key, piece int, data []byte) bool {
	m, ok := s.Manifest(k)
	if !ok || piece < 0 || piece >= len(m.Digests) || sha256.Sum256(data) != m.Digests[piece] {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.sets[k]
	if found == nil {
		return false
	}
	if found.pieces[piece] == nil {
		found.pieces[piece] = data
		s.notify()
	}
	return true
}

// Piece returns a piece that is held, or nil.
func (s *Store) Piece(k Key, piece int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.sets[k]
	if found == nil || piece < 0 || piece >= len(found.pieces) {
		return nil
	}
	return found.pieces[piece]
}

// Held returns which pieces are held.
func (s *Store) Held(k Key) planner.Bits {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.sets[k]
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

// Missing lists the pieces that are not held.
func (s *Store) Missing(k Key) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.sets[k]
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

// WaitManifest returns a manifest once it is known; false when ctx ends before.
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
