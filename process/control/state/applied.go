package state

import "github.com/waxwingpost/waxwingpost/process/control"

// appliedTable remembers the results of the last commands by ID, first in
// first out.
type appliedTable struct {
	limit   int
	order   []string
	results map[string]control.Result
}

func newAppliedTable(limit int) *appliedTable {
	return &appliedTable{limit: limit, results: make(map[string]control.Result)}
}

func (t *appliedTable) get(id string) (control.Result, bool) {
	res, ok := t.results[id]
	return res, ok && id != ""
}

func (t *appliedTable) put(id string, res control.Result) {
	if id == "" {
		return
	}
	t.order = append(t.order, id)
	t.results[id] = res
	if len(t.order) > t.limit {
		delete(t.results, t.order[0])
		t.order = t.order[1:]
	}
}
