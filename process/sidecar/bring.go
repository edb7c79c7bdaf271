package sidecar

import (
	"context"
	"crypto/sha256"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/pieces"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

// bring fetches, stages, verifies and loads a version, unless the transfer
// stalls or another version becomes the preferred one.
func (k *keeper) bring(ctx context.Context, view *feed.View, key pieces.Key) error {
	fetchCtx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	stop := k.watch(fetchCtx, cancel, key)
	defer stop()
	if err := k.fetcher.FetchManifest(fetchCtx, k.order(view, key)); err != nil {
		return err
	}
	k.reuseStaged(ctx, key)
	// It is asked for before each request; the fleet changes more rarely.
	var seen *feed.View
	var order *pieces.Order
	current := func() *pieces.Order {
		if v := k.s.follower.View(); v != seen {
			seen, order = v, k.order(v, key)
		}
		return order
	}
	if err := k.fetcher.Fetch(fetchCtx, current); err != nil {
		return err
	}
	if err := k.stage(ctx, key); err != nil {
		return err
	}
	if err := k.waitTurn(fetchCtx, key); err != nil {
		return err
	}
	if err := k.waitIdle(ctx, key); err != nil {
		return err
	}
	return k.load(ctx, key)
}

// waitTurn waits until this engine is to load.
func (k *keeper) waitTurn(ctx context.Context, key pieces.Key) error {
	view := k.s.follower.View()
	order := k.order(view, key)
	names := make([]string, 0, len(order.Nodes))
	for _, n := range order.Nodes {
		names = append(names, n.Name)
	}
	slices.Sort(names)
	o := k.outlook(view, key.Model)
	at := o.loadAt(key.Version, max(slices.Index(names, k.s.set.IP), 0), len(names))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-k.s.Clock.After(at.Sub(o.now)):
		return nil
	}
}

// watch cancels a transfer that stalls while another version could be brought,
// or whose version is not the one to be brought any more.
func (k *keeper) watch(ctx context.Context, cancel context.CancelFunc, key pieces.Key) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case <-k.s.Clock.After(busyPause):
			}
			versions := k.versions(k.s.follower.View(), key.Model)
			stalled := k.stalled(key, k.s.Clock.Now()) && len(versions) > 1
			if stalled || len(versions) > 0 && k.chosen(key.Model, versions) != key {
				k.s.Log.Info("transfer given up for another version", "model", key.Model, "version", key.Version,
					"missing", k.missing(key), "stalled", stalled, "versions", versions)
				cancel()
				return
			}
		}
	}()
	return func() { close(done) }
}

// missing counts the pieces that are not held; it is -1 before the manifest is
// known.
func (k *keeper) missing(key pieces.Key) int {
	if _, known := k.s.store.Manifest(key); !known {
		return -1
	}
	return len(k.s.store.Missing(key))
}

// waitIdle waits until the engine carries out no other order.
func (k *keeper) waitIdle(ctx context.Context, key pieces.Key) error {
	for range idleLooks {
		report, err := k.engineReport(ctx)
		if err != nil {
			return err
		}
		if !report.Busy {
			return nil
		}
		k.note(key, report, "engine is busy")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.s.Clock.After(busyPause):
		}
	}
	return result.New(result.EngineRefused, "the engine is busy for long")
}

// order describes the transfer: the agents are those beside the service's
// servers, known by their VM's address.
func (k *keeper) order(view *feed.View, key pieces.Key) *pieces.Order {
	o := &pieces.Order{Key: key, Peers: map[string]string{}, Holders: map[string]bool{}}
	if origin := view.Config.Origin(); origin != nil {
		o.Origin, o.OriginConns, o.Home = origin.Address, origin.MaxConns, k.s.set.Regions[origin.Zone]
		o.OriginTime = k.originTime(view)
		if engine := k.engine(view); engine != nil {
			o.Pieces = engine.Pieces
		}
	}
	for _, e := range view.Servers[k.s.set.BackendService] {
		host, _, err := net.SplitHostPort(e.Address)
		if err != nil || o.Peers[host] != "" {
			continue
		}
		o.Nodes = append(o.Nodes, planner.Node{Name: host, Zone: e.Zone, Region: k.s.set.Regions[e.Zone]})
		o.Peers[host] = k.s.set.PeerAddress(host)
		o.Holders[host] = e.Holds(key.Model) == key.Version
	}
	return o
}

// originTime is the time in which a version leaves the origin, by its link; 0 is
// not known.
func (k *keeper) originTime(view *feed.View) time.Duration {
	engine, origin := k.engine(view), view.Config.Origin()
	if engine == nil || origin == nil || origin.BytesPerSecond <= 0 {
		return 0
	}
	size := float64(engine.Pieces * engine.PieceBytes)
	return time.Duration(size / float64(origin.BytesPerSecond) * float64(time.Second))
}

// reuseStaged takes pieces that the engine still has staged from before a
// restart of this process.
func (k *keeper) reuseStaged(ctx context.Context, key pieces.Key) {
	for _, piece := range k.s.store.Missing(key) {
		data, err := k.call(ctx, http.MethodGet, platform.StageGetPath(key.Model, piece), nil)
		if err != nil || !k.s.store.Put(key, piece, data) {
			// What is staged is of another version, or nothing.
			return
		}
	}
}

// stage puts every piece into the engine's staging and reads it back: what
// lies there may have turned bad.
func (k *keeper) stage(ctx context.Context, key pieces.Key) error {
	m, ok := k.s.store.Manifest(key)
	if !ok {
		return result.New(result.ChunkMissing, "version %d was replaced", key.Version)
	}
	started := k.s.Clock.Now()
	put := 0
	for piece, digest := range m.Digests {
		staged, err := k.call(ctx, http.MethodGet, platform.StageGetPath(key.Model, piece), nil)
		if err == nil && sha256.Sum256(staged) == digest {
			continue
		}
		data := k.s.store.Piece(key, piece)
		if data == nil {
			return result.New(result.ChunkMissing, "version %d was replaced", key.Version)
		}
		if _, err := k.call(ctx, http.MethodPut, platform.StagePutPath(key.Model, piece), data); err != nil {
			return err
		}
		put++
	}
	if put > 0 {
		// What was put is read back as well before the engine loads it.
		k.s.Log.Info("pieces staged", "model", key.Model, "version", key.Version, "put", put, "took", k.s.Clock.Since(started))
		return k.stage(ctx, key)
	}
	return nil
}

// load orders the engine to load what is staged.
func (k *keeper) load(ctx context.Context, key pieces.Key) error {
	body, err := platform.EncodeLoadOrder(key.Model, key.Version)
	if err != nil {
		return err
	}
	k.tell(wire.EngineState{Loading: true})
	_, err = k.call(ctx, http.MethodPost, platform.PathOrder, body)
	if err != nil {
		k.tell(wire.EngineState{})
	}
	k.ordered = key
	k.s.Log.Info("load ordered", "model", key.Model, "version", key.Version, "error", err)
	return err
}
