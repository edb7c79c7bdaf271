package state

import "github.com/waxwingpost/waxwingpost/process/control"

// resultCache holds the results of the most recent commands by command ID. It
// evicts the oldest result first.
type resultCache struct {
	limit   int
	fifo    []string
	results map[string]control.Result
}

func newResultCache(limit int) *resultCache {
	return &resultCache{limit: limit, results: make(map[string]control.Result)}
}

func (c *resultCache) get(id string) (control.Result, bool) {
	res, ok := c.results[id]
	return res, ok && id != ""
}

func (c *resultCache) put(id string, res control.Result) {
	if id == "" {
		return
	}
	c.fifo = append(c.fifo, id)
	c.results[id] = res
	if len(c.fifo) > c.limit {
		delete(c.results, c.fifo[0])
		c.fifo = c.fifo[1:]
	}
}
