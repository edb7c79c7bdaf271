// Package deployment holds the values that operators of a whole deployment
// change at once: routes, services, accounts and limits under one version
// number, and the checks that such a configuration must pass.
//
// A Config is immutable once validated and may be shared between goroutines.
package deployment

import "time"

// Repeatability says what may be done with a request more than once.
type Repeatability uint8

// Kinds of requests by what may be repeated.
const (
	// Unrepeatable requests run at most once for each id.
	Unrepeatable Repeatability = iota
	// Repeatable requests may run any number of times.
	Repeatable
	// Stream requests are answered by events; Route.Resumable says whether
	// another server may go on after the last event.
	Stream
)

// Config is one version of everything that operators configure.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Accounts []Account
	Limits   Limits

	hosts map[string][]*Route
	keys  map[string]*Account
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Repeatability
	// Resumable is set on streams that another server may go on with.
	Resumable bool
	// Generation is set where requests carry token counts for a model engine.
	Generation bool
	// Public routes need no key.
	Public bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Aim is the time within which an answer, or the first event, is on time.
	Aim time.Duration
	// MaxPause is the longest pause between events that is on time; zero if
	// the route does not stream.
	MaxPause time.Duration
	// Priority ranks requests, 0 first.
	Priority int
	// MaxServers bounds the servers that one request is sent to.
	MaxServers int
	Shares     []Share
}

// Share is the weight of one service of a route.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of backend servers that are alike.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections of all callers to one server.
	MaxConns int
	// Engine is set where the servers are model engines.
	Engine *Engine
	// Origin is set on the service that hands out weights.
	Origin *Origin
}

// Engine tells how the model engines of a service spend their time.
type Engine struct {
	Slots int
	// Step is the time of one token step, without the additions below.
	Step time.Duration
	// PerSequence is added to a step for each request that writes.
	PerSequence time.Duration
	// PerContext is added to a step for each 1,000 tokens of context.
	PerContext time.Duration
	// ReadPerSecond is the number of prompt tokens that are read in a second.
	ReadPerSecond float64
	// Stride is the number of steps of a pass, and of tokens in an event.
	Stride int
	// Chunk bounds the prompt tokens that are read with one step.
	Chunk int
	// Memory is the number of tokens for which an engine has memory.
	Memory int
	Models []string
	Layers int
	// UsualPrompt and UsualAnswer are mean token counts.
	UsualPrompt int
	UsualAnswer int
	Pieces      int
	PieceBytes  int
}

// Origin is where weights come from.
type Origin struct {
	Address string
	Zone    string
	// BytesPerSecond is the rate of its link.
	BytesPerSecond int64
	MaxConns       int
}

// Account is a client account with its keys.
type Account struct {
	Name     string
	Keys     []string
	Priority int
	// HasPriority is set where Priority goes before that of the route.
	HasPriority bool
}

// Limits bounds what callers may send, and how slowly.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
