package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{w: bufio.NewWriter(f), f: f, start: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}

// at returns the seconds since the start.
func (r *record) at() float64 { return time.Since(r.start).Seconds() }

// world is a small deployment: each machine has a loopback address of its own.
type world struct {
	rec     *record
	bin     string
	dir     string
	prefix  string
	ports   struct{ control, front, ready, peer int }
	seeds   []string
	control []*machine
	entry   []*machine
	extra   []string

	mu    sync.Mutex
	procs []*machine
}

// machine runs one process of the system.
type machine struct {
	w          *world
	name, role string
	ip         string
	settings   func(firstStart bool) string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

const (
	firstControl = 11
	firstEntry   = 31
	firstEngine  = 61
	metricsPort  = 9464
)

func newWorld(rec *record, bin string, controls, entries int) (*world, error) {
	abs, err := filepath.Abs(bin)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(abs); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, bin: abs, dir: dir}
	for range 200 {
		w.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 12000 + 50*rand.IntN(350)
		w.ports.control, w.ports.front, w.ports.ready, w.ports.peer = base, base+1, base+2, base+10
		if w.free(controls, entries) {
			break
		}
		w.prefix = ""
	}
	if w.prefix == "" {
		return nil, fmt.Errorf("no free loopback addresses")
	}
	for i := range controls {
		w.addControl(i)
	}
	for i := range entries {
		w.addEntry(i)
	}
	for i := range min(3, controls) {
		w.seeds = append(w.seeds, w.address(firstControl+i, w.ports.control))
	}
	return w, nil
}

func (w *world) free(controls, entries int) bool {
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for i := range controls + entries {
		n, ports := firstControl+i, []int{w.ports.control, w.ports.peer, metricsPort}
		if i >= controls {
			n, ports = firstEntry+i-controls, []int{w.ports.front, w.ports.ready, w.ports.peer, metricsPort}
		}
		for _, port := range ports {
			l, err := net.Listen("tcp", w.address(n, port))
			if err != nil {
				return false
			}
			open = append(open, l)
		}
	}
	return true
}

func (w *world) ip(n int) string            { return fmt.Sprintf("%s.%d", w.prefix, n) }
func (w *world) address(n, port int) string { return fmt.Sprintf("%s:%d", w.ip(n), port) }

func (w *world) addControl(i int) {
	name := fmt.Sprintf("core-zone-a-%d", i+1)
	m := &machine{w: w, name: name, role: "control", ip: w.ip(firstControl + i)}
	m.settings = func(first bool) string {
		return w.text(m, first, "class=core", "serves=control", "listen.control="+w.address(firstControl+i, w.ports.control),
			"dataDir="+filepath.Join(w.dir, name, "data"), "faultCounted=true", "limits.memoryMb=280", "limits.maxFds=4096",
			"limits.linkMbps=1000.0", "limits.diskMb=128")
	}
	w.control = append(w.control, m)
	w.procs = append(w.procs, m)
}

func (w *world) addEntry(i int) {
	m := &machine{w: w, name: fmt.Sprintf("edge-zone-a-%d", i+1), role: "entry", ip: w.ip(firstEntry + i)}
	m.settings = func(first bool) string {
		return w.text(m, first, "class=edge", "serves=edge", "listen.front="+w.front(i), "listen.ready="+w.address(firstEntry+i, w.ports.ready),
			"faultCounted=false", "limits.memoryMb=284", "limits.maxFds=4200", "limits.linkMbps=1000.0", "limits.diskMb=0")
	}
	w.entry = append(w.entry, m)
	w.procs = append(w.procs, m)
}

func (w *world) front(i int) string { return w.address(firstEntry+i, w.ports.front) }

// text returns the settings file of a machine; the bounds are those of lpt-booths.
func (w *world) text(m *machine, first bool, extra ...string) string {
	lines := append([]string{
		"node=" + m.name, "role=" + m.role, "ip=" + m.ip, "zone=zone-a", "region=region-a", "zones.zone-a=region-a",
		fmt.Sprintf("internalPortRange=%d,%d", w.ports.peer, w.ports.peer+15), "seeds=" + strings.Join(w.seeds, ","),
		fmt.Sprintf("firstStart=%v", first), "limits.cpuShare=0.96", "limits.cores=1", "discovery=register", "entry=vip",
		"heartbeatIntervalMs=1200", "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,chunks",
		"faultTolerance.machines=2", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4",
		"bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configMs=2000", "bounds.downgradeMs=250",
		"bounds.outerMs=5000", "bounds.strictRevoke=false", "bounds.revokeMs=5000", "bounds.retryRatio=0.2", "bounds.retryWindowS=10",
		"bounds.retryAllowance=102", "bounds.recoverS=12", "bounds.passMs=120", "bounds.retryAfterS=0", "bounds.version_ms=8000",
		"bounds.version_all_ms=0", "configMode=highest",
	}, extra...)
	return strings.Join(append(lines, w.extra...), "\n") + "\n"
}

// start starts the process of a machine with the command of the deploy file.
func (m *machine) start(first bool) error {
	dir := filepath.Join(m.w.dir, m.name)
	if err := os.MkdirAll(filepath.Join(dir, "data"), 0o750); err != nil {
		return err
	}
	boot := filepath.Join(dir, "node.conf")
	if err := os.WriteFile(boot, []byte(m.settings(first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.w.bin, "platform", m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "LANG=C", "WAXWINGPOST_BOOT=" + boot}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	m.w.rec.line("%s: process started, firstStart=%v", m.name, first)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		m.w.rec.line("%s: process ended: %v", m.name, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process of the machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.w.rec.line("%s: %v", m.name, s)
		_ = m.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

// startAll starts all machines for the first time.
func (w *world) startAll() error {
	for _, m := range w.procs {
		if err := m.start(true); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) close() {
	for _, m := range w.procs {
		m.mu.Lock()
		cmd, done := m.cmd, m.done
		m.mu.Unlock()
		if cmd == nil {
			continue
		}
		select {
		case <-done:
		default:
			_ = cmd.Process.Kill()
			<-done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// send makes one call of the operator; it returns 0 if there was no response.
func (w *world) send(method string, control int, path string, body []byte) (int, []byte) {
	return w.sendTo(w.control[control], method, path, body)
}

func (w *world) sendTo(m *machine, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, w.ports.control, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := operatorClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, data
}

// order sends an order of the operator to one control process after the other until it is
// acknowledged. It returns the number of calls, or false if ctx ended first.
func (w *world) order(ctx context.Context, what, path string, body any) (int, bool) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	pause := 100 * time.Millisecond
	last := -1
	for n := 1; ; n++ {
		status, _ := w.send(http.MethodPost, (n-1)%len(w.control), path, data)
		if status != last || status == http.StatusOK {
			w.rec.line("operator: %s sent to %s: answer %d", what, w.control[(n-1)%len(w.control)].name, status)
			last = status
		}
		if status == http.StatusOK {
			return n, true
		}
		select {
		case <-ctx.Done():
			return n, false
		case <-time.After(pause):
		}
		pause = min(2*pause, time.Second)
	}
}
