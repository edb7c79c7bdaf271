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

// ways of choosing the address of a request.
type chooser interface {
	// choose returns the address and a function that is called at the end.
	choose() (address string, done func())
}

// balancer stands for the platform's balancer: entries in turn.
type balancer struct {
	addresses []string
	turn      atomic.Uint64
}

func (b *balancer) choose() (string, func()) {
	n := b.turn.Add(1)
	return b.addresses[n%uint64(len(b.addresses))], func() {}
}

// direct goes to the engine with the fewest requests of this client, which no
// real client could know: the ideal.
type direct struct {
	mu      sync.Mutex
	engines []string
	open    []int
	turn    int
}

func newDirect(engines []string) *direct {
	return &direct{engines: engines, open: make([]int, len(engines))}
}

func (d *direct) choose() (string, func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turn++
	best := d.turn % len(d.engines)
	for i := range d.engines {
		if at := (d.turn + i) % len(d.engines); d.open[at] < d.open[best] {
			best = at
		}
	}
	d.open[best]++
	return d.engines[best], func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.open[best]--
	}
}

// leastReported goes to the engine whose report, polled as a balancer would,
// tells the least load.
type leastReported struct {
	mu      sync.Mutex
	engines []string
	load    []int
	turn    int
}

const reportPoll = 500 * time.Millisecond

// poll keeps the reports up to date until ctx ends.
func (l *leastReported) poll(ctx context.Context) {
	ticker := time.NewTicker(reportPoll)
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

func (l *leastReported) choose() (string, func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn++
	best := l.turn % len(l.engines)
	for i := range l.engines {
		if at := (l.turn + i) % len(l.engines); l.load[at] < l.load[best] {
			best = at
		}
	}
	return l.engines[best], func() {}
}

// traffic is requests that arrive at random moments whatever becomes of those
// before.
type traffic struct {
	account   string
	model     string
	perSecond float64
	deadline  time.Duration
	stream    bool
	// prefixes is how many system prompts there are.
	prefixes int
	seed     uint64
}

// counts is what became of requests. Guarded by mu while requests run.
type counts struct {
	mu        sync.Mutex
	offered   int
	good      int
	late      int
	refused   int
	lost      int
	crossed   int
	short     int
	failed    int
	firstByte []time.Duration
	total     []time.Duration
	refusal   []time.Duration
	codes     map[int]int
	// start is when the traffic began, inTime when each good answer ended.
	start  time.Time
	inTime []time.Duration
}

// goodWithin counts the good answers that ended within a span of the run.
func (c *counts) goodWithin(from, to time.Duration) int {
	n := 0
	for _, at := range c.inTime {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// judge sorts an outcome in by what the caller itself can see.
func (c *counts) judge(out cluster.Outcome, prompt string, deadline time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offered++
	switch {
	case out.Err == nil && out.Status == http.StatusOK && out.StreamError == "":
		c.judgeAnswer(out, prompt, deadline)
	case out.Err == nil && out.Refused():
		c.refused++
		if c.codes == nil {
			c.codes = make(map[int]int)
		}
		c.codes[out.Code]++
		c.refusal = append(c.refusal, out.Total)
	case out.Err == nil:
		// An explicit error, in a status or at the end of a stream.
		c.failed++
	default:
		c.lost++
	}
}

func (c *counts) judgeAnswer(out cluster.Outcome, prompt string, deadline time.Duration) {
	_, err := fakes.CheckAnswer(prompt, out.Text)
	switch {
	case err == nil && (deadline == 0 || out.Total <= deadline):
		c.good++
		c.inTime = append(c.inTime, time.Since(c.start))
	case err == nil:
		c.late++
	case errors.Is(err, fakes.ErrShort):
		c.short++
	default:
		c.crossed++
	}
	if err == nil {
		c.total = append(c.total, out.Total)
		c.firstByte = append(c.firstByte, out.FirstByte)
	}
}

func percentile(list []time.Duration, share float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(float64(len(sorted))*share))]
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }

// run offers the traffic for a span and waits for every request's end.
func (t traffic) run(ctx context.Context, caller *cluster.Caller, to chooser, span time.Duration) *counts {
	c := &counts{start: time.Now()}
	rnd := rand.New(rand.NewPCG(t.seed, 11))
	end := time.Now().Add(span)
	next := time.Now()
	var group sync.WaitGroup
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rnd.ExpFloat64() * float64(time.Second) / t.perSecond))
		if next.After(end) {
			break
		}
		time.Sleep(time.Until(next))
		call := t.call(n, rnd)
		group.Go(func() {
			address, done := to.choose()
			defer done()
			ctx, cancel := context.WithTimeout(ctx, t.patience())
			defer cancel()
			c.judge(caller.Chat(ctx, address, call), call.Prompt, t.deadline)
		})
	}
	group.Wait()
	return c
}

// patience is how long the client itself waits.
func (t traffic) patience() time.Duration {
	if t.deadline > 0 {
		return t.deadline + 2*time.Second
	}
	return 30 * time.Second
}

func (t traffic) call(n int, rnd *rand.Rand) cluster.ChatCall {
	system := "write a letter"
	if t.prefixes > 0 {
		system = fmt.Sprintf("case law %d", rnd.IntN(t.prefixes))
	}
	return cluster.ChatCall{
		Account: t.account, Model: t.model, System: system, Prompt: fmt.Sprintf("%s letter %d of seed %d", t.account, n, t.seed),
		Stream: t.stream, MaxTokens: rigTokens, Deadline: t.deadline,
	}
}
