// Package routing chooses the backend server of a request.
//
// A backend server's load is the entry's own count of requests in progress
// there plus an estimate of what other entries have there, taken from the
// lagged report. Near zones come first; requests with the same prefix go to
// the same server while its load stays near the mean; servers that fail or
// are slow are left out for a while and come back slowly.
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
	DefaultPlainSlots   = 64
	DefaultSubset       = 32
	DefaultLoadBound    = 1.25
	DefaultZoneSpill    = 0.85
	DefaultSlowFactor   = 3.0
	DefaultFailureShare = 0.3
	DefaultMinSamples   = 4
	DefaultEjectBase    = 2 * time.Second
	DefaultEjectMax     = 60 * time.Second
	DefaultEjectedShare = 0.5
	DefaultPaceAge      = 5 * time.Second
	DefaultHints        = 4096
)

// Config tunes the choice. Zero fields take the defaults.
type Config struct {
	// Entry, Zone and Region are the entry's own.
	Entry  string
	Zone   string
	Region string
	// PlainSlots is the concurrency of a server that reports none.
	PlainSlots int
	// Subset is how many servers an entry uses while they have room.
	Subset int
	// LoadBound is how far above the mean a server's load may be for a
	// request to follow its prefix there.
	LoadBound float64
	// ZoneSpill is the utilization above which a farther zone is used.
	ZoneSpill float64
	// SlowFactor is how many times the median pace makes a server slow.
	SlowFactor float64
	// FailureShare is the share of failures that ejects a server.
	FailureShare float64
	// MinSamples is how many answers are needed for either verdict.
	MinSamples int
	// EjectBase and EjectMax bound how long a server is left out.
	EjectBase time.Duration
	EjectMax  time.Duration
	// EjectedShare is the share of servers that may be left out at once.
	EjectedShare float64
	// PaceAge is how long a server's pace counts without a newer answer.
	PaceAge time.Duration
	// Hints bounds the cached prefixes that are remembered.
	Hints int
}

func (c Config) withDefaults() Config {
	defaults.IfNotPositive(&c.PlainSlots, DefaultPlainSlots)
	defaults.IfNotPositive(&c.Subset, DefaultSubset)
	defaults.IfNotPositive(&c.MinSamples, DefaultMinSamples)
	defaults.IfNotPositive(&c.Hints, DefaultHints)
	defaults.IfNotPositive(&c.LoadBound, DefaultLoadBound)
	defaults.IfNotPositive(&c.ZoneSpill, DefaultZoneSpill)
	defaults.IfNotPositive(&c.SlowFactor, DefaultSlowFactor)
	defaults.IfNotPositive(&c.FailureShare, DefaultFailureShare)
	defaults.IfNotPositive(&c.EjectedShare, DefaultEjectedShare)
	if c.EjectBase <= 0 {
		c.EjectBase = DefaultEjectBase
	}
	if c.PaceAge <= 0 {
		c.PaceAge = DefaultPaceAge
	}
	if c.EjectMax <= 0 {
		c.EjectMax = DefaultEjectMax
	}
	return c
}
