package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
	"github.com/waxwingpost/waxwingpost/bench/fakes"
	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/connection/wire"
)

// addressPicker chooses the address that a request is sent to.
type addressPicker interface {
	// pick returns the address and a function to call when the request ends.
	pick() (address string, done func())
}

// roundRobin picks the addresses in turn, like the platform's load balancer.
type roundRobin struct {
	addresses []string
	next      atomic.Uint64
}

func (r *roundRobin) pick() (string, func()) {
	n := r.next.Add(1)
	return r.addresses[n%uint64(len(r.addresses))], func() {}
}

// leastOpen picks the engine with the fewest open requests. It is an ideal
// baseline, because no real client knows the open requests of all others.
type leastOpen struct {
	mu      sync.Mutex
	engines []string
	open    []int
	next    int
}

func newLeastOpen(engines []string) *leastOpen {
	return &leastOpen{engines: engines, open: make([]int, len(engines))}
}

func (l *leastOpen) pick() (string, func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	best := l.next % len(l.engines)
	for i := range l.engines {
		if j := (l.next + i) % len(l.engines); l.open[j] < l.open[best] {
			best = j
		}
	}
	l.open[best]++
	return l.engines[best], func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.open[best]--
	}
}

// leastReported picks the engine with the least load in its last report. It polls
// the reports as a load balancer would.
type leastReported struct {
	mu      sync.Mutex
	engines []string
	load    []int
	next    int
}

const reportPollInterval = 500 * time.Millisecond

// poll updates the loads from the reports until ctx is done.
func (l *leastReported) poll(ctx context.Context) {
	ticker := time.NewTicker(reportPollInterval)
	defer ticker.Stop()
	for {
		for i, address := range l.engines {
			n, err := reportedLoad(ctx, address)
			if err != nil {
				continue
			}
			l.mu.Lock()
			l.load[i] = n
			l.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func reportedLoad(ctx context.Context, address string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+wire.PathEngineReport, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var report engine.Report
	err = json.NewDecoder(resp.Body).Decode(&report)
	return report.Running + report.Waiting, err
}

func (l *leastReported) pick() (string, func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	best := l.next % len(l.engines)
	for i := range l.engines {
		if j := (l.next + i) % len(l.engines); l.load[j] < l.load[best] {
			best = j
		}
	}
	return l.engines[best], func() {}
}

// traffic is an open-loop load: requests arrive at random times, independent of
// the completion of earlier ones.
type traffic struct {
	account   string
	model     string
	perSecond float64
	deadline  time.Duration
	stream    bool
	// prefixCount is the number of different system prompts; zero means one fixed
	// prompt.
	prefixCount int
	seed        uint64
}

// results collects the outcomes of requests. mu guards it while requests run.
type results struct {
	mu        sync.Mutex
	offered   int
	good      int
	late      int
	refused   int
	lost      int
	misrouted int
	truncated int
	failed    int
	firstByte []time.Duration
	total     []time.Duration
	refusal   []time.Duration
	codes     map[int]int
	// start is when the traffic began; goodAt holds when each good answer ended,
	// counted from start.
	start  time.Time
	goodAt []time.Duration
}

// goodBetween returns the number of good answers that ended between two times of
// the run.
func (r *results) goodBetween(from, to time.Duration) int {
	n := 0
	for _, at := range r.goodAt {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// record classifies an outcome by what the caller can observe.
func (r *results) record(out cluster.Outcome, prompt string, deadline time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offered++
	switch {
	case out.Err == nil && out.Status == http.StatusOK && out.StreamError == "":
		r.recordAnswer(out, prompt, deadline)
	case out.Err == nil && out.Refused():
		r.refused++
		if r.codes == nil {
			r.codes = make(map[int]int)
		}
		r.codes[out.Code]++
		r.refusal = append(r.refusal, out.Total)
	case out.Err == nil:
		// An explicit error, as a status or at the end of a stream.
		r.failed++
	default:
		r.lost++
	}
}

func (r *results) recordAnswer(out cluster.Outcome, prompt string, deadline time.Duration) {
	_, err := fakes.CheckAnswer(prompt, out.Text)
	switch {
	case err == nil && (deadline == 0 || out.Total <= deadline):
		r.good++
		r.goodAt = append(r.goodAt, time.Since(r.start))
	case err == nil:
		r.late++
	case errors.Is(err, fakes.ErrTruncated):
		r.truncated++
	default:
		r.misrouted++
	}
	if err == nil {
		r.total = append(r.total, out.Total)
		r.firstByte = append(r.firstByte, out.FirstByte)
	}
}

func percentile(list []time.Duration, quantile float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(float64(len(sorted))*quantile))]
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }

// run offers the traffic for the given duration and waits for all requests to end.
func (t traffic) run(ctx context.Context, caller *cluster.Caller, picker addressPicker, duration time.Duration) *results {
	res := &results{start: time.Now()}
	rnd := rand.New(rand.NewPCG(t.seed, 11))
	deadline := time.Now().Add(duration)
	next := time.Now()
	var group sync.WaitGroup
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rnd.ExpFloat64() * float64(time.Second) / t.perSecond))
		if next.After(deadline) {
			break
		}
		time.Sleep(time.Until(next))
		call := t.call(n, rnd)
		group.Go(func() {
			address, done := picker.pick()
			defer done()
			ctx, cancel := context.WithTimeout(ctx, t.clientTimeout())
			defer cancel()
			res.record(caller.Chat(ctx, address, call), call.Prompt, t.deadline)
		})
	}
	group.Wait()
	return res
}

// clientTimeout returns how long the client waits for a response.
func (t traffic) clientTimeout() time.Duration {
	if t.deadline > 0 {
		return t.deadline + 2*time.Second
	}
	return 30 * time.Second
}

func (t traffic) call(n int, rnd *rand.Rand) cluster.ChatCall {
	system := "write a letter"
	if t.prefixCount > 0 {
		system = fmt.Sprintf("case law %d", rnd.IntN(t.prefixCount))
	}
	return cluster.ChatCall{
		Account: t.account, Model: t.model, System: system, Prompt: fmt.Sprintf("%s letter %d of seed %d", t.account, n, t.seed),
		Stream: t.stream, MaxTokens: rigTokens, Deadline: t.deadline,
	}
}
