package sidecar

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/pieces"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

// installVersion fetches, stages, verifies and loads a version. It is canceled if the
// transfer stalls or another version becomes the preferred one.
func (u *updater) installVersion(ctx context.Context, view *feed.View, engine *deployment.Engine, key pieces.Key) error {
	installCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := u.watchTransfer(installCtx, cancel, key)
	defer stop()
	fetchCtx, cancelFetch := context.WithTimeout(installCtx, fetchTimeout)
	defer cancelFetch()
	if err := u.fetcher.FetchManifest(fetchCtx, u.fetchSpec(view, key)); err != nil {
		return err
	}
	u.collectStaged(ctx, key)
	// The fetcher calls currentSpec before each request; the view changes more
	// rarely.
	var lastView *feed.View
	var spec *pieces.FetchSpec
	currentSpec := func() *pieces.FetchSpec {
		if v := u.sidecar.follower.View(); v != lastView {
			lastView, spec = v, u.fetchSpec(v, key)
		}
		return spec
	}
	if err := u.fetcher.Fetch(fetchCtx, currentSpec); err != nil {
		return err
	}
	staged, err := u.stageBeforeLoad(ctx, key, engine.Layers)
	if err != nil {
		return err
	}
	if err := u.waitLoadTime(installCtx, key); err != nil {
		return err
	}
	return u.loadStaged(ctx, key, engine.Layers, staged)
}

// stageBeforeLoad stages the pieces, unless the engine holds layers of the version or may
// still accept an order for it.
func (u *updater) stageBeforeLoad(ctx context.Context, key pieces.Key, layers int) (staged stagedPieces, err error) {
	report, err := u.engineReport(ctx)
	if err != nil {
		return staged, err
	}
	step := nextLoadStep(heldLayers(report, key.Model, layers), key.Version, layers)
	if !u.mayStage(key, step, report) {
		return staged, nil
	}
	if staged, err = u.stageFor(ctx, key, layers, report); errors.Is(err, errEarlierOrder) {
		return stagedPieces{}, nil
	}
	return staged, err
}

// watchTransfer cancels a transfer that stalls while another version is worth
// installing, or whose version is no longer the one to install.
func (u *updater) watchTransfer(ctx context.Context, cancel context.CancelFunc, key pieces.Key) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case <-u.sidecar.Clock.After(pendingPollInterval):
			}
			versions := u.wanted(u.sidecar.follower.View(), key.Model)
			stalled := u.transferStalled(key, u.sidecar.Clock.Now()) && len(versions) > 1
			if stalled || len(versions) > 0 && u.nextKey(key.Model, versions) != key {
				u.sidecar.Log.Info("transfer canceled for another version", "model", key.Model, "version", key.Version,
					"missing", u.missingPieces(key), "stalled", stalled, "versions", versions)
				cancel()
				return
			}
		}
	}()
	return func() { close(done) }
}

// missingPieces returns the number of missing pieces, or -1 before the manifest is
// known.
func (u *updater) missingPieces(key pieces.Key) int {
	if _, known := u.sidecar.store.Manifest(key); !known {
		return -1
	}
	return len(u.sidecar.store.Missing(key))
}

// missingPart returns the part of a version's pieces that this agent lacks, 1 if the manifest
// is unknown.
func (u *updater) missingPart(view *feed.View, key pieces.Key) float64 {
	engine, missing := u.engineConfig(view), u.missingPieces(key)
	if engine == nil || missing < 0 || missing > engine.Pieces {
		return 1
	}
	return float64(missing) / float64(engine.Pieces)
}

// waitEngineIdle waits until the engine carries out no order and returns its report.
func (u *updater) waitEngineIdle(ctx context.Context, key pieces.Key) (platform.EngineReport, error) {
	for range maxBusyPolls {
		report, err := u.engineReport(ctx)
		if err != nil || !report.Busy {
			return report, err
		}
		u.recordStep(key, report, "engine is busy")
		select {
		case <-ctx.Done():
			return report, ctx.Err()
		case <-u.sidecar.Clock.After(pendingPollInterval):
		}
	}
	return platform.EngineReport{}, result.New(result.EngineRefused, "engine still busy after all polls")
}

// fetchSpec describes the transfer of a version. The agents are those on the VMs
// of the service's servers, named by the VM's IP address.
func (u *updater) fetchSpec(view *feed.View, key pieces.Key) *pieces.FetchSpec {
	spec := &pieces.FetchSpec{Key: key, Peers: map[string]string{}, Holders: map[string]bool{}}
	if origin := view.Config.Origin(); origin != nil {
		spec.Origin, spec.OriginConns, spec.HomeRegion = origin.Address, origin.MaxConns, u.sidecar.settings.Regions[origin.Zone]
		spec.OriginTime = u.originTransferTime(view)
	}
	for _, v := range view.Weights[key.Model].Versions() {
		if v.Version == key.Version {
			spec.Age = max(0, u.sidecar.AgeClock.Now().Sub(v.Since))
		}
	}
	if engine := u.engineConfig(view); engine != nil {
		spec.Pieces, spec.PieceBytes = engine.Pieces, engine.PieceBytes
	}
	for _, record := range view.Servers[u.sidecar.settings.BackendService] {
		host, _, err := net.SplitHostPort(record.Address)
		if err != nil || spec.Peers[host] != "" {
			continue
		}
		spec.Nodes = append(spec.Nodes, planner.Node{Name: host, Zone: record.Zone, Region: u.sidecar.settings.Regions[record.Zone]})
		spec.Peers[host] = u.sidecar.settings.PeerAddress(host)
		spec.Holders[host] = record.HeldVersion(key.Model) == key.Version
	}
	return spec
}

// originTransferTime returns the time that the origin's link takes to send a version
// once, or 0 if it is not known.
func (u *updater) originTransferTime(view *feed.View) time.Duration {
	engine, origin := u.engineConfig(view), view.Config.Origin()
	if engine == nil || origin == nil || origin.BytesPerSecond <= 0 {
		return 0
	}
	size := float64(engine.Pieces * engine.PieceBytes)
	return time.Duration(size / float64(origin.BytesPerSecond) * float64(time.Second))
}

// collectStaged adds to the store the pieces that are still staged at the engine from
// before a restart of this process.
func (u *updater) collectStaged(ctx context.Context, key pieces.Key) {
	for _, piece := range u.sidecar.store.Missing(key) {
		data, err := u.stagedPiece(ctx, key, piece)
		if err != nil || !u.sidecar.store.Put(key, piece, data) {
			// Nothing is staged, or another version is.
			return
		}
	}
}
