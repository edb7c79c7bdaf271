package planner

import "time"

// Links are the rates that a transfer can count on, in bytes per second. Zero
// means unlimited.
type Links struct {
	// Sources is the rate of all sources together.
	Sources int64
	// RegionPair is the rate between two regions, each way.
	RegionPair int64
	// VM is the rate of one VM's link.
	VM int64
	// Regions is the number of regions that take part.
	Regions int
	// SourceInside is set when the sources lie inside one of the regions, so
	// that what leaves them crosses pairs of regions too.
	SourceInside bool
}

// Estimate says what a way of entering the regions would take.
type Estimate struct {
	// Share is the part of the chunks that leave the sources once and are
	// relayed to the other regions; the rest leaves once for each region.
	Share float64 `json:"relayed_share"`
	// Duration is the least time until every agent can hold the version.
	Duration time.Duration `json:"duration"`
	// SourceBytes leave the sources; PairBytes cross
	// the busiest pair of regions, each way.
	SourceBytes int64 `json:"source_bytes"`
	PairBytes   int64 `json:"pair_bytes"`
}

// Ways says how chunks enter a region.
type Ways struct {
	// Share is the part of the chunks that are relayed.
	Share float64
	// FarChunk is how long one chunk takes between two regions.
	FarChunk time.Duration
	// Balance has all sources used by their rates. Otherwise the origin is
	// asked only while no other source is ready.
	Balance bool
}

// Ways returns the ways of an estimate for chunks of a size, where each of a
// region's fetchers has an equal part of a pair.
func (e Estimate) Ways(l Links, chunk int64, fetchers int) Ways {
	return Ways{Share: e.Share, FarChunk: transferTime(chunk*int64(max(1, fetchers)), l.RegionPair)}
}

// EstimateShare computes the estimate of a share for a version of size bytes.
func EstimateShare(l Links, size int64, share float64) Estimate {
	regions := float64(max(1, l.Regions))
	copies := share + (1-share)*regions
	e := Estimate{Share: share, SourceBytes: int64(copies * float64(size))}
	if l.Regions > 1 {
		e.PairBytes = int64(share * float64(size) / regions)
		if l.SourceInside {
			e.PairBytes += e.PairBytes + int64((1-share)*float64(size))
		}
	}
	e.Duration = max(
		transferTime(e.SourceBytes, l.Sources),
		transferTime(e.PairBytes, l.RegionPair),
		transferTime(size, l.VM),
	)
	return e
}

func transferTime(bytes, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

// shareSteps is how finely Fastest looks for the best share.
const shareSteps = 64

// Fastest returns the estimate with the least duration and, among equals, the
// fewest bytes from the sources.
func Fastest(l Links, size int64) Estimate {
	best := EstimateShare(l, size, 1)
	for i := shareSteps - 1; i >= 0; i-- {
		e := EstimateShare(l, size, float64(i)/shareSteps)
		if e.Duration < best.Duration {
			best = e
		}
	}
	return best
}

// FewestBytes returns the estimate in which one copy leaves the sources.
func FewestBytes(l Links, size int64) Estimate {
	return EstimateShare(l, size, 1)
}
