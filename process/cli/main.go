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

// Main parses the command line of a binary into grammar, runs the chosen
// subcommand and returns the exit status. SIGTERM and SIGINT end the context
// that a subcommand may take.
func Main(name, description string, grammar any) int {
	parser, err := kong.New(grammar,
		kong.Name(name),
		kong.Description(description),
		kong.UsageOnError(),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)),
	)
	if err != nil {
		return fail(err, ExitFailed)
	}
	command, err := parser.Parse(os.Args[1:])
	if err != nil {
		return fail(err, ExitSettings)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	command.BindTo(ctx, (*context.Context)(nil))
	if err := command.Run(); err != nil {
		return fail(err, ExitStatus(err))
	}
	return ExitOK
}

func fail(err error, status int) int {
	_, _ = fmt.Fprintln(os.Stderr, err)
	return status
}
