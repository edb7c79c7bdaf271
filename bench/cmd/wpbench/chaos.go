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
		Help: "kills, freezes, planned stops and lost disks by seed, under load; counts broken promises",
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
	printCount("chats_wrong", report.ChatsBad, "<=0")
	printCount("filings", report.Filings, "")
	printCount("filings_doubled", report.Doubled, "<=0")
	printCount("filings_run_though_denied", report.Denied, "<=0")
	printCount("filings_lost", report.Lost, "<=0")
	printCount("filings_crossed", report.Crossed, "<=0")
	printCount("filings_unknown", report.Unknown, "")
	printCount("edits_accepted", report.Edits, "")
	printCount("edits_lost", report.EditsLost, "<=0")
	printCount("reverts", report.Reverts, "<=0")
	printCount("bad_loads", report.BadLoads, "<=0")
	printCount("requests_while_loading", report.WhileLoading, "<=0")
	figure.Print(opts.Out, "chaos_settled", report.Settled.Seconds(), "s", "")
	if err == nil && !report.Sound() {
		err = errors.New("a promise was broken")
	}
	return err
}
