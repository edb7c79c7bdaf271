package sidecar

import (
	"context"
	"net/http"
	"slices"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
)

// announce tells the control processes of the engine where they don't know it.
// After all processes were killed at once nobody does until its next heartbeat.
func (k *keeper) announce(ctx context.Context, view *feed.View, r platform.EngineReport) {
	if k.announced {
		return
	}
	k.announced = true
	known := slices.ContainsFunc(view.Servers[k.s.set.BackendService], func(e directory.Entry) bool {
		return e.Address == k.s.set.BackendAddress
	})
	if known {
		return
	}
	server, err := k.self(ctx, view.Config.Services[k.s.set.BackendService], r)
	if err != nil {
		k.s.Log.Info("engine not announced", "error", err)
		return
	}
	k.s.Log.Info("engine announced", "server", server.ID, "born", server.Born, "held", server.Held)
	k.s.follower.Broadcast(wire.KindServer, server)
}

// self returns what the engine would say of itself. It is asked for its id by a
// health check, which it answers with success only while it does not leave.
func (k *keeper) self(ctx context.Context, service *deployment.Service, r platform.EngineReport) (directory.Server, error) {
	_, header, err := k.exchange(ctx, http.MethodGet, service.HealthPath, nil)
	if err != nil {
		return directory.Server{}, err
	}
	return directory.Server{
		ID: header.Get(platform.HeaderServer), Service: service.Name, Address: k.s.set.BackendAddress, Zone: k.s.set.Zone,
		State: directory.Ready, Born: r.Born, Engine: true, Held: r.Held,
	}, nil
}
