package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
)

const (
	maxEditInterval = 700 * time.Millisecond
	acceptTimeout   = 40 * time.Second
	pollInterval    = 50 * time.Millisecond
)

// editLoad adds files to the configuration folders, each with an account of its
// own, and switches the served version back and forth.
type editLoad struct {
	sys *system

	// accepted holds the accounts of the files that an entry reported as accepted.
	accepted []string
	written  int
}

func newEditLoad(s *system) *editLoad { return &editLoad{sys: s} }

func (e *editLoad) run(ctx context.Context, rnd *rand.Rand) {
	names := []string{"entry-1", "entry-2", "entry-3"}
	for n := 0; ctx.Err() == nil; n++ {
		entry := names[rnd.IntN(len(names))]
		name := fmt.Sprintf("account-%d", n)
		file := fmt.Sprintf("50-%s.yaml", name)
		e.written++
		if err := e.sys.cluster.WriteFile(entry, file, []byte("accounts: {"+name+": {share: 2}}\n")); err != nil {
			continue
		}
		if n%8 == 4 {
			e.switchVersion(entry, n)
		}
		if e.awaitAccepted(ctx, entry, file) {
			e.accepted = append(e.accepted, name)
		}
		sleep(ctx, time.Duration(rnd.Int64N(int64(maxEditInterval))))
	}
}

func (e *editLoad) switchVersion(entry string, n int) {
	serving := firstVersion
	if n%16 == 4 {
		serving = secondVersion
	}
	_ = e.sys.cluster.WriteFile(entry, baseFile, e.sys.baseConfig(serving))
}

// awaitAccepted polls the status file next to the folder, as an operator would,
// and reports whether the file was accepted.
func (e *editLoad) awaitAccepted(ctx context.Context, entry, file string) bool {
	status := filepath.Clean(e.sys.cluster.Folder(entry)) + ".status.yaml"
	deadline := time.Now().Add(acceptTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		data, err := os.ReadFile(status)
		if err == nil && strings.Contains(string(data), "- file: "+file+"\n  accepted_at_revision:") {
			return true
		}
		sleep(ctx, pollInterval)
	}
	return false
}

// addTo checks that every accepted edit is in force on every entry and adds the
// result to the report.
func (e *editLoad) addTo(ctx context.Context, report *Report) error {
	report.EditsAccepted = len(e.accepted)
	for _, p := range e.sys.cluster.Entries() {
		names, err := e.acceptedFiles(ctx, p)
		if err != nil {
			return err
		}
		for _, name := range e.accepted {
			if !names["50-"+name+".yaml"] {
				report.EditsLost++
				report.Notes = append(report.Notes, fmt.Sprintf("%s does not have the accepted file of %s", p.Name, name))
			}
		}
	}
	return nil
}

func (e *editLoad) acceptedFiles(ctx context.Context, p *cluster.Process) (map[string]bool, error) {
	var state struct {
		State struct {
			Files []struct {
				Name string `json:"name"`
			} `json:"files"`
		} `json:"state"`
	}
	if err := e.sys.cluster.State(ctx, p, &state); err != nil {
		return nil, errors.Wrap(err, p.Name)
	}
	names := make(map[string]bool)
	for _, f := range state.State.Files {
		names[f.Name] = true
	}
	return names, nil
}

// watcher polls the revision in force on every entry and agent, which must never
// decrease, not even after a restart. A process without a configuration in force
// reports 0.
type watcher struct {
	sys *system

	mu      sync.Mutex
	highest map[string]uint64
	reverts []string
}

func newWatcher(s *system) *watcher { return &watcher{sys: s, highest: make(map[string]uint64)} }

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, p := range w.sys.cluster.Entries() {
			if revision, err := w.sys.cluster.Revision(ctx, p); err == nil && w.sys.cluster.Ready(ctx, p) == nil {
				w.record(p.Name, revision)
			}
		}
		for _, p := range w.sys.agents {
			if status, err := w.sys.cluster.AgentStatus(ctx, p); err == nil {
				w.record(p.Name, status.Revision)
			}
		}
		sleep(ctx, pollInterval)
	}
}

func (w *watcher) record(process string, revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision != 0 && revision < w.highest[process] {
		w.reverts = append(w.reverts, fmt.Sprintf("%s reverted from revision %d to %d", process, w.highest[process], revision))
	}
	w.highest[process] = max(w.highest[process], revision)
}

func (w *watcher) addTo(report *Report) {
	report.RevisionReverts = len(w.reverts)
	report.Notes = append(report.Notes, w.reverts...)
}
