package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
	"github.com/waxwingpost/waxwingpost/bench/fakes"
	"github.com/waxwingpost/waxwingpost/bench/figure"
	"github.com/waxwingpost/waxwingpost/process/result"
)

func init() {
	register(experiment{
		Name: "requests",
		Help: "latency, and goodput under overload, on processes, compared with baselines.",
		Run: requestSteps(func(r *requestsRun) []requestStep {
			return []requestStep{r.measureCapacity, r.measureLatency, r.measureOverload}
		}),
	})
	register(experiment{
		Name: "requests-shares",
		Help: "small accounts while a large one floods the system, on processes, compared with no admission.",
		Run: requestSteps(func(r *requestsRun) []requestStep {
			return []requestStep{r.measureCapacity, r.measureFlood}
		}),
	})
	register(experiment{
		Name: "requests-routing",
		Help: "prefix hits, and a slow and a failing backend server, on processes, compared with baselines.",
		Run: requestSteps(func(r *requestsRun) []requestStep {
			return []requestStep{r.measureCapacity, r.measureCosts, r.measurePrefixHits, r.measureFaultyEngine}
		}),
	})
	register(experiment{
		Name: "requests-calls",
		Help: "1,000 concurrent streams, and calls to a route that is not repeatable, which are reserved before they run, compared with repeatable calls.",
		Run: requestSteps(func(r *requestsRun) []requestStep {
			return []requestStep{r.measureManyStreams, r.measureCalls}
		}),
	})
}

// requestStep is one measurement.
type requestStep func(ctx context.Context) error

const (
	window            = 4 * time.Second
	warmupTime        = 2 * time.Second
	overloadDeadline  = 1500 * time.Millisecond
	streamsAtOnce     = 1000
	closedLoopCallers = 16
	prefixCount       = 60
	// maxLoggedFailures is how many failures are logged individually; failurePause
	// is how long a caller waits after a failure.
	maxLoggedFailures = 5
	failurePause      = 200 * time.Millisecond
)

// ratedCapacity is how many answers per second the engines give if the machine
// adds no delays.
const ratedCapacity = rigEngines * rigSlots / (float64(answerTime) / float64(time.Second))

// requestsRun is one run of a requests experiment.
type requestsRun struct {
	opts options
	rig  *requestsRig
	// total sums up all requests that went through the entries.
	total   results
	engines []string
	// capacity is how many answers per second the engines gave to direct requests
	// while every slot was busy.
	capacity float64
}

// requestSteps returns an experiment that runs the steps on one rig and finally
// counts violated guarantees.
func requestSteps(steps func(r *requestsRun) []requestStep) func(context.Context, options) error {
	return func(ctx context.Context, opts options) error {
		rig, err := startRequestsRig(ctx, opts)
		if err != nil {
			return err
		}
		defer rig.close()
		r := &requestsRun{opts: opts, rig: rig}
		for _, e := range rig.engines {
			r.engines = append(r.engines, e.Address)
		}
		for _, step := range append(steps(r), r.checkSafety) {
			if err := step(ctx); err != nil {
				return err
			}
			if err := ctx.Err(); err != nil {
				return err
			}
		}
		return nil
	}
}

func (r *requestsRun) figure(name string, value float64, unit, target string) {
	figure.Print(r.opts.Out, "requests_"+name, value, unit, target)
}

func (r *requestsRun) entryBalancer() addressPicker { return &roundRobin{addresses: r.rig.entries} }

// runThroughEntries runs traffic through the entries and adds its results to the
// total that checkSafety reports.
func (r *requestsRun) runThroughEntries(ctx context.Context, t traffic, duration time.Duration) *results {
	res := t.run(ctx, r.rig.caller, r.entryBalancer(), duration)
	r.total.mu.Lock()
	defer r.total.mu.Unlock()
	r.total.offered += res.offered
	r.total.good += res.good
	r.total.lost += res.lost
	r.total.misrouted += res.misrouted
	r.total.truncated += res.truncated
	r.total.failed += res.failed
	return res
}

// measureCapacity measures the answers per second while every slot of every
// engine is busy.
func (r *requestsRun) measureCapacity(ctx context.Context) error {
	var group sync.WaitGroup
	var answers atomic.Int64
	start := time.Now()
	for i := range rigEngines * rigSlots {
		group.Go(func() {
			for n := 0; time.Since(start) < window; n++ {
				call := cluster.ChatCall{Model: "letters", System: "write a letter", Prompt: fmt.Sprintf("%d-%d", i, n), MaxTokens: rigTokens}
				if out := r.rig.caller.Chat(ctx, r.engines[i%rigEngines], call); out.Err == nil && out.Status == http.StatusOK {
					answers.Add(1)
				}
			}
		})
	}
	group.Wait()
	r.capacity = float64(answers.Load()) / time.Since(start).Seconds()
	r.figure("capacity", r.capacity, "answers_per_second", "")
	r.figure("capacity_rated", ratedCapacity, "answers_per_second", "")
	return nil
}

