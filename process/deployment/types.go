// Package deployment defines the configuration of a deployment: routes, services,
// accounts and limits, which operators change together under one version number.
// It also validates that configuration.
//
// A Config is immutable once validated and may be shared between goroutines.
package deployment

import "time"

// Repeatability states whether a request may be executed more than once.
type Repeatability uint8

// Values of Repeatability.
const (
	// Unrepeatable requests are executed at most once per request ID.
	Unrepeatable Repeatability = iota
	// Repeatable requests may be executed any number of times.
	Repeatable
	// Stream requests are answered by a stream of events. Route.Resumable is set
	// if another server may continue after the last event.
	Stream
)

// Config is one version of the whole configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Accounts []Account
	Limits   Limits

	// hosts and keys are lookup tables that Validate creates.
	hosts map[string][]*Route
	keys  map[string]*Account
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Repeatability
	// Resumable is set on streams that another server can continue.
	Resumable bool
	// Generation is set if requests carry token counts for a model engine.
	Generation bool
	// Public routes don't require an API key.
	Public bool
	// Timeout is the maximum time that a caller waits for the answer.
	Timeout time.Duration
	// Aim is the latency target of the answer or, for streams, the first event.
	Aim time.Duration
	// MaxPause is the latency target between two events; zero if the route does
	// not stream.
	MaxPause time.Duration
	// Priority is the rank of requests; 0 is served first.
	Priority int
	// MaxServers limits the number of servers that one request is sent to.
	MaxServers int
	Shares     []Share
	// Regions lists the regions in which requests may be served; none means any.
	Regions []string
}

// Share is the weight of one service of a route.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns limits the connections of all callers to one server.
	MaxConns int
	// Engine is set if the servers are model engines.
	Engine *Engine
	// Origin is set on the service that serves weights.
	Origin *Origin
	// ColdStart is how long a server is cold after it started during traffic.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests per second that a cold server takes; 0 if it
	// is not limited.
	ColdPerSecond float64
}

// Engine describes the performance and memory of a service's model engines.
type Engine struct {
	Slots int
	// Step is the base duration of one token step, without the additions below.
	Step time.Duration
	// PerSequence is added to a step for each request that generates tokens.
	PerSequence time.Duration
	// PerContext is added to a step for each 1,000 tokens of context.
	PerContext time.Duration
	// ReadPerSecond is the prefill rate in prompt tokens per second.
	ReadPerSecond float64
	// Stride is the number of steps per pass and of tokens per event.
	Stride int
	// Chunk limits the prompt tokens that are prefilled in one step.
	Chunk int
	// Memory is the capacity of an engine's KV cache in tokens.
	Memory int
	Models []string
	Layers int
	// UsualPrompt and UsualAnswer are mean token counts.
	UsualPrompt int
	UsualAnswer int
	Pieces      int
	PieceBytes  int
}

// Origin is the server that weights are downloaded from.
type Origin struct {
	Address string
	Zone    string
	// BytesPerSecond is the bandwidth of its link.
	BytesPerSecond int64
	MaxConns       int
}

// Account is a client account with its API keys.
type Account struct {
	Name     string
	Keys     []string
	Priority int
	// HasPriority is set if Priority overrides the priority of the route.
	HasPriority bool
	// Regions lists the regions in which requests may be served; none means any. If the
	// route lists regions as well, a region must be in both lists.
	Regions []string
}

// Limits bounds the size of requests and the time that callers may take to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
