// Command wpdemo runs the whole system as processes on loopback: configuration
// files, a push of weights, requests, a rollout, a removal and a planned stop. It
// prints its progress and figures and exits with 1 when any step fails.
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

// demoTimeout aborts a demo that hangs.
const demoTimeout = 58 * time.Second

type cli struct {
	Bin      string `default:"bin" help:"Folder with the built binaries (make build)."`
	Examples string `default:"examples/cooperative" help:"Folder with the co-operative's configuration."`
	Keep     bool   `help:"Keep the folders and logs."`
}

func main() {
	var args cli
	kong.Parse(&args, kong.Name("wpdemo"), kong.Description("Runs the whole system on loopback. Exit status: 0 all steps passed, 1 a step failed."))
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
		d.printf("FAILED: %v", err)
		d.printf("logs in %s", dir)
		return 1
	}
	if !args.Keep {
		_ = os.RemoveAll(dir)
	}
	d.figure("demo_seconds", time.Since(d.start).Seconds(), "s", "<=60")
	d.printf("all steps passed")
	return 0
}

// printf prints one line of progress with the time since the start.
func (d *demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) figure(name string, value float64, unit, target string) {
	figure.Print(d.out, name, value, unit, target)
}
