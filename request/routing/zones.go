package routing

import (
	"slices"

	"github.com/waxwingpost/waxwingpost/connection/session"
)

// WithoutZones returns the servers that are in no evacuated zone. The list that is passed is
// not modified.
func WithoutZones(backends []*session.Backend, evacuated func(zone string) bool) []*session.Backend {
	inZone := func(b *session.Backend) bool { return evacuated(b.Zone) }
	if !slices.ContainsFunc(backends, inZone) {
		return backends
	}
	return slices.DeleteFunc(slices.Clone(backends), inZone)
}
