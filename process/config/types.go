// Package config defines the fleet configuration that operators write as YAML
// files in a folder. It merges the files in the byte order of their names,
// validates the result and reports every problem with file, line, field and
// remedy.
//
// A *Config is immutable once accepted; a new revision replaces it as a whole.
package config

import (
	"time"

	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Config is the merged configuration of the fleet.
type Config struct {
	// Zones lists every availability zone with its region.
	Zones map[string]Zone `yaml:"zones"`
	// Links holds network capacities and the share reserved for live requests.
	Links Links `yaml:"links"`
	// Control lists the replicas of the control state.
	Control Control `yaml:"control"`
	// Sources are the servers from which agents download weights.
	Sources map[string]Source `yaml:"sources"`
	// Versions are the weights and adapters that services can refer to.
	Versions map[string]Version `yaml:"versions"`
	// Services are the services that callers can send requests to.
	Services map[string]Service `yaml:"services"`
	// Accounts are the client accounts.
	Accounts map[string]Account `yaml:"accounts"`
	// Priorities maps a priority name to its rank; a higher rank is served first.
	Priorities map[string]int `yaml:"priorities"`
	// Weights configures the transfer of weights.
	Weights Weights `yaml:"weights"`
	// Requests holds settings that apply to all requests.
	Requests Requests `yaml:"requests"`
}

// Zone is an availability zone.
type Zone struct {
	// Region is the region of the zone.
	Region string `yaml:"region"`
	// Evacuated is set while the servers of the zone get no new requests.
	Evacuated bool `yaml:"evacuated"`
}

// Links holds the capacities of the network.
type Links struct {
	// RegionPairBytesPerSecond is the capacity between each pair of regions, per
	// direction and for all traffic. Zero means unlimited.
	RegionPairBytesPerSecond int64 `yaml:"region_pair_bytes_per_second"`
	// VMBytesPerSecond is the capacity of each VM's link. Zero means unlimited.
	VMBytesPerSecond int64 `yaml:"vm_bytes_per_second"`
	// LiveShare is the fraction of a link, 0 to 1, that transfers leave free for
	// live requests while requests are waiting.
	LiveShare float64 `yaml:"live_share"`
}

// Control lists the voters of the control state.
type Control struct {
	// Voters are the names of the entry VMs that run a voting replica: 1 to 7.
	Voters []string `yaml:"voters"`
}

// Values of Source.Kind.
const (
	SourceOrigin = "origin"
	SourceStore  = "store"
)

// Source is a server from which weights are read by HTTP range requests.
type Source struct {
	// Kind is "origin" or "store".
	Kind string `yaml:"kind"`
	// Address is the source's IP and port.
	Address string `yaml:"address"`
	// Zone is the availability zone of the source.
	Zone string `yaml:"zone"`
	// BytesPerSecond is the source's rate limit. Zero means unlimited.
	BytesPerSecond int64 `yaml:"bytes_per_second"`
}

// Version is a set of weights or an adapter.
type Version struct {
	// Model is the model that the weights belong to.
	Model string `yaml:"model"`
	// Base is the version that an adapter is loaded on top of; empty for weights.
	Base string `yaml:"base"`
	// Path is the URL path of the version on every source.
	Path string `yaml:"path"`
	// Digest is the digest of the manifest. If it is empty, the first manifest
	// that is read from a source is registered permanently.
	Digest manifest.Digest `yaml:"digest"`
}

// Values of Service.Kind.
const (
	ServiceEngine = "engine"
	ServicePlain  = "plain"
)

// Service is a group of model engines or plain backend servers that callers can
// send requests to.
type Service struct {
	// Kind is "engine" or "plain".
	Kind string `yaml:"kind"`
	// Version is the version that the service's engines load.
	Version string `yaml:"version"`
	// Adapters are the adapters that the engines load in addition.
	Adapters []string `yaml:"adapters"`
	// Fencing is "enforced" if the engines reject stale fences, else "ignored".
	Fencing string `yaml:"fencing"`
	// MinServing is the number of replicas that keep serving during a rollout.
	MinServing int `yaml:"min_serving"`
	// Routes are the calls that the service accepts. An engine serves chat
	// completions for its model without a route.
	Routes []Route `yaml:"routes"`
	// Regions lists the regions in which requests may be served; none means any.
	Regions []string `yaml:"regions"`
}

// Values of Service.Fencing.
const (
	FencingEnforced = "enforced"
	FencingIgnored  = "ignored"
)

// Route is a call that a service accepts.
type Route struct {
	// Method is the HTTP method in upper case.
	Method string `yaml:"method"`
	// Path is an exact path, or a prefix if it ends in "/".
	Path string `yaml:"path"`
	// Repeatable reports whether the call may be executed more than once.
	Repeatable bool `yaml:"repeatable"`
	// Priority applies to requests that specify none.
	Priority string `yaml:"priority"`
}

// Account is a client account.
type Account struct {
	// Share is the account's weight in fair queueing, 1 or more.
	Share int `yaml:"share"`
	// MaxConcurrent limits the account's requests in progress on one entry.
	// Zero means unlimited.
	MaxConcurrent int `yaml:"max_concurrent"`
	// RequestsPerSecond limits the account's request rate on one entry. Zero
	// means unlimited.
	RequestsPerSecond float64 `yaml:"requests_per_second"`
	// Regions lists the regions in which the account's requests may be served; none means
	// any. If the service lists regions as well, a region must be in both lists.
	Regions []string `yaml:"regions"`
}

// Values of Weights.Objective.
const (
	ObjectiveTime        = "time"
	ObjectiveOriginBytes = "origin-bytes"
)

// Weights configures the transfer of weights.
type Weights struct {
	// Objective is what the transfer planner minimizes: "time" or "origin-bytes".
	Objective string `yaml:"objective"`
}

// Requests holds settings that apply to all requests.
type Requests struct {
	// DefaultDeadline applies to requests that specify none.
	DefaultDeadline time.Duration `yaml:"default_deadline"`
	// KeyRetention is how long the outcome of a non-repeatable call is kept after
	// it was recorded.
	KeyRetention time.Duration `yaml:"key_retention"`
	// RetryShare is the fraction of live traffic, 0 to 1, that retries may add.
	RetryShare float64 `yaml:"retry_share"`
}
