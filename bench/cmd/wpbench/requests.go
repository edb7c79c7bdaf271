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
		Help: "latency, and goodput under overload, on processes, beside baselines.",
		Run: requestSteps(func(r *requestsRun) []requestStep {
			return []requestStep{r.measureCapacity, r.latency, r.overload}
		}),
	})
	register(experiment{
		Name: "requests-shares",
		Help: "small accounts under the flood of a large one, on processes, without admission beside it.",
		Run: requestSteps(func(r *requestsRun) []requestStep {
			return []requestStep{r.measureCapacity, r.flood}
		}),
	})
	register(experiment{
		Name: "requests-routing",
		Help: "prefix hits, and a slow and a failing backend server, on processes, beside baselines.",
		Run: requestSteps(func(r *requestsRun) []requestStep {
			return []requestStep{r.measureCapacity, r.costs, r.prefixHits, r.faulty}
		}),
	})
	register(experiment{
		Name: "requests-calls",
		Help: "1,000 streams at once, and calls that may not be repeated with and without the reserve.",
		Run: requestSteps(func(r *requestsRun) []requestStep {
			return []requestStep{r.manyStreams, r.onceCalls}
		}),
	})
}

// requestStep is one measurement.
type requestStep func(ctx context.Context) error

const (
	windowTime       = 4 * time.Second
	warmTime         = 2 * time.Second
	overloadDeadline = 1500 * time.Millisecond
	streamsAtOnce    = 1000
	onceCallers      = 16
	prefixKinds      = 60
	// toldFailures is how many failures are told one by one; failurePause is
	// how long a caller waits after one.
	toldFailures = 5
	failurePause = 200 * time.Millisecond
)

// ratedCapacity is how many answers a second the engines give without the
// machine's own delays.
const ratedCapacity = rigEngines * rigSlots / (float64(answerTime) / float64(time.Second))

// requestsRun is one run of the experiment.
type requestsRun struct {
	opts options
	rig  *requestsRig
	// total gathers every request that went through the system.
	total  counts
	direct []string
	// capacity is how many answers a second the engines gave with every slot
	// busy, asked directly.
	capacity float64
}

