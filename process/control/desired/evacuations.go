package desired

import (
	"slices"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// MaxZoneBytes bounds the name of a zone.
	MaxZoneBytes = 128
	// maxZones bounds the zones with a recorded evacuation. Operators name only zones of
	// the settings, so that the bound concerns settings that change very often.
	maxZones = 64
)

// Evacuation is the result of the last command that concerned a zone.
type Evacuation struct {
	// Active is set while the zone is evacuated.
	Active bool `cbor:"1,keyasint,omitempty"`
	// Index is the log index of the command.
	Index uint64 `cbor:"2,keyasint"`
}

// Evacuated returns the names of the evacuated zones in ascending order.
func (s *State) Evacuated() []string {
	var zones []string
	for zone, e := range s.Evacuations {
		if e.Active {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// applyEvacuation applies a command that starts or ends an evacuation. If the zone's state
// is as requested, that is no error, and only the index of the zone's last command rises: a
// command that was delayed, based on an earlier one, must not undo this one either. A command
// that is based on another than the last one changes nothing. Its result has the code
// StaleBasis and, as its revision, the index of the last one. The caller holds the lock.
func (m *Machine) applyEvacuation(res control.Result, e control.Evacuation) control.Result {
	last, known := m.state.Evacuations[e.Zone]
	full := !known && len(m.state.Evacuations) >= maxZones
	res.Revision = m.state.Revision
	switch {
	case e.Zone == "" || len(e.Zone) > MaxZoneBytes:
		res.Code, res.Detail = int(result.BadCommand), "the zone has no name or one that is too long"
	case last.Active == e.Start:
		if !full {
			m.recordEvacuation(e, res.Index)
		}
	case last.Index != e.After:
		res.Code, res.Detail, res.Revision = int(result.StaleBasis), "another command is the zone's last one", last.Index
	case full:
		res.Code, res.Detail = int(result.RecordsFull), "too many zones were evacuated"
	default:
		m.recordEvacuation(e, res.Index)
		m.recordChange(res.Index)
		res.Revision = res.Index
	}
	return res
}

// recordEvacuation records the last command of a zone. The caller holds the lock.
func (m *Machine) recordEvacuation(e control.Evacuation, index uint64) {
	m.state.Evacuations = withValue(m.state.Evacuations, e.Zone, Evacuation{Active: e.Start, Index: index})
}
