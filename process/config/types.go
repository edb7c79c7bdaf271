// Package config defines the fleet's configuration: what operators write in
// the folder. It merges files in the byte order of their names, validates the
// whole and reports every problem with file, line, field and remedy.
//
// A *Config is immutable once accepted; a new revision swaps the whole value.
package config

import (
	"time"

	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Config is the merged configuration of the fleet.
type Config struct {
	// Zones names every availability zone and the region that it is in.
	Zones map[string]Zone `yaml:"zones"`
	// Links limits what transfers may take of the network.
	Links Links `yaml:"links"`
	// Control names the replicas of the control state.
	Control Control `yaml:"control"`
	// Sources are the places that weights first come from.
	Sources map[string]Source `yaml:"sources"`
	// Versions are the weights and adapters that services may name.
	Versions map[string]Version `yaml:"versions"`
	// Services are what callers can reach.
	Services map[string]Service `yaml:"services"`
	// Accounts are the client accounts.
	Accounts map[string]Account `yaml:"accounts"`
	// Priorities maps a priority name to its rank; a higher rank goes first.
	Priorities map[string]int `yaml:"priorities"`
	// Weights says what transfers aim for.
	Weights Weights `yaml:"weights"`
	// Requests holds limits for all requests.
	Requests Requests `yaml:"requests"`
}

// Zone is an availability zone.
type Zone struct {
	// Region is the region that the zone is in.
	Region string `yaml:"region"`
}

// Links holds the limits of the network.
type Links struct {
	// RegionPairBytesPerSecond is the capacity of each pair of regions, each
	// way, for all traffic. Zero means unlimited.
	RegionPairBytesPerSecond int64 `yaml:"region_pair_bytes_per_second"`
	// VMBytesPerSecond is the capacity of each VM's link. Zero means unlimited.
	VMBytesPerSecond int64 `yaml:"vm_bytes_per_second"`
	// LiveShare is the part of a link, 0 to 1, that transfers leave to live
	// requests while requests wait.
	LiveShare float64 `yaml:"live_share"`
}

// Control names the control set.
type Control struct {
	// Voters are the entry VMs, by name, that hold a voting replica: 1 to 7.
	Voters []string `yaml:"voters"`
}

// Kinds of weight sources.
const (
	SourceOrigin = "origin"
	SourceStore  = "store"
)

// Source is a place that weights are read from by HTTP range.
type Source struct {
	// Kind is "origin" or "store".
	Kind string `yaml:"kind"`
	// Address is the source's IP and port.
	Address string `yaml:"address"`
	// Zone is the availability zone that the source is in.
	Zone string `yaml:"zone"`
	// BytesPerSecond is the source's rate limit. Zero means unlimited.
	BytesPerSecond int64 `yaml:"bytes_per_second"`
}

// Version is a set of weights or an adapter.
type Version struct {
	// Model is the model that the weights belong to.
	Model string `yaml:"model"`
	// Base is set on an adapter: the version that it is loaded on top of.
	Base string `yaml:"base"`
	// Path is the path under which every source serves the version.
	Path string `yaml:"path"`
	// Digest is the digest of the manifest. Where it is empty the first
	// manifest that is read from a source is registered for good.
	Digest manifest.Digest `yaml:"digest"`
}

// Kinds of services.
const (
	ServiceEngine = "engine"
	ServicePlain  = "plain"
)

// Service is something that callers can reach.
type Service struct {
	// Kind is "engine" or "plain".
	Kind string `yaml:"kind"`
	// Version is the version that the service's engines serve.
	Version string `yaml:"version"`
	// Adapters are the adapters that its engines load as well.
	Adapters []string `yaml:"adapters"`
	// Fencing is "enforced" where engines refuse old fences, else "ignored".
	Fencing string `yaml:"fencing"`
	// MinServing is how many replicas a rollout keeps serving.
	MinServing int `yaml:"min_serving"`
	// Routes are the calls of the service. An engine serves chat completions
	// for its model without a route.
	Routes []Route `yaml:"routes"`
}

// Values of Service.Fencing.
const (
	FencingEnforced = "enforced"
	FencingIgnored  = "ignored"
)

// Route is a call that callers may make of a service.
type Route struct {
	// Method is the HTTP method, in capitals.
	Method string `yaml:"method"`
	// Path is the exact path, or a prefix when it ends in "/".
	Path string `yaml:"path"`
	// Repeatable says whether the call may run more than once.
	Repeatable bool `yaml:"repeatable"`
	// Priority is used where the request names none.
	Priority string `yaml:"priority"`
}

// Account is a client account.
type Account struct {
	// Share is the account's weight in fair queueing, 1 or more.
	Share int `yaml:"share"`
	// MaxConcurrent bounds the account's requests in progress on one entry.
	// Zero means unlimited.
	MaxConcurrent int `yaml:"max_concurrent"`
	// RequestsPerSecond bounds the account's rate on one entry. Zero means
	// unlimited.
	RequestsPerSecond float64 `yaml:"requests_per_second"`
}

// Values of Weights.Objective.
const (
	ObjectiveTime        = "time"
	ObjectiveOriginBytes = "origin-bytes"
)

// Weights says what transfers aim for.
type Weights struct {
	// Objective is "time" or "origin-bytes".
	Objective string `yaml:"objective"`
}

// Requests holds limits for all requests.
type Requests struct {
	// DefaultDeadline is used where a request names none.
	DefaultDeadline time.Duration `yaml:"default_deadline"`
	// KeyRetention is how long the outcome of a call that may not be
	// repeated is kept after it was recorded.
	KeyRetention time.Duration `yaml:"key_retention"`
	// RetryShare is the part of live traffic, 0 to 1, that retries may add.
	RetryShare float64 `yaml:"retry_share"`
}
