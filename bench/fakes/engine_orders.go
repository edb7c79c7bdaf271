package fakes

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// takeFence notes an order and reports whether it is to be carried out. It is
// called with mu held.
func (e *Engine) takeFence(w http.ResponseWriter, kind, version string, fence control.Fence) bool {
	e.stats.Orders = append(e.stats.Orders, fmt.Sprintf("%s %s %d", kind, version, fence.Index))
	if e.loadDone != nil {
		e.stats.Overlapping++
	}
	if fence.Index >= e.report.Fence {
		e.report.Fence = fence.Index
		return true
	}
	e.stats.StaleOrders++
	if e.cfg.FencingIgnored {
		e.stats.StaleTaken++
		return true
	}
	http.Error(w, fmt.Sprintf("fence %d is older than %d", fence.Index, e.report.Fence), http.StatusConflict)
	return false
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	var order engine.LoadOrder
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.takeFence(w, "load", order.Version, order.Fence) {
		return
	}
	if e.mode.LoadResult == LoadRefused {
		http.Error(w, "not enough memory", http.StatusUnprocessableEntity)
		return
	}
	e.stopLoad()
	e.stats.Loads++
	if !order.Adapter {
		e.stats.CutByLoad += len(e.running)
		e.cutAll()
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.loadDone = cancel
	before := e.report
	e.report.State = engine.StateLoading
	e.remember()
	go e.load(ctx, e.loadGen, order, before)
	w.WriteHeader(http.StatusAccepted)
}

// load reads the weights and takes them over unless another order came.
func (e *Engine) load(ctx context.Context, generation int, order engine.LoadOrder, before engine.Report) {
	data, err := os.ReadFile(order.Path)
	name := ""
	if err == nil {
		name, err = CheckContent(data)
	}
	e.mu.Lock()
	factor, outcome := e.mode.SlowFactor, e.mode.LoadResult
	e.mu.Unlock()
	done := sleep(ctx, e.cfg.LoadTime, factor)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !done || e.loadGen != generation || outcome == LoadNever {
		return
	}
	e.stopLoad()
	defer e.remember()
	if err != nil {
		e.stats.BadLoads++
		e.report = engine.Report{State: engine.StateEmpty, Slots: e.cfg.Slots, Fence: e.report.Fence}
		return
	}
	if outcome == LoadKeepsOld {
		before.Fence = e.report.Fence
		if before.Version != "" {
			before.State = engine.StateReady
		}
		e.report = before
		return
	}
	e.takeOver(order, name, outcome == LoadWrongDigest)
}

// takeOver is called with mu held.
func (e *Engine) takeOver(order engine.LoadOrder, name string, wrongDigest bool) {
	digest := order.Digest
	if wrongDigest {
		digest = manifest.Sum([]byte("wrong"))
	}
	e.report.State = engine.StateReady
	if order.Adapter {
		if e.report.Adapters == nil {
			e.report.Adapters = make(map[string]manifest.Digest)
		}
		e.report.Adapters[order.Version] = digest
		return
	}
	e.stats.LoadedFrom = name
	e.report.Version, e.report.Digest, e.report.Adapters = order.Version, digest, nil
	e.prefixes.clear()
}

// fenced is the body of unload and drain.
type fenced struct {
	Fence   control.Fence `json:"fence"`
	Version string        `json:"version"`
}

func (e *Engine) serveUnload(w http.ResponseWriter, r *http.Request) {
	var order fenced
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.takeFence(w, "unload", order.Version, order.Fence) {
		return
	}
	e.stopLoad()
	e.stats.CutByLoad += len(e.running)
	e.cutAll()
	e.report = engine.Report{State: engine.StateEmpty, Slots: e.cfg.Slots, Fence: e.report.Fence}
	e.remember()
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) serveDrain(w http.ResponseWriter, r *http.Request) {
	var order fenced
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.takeFence(w, "drain", order.Version, order.Fence) {
		return
	}
	if e.report.State == engine.StateReady {
		e.report.State = engine.StateDrained
	}
	e.remember()
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var order struct {
		RequestID string `json:"request_id"`
	}
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel := e.running[order.RequestID]; cancel != nil {
		cancel(errCanceled)
	}
	w.WriteHeader(http.StatusAccepted)
}
