package directory

import "github.com/waxwingpost/waxwingpost/process/result"

// maxPace bounds a reported pace. No request ends in time on a slower engine.
const maxPace = 1000

// EnginePace is an agent's report of the speed of its engine.
type EnginePace struct {
	// Address and Born identify the engine's incarnation. A Born of 0 is unknown.
	Address string `cbor:"1,keyasint"`
	Born    int64  `cbor:"2,keyasint,omitempty"`
	// Pace is how long work takes in multiples of the usual time.
	Pace float64 `cbor:"3,keyasint"`
	// Checked is the time of the engine's report in milliseconds, on a clock of its VM that
	// doesn't go back while an incarnation runs. The latest report holds.
	Checked int64 `cbor:"4,keyasint,omitempty"`
}

// Validate returns an error if no agent can report the pace.
func (p *EnginePace) Validate() error {
	if err := validateAddress(p.Address); err != nil {
		return err
	}
	if !(p.Pace > 0 && p.Pace <= maxPace) {
		return result.New(result.BadMessage, "engine at %s has pace %v, want a number above 0 and up to %d", p.Address, p.Pace, maxPace)
	}
	return nil
}

// SetPace applies an agent's report of its engine's pace and reports whether it changed the
// table. A report about an unknown engine is ignored: the agent repeats it.
func (t *Table) SetPace(p EnginePace) bool {
	if p.Validate() != nil {
		return false
	}
	record := t.incarnationAt(p.Address, p.Born)
	if record == nil || p.Checked < record.paceChecked {
		return false
	}
	changed := record.Pace != p.Pace && (record.Pace != 0 || p.Pace != 1)
	record.Pace, record.paceChecked = p.Pace, p.Checked
	return changed
}

// Paces returns the reported paces, for a process that may know none or earlier ones.
func (t *Table) Paces() []EnginePace {
	var list []EnginePace
	for _, record := range t.All() {
		if record.Pace > 0 && record.State != Gone && !t.Superseded(record) {
			list = append(list, EnginePace{Address: record.Address, Born: record.Born, Pace: record.Pace, Checked: record.paceChecked})
		}
	}
	return list
}
