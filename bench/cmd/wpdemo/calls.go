package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
	"github.com/waxwingpost/waxwingpost/bench/fakes"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	loadCallers  = 6
	callDeadline = 20 * time.Second
	malayalam    = "എന്റെ വേതനം തടഞ്ഞുവെച്ചിരിക്കുന്നു; ഒരു പരാതി കത്ത് എഴുതുക"
	english      = "Draft a grievance letter about wages withheld without notice"
)

// sendChat sends one streamed chat completion request and checks the answer.
func (d *demo) sendChat(ctx context.Context, entry *cluster.Process, account, model, prompt string) (cluster.Outcome, error) {
	out := d.caller.Chat(ctx, entry.Address, cluster.ChatCall{
		Account: account, Model: model, Prompt: prompt, Stream: true, MaxTokens: 24, Deadline: callDeadline,
	})
	return out, checkChat(out, prompt)
}

// checkChat returns an error unless out is the complete answer to the prompt, from
// the version that the response header names.
func checkChat(out cluster.Outcome, prompt string) error {
	switch {
	case out.Err != nil:
		return out.Err
	case out.StreamError != "":
		return errors.Newf("the stream ended with %s", out.StreamError)
	case out.Status != http.StatusOK:
		return errors.Newf("status %d code %d ran %q: %s", out.Status, out.Code, out.Ran, out.Body)
	}
	answer, err := fakes.CheckAnswer(prompt, out.Text)
	if err != nil {
		return errors.Wrapf(err, "answer %q", out.Text)
	}
	if answer.Version != out.Version {
		return errors.Newf("answer is from version %s, response header names %s", answer.Version, out.Version)
	}
	return nil
}

func (d *demo) runRequests(ctx context.Context) error {
	prompts := []string{malayalam, english, malayalam}
	for i, entry := range d.cluster.Entries() {
		out, err := d.sendChat(ctx, entry, "kochi-stewards", "drafting", prompts[i])
		if err != nil {
			return errors.Wrap(err, entry.Name)
		}
		d.printf("%s answered from %s by %s: %s", entry.Name, out.Version, out.Backend, out.Text)
		d.figure("first_byte_"+entry.Name, float64(out.FirstByte.Microseconds())/1000, "ms", "")
	}
	out, err := d.sendChat(ctx, d.cluster.Entry("entry-2"), "archive", "casebook", english)
	if err != nil {
		return err
	}
	d.printf("casebook answered from %s by %s", out.Version, out.Backend)
	return nil
}

// runFilings sends calls to a route that is not repeatable, resends each through
// another entry, and checks how often the plain service ran them.
func (d *demo) runFilings(ctx context.Context) error {
	const count = 5
	entries := d.cluster.Entries()
	for i := range count {
		call := cluster.PlainCall{
			Account: "hearing-desk", Method: http.MethodPost, Path: "/v1/filings",
			Key: fmt.Sprintf("filing-%d", i), Body: fmt.Appendf(nil, `{"case":%d}`, i),
		}
		first := d.caller.Plain(ctx, entries[i%3].Address, call)
		resent := d.caller.Plain(ctx, entries[(i+1)%3].Address, call)
		if first.Err != nil || first.Status != http.StatusOK {
			return errors.Newf("filing %d: %v, status %d code %d: %s", i, first.Err, first.Status, first.Code, first.Body)
		}
		if string(first.Body) != string(resent.Body) || resent.Status != http.StatusOK {
			return errors.Newf("filing %d resent: %v, status %d: %s", i, resent.Err, resent.Status, resent.Body)
		}
	}
	var stats fakes.PlainStats
	if err := d.cluster.Stats(ctx, d.plainService, &stats); err != nil {
		return err
	}
	duplicates := 0
	for _, runs := range stats.Runs {
		duplicates += runs - 1
	}
	d.printf("%d filings, each sent through two entries: %d runs", count, stats.Calls)
	d.figure("filings_doubled", float64(duplicates), "count", "<=0")
	if stats.Calls != count {
		return errors.Newf("%d runs for %d filings", stats.Calls, count)
	}
	return nil
}

