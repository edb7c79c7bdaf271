package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Ports of every machine; a machine has a loopback address of its own. The port of
// the metrics is that of the deploy file.
const (
	portFront   = 8005
	portReady   = 8002
	portControl = 8000
	portPeer    = 7700
	portMetrics = 9464
	portEngine  = 8740
)

// exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// site is a small deployment on loopback addresses.
type site struct {
	dir     string
	net     string
	trouble bool
	start   time.Time
	program string

	mu     sync.Mutex
	record *os.File
	procs  []*process
}

// newSite prepares a temporary folder, a free block of loopback addresses and the
// record.
func newSite(caseDir string) (*site, error) {
	s := &site{trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if s.program, err = filepath.Abs("target/waxwingpost"); err != nil {
		return nil, err
	}
	if _, err = os.Stat(s.program); err != nil {
		return nil, err
	}
	if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if s.record, err = os.Create(filepath.Join(caseDir, "record.txt")); err != nil {
		return nil, err
	}
	for i := range 200 {
		n := os.Getpid() + 7919*i
		s.net = fmt.Sprintf("127.%d.%d", 20+n%200, 1+n/200%250)
		l, err := net.Listen("tcp", net.JoinHostPort(s.ip(250), fmt.Sprint(portMetrics)))
		if err != nil {
			continue
		}
		defer l.Close()
		if m, err := net.Listen("tcp", net.JoinHostPort(s.ip(11), fmt.Sprint(portMetrics))); err == nil {
			_ = m.Close()
			return s, nil
		}
	}
	return nil, fmt.Errorf("no free block of loopback addresses")
}

func (s *site) ip(n int) string { return fmt.Sprintf("%s.%d", s.net, n) }

func (s *site) since() float64 { return time.Since(s.start).Seconds() }

// note writes a line with the time since the start to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", s.since(), fmt.Sprintf(format, args...))
}

// end ends all processes and removes the temporary folder.
func (s *site) end() {
	s.mu.Lock()
	procs := s.procs
	s.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", s.dir)
	}
	_ = s.record.Close()
}

// settings returns the settings file of a machine. Seeds and extra lines differ.
func (s *site) settings(node, role, ip string, first bool, seeds []string, extra ...string) string {
	lines := []string{
		"node=" + node, "role=" + role, "ip=" + ip, "zone=zone-a", "region=region-a", "zones.zone-a=region-a",
		fmt.Sprintf("internalPortRange=%d,%d", portPeer, portPeer+15), "seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("firstStart=%v", first), "limits.cpuShare=0.48", "limits.cores=1", "limits.maxFds=4096",
		"discovery=register", "entry=vip", "heartbeatIntervalMs=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,chunks",
		"faultTolerance.machines=2", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4",
		"bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configMs=2000", "bounds.downgradeMs=250",
		"bounds.outerMs=5000", "bounds.strictRevoke=false", "bounds.revokeMs=5000", "bounds.retryRatio=0.2",
		"bounds.retryWindowS=10", "bounds.retryAllowance=102", "bounds.recoverS=12", "bounds.passMs=120",
		"bounds.retryAfterS=0", "bounds.version_ms=8000", "bounds.version_all_ms=0", "configMode=highest",
	}
	return strings.Join(append(lines, extra...), "\n") + "\n"
}

func (s *site) control(n int) string { return fmt.Sprintf("%s:%d", s.ip(n), portControl) }

// startCore starts a control process on the machine with the address n. dataDir is
// kept between starts.
func (s *site) startCore(n int, first bool, seeds []string) (*process, error) {
	node := fmt.Sprintf("core-%d", n)
	data := filepath.Join(s.dir, node, "data")
	if err := os.MkdirAll(data, 0o755); err != nil {
		return nil, err
	}
	return s.startProcess(node, "control", s.settings(node, "control", s.ip(n), first, seeds,
		"class=core", "serves=control", "faultCounted=true", "limits.memoryMb=280", "limits.linkMbps=170.0", "limits.diskMb=128",
		"listen.control="+s.control(n), "dataDir="+data))
}

// loseDisk removes the data of a core machine whose process is not running.
func (s *site) loseDisk(n int) error {
	return os.RemoveAll(filepath.Join(s.dir, fmt.Sprintf("core-%d", n), "data"))
}

// startEdge starts an entry.
func (s *site) startEdge(n int, first bool, seeds []string) (*process, error) {
	node := fmt.Sprintf("edge-%d", n)
	return s.startProcess(node, "entry", s.settings(node, "entry", s.ip(n), first, seeds,
		"class=edge", "serves=edge", "faultCounted=false", "limits.memoryMb=284", "limits.linkMbps=1000.0", "limits.diskMb=0",
		fmt.Sprintf("listen.front=%s:%d", s.ip(n), portFront), fmt.Sprintf("listen.ready=%s:%d", s.ip(n), portReady)))
}

// startSide starts an agent beside the engine at the same address.
func (s *site) startSide(n int, first bool, seeds []string, service string) (*process, error) {
	node := fmt.Sprintf("side-%d", n)
	return s.startProcess(node, "agent", s.settings(node, "agent", s.ip(n), first, seeds,
		"class=side", "serves=side", "faultCounted=false", "limits.memoryMb=152", "limits.linkMbps=7.6", "limits.diskMb=0",
		fmt.Sprintf("app=%s:%d", s.ip(n), portEngine), "service="+service))
}