// measureLatency measures the time that the system adds to the first byte at half
// of the capacity. Direct requests and requests through the entries alternate, so
// that both run under the same machine conditions.
func (r *requestsRun) measureLatency(ctx context.Context) error {
	t := traffic{account: "a", model: "letters", perSecond: r.capacity / 2, stream: true, seed: r.opts.Seed}
	picker := newLeastOpen(r.engines)
	t.run(ctx, r.rig.caller, picker, time.Second)
	r.runThroughEntries(ctx, t, time.Second)
	var direct, viaEntries []time.Duration
	for round := range 4 {
		t.seed = r.opts.Seed + uint64(round)
		direct = append(direct, t.run(ctx, r.rig.caller, picker, window/2).firstByte...)
		viaEntries = append(viaEntries, r.runThroughEntries(ctx, t, window/2).firstByte...)
	}
	for _, p := range []struct {
		name  string
		share float64
		limit string
	}{{"p50", 0.5, "<=0.5"}, {"p95", 0.95, "<=2"}} {
		a, b := percentile(direct, p.share), percentile(viaEntries, p.share)
		r.figure("first_byte_direct_"+p.name, millis(a), "ms", "")
		r.figure("first_byte_through_"+p.name, millis(b), "ms", "")
		r.figure("first_byte_added_"+p.name, millis(b-a), "ms", p.limit)
	}
	return nil
}

// measureOverload offers two and four times the capacity.
func (r *requestsRun) measureOverload(ctx context.Context) error {
	for _, factor := range []float64{2, 4} {
		t := traffic{account: "a", model: "letters", perSecond: factor * r.capacity, deadline: overloadDeadline, seed: r.opts.Seed}
		res := r.runThroughEntries(ctx, t, warmupTime+window)
		baseline := t.run(ctx, r.rig.caller, &roundRobin{addresses: r.engines}, warmupTime+window)
		name := fmt.Sprintf("overload_%gx_", factor)
		r.figure(name+"goodput_share", r.goodputShare(res), "of_capacity", ">=0.95")
		r.figure(name+"goodput_share_no_admission", r.goodputShare(baseline), "of_capacity", "")
		r.figure(name+"admitted_p95", millis(percentile(res.total, 0.95)), "ms", fmt.Sprintf("<=%d", overloadDeadline.Milliseconds()))
		r.figure(name+"refused_p95", millis(percentile(res.refusal, 0.95)), "ms", "<=5")
		r.figure(name+"refused", float64(res.refused), "count", "")
		r.figure(name+"explicit_errors", float64(res.failed), "count", "")
		r.figure(name+"late", float64(res.late), "count", "")
		if err := r.drainEngines(ctx); err != nil {
			return err
		}
	}
	return nil
}

// goodputShare returns the requests answered in time as a share of the capacity.
// It leaves out the warm-up, during which the queues fill.
func (r *requestsRun) goodputShare(res *results) float64 {
	return float64(res.goodBetween(warmupTime, warmupTime+window)) / (r.capacity * window.Seconds())
}

