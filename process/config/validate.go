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

// validator checks a decoded configuration. It uses the tree to find the
// position of each value.
type validator struct {
	config   *Config
	root     *node
	problems []*result.Error
}

func (v *validator) validate() {
	v.validateZones()
	v.validateLinks()
	v.validateControl()
	v.validateSources()
	v.validateVersions()
	v.validateServices()
	v.validateAccounts()
	v.validateRegions()
	v.validateLimits()
}

// addProblem records a problem with the value at the given key path. It uses the
// position of the closest parent that exists if the value is not set.
func (v *validator) addProblem(code result.Code, keys []string, remedy, format string, args ...any) {
	n, field := v.root, ""
	pos := v.root.position()
	for _, key := range keys {
		if strings.HasPrefix(key, "[") {
			field += key
		} else {
			field = joinPath(field, key)
		}
		if n != nil {
			n = n.child(key)
		}
		if n != nil {
			pos = n.position()
		}
	}
	v.problems = append(v.problems, pos.newError(code, field, remedy, format, args...))
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

// indexKey returns the key of the list item at index i.
func indexKey(i int) string {
	return "[" + strconv.Itoa(i) + "]"
}

// keyPath returns the keys from the root to a value.
func keyPath(keys ...string) []string {
	return keys
}

func (v *validator) badValue(keys []string, remedy, format string, args ...any) {
	v.addProblem(result.BadValue, keys, remedy, format, args...)
}

func (v *validator) brokenReference(keys []string, table, name string) {
	if name == "" {
		v.addProblem(result.BrokenReference, keys, "set it to a name from "+table, "the key is missing")
		return
	}
	v.addProblem(result.BrokenReference, keys, "add it to "+table+" or correct the name", "%q is not in %s", name, table)
}

func (v *validator) checkOneOf(keys []string, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.badValue(keys, "write "+strings.Join(allowed, " or "), "%q is not allowed", value)
	}
}

func (v *validator) checkNotNegative(keys []string, value float64) {
	if value < 0 {
		v.badValue(keys, "write 0 for unlimited or a positive number", "%v is negative", value)
	}
}

func (v *validator) checkFraction(keys []string, value float64) {
	if value < 0 || value > 1 {
		v.badValue(keys, "write a number from 0 to 1", "%v is out of range", value)
	}
}

func (v *validator) validateZones() {
	for _, name := range sortedKeys(v.config.Zones) {
		if region := v.config.Zones[name].Region; !validName(region) {
			v.badValue(keyPath("zones", name, "region"), nameRemedy, "%q is not a valid region name", region)
		}
	}
}

func (v *validator) validateLinks() {
	l := v.config.Links
	v.checkNotNegative(keyPath("links", "region_pair_bytes_per_second"), float64(l.RegionPairBytesPerSecond))
	v.checkNotNegative(keyPath("links", "vm_bytes_per_second"), float64(l.VMBytesPerSecond))
	v.checkFraction(keyPath("links", "live_share"), l.LiveShare)
}

func (v *validator) validateControl() {
	voters := v.config.Control.Voters
	if len(voters) > maxVoters {
		v.badValue(keyPath("control", "voters"), "list 1 to 7 entry VMs", "%d voters are listed", len(voters))
	}
	if voters != nil && len(voters) == 0 {
		v.badValue(keyPath("control", "voters"), "list 1 to 7 entry VMs or remove the key", "the list is empty")
	}
	for i, name := range voters {
		if !validName(name) {
			v.badValue(keyPath("control", "voters", indexKey(i)), nameRemedy, "%q is not a valid name", name)
		}
		if slices.Contains(voters[:i], name) {
			v.badValue(keyPath("control", "voters", indexKey(i)), "list each VM once", "%q is listed twice", name)
		}
	}
}

