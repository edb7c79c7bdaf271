package admission

import "sort"

// Dump is the state of a controller in the state dump.
type Dump struct {
	Running     int           `json:"running"`
	Waiting     int           `json:"waiting"`
	MeanMs      float64       `json:"mean_service_ms"`
	DeviationMs float64       `json:"deviation_service_ms"`
	Accounts    []AccountDump `json:"accounts"`
}

// AccountDump is the state of one account at a controller.
type AccountDump struct {
	Name    string  `json:"name"`
	Weight  float64 `json:"weight"`
	Running int64   `json:"running"`
	Waiting int     `json:"waiting"`
}

// Dump returns the controller's state.
func (c *Controller) Dump() Dump {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Dump{Running: c.running, Waiting: c.waiting, MeanMs: c.meanService * 1e3, DeviationMs: c.serviceDeviation * 1e3}
	for _, a := range c.accounts {
		d.Accounts = append(d.Accounts, AccountDump{Name: a.name, Weight: a.weight, Running: a.running.Load(), Waiting: a.waiting})
	}
	sort.Slice(d.Accounts, func(i, j int) bool { return d.Accounts[i].Name < d.Accounts[j].Name })
	return d
}
