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

// checkFence records an order and reports whether to execute it. It refuses an order
// whose fence is stale unless fencing is ignored. It is called with mu held.
func (e *Engine) checkFence(w http.ResponseWriter, kind, version string, fence control.Fence) bool {
	e.stats.Orders = append(e.stats.Orders, fmt.Sprintf("%s %s %d", kind, version, fence.Index))
	if e.cancelLoad != nil {
		e.stats.OrdersDuringLoad++
	}
	if fence.Index >= e.report.Fence {
		e.report.Fence = fence.Index
		return true
	}
	e.stats.StaleOrders++
	if e.cfg.FencingIgnored {
		e.stats.StaleAccepted++
		return true
	}
	http.Error(w, fmt.Sprintf("fence %d is lower than %d", fence.Index, e.report.Fence), http.StatusConflict)
	return false
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	var order engine.LoadOrder
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFence(w, "load", order.Version, order.Fence) {
		return
	}
	if e.mode.LoadResult == LoadRefused {
		http.Error(w, "not enough memory", http.StatusUnprocessableEntity)
		return
	}
	e.abortLoad()
	e.stats.Loads++
	if !order.Adapter {
		e.stats.CutByLoad += len(e.running)
		e.cutRequests()
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancelLoad = cancel
	previous := e.report
	e.report.State = engine.StateLoading
	e.recordReport()
	go e.runLoad(ctx, e.loadGeneration, order, previous)
	w.WriteHeader(http.StatusAccepted)
}

// runLoad reads the weights and activates them unless a later order aborted the
// load.
func (e *Engine) runLoad(ctx context.Context, generation int, order engine.LoadOrder, previous engine.Report) {
	data, err := os.ReadFile(order.Path)
	name := ""
	if err == nil {
		name, err = CheckContent(data)
	}
	e.mu.Lock()
	factor, result := e.mode.SlowFactor, e.mode.LoadResult
	e.mu.Unlock()
	done := sleep(ctx, e.cfg.LoadTime, factor)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !done || e.loadGeneration != generation || result == LoadHangs {
		return
	}
	e.abortLoad()
	defer e.recordReport()
	if err != nil {
		e.stats.BadLoads++
		e.report = engine.Report{State: engine.StateEmpty, Slots: e.cfg.Slots, Fence: e.report.Fence}
		return
	}
	if result == LoadKeepsOld {
		previous.Fence = e.report.Fence
		if previous.Version != "" {
			previous.State = engine.StateReady
		}
		e.report = previous
		return
	}
	e.activate(order, name, result == LoadWrongDigest)
}

// activate makes the loaded weights or adapter ready. It is called with mu held.
func (e *Engine) activate(order engine.LoadOrder, name string, wrongDigest bool) {
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

// fencedOrder is the body of an unload or drain order.
type fencedOrder struct {
	Fence   control.Fence `json:"fence"`
	Version string        `json:"version"`
}

func (e *Engine) serveUnload(w http.ResponseWriter, r *http.Request) {
	var order fencedOrder
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFence(w, "unload", order.Version, order.Fence) {
		return
	}
	e.abortLoad()
	e.stats.CutByLoad += len(e.running)
	e.cutRequests()
	e.report = engine.Report{State: engine.StateEmpty, Slots: e.cfg.Slots, Fence: e.report.Fence}
	e.recordReport()
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) serveDrain(w http.ResponseWriter, r *http.Request) {
	var order fencedOrder
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFence(w, "drain", order.Version, order.Fence) {
		return
	}
	if e.report.State == engine.StateReady {
		e.report.State = engine.StateDrained
	}
	e.recordReport()
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
