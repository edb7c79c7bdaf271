// Command waxwingpost runs the entry process and the commands for operators.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/waxwingpost/waxwingpost/process/cli"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/entry"
	"github.com/waxwingpost/waxwingpost/process/platformcmd"
	"github.com/waxwingpost/waxwingpost/process/settings"
)

// grammar defines the command line for package cli.
type grammar struct {
	Serve    serve                `cmd:"" help:"Run the entry process."`
	Platform platformcmd.Commands `cmd:"" help:"Run a process on the users' platform."`
	Check    check                `cmd:"" help:"Merge and validate a configuration folder and print what would be in force."`
	State    cli.State            `cmd:"" help:"Print the state of a running process."`
	Explain  cli.Explain          `cmd:"" help:"Print the record of a revision, version, order, file, call or request."`
	Where    cli.Placement        `cmd:"" name:"explain-placement" help:"Print where a request to an entry of a deployment would go now, and why, without sending it."`
	Codes    cli.Codes            `cmd:"" help:"Print the table of result codes."`
	Version  cli.Version          `cmd:"" help:"Print what was built."`
}

type serve struct {
	settings.Entry
}

// Run runs the entry until ctx ends.
func (s *serve) Run(ctx context.Context) error {
	e, err := entry.New(s.Entry, os.Stderr)
	if err != nil {
		return err
	}
	return e.Run(ctx)
}

type check struct {
	Folder string `arg:"" help:"The configuration folder."`
}

// Run prints the merged configuration, or every problem in it.
func (c *check) Run(out io.Writer) error {
	files, problems := config.Load(c.Folder)
	merged, mergeProblems := config.Merge(files)
	problems = append(problems, mergeProblems...)
	for _, p := range problems[:max(0, len(problems)-1)] {
		if _, err := fmt.Fprintln(os.Stderr, p); err != nil {
			return err
		}
	}
	if len(problems) > 0 {
		// The caller prints the last problem and derives the exit status from it.
		return problems[len(problems)-1]
	}
	return merged.Print(out)
}

func main() {
	os.Exit(cli.Main("waxwingpost", "Entry process of waxwingpost. Exit status: 0 done, 1 failed, 2 wrong settings, 3 configuration refused, 4 nothing recorded.", &grammar{}))
}
