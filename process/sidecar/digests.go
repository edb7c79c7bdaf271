package sidecar

import (
	"context"
	"crypto/sha256"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

// The control processes record the digests of a version's pieces once a load of it was
// verified. An agent that was restarted gets them from there, and can verify the load again
// while the origin and all agents that know the manifest are out of reach. The digests are
// only a manifest: whether a load is verified follows from the staged pieces as before.

// sentDigests identifies the digests that were sent last, and the number of links opened
// until then.
type sentDigests struct {
	key   pieces.Key
	links uint64
}

// recordMatched records the digests of a version of which all staged pieces match the
// manifest.
func (u *updater) recordMatched(key pieces.Key, digests []digest) {
	joined := make([]byte, 0, len(digests)*sha256.Size)
	for _, d := range digests {
		joined = append(joined, d[:]...)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.matched = wire.PieceDigests{Model: key.Model, Version: key.Version, Digests: joined}
}

// reportDigests reports the digests of a verified version to the control processes, once to
// each that is linked to. links is the number of links opened.
func (u *updater) reportDigests(verified []directory.ModelVersion, links uint64) {
	u.mu.Lock()
	matched := u.matched
	sent := sentDigests{key: pieces.Key{Model: matched.Model, Version: matched.Version}, links: links}
	due := matched.Version > 0 && directory.VersionOf(verified, matched.Model) == matched.Version && u.matchedSent != sent
	if due {
		u.matchedSent = sent
	}
	u.mu.Unlock()
	if due {
		u.sidecar.follower.Broadcast(wire.KindPieceDigests, matched)
	}
}

// recordedManifest returns the manifest that the control processes have recorded.
func (u *updater) recordedManifest(ctx context.Context, spec *pieces.FetchSpec) (m platform.Manifest, ok bool) {
	digests := u.sidecar.follower.RecordedDigests(ctx, spec.Key.Model, spec.Key.Version)
	if len(digests) == 0 || len(digests) != spec.Pieces*sha256.Size {
		return m, false
	}
	m = platform.Manifest{Model: spec.Key.Model, Version: spec.Key.Version, PieceBytes: spec.PieceBytes}
	for ; len(digests) > 0; digests = digests[sha256.Size:] {
		m.Digests = append(m.Digests, [sha256.Size]byte(digests))
	}
	return m, true
}

// learnManifest gets the manifest of a version that the engine holds, unless it is known,
// from the control processes or the sources of its pieces, whichever has it first: control
// processes that were just restarted may need seconds, and the origin may not answer. cancel
// ends ctx.
func (u *updater) learnManifest(ctx context.Context, cancel context.CancelFunc, spec *pieces.FetchSpec) error {
	if _, known := u.sidecar.store.Manifest(spec.Key); known {
		return nil
	}
	asked := make(chan struct{})
	go func() {
		for first := true; ctx.Err() == nil; first = false {
			m, ok := u.recordedManifest(ctx, spec)
			if ok {
				u.sidecar.store.AddVersion(m)
				u.sidecar.Log.Info("manifest recorded by control processes used", "model", spec.Key.Model, "version", spec.Key.Version)
				cancel()
			}
			if first {
				close(asked)
			}
			if ok {
				return
			}
			select {
			case <-ctx.Done():
			case <-u.sidecar.Clock.After(pendingPollInterval):
			}
		}
	}()
	err := u.fetcher.FetchManifest(ctx, spec)
	if err != nil {
		// The sources may fail before the control processes have answered.
		select {
		case <-ctx.Done():
		case <-asked:
		}
	}
	if _, known := u.sidecar.store.Manifest(spec.Key); known {
		return nil
	}
	return err
}
