package wire

import "github.com/waxwingpost/waxwingpost/process/directory"

// Follow asks a control process for everything it knows and for all news.
type Follow struct {
	// Relay asks also for what the control process heard from others: a
	// follower with links to all of them needs it from the first alone.
	Relay bool `cbor:"1,keyasint,omitempty"`
}

// EngineState is what an agent tells of the engine on its VM before the engine's
// next heartbeat does.
type EngineState struct {
	// Address is the engine's, as in its heartbeats.
	Address string `cbor:"1,keyasint"`
	// Loading is set while the engine takes nothing new because it loads weights.
	Loading bool `cbor:"2,keyasint,omitempty"`
	// Held lists the weights that it holds once it has loaded.
	Held []directory.Weights `cbor:"3,keyasint,omitempty"`
}

// Left tells that a server deregistered. Born is 0 where it was not told.
type Left struct {
	ID   string `cbor:"1,keyasint"`
	Born int64  `cbor:"2,keyasint,omitempty"`
}

// News tells what changed. Fields that are empty did not change.
type News struct {
	// Revision, ConfigVersion and Weights are what is desired; Revision is 0
	// where the news is not about that.
	Revision      uint64         `cbor:"1,keyasint,omitempty"`
	ConfigVersion uint64         `cbor:"2,keyasint,omitempty"`
	Weights       map[string]int `cbor:"3,keyasint,omitempty"`
	// Ages tells how long ago the latest versions of each model were named.
	// Versions are missing that the sender learned after a restart.
	Ages map[string][]VersionAge `cbor:"10,keyasint,omitempty"`
	// Servers have changed, Alive were heard without a change, Left are gone.
	Servers []directory.Server `cbor:"4,keyasint,omitempty"`
	Alive   []string           `cbor:"5,keyasint,omitempty"`
	Left    []Left             `cbor:"6,keyasint,omitempty"`
	// Engines tells what agents said of engines.
	Engines []EngineState `cbor:"11,keyasint,omitempty"`
	// Controls are the peer addresses of the control processes.
	Controls []string `cbor:"7,keyasint,omitempty"`
	// Demand is the sum of what all entries told, by service.
	Demand map[string]float64 `cbor:"8,keyasint,omitempty"`
	// Entries counts the entries that are linked.
	Entries int `cbor:"9,keyasint,omitempty"`
}

// VersionAge tells how many milliseconds ago a version was named.
type VersionAge struct {
	Version int   `cbor:"1,keyasint"`
	Age     int64 `cbor:"2,keyasint"`
}

// DocumentQuery asks for the configuration document of a version or later.
type DocumentQuery struct {
	Version uint64 `cbor:"1,keyasint"`
}

// Document is the configuration document, compressed with DEFLATE.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
}

// Demand tells how much of each service an entry's callers ask for, in
// server time a second.
type Demand struct {
	ByService map[string]float64 `cbor:"1,keyasint"`
}
