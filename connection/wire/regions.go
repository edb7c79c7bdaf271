package wire

const (
	// MaxRegionDemands bounds the sets of regions that an entry reports demand for, by
	// service. A deployment of five regions has 31 sets.
	MaxRegionDemands = 32
	// MaxRegionsPerSet bounds the regions of one set.
	MaxRegionsPerSet = 16
)

// RegionDemand is the demand for a service that only servers in the listed regions can meet,
// in seconds of server time per second.
type RegionDemand struct {
	Service string `cbor:"1,keyasint"`
	// Regions is sorted and has no duplicates.
	Regions []string `cbor:"2,keyasint"`
	Demand  float64  `cbor:"3,keyasint"`
}