// drainEngines waits while the engines complete the requests that a baseline left
// queued.
func (r *requestsRun) drainEngines(ctx context.Context) error {
	select {
	case <-time.After(2 * time.Second):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// measureFlood offers ten times the fair share of one large account, together with
// four small accounts. These offer a little more than their share, then well below
// it.
func (r *requestsRun) measureFlood(ctx context.Context) error {
	for _, smallLoad := range []struct {
		name  string
		offer float64
		unit  string
	}{{"above_share", 1.2, "of_its_share"}, {"below_share", 0.6, "of_its_offer"}} {
		worst, sum := r.runFlood(smallLoad.offer, func(t traffic) *results { return r.runThroughEntries(ctx, t, warmupTime+window) })
		r.figure("flood_least_small_account_"+smallLoad.name, worst, smallLoad.unit, ">=0.95")
		r.figure("flood_goodput_share_"+smallLoad.name, sum, "of_capacity", "")
		if err := r.drainEngines(ctx); err != nil {
			return err
		}
	}
	worst, _ := r.runFlood(0.6, func(t traffic) *results {
		return t.run(ctx, r.rig.caller, &roundRobin{addresses: r.engines}, window)
	})
	r.figure("flood_least_small_account_below_share_no_admission", worst, "of_its_offer", "")
	return r.drainEngines(ctx)
}

// runFlood runs the traffic of all accounts at once. It returns the goodput of the
// worst small account, as a fraction of its share or, when it offers less than
// that, of its offer. It also returns the total goodput share.
func (r *requestsRun) runFlood(offer float64, send func(traffic) *results) (worst, sum float64) {
	share := r.capacity / 5
	loads := []traffic{{account: "big", perSecond: 10 * share}}
	for _, name := range []string{"a", "b", "c", "d"} {
		loads = append(loads, traffic{account: name, perSecond: offer * share})
	}
	byAccount := make([]*results, len(loads))
	var group sync.WaitGroup
	for i, t := range loads {
		t.model, t.deadline, t.seed = "letters", overloadDeadline, r.opts.Seed+uint64(i)
		group.Go(func() { byAccount[i] = send(t) })
	}
	group.Wait()
	worst = 1
	for i, res := range byAccount {
		sum += r.goodputShare(res)
		fmt.Fprintf(r.opts.Log, "flood %s: %d of %d good, %d late, %d lost, refused %v, p95 %s\n",
			loads[i].account, res.good, res.offered, res.late, res.lost, res.codes, percentile(res.total, 0.95))
		if i == 0 {
			continue
		}
		if offer < 1 {
			worst = min(worst, float64(res.good)/float64(max(1, res.offered)))
		} else {
			worst = min(worst, float64(res.goodBetween(warmupTime, warmupTime+window))/(share*window.Seconds()))
		}
	}
	return worst, sum
}

// measurePrefixHits compares the prefix hit share of the entries with round robin
// and with the least reported load, at half of the capacity.
func (r *requestsRun) measurePrefixHits(ctx context.Context) error {
	t := traffic{account: "a", model: "letters", perSecond: r.capacity / 2, prefixCount: prefixCount, seed: r.opts.Seed}
	least := &leastReported{engines: r.engines, load: make([]int, len(r.engines))}
	pollCtx, stop := context.WithCancel(ctx)
	defer stop()
	go least.poll(pollCtx)
	modes := []struct {
		name string
		run  func() *results
	}{
		{"round_robin", func() *results { return t.run(ctx, r.rig.caller, &roundRobin{addresses: r.engines}, window) }},
		{"least_reported", func() *results { return t.run(ctx, r.rig.caller, least, window) }},
		{"through", func() *results { return r.runThroughEntries(ctx, t, window) }},
	}
	shares, p99 := map[string]float64{}, map[string]time.Duration{}
	for _, mode := range modes {
		hits, misses, err := r.rig.prefixStats(ctx)
		if err != nil {
			return err
		}
		res := mode.run()
		moreHits, moreMisses, err := r.rig.prefixStats(ctx)
		if err != nil {
			return err
		}
		shares[mode.name] = float64(moreHits-hits) / float64(max(1, moreHits-hits+moreMisses-misses))
		p99[mode.name] = percentile(res.total, 0.99)
		r.figure("prefix_hit_share_"+mode.name, shares[mode.name], "of_requests", "")
		r.figure("prefix_p99_"+mode.name, millis(p99[mode.name]), "ms", "")
	}
	r.figure("prefix_hits_against_round_robin", shares["through"]/max(shares["round_robin"], 1e-3), "ratio", ">=2")
	r.figure("prefix_p99_against_least_reported", float64(p99["through"])/float64(max(1, p99["least_reported"])), "ratio", "<=1")
	return nil
}

// measureFaultyEngine makes one engine in ten slow, then failing.
func (r *requestsRun) measureFaultyEngine(ctx context.Context) error {
	t := traffic{account: "a", model: "letters", perSecond: r.capacity / 2, seed: r.opts.Seed}
	healthy := percentile(r.runThroughEntries(ctx, t, window).total, 0.95)
	r.figure("healthy_p95", millis(healthy), "ms", "")
	for _, fault := range []struct {
		name string
		mode fakes.EngineMode
	}{{"one_slow", fakes.EngineMode{SlowFactor: 10}}, {"one_failing", fakes.EngineMode{FailShare: 0.5}}} {
		if err := r.rig.setMode(ctx, fault.mode); err != nil {
			return err
		}
		res := r.runThroughEntries(ctx, t, window)
		baseline := t.run(ctx, r.rig.caller, &roundRobin{addresses: r.engines}, window)
		r.figure(fault.name+"_p95_against_healthy", float64(percentile(res.total, 0.95))/float64(max(1, healthy)), "ratio", "<=1.3")
		r.figure(fault.name+"_p95_against_healthy_round_robin", float64(percentile(baseline.total, 0.95))/float64(max(1, healthy)), "ratio", "")
		r.figure(fault.name+"_answered_share", float64(res.good)/float64(max(1, res.offered)), "of_requests", "")
		r.figure(fault.name+"_answered_share_round_robin", float64(baseline.good)/float64(max(1, baseline.offered)), "of_requests", "")
		if err := r.rig.setMode(ctx, fakes.EngineMode{}); err != nil {
			return err
		}
		if err := r.drainEngines(ctx); err != nil {
			return err
		}
	}
	return nil
}

// measureManyStreams opens concurrent streams through one entry.
func (r *requestsRun) measureManyStreams(ctx context.Context) error {
	entry := r.rig.cluster.Entries()[0]
	res := &results{}
	var group sync.WaitGroup
	for i := range streamsAtOnce {
		call := cluster.ChatCall{Account: "a", Model: "wide", Prompt: fmt.Sprintf("stream %d", i), Stream: true, MaxTokens: 100}
		group.Go(func() { res.record(r.rig.caller.Chat(ctx, entry.Address, call), call.Prompt, 0) })
	}
	group.Wait()
	r.total.lost += res.lost
	r.total.misrouted += res.misrouted
	r.total.truncated += res.truncated
	r.figure("streams_at_once_whole", float64(res.good), "count", fmt.Sprintf(">=%d", streamsAtOnce))
	var state struct {
		Process struct {
			Usage struct {
				MaxResidentBytes int64 `json:"max_resident_bytes"`
			} `json:"usage"`
		} `json:"process"`
	}
	if err := r.rig.cluster.State(ctx, entry, &state); err != nil {
		return err
	}
	r.figure("entry_max_resident", float64(state.Process.Usage.MaxResidentBytes)/(1<<20), "MB", "")
	return nil
}

// measureCalls compares calls to a repeatable route with calls to one that is not.
func (r *requestsRun) measureCalls(ctx context.Context) error {
	for _, route := range []struct{ name, path string }{{"repeatable", "/lookups"}, {"once", "/filings"}} {
		total, failed := r.runClosedLoop(ctx, route.path)
		r.figure(route.name+"_calls_per_second", float64(len(total))/window.Seconds(), "calls_per_second", "")
		r.figure(route.name+"_calls_p50", millis(percentile(total, 0.5)), "ms", "")
		r.figure(route.name+"_calls_p95", millis(percentile(total, 0.95)), "ms", "")
		r.figure(route.name+"_calls_failed", float64(failed), "count", "")
	}
	return nil
}

// runClosedLoop runs callers that each send one call at a time. Every second call
// to the route that is not repeatable is resent through another entry.
func (r *requestsRun) runClosedLoop(ctx context.Context, path string) (total []time.Duration, failed int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	deadline := time.Now().Add(window)
	for caller := range closedLoopCallers {
		group.Go(func() {
			for n := 0; time.Now().Before(deadline); n++ {
				call := cluster.PlainCall{
					Account: "a", Method: http.MethodPost, Path: path,
					Key: fmt.Sprintf("%s-%d-%d-%d", path, r.opts.Seed, caller, n), Body: []byte("letter"),
				}
				first := r.rig.caller.Plain(ctx, r.rig.entries[(caller+n)%3], call)
				ok := first.Err == nil && first.Status == http.StatusOK
				if path == "/filings" && n%2 == 0 {
					resent := r.rig.caller.Plain(ctx, r.rig.entries[(caller+n+1)%3], call)
					ok = ok && (resent.Code == int(result.InProgress) || string(resent.Body) == string(first.Body))
				}
				mu.Lock()
				if ok {
					total = append(total, first.Total)
				} else {
					failed++
					if failed <= maxLoggedFailures {
						fmt.Fprintf(r.opts.Log, "%s failed: %d %d %q %v after %s\n", call.Key, first.Status, first.Code, first.Ran, first.Err, first.Total)
					}
				}
				mu.Unlock()
				if !ok {
					time.Sleep(failurePause)
				}
			}
		})
	}
	group.Wait()
	return total, failed
}

// checkSafety prints the counts of violated guarantees, which must be zero.
func (r *requestsRun) checkSafety(ctx context.Context) error {
	var stats fakes.PlainStats
	if err := r.rig.cluster.Stats(ctx, r.rig.plainService, &stats); err != nil {
		return err
	}
	duplicates := 0
	for key, n := range stats.Runs {
		if n > 1 && len(key) > len("/filings") && key[:len("/filings")] == "/filings" {
			duplicates += n - 1
		}
	}
	r.figure("lost", float64(r.total.lost), "count", "<=0")
	r.figure("doubled", float64(duplicates), "count", "<=0")
	r.figure("crossed", float64(r.total.misrouted), "count", "<=0")
	r.figure("short", float64(r.total.truncated), "count", "<=0")
	return nil
}
