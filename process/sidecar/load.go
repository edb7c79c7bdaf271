package sidecar

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

const (
	// stagedFaultGrace is how long a staged piece may have been corrupt at most when the
	// engine accepts the order to load it, as the platform requires.
	stagedFaultGrace = 3 * time.Second
	// maxReadBackAge is the age of the oldest read-back up to which a load is ordered. The
	// rest of stagedFaultGrace is for the order itself.
	maxReadBackAge = 2 * time.Second
	// maxReadBacks bounds the attempts to order a load within maxReadBackAge.
	maxReadBacks = 5
)

// readBackAgeBuckets are the buckets of the age of the oldest read-back when the engine
// has accepted an order.
var readBackAgeBuckets = tally.DurationBuckets{
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, maxReadBackAge, stagedFaultGrace, 5 * time.Second, 10 * time.Second,
}

// uncertainLoad is a load that the engine may have accepted more than stagedFaultGrace
// after its pieces were read back.
type uncertainLoad struct {
	key pieces.Key
	// readBack is when the first piece was read back before the order was sent.
	readBack boottime.Instant
	// corrupt is set once a piece was found to be corrupt after that, or can't be
	// verified any more.
	corrupt bool
	// dropping is set once the engine was ordered to drop the weights.
	dropping bool
}

// completeReadBack is the last time at which every staged piece of a version was intact.
type completeReadBack struct {
	key pieces.Key
	at  boottime.Instant
}

// stagePieces stages every piece at the engine and reads it back to verify it: a
// staged piece may have become corrupt. All pieces were intact at the time that it
// returns.
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
		staged, err := u.callEngine(ctx, http.MethodGet, platform.StageGetPath(key.Model, piece), nil)
		if err == nil && sha256.Sum256(staged) == digest {
			continue
		}
		if u.readBacks.key == key {
			corrupt = append(corrupt, piece)
		}
		data := u.sidecar.store.Piece(key, piece)
		if data == nil {
			return readBack, result.New(result.ChunkMissing, "version %d was replaced", key.Version)
		}
		if u.uncertain != nil && u.uncertain.key == key {
			u.uncertain.corrupt = true
		}
		if _, err := u.callEngine(ctx, http.MethodPut, platform.StagePutPath(key.Model, piece), data); err != nil {
			return readBack, err
		}
		put++
	}
	if len(corrupt) > 0 {
		u.sidecar.Log.Warn("staged pieces corrupt", "model", key.Model, "version", key.Version, "pieces", corrupt,
			"since_intact", u.sidecar.AgeClock.Now().Sub(u.readBacks.at))
		u.scope.Counter("pieces_corrupt").Inc(int64(len(corrupt)))
	}
	if put > 0 {
		// The pieces that were put are read back as well before the engine loads them.
		u.sidecar.Log.Info("pieces staged", "model", key.Model, "version", key.Version, "put", put, "took", u.sidecar.Clock.Since(started))
		return u.stagePieces(ctx, key)
	}
	u.readBacks = completeReadBack{key: key, at: readBack}
	return readBack, nil
}

// loadStaged orders the engine to load the staged version once it carries out no other
// order. If the wait was long, or this VM was suspended meanwhile, the pieces are read back
// again first. readBack is when the first one was last read back.
func (u *updater) loadStaged(ctx context.Context, key pieces.Key, readBack boottime.Instant) error {
	for range maxReadBacks {
		report, err := u.waitEngineIdle(ctx, key)
		if err != nil {
			return err
		}
		age := u.sidecar.AgeClock.Now().Sub(readBack)
		if age <= maxReadBackAge {
			return u.orderLoad(ctx, key, readBack, report)
		}
		u.sidecar.Log.Info("pieces read back again", "model", key.Model, "version", key.Version, "age", age)
		if readBack, err = u.stagePieces(ctx, key); err != nil {
			return err
		}
	}
	return result.New(result.EngineRefused, "staged pieces of version %d not read back within %v in %d attempts", key.Version, maxReadBackAge, maxReadBacks)
}

