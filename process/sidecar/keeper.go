package sidecar

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/pieces"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

const (
	// idlePause and busyPause are the waits between two looks at the engine
	// while it holds what it should, and while it does not. A restarted engine
	// must be brought to the newest weights within seconds.
	idlePause = 700 * time.Millisecond
	busyPause = 150 * time.Millisecond
	// maxBusyPause is what busyPause grows to, by random steps, so that a fleet
	// does not try again in step.
	maxBusyPause = 600 * time.Millisecond
	// engineLimit bounds a call to the engine on the same VM.
	engineLimit = 1500 * time.Millisecond
	// fetchLimit bounds one round of fetching, after which plans are made anew.
	fetchLimit = 10 * time.Second
	// nearlyWhole is the part of the pieces that may be missing of a version
	// that is fetched to its end although a newer one was named.
	nearlyWhole = 0.4
	// firstVersion is the version that models have before one was named.
	firstVersion = 1
)

// keeper brings the newest weights to the engine.
type keeper struct {
	s       *Sidecar
	fetcher *pieces.Fetcher
	wake    chan struct{}
	// shared is the version whose staged pieces were taken last.
	shared pieces.Key

	// mu guards the state that the dump shows.
	mu     sync.Mutex
	report platform.EngineReport
	target pieces.Key
	step   string
}

func newKeeper(s *Sidecar) *keeper {
	return &keeper{
		s: s, wake: make(chan struct{}, 1),
		fetcher: &pieces.Fetcher{
			Self: s.node(), Store: s.store, Client: s.client, Clock: s.Clock, Log: s.Log, Scope: s.Scope.SubScope("weights"),
		},
	}
}

func (k *keeper) poke() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *keeper) dump() any {
	k.mu.Lock()
	defer k.mu.Unlock()
	return map[string]any{"report": k.report, "target": k.target, "step": k.step}
}

func (k *keeper) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = busyPause, maxBusyPause
	for ctx.Err() == nil {
		pause := idlePause
		if !k.look(ctx) {
			pause = retry.NextBackOff()
		} else {
			retry.Reset()
		}
		select {
		case <-ctx.Done():
		case <-k.wake:
			// Changes come in groups, and each look costs a call to the engine.
			select {
			case <-ctx.Done():
			case <-k.s.Clock.After(busyPause):
			}
		case <-k.s.Clock.After(pause):
		}
	}
}

// targets returns what the engine is to hold.
func (k *keeper) targets(v *feed.View) []pieces.Key {
	if v.Config == nil {
		return nil
	}
	service := v.Config.Services[k.s.set.BackendService]
	if service == nil || service.Engine == nil || service.Engine.Pieces == 0 {
		return nil
	}
	var keys []pieces.Key
	for _, model := range service.Engine.Models {
		keys = append(keys, pieces.Key{Model: model, Version: max(v.Weights[model].Newest(), firstVersion)})
	}
	return keys
}

// look compares what the engine holds with what it should, and acts. It
// reports whether nothing is left to do.
func (k *keeper) look(ctx context.Context) bool {
	view := k.s.follower.View()
	settled := true
	for _, key := range k.targets(view) {
		report, err := k.engineReport(ctx)
		if err != nil {
			k.note(key, report, "engine does not answer")
			return true
		}
		if holds(report, key) {
			if k.note(key, report, "held") {
				k.tell(wire.EngineState{Held: report.Held})
			}
			k.share(ctx, view, key)
			continue
		}
		settled = false
		if report.Busy {
			k.note(key, report, "engine is busy")
			continue
		}
		if err := k.bring(ctx, view, key); err != nil && ctx.Err() == nil {
			k.s.Log.Warn("weights not brought", "model", key.Model, "version", key.Version, "code", int(result.CodeOf(err)), "error", err)
		}
	}
	return settled
}

