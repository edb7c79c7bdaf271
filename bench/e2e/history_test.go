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

// filing is all that one caller learned of one call that must not be repeated.
type filing struct {
	key   string
	sends []cluster.Outcome
	// gaveUp is set when the caller went away after its first refusal.
	gaveUp bool
}

// answered returns the first whole answer, or nil.
func (f *filing) answered() *cluster.Outcome {
	for i := range f.sends {
		if f.sends[i].Err == nil && f.sends[i].Status == http.StatusOK {
			return &f.sends[i]
		}
	}
	return nil
}

// onlyRefused reports whether the caller was told of every send that it was
// not run.
func (f *filing) onlyRefused() bool {
	for i := range f.sends {
		if f.sends[i].Err != nil || !f.sends[i].Refused() {
			return false
		}
	}
	return len(f.sends) > 0
}

// filer keeps callers filing until stopped. Each call is sent again under its
// key through the next entry until it is answered, or until the caller is told
// that the outcome is unknown.
type filer struct {
	site    *site
	stopped atomic.Bool
	group   sync.WaitGroup

	mu      sync.Mutex
	filings []*filing
}

// startFiling starts n callers; every fourth filing gives up once it is told
// that it was not run.
func (s *site) startFiling(n int) *filer {
	f := &filer{site: s}
	for i := range n {
		f.group.Go(func() {
			for k := 0; !f.stopped.Load() && s.ctx.Err() == nil; k++ {
				f.file(i, k)
			}
		})
	}
	return f
}

func (f *filer) file(i, k int) {
	record := &filing{key: fmt.Sprintf("filing-%d-%d", i, k)}
	f.mu.Lock()
	f.filings = append(f.filings, record)
	f.mu.Unlock()
	entries := f.site.Entries()
	mayGiveUp := (i+k)%4 == 0
	for try := 0; f.site.ctx.Err() == nil; try++ {
		out := f.site.file(entries[(i+k+try)%len(entries)], record.key)
		record.sends = append(record.sends, out)
		switch {
		case out.Err == nil && out.Status == http.StatusOK, out.Ran == "outcome-unknown":
			return
		case mayGiveUp && record.onlyRefused():
			record.gaveUp = true
			return
		}
		sleep(f.site.ctx, 20*time.Millisecond)
	}
}

