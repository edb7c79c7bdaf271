package sidecar

import (
	"context"
	"crypto/sha256"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

// A load counts as verified once all staged pieces were found intact after the engine had
// accepted the order, with nothing staged in between: then they were intact when the
// engine took them, however late that was. The check follows from the engine's reports and
// the staged pieces alone, so an agent that was restarted in between makes it as well.

// acceptedLoad is a load of all layers that an engine accepted.
type acceptedLoad struct {
	key    pieces.Key
	layers int
	// born is the engine's start, and orders its number of orders with this one.
	born   int64
	orders uint64
}

// heldBy reports whether an engine's report shows that the load has ended, and nothing
// was loaded since.
func (l acceptedLoad) heldBy(r platform.EngineReport) bool {
	held := heldLayers(r, l.key.Model, l.layers)
	return !r.Busy && r.Born == l.born && r.Orders == l.orders &&
		directory.VersionOf(r.Held, l.key.Model) == l.key.Version && nextLoadStep(held, l.key.Version, l.layers) == stepHeld
}

// verifiedWeights is a version that was verified in an incarnation of the engine, after a
// number of orders.
type verifiedWeights struct {
	version int
	born    int64
	orders  uint64
}

// heldWeights returns the version of a model that a report states.
func heldWeights(r platform.EngineReport, model string) verifiedWeights {
	return verifiedWeights{version: directory.VersionOf(r.Held, model), born: r.Born, orders: r.Orders}
}

// verifyResult is the result of the verification of the weights that an engine holds.
type verifyResult uint8

const (
	// verifyPending: the weights could not be checked yet.
	verifyPending verifyResult = iota
	verifyIntact
	// verifySuspect: a piece is not intact, or was repaired after the load.
	verifySuspect
)

// errNotFound marks the error of a call that the engine answered with status 404.
var errNotFound = errors.New("not found")

// digest is the SHA-256 of a piece.
type digest = [sha256.Size]byte

// missingPiece takes the place of the digest of a piece that is not staged.
var missingPiece digest

// readStaged reads all staged pieces of a version back. It returns their digests, and those
// that are missing or have none of the digests of the manifests that arrived. It changes
// none.
func (u *updater) readStaged(ctx context.Context, key pieces.Key) (corrupt []int, digests []digest, err error) {
	m, ok := u.sidecar.store.Manifest(key)
	if !ok {
		return nil, nil, result.New(result.ChunkMissing, "version %d was replaced", key.Version)
	}
	digests = make([]digest, len(m.Digests))
	for piece, want := range m.Digests {
		staged, err := u.stagedDigest(ctx, key, piece)
		if err != nil && !errors.Is(err, errNotFound) {
			return nil, nil, err
		}
		if err == nil {
			digests[piece] = staged
		}
		if err != nil || staged != want && !u.storeStaged(ctx, key, piece, staged) {
			corrupt = append(corrupt, piece)
		}
	}
	if len(corrupt) == 0 {
		u.recordMatched(key, digests)
	}
	return corrupt, digests, nil
}

// storeStaged stores a staged piece that has one of the digests of other manifests than the
// first, so that this agent states the same digest. It reports whether the piece has one.
func (u *updater) storeStaged(ctx context.Context, key pieces.Key, piece int, staged digest) bool {
	if !u.sidecar.store.HasDigest(key, piece, staged) {
		return false
	}
	data, err := u.stagedPiece(ctx, key, piece)
	return err == nil && u.sidecar.store.Put(key, piece, data)
}

// corruptPieces reads all staged pieces of a version back and returns those that are
// missing or not intact. It changes none.
func (u *updater) corruptPieces(ctx context.Context, key pieces.Key) ([]int, error) {
	corrupt, _, err := u.readStaged(ctx, key)
	return corrupt, err
}

// intactSinceOrder reports whether all staged pieces of a version are intact, and none was
// put since the last order.
func (u *updater) intactSinceOrder(ctx context.Context, key pieces.Key) bool {
	if u.unconfirmedPut == key {
		return false
	}
	corrupt, err := u.corruptPieces(ctx, key)
	u.recordCorrupt(key, corrupt)
	return err == nil && len(corrupt) == 0
}

// readBackLoad reads the pieces back while the engine loads them. If they are intact, the
// weights are verified once the engine reports them, unless a late put may have repaired one.
func (u *updater) readBackLoad(ctx context.Context, load acceptedLoad, ordered time.Time) {
	corrupt, err := u.corruptPieces(ctx, load.key)
	if err != nil || len(corrupt) > 0 {
		u.recordCorrupt(load.key, corrupt)
		u.scope.Counter("loads_unverified").Inc(1)
		return
	}
	if u.latePuts.mayHide(load.key, ordered) {
		u.suspect = load
		u.sidecar.Log.Info("load is repeated after a put without a response", "model", load.key.Model, "version", load.key.Version, "born", load.born)
		u.scope.Counter("loads_repeated").Inc(1)
		return
	}
	u.intact = load
	go u.watchLoad(ctx, load)
}

// watchLoad verifies a load, of which all pieces are intact, when the engine reports it.
// The next transfer may have begun by then and takes seconds.
func (u *updater) watchLoad(ctx context.Context, load acceptedLoad) {
	for range maxBusyPolls {
		select {
		case <-ctx.Done():
			return
		case <-u.sidecar.Clock.After(pendingPollInterval):
		}
		report, err := u.engineReport(ctx)
		if err != nil || report.Busy {
			continue
		}
		if load.heldBy(report) {
			u.recordHeld(load.key.Model, report)
			u.recordVerified(load.key, report)
		}
		return
	}
}

// verifyHeld verifies the version of a model that the engine reports. A report of the
// engine after the check must show the same load as the one before.
func (u *updater) verifyHeld(ctx context.Context, view *feed.View, engine *deployment.Engine, key pieces.Key, report platform.EngineReport) verifyResult {
	load := acceptedLoad{key: key, layers: engine.Layers, born: report.Born, orders: report.Orders}
	switch {
	case u.isVerified(view, key, report):
		u.recordVerified(key, report)
		return verifyIntact
	case nextLoadStep(heldLayers(report, key.Model, engine.Layers), key.Version, engine.Layers) != stepHeld || u.unconfirmedPut == key:
		return verifySuspect
	case u.intact == load:
		u.recordVerified(key, report)
		return verifyIntact
	case u.suspect == load:
		return verifySuspect
	}
	fetchCtx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	spec := u.fetchSpec(view, key)
	// The agents of engines that hold the version may all have been restarted as well.
	clear(spec.Holders)
	if err := u.learnManifest(fetchCtx, cancel, spec); err != nil {
		u.sidecar.Log.Info("failed to fetch manifest", "model", key.Model, "version", key.Version, "error", err)
		u.skipUnlessNewest(view, load)
		return verifyPending
	}
	corrupt, err := u.confirmedCorrupt(ctx, spec)
	if err != nil {
		u.sidecar.Log.Warn("failed to verify a load", "model", key.Model, "version", key.Version, "code", int(result.CodeOf(err)), "error", err)
		if errors.Is(err, errUnconfirmed) {
			u.skipUnlessNewest(view, load)
		}
		return verifyPending
	}
	if len(corrupt) > 0 {
		u.recordCorrupt(key, corrupt)
		u.scope.Counter("loads_unverified").Inc(1)
		u.suspect = load
		return verifySuspect
	}
	after, err := u.engineReport(ctx)
	if err != nil || !load.heldBy(after) {
		return verifyPending
	}
	u.recordVerified(key, after)
	return verifyIntact
}

// verifyTimeout bounds the transfer of the manifest of a version that the engine holds.
const verifyTimeout = 2 * time.Second

// isVerified reports whether the weights of a report were verified before: by this
// process, or by an earlier one whose verification the control processes know. Weights
// that an engine holds before its first order are those of its start.
func (u *updater) isVerified(view *feed.View, key pieces.Key, r platform.EngineReport) bool {
	if r.Initial {
		return true
	}
	u.mu.Lock()
	known := u.verified[key.Model] == heldWeights(r, key.Model)
	u.mu.Unlock()
	return known || u.orderedKey != key && u.published(view, key, r)
}

// published reports whether the control processes know that the weights of a report are
// verified.
func (u *updater) published(view *feed.View, key pieces.Key, r platform.EngineReport) bool {
	for _, record := range view.Servers[u.sidecar.settings.BackendService] {
		if record.Address == u.sidecar.settings.BackendAddress && record.Born == r.Born {
			return slices.ContainsFunc(record.Verified, func(v directory.Verification) bool {
				return v.Model == key.Model && v.Version == key.Version && v.Orders == r.Orders
			})
		}
	}
	return false
}

// nextCheck returns the time of a check or an order, later than that of the last one.
func (u *updater) nextCheck() int64 {
	now := u.sidecar.AgeClock.Now().Sub(boottime.Instant{}).Milliseconds()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastCheck = max(now, u.lastCheck+1)
	return u.lastCheck
}

// recordVerified records that the weights of a report are verified, and publishes it.
func (u *updater) recordVerified(key pieces.Key, r platform.EngineReport) {
	checked := u.nextCheck()
	u.mu.Lock()
	verified := heldWeights(r, key.Model)
	known := u.verified[key.Model] == verified
	u.verified[key.Model] = verified
	if !known {
		u.checked = checked
	}
	u.mu.Unlock()
	if known {
		return
	}
	u.sidecar.Log.Info("load verified", "model", key.Model, "version", key.Version, "born", r.Born, "orders", r.Orders)
	u.scope.Counter("loads_verified").Inc(1)
	u.publish(r)
}

// publish reports the verified versions of the engine's current report to the control
// processes.
func (u *updater) publish(r platform.EngineReport) {
	links := u.sidecar.follower.LinksOpened()
	u.mu.Lock()
	u.publishedAt, u.publishedLinks = u.sidecar.Clock.Now(), links
	checked := u.checked
	var held []directory.ModelVersion
	for _, w := range r.Held {
		if u.verified[w.Model] == heldWeights(r, w.Model) {
			held = append(held, w)
		}
	}
	u.mu.Unlock()
	u.reportEngine(wire.EngineState{Held: held, Born: r.Born, Checked: checked, Orders: r.Orders})
	u.reportDigests(held, links)
}

// publishVerified repeats the report of a verified version to each control process that is
// linked to, and until the control processes know it: a report is lost with its link. A
// report that they take for older than the end of the version needs a new check.
func (u *updater) publishVerified(view *feed.View, key pieces.Key, r platform.EngineReport) {
	known, links := u.published(view, key, r), u.sidecar.follower.LinksOpened()
	u.mu.Lock()
	linked, recent := links != u.publishedLinks, u.sidecar.Clock.Since(u.publishedAt) < settledPollInterval
	u.mu.Unlock()
	switch {
	case linked:
		u.publish(r)
	case !known && !recent:
		u.publishNow(r)
	}
}

// publishNow publishes the verified versions of the engine's current report as checked now.
func (u *updater) publishNow(r platform.EngineReport) {
	checked := u.nextCheck()
	u.mu.Lock()
	u.checked = checked
	u.mu.Unlock()
	u.publish(r)
}

// publishKept publishes the verified version of a model that the engine has kept after it
// refused an order: the order ended the verification.
func (u *updater) publishKept(model string, r platform.EngineReport) {
	u.mu.Lock()
	kept := u.verified[model].version > 0 && u.verified[model] == heldWeights(r, model)
	u.mu.Unlock()
	if kept {
		u.publishNow(r)
	}
}
