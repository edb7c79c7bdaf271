package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Main parses the command line into grammar, a kong command struct, runs the
// selected subcommand and returns the exit status. SIGTERM and SIGINT cancel the
// context that is passed to the subcommand.
func Main(name, description string, grammar any) int {
	parser, err := kong.New(grammar,
		kong.Name(name),
		kong.Description(description),
		kong.UsageOnError(),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)),
	)
	if err != nil {
		return printError(err, ExitFailed)
	}
	command, err := parser.Parse(os.Args[1:])
	if err != nil {
		return printError(err, ExitSettings)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	command.BindTo(ctx, (*context.Context)(nil))
	if err := command.Run(); err != nil {
		return printError(err, ExitStatus(err))
	}
	return ExitOK
}

// printError prints err to stderr and returns status.
func printError(err error, status int) int {
	_, _ = fmt.Fprintln(os.Stderr, err)
	return status
}
