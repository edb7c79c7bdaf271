package transfer

import (
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/defaults"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

// Config holds the settings of a Manager. Zero values select the defaults.
type Config struct {
	// Self is this agent. Its Address and Version are not used.
	Self wire.Peer
	// Planner holds the limits and timeouts of the planner.
	Planner planner.Settings
	// UploadSlots limits the concurrent uploads to the agent's own region,
	// FarSlots those to other regions.
	UploadSlots int
	FarSlots    int
	// QueueWait is how long a request waits for an upload slot before it is
	// answered with status 503.
	QueueWait time.Duration
	// StallTimeout is the time without progress after which a read or write
	// fails.
	StallTimeout time.Duration
	// HaveHold is how long a poll for held chunks is held open.
	HaveHold time.Duration
	// HaveInterval is the minimum pause between two polls of one peer.
	HaveInterval time.Duration
	// ViewInterval is the minimum time between two changes of a transfer's view.
	ViewInterval time.Duration
	// LiveHold is how long after the last live request transfers continue to
	// yield, since requests often follow each other quickly.
	LiveHold time.Duration
	// KeepVersions is the number of assembled versions that stay in the spool in
	// addition to those in the view.
	KeepVersions int
}

func (c Config) withDefaults() Config {
	if c.Planner == (planner.Settings{}) {
		c.Planner = planner.DefaultSettings()
	}
	defaults.IfZero(&c.UploadSlots, 3)
	defaults.IfZero(&c.FarSlots, 32)
	defaults.IfZero(&c.QueueWait, 2*time.Second)
	defaults.IfZero(&c.StallTimeout, 10*time.Second)
	defaults.IfZero(&c.HaveHold, 2*time.Second)
	defaults.IfZero(&c.HaveInterval, 100*time.Millisecond)
	defaults.IfZero(&c.ViewInterval, time.Second)
	defaults.IfZero(&c.LiveHold, 2*time.Second)
	defaults.IfZero(&c.KeepVersions, 1)
	return c
}
