// Package admission decides whether and when a request may go to a backend
// server.
//
// Each service has a Controller. While servers have room a request goes at
// once. Otherwise it waits in its account's queue, provided that the expected
// wait leaves it time to be served; if not it is refused at once with the time
// to come back. Accounts are served by weighted fair queueing: an account is
// eligible while it is within its share, and among eligible accounts the
// request of the highest priority goes first. A request of a higher priority
// may run ahead of its account's share by a bounded burst. Within an account
// higher priorities go first, but every few turns the lowest one does, so that
// none starves.
//
// Lock order: Controller.mu before routing.Group.mu; Limits.mu is a leaf.
package admission

import "time"

// Defaults of Config.
const (
	DefaultWaitFactor    = 2.0
	DefaultHopeFactor    = 0.7
	DefaultSweepInterval = 10 * time.Millisecond
	DefaultPriorityBurst = 8
	DefaultLowTurn       = 8
	DefaultMaxQueue      = 20_000
	DefaultRetryMin      = 100 * time.Millisecond
	DefaultRetryMax      = 30 * time.Second
)

// Config tunes a controller. Zero fields take the defaults.
type Config struct {
	// WaitFactor is the safety factor on the expected wait on arrival.
	WaitFactor float64
	// HopeFactor is the factor on the expected wait of a request that waits
	// already: it is given up when even that little does not fit.
	HopeFactor float64
	// SweepInterval is how often waiting requests are looked through for
	// those that can't be served in time any more.
	SweepInterval time.Duration
	// PriorityBurst is by how many requests the highest priority may run
	// ahead of its account's share.
	PriorityBurst int
	// LowTurn is after how many turns an account's lowest priority goes first.
	LowTurn int
	// MaxQueue bounds the waiting requests of a service whatever the wait.
	MaxQueue int
	// RetryMin and RetryMax bound the time to come back that refusals tell.
	RetryMin time.Duration
	RetryMax time.Duration
}

func (c Config) withDefaults() Config {
	if c.WaitFactor <= 0 {
		c.WaitFactor = DefaultWaitFactor
	}
	if c.HopeFactor <= 0 {
		c.HopeFactor = DefaultHopeFactor
	}
	if c.SweepInterval <= 0 {
		c.SweepInterval = DefaultSweepInterval
	}
	if c.PriorityBurst <= 0 {
		c.PriorityBurst = DefaultPriorityBurst
	}
	if c.LowTurn <= 0 {
		c.LowTurn = DefaultLowTurn
	}
	if c.MaxQueue <= 0 {
		c.MaxQueue = DefaultMaxQueue
	}
	if c.RetryMin <= 0 {
		c.RetryMin = DefaultRetryMin
	}
	if c.RetryMax <= 0 {
		c.RetryMax = DefaultRetryMax
	}
	return c
}
