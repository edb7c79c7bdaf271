// Package cluster runs the real binaries and the stand-ins of package fakes as
// processes on loopback, for the demo, wpbench and process tests. It ends only
// processes that it started, by their id.
package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// firstPort and lastPort bound the ports that are given out. They lie
	// below those that the system gives to outgoing connections.
	firstPort = 12000
	lastPort  = 32000
	portTries = 200
	// stopGrace is how long a process may take to end after SIGTERM when the
	// cluster closes.
	stopGrace = 5 * time.Second
)

// ports remembers the ports given out by this program.
var ports = struct {
	sync.Mutex
	given map[int]bool
}{given: map[int]bool{}}

// FreeAddress returns a loopback IP and port that nobody listens on.
func FreeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if ports.given[port] {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return "", err
		}
		ports.given[port] = true
		return address, nil
	}
	return "", errors.New("no free port on loopback")
}

// Process is one process of a cluster. Safe for concurrent use.
type Process struct {
	// Name is unique in the cluster.
	Name string
	// Address is where the process serves callers (an entry), its peers (an
	// agent) or the system (a stand-in).
	Address string
	// Peer is where it answers operators: state, metrics, readiness.
	Peer string

	path    string
	args    []string
	logPath string

	// mu guards the run in progress.
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// start runs the process. Its output is appended to its log.
func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return errors.Newf("%s is running", p.Name)
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return errors.Wrapf(err, "start %s", p.Name)
	}
	done := make(chan struct{})
	p.cmd, p.done, p.err = cmd, done, nil
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// running is called with mu held.
func (p *Process) running() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// Pid returns the id of the last run, or 0.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

func (p *Process) signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return errors.Newf("%s is not running", p.Name)
	}
	return p.cmd.Process.Signal(sig)
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Stop freezes the process with SIGSTOP; Cont lets it go on.
func (p *Process) Stop() error { return p.signal(syscall.SIGSTOP) }

// Cont ends a Stop.
func (p *Process) Cont() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process to stop as planned, with SIGTERM.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Wait waits for the end of the process and returns how it ended.
func (p *Process) Wait(ctx context.Context) error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return errors.Newf("%s was never started", p.Name)
	}
	select {
	case <-done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-ctx.Done():
		return errors.Newf("%s has not ended: %v", p.Name, ctx.Err())
	}
}

// Restart starts the process again with the same arguments. It must have
// ended.
func (p *Process) Restart() error { return p.start() }

// Log returns all output of the process so far.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// end stops the process for good.
func (p *Process) end() {
	_ = p.signal(syscall.SIGCONT)
	if p.signal(syscall.SIGTERM) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	_ = p.Wait(ctx)
	if p.Running() {
		_ = p.Kill()
	}
}

func logName(dir, name string) string {
	return filepath.Join(dir, fmt.Sprintf("%s.log", name))
}
