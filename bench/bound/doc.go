// Package bound simulates the requests of a service of model engines in virtual
// time under several placement policies, with the published latency formulas of
// an engine, and computes an upper bound on the value that any policy can earn.
// It uses no network and no real clock; a minute of requests takes a fraction of
// a second.
//
// It does not model failures, changes of weights, the network, canceled requests,
// memory limits, or the CPU time of entries.
package bound

import "time"

// Engine holds the parameters of an engine's latency model.
type Engine struct {
	Slots         int
	Step          time.Duration // base time of one decode step
	PerSequence   time.Duration // added to a step for each request that decodes
	PerContext    time.Duration // added to a step for each 1,000 tokens of context
	ReadPerSecond float64       // prompt tokens that prefill processes per second
	Chunk         int           // maximum number of prompt tokens prefilled in one pass
	Stride        int           // decode steps in one pass, and tokens in one event
}

// Class describes one kind of request.
type Class struct {
	Name string
	// PerSecond is the mean arrival rate.
	PerSecond float64
	// Prompt and Output are the distributions of the token counts.
	Prompt, Output         Size
	FirstEventTarget       time.Duration
	ValueOnTime, ValueLate float64
}

// Size is a log-normal distribution of a count, with its mean, coefficient of
// variation and maximum.
type Size struct{ Mean, CV, Max float64 }

// Site is a service, its engines and the requests that it receives.
type Site struct {
	Name    string
	Engine  Engine
	Engines int
	Entries int
	Classes []Class
	// Timeout is how long a caller waits in total, retries included.
	Timeout time.Duration
}

// Request is one request from a caller.
type Request struct {
	At             time.Duration
	Class          *Class
	Prompt, Output int
	// Value is earned when the first event is on time, LateValue when it is late.
	Value, LateValue float64

	entry      int
	attempts   int
	firstEvent time.Duration
	done       bool
	remaining  int
}

// platformEngine is the engine that both sites run.
var platformEngine = Engine{
	Slots: 16, Step: 8870 * time.Microsecond, PerSequence: 38800 * time.Nanosecond, PerContext: 22700 * time.Nanosecond,
	ReadPerSecond: 19100, Chunk: 2048, Stride: 5,
}

// Sites are the users' two smaller deployments.
var Sites = []Site{
	{
		Name: "tnmc", Engine: platformEngine, Engines: 11, Entries: 4, Timeout: 6 * time.Second,
		Classes: classes(54.2, 41.3, 39),
	},
	{
		Name: "lpt", Engine: platformEngine, Engines: 16, Entries: 4, Timeout: 6 * time.Second,
		Classes: classes(78.9, 60.1, 56.7),
	},
}

// classes returns the three request classes with the given arrival rates. Both
// sites use the same classes.
func classes(long, middle, short float64) []Class {
	return []Class{
		{"long", long, Size{1330, 1, 3880}, Size{107, 0.89, 269}, 500 * time.Millisecond, 2.4, 0.6},
		{"middle", middle, Size{827, 1, 3330}, Size{107, 0.69, 269}, 400 * time.Millisecond, 2, 0.49},
		{"short", short, Size{647, 0.96, 2640}, Size{70, 0.9, 269}, 400 * time.Millisecond, 1.5, 0.37},
	}
}
