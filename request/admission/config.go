// Package admission decides whether and when a request may go to a backend
// server.
//
// Each service has a Controller. While servers have free slots, a request is
// admitted at once. Otherwise it waits in its account's queue if the expected wait
// leaves enough time to serve it before its deadline; if not, it is refused at once
// with a retry delay. Accounts are served by weighted fair queueing: an account is
// eligible while it is within its share, and among eligible accounts the request of
// the highest priority goes first. A request of a higher priority may run ahead of
// its account's share by a bounded burst. Within an account higher priorities go
// first, but at a fixed interval the lowest one does, so that none starves.
//
// Lock order: Controller.mu before session.Table.mu and routing.Group.mu, which
// hasBackend and Request.TryClaim lock; Limits.mu is a leaf.
package admission

import "time"

// Defaults of Config.
const (
	DefaultWaitFactor    = 2.0
	DefaultRecheckFactor = 0.7
	DefaultSweepInterval = 10 * time.Millisecond
	DefaultPriorityBurst = 8
	DefaultLowestEvery   = 8
	DefaultMaxQueue      = 20_000
	DefaultRetryMin      = 100 * time.Millisecond
	DefaultRetryMax      = 30 * time.Second
)

// Config holds the settings of a controller. Zero fields take the defaults.
type Config struct {
	// WaitFactor is the safety factor on the expected wait of an arriving request.
	WaitFactor float64
	// RecheckFactor is the factor on the expected wait of a request that is already
	// waiting. The request is refused if even this shorter wait leaves too little time
	// to serve it before its deadline.
	RecheckFactor float64
	// SweepInterval is the interval of the check for waiting requests that can no
	// longer be served in time.
	SweepInterval time.Duration
	// PriorityBurst is the number of requests by which a higher priority may run
	// ahead of its account's share.
	PriorityBurst int
	// LowestEvery is the interval, in requests, at which an account's lowest priority
	// goes first.
	LowestEvery int
	// MaxQueue bounds the waiting requests of a service, regardless of the expected
	// wait.
	MaxQueue int
	// RetryMin and RetryMax bound the retry delay in refusals.
	RetryMin time.Duration
	RetryMax time.Duration
}

func (c Config) withDefaults() Config {
	if c.WaitFactor <= 0 {
		c.WaitFactor = DefaultWaitFactor
	}
	if c.RecheckFactor <= 0 {
		c.RecheckFactor = DefaultRecheckFactor
	}
	if c.SweepInterval <= 0 {
		c.SweepInterval = DefaultSweepInterval
	}
	if c.PriorityBurst <= 0 {
		c.PriorityBurst = DefaultPriorityBurst
	}
	if c.LowestEvery <= 0 {
		c.LowestEvery = DefaultLowestEvery
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
