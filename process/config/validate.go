package config

import (
	"net"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	maxVoters       = 7
	maxRank         = 1000
	maxDeadline     = time.Hour
	maxKeyRetention = 7 * 24 * time.Hour

	nameRemedy = "use 1 to 63 letters, digits, dots, dashes or underscores, a letter or digit first"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

var methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

func validName(s string) bool {
	return namePattern.MatchString(s)
}

// validator checks a decoded configuration. The tree serves to tell where a
// value stands.
type validator struct {
	config   *Config
	root     *node
	problems []*result.Error
}

func (v *validator) validate() {
	v.zones()
	v.links()
	v.control()
	v.sources()
	v.versions()
	v.services()
	v.accounts()
	v.limits()
}

// refuse notes a problem with the value under the keys.
func (v *validator) refuse(code result.Code, keys []string, remedy, format string, args ...any) {
	n, field := v.root, ""
	at := v.root.place()
	for _, key := range keys {
		if strings.HasPrefix(key, "[") {
			field += key
		} else {
			field = join(field, key)
		}
		if n != nil {
			n = n.child(key)
		}
		if n != nil {
			at = n.place()
		}
	}
	v.problems = append(v.problems, at.refuse(code, field, remedy, format, args...))
}

// child returns the value under a key or, for "[3]", an item of a list.
func (n *node) child(key string) *node {
	if n.kind != listNode {
		return n.fields[key]
	}
	i, err := strconv.Atoi(strings.Trim(key, "[]"))
	if err != nil || i >= len(n.items) {
		return nil
	}
	return n.items[i]
}

// item is the key of a list's item.
func item(i int) string {
	return "[" + strconv.Itoa(i) + "]"
}

// keyPath lists the keys that lead to a value.
func keyPath(keys ...string) []string {
	return keys
}

func (v *validator) bad(keys []string, remedy, format string, args ...any) {
	v.refuse(result.BadValue, keys, remedy, format, args...)
}

func (v *validator) broken(keys []string, table, name string) {
	if name == "" {
		v.refuse(result.BrokenReference, keys, "name an entry of "+table, "the key is missing")
		return
	}
	v.refuse(result.BrokenReference, keys, "add it to "+table+" or correct the name", "%q is not in %s", name, table)
}

func (v *validator) oneOf(keys []string, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.bad(keys, "write "+strings.Join(allowed, " or "), "%q is not allowed", value)
	}
}

func (v *validator) notNegative(keys []string, value float64) {
	if value < 0 {
		v.bad(keys, "write 0 for unlimited or a positive number", "%v is negative", value)
	}
}

func (v *validator) share(keys []string, value float64) {
	if value < 0 || value > 1 {
		v.bad(keys, "write a number from 0 to 1", "%v is out of range", value)
	}
}

func (v *validator) zones() {
	for _, name := range sortedKeys(v.config.Zones) {
		if region := v.config.Zones[name].Region; !validName(region) {
			v.bad(keyPath("zones", name, "region"), nameRemedy, "%q does not name a region", region)
		}
	}
}

func (v *validator) links() {
	l := v.config.Links
	v.notNegative(keyPath("links", "region_pair_bytes_per_second"), float64(l.RegionPairBytesPerSecond))
	v.notNegative(keyPath("links", "vm_bytes_per_second"), float64(l.VMBytesPerSecond))
	v.share(keyPath("links", "live_share"), l.LiveShare)
}

func (v *validator) control() {
	voters := v.config.Control.Voters
	if len(voters) > maxVoters {
		v.bad(keyPath("control", "voters"), "name 1 to 7 entry VMs", "%d voters", len(voters))
	}
	if voters != nil && len(voters) == 0 {
		v.bad(keyPath("control", "voters"), "name 1 to 7 entry VMs, or remove the key", "the list is empty")
	}
	for i, name := range voters {
		if !validName(name) {
			v.bad(keyPath("control", "voters", item(i)), nameRemedy, "%q is not a name", name)
		}
		if slices.Contains(voters[:i], name) {
			v.bad(keyPath("control", "voters", item(i)), "name each VM once", "%q stands twice", name)
		}
	}
}

func (v *validator) sources() {
	for _, name := range sortedKeys(v.config.Sources) {
		s := v.config.Sources[name]
		v.oneOf(keyPath("sources", name, "kind"), s.Kind, SourceOrigin, SourceStore)
		if !validAddress(s.Address) {
			v.bad(keyPath("sources", name, "address"), "write an IP and a port such as 10.1.0.5:8080", "%q is no address", s.Address)
		}
		if _, ok := v.config.Zones[s.Zone]; !ok {
			v.broken(keyPath("sources", name, "zone"), "zones", s.Zone)
		}
		v.notNegative(keyPath("sources", name, "bytes_per_second"), float64(s.BytesPerSecond))
	}
}

func validAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	_, err = netip.ParseAddr(host)
	n, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && n > 0
}