// requestSteps makes an experiment of steps on one rig. Each ends with the
// count of broken promises.
func requestSteps(steps func(r *requestsRun) []requestStep) func(context.Context, options) error {
	return func(ctx context.Context, opts options) error {
		rig, err := startRequestsRig(ctx, opts)
		if err != nil {
			return err
		}
		defer rig.close()
		r := &requestsRun{opts: opts, rig: rig}
		for _, e := range rig.engines {
			r.direct = append(r.direct, e.Address)
		}
		for _, step := range append(steps(r), r.safety) {
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

func (r *requestsRun) entries() chooser { return &balancer{addresses: r.rig.entries} }

// through runs traffic through the entries and counts it for safety.
func (r *requestsRun) through(ctx context.Context, t traffic, span time.Duration) *counts {
	c := t.run(ctx, r.rig.caller, r.entries(), span)
	r.total.mu.Lock()
	defer r.total.mu.Unlock()
	r.total.offered += c.offered
	r.total.good += c.good
	r.total.lost += c.lost
	r.total.crossed += c.crossed
	r.total.short += c.short
	r.total.failed += c.failed
	return c
}

// measureCapacity keeps every slot of every engine busy for a while.
func (r *requestsRun) measureCapacity(ctx context.Context) error {
	var group sync.WaitGroup
	var answers atomic.Int64
	start := time.Now()
	for i := range rigEngines * rigSlots {
		group.Go(func() {
			for n := 0; time.Since(start) < windowTime; n++ {
				call := cluster.ChatCall{Model: "letters", System: "write a letter", Prompt: fmt.Sprintf("%d-%d", i, n), MaxTokens: rigTokens}
				if out := r.rig.caller.Chat(ctx, r.direct[i%rigEngines], call); out.Err == nil && out.Status == http.StatusOK {
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

// latency measures what the system adds to the first byte at half load. The
// two ways take turns so that both meet the same machine.
func (r *requestsRun) latency(ctx context.Context) error {
	t := traffic{account: "a", model: "letters", perSecond: r.capacity / 2, stream: true, seed: r.opts.Seed}
	ideal := newDirect(r.direct)
	t.run(ctx, r.rig.caller, ideal, time.Second)
	r.through(ctx, t, time.Second)
	var direct, through []time.Duration
	for turn := range 4 {
		t.seed = r.opts.Seed + uint64(turn)
		direct = append(direct, t.run(ctx, r.rig.caller, ideal, windowTime/2).firstByte...)
		through = append(through, r.through(ctx, t, windowTime/2).firstByte...)
	}
	for _, p := range []struct {
		name  string
		share float64
		limit string
	}{{"p50", 0.5, "<=0.5"}, {"p95", 0.95, "<=2"}} {
		a, b := percentile(direct, p.share), percentile(through, p.share)
		r.figure("first_byte_direct_"+p.name, millis(a), "ms", "")
		r.figure("first_byte_through_"+p.name, millis(b), "ms", "")
		r.figure("first_byte_added_"+p.name, millis(b-a), "ms", p.limit)
	}
	return nil
}

// overload offers two and four times what the engines can do.
func (r *requestsRun) overload(ctx context.Context) error {
	for _, times := range []float64{2, 4} {
		t := traffic{account: "a", model: "letters", perSecond: times * r.capacity, deadline: overloadDeadline, seed: r.opts.Seed}
		c := r.through(ctx, t, warmTime+windowTime)
		base := t.run(ctx, r.rig.caller, &balancer{addresses: r.direct}, warmTime+windowTime)
		name := fmt.Sprintf("overload_%gx_", times)
		r.figure(name+"goodput_share", r.goodput(c), "of_capacity", ">=0.95")
		r.figure(name+"goodput_share_no_admission", r.goodput(base), "of_capacity", "")
		r.figure(name+"admitted_p95", millis(percentile(c.total, 0.95)), "ms", fmt.Sprintf("<=%d", overloadDeadline.Milliseconds()))
		r.figure(name+"refused_p95", millis(percentile(c.refusal, 0.95)), "ms", "<=5")
		r.figure(name+"refused", float64(c.refused), "count", "")
		r.figure(name+"explicit_errors", float64(c.failed), "count", "")
		r.figure(name+"late", float64(c.late), "count", "")
		if err := r.settle(ctx); err != nil {
			return err
		}
	}
	return nil
}

// goodput is the share of the capacity that was answered in time, from the
// time on when the queues are full.
func (r *requestsRun) goodput(c *counts) float64 {
	return float64(c.goodWithin(warmTime, warmTime+windowTime)) / (r.capacity * windowTime.Seconds())
}

// settle lets the engines work off what a baseline left behind.
func (r *requestsRun) settle(ctx context.Context) error {
	select {
	case <-time.After(2 * time.Second):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// flood offers ten times its share for one account beside four small ones,
// which ask for a little more than their share, then for well below it.
func (r *requestsRun) flood(ctx context.Context) error {
	for _, small := range []struct {
		name  string
		offer float64
		unit  string
	}{{"above_share", 1.2, "of_its_share"}, {"below_share", 0.6, "of_its_offer"}} {
		kept, sum := r.floodBy(small.offer, func(t traffic) *counts { return r.through(ctx, t, warmTime+windowTime) })
		r.figure("flood_least_small_account_"+small.name, kept, small.unit, ">=0.95")
		r.figure("flood_goodput_share_"+small.name, sum, "of_capacity", "")
		if err := r.settle(ctx); err != nil {
			return err
		}
	}
	kept, _ := r.floodBy(0.6, func(t traffic) *counts {
		return t.run(ctx, r.rig.caller, &balancer{addresses: r.direct}, windowTime)
	})
	r.figure("flood_least_small_account_below_share_no_admission", kept, "of_its_offer", "")
	return r.settle(ctx)
}

// floodBy runs all accounts at once. It returns what the worst small account
// kept, of its share or of its offer where that is less, and the whole goodput.
func (r *requestsRun) floodBy(offer float64, to func(traffic) *counts) (kept, sum float64) {
	share := r.capacity / 5
	all := []traffic{{account: "big", perSecond: 10 * share}}
	for _, name := range []string{"a", "b", "c", "d"} {
		all = append(all, traffic{account: name, perSecond: offer * share})
	}
	results := make([]*counts, len(all))
	var group sync.WaitGroup
	for i, t := range all {
		t.model, t.deadline, t.seed = "letters", overloadDeadline, r.opts.Seed+uint64(i)
		group.Go(func() { results[i] = to(t) })
	}
	group.Wait()
	kept = 1
	for i, c := range results {
		sum += r.goodput(c)
		fmt.Fprintf(r.opts.Log, "flood %s: %d of %d good, %d late, %d lost, refused %v, p95 %s\n",
			all[i].account, c.good, c.offered, c.late, c.lost, c.codes, percentile(c.total, 0.95))
		if i == 0 {
			continue
		}
		if offer < 1 {
			kept = min(kept, float64(c.good)/float64(max(1, c.offered)))
		} else {
			kept = min(kept, float64(c.goodWithin(warmTime, warmTime+windowTime))/(share*windowTime.Seconds()))
		}
	}
	return kept, sum
}

// prefixHits compares the share of cached prefixes against round robin and
// least reported load, at half load.
func (r *requestsRun) prefixHits(ctx context.Context) error {
	t := traffic{account: "a", model: "letters", perSecond: r.capacity / 2, prefixes: prefixKinds, seed: r.opts.Seed}
	least := &leastReported{engines: r.direct, load: make([]int, len(r.direct))}
	pollCtx, stop := context.WithCancel(ctx)
	defer stop()
	go least.poll(pollCtx)
	ways := []struct {
		name string
		run  func() *counts
	}{
		{"round_robin", func() *counts { return t.run(ctx, r.rig.caller, &balancer{addresses: r.direct}, windowTime) }},
		{"least_reported", func() *counts { return t.run(ctx, r.rig.caller, least, windowTime) }},
		{"through", func() *counts { return r.through(ctx, t, windowTime) }},
	}
	shares, p99 := map[string]float64{}, map[string]time.Duration{}
	for _, way := range ways {
		hits, misses, err := r.rig.prefixCounts(ctx)
		if err != nil {
			return err
		}
		c := way.run()
		moreHits, moreMisses, err := r.rig.prefixCounts(ctx)
		if err != nil {
			return err
		}
		shares[way.name] = float64(moreHits-hits) / float64(max(1, moreHits-hits+moreMisses-misses))
		p99[way.name] = percentile(c.total, 0.99)
		r.figure("prefix_hit_share_"+way.name, shares[way.name], "of_requests", "")
		r.figure("prefix_p99_"+way.name, millis(p99[way.name]), "ms", "")
	}
	r.figure("prefix_hits_against_round_robin", shares["through"]/max(shares["round_robin"], 1e-3), "ratio", ">=2")
	r.figure("prefix_p99_against_least_reported", float64(p99["through"])/float64(max(1, p99["least_reported"])), "ratio", "<=1")
	return nil
}

// faulty makes one engine in ten slow, then failing.
func (r *requestsRun) faulty(ctx context.Context) error {
	t := traffic{account: "a", model: "letters", perSecond: r.capacity / 2, seed: r.opts.Seed}
	healthy := percentile(r.through(ctx, t, windowTime).total, 0.95)
	r.figure("healthy_p95", millis(healthy), "ms", "")
	for _, m := range []struct {
		name string
		mode fakes.EngineMode
	}{{"one_slow", fakes.EngineMode{SlowFactor: 10}}, {"one_failing", fakes.EngineMode{FailShare: 0.5}}} {
		if err := r.rig.setMode(ctx, m.mode); err != nil {
			return err
		}
		c := r.through(ctx, t, windowTime)
		base := t.run(ctx, r.rig.caller, &balancer{addresses: r.direct}, windowTime)
		r.figure(m.name+"_p95_against_healthy", float64(percentile(c.total, 0.95))/float64(max(1, healthy)), "ratio", "<=1.3")
		r.figure(m.name+"_p95_against_healthy_round_robin", float64(percentile(base.total, 0.95))/float64(max(1, healthy)), "ratio", "")
		r.figure(m.name+"_answered_share", float64(c.good)/float64(max(1, c.offered)), "of_requests", "")
		r.figure(m.name+"_answered_share_round_robin", float64(base.good)/float64(max(1, base.offered)), "of_requests", "")
		if err := r.rig.setMode(ctx, fakes.EngineMode{}); err != nil {
			return err
		}
		if err := r.settle(ctx); err != nil {
			return err
		}
	}
	return nil
}

// manyStreams opens streams at once through one entry.
func (r *requestsRun) manyStreams(ctx context.Context) error {
	entry := r.rig.cluster.Entries()[0]
	c := &counts{}
	var group sync.WaitGroup
	for i := range streamsAtOnce {
		call := cluster.ChatCall{Account: "a", Model: "wide", Prompt: fmt.Sprintf("stream %d", i), Stream: true, MaxTokens: 100}
		group.Go(func() { c.judge(r.rig.caller.Chat(ctx, entry.Address, call), call.Prompt, 0) })
	}
	group.Wait()
	r.total.lost += c.lost
	r.total.crossed += c.crossed
	r.total.short += c.short
	r.figure("streams_at_once_whole", float64(c.good), "count", fmt.Sprintf(">=%d", streamsAtOnce))
	var dump struct {
		Process struct {
			Usage struct {
				MaxResidentBytes int64 `json:"max_resident_bytes"`
			} `json:"usage"`
		} `json:"process"`
	}
	if err := r.rig.cluster.State(ctx, entry, &dump); err != nil {
		return err
	}
	r.figure("entry_max_resident", float64(dump.Process.Usage.MaxResidentBytes)/(1<<20), "MB", "")
	return nil
}

// onceCalls measures calls that may not be repeated against those that may.
func (r *requestsRun) onceCalls(ctx context.Context) error {
	for _, way := range []struct{ name, path string }{{"repeatable", "/lookups"}, {"once", "/filings"}} {
		total, failed := r.closedLoop(ctx, way.path)
		r.figure(way.name+"_calls_per_second", float64(len(total))/windowTime.Seconds(), "calls_per_second", "")
		r.figure(way.name+"_calls_p50", millis(percentile(total, 0.5)), "ms", "")
		r.figure(way.name+"_calls_p95", millis(percentile(total, 0.95)), "ms", "")
		r.figure(way.name+"_calls_failed", float64(failed), "count", "")
	}
	return nil
}

// closedLoop keeps callers calling one after the other. Every second call
// that may not be repeated is sent again through another entry.
func (r *requestsRun) closedLoop(ctx context.Context, path string) (total []time.Duration, failed int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(windowTime)
	for caller := range onceCallers {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				call := cluster.PlainCall{
					Account: "a", Method: http.MethodPost, Path: path,
					Key: fmt.Sprintf("%s-%d-%d-%d", path, r.opts.Seed, caller, n), Body: []byte("letter"),
				}
				first := r.rig.caller.Plain(ctx, r.rig.entries[(caller+n)%3], call)
				ok := first.Err == nil && first.Status == http.StatusOK
				if path == "/filings" && n%2 == 0 {
					again := r.rig.caller.Plain(ctx, r.rig.entries[(caller+n+1)%3], call)
					ok = ok && (again.Code == int(result.InProgress) || string(again.Body) == string(first.Body))
				}
				mu.Lock()
				if ok {
					total = append(total, first.Total)
				} else {
					failed++
					if failed <= toldFailures {
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

// safety tells what may never happen.
func (r *requestsRun) safety(ctx context.Context) error {
	var stats fakes.PlainStats
	if err := r.rig.cluster.Stats(ctx, r.rig.desk, &stats); err != nil {
		return err
	}
	doubled := 0
	for key, n := range stats.Runs {
		if n > 1 && len(key) > len("/filings") && key[:len("/filings")] == "/filings" {
			doubled += n - 1
		}
	}
	r.figure("lost", float64(r.total.lost), "count", "<=0")
	r.figure("doubled", float64(doubled), "count", "<=0")
	r.figure("crossed", float64(r.total.crossed), "count", "<=0")
	r.figure("short", float64(r.total.short), "count", "<=0")
	return nil
}
