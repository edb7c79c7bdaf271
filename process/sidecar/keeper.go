package sidecar

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

const (
	// idlePause and busyPause are the waits between two looks at the engine
	// while it holds what it should, and while it does not. A restarted engine
	// must be brought to the newest weights within seconds.
	idlePause = 700 * time.Millisecond
	busyPause = 150 * time.Millisecond
	// maxBusyPause is what busyPause grows to, by random steps, so that a fleet
	// does not try again in step.
	maxBusyPause = 300 * time.Millisecond
	// maxEngineBody bounds what is read of an engine's answer, a piece at most.
	maxEngineBody = 16 << 20
	// engineLimit bounds a call to the engine on the same VM.
	engineLimit = 1500 * time.Millisecond
	// fetchLimit bounds one round of fetching, after which plans are made anew.
	fetchLimit = 10 * time.Second
	// idleLooks bounds the looks, one each busyPause, at an engine that carries
	// out another order: the end of its longest requests, and the load.
	idleLooks = 40
	// firstVersion is the version that models have before one was named.
	firstVersion = 1
)

// keeper brings the newest weights to the engine.
type keeper struct {
	s       *Sidecar
	fetcher *pieces.Fetcher
	wake    chan struct{}
	// shared is the version whose staged pieces were taken last, ordered the one
	// that the engine was last told to load.
	shared  pieces.Key
	ordered pieces.Key
	// announced is set once it was found out whether the control processes know
	// the engine.
	announced bool

	// mu guards the state that the dump shows or that transfers look at.
	mu       sync.Mutex
	held     map[string]int
	stalls   stalls
	progress progress
	report   platform.EngineReport
	target   pieces.Key
	step     string
}

func newKeeper(s *Sidecar) *keeper {
	return &keeper{
		s: s, wake: make(chan struct{}, 1), held: map[string]int{}, stalls: stalls{},
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
			if k.named() {
				continue
			}
			// Changes come in groups, and each look costs a call to the engine.
			select {
			case <-ctx.Done():
			case <-k.s.Clock.After(busyPause):
			}
		case <-k.s.store.News():
			// Others have a manifest that is sought here.
		case <-k.s.Clock.After(pause):
		}
	}
}

// named reports whether a version was named that was not looked at yet.
func (k *keeper) named() bool {
	view := k.s.follower.View()
	engine := k.engine(view)
	if engine == nil {
		return false
	}
	k.mu.Lock()
	target := k.target
	k.mu.Unlock()
	return slices.ContainsFunc(engine.Models, func(model string) bool {
		return target.Model == model && target.Version < k.newest(view, model).Version
	})
}

// engine returns the engine settings of the service beside, or nil where no
// weights are to be brought.
func (k *keeper) engine(v *feed.View) *deployment.Engine {
	if v.Config == nil {
		return nil
	}
	service := v.Config.Services[k.s.set.BackendService]
	if service == nil || service.Engine == nil || service.Engine.Pieces == 0 {
		return nil
	}
	return service.Engine
}

// newest returns what the engine is to hold in the end.
func (k *keeper) newest(v *feed.View, model string) pieces.Key {
	return pieces.Key{Model: model, Version: max(v.Weights[model].Newest(), firstVersion)}
}

// outlook returns what the choice of a version of a model rests on.
func (k *keeper) outlook(v *feed.View, model string) *outlook {
	k.mu.Lock()
	held := k.held[model]
	k.mu.Unlock()
	return &outlook{
		named: v.Weights[model], held: held, now: k.s.Clock.Now(),
		bound: k.s.set.Bounds.VersionWithin, exit: k.originTime(v),
		begun: func(version int) bool {
			return k.s.store.Held(pieces.Key{Model: model, Version: version}).Count() > 0
		},
	}
}

// versions returns the versions of a model that are worth bringing now.
func (k *keeper) versions(v *feed.View, model string) []int { return k.outlook(v, model).wanted() }

