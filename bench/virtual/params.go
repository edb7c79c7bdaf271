package virtual

import (
	"fmt"
	"math"
	"time"

	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

// Params configure a run.
type Params struct {
	Seed    uint64
	VMs     int
	Regions int
	Zones   int
	Chunks  int
	// ModelBytes is the size of the version. In the time Window the origin's link can
	// carry OriginCopies copies of it, and a VM's link VMCopies.
	ModelBytes   int64
	Window       time.Duration
	OriginCopies float64
	VMCopies     float64
	// PairBytesPerSecond is the rate between two regions in each direction; zero means
	// unlimited.
	PairBytesPerSecond int64
	Objective          string
	Planner            planner.Settings
	// The fields from UploadSlots to HaveHold correspond to those of
	// transfer.Config.
	UploadSlots  int
	QueueWait    time.Duration
	StallTimeout time.Duration
	HaveInterval time.Duration
	HaveHold     time.Duration
	// ZoneLatency is the one-way latency within a region, RegionLatency that between
	// regions and from the origin.
	ZoneLatency   time.Duration
	RegionLatency time.Duration
	// ViewDelay is how long after the failure of a VM the views of the other VMs are
	// updated.
	ViewDelay time.Duration
	Faults    Faults
}

// Faults configure the faults of a run.
type Faults struct {
	// CorruptShare is the share of chunks that arrive corrupt, FailShare the share of
	// VMs that fail during the run, SlowShare the share of VMs whose link has
	// 1/SlowFactor of the rate.
	CorruptShare float64
	FailShare    float64
	SlowShare    float64
	SlowFactor   float64
	// StallFor is how long one region's links to the origin and to one other region
	// stall. The stall begins after a fifth of PlannedBound.
	StallFor time.Duration
}

// DefaultParams returns the parameters for n VMs at the target scale: 5 regions and
// 11 zones, a model of 2 GiB in 10 minutes, and 20 Mb/s between two regions.
func DefaultParams(n int) Params {
	return Params{
		Seed:               1,
		VMs:                n,
		Regions:            5,
		Zones:              11,
		Chunks:             128,
		ModelBytes:         2 << 30,
		Window:             10 * time.Minute,
		OriginCopies:       4,
		VMCopies:           2,
		PairBytesPerSecond: 20e6 / 8,
		Objective:          config.ObjectiveTime,
		Planner:            planner.DefaultSettings(),
		UploadSlots:        3,
		QueueWait:          2 * time.Second,
		StallTimeout:       10 * time.Second,
		HaveInterval:       100 * time.Millisecond,
		HaveHold:           2 * time.Second,
		ZoneLatency:        time.Millisecond,
		RegionLatency:      2 * time.Millisecond,
		ViewDelay:          6 * time.Second,
	}
}

// WithFaults returns the parameters with the faults that the figures use.
func (p Params) WithFaults() Params {
	p.Faults = Faults{CorruptShare: 0.02, FailShare: 0.05, SlowShare: 0.05, SlowFactor: 3, StallFor: p.Window / 10}
	return p
}

func (p Params) originRate() float64 {
	return p.OriginCopies * float64(p.ModelBytes) / p.Window.Seconds()
}

func (p Params) vmRate() float64 {
	return p.VMCopies * float64(p.ModelBytes) / p.Window.Seconds()
}

func (p Params) chunkBytes() int64 { return p.ModelBytes / int64(p.Chunks) }

// Links returns the rates of the run's links.
func (p Params) Links() planner.Links {
	return planner.Links{
		Sources:    int64(p.originRate()),
		RegionPair: p.PairBytesPerSecond,
		VM:         int64(p.vmRate()),
		Regions:    p.Regions,
	}
}

// Estimate returns the planner's estimate for the run.
func (p Params) Estimate() planner.Estimate {
	if p.Objective == config.ObjectiveOriginBytes {
		return planner.FewestBytesEstimate(p.Links(), p.ModelBytes)
	}
	return planner.FastestEstimate(p.Links(), p.ModelBytes)
}

// startupTime returns the minimum time that a transfer takes in addition to the flow
// of its bytes: the last chunk passes one more link after it has left the origin.
func (p Params) startupTime() time.Duration {
	return seconds(float64(p.chunkBytes())/p.vmRate()) + p.RegionLatency + p.ZoneLatency
}

// Bound returns the minimum time in which every region can pull its own copy from the
// origin: max(R*M/O, M/L) plus the startup time, for R regions, a model of M bytes,
// an origin rate of O and a VM link rate of L.
func (p Params) Bound() time.Duration {
	regions := min(p.Regions, p.VMs)
	size := float64(p.ModelBytes)
	return seconds(max(float64(regions)*size/p.originRate(), size/p.vmRate())) + p.startupTime()
}

// PlannedBound returns the minimum time of the strategy that the planner chose.
func (p Params) PlannedBound() time.Duration { return p.Estimate().Duration + p.startupTime() }

func seconds(s float64) time.Duration {
	return time.Duration(math.Ceil(s * float64(time.Second)))
}

// Node returns the name, zone and region of VM i. It distributes the VMs over zones
// and the zones over regions round robin.
func (p Params) Node(i int) planner.Node {
	zone := i % p.Zones
	return planner.Node{
		Name:   fmt.Sprintf("vm-%04d", i),
		Zone:   fmt.Sprintf("zone-%02d", zone),
		Region: fmt.Sprintf("region-%d", zone%p.Regions),
	}
}
