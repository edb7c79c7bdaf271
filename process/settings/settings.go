// Package settings defines the settings of one process, which it gets from flags
// and environment variables: its name, zone, addresses and folders. The fleet is
// configured in the configuration folder instead.
//
// Validation reports all problems at once, each as a BadSetting error with the
// flag and a remedy.
package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"regexp"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// Common holds the settings of every process.
type Common struct {
	Name     string `help:"Name of this VM, unique among entries or among agents." env:"WAXWINGPOST_NAME"`
	Zone     string `help:"Availability zone of this VM." env:"WAXWINGPOST_ZONE"`
	Region   string `help:"Region of this VM." env:"WAXWINGPOST_REGION"`
	Entries  string `help:"All entry VMs as NAME=IP:PORT of their peer listeners, separated by commas." env:"WAXWINGPOST_ENTRIES"`
	JoinKey  string `help:"Shared key with which processes authenticate each other. Without it, only loopback peers are accepted." env:"WAXWINGPOST_JOIN_KEY"`
	Intake   Intake `embed:""`
	LogLevel string `help:"debug, info, warn or error." env:"WAXWINGPOST_LOG_LEVEL" default:"info"`
}

// Entry holds the settings of waxwingpost serve.
type Entry struct {
	Common
	Listen     string        `help:"IP:PORT for callers, health and readiness." env:"WAXWINGPOST_LISTEN"`
	PeerListen string        `help:"IP:PORT for other processes and operators." env:"WAXWINGPOST_PEER_LISTEN"`
	Bootstrap  string        `help:"Names of the entries that bootstrap the control set, separated by commas. Ignored once it exists." env:"WAXWINGPOST_BOOTSTRAP"`
	Data       string        `help:"Data folder of the control replica. Without it this entry never votes." env:"WAXWINGPOST_DATA"`
	Folder     string        `help:"Configuration folder to watch. Needs --data." env:"WAXWINGPOST_FOLDER"`
	DrainGrace time.Duration `help:"How long new requests are still accepted after a planned stop is requested, while readiness already fails." env:"WAXWINGPOST_DRAIN_GRACE" default:"1s"`
	DrainLimit time.Duration `help:"How long requests in progress may take to finish at a planned stop." env:"WAXWINGPOST_DRAIN_LIMIT" default:"10m"`
}

