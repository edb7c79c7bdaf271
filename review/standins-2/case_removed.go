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

// removed adds two core machines, and once they have caught up two others are removed for good
// without notice. A configuration is acknowledged, and two disks are lost right after that. Once
// all machines have been back for long, the operator reads the configuration.
func removed(rec *record, bin string, trouble bool) verdict {
	w, err := newWorld(rec, bin, 5, 0)
	if err != nil {
		rec.line("%v", err)
		return couldNotRun
	}
	defer w.close()
	if err := w.startAll(); err != nil {
		rec.line("%v", err)
		return couldNotRun
	}
	routes, services := []map[string]any{route("r-1", "/status/", "safe", "booth", 2500, 150)}, []map[string]any{plainService("booth")}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	if _, ok := w.order(ctx, "configuration 1", "/-/Config.Put", config(1, routes, services)); !ok {
		return couldNotRun
	}
	time.Sleep(6 * time.Second)
	if trouble {
		for i := 5; i < 7; i++ {
			w.addControl(i)
			if w.control[i].start(false) != nil {
				return couldNotRun
			}
		}
		time.Sleep(2*catchUp + 2*time.Second)
		rec.line("the two new machines have run for %v; two others are removed for good", 2*catchUp+2*time.Second)
		w.control[0].kill()
		time.Sleep(500 * time.Millisecond)
		w.control[1].kill()
		w.control = w.control[2:] // the operator's list; the others have other places in it now
	}
	_, ok := w.order(ctx, "configuration 2", "/-/Config.Put", config(2, routes, services))
	if !ok {
		rec.line("configuration 2 was not acknowledged")
		return couldNotRun
	}
	if trouble {
		lost := w.control[:2]
		for _, m := range lost {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range lost {
			m.kill()
			_ = os.RemoveAll(filepath.Join(w.dir, m.name, "data"))
			rec.line("%s has lost its disk", m.name)
		}
		time.Sleep(900 * time.Millisecond)
		for _, m := range lost {
			_ = m.start(false)
		}
	}
	rec.line("all machines run; they have %v to catch up and %v to recover", catchUp, recoverBound)
	time.Sleep(catchUp + recoverBound)
	version := -1
	for n, readBy := 0, time.Now().Add(contact+9*time.Second); version < 0 && time.Now().Before(readBy); n++ {
		m := w.control[n%len(w.control)]
		status, data := w.sendTo(m, http.MethodGet, "/-/Config.Get", nil)
		rec.line("operator: configuration read at %s: answer %d", m.name, status)
		var c struct {
			Version int `json:"version"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &c) == nil {
			version = c.Version
		}
		time.Sleep(200 * time.Millisecond)
	}
	rec.line("read back: version %d (-1: no answer), acknowledged: 2", version)
	if version < 2 {
		return broken
	}
	return held
}
