package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/wire"
)

const (
	queryTimeout  = 2 * time.Second
	maxQueryBytes = 32 << 20
	statsPath     = "/fake/stats"
	modePath      = "/fake/mode"
	restartPath   = "/fake/restart"
)

// joinKeyHeader equals link.KeyHeader.
const joinKeyHeader = "Waxwingpost-Join-Key"

// queryClient sends all queries to processes. It does not keep connections alive,
// so that a query never waits on the connection of a process that was frozen.
var queryClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (c *Cluster) get(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	if c.opts.JoinKey != "" {
		req.Header.Set(joinKeyHeader, c.opts.JoinKey)
	}
	return doQuery(req, into)
}

func doQuery(req *http.Request, into any) error {
	resp, err := queryClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxQueryBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("%s: status %d: %s", req.URL, resp.StatusCode, bytes.TrimSpace(data))
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(data, into)
}

// Alive returns nil once the process answers its health check.
func (c *Cluster) Alive(ctx context.Context, p *Process) error {
	if !p.Running() {
		return exitError(p)
	}
	return c.get(ctx, p.PeerAddress, wire.PathHealth, nil)
}

// EntryState is the part of an entry's state dump that tests read.
type EntryState struct {
	State struct {
		Index    uint64 `json:"index"`
		Revision uint64 `json:"revision"`
	} `json:"state"`
	Rollout struct {
		Leading bool `json:"leading"`
	} `json:"rollout"`
}

// Revision returns the revision in force on an entry.
func (c *Cluster) Revision(ctx context.Context, entry *Process) (uint64, error) {
	var s EntryState
	err := c.State(ctx, entry, &s)
	return s.State.Revision, err
}

// AgentStatus returns the status that an agent reports.
func (c *Cluster) AgentStatus(ctx context.Context, agent *Process) (wire.AgentStatus, error) {
	var s struct {
		Status wire.AgentStatus `json:"status"`
	}
	err := c.State(ctx, agent, &s)
	return s.Status, err
}

// AwaitServing waits until all of the agents serve the version.
func (c *Cluster) AwaitServing(ctx context.Context, version string, agents ...*Process) error {
	for _, p := range agents {
		check := func(ctx context.Context) error {
			s, err := c.AgentStatus(ctx, p)
			if err != nil {
				return err
			}
			if s.Serving != version {
				return errors.Newf("%s serves %q, code %d %s", p.Name, s.Serving, s.Code, s.Detail)
			}
			return nil
		}
		if err := Await(ctx, p.Name+" serves "+version, check); err != nil {
			return err
		}
	}
	return nil
}

// Leader returns the entry whose replica is the leader.
func (c *Cluster) Leader(ctx context.Context) (*Process, error) {
	for _, p := range c.Entries() {
		var s EntryState
		if p.Running() && c.State(ctx, p, &s) == nil && s.Rollout.Leading {
			return p, nil
		}
	}
	return nil, errors.New("no entry is the leader")
}

// Ready returns nil once the process reports that it is ready.
func (c *Cluster) Ready(ctx context.Context, p *Process) error {
	return c.get(ctx, p.PeerAddress, wire.PathReady, nil)
}

// AwaitReady waits until all of the processes are ready.
func (c *Cluster) AwaitReady(ctx context.Context, procs ...*Process) error {
	for _, p := range procs {
		check := func(ctx context.Context) error {
			if !p.Running() {
				return exitError(p)
			}
			return c.Ready(ctx, p)
		}
		if err := Await(ctx, p.Name+" ready", check); err != nil {
			return err
		}
	}
	return nil
}

func logTail(log string) string {
	const keep = 1500
	return log[max(0, len(log)-keep):]
}

// State decodes the state dump of a process into the given value.
func (c *Cluster) State(ctx context.Context, p *Process, into any) error {
	return c.get(ctx, p.PeerAddress, wire.PathState, into)
}

// Explain sends an explain query, such as "request:ID", to an entry or agent.
func (c *Cluster) Explain(ctx context.Context, p *Process, query string, into any) error {
	return c.get(ctx, p.PeerAddress, wire.PathExplain+"?q="+url.QueryEscape(query), into)
}

// Stats reads the counters of a fake server.
func (c *Cluster) Stats(ctx context.Context, p *Process, into any) error {
	if !p.Running() {
		return exitError(p)
	}
	return c.get(ctx, p.Address, statsPath, into)
}

// SetMode sets the mode of a fake server.
func (c *Cluster) SetMode(ctx context.Context, p *Process, mode any) error {
	return c.post(ctx, p, modePath, mode)
}

// RestartEngine makes a fake engine drop its weights and requests.
func (c *Cluster) RestartEngine(ctx context.Context, p *Process) error {
	return c.post(ctx, p, restartPath, struct{}{})
}

func (c *Cluster) post(ctx context.Context, p *Process, path string, body any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	return doQuery(req, nil)
}
