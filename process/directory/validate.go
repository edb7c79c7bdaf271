package directory

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/waxwingpost/waxwingpost/connection/httphead"
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

// ValidateID returns an error if id can't be the ID of a server. An ID is one segment of a path
// and the value of a header, where only visible ASCII characters mean the same to all readers
// (RFC 9110, section 5.5).
func ValidateID(id string) error {
	if err := validateName("ID", id, false); err != nil {
		return err
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' || c == '/' {
			return result.New(result.BadMessage, "ID %q has the character %q, want visible ASCII characters without a slash", id, c)
		}
	}
	return nil
}

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

// validateName returns an error if a name can't be the value of a header.
func validateName(field, name string, optional bool) error {
	switch {
	case name == "" && !optional:
		return result.New(result.BadMessage, "%s is empty", field)
	case len(name) > maxNameBytes:
		return result.New(result.BadMessage, "%s of %d bytes is too long, the limit is %d", field, len(name), maxNameBytes)
	case !utf8.ValidString(name):
		return result.New(result.BadMessage, "%s %q is not UTF-8", field, name)
	case !httphead.IsFieldValue(name):
		return result.New(result.BadMessage, "%s %q has a control character, or a blank at an end", field, name)
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
	if err != nil || net.JoinHostPort(host, port) != address {
		return result.New(result.BadMessage, "address %q is not a host and a port", address)
	}
	if !isIP(host) && !isHostName(host) {
		return result.New(result.BadMessage, "address %q has host %q, want an IP address or a host name", address, host)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || strconv.FormatUint(n, 10) != port {
		return result.New(result.BadMessage, "address %q has port %q, want 1 to 65535", address, port)
	}
	return nil
}

// isIP reports whether host is an IP address. One with a zone means something on one VM only.
func isIP(host string) bool {
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.Zone() == ""
}

// isHostName reports whether host is a name of letters, digits, hyphens and underscores in labels
// (RFC 1123, section 2.1). A name whose last label is a number would be read as an IPv4 address.
func isHostName(host string) bool {
	const maxLabelBytes = 63
	var label string
	for label = range strings.SplitSeq(host, ".") {
		if label == "" || len(label) > maxLabelBytes || strings.Trim(strings.ToLower(label), "abcdefghijklmnopqrstuvwxyz0123456789-_") != "" {
			return false
		}
	}
	return strings.Trim(label, "0123456789") != ""
}
