// Package bound plays the requests of a service of model engines in virtual time
// by the published formulas of an engine, under several ways to place and refuse
// them, and computes what no way can exceed. It has no network and no real
// clock; a minute of requests takes a fraction of a second.
//
// It leaves out: failures, changes of weights, the network, callers that leave,
// limits of memory, and the processor time of entries.
package bound

import "time"

// Engine tells how an engine spends its time.
type Engine struct {
	Slots         int
	Step          time.Duration // of one token step
	PerSequence   time.Duration // added to a step for each request that writes
	PerContext    time.Duration // added to a step for each 1,000 tokens of context
	ReadPerSecond float64       // prompt tokens
	Chunk         int           // most prompt tokens read in a pass
	Stride        int           // steps of a pass that writes, and tokens of an event
}

// Class is a kind of request.
type Class struct {
	Name string
	// PerSecond is the mean number of new requests.
	PerSecond float64
	// Prompt and Output are token counts.
	Prompt, Output Size
	Aim            time.Duration
	Worth, Late    float64
}

// Size is a log-normal distribution of a count.
type Size struct{ Mean, Spread, Most float64 }

// Site is a service with its requests.
type Site struct {
	Name    string
	Engine  Engine
	Engines int
	Entries int
	Classes []Class
	// Timeout is the time that callers wait in all.
	Timeout time.Duration
}

// Request is one request of a caller.
type Request struct {
	At             time.Duration
	Class          *Class
	Prompt, Output int
	// Value is what it earns on time, LateValue later.
	Value, LateValue float64

	entry     int
	attempts  int
	first     time.Duration
	done      bool
	remaining int
}

// platformEngine is the engine of both sites of the users' letter 2.
var platformEngine = Engine{
	Slots: 16, Step: 8870 * time.Microsecond, PerSequence: 38800 * time.Nanosecond, PerContext: 22700 * time.Nanosecond,
	ReadPerSecond: 19100, Chunk: 2048, Stride: 5,
}

// Sites are the users' two smaller deployments, by their letter.
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

// classes returns the three kinds of generations, which both sites have alike.
func classes(long, middle, short float64) []Class {
	return []Class{
		{"long", long, Size{1330, 1, 3880}, Size{107, 0.89, 269}, 500 * time.Millisecond, 2.4, 0.6},
		{"middle", middle, Size{827, 1, 3330}, Size{107, 0.69, 269}, 400 * time.Millisecond, 2, 0.49},
		{"short", short, Size{647, 0.96, 2640}, Size{70, 0.9, 269}, 400 * time.Millisecond, 1.5, 0.37},
	}
}
