// Package agent assembles the waxwingpost-agent process next to a backend server:
// it announces the server, carries out orders on it, forwards requests to it, and
// transfers and verifies weights.
//
// Each component locks only its own data and calls no other component while it
// holds a lock.
package agent

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/mesh"
	"github.com/waxwingpost/waxwingpost/connection/session"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/runtime"
	"github.com/waxwingpost/waxwingpost/process/settings"
	"github.com/waxwingpost/waxwingpost/request/runner"
	"github.com/waxwingpost/waxwingpost/version/loader"
	"github.com/waxwingpost/waxwingpost/version/store"
	"github.com/waxwingpost/waxwingpost/version/transfer"
)

// engineTimeout bounds one call of the engine's control API.
const engineTimeout = 5 * time.Second

// Agent is one running agent process.
type Agent struct {
	*runtime.Runtime
	settings settings.Agent
	hello    wire.Hello

	mesh       *mesh.Mesh
	leases     *session.Leases
	views      *viewMerger
	transfer   *transfer.Manager
	loader     *loader.Controller
	runner     *runner.Runner
	heartbeats heartbeatState
}

// New assembles an agent from valid settings. Nothing runs until Run.
func New(cfg settings.Agent, logOut io.Writer) (*Agent, error) {
	common, err := runtime.New(cfg.Common, logOut)
	if err != nil {
		return nil, err
	}
	a := &Agent{Runtime: common, settings: cfg, hello: runtime.Hello(cfg.Common, cfg.Listen)}
	a.hello.Role = wire.RoleAgent
	a.hello.Service = cfg.Service
	return a, a.assemble()
}

func (a *Agent) assemble() error {
	targets, err := settings.ParseTargets(a.settings.Entries)
	if err != nil {
		return err
	}
	a.leases = session.NewLeases(session.Config{}, a.Clock, runtime.NewRand())
	a.views = newViewMerger(a.Log, a.isLinked, a.applyView)
	dialer := &link.Dialer{Auth: a.Auth, Self: a.self, Handler: a.views, Stats: a.Stats, Log: a.Log, Client: &http.Client{Transport: runtime.NewTransport()}}
	home := homeTargets(a.settings.Name, targets, a.settings.HomeEntries)
	a.mesh = mesh.New(mesh.Config{Targets: home}, dialer, a.Log)
	backend := runtime.NewTransport()
	driver := engine.NewHTTP(a.settings.Backend, backend, engineTimeout)
	if err := a.newLoader(driver); err != nil {
		return err
	}
	a.runner = runner.New(runner.Config{Backend: a.settings.Backend, Agent: a.hello}, runner.Deps{
		Gate:      a.loader,
		Leases:    a.leases,
		Driver:    driver,
		Transport: backend,
		Clock:     a.Clock,
		Log:       a.Log,
		Scope:     a.Scope,
	})
	a.registerDump()
	return nil
}

func (a *Agent) newLoader(driver engine.Driver) error {
	var fetcher loader.Fetcher
	if !a.settings.Plain {
		spool, err := store.Open(store.Config{Dir: a.settings.Spool, MaxBytes: a.settings.SpoolBytes})
		if err != nil {
			return err
		}
		peer := wire.Peer{Name: a.settings.Name, Address: a.settings.Listen, Zone: a.settings.Zone, Region: a.settings.Region}
		a.transfer = transfer.New(transfer.Config{Self: peer}, spool, runtime.NewTransport(), a.Auth, a.Clock, runtime.NewRand(), a.Log, a.Scope)
		fetcher = a.transfer
	}
	cfg := loader.Config{Agent: a.settings.Name, Service: a.settings.Service, Plain: a.settings.Plain}
	a.loader = loader.New(cfg, driver, fetcher, a, a.Clock, a.Log, a.Scope)
	return nil
}

func (a *Agent) isLinked(entry string) bool { return a.mesh.Conn(entry) != nil }

func (a *Agent) applyView(view wire.AgentView) {
	if a.transfer != nil {
		a.transfer.SetView(view)
	}
	a.loader.SetView(view)
}

func (a *Agent) self() wire.Hello { return a.hello }

// Fence implements loader.FenceSource. It asks the linked entries, one after the
// other, for this agent's order as confirmed by a quorum.
func (a *Agent) Fence(ctx context.Context) (wire.FenceReply, error) {
	var reply wire.FenceReply
	err := errNoEntry()
	for _, c := range a.mesh.Conns() {
		err = c.Call(ctx, wire.KindFence, wire.FenceQuery{Agent: a.settings.Name}, &reply)
		if err == nil {
			a.views.raiseFloor(reply)
			return reply, nil
		}
	}
	return reply, err
}
