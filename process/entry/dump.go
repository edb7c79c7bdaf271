package entry

import (
	"strings"

	"github.com/waxwingpost/waxwingpost/process/obs"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const requestQuery = "request:"

// processState is the part of the dump that concerns the process itself.
type processState struct {
	Name        string    `json:"name"`
	Zone        string    `json:"zone"`
	Region      string    `json:"region"`
	Incarnation string    `json:"incarnation"`
	Ready       bool      `json:"ready"`
	NotReady    string    `json:"not_ready,omitempty"`
	Usage       obs.Usage `json:"usage"`
}

func (e *Entry) registerDump() {
	e.dump.Add("process", e.processState)
	e.dump.Add("links", func() any { return e.stats.Read() })
	e.dump.Add("control", e.node.Dump)
	e.dump.Add("state", e.machine.Dump)
	e.dump.Add("sessions", e.sessions.Dump)
	e.dump.Add("fleet", func() any { return e.fleet.Statuses() })
	e.dump.Add("in_force", func() any { return e.fleet.Revisions() })
	e.dump.Add("requests", e.api.Dump)
	e.dump.Add("rollout", e.rollout.Dump)
	if e.folder != nil {
		e.dump.Add("folder", e.folder.Dump)
	}
}

func (e *Entry) processState() any {
	s := processState{
		Name:        e.set.Name,
		Zone:        e.set.Zone,
		Region:      e.set.Region,
		Incarnation: e.hello.Incarnation,
		Usage:       obs.ReadUsage(),
	}
	if err := e.check(); err != nil {
		s.NotReady = err.Error()
	}
	s.Ready = s.NotReady == ""
	return s
}

// explain answers a query of the explain subcommand.
func (e *Entry) explain(query string) (any, error) {
	id, ok := strings.CutPrefix(query, requestQuery)
	if !ok {
		return e.machine.Explain(query)
	}
	record, ok := e.api.Explain(id)
	if !ok {
		return nil, result.New(result.NotFound, "no recent request %q on this entry", id)
	}
	return record, nil
}