// Agent holds the settings of waxwingpost-agent run.
type Agent struct {
	Common
	Listen      string        `help:"IP:PORT for entries, other agents and operators." env:"WAXWINGPOST_LISTEN"`
	Service     string        `help:"Service that the backend server beside this agent runs." env:"WAXWINGPOST_SERVICE"`
	Backend     string        `help:"IP:PORT of the backend server." env:"WAXWINGPOST_BACKEND"`
	Plain       bool          `help:"The backend server is a plain service, not a model engine." env:"WAXWINGPOST_PLAIN"`
	Spool       string        `help:"Folder for weights; required unless --plain is set." env:"WAXWINGPOST_SPOOL"`
	HomeEntries int           `help:"How many entries this agent links to. Set it to 0, all entries, for a service with few backend servers." env:"WAXWINGPOST_HOME_ENTRIES" default:"8"`
	SpoolBytes  int64         `help:"Size limit of the spool in bytes; 0 means unlimited." env:"WAXWINGPOST_SPOOL_BYTES" default:"0"`
	DrainLimit  time.Duration `help:"How long requests in progress may take to finish at a planned stop." env:"WAXWINGPOST_DRAIN_LIMIT" default:"10m"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// problems collects errors, so that all of them are reported at once.
type problems []error

// add records a BadSetting error for a flag.
func (p *problems) add(flag, remedy, format string, args ...any) {
	*p = append(*p, &result.Error{
		Code:   result.BadSetting,
		Field:  "--" + flag,
		Detail: fmt.Sprintf(format, args...),
		Remedy: remedy,
	})
}

// err returns the recorded errors as one, or nil if there are none.
func (p *problems) err() error {
	return errors.Join(*p...)
}

func (p *problems) checkName(flag, value string) {
	if !namePattern.MatchString(value) {
		p.add(flag, "use 1 to 63 lower-case letters, digits, dots and hyphens", "%q is not a valid name", value)
	}
}

func (p *problems) checkAddress(flag, value string) {
	if _, err := ParseAddress(value); err != nil {
		p.add(flag, "give IP:PORT with a port of 1 to 65535", "%q is not an address", value)
	}
}

// ParseAddress parses "IP:PORT". It rejects host names and port 0.
func ParseAddress(value string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(value)
	if err == nil && a.Port() == 0 {
		err = errors.New("port 0 is not allowed")
	}
	return a, err
}

func (c *Common) check(p *problems) {
	p.checkName("name", c.Name)
	p.checkName("zone", c.Zone)
	p.checkName("region", c.Region)
	if _, err := ParseTargets(c.Entries); err != nil {
		p.add("entries", "give NAME=IP:PORT,NAME=IP:PORT", "%v", err)
	}
	c.Intake.check(p)
	var level slog.Level
	if level.UnmarshalText([]byte(c.LogLevel)) != nil {
		p.add("log-level", "use debug, info, warn or error", "%q is not a log level", c.LogLevel)
	}
}

// Validate returns every problem of the settings, or nil.
func (e *Entry) Validate() error {
	var p problems
	e.check(&p)
	p.checkAddress("listen", e.Listen)
	p.checkAddress("peer-listen", e.PeerListen)
	e.checkFolders(&p)
	e.checkBootstrap(&p)
	p.checkDuration("drain-grace", e.DrainGrace)
	p.checkDuration("drain-limit", e.DrainLimit)
	return p.err()
}

func (e *Entry) checkFolders(p *problems) {
	if e.Folder != "" && e.Data == "" {
		p.add("folder", "set --data on a VM that has a disk, or remove --folder", "watching a folder requires a data folder")
	}
}

func (e *Entry) checkBootstrap(p *problems) {
	targets, err := ParseTargets(e.Entries)
	if err != nil {
		return
	}
	if _, ok := targets[e.Name]; !ok && e.Name != "" {
		p.add("entries", "add this VM to the list", "%q is not listed", e.Name)
	}
	for _, name := range SplitList(e.Bootstrap) {
		if _, ok := targets[name]; !ok {
			p.add("bootstrap", "use only names from --entries", "%q is not listed in --entries", name)
		}
	}
}

func (p *problems) checkDuration(flag string, d time.Duration) {
	if d < 0 {
		p.add(flag, "give 0 or more", "%s is negative", d)
	}
}

// Validate returns every problem of the settings, or nil.
func (a *Agent) Validate() error {
	var p problems
	a.check(&p)
	p.checkAddress("listen", a.Listen)
	p.checkAddress("backend", a.Backend)
	p.checkName("service", a.Service)
	if !a.Plain && a.Spool == "" {
		p.add("spool", "set a folder for weights, or --plain", "the spool is not set")
	}
	if a.HomeEntries < 0 {
		p.add("home-entries", "give 0 or more", "%d is negative", a.HomeEntries)
	}
	if a.SpoolBytes < 0 {
		p.add("spool-bytes", "give 0 or more", "%d is negative", a.SpoolBytes)
	}
	p.checkDuration("drain-limit", a.DrainLimit)
	return p.err()
}

// ParseTargets parses "NAME=IP:PORT,NAME=IP:PORT" into addresses by name. It
// rejects an empty list and duplicate names.
func ParseTargets(list string) (map[string]string, error) {
	targets := make(map[string]string)
	for _, item := range SplitList(list) {
		name, address, _ := strings.Cut(item, "=")
		if !namePattern.MatchString(name) {
			return nil, errors.Newf("%q does not start with a valid name", item)
		}
		if _, err := ParseAddress(address); err != nil {
			return nil, errors.Newf("%q does not contain a valid address", item)
		}
		if _, ok := targets[name]; ok {
			return nil, errors.Newf("%q is listed twice", name)
		}
		targets[name] = address
	}
	if len(targets) == 0 {
		return nil, errors.New("the list is empty")
	}
	return targets, nil
}

// SplitList splits a comma-separated list, trims spaces and drops empty items.
func SplitList(list string) []string {
	var items []string
	for item := range strings.SplitSeq(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// Names returns the sorted names of targets.
func Names(targets map[string]string) []string {
	names := make([]string, 0, len(targets))
	for name := range targets {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
