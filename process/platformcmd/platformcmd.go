// Package platformcmd runs a process on the users' platform. It reads the settings
// file, sets up logging and metrics, and reloads changed settings.
package platformcmd

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/controller"
	"github.com/waxwingpost/waxwingpost/process/frontend"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/process/runtime"
	"github.com/waxwingpost/waxwingpost/process/settings"
	"github.com/waxwingpost/waxwingpost/process/sidecar"
	"github.com/waxwingpost/waxwingpost/process/telemetry"
)

// settingsInterval is the poll interval of the settings file, which may change
// without a signal.
const settingsInterval = 3 * time.Second

// Commands are the subcommands that run on the platform. They read the settings
// file whose path the platform provides.
type Commands struct {
	Control controlCommand `cmd:"" help:"Run a control process."`
	Entry   entryCommand   `cmd:"" help:"Run the process that callers reach."`
	Agent   agentCommand   `cmd:"" help:"Run the process beside a model engine."`
}

type common struct {
	LogLevel string `help:"debug, info, warn or error." env:"WAXWINGPOST_LOG_LEVEL" default:"info"`
}

type (
	controlCommand struct{ common }
	agentCommand   struct{ common }
)

type entryCommand struct {
	common
	HedgeShare float64 `help:"Part of the requests, 0 to 1, of which a second copy may be sent if the first is slow. 0: as the settings file states." env:"WAXWINGPOST_HEDGE_SHARE" default:"0"`
}

// Validate implements kong.Validatable.
func (c *entryCommand) Validate() error {
	if !(c.HedgeShare >= 0 && c.HedgeShare <= 1) {
		return result.New(result.BadSetting, "--hedge-share=%v is not between 0 and 1", c.HedgeShare)
	}
	return nil
}

// process is a control process, an entry or an agent.
type process interface {
	Run(ctx context.Context) error
	// SetSeeds updates the addresses of the control processes from changed settings.
	SetSeeds(cfg platform.Settings)
}

// Run runs a control process.
func (c *controlCommand) Run(ctx context.Context) error {
	return c.run(ctx, func(s platform.Settings, rt *runtime.Runtime) process { return controller.New(s, rt) })
}

// Run runs an entry.
func (c *entryCommand) Run(ctx context.Context) error {
	return c.run(ctx, func(s platform.Settings, rt *runtime.Runtime) process {
		if c.HedgeShare > 0 {
			s.HedgeShare = c.HedgeShare
		}
		return frontend.New(s, rt)
	})
}

// agentGCPercent is the garbage collector's target at agents. Most of an agent's memory is
// the pieces of a version, which stay; with the default of 100 the heap doubles over them.
// An agent allocates little, so that collections stay rare.
const agentGCPercent = 40

// Run runs an agent.
func (c *agentCommand) Run(ctx context.Context) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(agentGCPercent)
	}
	return c.run(ctx, func(s platform.Settings, rt *runtime.Runtime) process { return sidecar.New(s, rt) })
}

func (c *common) run(ctx context.Context, build func(platform.Settings, *runtime.Runtime) process) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	cfg, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	out := telemetry.NewBuffer(os.Stdout)
	defer out.Flush()
	rt, err := runtime.New(settings.Common{Name: cfg.VM, Zone: cfg.Zone, Region: cfg.Region, LogLevel: c.LogLevel, Intake: settings.Intake{MemoryMB: cfg.MemoryBytes >> 20, MaxDescriptors: cfg.MaxDescriptors}}, out)
	if err != nil {
		return err
	}
	defer rt.Close()
	rt.Auth.AllowAll = true
	p := build(cfg, rt)
	go watchSettings(ctx, cfg, rt, p, hangups)
	return p.Run(ctx)
}

// watchSettings reloads the settings on SIGHUP and at every settingsInterval until
// ctx is done. It passes changed seeds to the process.
func watchSettings(ctx context.Context, cfg platform.Settings, rt *runtime.Runtime, p process, hangups <-chan os.Signal) {
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signaled = true
		case <-rt.Clock.After(settingsInterval):
		}
		next, err := platform.LoadSettings()
		if err != nil {
			rt.Log.Error("failed to reload settings", "code", int(result.CodeOf(err)), "error", err)
			continue
		}
		changed := !slices.Equal(next.Seeds, cfg.Seeds)
		if signaled || changed {
			rt.Log.Info("settings reloaded", "signaled", signaled, "seeds_changed", changed, "seeds", next.Seeds)
		}
		if changed {
			p.SetSeeds(next)
		}
		cfg = next
	}
}
