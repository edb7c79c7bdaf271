package transfer

import (
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/defaults"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

// Config holds the settings of a Manager. Zero values take the defaults.
type Config struct {
	// Self is this agent. Its Address and Version are not used.
	Self wire.Peer
	// Planner bounds what is in flight and sets the timeouts of takeover.
	Planner planner.Settings
	// UploadSlots bounds the chunks that are sent to the agent's own region at
	// once, FarSlots those to other regions.
	UploadSlots int
	FarSlots    int
	// QueueWait is how long a request waits for a slot before the answer 503.
	QueueWait time.Duration
	// StallTimeout ends a read that makes no progress.
	StallTimeout time.Duration
	// HaveHold is how long a question after news is held open.
	HaveHold time.Duration
	// HaveInterval is the least time between two questions to one peer.
	HaveInterval time.Duration
	// ViewInterval is the least time between two changes of a transfer's view.
	ViewInterval time.Duration
	// LiveHold is how long after the last live request transfers go on to
	// yield: requests come in quick succession.
	LiveHold time.Duration
	// KeepVersions is how many assembled versions besides those in the view
	// stay in the spool.
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
