package sidecar

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

const (
	// maxReadBackAge is the age of the oldest read-back up to which a load is ordered. A
	// piece that became corrupt since then costs another load.
	maxReadBackAge = 2 * time.Second
	// maxLoadOrders bounds the orders and the repeated read-backs of one load.
	maxLoadOrders = 5
	// maxUnanswered bounds the orders without a response that are known; the oldest goes.
	maxUnanswered = 16
)

// readBackAgeBuckets are the buckets of the age of the oldest read-back when the engine
// has accepted an order.
var readBackAgeBuckets = tally.DurationBuckets{
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, maxReadBackAge, 3 * time.Second, 5 * time.Second, 10 * time.Second,
}

// completeReadBack is the last time at which every staged piece of a version was intact.
type completeReadBack struct {
	key pieces.Key
	at  boottime.Instant
}

// stagePieces stages every piece at the engine and reads it back to verify it: a
// staged piece may have become corrupt. readBack is when the first one was read back for
// the last time. The engine must not hold layers of the version that are to be verified.
func (u *updater) stagePieces(ctx context.Context, key pieces.Key) (readBack boottime.Instant, err error) {
	m, ok := u.sidecar.store.Manifest(key)
	if !ok {
		return readBack, result.New(result.ChunkMissing, "version %d was replaced", key.Version)
	}
	started := u.sidecar.Clock.Now()
	readBack = u.sidecar.AgeClock.Now()
	put := 0
	var corrupt []int
	for piece, digest := range m.Digests {
		staged, err := u.stagedDigest(ctx, key, piece)
		if err == nil && staged == digest {
			continue
		}
		if u.readBacks.key == key && (err == nil || errors.Is(err, errNotFound)) {
			corrupt = append(corrupt, piece)
		}
		data := u.sidecar.store.Piece(key, piece)
		if data == nil {
			return readBack, result.New(result.ChunkMissing, "version %d was replaced", key.Version)
		}
		u.unconfirmedPut = key
		_, err = u.callEngine(ctx, http.MethodPut, platform.StagePutPath(key.Model, piece), data)
		u.latePuts.putDone(u.sidecar.Clock.Now(), key, err)
		if err != nil {
			return readBack, err
		}
		put++
	}
	u.recordCorrupt(key, corrupt)
	if put > 0 {
		// The pieces that were put are read back as well before the engine loads them.
		u.sidecar.Log.Info("pieces staged", "model", key.Model, "version", key.Version, "put", put, "took", u.sidecar.Clock.Since(started))
		return u.stagePieces(ctx, key)
	}
	u.readBacks = completeReadBack{key: key, at: readBack}
	return readBack, nil
}

// recordCorrupt logs and counts the staged pieces of a version that are not intact any more.
func (u *updater) recordCorrupt(key pieces.Key, corrupt []int) {
	if len(corrupt) == 0 {
		return
	}
	log := u.sidecar.Log.With("model", key.Model, "version", key.Version, "pieces", corrupt)
	if u.readBacks.key == key {
		log = log.With("since_intact", u.sidecar.AgeClock.Now().Sub(u.readBacks.at))
	}
	log.Warn("staged pieces corrupt")
	u.scope.Counter("pieces_corrupt").Inc(int64(len(corrupt)))
}

// loadStaged orders the engine to load the staged version once it executes no other order.
func (u *updater) loadStaged(ctx context.Context, key pieces.Key, layers int, staged stagedPieces) error {
	var refused error
	var before platform.EngineReport
	for range maxLoadOrders {
		report, err := u.waitEngineIdle(ctx, key)
		if err != nil {
			return err
		}
		if refused != nil && report.Born == before.Born && report.Orders == before.Orders {
			u.publishKept(key.Model, report)
			return refused
		}
		before = report
		step := nextLoadStep(heldLayers(report, key.Model, layers), key.Version, layers)
		if step == stepHeld {
			return nil // an order that received no response was accepted
		}
		var ready bool
		if step, ready, err = u.prepareStep(ctx, key, step, layers, report, &staged); err != nil {
			return err
		}
		if !ready {
			continue
		}
		ordered := u.sidecar.Clock.Now()
		refused = u.order(ctx, key, step, layers, report)
		if refused != nil && result.CodeOf(refused) != result.EngineRefused {
			return refused
		}
		if refused == nil && step.loadsAll() {
			u.readBackLoad(ctx, acceptedLoad{key: key, layers: layers, born: report.Born, orders: report.Orders + 1}, ordered)
			return nil
		}
	}
	return result.New(result.EngineRefused, "version %d not loaded after %d orders and read-backs", key.Version, maxLoadOrders)
}

