// Package planner decides which chunk an agent asks of whom. It does no I/O
// and reads no clock: the agent's transfer and the benchmark with virtual
// links drive the same tables. Times are durations since an epoch of the
// driver's choice.
//
// In each region a few agents, the fetchers, bring every chunk in once, from
// a source or from another region. All others take chunks from a bounded set
// of neighbors, rarest first, near zone first. A Table is used by one
// goroutine at a time; an Arrangement is immutable.
package planner

import "time"

// Settings bound a transfer. DefaultSettings holds the defaults.
type Settings struct {
	// Fetchers is the number of agents of a region that fetch into it.
	Fetchers int
	// RegionRings and ZoneRings each give an agent two neighbors, anywhere in
	// its region or in its zone.
	RegionRings int
	ZoneRings   int
	// InFlight bounds the requests to neighbors, PerNeighbor those to one.
	InFlight    int
	PerNeighbor int
	// SourceInFlight bounds a fetcher's requests to sources, FarInFlight those
	// to one other region.
	SourceInFlight int
	FarInFlight    int
	// Demotion is how long a sender that failed comes last; it doubles with
	// each further failure up to MaxDemotion.
	Demotion    time.Duration
	MaxDemotion time.Duration
	// BusyPause is how long a neighbor that was busy is left alone.
	BusyPause time.Duration
	// SuspectAfter is the silence after which a neighbor is passed over.
	SuspectAfter time.Duration
	// SettlePause is how long the fetchers of a region bring nothing in after
	// a view changed who they are: while orders spread, views change often,
	// and a fetcher doesn't see what one that ceased to be one holds.
	SettlePause time.Duration
	// StealPause is how long a fetcher without chunks of its own waits before
	// it takes over others'.
	StealPause time.Duration
	// StealAfter is the lack of progress after which a fetcher's chunks may be
	// taken over by any other fetcher of the region.
	StealAfter time.Duration
	// HomeTimeout is the lack of progress after which the next region takes
	// over a relayed chunk.
	HomeTimeout time.Duration
	// OrphanAfter is the lack of chunks after which the agents next in the
	// order fetch for themselves, as many at a time as there are fetchers.
	OrphanAfter time.Duration
	// HedgeAfter is the age of a request after which, with nothing else left
	// to ask, the chunk is also asked of another neighbor.
	HedgeAfter time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Fetchers:       4,
		RegionRings:    2,
		ZoneRings:      2,
		InFlight:       4,
		PerNeighbor:    1,
		SourceInFlight: 1,
		FarInFlight:    1,
		Demotion:       5 * time.Second,
		MaxDemotion:    time.Minute,
		BusyPause:      time.Second,
		SuspectAfter:   6 * time.Second,
		SettlePause:    time.Second,
		StealPause:     500 * time.Millisecond,
		StealAfter:     10 * time.Second,
		HomeTimeout:    20 * time.Second,
		OrphanAfter:    2 * time.Minute,
		HedgeAfter:     10 * time.Second,
	}
}
