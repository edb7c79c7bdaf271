package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	recoverBound = 12 * time.Second // recoverS
	catchUp      = 4 * time.Second  // catchUpS
)

// founders starts the system for the first time. The operator sends the first configuration until
// it is acknowledged. Right after that, two seeds lose their disks, the one that has acknowledged
// it among them if it is a seed. Once all machines have been back for long, the operator reads the configuration and
// sends another one. With DISK=early one seed loses its disk 0.6 s after the start, before any
// configuration is sent.
func founders(rec *record, bin string, trouble bool) verdict {
	early := os.Getenv("DISK") == "early"
	w, err := newWorld(rec, bin, 5, 2)
	if err != nil {
		rec.line("%v", err)
		return couldNotRun
	}
	defer w.close()
	if err := w.startAll(); err != nil {
		rec.line("%v", err)
		return couldNotRun
	}
	begun := time.Now()
	routes, services := []map[string]any{route("r-1", "/status/", "safe", "booth", 2500, 150)}, []map[string]any{plainService("booth")}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	// lose makes machines lose their disks. They are back a second later.
	lose := func(machines ...*machine) {
		for _, m := range machines {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range machines {
			m.kill()
			_ = os.RemoveAll(filepath.Join(w.dir, m.name, "data"))
			rec.line("%s has lost its disk", m.name)
		}
		time.Sleep(900 * time.Millisecond)
		for _, m := range machines {
			_ = m.start(false)
		}
	}
	acknowledged := 0
	switch {
	case early && trouble:
		time.Sleep(time.Until(begun.Add(600 * time.Millisecond)))
		lose(w.control[0])
	case early:
	default:
		calls, ok := w.order(ctx, "configuration 1", "/-/Config.Put", config(1, routes, services))
		if !ok {
			rec.line("configuration 1 was not acknowledged")
			return couldNotRun
		}
		acknowledged = 1
		if trouble {
			n := (calls - 1) % len(w.control)
			if n >= len(w.seeds) {
				n = 0
			}
			lose(w.control[n], w.control[(n+1)%len(w.seeds)])
		}
	}
	rec.line("all machines run; they have %v to catch up and %v to recover", catchUp, recoverBound)
	time.Sleep(catchUp + recoverBound)
	// The operator reads for at least contactMs, at any control process.
	readBy := time.Now().Add(contact + 5*time.Second)
	version := -1
	for n := 0; acknowledged > 0 && version < 0 && time.Now().Before(readBy); n++ {
		status, data := w.send(http.MethodGet, n%len(w.control), "/-/Config.Get", nil)
		rec.line("operator: configuration read at %s: answer %d", w.control[n%len(w.control)].name, status)
		var c struct {
			Version int `json:"version"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &c) == nil {
			version = c.Version
		}
		time.Sleep(200 * time.Millisecond)
	}
	ctx, cancel = context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	sent := time.Now()
	_, ok := w.order(ctx, "configuration 2", "/-/Config.Put", config(2, routes, services))
	took := time.Since(sent)
	rec.line("read back: version %d (-1: no answer), acknowledged: %d; configuration 2 acknowledged: %v after %v", version, acknowledged, ok, took.Round(time.Millisecond))
	if acknowledged > 0 && version < acknowledged || !ok || took > ackBound {
		return broken
	}
	return held
}
