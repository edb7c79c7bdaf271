package entry

import (
	"strings"

	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/process/telemetry"
)

const requestQuery = "request:"

// processState is the process section of the state dump.
type processState struct {
	Name        string          `json:"name"`
	Zone        string          `json:"zone"`
	Region      string          `json:"region"`
	Incarnation string          `json:"incarnation"`
	Ready       bool            `json:"ready"`
	NotReady    string          `json:"not_ready,omitempty"`
	Usage       telemetry.Usage `json:"usage"`
}

func (e *Entry) registerDump() {
	e.Dump.Add("process", e.processState)
	e.Dump.Add("links", func() any { return e.Stats.Read() })
	e.Dump.Add("control", e.node.Dump)
	e.Dump.Add("state", e.machine.Dump)
	e.Dump.Add("sessions", e.sessions.Dump)
	e.Dump.Add("fleet", func() any { return e.fleet.Statuses() })
	e.Dump.Add("in_force", func() any { return e.fleet.Revisions() })
	e.Dump.Add("requests", e.api.Dump)
	e.Dump.Add("rollout", e.rollout.Dump)
	if e.folder != nil {
		e.Dump.Add("folder", e.folder.Dump)
	}
}

func (e *Entry) processState() any {
	s := processState{
		Name:        e.settings.Name,
		Zone:        e.settings.Zone,
		Region:      e.settings.Region,
		Incarnation: e.hello.Incarnation,
		Usage:       telemetry.ReadUsage(),
	}
	if err := e.checkReady(); err != nil {
		s.NotReady = err.Error()
	}
	s.Ready = s.NotReady == ""
	return s
}

// explain answers a query of the explain subcommand: a request ID with the prefix
// "request:", or a query of the control state.
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