func (v *validator) versions() {
	for _, name := range sortedKeys(v.config.Versions) {
		version := v.config.Versions[name]
		if version.Model == "" {
			v.bad(keyPath("versions", name, "model"), "name the model", "the model is missing")
		}
		if !strings.HasPrefix(version.Path, "/") || strings.Contains(version.Path, "..") {
			v.bad(keyPath("versions", name, "path"), "write a path such as /drafting/7", "%q is no absolute path", version.Path)
		}
		v.base(name, version)
	}
}

func (v *validator) base(name string, version Version) {
	if version.Base == "" {
		return
	}
	base, ok := v.config.Versions[version.Base]
	switch {
	case !ok:
		v.broken(keyPath("versions", name, "base"), "versions", version.Base)
	case base.Base != "" || version.Base == name:
		v.bad(keyPath("versions", name, "base"), "name the weights, not an adapter", "%q is an adapter", version.Base)
	}
}

func (v *validator) services() {
	seen := map[string]string{}
	for _, name := range sortedKeys(v.config.Services) {
		s := v.config.Services[name]
		v.oneOf(keyPath("services", name, "kind"), s.Kind, ServiceEngine, ServicePlain)
		switch s.Kind {
		case ServiceEngine:
			v.engineService(name, s)
		case ServicePlain:
			v.plainService(name, s)
		}
		v.notNegative(keyPath("services", name, "min_serving"), float64(s.MinServing))
		v.routes(name, s, seen)
	}
}

func (v *validator) engineService(name string, s Service) {
	v.oneOf(keyPath("services", name, "fencing"), s.Fencing, FencingEnforced, FencingIgnored)
	version, ok := v.config.Versions[s.Version]
	if !ok {
		v.broken(keyPath("services", name, "version"), "versions", s.Version)
	}
	if version.Base != "" {
		v.bad(keyPath("services", name, "version"), "name the weights and list the adapter under adapters", "%q is an adapter", s.Version)
	}
	for i, adapter := range s.Adapters {
		keys := keyPath("services", name, "adapters", item(i))
		a, ok := v.config.Versions[adapter]
		switch {
		case !ok:
			v.broken(keys, "versions", adapter)
		case a.Base != s.Version:
			v.bad(keys, "list adapters of the service's version only", "%q is no adapter of %q", adapter, s.Version)
		case slices.Contains(s.Adapters[:i], adapter):
			v.bad(keys, "list it once", "%q stands twice", adapter)
		}
	}
}

func (v *validator) plainService(name string, s Service) {
	const remedy = "remove it: it is for engines only"
	if s.Version != "" {
		v.bad(keyPath("services", name, "version"), remedy, "a plain service has no version")
	}
	if len(s.Adapters) > 0 {
		v.bad(keyPath("services", name, "adapters"), remedy, "a plain service has no adapters")
	}
	if len(s.Routes) == 0 {
		v.bad(keyPath("services", name), "list its calls under routes", "a plain service without routes can't be reached")
	}
}

func (v *validator) routes(service string, s Service, seen map[string]string) {
	for i, r := range s.Routes {
		keys := keyPath("services", service, "routes", item(i))
		v.oneOf(append(slices.Clone(keys), "method"), r.Method, methods...)
		if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, "?# ") {
			v.bad(append(slices.Clone(keys), "path"), "write a path such as /v1/filings", "%q is no absolute path", r.Path)
		}
		if _, ok := v.config.Priorities[r.Priority]; !ok && r.Priority != "" {
			v.broken(append(slices.Clone(keys), "priority"), "priorities", r.Priority)
		}
		call := r.Method + " " + r.Path
		if other, twice := seen[call]; twice {
			v.bad(keys, "keep one of them", "%s is a route of service %q already", call, other)
		}
		seen[call] = service
	}
}

func (v *validator) accounts() {
	for _, name := range sortedKeys(v.config.Accounts) {
		a := v.config.Accounts[name]
		if a.Share < 1 {
			v.bad(keyPath("accounts", name, "share"), "write 1 or more", "%d is out of range", a.Share)
		}
		v.notNegative(keyPath("accounts", name, "max_concurrent"), float64(a.MaxConcurrent))
		v.notNegative(keyPath("accounts", name, "requests_per_second"), a.RequestsPerSecond)
	}
}

func (v *validator) limits() {
	for _, name := range sortedKeys(v.config.Priorities) {
		if rank := v.config.Priorities[name]; rank < 0 || rank > maxRank {
			v.bad(keyPath("priorities", name), "write a rank from 0 to 1000", "%d is out of range", rank)
		}
	}
	v.oneOf(keyPath("weights", "objective"), v.config.Weights.Objective, ObjectiveTime, ObjectiveOriginBytes)
	r := v.config.Requests
	v.within(keyPath("requests", "default_deadline"), r.DefaultDeadline, maxDeadline)
	v.within(keyPath("requests", "key_retention"), r.KeyRetention, maxKeyRetention)
	v.share(keyPath("requests", "retry_share"), r.RetryShare)
}

func (v *validator) within(keys []string, value, limit time.Duration) {
	if value <= 0 || value > limit {
		v.bad(keys, "write more than 0s and at most "+limit.String(), "%s is out of range", value)
	}
}
