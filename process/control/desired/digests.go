package desired

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"github.com/waxwingpost/waxwingpost/process/control"
)

const (
	// keptDigests is the number of versions of a model whose digests are kept, the newest
	// ones.
	keptDigests = 2
	// MaxDigestBytes bounds the digests of one version; those of larger ones are not kept.
	MaxDigestBytes = 2048 * sha256.Size
)

// RecordedDigests returns the digests of a version's pieces, or nil if none are recorded or
// different ones were reported.
func (s *State) RecordedDigests(model string, version int) []byte {
	for _, d := range s.Digests[model] {
		if d.Version == version {
			return d.Digests
		}
	}
	return nil
}

// NeedsDigests reports whether recording the digests would change the state.
func (s *State) NeedsDigests(d control.PieceDigests) bool {
	if len(d.Digests) == 0 || len(d.Digests)%sha256.Size != 0 || len(d.Digests) > MaxDigestBytes || d.Version <= 0 || d.Version > s.Weights[d.Model] {
		return false
	}
	known := s.Digests[d.Model]
	for _, k := range known {
		if k.Version == d.Version {
			return len(k.Digests) > 0 && !bytes.Equal(k.Digests, d.Digests)
		}
	}
	return len(known) < keptDigests || d.Version > known[0].Version
}

// recordDigests records the digests of a version's pieces. If different ones are recorded,
// neither is kept: at least one is wrong. The caller holds the lock.
func (m *Machine) recordDigests(d control.PieceDigests) {
	if !m.state.NeedsDigests(d) {
		return
	}
	list := slices.Clone(m.state.Digests[d.Model])
	if i := slices.IndexFunc(list, func(k control.PieceDigests) bool { return k.Version == d.Version }); i >= 0 {
		list[i].Digests = nil
	} else {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b control.PieceDigests) int { return a.Version - b.Version })
	m.state.Digests = withValue(m.state.Digests, d.Model, list[max(0, len(list)-keptDigests):])
}