// file sends one call that must not be repeated. Its body follows from its
// key, so that a resend is the same call.
func (s *site) file(entry *cluster.Process, key string) cluster.Outcome {
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

// stop waits for the callers and judges their histories by the plain
// service's own record.
func (f *filer) stop() {
	s := f.site
	s.t.Helper()
	f.stopped.Store(true)
	f.group.Wait()
	s.must(s.ctx.Err())
	var stats fakes.PlainStats
	s.must(s.Stats(s.ctx, s.desk, &stats))
	answered, unknown, gaveUp, resends := 0, 0, 0, 0
	for _, r := range f.filings {
		runs := stats.Runs[r.key]
		resends += len(r.sends) - 1
		switch {
		case runs > 1:
			s.t.Errorf("%s ran %d times: %s", r.key, runs, describe(r))
		case r.gaveUp:
			gaveUp++
			if runs != 0 {
				s.t.Errorf("%s was told only not-run, but ran: %s", r.key, describe(r))
			}
		case r.answered() != nil:
			answered++
			if runs != 1 {
				s.t.Errorf("%s was answered, but ran %d times: %s", r.key, runs, describe(r))
			}
		default:
			unknown++
		}
	}
	s.t.Logf("%d filings: %d answered, %d told that the outcome is unknown, %d gave up; %d resends", len(f.filings), answered, unknown, gaveUp, resends)
	if answered == 0 {
		s.t.Error("no filing was answered: the run proves nothing")
	}
	f.sendAgain(min(len(f.filings), 30))
}

// sendAgain sends recent calls once more through every entry: what was
// answered gets the same answer. An entry that is cut off from the quorum for
// the moment may tell the caller to come back.
func (f *filer) sendAgain(n int) {
	s := f.site
	for _, r := range f.filings[len(f.filings)-n:] {
		first := r.answered()
		if first == nil {
			continue
		}
		for _, entry := range s.Entries() {
			out := s.file(entry, r.key)
			for out.Code == int(result.CutOff) && out.RetryAfter > 0 && s.ctx.Err() == nil {
				sleep(s.ctx, time.Duration(out.RetryAfter)*time.Second)
				out = s.file(entry, r.key)
			}
			if out.Err != nil || string(out.Body) != string(first.Body) {
				s.t.Errorf("%s sent again through %s: status %d code %d %v: %q instead of %q", r.key, entry.Name, out.Status, out.Code, out.Err, out.Body, first.Body)
			}
		}
	}
	var stats fakes.PlainStats
	s.must(s.Stats(s.ctx, s.desk, &stats))
	for key, runs := range stats.Runs {
		if runs > 1 && key[:5] != "body-" {
			s.t.Errorf("%s ran %d times", key, runs)
		}
	}
}

func describe(r *filing) string {
	text := ""
	for _, out := range r.sends {
		text += fmt.Sprintf("[status %d code %d ran %q err %v] ", out.Status, out.Code, out.Ran, out.Err)
	}
	return text
}

// chats keeps callers asking for drafts and judges each answer on its own.
type chats struct {
	site    *site
	stopped atomic.Bool
	group   sync.WaitGroup
	// pick chooses the entry of a request.
	pick func(i, n int) *cluster.Process

	whole, refused, broken, cut atomic.Int64

	mu       sync.Mutex
	problems []string
	versions map[string]int
}

// startChats starts n callers whose answers have the given length.
func (s *site) startChats(n, tokens int, pick func(i, n int) *cluster.Process) *chats {
	entries := s.Entries()
	if pick == nil {
		pick = func(i, n int) *cluster.Process { return entries[(i+n)%len(entries)] }
	}
	c := &chats{site: s, pick: pick, versions: make(map[string]int)}
	for i := range n {
		c.group.Go(func() {
			for k := 0; !c.stopped.Load() && s.ctx.Err() == nil; k++ {
				c.ask(i, k, tokens)
			}
		})
	}
	return c
}

func (c *chats) ask(i, k, tokens int) {
	entry := c.pick(i, k)
	if entry == nil {
		sleep(c.site.ctx, 20*time.Millisecond)
		return
	}
	prompt := fmt.Sprintf("letter %d of caller %d", k, i)
	ctx, cancel := context.WithTimeout(c.site.ctx, 30*time.Second)
	defer cancel()
	out := c.site.caller.Chat(ctx, entry.Address, cluster.ChatCall{
		Account: "stewards", Model: "drafting", Prompt: prompt, Stream: k%3 != 0, MaxTokens: tokens, Deadline: 20 * time.Second,
	})
	c.judge(prompt, out)
	if out.Err != nil || out.Status != http.StatusOK {
		sleep(c.site.ctx, 20*time.Millisecond)
	}
}

// judge sorts an outcome. Whole, refused, ended by an explicit error and cut
// with the connection are what a caller may meet; anything else is a problem.
func (c *chats) judge(prompt string, out cluster.Outcome) {
	switch {
	case out.Truncated:
		c.problem("%q ended silently short: %q", prompt, out.Text)
	case out.Err != nil:
		c.cut.Add(1)
	case out.StreamError != "":
		c.broken.Add(1)
	case out.Status != http.StatusOK:
		c.refused.Add(1)
		if out.Code == 0 {
			c.problem("%q: status %d without a result code: %s", prompt, out.Status, out.Body)
		}
	default:
		answer, err := fakes.CheckAnswer(prompt, out.Text)
		if err != nil {
			c.problem("%q: %v: %q", prompt, err, out.Text)
			return
		}
		if answer.Version != out.Version {
			c.problem("%q was answered by %s, told was %s", prompt, answer.Version, out.Version)
		}
		c.whole.Add(1)
		c.mu.Lock()
		c.versions[answer.Version]++
		c.mu.Unlock()
	}
}

func (c *chats) problem(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// stop waits for the callers and fails the test for every problem.
func (c *chats) stop() {
	c.site.t.Helper()
	c.stopped.Store(true)
	c.group.Wait()
	for _, p := range c.problems {
		c.site.t.Error(p)
	}
	c.site.t.Logf("%d whole answers by version %v, %d refused, %d ended by an error, %d cut with the connection",
		c.whole.Load(), c.versions, c.refused.Load(), c.broken.Load(), c.cut.Load())
	if c.whole.Load() == 0 {
		c.site.t.Error("no request was answered: the run proves nothing")
	}
}
