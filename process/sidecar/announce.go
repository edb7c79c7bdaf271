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

// announceEngine announces the engine to the control processes if they don't know it.
// After all processes were killed at once, none knows it until its next heartbeat.
func (u *updater) announceEngine(ctx context.Context, view *feed.View, r platform.EngineReport) {
	if u.announceChecked {
		return
	}
	u.announceChecked = true
	known := slices.ContainsFunc(view.Servers[u.sidecar.settings.BackendService], func(record directory.Record) bool {
		return record.Address == u.sidecar.settings.BackendAddress
	})
	if known {
		return
	}
	server, err := u.describeEngine(ctx, view.Config.Services[u.sidecar.settings.BackendService], r)
	if err != nil {
		u.sidecar.Log.Info("failed to announce engine", "error", err)
		return
	}
	u.sidecar.Log.Info("engine announced", "server", server.ID, "born", server.Born, "held", server.Held)
	u.sidecar.follower.Broadcast(wire.KindServer, server)
}

// describeEngine returns the server as the engine's own heartbeat would describe it.
// The ID is taken from a health check, which succeeds only while the engine is not
// draining.
func (u *updater) describeEngine(ctx context.Context, service *deployment.Service, r platform.EngineReport) (directory.Server, error) {
	_, header, err := u.doEngine(ctx, http.MethodGet, service.HealthPath, nil, "")
	if err != nil {
		return directory.Server{}, err
	}
	server := directory.Server{
		ID: header.Get(platform.HeaderServer), Service: service.Name, Address: u.sidecar.settings.BackendAddress, Zone: u.sidecar.settings.Zone,
		State: directory.Ready, Born: r.Born, Engine: true, Held: r.Held,
	}
	return server, server.Validate()
}