func (k *keeper) chosen(model string, versions []int) pieces.Key {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stalls.choose(model, versions)
}

// look compares what the engine holds with what it should, and acts. It
// reports whether nothing is left to do.
func (k *keeper) look(ctx context.Context) bool {
	view := k.s.follower.View()
	engine := k.engine(view)
	if engine == nil {
		return true
	}
	settled := true
	for _, model := range engine.Models {
		newest := k.newest(view, model)
		report, err := k.engineReport(ctx)
		if err != nil {
			k.note(newest, report, "engine does not answer")
			return true
		}
		k.noteHeld(model, report)
		k.announce(ctx, view, report)
		if holds(report, newest) {
			k.note(newest, report, "held")
			k.share(ctx, view, newest)
			continue
		}
		settled = false
		key := k.chosen(model, k.versions(view, model))
		if report.Busy && k.ordered == key {
			k.note(key, report, "engine is busy")
			continue
		}
		if err := k.bring(ctx, view, key); err != nil && ctx.Err() == nil {
			k.noteFailure(key)
			k.s.Log.Warn("weights not brought", "model", key.Model, "version", key.Version, "code", int(result.CodeOf(err)), "error", err)
		}
	}
	return settled
}

// noteFailure takes in that a version was not brought. Where its manifest is not
// known yet, it is sought for a while before another version has its turn.
func (k *keeper) noteFailure(key pieces.Key) {
	versions := k.versions(k.s.follower.View(), key.Model)
	missing := k.missing(key)
	now := k.s.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.progress.note(key, missing, now)
	if missing >= 0 || k.progress.stalled(now) {
		k.stalls.note(key, now, versions)
	}
}

// stalled takes in what is missing of a version and reports whether its transfer
// stalls.
func (k *keeper) stalled(key pieces.Key, now time.Time) bool {
	missing := k.missing(key)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.progress.note(key, missing, now)
	return k.progress.stalled(now)
}

// noteHeld takes in which version the engine holds and tells the control
// processes where that is news.
func (k *keeper) noteHeld(model string, r platform.EngineReport) {
	version := directory.VersionOf(r.Held, model)
	k.mu.Lock()
	news := version != k.held[model]
	k.held[model] = version
	k.mu.Unlock()
	if news && version > 0 {
		k.tell(wire.EngineState{Held: r.Held})
	}
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
	return directory.VersionOf(r.Held, key.Model) >= key.Version
}

// tell tells the control processes of the engine before its next heartbeat.
func (k *keeper) tell(s wire.EngineState) {
	s.Address = k.s.set.BackendAddress
	k.s.follower.Broadcast(wire.KindEngine, s)
}

// note keeps what was seen and logs it where it is news.
func (k *keeper) note(key pieces.Key, r platform.EngineReport, step string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.target != key || k.step != step {
		k.s.Log.Info("engine looked at", "model", key.Model, "version", key.Version, "step", step,
			"held", r.Held, "busy", r.Busy, "orders", r.Orders)
	}
	k.report, k.target, k.step = r, key, step
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
	data, _, err := k.exchange(ctx, method, target, body)
	return data, err
}

// exchange is call with the answer's headers.
func (k *keeper) exchange(ctx context.Context, method, target string, body []byte) ([]byte, http.Header, error) {
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
		return nil, nil, result.New(result.EngineUnreadable, "%s %s: %v", method, target, err)
	}
	defer ex.Close()
	ex.ReadBy(by)
	data, err := ex.ReadAll(maxEngineBody)
	switch {
	case err != nil:
		return nil, nil, result.New(result.EngineUnreadable, "%s %s: %v", method, target, err)
	case ex.Status >= 300:
		return nil, nil, result.New(result.EngineRefused, "%s %s: status %d: %.100s", method, target, ex.Status, data)
	default:
		return data, ex.Header, nil
	}
}
