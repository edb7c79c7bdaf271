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
	fakeStats     = "/fake/stats"
	fakeMode      = "/fake/mode"
	fakeRestart   = "/fake/restart"
)

// joinKeyHeader equals link.KeyHeader.
const joinKeyHeader = "Waxwingpost-Join-Key"

// queries is the client of all questions to processes. Connections are not
// kept, so that a question never waits on a process that was frozen.
var queries = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

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
	return do(req, into)
}

func do(req *http.Request, into any) error {
	resp, err := queries.Do(req)
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

// Alive returns nil once the process answers at all.
func (c *Cluster) Alive(ctx context.Context, p *Process) error {
	if !p.Running() {
		return ended(p)
	}
	return c.get(ctx, p.Peer, wire.PathHealth, nil)
}

// EntryState is the part of an entry's dump that tests read.
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

// AgentStatus returns what an agent tells of itself.
func (c *Cluster) AgentStatus(ctx context.Context, agent *Process) (wire.AgentStatus, error) {
	var s struct {
		Status wire.AgentStatus `json:"status"`
	}
	err := c.State(ctx, agent, &s)
	return s.Status, err
}

// AwaitServing waits until every one of the agents serves the version.
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

// Leader returns the entry whose replica leads.
func (c *Cluster) Leader(ctx context.Context) (*Process, error) {
	for _, p := range c.Entries() {
		var s EntryState
		if p.Running() && c.State(ctx, p, &s) == nil && s.Rollout.Leading {
			return p, nil
		}
	}
	return nil, errors.New("no entry leads")
}

// Ready returns nil once the process reports that it is ready.
func (c *Cluster) Ready(ctx context.Context, p *Process) error {
	return c.get(ctx, p.Peer, wire.PathReady, nil)
}

// AwaitReady waits until all the processes are ready.
func (c *Cluster) AwaitReady(ctx context.Context, procs ...*Process) error {
	for _, p := range procs {
		check := func(ctx context.Context) error {
			if !p.Running() {
				return ended(p)
			}
			return c.Ready(ctx, p)
		}
		if err := Await(ctx, p.Name+" ready", check); err != nil {
			return err
		}
	}
	return nil
}

func tail(log string) string {
	const keep = 1500
	return log[max(0, len(log)-keep):]
}

// State reads the dump of a process: into receives the parts by name.
func (c *Cluster) State(ctx context.Context, p *Process, into any) error {
	return c.get(ctx, p.Peer, wire.PathState, into)
}

// Explain asks an entry or agent for a record.
func (c *Cluster) Explain(ctx context.Context, p *Process, query string, into any) error {
	return c.get(ctx, p.Peer, wire.PathExplain+"?q="+url.QueryEscape(query), into)
}

// Stats reads a stand-in's own record.
func (c *Cluster) Stats(ctx context.Context, p *Process, into any) error {
	if !p.Running() {
		return ended(p)
	}
	return c.get(ctx, p.Address, fakeStats, into)
}

// SetMode switches a stand-in's mode.
func (c *Cluster) SetMode(ctx context.Context, p *Process, mode any) error {
	return c.post(ctx, p, fakeMode, mode)
}

// RestartEngine makes a stand-in engine forget its weights.
func (c *Cluster) RestartEngine(ctx context.Context, p *Process) error {
	return c.post(ctx, p, fakeRestart, struct{}{})
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
	return do(req, nil)
}
