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

func (s *site) anyEntry(rnd *rand.Rand) string {
	entries := s.cluster.Entries()
	return entries[rnd.IntN(len(entries))].Address
}

// chats asks for completions and checks that each answer is whole and its own.
type chats struct {
	site *site

	mu          sync.Mutex
	total       int
	unreachable int
	cut         int
	failed      map[string]int
	bad         []string
}

func newChats(s *site) *chats { return &chats{site: s, failed: make(map[string]int)} }

func (c *chats) run(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		prompt := fmt.Sprintf("letter %x", rnd.Uint64())
		if rnd.IntN(2) == 0 {
			prompt = "കത്ത് " + prompt
		}
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		out := c.site.caller.Chat(callCtx, c.site.anyEntry(rnd), cluster.ChatCall{
			Account: account, Model: "draft", Prompt: prompt, Stream: rnd.IntN(2) == 0, MaxTokens: 10 + rnd.IntN(200),
		})
		cancel()
		c.check(prompt, out)
		pause(ctx, time.Duration(rnd.IntN(50))*time.Millisecond)
	}
}

func (c *chats) check(prompt string, out cluster.Outcome) {
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
		c.bad = append(c.bad, fmt.Sprintf("chat %q: %v: %q", prompt, err, out.Text))
	case out.Version != answer.Version:
		c.bad = append(c.bad, fmt.Sprintf("chat %q: version %q was told, %q answered", prompt, out.Version, answer.Version))
	}
}

func (c *chats) judge(report *Report) {
	report.Chats, report.ChatsBad = c.total, len(c.bad)
	report.ChatsUnreachable, report.ChatsCut = c.unreachable, c.cut
	report.Notes = append(report.Notes, c.bad...)
	for _, what := range slices.Sorted(maps.Keys(c.failed)) {
		report.ChatsFailed += c.failed[what]
		report.Notes = append(report.Notes, fmt.Sprintf("%d chats failed with notice: %s", c.failed[what], what))
	}
}

// filings files letters, each under its own key; half of them are sent again
// until they are answered for good.
type filings struct {
	site *site

	mu   sync.Mutex
	told []told
}

// told is what the caller of one filing was told in the end.
type told struct {
	key      string
	answered bool
	notRun   bool
	unknown  bool
	crossed  bool
	trail    []string
}

func newFilings(s *site) *filings { return &filings{site: s} }

func (f *filings) run(ctx context.Context, caller int, rnd *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		t := told{key: fmt.Sprintf("filing-%d-%d-%d", f.site.opts.Seed, caller, n)}
		f.file(&t, rnd, rnd.IntN(2) == 0)
		f.mu.Lock()
		f.told = append(f.told, t)
		f.mu.Unlock()
		pause(ctx, time.Duration(rnd.IntN(40))*time.Millisecond)
	}
}

// file sends one filing. With resend it is sent again through any entry until
// it has an answer or its outcome is called unknown.
func (f *filings) file(t *told, rnd *rand.Rand, resend bool) {
	for try := range maxResends {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		out := f.site.caller.Plain(ctx, f.site.anyEntry(rnd), cluster.PlainCall{
			Account: account, Method: http.MethodPost, Path: "/file", Key: t.key, Body: []byte("body of " + t.key),
		})
		cancel()
		t.take(out)
		if !resend || t.answered || t.unknown {
			return
		}
		time.Sleep(time.Duration(1+rnd.IntN(try+1)) * resendPause)
	}
}

func (t *told) take(out cluster.Outcome) {
	t.trail = append(t.trail, fmt.Sprintf("%d/%d/%s/%v", out.Status, out.Code, out.Ran, out.Err))
	// Only the last word counts: a resend takes back an earlier "not run".
	t.notRun = out.Err == nil && out.Refused()
	if out.Err != nil {
		return
	}
	if out.Ran == "outcome-unknown" && out.Code == 3010 {
		t.unknown = true
	}
	if out.Status != http.StatusOK {
		return
	}
	t.answered = true
	var answer fakes.PlainAnswer
	if json.Unmarshal(out.Body, &answer) != nil || answer.Key != t.key {
		t.crossed = true
	}
}

func (f *filings) judge(ctx context.Context, report *Report) error {
	var stats fakes.PlainStats
	if err := f.site.cluster.Stats(ctx, f.site.desk, &stats); err != nil {
		return err
	}
	report.Filings = len(f.told)
	for _, t := range f.told {
		runs := stats.Runs[t.key]
		fault := ""
		if runs > 1 {
			report.Doubled++
			fault = "doubled"
		}
		if t.notRun && runs > 0 {
			report.Denied++
			fault += " denied"
		}
		if t.answered && runs == 0 {
			report.Lost++
			fault += " lost"
		}
		if t.crossed {
			report.Crossed++
			fault += " crossed"
		}
		if t.unknown {
			report.Unknown++
		}
		if fault != "" {
			report.Notes = append(report.Notes, fmt.Sprintf("%s: %s, %d runs, told %s", t.key, fault, runs, strings.Join(t.trail, " ")))
		}
	}
	return nil
}
