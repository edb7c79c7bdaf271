// Package planner decides which chunk an agent requests from which agent or
// source. It does no I/O and reads no clock: both the agent's transfer and the
// benchmark with virtual links drive the same tables. Times are durations since
// an epoch that the driver chooses.
//
// In each region a few agents, the fetchers, ingest every chunk once, from a
// source or from another region. All other agents get chunks from a bounded set
// of neighbors, rarest chunk first, neighbors in the same zone preferred. "Far"
// means in another region, "self" the agent that owns a table.
//
// A Table must be used by one goroutine at a time; an Arrangement is immutable.
package planner

import "time"

// Settings holds the limits and timeouts of a transfer.
type Settings struct {
	// Fetchers is the number of fetchers in each region.
	Fetchers int
	// RegionRings and ZoneRings are the numbers of rings over a region and over
	// a zone. Each ring gives an agent two neighbors.
	RegionRings int
	ZoneRings   int
	// InFlight limits the concurrent requests to neighbors in the region,
	// PerNeighbor those to one neighbor.
	InFlight    int
	PerNeighbor int
	// SourceInFlight limits the concurrent requests to sources, FarInFlight a
	// fetcher's requests to one other region.
	SourceInFlight int
	FarInFlight    int
	// Demotion is how long a sender that failed is used only as a last resort.
	// It doubles with each consecutive failure, up to MaxDemotion.
	Demotion    time.Duration
	MaxDemotion time.Duration
	// BusyPause is how long a neighbor that answered busy is not asked again.
	BusyPause time.Duration
	// SuspectAfter is the time without a message after which a neighbor is
	// suspected to have failed and is not used.
	SuspectAfter time.Duration
	// FetcherChangePause is how long the fetchers of a region ingest nothing
	// after a view changed the set of fetchers: while orders spread, views change
	// often, and a fetcher can't see which chunks a former fetcher holds.
	FetcherChangePause time.Duration
	// StealPause is how long a fetcher that has no owned chunks left waits
	// before it takes over those of other fetchers.
	StealPause time.Duration
	// StealAfter is the time without progress after which a fetcher's chunks
	// may be taken over by any other fetcher of the region.
	StealAfter time.Duration
	// HomeTimeout is the time without progress after which the next region
	// takes over a relayed chunk.
	HomeTimeout time.Duration
	// SourceFallbackAfter is the time without a received chunk after which the
	// agents next in the order request chunks from the sources themselves, as
	// many agents at a time as there are fetchers.
	SourceFallbackAfter time.Duration
	// HedgeAfter is the age after which a request is hedged, that is, sent to
	// a second neighbor as well, if no other chunk is left to request.
	HedgeAfter time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Fetchers:            4,
		RegionRings:         2,
		ZoneRings:           2,
		InFlight:            4,
		PerNeighbor:         1,
		SourceInFlight:      1,
		FarInFlight:         1,
		Demotion:            5 * time.Second,
		MaxDemotion:         time.Minute,
		BusyPause:           time.Second,
		SuspectAfter:        6 * time.Second,
		FetcherChangePause:  time.Second,
		StealPause:          500 * time.Millisecond,
		StealAfter:          10 * time.Second,
		HomeTimeout:         20 * time.Second,
		SourceFallbackAfter: 2 * time.Minute,
		HedgeAfter:          10 * time.Second,
	}
}
