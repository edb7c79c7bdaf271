package cluster

import (
	"context"
	"testing"
	"time"
)

func TestProcessIsKilledAndRestartedByItsOwnID(t *testing.T) {
	p := &Process{Name: "sleeper", path: "/bin/sleep", args: []string{"60"}, logPath: logName(t.TempDir(), "sleeper")}
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	first := p.Pid()
	if err := p.Stop(); err != nil || !p.Running() {
		t.Fatalf("stop: %v", err)
	}
	if err := p.Kill(); err != nil || p.Running() {
		t.Fatalf("kill: %v", err)
	}
	if err := p.Kill(); err == nil {
		t.Error("a process that has ended was killed")
	}
	if err := p.Restart(); err != nil || p.Pid() == first {
		t.Fatalf("restart: %v", err)
	}
	p.end()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := p.Wait(ctx); err == nil || p.Running() {
		t.Errorf("the process ended by signal with %v", err)
	}
}
