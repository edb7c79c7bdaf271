package quarantine

import (
	"math"

	"github.com/waxwingpost/waxwingpost/process/boottime"
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

// requiredMoments returns the number of ends in a row that something sound has by less
// than a chance.
func (c *cutRate) requiredMoments(chance float64) int {
	fraction := (c.cut + 1) / (c.cut + c.proven + priorProven)
	n := math.Ceil(math.Log(chance) / math.Log(fraction))
	return int(min(max(n, minMoments), maxMoments))
}
