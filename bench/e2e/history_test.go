package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
	"github.com/waxwingpost/waxwingpost/bench/fakes"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// filing is the caller's history of one call that must not be repeated.
type filing struct {
	key      string
	outcomes []cluster.Outcome
	// gaveUp is set when the caller stopped resending after refusals only.
	gaveUp bool
}

// firstAnswer returns the first complete answer, or nil.
func (f *filing) firstAnswer() *cluster.Outcome {
	for i := range f.outcomes {
		if f.outcomes[i].Err == nil && f.outcomes[i].Status == http.StatusOK {
			return &f.outcomes[i]
		}
	}
	return nil
}

// onlyRefused reports whether every response said that the call was not run.
func (f *filing) onlyRefused() bool {
	for i := range f.outcomes {
		if f.outcomes[i].Err != nil || !f.outcomes[i].Refused() {
			return false
		}
	}
	return len(f.outcomes) > 0
}

// filingLoad is a set of callers that send filings until stopped. Each call is
// resent with its idempotency key through the next entry until it is answered or
// its outcome is reported as unknown.
type filingLoad struct {
	sys     *testSystem
	stopped atomic.Bool
	group   sync.WaitGroup

	mu      sync.Mutex
	filings []*filing
}

// startFilings starts n callers. The caller of every fourth filing gives up once
// it is told that the call was not run.
func (s *testSystem) startFilings(n int) *filingLoad {
	f := &filingLoad{sys: s}
	for i := range n {
		f.group.Go(func() {
			for k := 0; !f.stopped.Load() && s.ctx.Err() == nil; k++ {
				f.sendUntilAnswered(i, k)
			}
		})
	}
	return f
}

func (f *filingLoad) sendUntilAnswered(i, k int) {
	record := &filing{key: fmt.Sprintf("filing-%d-%d", i, k)}
	f.mu.Lock()
	f.filings = append(f.filings, record)
	f.mu.Unlock()
	entries := f.sys.Entries()
	mayGiveUp := (i+k)%4 == 0
	for try := 0; f.sys.ctx.Err() == nil; try++ {
		out := f.sys.sendFiling(entries[(i+k+try)%len(entries)], record.key)
		record.outcomes = append(record.outcomes, out)
		switch {
		case out.Err == nil && out.Status == http.StatusOK, out.Ran == "outcome-unknown":
			return
		case mayGiveUp && record.onlyRefused():
			record.gaveUp = true
			return
		}
		sleep(f.sys.ctx, 20*time.Millisecond)
	}
}

