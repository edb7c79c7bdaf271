package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports on every machine, which is a loopback IP of its own.
const (
	frontPort   = 8005
	readyPort   = 8002
	controlPort = 8000
	peerPort    = 7700
	enginePort  = 8381
)

// system runs the project's programs as separate processes.
type system struct {
	dir    string
	prefix string
	binary string
	rec    *record

	mu       sync.Mutex
	machines []*machine
	lock     net.Listener
}

// machine is one process of the system and its settings.
type machine struct {
	sys              *system
	name, role, ip   string
	class            string
	extra            []string
	firstStart       bool
	cmd              *exec.Cmd
	exited           chan struct{}
	stopped, running bool
}

// newSystem reserves a range of loopback IPs and a temporary folder.
func newSystem(rec *record) (*system, error) {
	binary, err := filepath.Abs("target/waxwingpost")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("the build of deploy/system.toml is missing: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, binary: binary, rec: rec}
	for i := range 400 {
		n := os.Getpid() + 7919*i
		s.prefix = fmt.Sprintf("127.%d.%d", 20+n%200, 1+n/200%250)
		lock, err := net.Listen("tcp", s.prefix+".250:9464")
		if err != nil {
			continue
		}
		probe, err := net.Listen("tcp", s.prefix+".11:9464")
		if err == nil {
			_ = probe.Close()
			s.lock = lock
			return s, nil
		}
		_ = lock.Close()
	}
	return nil, fmt.Errorf("no free range of loopback IPs")
}

// ip returns the IP of a machine by its number.
func (s *system) ip(n int) string { return fmt.Sprintf("%s.%d", s.prefix, n) }

// control adds the control process number i, from 0.
func (s *system) control(i int) *machine {
	m := s.add(fmt.Sprintf("core-%d", i+1), "control", "core", 11+i)
	m.extra = []string{
		"serves=control", "faultCounted=true", "limits.memoryMb=280", "limits.linkMbps=1000.0", "limits.diskMb=128",
		"listen.control=" + m.address(controlPort), "dataDir=" + m.dataDir(),
	}
	return m
}

// entry adds the entry number i, from 0.
func (s *system) entry(i int) *machine {
	m := s.add(fmt.Sprintf("edge-%d", i+1), "entry", "edge", 31+i)
	m.extra = []string{
		"serves=edge", "faultCounted=false", "limits.memoryMb=284", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"listen.front=" + m.address(frontPort), "listen.ready=" + m.address(readyPort),
	}
	return m
}

func (s *system) add(name, role, class string, n int) *machine {
	m := &machine{sys: s, name: name, role: role, class: class, ip: s.ip(n), firstStart: true}
	s.machines = append(s.machines, m)
	return m
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (m *machine) dataDir() string { return filepath.Join(m.sys.dir, m.name, "data") }

// settings returns the settings file of the machine. The bounds are those of a small deployment.
func (m *machine) settings() string {
	s := m.sys
	seeds := []string{s.ip(11) + ":8000", s.ip(12) + ":8000", s.ip(13) + ":8000"}
	lines := append([]string{
		"node=" + m.name, "role=" + m.role, "class=" + m.class, "ip=" + m.ip, "zone=colombo-a", "region=western",
		"zones.colombo-a=western", "zones.kandy-a=central", "zones.jaffna-a=northern",
		fmt.Sprintf("internalPortRange=%d,%d", peerPort, peerPort+15), "seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("firstStart=%v", m.firstStart), "limits.cpuShare=0.48", "limits.cores=1", "limits.maxFds=4096",
		"discovery=register", "entry=vip", "heartbeatIntervalMs=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,chunks",
		"faultTolerance.machines=2", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4",
		"bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configMs=2000", "bounds.downgradeMs=250",
		"bounds.outerMs=5000", "bounds.strictRevoke=false", "bounds.revokeMs=5000", "bounds.retryRatio=0.2",
		"bounds.retryWindowS=10", "bounds.retryAllowance=102", "bounds.recoverS=12", "bounds.passMs=120",
		"bounds.retryAfterS=0", "bounds.version_ms=8000", "bounds.version_all_ms=0", "configMode=highest",
	}, m.extra...)
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process as the deploy file says.
func (m *machine) start() error {
	folder := filepath.Join(m.sys.dir, m.name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o750); err != nil {
		return err
	}
	file := filepath.Join(folder, "node.conf")
	if err := os.WriteFile(file, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.sys.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(m.sys.binary, "platform", m.role)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "LANG=C", "WAXWINGPOST_BOOT=" + file}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.sys.mu.Lock()
	m.cmd, m.exited, m.running = cmd, exited, true
	m.sys.mu.Unlock()
	m.sys.rec.add("%s started, firstStart=%v", m.name, m.firstStart)
	go func() {
		_ = cmd.Wait()
		m.sys.mu.Lock()
		m.running = false
		m.sys.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(sig syscall.Signal) {
	m.sys.rec.add("%s gets signal %v", m.name, sig)
	_ = m.cmd.Process.Signal(sig)
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// close ends all processes that were started and removes the folder, unless KEEP is set.
func (s *system) close() {
	for _, m := range s.machines {
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
			<-m.exited
		}
	}
	_ = s.lock.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
	path  string
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	r.lines = append(r.lines, line)
}

func (r *record) save() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = os.WriteFile(r.path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
