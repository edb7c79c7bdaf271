package sidecar

import (
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// recordOrder logs an order to unload the weights that expire at until and its response, and
// counts one that received no response or was accepted after that. report is the engine's last
// one before it.
func (l *unloader) recordOrder(model string, report platform.EngineReport, ordered, until boottime.Instant, err error) {
	u := l.updater
	answered, code := u.sidecar.AgeClock.Now(), result.CodeOf(err)
	response := "accepted"
	switch {
	case err == nil:
	case code == result.EngineUnreadable:
		response = "none"
	default:
		response = "refused"
	}
	if response == "none" || response == "accepted" && answered.After(until) {
		u.scope.Counter("unloads_late").Inc(1)
	}
	log := u.sidecar.Log.With("model", model, "version", directory.VersionOf(report.Held, model), "born", report.Born, "orders", report.Orders,
		"layers_before", report.Layers.String(), "response", response,
		"usable_ordered_ms", until.Sub(ordered).Milliseconds(), "usable_answered_ms", until.Sub(answered).Milliseconds())
	if err != nil {
		log.Warn("failed to unload expired weights", "code", int(code), "error", err)
		return
	}
	log.Info("expired weights unloaded")
}

// recordDelay logs, once per version, that the order to unload versions older than due waits for
// an engine that sends no report.
func (l *unloader) recordDelay(model string, due int, err error) {
	if due <= l.unloaded[model] || due <= l.delayed[model] {
		return
	}
	l.delayed[model] = due
	u := l.updater
	attrs := []any{"model", model, "code", int(result.CodeOf(err)), "error", err}
	u.mu.Lock()
	held := u.heldVersions[model]
	u.mu.Unlock()
	u.sidecar.Log.Info("unloading waits for the engine", u.appendUsable(attrs, model, held, "usable_ms", u.sidecar.AgeClock.Now())...)
}

// appendUsable appends log attributes: the version of a model that the engine holds and, if it
// expires, for how long it remains usable at a time; negative after its expiry.
func (u *updater) appendUsable(attrs []any, model string, held int, name string, at boottime.Instant) []any {
	attrs = append(attrs, "held", held)
	successor, _ := u.sidecar.follower.View().Weights[model].Successor(held)
	if held == 0 || successor.Version == 0 {
		return attrs
	}
	return append(attrs, "newer", successor.Version, "bound", successor.Bound,
		name, successor.Since.Add(u.sidecar.settings.Bounds.OldVersionGrace).Sub(at).Milliseconds())
}