// prepareStep stages the pieces before a step that loads them, unless they were staged
// recently, and returns the step to order. It is not ready if the engine's report is from
// before a piece was put.
func (u *updater) prepareStep(ctx context.Context, key pieces.Key, step loadStep, layers int, report platform.EngineReport, staged *stagedPieces) (next loadStep, ready bool, err error) {
	if step == stepComplete && !u.intactSinceOrder(ctx, key) {
		return stepDrop, true, nil
	}
	if !u.mayStage(key, step, report) || u.isRecent(*staged, report) {
		return step, true, nil
	}
	u.sidecar.Log.Info("pieces read back again", "model", key.Model, "version", key.Version, "age", u.age(staged.readBack), "born", report.Born)
	*staged, err = u.stageFor(ctx, key, layers, report)
	if errors.Is(err, errEarlierOrder) {
		return step.fence(), true, nil
	}
	return step, false, err
}

// stagedPieces describes the last time that all pieces of a version were staged; it is zero
// if they were not.
type stagedPieces struct {
	// readBack is when the first piece was read back for the last time.
	readBack boottime.Instant
	// born is the start of the engine before that.
	born int64
}

// errEarlierOrder means that no piece may be put: the engine may still accept an order of an
// earlier process of this agent for the version.
var errEarlierOrder = errors.New("the engine may accept an earlier order")

// stageFor stages every piece at the engine whose last report is given.
func (u *updater) stageFor(ctx context.Context, key pieces.Key, layers int, report platform.EngineReport) (stagedPieces, error) {
	first := stagedVersion{key: key, born: report.Born}
	if layers >= minDropLayers && (u.fitsEarlierOrder(key, report) || !u.accepted.in(report) && u.stagedFirst != first) {
		started := u.sidecar.AgeClock.Now()
		corrupt, digests, err := u.readStaged(ctx, key)
		if err != nil {
			return stagedPieces{}, err
		}
		if len(corrupt) == 0 {
			u.readBacks = completeReadBack{key: key, at: started}
			return stagedPieces{readBack: started, born: report.Born}, nil
		}
		if u.mayBeOrdered(key, corrupt, digests, report) {
			u.recordCorrupt(key, corrupt)
			return stagedPieces{}, errEarlierOrder
		}
		u.stagedFirst = first
	}
	readBack, err := u.stagePieces(ctx, key)
	return stagedPieces{readBack: readBack, born: report.Born}, err
}

// mayBeOrdered reports whether an earlier process may have ordered a load of a version, of
// which some staged pieces are not intact. Pieces are put in order: the load was not ordered
// if one of the last ones is missing, or still that of the version that the engine holds. If
// no piece is intact, one of a third version shows that an earlier process got that far.
func (u *updater) mayBeOrdered(key pieces.Key, corrupt []int, digests []digest, report platform.EngineReport) bool {
	if wereAllStaged(corrupt, len(digests)) {
		return true
	}
	held, _ := u.sidecar.store.Manifest(pieces.Key{Model: key.Model, Version: directory.VersionOf(report.Held, key.Model)})
	third := false
	for _, piece := range corrupt {
		if digests[piece] == missingPiece || piece < len(held.Digests) && digests[piece] == held.Digests[piece] {
			return false
		}
		third = third || u.sidecar.store.Known(key.Model, piece, digests[piece])
	}
	return third || len(corrupt) < len(digests)
}

// isRecent reports whether the pieces were staged at this incarnation of the engine, which
// may have lost them otherwise, and not longer than maxReadBackAge ago.
func (u *updater) isRecent(staged stagedPieces, report platform.EngineReport) bool {
	return !staged.readBack.IsZero() && staged.born == report.Born && u.age(staged.readBack) <= maxReadBackAge
}

// age returns the time since a read-back.
func (u *updater) age(readBack boottime.Instant) time.Duration {
	return u.sidecar.AgeClock.Now().Sub(readBack)
}

// stagedVersion is a version of which a process found the pieces not staged at an
// incarnation of the engine.
type stagedVersion struct {
	key  pieces.Key
	born int64
}

// sentOrder is an order without a response: the engine may accept it as long as its start
// and its number of orders are the same, also after it has refused a later one.
type sentOrder struct {
	key    pieces.Key
	born   int64
	orders uint64
}

