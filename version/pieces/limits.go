package pieces

import "github.com/waxwingpost/waxwingpost/platform"

const (
	// maxPieceBytes limits the size of a piece whose manifest does not state it.
	maxPieceBytes = 16 << 20
	// maxManifestBytes limits the size of a manifest: one with 10,000 pieces is
	// smaller.
	maxManifestBytes = 1 << 20
)

// PieceLimit returns the maximum size of a version's pieces.
func PieceLimit(m platform.Manifest) int64 {
	if m.PieceBytes <= 0 {
		return maxPieceBytes
	}
	return min(int64(m.PieceBytes), maxPieceBytes)
}
