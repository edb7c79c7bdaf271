// Package entry assembles the waxwingpost process of an entry VM: the API for
// callers, the replica of the control state, the configuration folder, the
// sessions of agents and, while this replica is the leader, the rollout.
//
// Each component locks only its own data and calls no other component while it
// holds a lock, so that there is no lock order between components.
package entry

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/mesh"
	"github.com/waxwingpost/waxwingpost/connection/session"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/control/node"
	"github.com/waxwingpost/waxwingpost/process/control/state"
	"github.com/waxwingpost/waxwingpost/process/fleet"
	"github.com/waxwingpost/waxwingpost/process/folder"
	"github.com/waxwingpost/waxwingpost/process/runtime"
	"github.com/waxwingpost/waxwingpost/process/settings"
	"github.com/waxwingpost/waxwingpost/request/api"
	"github.com/waxwingpost/waxwingpost/version/manifest"
	"github.com/waxwingpost/waxwingpost/version/rollout"
	"github.com/waxwingpost/waxwingpost/version/source"
)

// manifestTimeout bounds fetching a manifest from all sources.
const manifestTimeout = 30 * time.Second

// Entry is one running entry process.
type Entry struct {
	*runtime.Runtime
	settings settings.Entry
	hello    wire.Hello

	mesh     *mesh.Mesh
	machine  *state.Machine
	node     *node.Node
	sessions *session.Table
	fleet    *fleet.Fleet
	api      *api.API
	folder   *folder.Watcher
	rollout  *rollout.Runner
	views    *agentViews
	agents   *agentLinks
	ready    readiness
}

// New assembles an entry from valid settings. Nothing runs until Run.
func New(cfg settings.Entry, logOut io.Writer) (*Entry, error) {
	common, err := runtime.New(cfg.Common, logOut)
	if err != nil {
		return nil, err
	}
	e := &Entry{Runtime: common, settings: cfg, hello: runtime.Hello(cfg.Common, cfg.PeerListen)}
	e.hello.Role = wire.RoleEntry
	return e, e.assemble()
}

func (e *Entry) assemble() error {
	targets, err := settings.ParseTargets(e.settings.Entries)
	if err != nil {
		return err
	}
	e.ready.hadState = hasFiles(e.settings.Data)
	e.machine = state.New(state.Options{})
	e.fleet = fleet.New(e.Clock)
	e.sessions = session.New(session.Config{}, e.Clock, e.Scope)
	e.mesh = e.newMesh(targets)
	if e.node, err = e.newNode(targets); err != nil {
		return err
	}
	e.hello.Replica = e.node.ReplicaID()
	if err := e.newFolder(); err != nil {
		return err
	}
	e.api = e.newAPI()
	e.rollout = rollout.New(rollout.Config{}, e.node, e.machine, e.fleet, e.fetchManifest, e.Clock, e.Log, e.Scope)
	e.views = newAgentViews(e)
	e.agents = newAgentLinks()
	e.registerDump()
	return nil
}

// newMesh dials only the entries with a later name, so that each pair of
// entries shares one link.
func (e *Entry) newMesh(targets map[string]string) *mesh.Mesh {
	later := make(map[string]string)
	for name, address := range targets {
		if name > e.settings.Name {
			later[name] = address
		}
	}
	dialer := &link.Dialer{Auth: e.Auth, Self: e.self, Handler: e, Stats: e.Stats, Log: e.Log, Client: &http.Client{Transport: runtime.NewTransport()}}
	return mesh.New(mesh.Config{Targets: later}, dialer, e.Log)
}

func (e *Entry) newNode(targets map[string]string) (*node.Node, error) {
	cfg := node.Config{
		Name:      e.settings.Name,
		DataDir:   e.settings.Data,
		Peers:     settings.Names(targets),
		Bootstrap: settings.SplitList(e.settings.Bootstrap),
	}
	return node.New(cfg, e.machine, e.mesh, e.Clock, runtime.NewRand(), e.Log, e.Scope)
}

func (e *Entry) newFolder() error {
	if e.settings.Folder == "" {
		return nil
	}
	if err := os.MkdirAll(e.settings.Folder, 0o755); err != nil {
		return err
	}
	cfg := folder.Config{Path: e.settings.Folder, DataDir: e.settings.Data, VM: e.settings.Name}
	e.folder = folder.New(cfg, e.node, e.machine, e.Clock, e.Log, e.Scope)
	return nil
}

func (e *Entry) newAPI() *api.API {
	return api.New(api.Deps{
		Config:    e.machine.Config,
		Sessions:  e.sessions,
		Store:     e.node,
		Calls:     e.machine.Call,
		Synced:    e.canServe,
		Self:      e.hello,
		Auth:      e.Auth,
		Transport: runtime.NewTransport(),
		Clock:     e.Clock,
		Rand:      runtime.NewRand(),
		Log:       e.Log,
		Scope:     e.Scope,
	})
}

func (e *Entry) self() wire.Hello { return e.hello }

// fetchManifest fetches the manifest of a version from the first source that has it;
// stores are tried before origins.
func (e *Entry) fetchManifest(ctx context.Context, v config.Version) (*manifest.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	cfg, _ := e.machine.Config()
	var lastErr error
	for _, src := range wireSources(cfg) {
		m, err := source.ReadManifest(ctx, &http.Client{Transport: runtime.NewTransport()}, src, v.Path)
		if err == nil {
			return m, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

var _ control.Store = (*node.Node)(nil)