// share takes what the engine has staged of the version that it holds, so that
// other agents can have it from here.
func (k *keeper) share(ctx context.Context, view *feed.View, key pieces.Key) {
	if k.shared == key {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	if err := k.fetcher.FetchManifest(ctx, k.order(view, key)); err != nil {
		k.s.Log.Info("manifest not had", "model", key.Model, "version", key.Version, "error", err)
		return
	}
	k.reuseStaged(ctx, key)
	k.shared = key
	k.s.Log.Info("staged pieces shared", "model", key.Model, "version", key.Version, "missing", len(k.s.store.Missing(key)))
}

func holds(r platform.EngineReport, key pieces.Key) bool {
	for _, w := range r.Held {
		if w.Model == key.Model && w.Version >= key.Version {
			return true
		}
	}
	return false
}

// tell tells the control processes of the engine before its next heartbeat.
func (k *keeper) tell(s wire.EngineState) {
	s.Address = k.s.set.BackendAddress
	k.s.follower.Tell(wire.KindEngine, s)
}

// note keeps what was seen and reports whether that is news.
func (k *keeper) note(key pieces.Key, r platform.EngineReport, step string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	news := k.target != key || k.step != step
	if news {
		k.s.Log.Info("engine looked at", "model", key.Model, "version", key.Version, "step", step,
			"held", r.Held, "busy", r.Busy, "orders", r.Orders)
	}
	k.report, k.target, k.step = r, key, step
	return news
}

// bring fetches, stages, verifies and loads a version.
func (k *keeper) bring(ctx context.Context, view *feed.View, key pieces.Key) error {
	order := k.order(view, key)
	fetchCtx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	stop := k.stopWhenOvertaken(fetchCtx, cancel, key)
	defer stop()
	if err := k.fetcher.FetchManifest(fetchCtx, order); err != nil {
		return err
	}
	k.reuseStaged(ctx, key)
	current := func() *pieces.Order { return k.order(k.s.follower.View(), key) }
	if err := k.fetcher.Fetch(fetchCtx, current); err != nil {
		return err
	}
	if err := k.stage(ctx, key); err != nil {
		return err
	}
	return k.load(ctx, key)
}

// stopWhenOvertaken cancels a fetch that is far from its end once a newer
// version can be had. One that is nearly whole goes on: each version has a bound
// of its own, and a newer one may be out of reach.
func (k *keeper) stopWhenOvertaken(ctx context.Context, cancel context.CancelFunc, key pieces.Key) func() {
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
			if k.overtaken(ctx, key) {
				cancel()
				return
			}
		}
	}()
	return func() { close(done) }
}

func (k *keeper) overtaken(ctx context.Context, key pieces.Key) bool {
	view := k.s.follower.View()
	for _, now := range k.targets(view) {
		if now.Model != key.Model || now.Version <= key.Version {
			continue
		}
		m, _ := k.s.store.Manifest(key)
		missing := len(k.s.store.Missing(key))
		return float64(missing) > nearlyWhole*float64(len(m.Digests)) &&
			k.fetcher.FetchManifest(ctx, k.order(view, now)) == nil
	}
	return false
}

// order describes the transfer: the agents are those beside the service's
// servers, known by their VM's address.
func (k *keeper) order(view *feed.View, key pieces.Key) *pieces.Order {
	o := &pieces.Order{Key: key, Peers: map[string]string{}, Holders: map[string]bool{}}
	if origin := view.Config.Origin(); origin != nil {
		o.Origin, o.OriginConns, o.Home = origin.Address, origin.MaxConns, k.s.set.Regions[origin.Zone]
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
	k.s.Log.Info("load ordered", "model", key.Model, "version", key.Version, "error", err)
	return err
}

func (k *keeper) engineReport(ctx context.Context) (platform.EngineReport, error) {
	body, err := k.call(ctx, http.MethodGet, platform.PathReport, nil)
	if err != nil {
		return platform.EngineReport{}, err
	}
	return platform.DecodeReport(bytes.NewReader(body))
}

// call calls the engine on this VM and returns the body of a success.
func (k *keeper) call(ctx context.Context, method, target string, body []byte) ([]byte, error) {
	by := time.Now().Add(engineLimit)
	req := &backend.Request{Method: method, Target: target, Host: k.s.set.BackendAddress, Body: body, HeadBy: by}
	if body != nil {
		contentType := "application/octet-stream"
		if method == http.MethodPost {
			contentType = "application/json"
		}
		req.Header = http.Header{"Content-Type": {contentType}}
	}
	ex, err := k.s.client.Do(ctx, k.s.set.BackendAddress, req)
	if err != nil {
		return nil, result.New(result.EngineUnreadable, "%s %s: %v", method, target, err)
	}
	defer ex.Close()
	ex.ReadBy(by)
	data, err := io.ReadAll(ex)
	switch {
	case err != nil:
		return nil, result.New(result.EngineUnreadable, "%s %s: %v", method, target, err)
	case ex.Status >= 300:
		return nil, result.New(result.EngineRefused, "%s %s: status %d: %.100s", method, target, ex.Status, data)
	default:
		return data, nil
	}
}