// orderLoad orders the engine to load the staged version, whose first piece was read back
// at readBack. report is the engine's last one.
func (u *updater) orderLoad(ctx context.Context, key pieces.Key, readBack boottime.Instant, report platform.EngineReport) error {
	body, err := platform.EncodeLoadOrder(key.Model, key.Version)
	if err != nil {
		return err
	}
	u.reportEngine(wire.EngineState{Loading: true})
	_, err = u.callEngine(ctx, http.MethodPost, platform.PathOrder, body)
	age := u.sidecar.AgeClock.Now().Sub(readBack)
	switch {
	case result.CodeOf(err) == result.EngineRefused:
		u.reportEngine(wire.EngineState{})
	case u.uncertain != nil && u.uncertain.key == key && u.uncertain.corrupt:
		// The engine may have accepted an earlier order with the corrupt piece.
	case err != nil || age > stagedFaultGrace:
		// The engine may accept the order at any later time, or has done so too late.
		u.uncertain = &uncertainLoad{key: key, readBack: readBack}
		u.scope.Counter("loads_unverified").Inc(1)
	default:
		u.uncertain = nil
		u.scope.Counter("loads_verified").Inc(1)
		go u.watchLoad(ctx, key)
	}
	u.orderedKey = key
	u.recordOrder(key, report, age, err)
	return err
}

// recordOrder logs and counts an order to load a version. report is the engine's last one
// before the order, age the age of the oldest read-back when the response came.
func (u *updater) recordOrder(key pieces.Key, report platform.EngineReport, age time.Duration, err error) {
	u.sidecar.Log.Info("load ordered", "model", key.Model, "version", key.Version, "born", report.Born, "orders", report.Orders,
		"layers_before", report.Layers.String(), "read_back_age", age, "code", int(result.CodeOf(err)), "error", err)
	u.scope.Counter("loads_ordered").Inc(1)
	if err == nil {
		u.scope.Histogram("read_back_age", readBackAgeBuckets).RecordDuration(age)
	}
}

// resolveUncertainLoad reports whether the weights in the report may be used. If an
// uncertain load was accepted, it reads the staged pieces back, and has the engine drop the
// weights if one was corrupt.
func (u *updater) resolveUncertainLoad(ctx context.Context, model string, layers int, report platform.EngineReport) bool {
	load := u.uncertain
	if load == nil || load.key.Model != model {
		return true
	}
	accepted := report.Busy || directory.VersionOf(report.Held, model) == load.key.Version
	if !accepted && !load.dropping {
		return true
	}
	log := u.sidecar.Log.With("model", model, "version", load.key.Version)
	if !load.corrupt && u.sidecar.AgeClock.Now().Sub(load.readBack) > stagedFaultGrace {
		_, err := u.stagePieces(ctx, load.key)
		switch {
		case result.CodeOf(err) == result.ChunkMissing:
			load.corrupt = true
		case err != nil:
			log.Warn("failed to verify a load that was accepted late", "code", int(result.CodeOf(err)), "error", err)
			return false
		}
	}
	if load.corrupt {
		load.dropping = true
		err := u.dropLayers(ctx, load.key, layers)
		log.Warn("dropping weights that may be loaded from a corrupt piece", "code", int(result.CodeOf(err)), "error", err)
		return false
	}
	u.uncertain = nil
	log.Info("load verified", "born", report.Born, "orders", report.Orders)
	u.scope.Counter("loads_verified").Inc(1)
	go u.watchLoad(ctx, load.key)
	return true
}

// dropLayers has the engine drop every layer that it loaded before, and clears the
// uncertain load. An order for a version that the engine already holds has no effect, so
// the engine first holds only the last layer, and then only another one, which it loads
// anew.
func (u *updater) dropLayers(ctx context.Context, key pieces.Key, layers int) error {
	const minLayers = 3 // with layer 0 the engine would count as holding the version
	if layers < minLayers {
		return result.New(result.EngineRefused, "an engine with %d layers can't drop its weights", layers)
	}
	for _, layer := range []int{layers - 1, 1} {
		readBack, err := u.stagePieces(ctx, key)
		if err != nil && result.CodeOf(err) != result.ChunkMissing {
			return err
		}
		if _, err := u.waitEngineIdle(ctx, key); err != nil {
			return err
		}
		body, err := platform.EncodeLayersOrder(key.Model, key.Version, layer, layer+1, nil)
		if err != nil {
			return err
		}
		if _, err := u.callEngine(ctx, http.MethodPost, platform.PathOrder, body); err != nil {
			return err
		}
		if age := u.sidecar.AgeClock.Now().Sub(readBack); age > stagedFaultGrace {
			return result.New(result.EngineRefused, "order for layer %d accepted %v after the pieces were read back", layer, age)
		}
	}
	u.uncertain = nil
	u.scope.Counter("loads_dropped").Inc(1)
	_, err := u.waitEngineIdle(ctx, key)
	return err
}
