package planner

import "time"

// Links holds the rates available to a transfer, in bytes per second. Zero
// means unlimited.
type Links struct {
	// Sources is the total rate of all sources.
	Sources int64
	// RegionPair is the rate between two regions in each direction.
	RegionPair int64
	// VM is the rate of one VM's link.
	VM int64
	// Regions is the number of regions in the transfer.
	Regions int
	// SourceInside is set when the sources are inside one of the regions, so
	// that their traffic to the other regions crosses region pairs as well.
	SourceInside bool
}

// Estimate is the predicted cost of a transfer for one relayed share.
type Estimate struct {
	// Share is the fraction of the chunks that leave the sources once and are
	// relayed to the other regions; the others leave once for each region.
	Share float64 `json:"relayed_share"`
	// Duration is the lower bound of the time until every agent holds the
	// version.
	Duration time.Duration `json:"duration"`
	// SourceBytes leave the sources; PairBytes cross the busiest pair of
	// regions in each direction.
	SourceBytes int64 `json:"source_bytes"`
	PairBytes   int64 `json:"pair_bytes"`
}

// IngestPolicy determines how chunks are brought into a region.
type IngestPolicy struct {
	// RelayShare is the fraction of the chunks that are relayed.
	RelayShare float64
	// FarChunkTime is the transfer time of one chunk between two regions.
	FarChunkTime time.Duration
	// BalanceSources distributes chunks over all sources by their rates.
	// Otherwise the origin is asked only while no other source is ready.
	BalanceSources bool
}

// IngestPolicy returns the ingest policy of an estimate for a chunk size in
// bytes. Each of a region's fetchers gets an equal part of the rate of a region
// pair.
func (e Estimate) IngestPolicy(l Links, chunk int64, fetchers int) IngestPolicy {
	return IngestPolicy{RelayShare: e.Share, FarChunkTime: transferTime(chunk*int64(max(1, fetchers)), l.RegionPair)}
}

// EstimateShare returns the estimate for a relayed share and a version of size
// bytes.
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

// shareSteps is the number of steps in which FastestEstimate searches shares
// from 0 to 1.
const shareSteps = 64

// FastestEstimate returns the estimate with the shortest duration and, among
// equals, the fewest bytes from the sources.
func FastestEstimate(l Links, size int64) Estimate {
	best := EstimateShare(l, size, 1)
	for i := shareSteps - 1; i >= 0; i-- {
		e := EstimateShare(l, size, float64(i)/shareSteps)
		if e.Duration < best.Duration {
			best = e
		}
	}
	return best
}

// FewestBytesEstimate returns the estimate in which a single copy leaves the
// sources.
func FewestBytesEstimate(l Links, size int64) Estimate {
	return EstimateShare(l, size, 1)
}
