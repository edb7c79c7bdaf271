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
	entryBinary  = "waxwingpost"
	agentBinary  = "waxwingpost-agent"
	fakeBinary   = "wpfake"
	pollInterval = 20 * time.Millisecond
)

// EntrySpec describes an entry.
type EntrySpec struct {
	Name   string
	Zone   string
	Region string
	// Diskless entries have neither a data folder nor a configuration folder.
	Diskless bool
	// Args are appended to the command line.
	Args []string
}

// AgentSpec describes an agent and its backend server.
type AgentSpec struct {
	Name    string
	Zone    string
	Region  string
	Service string
	// Backend is the IP and port of the backend server.
	Backend string
	Plain   bool
	Args    []string
}

// Options configure a cluster.
type Options struct {
	// Bin is the folder with the built binaries. Dir receives the data folders,
	// configuration folders, spools and logs.
	Bin string
	Dir string
	// JoinKey and LogLevel are passed to every entry and agent.
	JoinKey  string
	LogLevel string
	// Entries are all entries. Those with a disk bootstrap the control set.
	Entries []EntrySpec
}

// Cluster is a set of processes. It is safe for concurrent use.
type Cluster struct {
	opts      Options
	entryList string
	bootstrap string
	entries   map[string]*Process

	// mu guards procs.
	mu    sync.Mutex
	procs []*Process
}

// New prepares the entries but does not start them.
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
	var entryList, bootstrap []string
	peers := make(map[string]string)
	for _, e := range opts.Entries {
		if peers[e.Name], err = FreeAddress(); err != nil {
			return nil, err
		}
		entryList = append(entryList, e.Name+"="+peers[e.Name])
		if !e.Diskless {
			bootstrap = append(bootstrap, e.Name)
		}
	}
	c.entryList, c.bootstrap = strings.Join(entryList, ","), strings.Join(bootstrap, ",")
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
		"--listen", listen, "--peer-listen", peer, "--entries", c.entryList,
		"--bootstrap", c.bootstrap, "--log-level", c.opts.LogLevel,
	}
	if !e.Diskless {
		for _, dir := range []string{c.DataDir(e.Name), c.Folder(e.Name)} {
			if err := os.MkdirAll(dir, 0o750); err != nil {
				return err
			}
		}
		args = append(args, "--data", c.DataDir(e.Name), "--folder", c.Folder(e.Name))
	}
	p := c.addProcess(e.Name, entryBinary, append(c.withJoinKey(args), e.Args...))
	p.Address, p.PeerAddress = listen, peer
	c.entries[e.Name] = p
	return nil
}

func (c *Cluster) withJoinKey(args []string) []string {
	if c.opts.JoinKey == "" {
		return args
	}
	return append(args, "--join-key", c.opts.JoinKey)
}

func (c *Cluster) addProcess(name, binary string, args []string) *Process {
	p := &Process{
		Name: name, path: filepath.Join(c.opts.Bin, binary), args: args,
		logPath: logFile(c.opts.Dir, name),
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

// Entries returns all entries, sorted by name.
func (c *Cluster) Entries() []*Process {
	list := make([]*Process, 0, len(c.entries))
	for _, p := range c.entries {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Processes returns all processes in the order in which they were added.
func (c *Cluster) Processes() []*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Process(nil), c.procs...)
}

// StartEntries starts all entries and does not wait until they are ready.
func (c *Cluster) StartEntries() error {
	for _, p := range c.Entries() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// StartAgent starts an agent and does not wait until it is ready.
func (c *Cluster) StartAgent(a AgentSpec) (*Process, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	args := []string{
		"run", "--name", a.Name, "--zone", a.Zone, "--region", a.Region,
		"--listen", listen, "--entries", c.entryList, "--service", a.Service,
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
	p := c.addProcess(a.Name, agentBinary, append(c.withJoinKey(args), a.Args...))
	p.Address, p.PeerAddress = listen, listen
	return p, p.start()
}

// Spool returns an agent's spool folder.
func (c *Cluster) Spool(agent string) string {
	return filepath.Join(c.opts.Dir, agent+"-spool")
}

// StartFake starts a fake server. The kind is engine, plain or origin.
func (c *Cluster) StartFake(name, kind string, args ...string) (*Process, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	p := c.addProcess(name, fakeBinary, append([]string{kind, "--listen", listen}, args...))
	p.Address, p.PeerAddress = listen, listen
	return p, p.start()
}

// WriteFile writes a file in an entry's configuration folder atomically: a reader
// sees either the old content or the new content.
func (c *Cluster) WriteFile(entry, name string, content []byte) error {
	temp := filepath.Join(c.opts.Dir, entry+"-"+name+".new")
	if err := os.WriteFile(temp, content, 0o600); err != nil {
		return err
	}
	return os.Rename(temp, filepath.Join(c.Folder(entry), name))
}

// RemoveFile removes a file from an entry's configuration folder.
func (c *Cluster) RemoveFile(entry, name string) error {
	return os.Remove(filepath.Join(c.Folder(entry), name))
}

// Close stops every process that is still running.
func (c *Cluster) Close() {
	var group sync.WaitGroup
	for _, p := range c.Processes() {
		group.Go(p.shutdown)
	}
	group.Wait()
}

// ErrProcessExited marks the error of a process that has exited. Await does not
// retry after such an error.
var ErrProcessExited = errors.New("process has exited")

// exitError returns an error with the end of the process's log, marked with
// ErrProcessExited.
func exitError(p *Process) error {
	return errors.Mark(errors.Newf("%s has exited: %s", p.Name, logTail(p.Log())), ErrProcessExited)
}

// Await polls check until it returns nil. It gives up when check returns an error
// marked with ErrProcessExited or when ctx is done, and returns the last error,
// wrapped with a description of the condition.
func Await(ctx context.Context, what string, check func(context.Context) error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var lastErr error
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() == nil || lastErr == nil {
			lastErr = err
		}
		if errors.Is(err, ErrProcessExited) {
			return errors.Wrap(err, what)
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(lastErr, "gave up waiting for: %s", what)
		case <-ticker.C:
		}
	}
}
