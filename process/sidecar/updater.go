package sidecar

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/uber-go/tally/v4"

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
	// settledPollInterval and pendingPollInterval are the waits between two checks of
	// the engine while it holds the newest weights, and while it does not. A
	// restarted engine must get the newest weights within seconds.
	settledPollInterval = 700 * time.Millisecond
	pendingPollInterval = 150 * time.Millisecond
	// maxPendingPollInterval is the limit of the randomized backoff that starts at
	// pendingPollInterval, so that a fleet's retries are not synchronized.
	maxPendingPollInterval = 300 * time.Millisecond
	// maxEngineBody bounds a staged piece that is only read through, and maxEngineReply the body
	// of any other response: a report is decoded up to this size.
	maxEngineBody  = 16 << 20
	maxEngineReply = 1 << 20
	// engineTimeout bounds a call to the engine on the same VM.
	engineTimeout = 1500 * time.Millisecond
	// fetchTimeout bounds one transfer, after which a new one is planned.
	fetchTimeout = 10 * time.Second
	// maxBusyPolls bounds the checks, one every pendingPollInterval, of an engine that
	// carries out another order: it finishes its longest requests and then loads.
	maxBusyPolls = 40
	// initialVersion is a model's version before any was published.
	initialVersion = 1
)

// updater transfers the newest weights to the engine.
type updater struct {
	sidecar *Sidecar
	fetcher *pieces.Fetcher
	scope   tally.Scope
	wake    chan struct{}
	// sharedKey is the version whose staged pieces were last collected for other
	// agents; orderedKey is the one that the engine was last ordered to load.
	sharedKey  pieces.Key
	orderedKey pieces.Key
	// accepted is the last order of this process that the engine accepted. Once the engine
	// has counted it, it refuses the orders of earlier processes, which expect fewer orders.
	accepted acceptedOrder
	// stagedFirst is the last version of which this process found the pieces not staged, so
	// that no earlier process has ordered it.
	stagedFirst stagedVersion
	// unanswered holds the orders without a response that the engine may still accept.
	unanswered []sentOrder
	readBacks  completeReadBack
	// unconfirmedPut is the version of which a piece was put after the last report that
	// preceded an order: the engine may have accepted an earlier order meanwhile.
	unconfirmedPut pieces.Key
	latePuts       latePuts
	// digestBuffer is reused for the read-back of staged pieces.
	digestBuffer []byte
	// intact is the last load whose pieces were all intact after it was accepted, suspect
	// the last one for which that is not certain.
	intact, suspect acceptedLoad
	// announceChecked is set once this agent has checked whether the control processes
	// know the engine.
	announceChecked bool

	// mu guards the state that the dump and running transfers read.
	mu           sync.Mutex
	heldVersions map[string]int
	// verified holds the last verified version of each model. publishedAt is when they were
	// last reported to the control processes, and publishedLinks the number of links opened
	// until then.
	verified       map[string]verifiedWeights
	publishedAt    time.Time
	publishedLinks uint64
	// matched holds the digests of the last version of which all staged pieces matched the
	// manifest, and matchedSent is set once they were sent on publishedLinks.
	matched     wire.PieceDigests
	matchedSent sentDigests
	// checked is the time of the check that verified the weights, and lastCheck that of the
	// last check or order; see directory.Verification.
	checked, lastCheck int64
	stallTimes         stallTimes
	progress           transferProgress
	pace               paceReporter
	lastReport         platform.EngineReport
	target             pieces.Key
	step               string
}

// acceptedOrder is an order that an incarnation of the engine accepted, if it is known.
type acceptedOrder struct {
	known bool
	// born is the engine's start, and orders its number of orders with this one.
	born   int64
	orders uint64
}

// in reports whether a report is of the incarnation and counts the order. The engine does
// not count one that was in effect already.
func (a acceptedOrder) in(r platform.EngineReport) bool {
	return a.known && a.born == r.Born && r.Orders >= a.orders
}

func newUpdater(s *Sidecar) *updater {
	scope := s.Scope.SubScope("weights")
	return &updater{
		sidecar: s, scope: scope, wake: make(chan struct{}, 1), heldVersions: map[string]int{}, verified: map[string]verifiedWeights{}, stallTimes: stallTimes{},
		fetcher: &pieces.Fetcher{
			Self: s.node(), Store: s.store, Client: s.client, Clock: s.Clock, Log: s.Log, Scope: scope,
		},
	}
}

func (u *updater) wakeUp() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

func (u *updater) dump() any {
	u.mu.Lock()
	defer u.mu.Unlock()
	return map[string]any{"report": u.lastReport, "target": u.target, "step": u.step}
}

// run checks the engine and updates its weights until ctx ends.
func (u *updater) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = pendingPollInterval, maxPendingPollInterval
	for ctx.Err() == nil {
		pause := settledPollInterval
		if !u.reconcile(ctx) {
			pause = retry.NextBackOff()
		} else {
			retry.Reset()
		}
		select {
		case <-ctx.Done():
		case <-u.wake:
			if u.hasNewVersion() {
				continue
			}
			// Changes come in bursts, and each check costs a call to the engine.
			select {
			case <-ctx.Done():
			case <-u.sidecar.Clock.After(pendingPollInterval):
			}
		case <-u.sidecar.store.UnknownVersionRequests():
			// Another agent requested a version that is not known here.
		case <-u.sidecar.Clock.After(pause):
		}
	}
}

