package directory

import (
	"net"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// maxNameBytes bounds IDs, names and addresses.
	maxNameBytes = 256
	// maxSlots, maxColdLeft and maxHeld bound a report's figures.
	maxSlots    = 1 << 20
	maxColdLeft = time.Hour
	maxHeld     = 256
)

// ValidateID returns an error if id can't be the ID of a server.
func ValidateID(id string) error { return validateName("ID", id, false) }

// Validate returns an error that names the first field that no server can report. A report
// may come from any writer, and is passed on to every entry and agent.
func (s *Server) Validate() error {
	if err := ValidateID(s.ID); err != nil {
		return err
	}
	if err := validateName("service", s.Service, false); err != nil {
		return err
	}
	if err := validateName("zone", s.Zone, true); err != nil {
		return err
	}
	if err := validateAddress(s.Address); err != nil {
		return err
	}
	switch {
	case s.State != Ready && s.State != Draining:
		return result.New(result.BadMessage, "server %q reports unknown state %d", s.ID, s.State)
	case s.Slots < 0 || s.Slots > maxSlots:
		return result.New(result.BadMessage, "server %q reports %d slots, the limit is %d", s.ID, s.Slots, maxSlots)
	case s.ColdLeft < 0 || s.ColdLeft > maxColdLeft:
		return result.New(result.BadMessage, "server %q reports a cold start of %v, the limit is %v", s.ID, s.ColdLeft, maxColdLeft)
	case len(s.Held) > maxHeld:
		return result.New(result.BadMessage, "server %q reports %d models, the limit is %d", s.ID, len(s.Held), maxHeld)
	}
	for _, held := range s.Held {
		if err := validateName("model", held.Model, true); err != nil {
			return err
		}
	}
	return nil
}

func validateName(field, name string, optional bool) error {
	switch {
	case name == "" && !optional:
		return result.New(result.BadMessage, "%s is empty", field)
	case len(name) > maxNameBytes:
		return result.New(result.BadMessage, "%s of %d bytes is too long, the limit is %d", field, len(name), maxNameBytes)
	case !utf8.ValidString(name):
		return result.New(result.BadMessage, "%s %q is not UTF-8", field, name)
	default:
		return nil
	}
}

// validateAddress returns an error if an address is not a host and a port.
func validateAddress(address string) error {
	if err := validateName("address", address, false); err != nil {
		return err
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return result.New(result.BadMessage, "address %q is not a host and a port", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return result.New(result.BadMessage, "address %q has port %q, want 1 to 65535", address, port)
	}
	return nil
}
