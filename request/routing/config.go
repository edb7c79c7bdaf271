// Package routing selects the backend server of a request.
//
// The load of a backend server is the entry's own count of requests in progress
// there plus an estimate of those of other entries, taken from the server's delayed
// reports. Near zones are preferred. Requests with the same prefix go to the same
// server while its load stays near the mean. Servers that fail or are slow are
// ejected for a while and then ramp up slowly.
//
// Lock order: Group.mu is a leaf; nothing blocks under it. It may be taken
// under admission.Controller.mu.
package routing

import (
	"time"

	"github.com/waxwingpost/waxwingpost/process/defaults"
)

// Defaults of Config.
const (
	DefaultPlainSlots         = 64
	DefaultSubset             = 32
	DefaultPrefixLoadBound    = 1.25
	DefaultMaxZoneUtilization = 0.85
	DefaultSlowPaceFactor     = 3.0
	DefaultEjectFailureRate   = 0.3
	DefaultMinSamples         = 4
	DefaultEjectBase          = 2 * time.Second
	DefaultEjectMax           = 60 * time.Second
	DefaultMaxEjectedShare    = 0.5
	DefaultPaceMaxAge         = 5 * time.Second
	DefaultMaxPrefixHints     = 4096
)

// Config holds the settings of a group. Zero fields take the defaults.
type Config struct {
	// Entry, Zone and Region are the name and location of the entry.
	Entry  string
	Zone   string
	Region string
	// PlainSlots is the concurrency of a server that reports none.
	PlainSlots int
	// Subset is the number of servers that the entry uses while they have free slots.
	Subset int
	// PrefixLoadBound is the load, in multiples of the mean, up to which a server is
	// selected by prefix.
	PrefixLoadBound float64
	// MaxZoneUtilization is the utilization of the servers above which a farther zone
	// is used.
	MaxZoneUtilization float64
	// SlowPaceFactor is the multiple of the median pace above which a server is
	// ejected as slow. The pace is the response time per byte.
	SlowPaceFactor float64
	// EjectFailureRate is the failure rate at which a server is ejected.
	EjectFailureRate float64
	// MinSamples is the number of responses needed before a server is ejected by its
	// pace or failure rate.
	MinSamples int
	// EjectBase and EjectMax bound the time for which a server is ejected.
	EjectBase time.Duration
	EjectMax  time.Duration
	// MaxEjectedShare is the fraction of servers that may be ejected at once.
	MaxEjectedShare float64
	// PaceMaxAge is how long a server's pace is valid without a newer response.
	PaceMaxAge time.Duration
	// MaxPrefixHints bounds the number of prefixes for which the caching servers are
	// remembered.
	MaxPrefixHints int
}

func (c Config) withDefaults() Config {
	defaults.IfNotPositive(&c.PlainSlots, DefaultPlainSlots)
	defaults.IfNotPositive(&c.Subset, DefaultSubset)
	defaults.IfNotPositive(&c.MinSamples, DefaultMinSamples)
	defaults.IfNotPositive(&c.MaxPrefixHints, DefaultMaxPrefixHints)
	defaults.IfNotPositive(&c.PrefixLoadBound, DefaultPrefixLoadBound)
	defaults.IfNotPositive(&c.MaxZoneUtilization, DefaultMaxZoneUtilization)
	defaults.IfNotPositive(&c.SlowPaceFactor, DefaultSlowPaceFactor)
	defaults.IfNotPositive(&c.EjectFailureRate, DefaultEjectFailureRate)
	defaults.IfNotPositive(&c.MaxEjectedShare, DefaultMaxEjectedShare)
	if c.EjectBase <= 0 {
		c.EjectBase = DefaultEjectBase
	}
	if c.PaceMaxAge <= 0 {
		c.PaceMaxAge = DefaultPaceMaxAge
	}
	if c.EjectMax <= 0 {
		c.EjectMax = DefaultEjectMax
	}
	return c
}