func (v *validator) validateSources() {
	for _, name := range sortedKeys(v.config.Sources) {
		s := v.config.Sources[name]
		v.checkOneOf(keyPath("sources", name, "kind"), s.Kind, SourceOrigin, SourceStore)
		if !validAddress(s.Address) {
			v.badValue(keyPath("sources", name, "address"), "write an IP and a port such as 10.1.0.5:8080", "%q is not an address", s.Address)
		}
		if _, ok := v.config.Zones[s.Zone]; !ok {
			v.brokenReference(keyPath("sources", name, "zone"), "zones", s.Zone)
		}
		v.checkNotNegative(keyPath("sources", name, "bytes_per_second"), float64(s.BytesPerSecond))
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

func (v *validator) validateVersions() {
	for _, name := range sortedKeys(v.config.Versions) {
		version := v.config.Versions[name]
		if version.Model == "" {
			v.badValue(keyPath("versions", name, "model"), "set the name of the model", "the model is missing")
		}
		if !strings.HasPrefix(version.Path, "/") || strings.Contains(version.Path, "..") {
			v.badValue(keyPath("versions", name, "path"), "write a path such as /drafting/7", "%q is not an absolute path", version.Path)
		}
		v.validateBase(name, version)
	}
}

func (v *validator) validateBase(name string, version Version) {
	if version.Base == "" {
		return
	}
	base, ok := v.config.Versions[version.Base]
	switch {
	case !ok:
		v.brokenReference(keyPath("versions", name, "base"), "versions", version.Base)
	case base.Base != "" || version.Base == name:
		v.badValue(keyPath("versions", name, "base"), "set it to weights, not to an adapter", "%q is an adapter", version.Base)
	}
}

func (v *validator) validateServices() {
	seen := map[string]string{}
	for _, name := range sortedKeys(v.config.Services) {
		s := v.config.Services[name]
		v.checkOneOf(keyPath("services", name, "kind"), s.Kind, ServiceEngine, ServicePlain)
		switch s.Kind {
		case ServiceEngine:
			v.validateEngineService(name, s)
		case ServicePlain:
			v.validatePlainService(name, s)
		}
		v.checkNotNegative(keyPath("services", name, "min_serving"), float64(s.MinServing))
		v.validateRoutes(name, s, seen)
	}
}

func (v *validator) validateEngineService(name string, s Service) {
	v.checkOneOf(keyPath("services", name, "fencing"), s.Fencing, FencingEnforced, FencingIgnored)
	version, ok := v.config.Versions[s.Version]
	if !ok {
		v.brokenReference(keyPath("services", name, "version"), "versions", s.Version)
	}
	if version.Base != "" {
		v.badValue(keyPath("services", name, "version"), "set it to weights and list the adapter under adapters", "%q is an adapter", s.Version)
	}
	for i, adapter := range s.Adapters {
		keys := keyPath("services", name, "adapters", indexKey(i))
		a, ok := v.config.Versions[adapter]
		switch {
		case !ok:
			v.brokenReference(keys, "versions", adapter)
		case a.Base != s.Version:
			v.badValue(keys, "list only adapters of the service's version", "%q is not an adapter of %q", adapter, s.Version)
		case slices.Contains(s.Adapters[:i], adapter):
			v.badValue(keys, "list it once", "%q is listed twice", adapter)
		}
	}
}

func (v *validator) validatePlainService(name string, s Service) {
	const remedy = "remove it: only engine services support it"
	if s.Version != "" {
		v.badValue(keyPath("services", name, "version"), remedy, "a plain service has no version")
	}
	if len(s.Adapters) > 0 {
		v.badValue(keyPath("services", name, "adapters"), remedy, "a plain service has no adapters")
	}
	if len(s.Routes) == 0 {
		v.badValue(keyPath("services", name), "list its calls under routes", "a plain service without routes is not reachable")
	}
}

func (v *validator) validateRoutes(service string, s Service, seen map[string]string) {
	for i, r := range s.Routes {
		keys := keyPath("services", service, "routes", indexKey(i))
		v.checkOneOf(append(slices.Clone(keys), "method"), r.Method, methods...)
		if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, "?# ") {
			v.badValue(append(slices.Clone(keys), "path"), "write a path such as /v1/filings", "%q is not an absolute path", r.Path)
		}
		if _, ok := v.config.Priorities[r.Priority]; !ok && r.Priority != "" {
			v.brokenReference(append(slices.Clone(keys), "priority"), "priorities", r.Priority)
		}
		call := r.Method + " " + r.Path
		if other, duplicate := seen[call]; duplicate {
			v.badValue(keys, "keep one of them", "%s is already a route of service %q", call, other)
		}
		seen[call] = service
	}
}

func (v *validator) validateAccounts() {
	for _, name := range sortedKeys(v.config.Accounts) {
		a := v.config.Accounts[name]
		if a.Share < 1 {
			v.badValue(keyPath("accounts", name, "share"), "write 1 or more", "%d is out of range", a.Share)
		}
		v.checkNotNegative(keyPath("accounts", name, "max_concurrent"), float64(a.MaxConcurrent))
		v.checkNotNegative(keyPath("accounts", name, "requests_per_second"), a.RequestsPerSecond)
	}
}

func (v *validator) validateLimits() {
	for _, name := range sortedKeys(v.config.Priorities) {
		if rank := v.config.Priorities[name]; rank < 0 || rank > maxRank {
			v.badValue(keyPath("priorities", name), "write a rank from 0 to 1000", "%d is out of range", rank)
		}
	}
	v.checkOneOf(keyPath("weights", "objective"), v.config.Weights.Objective, ObjectiveTime, ObjectiveOriginBytes)
	r := v.config.Requests
	v.checkDuration(keyPath("requests", "default_deadline"), r.DefaultDeadline, maxDeadline)
	v.checkDuration(keyPath("requests", "key_retention"), r.KeyRetention, maxKeyRetention)
	v.checkFraction(keyPath("requests", "retry_share"), r.RetryShare)
}

func (v *validator) checkDuration(keys []string, value, limit time.Duration) {
	if value <= 0 || value > limit {
		v.badValue(keys, "write more than 0s and at most "+limit.String(), "%s is out of range", value)
	}
}
