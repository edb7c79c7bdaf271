package virtual

import (
	"fmt"
	"math"
	"time"

	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

// Params describe a run.
type Params struct {
	Seed    uint64
	VMs     int
	Regions int
	Zones   int
	Chunks  int
	// ModelBytes is the version's size, Window the time in which the origin's
	// link carries OriginCopies of it and a VM's link VMCopies.
	ModelBytes   int64
	Window       time.Duration
	OriginCopies float64
	VMCopies     float64
	// PairBytesPerSecond is the rate between two regions, each way.
	PairBytesPerSecond int64
	Objective          string
	Planner            planner.Settings
	UploadSlots        int
	QueueWait          time.Duration
	StallTimeout       time.Duration
	HaveInterval       time.Duration
	HaveHold           time.Duration
	ZoneLatency        time.Duration
	RegionLatency      time.Duration
	// ViewDelay is how long after a VM's death the others' views lack it.
	ViewDelay time.Duration
	Faults    Faults
}

// Faults are what goes wrong in a run.
type Faults struct {
	// Corrupt is the part of chunks that arrive corrupt, Die the part of VMs
	// that die midway, Slow the part of VMs whose link has 1/SlowFactor of the
	// rate.
	Corrupt    float64
	Die        float64
	Slow       float64
	SlowFactor float64
	// StallFor is how long one region's links to the origin and to one other
	// region stall, from a fifth of the bound on.
	StallFor time.Duration
}

// DefaultParams returns a fleet of n VMs at the sizes of the target: 5 regions
// and 11 zones, a model of 2 GiB in 10 minutes, pairs of 20 Mb/s.
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

// WithFaults returns the parameters with the faults of the figures.
func (p Params) WithFaults() Params {
	p.Faults = Faults{Corrupt: 0.02, Die: 0.05, Slow: 0.05, SlowFactor: 3, StallFor: p.Window / 10}
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

// Estimate returns what the planner expects of the run.
func (p Params) Estimate() planner.Estimate {
	if p.Objective == config.ObjectiveOriginBytes {
		return planner.FewestBytes(p.Links(), p.ModelBytes)
	}
	return planner.Fastest(p.Links(), p.ModelBytes)
}

// startUp is the least time by which a transfer exceeds the flow of its bytes:
// the last chunk has to pass one more link after it has left the origin.
func (p Params) startUp() time.Duration {
	return seconds(float64(p.chunkBytes())/p.vmRate()) + p.RegionLatency + p.ZoneLatency
}

// Bound returns the least time in which every region takes its own copy from
// the origin: max(R*M/O, M/L) plus start-up.
func (p Params) Bound() time.Duration {
	regions := min(p.Regions, p.VMs)
	size := float64(p.ModelBytes)
	return seconds(max(float64(regions)*size/p.originRate(), size/p.vmRate())) + p.startUp()
}

// WayBound returns the least time of the way that the planner chose.
func (p Params) WayBound() time.Duration { return p.Estimate().Duration + p.startUp() }

func seconds(s float64) time.Duration {
	return time.Duration(math.Ceil(s * float64(time.Second)))
}

// Node returns a VM's place. It spreads the VMs over zones and the zones over regions, round robin.
func (p Params) Node(i int) planner.Node {
	zone := i % p.Zones
	return planner.Node{
		Name:   fmt.Sprintf("vm-%04d", i),
		Zone:   fmt.Sprintf("zone-%02d", zone),
		Region: fmt.Sprintf("region-%d", zone%p.Regions),
	}
}
