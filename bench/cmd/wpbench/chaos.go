package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/bench/chaos"
	"github.com/waxwingpost/waxwingpost/bench/figure"
)

const (
	chaosDuration = 35 * time.Second
	chaosCallers  = 6
)

func init() {
	register(experiment{
		Name: "chaos",
		Help: "kills, freezes, planned stops and lost disks from a seeded schedule, under load; counts violated guarantees",
		Run:  runChaos,
	})
}

func runChaos(ctx context.Context, opts options) error {
	report, err := chaos.Run(ctx, chaos.Options{
		Seed: opts.Seed, Bin: opts.Bin, Duration: chaosDuration, Callers: chaosCallers, Out: opts.Log,
	})
	if report == nil {
		return err
	}
	for _, note := range report.Notes {
		fmt.Fprintln(opts.Log, note)
	}
	printCount := func(name string, value int, target string) {
		figure.Print(opts.Out, "chaos_"+name, float64(value), "count", target)
	}
	printCount("faults", report.Faults, "")
	printCount("chats", report.Chats, "")
	printCount("chats_unreachable", report.ChatsUnreachable, "")
	printCount("chats_failed_with_notice", report.ChatsFailed, "")
	printCount("chats_cut", report.ChatsCut, "")
	printCount("chats_wrong", report.ChatsWrong, "<=0")
	printCount("filings", report.Filings, "")
	printCount("filings_doubled", report.FilingsDuplicated, "<=0")
	printCount("filings_run_though_denied", report.FilingsRunAfterRefusal, "<=0")
	printCount("filings_lost", report.FilingsLost, "<=0")
	printCount("filings_crossed", report.FilingsMisrouted, "<=0")
	printCount("filings_unknown", report.FilingsUnknown, "")
	printCount("edits_accepted", report.EditsAccepted, "")
	printCount("edits_lost", report.EditsLost, "<=0")
	printCount("reverts", report.RevisionReverts, "<=0")
	printCount("bad_loads", report.BadLoads, "<=0")
	printCount("requests_while_loading", report.RequestsWhileLoading, "<=0")
	figure.Print(opts.Out, "chaos_settled", report.RecoveryTime.Seconds(), "s", "")
	if err == nil && !report.Passed() {
		err = errors.New("a guarantee was violated")
	}
	return err
}
