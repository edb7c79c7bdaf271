// Command wpdemo runs the whole system as processes on loopback: an operator's
// files, weights, requests, a rollout, a removal and a planned stop. It tells
// what happens, prints its figures and exits with 1 when anything is off.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/waxwingpost/waxwingpost/bench/figure"
)

// demoTimeout ends a demo that hangs.
const demoTimeout = 58 * time.Second

type cli struct {
	Bin      string `default:"bin" help:"Folder with the built binaries (make build)."`
	Examples string `default:"examples/cooperative" help:"Folder with the co-operative's configuration."`
	Keep     bool   `help:"Keep the folders and logs."`
}

func main() {
	var args cli
	kong.Parse(&args, kong.Name("wpdemo"), kong.Description("Runs the whole system on loopback. Exit status: 0 all went well, 1 something was off."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, args))
}

func run(ctx context.Context, args cli) int {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "wpdemo-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	d := &demo{args: args, dir: dir, out: os.Stdout, start: time.Now()}
	err = d.run(ctx)
	if err != nil {
		d.say("OFF: %v", err)
		d.say("logs are kept in %s", dir)
		return 1
	}
	if !args.Keep {
		_ = os.RemoveAll(dir)
	}
	d.figure("demo_seconds", time.Since(d.start).Seconds(), "s", "<=60")
	d.say("all went well")
	return 0
}

// say prints one line of progress.
func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) figure(name string, value float64, unit, target string) {
	figure.Print(d.out, name, value, unit, target)
}
