package quarantine

import (
	"maps"
	"math"
	"slices"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

const (
	// minCuts is the number of recent cuts from which the rate of a service counts by itself.
	minCuts = 0.5
	// maxServices bounds the services with a rate of their own.
	maxServices = 256
)

// cutRate estimates the fraction of requests that are broken off before they are proven,
// whatever their prompts.
type cutRate struct {
	cut, proven float64
	updated     boottime.Instant
}

func (c *cutRate) decay(now boottime.Instant) {
	if !c.updated.IsZero() {
		keep := math.Exp(-now.Sub(c.updated).Seconds() / cutMemory.Seconds())
		c.cut *= keep
		c.proven *= keep
	}
	c.updated = now
}

func (c *cutRate) recordCut(now boottime.Instant) {
	c.decay(now)
	c.cut++
}

func (c *cutRate) recordProven(now boottime.Instant) {
	c.decay(now)
	c.proven++
}

// fraction returns the estimate, which a few requests raise.
func (c *cutRate) fraction() float64 { return (c.cut + 1) / (c.cut + c.proven + priorProven) }

// cutRates holds the rate of each service. The zero value is ready for use.
type cutRates struct {
	services map[string]*cutRate
}

// of returns the rate of a service. Too many share one.
func (c *cutRates) of(service string) *cutRate {
	if c.services == nil {
		c.services = map[string]*cutRate{}
	}
	if c.services[service] == nil {
		if len(c.services) >= maxServices {
			service = ""
		}
		if c.services[service] == nil {
			c.services[service] = &cutRate{}
		}
	}
	return c.services[service]
}

// requiredMoments returns the number of ends in a row that something sound has by less
// than a chance, at the service that cuts the greatest fraction of its requests.
func (c *cutRates) requiredMoments(chance float64, now boottime.Instant) int {
	var total cutRate
	fraction := 0.0
	for _, service := range slices.Sorted(maps.Keys(c.services)) { // sums of floats depend on the order
		r := c.services[service]
		r.decay(now)
		total.cut += r.cut
		total.proven += r.proven
		if r.cut >= minCuts {
			fraction = max(fraction, r.fraction())
		}
	}
	fraction = max(fraction, total.fraction())
	n := math.Ceil(math.Log(chance) / math.Log(fraction))
	return int(min(max(n, minMoments), maxMoments))
}

// serviceOf returns the service of a request.
func serviceOf(candidates []Candidate) string {
	for i := range candidates {
		if candidates[i].Part.Request {
			return candidates[i].Service
		}
	}
	return ""
}