// sendFiling sends one call that must not be repeated. Its body is derived from
// its key, so that a resend is the same call.
func (s *testSystem) sendFiling(entry *cluster.Process, key string) cluster.Outcome {
	ctx, cancel := context.WithTimeout(s.ctx, 15*time.Second)
	defer cancel()
	return s.caller.Plain(ctx, entry.Address, cluster.PlainCall{
		Account: "stewards", Method: http.MethodPost, Path: "/v1/filings", Key: key, Body: []byte(`{"for":"` + key + `"}`),
	})
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// stop waits for the callers and checks their histories against the run counts of
// the plain service.
func (f *filingLoad) stop() {
	s := f.sys
	s.t.Helper()
	f.stopped.Store(true)
	f.group.Wait()
	s.must(s.ctx.Err())
	var stats fakes.PlainStats
	s.must(s.Stats(s.ctx, s.plainService, &stats))
	answered, unknown, gaveUp, resends := 0, 0, 0, 0
	for _, r := range f.filings {
		runs := stats.Runs[r.key]
		resends += len(r.outcomes) - 1
		switch {
		case runs > 1:
			s.t.Errorf("%s ran %d times: %s", r.key, runs, formatOutcomes(r))
		case r.gaveUp:
			gaveUp++
			if runs != 0 {
				s.t.Errorf("%s was reported as not run every time, but ran: %s", r.key, formatOutcomes(r))
			}
		case r.firstAnswer() != nil:
			answered++
			if runs != 1 {
				s.t.Errorf("%s was answered, but ran %d times: %s", r.key, runs, formatOutcomes(r))
			}
		default:
			unknown++
		}
	}
	s.t.Logf("%d filings: %d answered, %d with an unknown outcome, %d gave up; %d resends", len(f.filings), answered, unknown, gaveUp, resends)
	if answered == 0 {
		s.t.Error("no filing was answered, so the run checks nothing")
	}
	f.checkReplays(min(len(f.filings), 30))
}

// checkReplays resends the last n calls through every entry. An answered call must
// get the same answer. An entry that is temporarily cut off from the quorum may ask
// the caller to retry later.
func (f *filingLoad) checkReplays(n int) {
	s := f.sys
	for _, r := range f.filings[len(f.filings)-n:] {
		first := r.firstAnswer()
		if first == nil {
			continue
		}
		for _, entry := range s.Entries() {
			out := s.sendFiling(entry, r.key)
			for out.Code == int(result.CutOff) && out.RetryAfter > 0 && s.ctx.Err() == nil {
				sleep(s.ctx, time.Duration(out.RetryAfter)*time.Second)
				out = s.sendFiling(entry, r.key)
			}
			if out.Err != nil || string(out.Body) != string(first.Body) {
				s.t.Errorf("%s resent through %s: status %d code %d %v: %q instead of %q", r.key, entry.Name, out.Status, out.Code, out.Err, out.Body, first.Body)
			}
		}
	}
	var stats fakes.PlainStats
	s.must(s.Stats(s.ctx, s.plainService, &stats))
	for key, runs := range stats.Runs {
		if runs > 1 && key[:5] != "body-" {
			s.t.Errorf("%s ran %d times", key, runs)
		}
	}
}

func formatOutcomes(r *filing) string {
	text := ""
	for _, out := range r.outcomes {
		text += fmt.Sprintf("[status %d code %d ran %q err %v] ", out.Status, out.Code, out.Ran, out.Err)
	}
	return text
}

// chatLoad is a set of callers that send chat completions until stopped and check
// each answer.
type chatLoad struct {
	sys     *testSystem
	stopped atomic.Bool
	group   sync.WaitGroup
	// pick chooses the entry for request n of caller i.
	pick func(i, n int) *cluster.Process

	complete, refused, failed, disconnected atomic.Int64

	mu       sync.Mutex
	problems []string
	versions map[string]int
}

// startChats starts n callers that request answers of the given number of tokens.
func (s *testSystem) startChats(n, tokens int, pick func(i, n int) *cluster.Process) *chatLoad {
	entries := s.Entries()
	if pick == nil {
		pick = func(i, n int) *cluster.Process { return entries[(i+n)%len(entries)] }
	}
	c := &chatLoad{sys: s, pick: pick, versions: make(map[string]int)}
	for i := range n {
		c.group.Go(func() {
			for k := 0; !c.stopped.Load() && s.ctx.Err() == nil; k++ {
				c.send(i, k, tokens)
			}
		})
	}
	return c
}

func (c *chatLoad) send(i, k, tokens int) {
	entry := c.pick(i, k)
	if entry == nil {
		sleep(c.sys.ctx, 20*time.Millisecond)
		return
	}
	prompt := fmt.Sprintf("letter %d of caller %d", k, i)
	ctx, cancel := context.WithTimeout(c.sys.ctx, 30*time.Second)
	defer cancel()
	out := c.sys.caller.Chat(ctx, entry.Address, cluster.ChatCall{
		Account: "stewards", Model: "drafting", Prompt: prompt, Stream: k%3 != 0, MaxTokens: tokens, Deadline: 20 * time.Second,
	})
	c.record(prompt, out)
	if out.Err != nil || out.Status != http.StatusOK {
		sleep(c.sys.ctx, 20*time.Millisecond)
	}
}

// record classifies an outcome. A request may be answered completely, refused,
// ended by an explicit error or cut off with its connection; anything else is a
// problem.
func (c *chatLoad) record(prompt string, out cluster.Outcome) {
	switch {
	case out.Truncated:
		c.addProblem("%q was truncated without an error: %q", prompt, out.Text)
	case out.Err != nil:
		c.disconnected.Add(1)
	case out.StreamError != "":
		c.failed.Add(1)
	case out.Status != http.StatusOK:
		c.refused.Add(1)
		if out.Code == 0 {
			c.addProblem("%q: status %d without a result code: %s", prompt, out.Status, out.Body)
		}
	default:
		answer, err := fakes.CheckAnswer(prompt, out.Text)
		if err != nil {
			c.addProblem("%q: %v: %q", prompt, err, out.Text)
			return
		}
		if answer.Version != out.Version {
			c.addProblem("%q was answered by version %s, response header names %s", prompt, answer.Version, out.Version)
		}
		c.complete.Add(1)
		c.mu.Lock()
		c.versions[answer.Version]++
		c.mu.Unlock()
	}
}

func (c *chatLoad) addProblem(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// stop waits for the callers and fails the test for every problem.
func (c *chatLoad) stop() {
	c.sys.t.Helper()
	c.stopped.Store(true)
	c.group.Wait()
	for _, p := range c.problems {
		c.sys.t.Error(p)
	}
	c.sys.t.Logf("%d complete answers by version %v, %d refused, %d ended by an error, %d disconnected",
		c.complete.Load(), c.versions, c.refused.Load(), c.failed.Load(), c.disconnected.Load())
	if c.complete.Load() == 0 {
		c.sys.t.Error("no request was answered, so the run checks nothing")
	}
}
