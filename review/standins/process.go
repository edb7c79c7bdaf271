package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is a started program of the project.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	once sync.Once
}

// startProcess starts a role as the deploy file does, with a settings file.
func (s *site) startProcess(name, role, settings string) (*process, error) {
	dir := filepath.Join(s.dir, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "node.conf")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		return nil, err
	}
	out, err := os.OpenFile(filepath.Join(dir, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(s.program, "platform", role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C", "WAXWINGPOST_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	s.mu.Lock()
	s.procs = append(s.procs, p)
	s.mu.Unlock()
	s.note("%s started (platform %s)", name, role)
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(sig syscall.Signal) error { return p.cmd.Process.Signal(sig) }

// kill kills the process and waits for its end.
func (p *process) kill() {
	select {
	case <-p.done:
		return
	default:
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stop sends SIGTERM and, after the grace period, SIGKILL. It returns the time that
// the process took to end.
func (p *process) stop(grace time.Duration) (time.Duration, error) {
	started := time.Now()
	if err := p.signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	select {
	case <-p.done:
		return time.Since(started), nil
	case <-time.After(grace):
		p.kill()
		return time.Since(started), fmt.Errorf("%s was killed after the grace period", p.name)
	}
}