// hasNewVersion reports whether a version newer than the target was published.
func (u *updater) hasNewVersion() bool {
	view := u.sidecar.follower.View()
	engine := u.engineConfig(view)
	if engine == nil {
		return false
	}
	u.mu.Lock()
	target := u.target
	u.mu.Unlock()
	return slices.ContainsFunc(engine.Models, func(model string) bool {
		return target.Model == model && target.Version < u.newestKey(view, model).Version
	})
}

// engineConfig returns the engine settings of this agent's service, or nil if it has
// no weights to transfer.
func (u *updater) engineConfig(v *feed.View) *deployment.Engine {
	if v.Config == nil {
		return nil
	}
	service := v.Config.Services[u.sidecar.settings.BackendService]
	if service == nil || service.Engine == nil || service.Engine.Pieces == 0 {
		return nil
	}
	return service.Engine
}

// newestKey returns the newest version, which the engine is to hold eventually.
func (u *updater) newestKey(v *feed.View, model string) pieces.Key {
	return pieces.Key{Model: model, Version: max(v.Weights[model].Newest(), initialVersion)}
}

// selector returns a version selector for a model at the current time.
func (u *updater) selector(v *feed.View, model string) *versionSelector {
	u.mu.Lock()
	held := u.heldVersions[model]
	u.mu.Unlock()
	return &versionSelector{
		history: v.Weights[model], heldVersion: held, now: u.sidecar.AgeClock.Now(),
		oldVersionGrace: u.sidecar.settings.Bounds.OldVersionGrace, originTime: u.originTransferTime(v),
		started: func(version int) bool {
			return u.sidecar.store.Held(pieces.Key{Model: model, Version: version}).Count() > 0
		},
		missing: func(version int) float64 { return u.missingPart(v, pieces.Key{Model: model, Version: version}) },
	}
}

// wanted returns the versions of a model that are worth installing now.
func (u *updater) wanted(v *feed.View, model string) []int { return u.selector(v, model).wanted() }

// nextKey selects the version to install next.
func (u *updater) nextKey(model string, versions []int) pieces.Key {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stallTimes.leastRecentlyStalled(model, versions)
}

// reconcile installs the newest weights of every model that the engine lacks. It
// reports whether nothing is left to do; also true if the engine does not answer.
func (u *updater) reconcile(ctx context.Context) bool {
	view := u.sidecar.follower.View()
	engine := u.engineConfig(view)
	if engine == nil {
		return true
	}
	settled := true
	for _, model := range engine.Models {
		newest := u.newestKey(view, model)
		report, err := u.engineReport(ctx)
		if err != nil {
			u.recordStep(newest, report, "engine does not answer")
			return true
		}
		u.recordHeld(model, report)
		u.announceEngine(ctx, view, report)
		switch u.checkHeld(ctx, view, engine, newest, report) {
		case heldNewest:
			u.shareStaged(ctx, view, newest)
			u.releaseExpired(view, newest)
			continue
		case heldUnverified:
			settled = false
			continue
		case heldOlder:
		}
		settled = false
		key := u.nextKey(model, u.wanted(view, model))
		if report.Busy && (u.orderedKey == key || u.orderedKey == pieces.Key{}) {
			// The order of an earlier process may be for the same version.
			u.recordStep(key, report, "engine is busy")
			continue
		}
		if err := u.installVersion(ctx, view, engine, key); err != nil && ctx.Err() == nil {
			u.recordFailure(key)
			u.sidecar.Log.Warn("failed to install weights", "model", key.Model, "version", key.Version, "code", int(result.CodeOf(err)), "error", err)
		}
	}
	return settled
}

// recordFailure records that a version was not installed. While its manifest is
// unknown, another version is tried only after manifestStallTimeout.
func (u *updater) recordFailure(key pieces.Key) {
	versions := u.wanted(u.sidecar.follower.View(), key.Model)
	missing := u.missingPieces(key)
	now := u.sidecar.Clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.progress.update(key, missing, now)
	if missing >= 0 || u.progress.stalled(now) {
		u.stallTimes.record(key, now, versions)
	}
}

// transferStalled updates the progress of a transfer and reports whether it has
// stalled.
func (u *updater) transferStalled(key pieces.Key, now time.Time) bool {
	missing := u.missingPieces(key)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.progress.update(key, missing, now)
	return u.progress.stalled(now)
}

// recordHeld records which version the engine holds.
func (u *updater) recordHeld(model string, r platform.EngineReport) {
	version := directory.VersionOf(r.Held, model)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.heldVersions[model] = version
	if u.verified[model] != heldWeights(r, model) {
		// The version may be loaded again later.
		delete(u.verified, model)
	}
}

// heldState is what is left to do for the weights of a model that the engine holds.
type heldState uint8

const (
	// heldOlder: the newest version is to be installed.
	heldOlder heldState = iota
	heldNewest
	// heldUnverified: the newest version is held, but may not be used yet.
	heldUnverified
)

