package cluster

import (
	"context"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	entryBinary = "waxwingpost"
	agentBinary = "waxwingpost-agent"
	fakeBinary  = "wpfake"
	pollEvery   = 20 * time.Millisecond
)

// EntrySpec describes an entry VM.
type EntrySpec struct {
	Name   string
	Zone   string
	Region string
	// Diskless entries have no data folder and no configuration folder.
	Diskless bool
	// Args are added to the command line.
	Args []string
}

// AgentSpec describes an agent beside a backend server.
type AgentSpec struct {
	Name    string
	Zone    string
	Region  string
	Service string
	// Backend is the backend server's IP and port.
	Backend string
	Plain   bool
	Args    []string
}

// Options sets a cluster up.
type Options struct {
	// Bin is the folder with the built binaries; Dir takes data, folders,
	// spools and logs.
	Bin string
	Dir string
	// JoinKey and LogLevel are passed to every process.
	JoinKey  string
	LogLevel string
	// Entries are all entry VMs. Those with a disk found the control set.
	Entries []EntrySpec
}

// Cluster is a set of processes. Safe for concurrent use.
type Cluster struct {
	opts    Options
	targets string
	founder string
	entries map[string]*Process

	// mu guards procs.
	mu    sync.Mutex
	procs []*Process
}

// New prepares the entries without starting them.
func New(opts Options) (*Cluster, error) {
	if opts.LogLevel == "" {
		opts.LogLevel = "info"
	}
	bin, err := filepath.Abs(opts.Bin)
	if err != nil {
		return nil, err
	}
	opts.Bin = bin
	c := &Cluster{opts: opts, entries: make(map[string]*Process)}
	var targets, founders []string
	peers := make(map[string]string)
	for _, e := range opts.Entries {
		if peers[e.Name], err = FreeAddress(); err != nil {
			return nil, err
		}
		targets = append(targets, e.Name+"="+peers[e.Name])
		if !e.Diskless {
			founders = append(founders, e.Name)
		}
	}
	c.targets, c.founder = strings.Join(targets, ","), strings.Join(founders, ",")
	for _, e := range opts.Entries {
		if err := c.addEntry(e, peers[e.Name]); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) addEntry(e EntrySpec, peer string) error {
	listen, err := FreeAddress()
	if err != nil {
		return err
	}
	args := []string{
		"serve", "--name", e.Name, "--zone", e.Zone, "--region", e.Region,
		"--listen", listen, "--peer-listen", peer, "--entries", c.targets,
		"--bootstrap", c.founder, "--log-level", c.opts.LogLevel,
	}
	if !e.Diskless {
		for _, dir := range []string{c.DataDir(e.Name), c.Folder(e.Name)} {
			if err := os.MkdirAll(dir, 0o750); err != nil {
				return err
			}
		}
		args = append(args, "--data", c.DataDir(e.Name), "--folder", c.Folder(e.Name))
	}
	p := c.add(e.Name, entryBinary, append(c.withKey(args), e.Args...))
	p.Address, p.Peer = listen, peer
	c.entries[e.Name] = p
	return nil
}

func (c *Cluster) withKey(args []string) []string {
	if c.opts.JoinKey == "" {
		return args
	}
	return append(args, "--join-key", c.opts.JoinKey)
}

func (c *Cluster) add(name, binary string, args []string) *Process {
	p := &Process{
		Name: name, path: filepath.Join(c.opts.Bin, binary), args: args,
		logPath: logName(c.opts.Dir, name),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.procs = append(c.procs, p)
	return p
}

// DataDir returns an entry's data folder.
func (c *Cluster) DataDir(entry string) string {
	return filepath.Join(c.opts.Dir, entry+"-data")
}

// Folder returns an entry's configuration folder.
func (c *Cluster) Folder(entry string) string {
	return filepath.Join(c.opts.Dir, entry+"-folder")
}

// Entry returns an entry by name, or nil.
func (c *Cluster) Entry(name string) *Process { return c.entries[name] }

// Entries returns all entries in the order of their names.
func (c *Cluster) Entries() []*Process {
	list := make([]*Process, 0, len(c.entries))
	for _, p := range c.entries {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Processes returns every process in the order in which it was added.
func (c *Cluster) Processes() []*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Process(nil), c.procs...)
}

// StartEntries starts all entries without waiting for them.
func (c *Cluster) StartEntries() error {
	for _, p := range c.Entries() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// StartAgent starts an agent without waiting for it.
func (c *Cluster) StartAgent(a AgentSpec) (*Process, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	args := []string{
		"run", "--name", a.Name, "--zone", a.Zone, "--region", a.Region,
		"--listen", listen, "--entries", c.targets, "--service", a.Service,
		"--backend", a.Backend, "--log-level", c.opts.LogLevel,
	}
	if a.Plain {
		args = append(args, "--plain")
	} else {
		spool := c.Spool(a.Name)
		if err := os.MkdirAll(spool, 0o750); err != nil {
			return nil, err
		}
		args = append(args, "--spool", spool)
	}
	p := c.add(a.Name, agentBinary, append(c.withKey(args), a.Args...))
	p.Address, p.Peer = listen, listen
	return p, p.start()
}

// Spool returns an agent's spool.
func (c *Cluster) Spool(agent string) string {
	return filepath.Join(c.opts.Dir, agent+"-spool")
}

// StartFake starts a stand-in: kind is engine, plain or origin.
func (c *Cluster) StartFake(name, kind string, args ...string) (*Process, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	p := c.add(name, fakeBinary, append([]string{kind, "--listen", listen}, args...))
	p.Address, p.Peer = listen, listen
	return p, p.start()
}

// WriteFile writes a file of an entry's configuration folder at once: a
// reader sees the old content or the new one.
func (c *Cluster) WriteFile(entry, name string, content []byte) error {
	temp := filepath.Join(c.opts.Dir, entry+"-"+name+".new")
	if err := os.WriteFile(temp, content, 0o600); err != nil {
		return err
	}
	return os.Rename(temp, filepath.Join(c.Folder(entry), name))
}

// RemoveFile removes a file of an entry's configuration folder.
func (c *Cluster) RemoveFile(entry, name string) error {
	return os.Remove(filepath.Join(c.Folder(entry), name))
}

// Close stops every process that is still running.
func (c *Cluster) Close() {
	var group sync.WaitGroup
	for _, p := range c.Processes() {
		group.Go(p.end)
	}
	group.Wait()
}

// ErrEnded marks the error of a process that has ended: waiting is in vain.
var ErrEnded = errors.New("the process has ended")

// ended returns an error with the end of the process's log, marked ErrEnded.
func ended(p *Process) error {
	return errors.Mark(errors.Newf("%s has ended: %s", p.Name, tail(p.Log())), ErrEnded)
}

// Await polls check until it returns nil or an error marked ErrEnded, or until
// ctx ends; then the last error is returned with what was awaited.
func Await(ctx context.Context, what string, check func(context.Context) error) error {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	var last error
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() == nil || last == nil {
			last = err
		}
		if errors.Is(err, ErrEnded) {
			return errors.Wrap(err, what)
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(last, "awaited in vain: %s", what)
		case <-ticker.C:
		}
	}
}