// load is a set of callers that send chat requests to all entries until stopped.
type load struct {
	sent     atomic.Int64
	failed   atomic.Int64
	versions sync.Map
	firstErr atomic.Value
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

// startLoad starts callers of the drafting service. A request that is refused with
// a retry time counts as failed too.
func (d *demo) startLoad(ctx context.Context) *load {
	loadCtx, cancel := context.WithCancel(ctx)
	l := &load{cancel: cancel}
	entries := d.cluster.Entries()
	accounts := []string{"kochi-stewards", "thrissur-stewards", "kozhikode-stewards"}
	for i := range loadCallers {
		l.group.Go(func() {
			for n := 0; loadCtx.Err() == nil; n++ {
				prompt := fmt.Sprintf("%s (%d, %d)", [2]string{malayalam, english}[n%2], i, n)
				out, err := d.sendChat(ctx, entries[(i+n)%len(entries)], accounts[i%3], "drafting", prompt)
				l.record(out, err)
			}
		})
	}
	return l
}

func (l *load) record(out cluster.Outcome, err error) {
	l.sent.Add(1)
	if err != nil {
		l.failed.Add(1)
		l.firstErr.CompareAndSwap(nil, err)
		return
	}
	l.versions.Store(out.Version, true)
}

// stop stops the callers and waits until every request in progress is answered.
func (l *load) stop() error {
	l.cancel()
	l.group.Wait()
	if l.failed.Load() > 0 {
		return errors.Newf("%d of %d requests failed, the first with: %v", l.failed.Load(), l.sent.Load(), l.firstErr.Load())
	}
	return nil
}

// runRollout rolls out the second version under load.
func (d *demo) runRollout(ctx context.Context) error {
	l := d.startLoad(ctx)
	start := time.Now()
	err := d.cluster.WriteFile("entry-2", localFile, d.localConfig("drafting-2"))
	d.printf("edited %s on entry-2: drafting-2 instead of drafting-1", localFile)
	if err == nil {
		err = d.cluster.AwaitServing(ctx, "drafting-2", d.drafting...)
	}
	elapsed := time.Since(start)
	if loadErr := l.stop(); err == nil {
		err = loadErr
	}
	d.printf("rolled out during %d requests, %d failed", l.sent.Load(), l.failed.Load())
	d.figure("rollout_seconds", elapsed.Seconds(), "s", "")
	d.figure("requests_in_rollout", float64(l.sent.Load()), "count", "")
	d.figure("requests_failed_in_rollout", float64(l.failed.Load()), "count", "<=0")
	if err != nil {
		return err
	}
	if err := d.reportOrigin(ctx, "origin_copies_both_pushes", 6*draftingBytes+2*casebookBytes); err != nil {
		return err
	}
	out, err := d.sendChat(ctx, d.cluster.Entry("entry-1"), "kochi-stewards", "drafting", malayalam)
	if err == nil && out.Version != "drafting-2" {
		err = errors.Newf("answer is from version %s after the rollout", out.Version)
	}
	return err
}

// removeAccount removes an account by deleting its file on an entry other than the
// one where it was added.
func (d *demo) removeAccount(ctx context.Context) error {
	if _, err := d.sendChat(ctx, d.cluster.Entry("entry-1"), "visitor", "drafting", english); err != nil {
		return errors.Wrap(err, "before the removal")
	}
	start := time.Now()
	if err := d.cluster.RemoveFile("entry-3", visitorFile); err != nil {
		return err
	}
	d.printf("removed %s on entry-3", visitorFile)
	for _, entry := range d.cluster.Entries() {
		err := cluster.Await(ctx, "the account is refused on "+entry.Name, func(ctx context.Context) error {
			out, err := d.sendChat(ctx, entry, "visitor", "drafting", english)
			if out.Code == int(result.UnknownAccount) && out.Refused() {
				return nil
			}
			return errors.Newf("status %d code %d ran %q: %v", out.Status, out.Code, out.Ran, err)
		})
		if err != nil {
			return err
		}
	}
	d.printf("the account is refused on all entries, and none of its requests ran")
	d.figure("removal_in_force", time.Since(start).Seconds(), "s", "<=13")
	return nil
}
