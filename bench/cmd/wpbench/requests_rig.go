package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
	"github.com/waxwingpost/waxwingpost/bench/fakes"
)

// Sizes of the rig of the requests experiments. An answer has rigTokens tokens plus
// one that opens and one that closes it.
const (
	rigEngines       = 10
	rigSlots         = 4
	rigTokens        = 18
	rigTokenTime     = 10 * time.Millisecond
	rigPrefillTime   = 30 * time.Millisecond
	rigPrefixEntries = 8
	rigReportLag     = 100 * time.Millisecond
	wideEngines      = 2
	wideSlots        = 600
	weightBytes      = 64 << 10
	rigStartTimeout  = 60 * time.Second
)

// answerTime is how long an engine takes to answer a request with a cached prefix.
const answerTime = (rigTokens + 2) * rigTokenTime

// rigConfig is the configuration of the rig, with a verb for the origin's address.
const rigConfig = `zones:
  z1: {region: r1}
control:
  voters: [entry-1, entry-2, entry-3]
sources:
  origin: {kind: origin, address: "%s", zone: z1}
versions:
  letters-1: {model: letters, path: /weights/letters-1}
  wide-1: {model: wide, path: /weights/wide-1}
priorities: {high: 10, low: 0}
services:
  letters: {kind: engine, version: letters-1, fencing: enforced, min_serving: 1}
  wide: {kind: engine, version: wide-1, fencing: enforced, min_serving: 1}
  desk:
    kind: plain
    routes:
      - {method: POST, path: /filings, repeatable: false}
      - {method: POST, path: /lookups, repeatable: true}
accounts:
  big: {share: 1}
  a: {share: 1}
  b: {share: 1}
  c: {share: 1}
  d: {share: 1}
requests: {default_deadline: 30s, key_retention: 1h, retry_share: 0.2}
`

// requestsRig is a system of three entries, ten engines, two engines with many
// slots and a plain service, all run as processes.
type requestsRig struct {
	cluster      *cluster.Cluster
	caller       *cluster.Caller
	dir          string
	entries      []string
	engines      []*cluster.Process
	plainService *cluster.Process
}

func startRequestsRig(ctx context.Context, opts options) (*requestsRig, error) {
	dir, err := os.MkdirTemp("", "wpbench-requests-")
	if err != nil {
		return nil, err
	}
	r := &requestsRig{dir: dir, caller: cluster.NewCaller()}
	r.cluster, err = cluster.New(cluster.Options{
		Bin: opts.Bin, Dir: dir, JoinKey: "bench-key", LogLevel: "warn",
		Entries: []cluster.EntrySpec{
			{Name: "entry-1", Zone: "z1", Region: "r1"},
			{Name: "entry-2", Zone: "z1", Region: "r1"},
			{Name: "entry-3", Zone: "z1", Region: "r1"},
		},
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, rigStartTimeout)
	defer cancel()
	if err := r.start(ctx, opts.Seed); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

func (r *requestsRig) close() {
	r.cluster.Close()
	_ = os.RemoveAll(r.dir)
}

func (r *requestsRig) start(ctx context.Context, seed uint64) error {
	if err := r.cluster.StartEntries(); err != nil {
		return err
	}
	for _, e := range r.cluster.Entries() {
		r.entries = append(r.entries, e.Address)
	}
	origin, err := r.cluster.StartFake("origin", "origin",
		"--version", fmt.Sprintf("/weights/letters-1=%d", weightBytes),
		"--version", fmt.Sprintf("/weights/wide-1=%d", weightBytes))
	if err != nil {
		return err
	}
	agents, err := r.startEngines("letters", rigEngines, rigSlots, rigTokenTime, seed)
	if err != nil {
		return err
	}
	wide, err := r.startEngines("wide", wideEngines, wideSlots, 20*time.Millisecond, seed)
	if err != nil {
		return err
	}
	if r.plainService, err = r.cluster.StartFake("desk", "plain", "--delay", "1ms"); err != nil {
		return err
	}
	plainAgent, err := r.cluster.StartAgent(cluster.AgentSpec{
		Name: "agent-desk", Zone: "z1", Region: "r1", Service: "desk", Backend: r.plainService.Address, Plain: true,
	})
	if err != nil {
		return err
	}
	if err := r.cluster.WriteFile("entry-1", "10-rig.yaml", fmt.Appendf(nil, rigConfig, origin.Address)); err != nil {
		return err
	}
	if err := r.cluster.AwaitServing(ctx, "letters-1", agents...); err != nil {
		return err
	}
	if err := r.cluster.AwaitServing(ctx, "wide-1", wide...); err != nil {
		return err
	}
	if err := r.cluster.AwaitReady(ctx, plainAgent); err != nil {
		return err
	}
	return r.awaitRoutes(ctx)
}

// startEngines starts the engines of a service, each with its agent.
func (r *requestsRig) startEngines(service string, n, slots int, tokenTime time.Duration, seed uint64) ([]*cluster.Process, error) {
	var agents []*cluster.Process
	for i := range n {
		name := fmt.Sprintf("%s-%d", service, i)
		engine, err := r.cluster.StartFake("engine-"+name, "engine",
			"--slots", fmt.Sprint(slots), "--token-time", tokenTime.String(), "--prefill-time", rigPrefillTime.String(),
			"--prefix-entries", fmt.Sprint(rigPrefixEntries), "--report-lag", rigReportLag.String(),
			"--load-time", "10ms", "--seed", fmt.Sprint(seed+uint64(i)))
		if err != nil {
			return nil, err
		}
		if service == "letters" {
			r.engines = append(r.engines, engine)
		}
		agent, err := r.cluster.StartAgent(cluster.AgentSpec{
			Name: "agent-" + name, Zone: "z1", Region: "r1", Service: service, Backend: engine.Address,
		})
		if err != nil {
			return nil, err
		}
		agents = append(agents, agent)
	}
	return agents, nil
}

// awaitRoutes waits until every entry routes requests to every service.
func (r *requestsRig) awaitRoutes(ctx context.Context) error {
	for _, entry := range r.entries {
		check := func(ctx context.Context) error {
			for _, model := range []string{"letters", "wide"} {
				out := r.caller.Chat(ctx, entry, cluster.ChatCall{Account: "a", Model: model, Prompt: "x", MaxTokens: 1})
				if out.Status != 200 {
					return errors.Newf("%s: status %d code %d %v", model, out.Status, out.Code, out.Err)
				}
			}
			out := r.caller.Plain(ctx, entry, cluster.PlainCall{Account: "a", Method: "POST", Path: "/lookups"})
			if out.Status != 200 {
				return errors.Newf("plain service: status %d code %d %v", out.Status, out.Code, out.Err)
			}
			return nil
		}
		if err := cluster.Await(ctx, "services behind "+entry, check); err != nil {
			return err
		}
	}
	return nil
}

// setMode sets the mode of the first engine.
func (r *requestsRig) setMode(ctx context.Context, mode fakes.EngineMode) error {
	return r.cluster.SetMode(ctx, r.engines[0], mode)
}

// prefixStats returns the total hits and misses of the engines' prefix caches.
func (r *requestsRig) prefixStats(ctx context.Context) (hits, misses int, err error) {
	for _, e := range r.engines {
		var s fakes.EngineStats
		if err := r.cluster.Stats(ctx, e, &s); err != nil {
			return 0, 0, err
		}
		hits, misses = hits+s.PrefixHits, misses+s.PrefixMisses
	}
	return hits, misses, nil
}