// mayBeAccepted reports whether the engine may still accept an order for the version that
// received no response. Its pieces are not staged until the order, which is sent again, is
// accepted: a repaired piece would hide that it was loaded while it was corrupt.
func (u *updater) mayBeAccepted(key pieces.Key, report platform.EngineReport) bool {
	return slices.Contains(u.unanswered, sentOrder{key: key, born: report.Born, orders: report.Orders})
}

// fitsEarlierOrder reports whether an order for the version that was sent to an earlier
// incarnation and received no response fits this one, which counts its own orders.
func (u *updater) fitsEarlierOrder(key pieces.Key, report platform.EngineReport) bool {
	return slices.ContainsFunc(u.unanswered, func(o sentOrder) bool {
		return o.key == key && o.born != report.Born && o.orders == report.Orders
	})
}

// mayStage reports whether pieces may be put before a step: not while the engine may load
// the version.
func (u *updater) mayStage(key pieces.Key, step loadStep, report platform.EngineReport) bool {
	loading := report.Busy && (u.orderedKey == key || !u.accepted.in(report))
	return step.mayStage() && !loading && !u.mayBeAccepted(key, report)
}

// order orders the engine to execute a step. report is the engine's last one; the engine
// refuses the order if it has accepted another one since.
func (u *updater) order(ctx context.Context, key pieces.Key, step loadStep, layers int, report platform.EngineReport) error {
	if step == stepDrop && layers < minDropLayers {
		return result.New(result.EngineRefused, "an engine with %d layers can't drop its weights", layers)
	}
	from, target := step.layersOf(layers)
	body, err := platform.EncodeLayersOrder(key.Model, key.Version, from, target, report.Orders)
	if err != nil {
		return err
	}
	u.orderedKey = key
	u.unanswered = slices.DeleteFunc(u.unanswered, func(o sentOrder) bool { return o.born == report.Born && o.orders < report.Orders })
	if step != stepDrop {
		// The report was requested after the last piece was put.
		u.unconfirmedPut = pieces.Key{}
	}
	u.reportEngine(wire.EngineState{
		Loading: true, Held: report.Held, Born: report.Born, Checked: u.nextCheck(), Orders: report.Orders,
		Loads: []directory.ModelVersion{{Model: key.Model, Version: key.Version}},
	})
	ordered := u.sidecar.AgeClock.Now()
	err = u.postOrder(ctx, report.Born, body)
	code := result.CodeOf(err)
	if sent := (sentOrder{key: key, born: report.Born, orders: report.Orders}); code == result.EngineUnreadable && !slices.Contains(u.unanswered, sent) {
		u.unanswered = append(u.unanswered[max(0, len(u.unanswered)+1-maxUnanswered):], sent)
	}
	if err == nil {
		u.accepted = acceptedOrder{known: true, born: report.Born, orders: report.Orders + 1}
	}
	if code == result.EngineRefused {
		u.reportEngine(wire.EngineState{Born: report.Born})
	}
	u.recordOrder(key, step, report, ordered, err)
	return err
}

// recordOrder logs and counts an order. report is the engine's last one before it, and ordered
// is when it was sent.
func (u *updater) recordOrder(key pieces.Key, step loadStep, report platform.EngineReport, ordered boottime.Instant, err error) {
	log := u.sidecar.Log.With("model", key.Model, "version", key.Version, "born", report.Born, "orders", report.Orders,
		"layers_before", report.Layers.String(), "code", int(result.CodeOf(err)), "error", err)
	switch {
	case step == stepDrop && err != nil:
		log.Warn("failed to drop a load")
		return
	case step == stepDrop:
		log.Warn("load dropped")
		u.scope.Counter("loads_dropped").Inc(1)
		return
	}
	u.scope.Counter("loads_ordered").Inc(1)
	if u.readBacks.key == key {
		age := u.age(u.readBacks.at)
		log = log.With("read_back_age", age)
		if err == nil {
			u.scope.Histogram("read_back_age", readBackAgeBuckets).RecordDuration(age)
		}
	}
	answered := u.sidecar.AgeClock.Now()
	attrs := []any{"complete", step != stepReplaceLast, "took", answered.Sub(ordered)}
	log.Info("load ordered", u.appendUsable(attrs, key.Model, directory.VersionOf(report.Held, key.Model), "usable_answered_ms", answered)...)
}