// checkHeld verifies and publishes the version that the engine reports. The newest one is
// dropped if that fails; an older one will be replaced.
func (u *updater) checkHeld(ctx context.Context, view *feed.View, engine *deployment.Engine, newest pieces.Key, report platform.EngineReport) heldState {
	key := pieces.Key{Model: newest.Model, Version: directory.VersionOf(report.Held, newest.Model)}
	state := heldOlder
	if key.Version >= newest.Version {
		state = heldUnverified
	}
	if key.Version == 0 || report.Busy {
		if state == heldUnverified {
			u.recordStep(key, report, "engine is busy")
		}
		return state
	}
	switch verified := u.verifyHeld(ctx, view, engine, key, report); {
	case verified == verifyIntact:
		u.publishVerified(view, key, report)
		if state == heldUnverified {
			u.recordStep(newest, report, "held")
			return heldNewest
		}
	case state == heldUnverified && verified == verifySuspect:
		u.recordStep(key, report, "dropping weights that may come from a corrupt piece")
		_ = u.order(ctx, key, stepDrop, engine.Layers, report) // logged; repeated after the next report
	case state == heldUnverified:
		u.recordStep(key, report, "load is not verified")
	}
	return state
}

// shareStaged collects the staged pieces of the version that the engine holds, so
// that this agent can serve them to others.
func (u *updater) shareStaged(ctx context.Context, view *feed.View, key pieces.Key) {
	if u.sharedKey == key {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := u.fetcher.FetchManifest(ctx, u.fetchSpec(view, key)); err != nil {
		u.sidecar.Log.Info("failed to fetch manifest", "model", key.Model, "version", key.Version, "error", err)
		return
	}
	u.collectStaged(ctx, key)
	u.sharedKey = key
	u.sidecar.Log.Info("staged pieces shared", "model", key.Model, "version", key.Version, "missing", len(u.sidecar.store.Missing(key)))
}

// reportEngine reports the engine's state to the control processes ahead of its next
// heartbeat.
func (u *updater) reportEngine(s wire.EngineState) {
	s.Address = u.sidecar.settings.BackendAddress
	u.sidecar.follower.Broadcast(wire.KindEngine, s)
}

// recordStep stores the engine's report and the current step, and logs a change of
// the target or the step.
func (u *updater) recordStep(key pieces.Key, r platform.EngineReport, step string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.target != key || u.step != step {
		u.sidecar.Log.Info("engine checked", "model", key.Model, "version", key.Version, "step", step,
			"held", r.Held, "layers", r.Layers.String(), "busy", r.Busy, "born", r.Born, "orders", r.Orders)
	}
	u.lastReport, u.target, u.step = r, key, step
}

func (u *updater) engineReport(ctx context.Context) (platform.EngineReport, error) {
	body, err := u.callEngine(ctx, http.MethodGet, platform.PathReport, nil)
	if err != nil {
		return platform.EngineReport{}, err
	}
	report, err := platform.DecodeReport(bytes.NewReader(body))
	if err == nil {
		u.reportPace(&report)
	}
	return report, err
}

// callEngine calls the engine on this VM and returns the body of a successful
// response.
func (u *updater) callEngine(ctx context.Context, method, target string, body []byte) ([]byte, error) {
	data, _, err := u.doEngine(ctx, method, target, body, "")
	return data, err
}

// postOrder sends an order to the engine. Another incarnation than the one that started at
// born refuses it if it has an ID of its own.
func (u *updater) postOrder(ctx context.Context, born int64, body []byte) error {
	_, _, err := u.doEngine(ctx, http.MethodPost, platform.PathOrder, body, u.engineID(born))
	return err
}

// engineID returns the ID of an incarnation of the engine, or "" if it is not listed yet.
func (u *updater) engineID(born int64) string {
	for _, record := range u.sidecar.follower.View().Servers[u.sidecar.settings.BackendService] {
		if record.Address == u.sidecar.settings.BackendAddress && record.Born == born && born != 0 {
			return record.ID
		}
	}
	return ""
}

// doEngine is like callEngine but also returns the response headers. Engines with another ID
// than expected refuse the call, unless expected is empty.
func (u *updater) doEngine(ctx context.Context, method, target string, body []byte, expected string) ([]byte, http.Header, error) {
	req := &backend.Request{Method: method, Target: target, Body: body}
	if body != nil {
		contentType := "application/octet-stream"
		if method == http.MethodPost {
			contentType = "application/json"
		}
		req.Header = http.Header{"Content-Type": {contentType}}
		if expected != "" {
			req.Header[platform.HeaderExpectServer] = []string{expected}
		}
	}
	ex, err := u.startEngineCall(ctx, req)
	if err != nil {
		return nil, nil, err
	}
	defer ex.Close()
	data, err := ex.ReadAll(maxEngineReply)
	if err != nil {
		return nil, nil, result.New(result.EngineUnreadable, "%s %s: %v", method, target, err)
	}
	if err := statusError(ex, method, target, data); err != nil {
		return nil, nil, err
	}
	return data, ex.Header, nil
}
