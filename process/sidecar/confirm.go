package sidecar

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

// errUnconfirmed means that a staged piece has another digest than the only manifest that
// arrived: the piece or the manifest is corrupt.
var errUnconfirmed = errors.New("no second manifest confirms that a piece is corrupt")

// confirmedCorrupt is like corruptPieces, but fails with errUnconfirmed if only one manifest
// states that a piece is corrupt. A piece that is held confirms the digest in the manifest;
// for others the manifest is fetched again, unless the control processes have recorded the
// digests of intact pieces.
func (u *updater) confirmedCorrupt(ctx context.Context, spec *pieces.FetchSpec) ([]int, error) {
	corrupt, err := u.corruptPieces(ctx, spec.Key)
	if err != nil || !u.hasUnheld(spec.Key, corrupt) {
		return corrupt, err
	}
	fetchCtx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	second, recorded := u.recordedManifest(fetchCtx, spec)
	if !recorded {
		if second, err = u.fetcher.RefetchManifest(fetchCtx, spec); err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "pieces %v", corrupt), errUnconfirmed)
		}
	}
	confirmed := map[int]bool{}
	for _, piece := range corrupt {
		confirmed[piece] = recorded || piece < len(second.Digests) && u.sidecar.store.HasDigest(spec.Key, piece, second.Digests[piece])
	}
	u.sidecar.store.AddVersion(second)
	if corrupt, err = u.corruptPieces(ctx, spec.Key); err != nil {
		return nil, err
	}
	for _, piece := range corrupt {
		if !confirmed[piece] {
			return nil, errors.Wrapf(errUnconfirmed, "piece %d", piece)
		}
	}
	return corrupt, nil
}

// hasUnheld reports whether one of the pieces is not held, so that only a manifest states
// its digest.
func (u *updater) hasUnheld(key pieces.Key, list []int) bool {
	for _, piece := range list {
		if u.sidecar.store.Piece(key, piece) == nil {
			return true
		}
	}
	return false
}

// skipUnlessNewest gives up the verification of a load, unless it is of the newest version:
// another attempt would only delay that one.
func (u *updater) skipUnlessNewest(view *feed.View, load acceptedLoad) {
	if load.key.Version < u.newestKey(view, load.key.Model).Version {
		u.suspect = load
	}
}
