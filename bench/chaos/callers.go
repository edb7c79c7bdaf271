package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
	"github.com/waxwingpost/waxwingpost/bench/fakes"
)

const (
	account     = "members"
	callTimeout = 25 * time.Second
	maxResends  = 12
	resendPause = 300 * time.Millisecond
)

func (s *system) randomEntry(rnd *rand.Rand) string {
	entries := s.cluster.Entries()
	return entries[rnd.IntN(len(entries))].Address
}

// chatLoad sends chat completions and checks that each answer is complete and
// belongs to its request.
type chatLoad struct {
	sys *system

	mu          sync.Mutex
	total       int
	unreachable int
	cut         int
	failed      map[string]int
	wrong       []string
}

func newChatLoad(s *system) *chatLoad { return &chatLoad{sys: s, failed: make(map[string]int)} }

func (c *chatLoad) run(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		prompt := fmt.Sprintf("letter %x", rnd.Uint64())
		if rnd.IntN(2) == 0 {
			prompt = "കത്ത് " + prompt
		}
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		out := c.sys.caller.Chat(callCtx, c.sys.randomEntry(rnd), cluster.ChatCall{
			Account: account, Model: "draft", Prompt: prompt, Stream: rnd.IntN(2) == 0, MaxTokens: 10 + rnd.IntN(200),
		})
		cancel()
		c.record(prompt, out)
		sleep(ctx, time.Duration(rnd.IntN(50))*time.Millisecond)
	}
}

func (c *chatLoad) record(prompt string, out cluster.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	switch {
	case out.Status == 0:
		c.unreachable++
		return
	case out.Status != http.StatusOK || out.StreamError != "":
		c.failed[fmt.Sprintf("status %d code %d %s", out.Status, out.Code, out.StreamError)]++
		return
	case out.Err != nil:
		c.cut++
		return
	}
	answer, err := fakes.CheckAnswer(prompt, out.Text)
	switch {
	case err != nil:
		c.wrong = append(c.wrong, fmt.Sprintf("chat %q: %v: %q", prompt, err, out.Text))
	case out.Version != answer.Version:
		c.wrong = append(c.wrong, fmt.Sprintf("chat %q: response header names version %q, answer is from %q", prompt, out.Version, answer.Version))
	}
}

func (c *chatLoad) addTo(report *Report) {
	report.Chats, report.ChatsWrong = c.total, len(c.wrong)
	report.ChatsUnreachable, report.ChatsCut = c.unreachable, c.cut
	report.Notes = append(report.Notes, c.wrong...)
	for _, failure := range slices.Sorted(maps.Keys(c.failed)) {
		report.ChatsFailed += c.failed[failure]
		report.Notes = append(report.Notes, fmt.Sprintf("%d chats failed with an explicit error: %s", c.failed[failure], failure))
	}
}

// filingLoad sends filings, each with its own idempotency key. Half of them are
// resent until they have a final response.
type filingLoad struct {
	sys *system

	mu      sync.Mutex
	results []filingResult
}

// filingResult is what the caller of one filing learned from all responses.
type filingResult struct {
	key       string
	answered  bool
	notRun    bool
	unknown   bool
	misrouted bool
	responses []string
}

func newFilingLoad(s *system) *filingLoad { return &filingLoad{sys: s} }

func (f *filingLoad) run(ctx context.Context, caller int, rnd *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		result := filingResult{key: fmt.Sprintf("filing-%d-%d-%d", f.sys.opts.Seed, caller, n)}
		f.send(&result, rnd, rnd.IntN(2) == 0)
		f.mu.Lock()
		f.results = append(f.results, result)
		f.mu.Unlock()
		sleep(ctx, time.Duration(rnd.IntN(40))*time.Millisecond)
	}
}

// send sends one filing. With resend it repeats the call through random entries
// until the call is answered or its outcome is reported as unknown.
func (f *filingLoad) send(result *filingResult, rnd *rand.Rand, resend bool) {
	for try := range maxResends {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		out := f.sys.caller.Plain(ctx, f.sys.randomEntry(rnd), cluster.PlainCall{
			Account: account, Method: http.MethodPost, Path: "/file", Key: result.key, Body: []byte("body of " + result.key),
		})
		cancel()
		result.record(out)
		if !resend || result.answered || result.unknown {
			return
		}
		time.Sleep(time.Duration(1+rnd.IntN(try+1)) * resendPause)
	}
}

func (r *filingResult) record(out cluster.Outcome) {
	r.responses = append(r.responses, fmt.Sprintf("%d/%d/%s/%v", out.Status, out.Code, out.Ran, out.Err))
	// Only the last response counts: a resend may run after an earlier response
	// said "not run".
	r.notRun = out.Err == nil && out.Refused()
	if out.Err != nil {
		return
	}
	if out.Ran == "outcome-unknown" && out.Code == 3010 {
		r.unknown = true
	}
	if out.Status != http.StatusOK {
		return
	}
	r.answered = true
	var answer fakes.PlainAnswer
	if json.Unmarshal(out.Body, &answer) != nil || answer.Key != r.key {
		r.misrouted = true
	}
}

func (f *filingLoad) addTo(ctx context.Context, report *Report) error {
	var stats fakes.PlainStats
	if err := f.sys.cluster.Stats(ctx, f.sys.plainService, &stats); err != nil {
		return err
	}
	report.Filings = len(f.results)
	for _, result := range f.results {
		runs := stats.Runs[result.key]
		problem := ""
		if runs > 1 {
			report.FilingsDuplicated++
			problem = "doubled"
		}
		if result.notRun && runs > 0 {
			report.FilingsRunAfterRefusal++
			problem += " denied"
		}
		if result.answered && runs == 0 {
			report.FilingsLost++
			problem += " lost"
		}
		if result.misrouted {
			report.FilingsMisrouted++
			problem += " crossed"
		}
		if result.unknown {
			report.FilingsUnknown++
		}
		if problem != "" {
			report.Notes = append(report.Notes, fmt.Sprintf("%s: %s, %d runs, responses %s", result.key, problem, runs, strings.Join(result.responses, " ")))
		}
	}
	return nil
}
