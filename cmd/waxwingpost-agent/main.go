// Command waxwingpost-agent runs the agent process on the VM of a backend server.
package main

import (
	"context"
	"os"

	"github.com/waxwingpost/waxwingpost/process/agent"
	"github.com/waxwingpost/waxwingpost/process/cli"
	"github.com/waxwingpost/waxwingpost/process/settings"
)

// grammar defines the command line for package cli.
type grammar struct {
	Run     run         `cmd:"" help:"Run the agent process."`
	State   cli.State   `cmd:"" help:"Print the state of a running process."`
	Version cli.Version `cmd:"" help:"Print what was built."`
}

type run struct {
	settings.Agent
}

// Run runs the agent until ctx ends.
func (r *run) Run(ctx context.Context) error {
	a, err := agent.New(r.Agent, os.Stderr)
	if err != nil {
		return err
	}
	return a.Run(ctx)
}

func main() {
	os.Exit(cli.Main("waxwingpost-agent", "Agent process of waxwingpost. Exit status: 0 done, 1 failed, 2 wrong settings.", &grammar{}))
}
